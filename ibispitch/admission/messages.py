"""Messages of the load exchange."""

import msgspec

from ibispitch.ids import AgentId
from ibispitch.wire.messages import control_message


@control_message('admission.load')
class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load of an agent, sent every 500 ms to sampled peers.

    :param agent_id: the sender.
    :param sequence: grows with each report of an agent, also over
        restarts, so that a late report is not taken for a new one.
    :param flows: flows that the agent owns.
    :param in_flight: requests that run at its upstream.
    :param limit: present concurrency limit, may be fractional.
    :param queued: requests that wait.
    :param free: runs that it could start at once.
    :param flow_room: flows that it may take until the next report.
    :param is_draining: whether it takes no new flows.
    :param latency_ms: recent mean latency of its upstream.
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
    """State that a successor process goes on with.

    :param progress: how far the upstream has come from its cold start.
    :param share: share of the connections that the ramp allows.
    :param flows: owned flows.
    """

    progress: float
    share: float
    flows: int
