"""Stand-in for the network fabric that sprays packets over the balancers.

Each caller that sends to the fabric is given its own source address in
127/8, from which its packets go to random balancers. Answers that balancers
send to this address are forwarded to the caller.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import ipaddress
import random

from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address

FIRST_SOURCE_IP = int(ipaddress.IPv4Address('127.40.0.1'))
SOURCE_PORT = 40000
CALLER_BUFFER_BYTES = 1 << 18


@dataclass
class Faults:
    """Faults that the fabric applies to packets in both directions.

    :param drop: share of packets that are lost.
    :param duplicate: share of packets that are sent twice.
    :param delay_s: maximum delay in seconds; the delay of each packet is
        random.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0


@dataclass
class FabricCounts:
    """Numbers of packets that the fabric has forwarded or dropped."""

    to_balancers: int = 0
    to_callers: int = 0
    dropped: int = 0
    to_balancer_by_ip: dict[str, int] = field(default_factory=dict)


class Fabric:
    """Sprays packets of callers over balancers.

    :param rng: source of the random choices of balancers and faults.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._balancers: list[str] = []
        self._listeners: list[DatagramSocket] = []
        self._source_by_caller: dict[tuple, DatagramSocket] = {}
        self._next_source_ip = FIRST_SOURCE_IP
        self.faults = Faults()
        self.counts = FabricCounts()

    def set_balancers(self, ips: list[str]) -> None:
        """Set the IP addresses of the balancers that get packets."""
        self._balancers = list(ips)

    def listen(self, address: Address) -> None:
        """Receive the packets of callers for a service address.

        :param address: address to which callers send; balancers get the
            packets on the same port.
        """
        listener = DatagramSocket(
            lambda data, caller: self._forward_to_balancers(
                listener, data, caller
            ),
            address,
        )
        self._listeners.append(listener)

    def _source_socket(self, listener: DatagramSocket, caller: tuple):
        key = (listener, caller)
        source = self._source_by_caller.get(key)
        if source is None:
            bind = Address(
                str(ipaddress.IPv4Address(self._next_source_ip)), SOURCE_PORT
            )
            self._next_source_ip += 1
            source = DatagramSocket(
                lambda data, _: self._forward_to_caller(
                    listener, data, caller
                ),
                bind,
                buffer_bytes=CALLER_BUFFER_BYTES,
            )
            self._source_by_caller[key] = source
        return source

    def _forward_to_balancers(self, listener, data, caller) -> None:
        port = listener.address.port
        source = self._source_socket(listener, caller)
        if not self._balancers:
            self.counts.dropped += 1
            return
        for delay_s in self._copy_delays_s():
            ip = self._rng.choice(self._balancers)
            self.counts.to_balancers += 1
            by_ip = self.counts.to_balancer_by_ip
            by_ip[ip] = by_ip.get(ip, 0) + 1
            self._send_after(delay_s, source, data, Address(ip, port))

    def _forward_to_caller(self, listener, data, caller) -> None:
        for delay_s in self._copy_delays_s():
            self.counts.to_callers += 1
            self._send_after(delay_s, listener, data, Address(*caller))

    def _copy_delays_s(self) -> list[float]:
        faults = self.faults
        if faults.drop and self._rng.random() < faults.drop:
            self.counts.dropped += 1
            return []
        copies = 1
        if faults.duplicate and self._rng.random() < faults.duplicate:
            copies = 2
        return [self._rng.random() * faults.delay_s for _ in range(copies)]

    def _send_after(self, delay_s, socket, data, address) -> None:
        if delay_s:
            asyncio.get_running_loop().call_later(
                delay_s, socket.send, data, address
            )
        else:
            socket.send(data, address)

    def close(self) -> None:
        """Close all sockets."""
        for socket in [*self._listeners, *self._source_by_caller.values()]:
            socket.close()
