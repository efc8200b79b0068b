"""The packet path of the balancer."""

from collections.abc import Callable
from collections.abc import Iterable
from hashlib import blake2s
from hmac import compare_digest
import socket
from typing import NamedTuple

from ibispitch.catalogue.documents import Entry
from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address
from ibispitch.ids import flow_address
from ibispitch.ids import flow_id
from ibispitch.ids import FlowId
from ibispitch.ids import parse_address
from ibispitch.ids import service_number
from ibispitch.ids import ServiceNumber
from ibispitch.telemetry import log
from ibispitch.telemetry import Metrics
from ibispitch.telemetry import Severity
from ibispitch.wire.errors import WireError
from ibispitch.wire.errors import WireFault
from ibispitch.wire.frames import decode_frame
from ibispitch.wire.frames import FrameKind
from ibispitch.wire.frames import HEADER
from ibispitch.wire.frames import Keyring
from ibispitch.wire.frames import MAC_BYTES
from ibispitch.wire.frames import MAGIC
from ibispitch.wire.frames import NO_ADDRESS
from ibispitch.wire.frames import VERSION

Route = Callable[[ServiceNumber, FlowId], tuple[str, int] | None]

#: A larger payload with its frame header would not fit one UDP datagram.
MAX_PAYLOAD_BYTES = 65000

#: Bytes of the header before the caller address; they are the same for all
#: packets of a service.
CONSTANT_HEADER_BYTES = HEADER.size - 3 * len(NO_ADDRESS)


def _pack_constant_header(number: ServiceNumber) -> bytes:
    header = HEADER.pack(
        MAGIC,
        VERSION,
        FrameKind.FORWARD,
        0,
        0,
        number,
        NO_ADDRESS,
        NO_ADDRESS,
        NO_ADDRESS,
    )
    return header[:CONSTANT_HEADER_BYTES]


#: Magic, version and kind of a frame with an answer.
REPLY_FRAME_START = MAGIC + bytes([VERSION, FrameKind.REPLY])
#: Positions of fields in the header, counted after the MAC.
SERVICE_NUMBER_FIELD = slice(6, 14)
FLOW_FIELD = slice(14, 20)
DESTINATION_FIELD = slice(26, 32)


class BoundService(NamedTuple):
    """A socket bound to an address of a service.

    :param number: number of the service, encoded as in the header.
    """

    socket: DatagramSocket
    number: bytes


def number_bytes(number: ServiceNumber) -> bytes:
    """Return a service number encoded as in the header."""
    return number.to_bytes(8, 'big')


class Forwarder:
    """Forwards callers' packets to agents, and answers to callers.

    :param keyring: the shared keys.
    :param data: own address, to which agents send answers.
    :param route: returns the address of the agent for a packet.
    :param metrics: the counters.
    :param binds_host: whether service ports are bound on the IP address of
        ``data`` instead of the addresses of the entries.
    """

    def __init__(
        self,
        keyring: Keyring,
        data: Address,
        route: Route,
        metrics: Metrics,
        binds_host: bool,
    ):
        self._keyring = keyring
        self._data = data
        self._route = route
        self._binds_host = binds_host
        self._service_by_destination: dict[bytes, BoundService] = {}
        self._packet_counts = metrics.counts('balancer.packets')
        self._rejection_counts = metrics.counts('wire.rejected')
        self._socket = DatagramSocket(self._make_frame_handler(), data)
        self.last_packet = 0.0
        self.taken_in = 0
        self.sent_back = 0

    def set_entries(self, entries: Iterable[Entry]) -> None:
        """Bind the addresses of the entries and unbind all others."""
        number_by_destination = {
            bytes(flow_id(parse_address(address))): service_number(
                entry.service
            )
            for entry in entries
            for address in entry.addresses
        }
        for destination, service in list(self._service_by_destination.items()):
            number = number_by_destination.get(destination)
            if number is None or number_bytes(number) != service.number:
                service.socket.close()
                del self._service_by_destination[destination]
        for destination, number in number_by_destination.items():
            if destination not in self._service_by_destination:
                self._bind(destination, number)

    def _bind(self, destination: bytes, number: ServiceNumber) -> None:
        address = flow_address(FlowId(destination))
        if self._binds_host:
            address = Address(self._data.ip, address.port)
        try:
            bound = DatagramSocket(
                self._make_packet_handler(number, destination), address
            )
        except OSError as error:
            log(
                Severity.ERROR,
                'balancer.bind_failed',
                address=str(address),
                reason=str(error),
                remedy='give the host this address or set service_bind',
            )
            return
        self._service_by_destination[destination] = BoundService(
            bound, number_bytes(number)
        )

    def _make_packet_handler(self, number: ServiceNumber, destination: bytes):
        """Return the handler of packets of a service socket.

        Values that are constant for the socket are in local variables, since
        the handler runs for each packet.
        """
        constant_header = _pack_constant_header(number)
        suffix = bytes(flow_id(self._data)) + destination
        key = self._keyring.signing_key
        sendto = self._socket.sendto
        route = self._route
        inet_aton = socket.inet_aton
        packet_counts = self._packet_counts
        no_home = (('result', 'no_home'),)
        oversized = (('result', 'oversized'),)
        blocked = (('result', 'blocked'),)

        def on_packet(data: bytes, caller: tuple[str, int]) -> None:
            flow = inet_aton(caller[0]) + caller[1].to_bytes(2, 'big')
            agent = route(number, flow)
            if agent is None:
                packet_counts[no_home] += 1
                return
            if len(data) > MAX_PAYLOAD_BYTES:
                packet_counts[oversized] += 1
                return
            body = constant_header + flow + suffix + data
            mac = blake2s(body, key=key, digest_size=MAC_BYTES).digest()
            try:
                sendto(mac + body, agent)
            except OSError:
                packet_counts[blocked] += 1
                return
            self.taken_in += 1

        return on_packet

    def _make_frame_handler(self):
        """Return the handler of frames from agents.

        Answers that are signed with the signing key are handled here with
        few objects. All other frames, also those under an older key, are
        fully decoded by :meth:`_on_other_frame`.
        """
        key = self._keyring.signing_key
        service_by_destination = self._service_by_destination
        inet_ntoa = socket.inet_ntoa
        packet_counts = self._packet_counts
        blocked = (('result', 'blocked'),)

        def on_frame(data: bytes, _: tuple[str, int]) -> None:
            body = data[MAC_BYTES:]
            mac = blake2s(body, key=key, digest_size=MAC_BYTES).digest()
            if (
                not compare_digest(mac, data[:MAC_BYTES])
                or body[: len(REPLY_FRAME_START)] != REPLY_FRAME_START
                or len(body) < HEADER.size
            ):
                self._on_other_frame(data)
                return
            service = service_by_destination.get(body[DESTINATION_FIELD])
            if service is None or body[SERVICE_NUMBER_FIELD] != service.number:
                packet_counts[(('result', 'no_service'),)] += 1
                return
            flow = body[FLOW_FIELD]
            caller = inet_ntoa(flow[:4]), flow[4] << 8 | flow[5]
            try:
                service.socket.sendto(body[HEADER.size :], caller)
            except OSError:
                packet_counts[blocked] += 1
                return
            self.sent_back += 1

        return on_frame

    def _on_other_frame(self, data: bytes) -> None:
        try:
            frame = decode_frame(self._keyring, data)
        except WireError as error:
            self._rejection_counts[(('fault', error.fault.value),)] += 1
            return
        if frame.kind != FrameKind.REPLY:
            fault = WireFault.BAD_KIND.value
            self._rejection_counts[(('fault', fault),)] += 1
            return
        service = self._service_by_destination.get(frame.destination)
        if service is None or service.number != number_bytes(frame.service):
            self._packet_counts[(('result', 'no_service'),)] += 1
            return
        self.sent_back += 1
        service.socket.send(frame.payload, flow_address(frame.flow))

    def close(self) -> None:
        """Close all sockets."""
        self._socket.close()
        for service in self._service_by_destination.values():
            service.socket.close()
        self._service_by_destination.clear()
