"""Messages of the shared limits."""

import msgspec

from ibispitch.ids import AgentId
from ibispitch.wire.messages import control_message


class Share(msgspec.Struct, array_like=True, frozen=True):
    """State of one limit between the sender and the receiver.

    The counters only grow, so that a report replaces those that were lost
    or came late.

    :param kind: value of :class:`ibispitch.limits.core.LimitKind`.
    :param name: owner or class, empty for open flows.
    :param demand: requests a second, or open flows, of the sender.
    :param units: what the sender holds, 1 is an equal share.
    :param sent: units that the sender ever gave to the receiver.
    :param returned: units of the receiver that the sender gave back.
    """

    kind: str
    name: str
    demand: float
    units: float
    sent: float
    returned: float


@control_message('limits.share')
class ShareReport(msgspec.Struct, array_like=True, frozen=True):
    """Shares of an agent, sent with its load report.

    :param agent_id: the sender.
    :param incarnation: start time of the sender in ns.
    :param to_incarnation: incarnation of the receiver that the counters
        are for, 0 if the sender has not heard of it.
    :param sequence: grows with each report of an incarnation.
    :param shares: one item for each limit.
    """

    agent_id: AgentId
    incarnation: int
    to_incarnation: int
    sequence: int
    shares: list[Share]
