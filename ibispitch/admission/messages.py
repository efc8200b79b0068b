"""Messages in which agents exchange their load."""

import msgspec

from ibispitch.ids import AgentId
from ibispitch.wire.messages import control_message


@control_message('admission.load')
class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load of an agent, sent every 500 ms to some of its peers.

    :param agent_id: id of the sender.
    :param sequence: grows with each report of an agent, also across
        restarts, so that a late report is not taken for a new one.
    :param flows: number of flows that the agent owns.
    :param in_flight: number of requests that run at its upstream.
    :param limit: current concurrency limit, may be fractional.
    :param queued: number of requests that wait.
    :param free: number of runs that it could start at once.
    :param flow_room: number of flows that it may accept until the next
        report.
    :param is_draining: whether it accepts no new flows.
    :param latency_ms: recent average latency of its upstream.
    """

    agent_id: AgentId
    sequence: int
    flows: int
    in_flight: int
    limit: float
    queued: int
    free: int
    flow_room: int
    is_draining: bool = False
    latency_ms: int = 0


@control_message('admission.state')
class AdmissionState(msgspec.Struct, array_like=True, frozen=True):
    """State that a successor process continues from.

    :param progress: position in the ramp, from 0 (cold) to 1 (complete).
    :param share: share of the connections that the ramp allows.
    :param flows: number of flows that the agent owns.
    """

    progress: float
    share: float
    flows: int
