"""Sending of frames to the other agents of the service."""

from collections.abc import Iterable
from typing import Any

from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import flow_id
from ibispitch.ids import FlowId
from ibispitch.ids import ServiceNumber
from ibispitch.membership.records import AgentRecord
from ibispitch.wire import encode_frame
from ibispitch.wire import encode_message
from ibispitch.wire import Frame
from ibispitch.wire import FrameKind
from ibispitch.wire import Keyring
from ibispitch.wire import NO_ADDRESS


class Peers:
    """Addresses of the other agents; sends messages and packets to them.

    :param self_id: this agent.
    :param number: number of the service.
    :param keyring: the shared keys.
    :param address: own data address.
    """

    def __init__(
        self,
        self_id: AgentId,
        number: ServiceNumber,
        keyring: Keyring,
        address: Address,
    ):
        self._self_id = self_id
        self._number = number
        self._keyring = keyring
        self._own_address = bytes(flow_id(address))
        self._address_by_id: dict[AgentId, Address] = {}
        self._id_by_address: dict[tuple[str, int], AgentId] = {}
        self.bytes_sent = 0

    def set_agents(self, records: Iterable[AgentRecord]) -> None:
        """Set the agents of the service, as listed in a new view."""
        self._address_by_id = {
            record.agent_id: record.address
            for record in records
            if record.agent_id != self._self_id
        }
        self._id_by_address = {
            tuple(address): agent_id
            for agent_id, address in self._address_by_id.items()
        }

    def agent_at(self, address: tuple[str, int]) -> AgentId | None:
        """Return the agent with an address, ``None`` if it is unknown."""
        return self._id_by_address.get(address)

    def send_message(
        self,
        socket: DatagramSocket,
        to: AgentId,
        message: Any,
        address: Address | None = None,
    ) -> None:
        """Send a control message; it is dropped if the agent is unknown.

        :param address: address of the agent, ``None`` to look it up.
        """
        address = address or self._address_by_id.get(to)
        if address is None:
            return
        data = encode_frame(
            self._keyring,
            Frame(
                FrameKind.CONTROL,
                0,
                0,
                self._number,
                FlowId(NO_ADDRESS),
                self._own_address,
                encode_message(message),
            ),
        )
        self.bytes_sent += len(data)
        socket.send(data, address)

    def relay(
        self,
        socket: DatagramSocket,
        to: AgentId,
        frame: Frame,
        address: Address | None = None,
    ) -> None:
        """Relay a caller's packet; it is dropped if the agent is unknown."""
        address = address or self._address_by_id.get(to)
        if address is None:
            return
        relayed = frame._replace(kind=FrameKind.RELAY)
        socket.send(encode_frame(self._keyring, relayed), address)
