"""Messages about the shares of limits."""

import msgspec

from ibispitch.ids import AgentId
from ibispitch.wire.messages import control_message


class Share(msgspec.Struct, array_like=True, frozen=True):
    """Share of one limit, and the loans between the sender and receiver.

    The counters ``sent`` and ``returned`` only grow, so that each report
    replaces earlier ones that were lost or arrive late.

    :param kind: value of :class:`ibispitch.limits.core.LimitKind`.
    :param name: name of the owner or class, empty for open flows.
    :param demand: requests per second, or open flows, of the sender.
    :param units: units that the sender has; 1 is an equal share.
    :param sent: units that the sender has lent to the receiver, in total.
    :param returned: units borrowed from the receiver that the sender has
        returned, in total.
    """

    kind: str
    name: str
    demand: float
    units: float
    sent: float
    returned: float


@control_message('limits.share')
class ShareReport(msgspec.Struct, array_like=True, frozen=True):
    """Shares of an agent, sent to a peer with the load report.

    :param agent_id: id of the sender.
    :param incarnation: start time of the sender in ns.
    :param to_incarnation: incarnation of the receiver that the counters
        apply to, 0 if the sender does not know it.
    :param sequence: grows with each report of an incarnation.
    :param shares: one item for each limit.
    """

    agent_id: AgentId
    incarnation: int
    to_incarnation: int
    sequence: int
    shares: list[Share]
