"""Which balancer the answers of each flow go through."""

from collections.abc import Sequence
from typing import NamedTuple

from ibispitch.ids import Address
from ibispitch.ids import flow_address
from ibispitch.ids import FlowId

#: For this long after a packet came through a balancer, answers go back
#: through it. Later it may be gone without notice, so that answers and
#: retransmissions take turns over all balancers.
FRESH_S = 2.0


class Path(NamedTuple):
    """The last way of a flow's packet into the system.

    :param balancer: data address of the balancer, 6 bytes.
    :param destination: address of the service, 6 bytes.
    :param heard: time of the packet in seconds.
    """

    balancer: bytes
    destination: bytes
    heard: float


class ReturnPaths:
    """Chooses the balancer for each answer.

    It keeps one :class:`Path` for each flow of the agent.
    """

    def __init__(self):
        self._path_by_flow: dict[FlowId, Path] = {}
        self._balancers: Sequence[Address] = ()
        self._turn = 0

    def set_balancers(self, balancers: Sequence[Address]) -> None:
        """Use these balancers' data addresses from now on."""
        self._balancers = balancers

    def heard(
        self, flow: FlowId, balancer: bytes, destination: bytes, now: float
    ) -> None:
        """Note the way of a packet of a flow."""
        self._path_by_flow[flow] = Path(balancer, destination, now)

    def choose(
        self, flow: FlowId, now: float, tries: int = 0
    ) -> tuple[Address, bytes] | None:
        """Return where to send an answer.

        :param tries: how often it was sent without an acknowledgement; the
            balancer of the last packet may be gone then.
        :returns: address of a balancer and the service address, or ``None``
            for a flow without packets.
        """
        path = self._path_by_flow.get(flow)
        if path is None:
            return None
        last = flow_address(FlowId(path.balancer))
        is_fresh = not tries and now - path.heard <= FRESH_S
        if is_fresh or not self._balancers:
            return last, path.destination
        self._turn += 1
        chosen = self._balancers[self._turn % len(self._balancers)]
        return chosen, path.destination

    def way(self, flow: FlowId) -> tuple[bytes, bytes]:
        """Return balancer and service address of the last packet."""
        path = self._path_by_flow[flow]
        return path.balancer, path.destination

    def forget(self, flow: FlowId) -> None:
        """Drop the path of a flow that ended."""
        self._path_by_flow.pop(flow, None)

    def export(self) -> dict[FlowId, tuple[bytes, bytes]]:
        """Return balancer and service address of each flow."""
        return {
            flow: (path.balancer, path.destination)
            for flow, path in self._path_by_flow.items()
        }
