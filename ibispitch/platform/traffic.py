"""Counts what a process sends to other processes.

Traffic between data centres has a price, so that operators need to see what
it consists of.
"""

from collections import Counter
import enum

from ibispitch.fleet.messages import message_name
from ibispitch.forwarding.frames import frame_name
from ibispitch.pacing.core import HEADER_BYTES

#: Status messages begin with a byte of at least this value, frames with a
#: lower one.
FIRST_STATUS_BYTE = 0x90


class Reach(enum.Enum):
    """Where the receiver of a datagram is."""

    SAME_DATACENTRE = 'same_datacentre'
    OTHER_DATACENTRE = 'other_datacentre'


def datagram_name(data: bytes) -> str:
    """Return the name of what a datagram between processes carries."""
    if data[0] >= FIRST_STATUS_BYTE:
        return message_name(data)
    return frame_name(data)


class SentBytes:
    """Bytes that were sent, with headers, by name and reach."""

    def __init__(self):
        self.count_by_name_and_reach: Counter[tuple[str, str]] = Counter()

    def record(self, data: bytes, is_far: bool) -> None:
        """Count a datagram.

        :param is_far: whether the receiver is in another data centre.
        """
        reach = Reach.OTHER_DATACENTRE if is_far else Reach.SAME_DATACENTRE
        key = datagram_name(data), reach.value
        self.count_by_name_and_reach[key] += len(data) + HEADER_BYTES
