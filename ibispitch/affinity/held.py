"""Packets that wait for the owner of their flow to be known."""

from collections import defaultdict
from typing import NamedTuple

from ibispitch.affinity.effects import Packet

#: Bounds on memory and on the age of what is released.
MAX_HELD = 256
HOLD_S = 3.0


class HeldPacket(NamedTuple):
    """A packet and the time until which it waits, in seconds."""

    packet: Packet
    until: float


class HeldPackets:
    """Bounded buffer of packets by slot, in order of arrival."""

    def __init__(self):
        self._by_slot: dict[int, list[HeldPacket]] = defaultdict(list)
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, slot: int, packet: Packet, until: float) -> bool:
        """Hold a packet; false if the buffer is full."""
        if self._count >= MAX_HELD:
            return False
        self._by_slot[slot].append(HeldPacket(packet, until))
        self._count += 1
        return True

    def take(self, slot: int) -> list[HeldPacket]:
        """Remove and return the packets of a slot."""
        packets = self._by_slot.pop(slot, [])
        self._count -= len(packets)
        return packets

    def slots(self) -> list[int]:
        """Return the slots that packets wait for."""
        return list(self._by_slot)

    def expire(self, now: float) -> list[Packet]:
        """Remove and return the packets that waited too long."""
        if not self._count:
            return []
        expired = []
        for slot in self.slots():
            for held in self.take(slot):
                if held.until <= now:
                    expired.append(held.packet)
                else:
                    self.add(slot, *held)
        return expired
