"""Stand-in for the fabric that sprays packets over the balancers.

Each caller that sends to the fabric gets a source address of its own in
127/8, from which its packets go to any of the balancers; answers that any
balancer sends to it go back to the caller.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import ipaddress
import random

from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address

FIRST_SOURCE = int(ipaddress.IPv4Address('127.40.0.1'))
SOURCE_PORT = 40000
CALLER_BUFFER_BYTES = 1 << 18


@dataclass
class Faults:
    """What the fabric does to packets of both directions.

    :param drop: share of packets that are lost.
    :param duplicate: share of packets that are doubled.
    :param delay_s: greatest delay; each packet draws its own.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0


@dataclass
class FabricCounts:
    """Packets that the fabric has handled."""

    to_balancers: int = 0
    to_callers: int = 0
    dropped: int = 0
    to_balancer_by_ip: dict[str, int] = field(default_factory=dict)


class Fabric:
    """Sprays packets of callers over balancers.

    :param rng: chooses balancers and faults.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._balancers: list[str] = []
        self._fronts: list[DatagramSocket] = []
        self._source_by_caller: dict[tuple, DatagramSocket] = {}
        self._next_source = FIRST_SOURCE
        self.faults = Faults()
        self.counts = FabricCounts()

    def set_balancers(self, ips: list[str]) -> None:
        """Spray over these IP numbers from now on."""
        self._balancers = list(ips)

    def listen(self, address: Address) -> None:
        """Take packets for a service address.

        :param address: address that callers send to; balancers get the
            packets on the same port.
        """
        front = DatagramSocket(
            lambda data, caller: self._from_caller(front, data, caller),
            address,
        )
        self._fronts.append(front)

    def _source(self, front: DatagramSocket, caller: tuple):
        key = (front, caller)
        source = self._source_by_caller.get(key)
        if source is None:
            bind = Address(
                str(ipaddress.IPv4Address(self._next_source)), SOURCE_PORT
            )
            self._next_source += 1
            source = DatagramSocket(
                lambda data, _: self._to_caller(front, data, caller),
                bind,
                buffer_bytes=CALLER_BUFFER_BYTES,
            )
            self._source_by_caller[key] = source
        return source

    def _from_caller(self, front, data, caller) -> None:
        port = front.address.port
        source = self._source(front, caller)
        if not self._balancers:
            self.counts.dropped += 1
            return
        for delay in self._copies():
            ip = self._rng.choice(self._balancers)
            self.counts.to_balancers += 1
            by_ip = self.counts.to_balancer_by_ip
            by_ip[ip] = by_ip.get(ip, 0) + 1
            self._later(delay, source, data, Address(ip, port))

    def _to_caller(self, front, data, caller) -> None:
        for delay in self._copies():
            self.counts.to_callers += 1
            self._later(delay, front, data, Address(*caller))

    def _copies(self) -> list[float]:
        faults = self.faults
        if faults.drop and self._rng.random() < faults.drop:
            self.counts.dropped += 1
            return []
        copies = 1
        if faults.duplicate and self._rng.random() < faults.duplicate:
            copies = 2
        return [self._rng.random() * faults.delay_s for _ in range(copies)]

    def _later(self, delay, socket, data, address) -> None:
        if delay:
            asyncio.get_running_loop().call_later(
                delay, socket.send, data, address
            )
        else:
            socket.send(data, address)

    def close(self) -> None:
        """Close all sockets."""
        for socket in [*self._fronts, *self._source_by_caller.values()]:
            socket.close()
