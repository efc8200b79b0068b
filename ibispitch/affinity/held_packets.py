"""Packets that wait until the owner of their flow is known."""

from collections import defaultdict
from typing import NamedTuple

from ibispitch.affinity.effects import Packet

#: Bounds the memory for held packets.
MAX_HELD_PACKETS = 256
#: Bounds the age of a packet that is delivered or relayed.
HOLD_TIMEOUT_S = 3.0


class HeldPacket(NamedTuple):
    """A packet and the time until which it waits, in seconds."""

    packet: Packet
    deadline: float


class HeldPackets:
    """Bounded buffer of packets by slot, in order of arrival."""

    def __init__(self):
        self._by_slot: dict[int, list[HeldPacket]] = defaultdict(list)
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, slot: int, packet: Packet, deadline: float) -> bool:
        """Hold a packet; return whether the buffer had room for it."""
        if self._count >= MAX_HELD_PACKETS:
            return False
        self._by_slot[slot].append(HeldPacket(packet, deadline))
        self._count += 1
        return True

    def take(self, slot: int) -> list[HeldPacket]:
        """Remove and return the packets of a slot."""
        packets = self._by_slot.pop(slot, [])
        self._count -= len(packets)
        return packets

    def slots(self) -> list[int]:
        """Return the slots of the held packets."""
        return list(self._by_slot)

    def expire(self, now: float) -> list[Packet]:
        """Remove and return the packets whose deadline has passed."""
        if not self._count:
            return []
        expired = []
        for slot in self.slots():
            for held in self.take(slot):
                if held.deadline <= now:
                    expired.append(held.packet)
                else:
                    self.add(slot, *held)
        return expired
