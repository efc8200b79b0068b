"""Choice of the balancer through which the answers of a flow are sent."""

from collections.abc import Sequence
from typing import NamedTuple

from ibispitch.ids import Address
from ibispitch.ids import flow_address
from ibispitch.ids import FlowId

#: Answers are sent through the balancer of the flow's last packet for this
#: long. Later the balancer may have failed without notice, so answers and
#: retransmissions are sent through all balancers in turn.
FRESH_PATH_S = 2.0


class Path(NamedTuple):
    """Path of the last packet of a flow from its caller.

    :param balancer: data address of the balancer, 6 bytes.
    :param destination: address of the service, 6 bytes.
    :param received_at: time of the packet, in seconds.
    """

    balancer: bytes
    destination: bytes
    received_at: float


class ReturnPaths:
    """Chooses the balancer for each answer by the last path of the flow."""

    def __init__(self):
        self._path_by_flow: dict[FlowId, Path] = {}
        self._balancers: Sequence[Address] = ()
        self._turn_index = 0

    def set_balancers(self, balancers: Sequence[Address]) -> None:
        """Set the data addresses of the balancers."""
        self._balancers = balancers

    def record_packet(
        self, flow: FlowId, balancer: bytes, destination: bytes, now: float
    ) -> None:
        """Record the path of a packet of a flow."""
        self._path_by_flow[flow] = Path(balancer, destination, now)

    def choose(
        self, flow: FlowId, now: float, tries: int = 0
    ) -> tuple[Address, bytes] | None:
        """Return the addresses for an answer.

        :param tries: number of times that it was sent without an
            acknowledgement; if it is not 0, the balancer of the last packet
            may have failed.
        :returns: address of a balancer and address of the service, ``None``
            for a flow without packets.
        """
        path = self._path_by_flow.get(flow)
        if path is None:
            return None
        last = flow_address(FlowId(path.balancer))
        is_fresh = not tries and now - path.received_at <= FRESH_PATH_S
        if is_fresh or not self._balancers:
            return last, path.destination
        self._turn_index += 1
        chosen = self._balancers[self._turn_index % len(self._balancers)]
        return chosen, path.destination

    def last_path(self, flow: FlowId) -> tuple[bytes, bytes]:
        """Return balancer and service address of the last packet."""
        path = self._path_by_flow[flow]
        return path.balancer, path.destination

    def forget(self, flow: FlowId) -> None:
        """Remove the path of a flow that ended."""
        self._path_by_flow.pop(flow, None)

    def export(self) -> dict[FlowId, tuple[bytes, bytes]]:
        """Return balancer and service address of each flow."""
        return {
            flow: (path.balancer, path.destination)
            for flow, path in self._path_by_flow.items()
        }
