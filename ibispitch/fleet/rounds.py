"""Rounds in which a process sends its status to others.

Processes in its own data centre get it often, since new flows stay there.
Within a large fleet only some of the others get it in each round, in
rotation, so that the traffic of a host doesn't grow with the fleet.
"""

from collections.abc import Iterable
from itertools import islice
import math
from typing import NamedTuple

#: Interval of the rounds in which status messages are sent within a data
#: centre. A process that is gone gets no new flows after a second.
STATUS_INTERVAL_S = 0.4
#: Intervals of the first rounds of a process. When all processes start
#: together, the first messages reach hosts on which nothing listens yet.
START_ROUND_INTERVALS_S = (0.1, 0.1, 0.2)
#: Rounds between status messages to other data centres. Traffic between data
#: centres costs money, and new flows go to another one only if the local
#: upstreams are busy.
FAR_ROUNDS = 3
#: Maximum number of receivers of a round of status messages in the own data
#: centre, and in others. With 90 bytes each and the headers they cost
#: 3.4 KB/s of the 4 KB/s that a host may send for control.
MAX_NEAR_PER_ROUND = 8
MAX_FAR_PER_ROUND = 15


class RoundReceivers(NamedTuple):
    """Receivers of one round of status messages.

    :param near: receivers in the own data centre.
    :param far: receivers in other data centres.
    """

    near: list[str]
    far: list[str]


class RoundSchedule:
    """Distributes the receivers of status messages over rounds."""

    def __init__(self):
        self._number = 0
        self._next_near = 0
        self._next_far = 0
        #: Rounds between two status messages to a near and to a far process.
        self.near_rounds = 1
        self.far_rounds = FAR_ROUNDS

    def next(self, near: Iterable[str], far: Iterable[str]) -> RoundReceivers:
        """Return the receivers of the next round.

        In a small fleet these are all processes, in a large one a part, in
        rotation.
        """
        self._number += 1
        near, far = sorted(near), sorted(far)
        self.near_rounds = max(1, math.ceil(len(near) / MAX_NEAR_PER_ROUND))
        self.far_rounds = FAR_ROUNDS * max(
            1, math.ceil(len(far) / MAX_FAR_PER_ROUND)
        )
        near, self._next_near = _rotate(
            near, self._next_near, MAX_NEAR_PER_ROUND
        )
        if self._number % FAR_ROUNDS:
            return RoundReceivers(near, [])
        far, self._next_far = _rotate(far, self._next_far, MAX_FAR_PER_ROUND)
        return RoundReceivers(near, far)


def _rotate(
    ordered: list[str], start: int, most: int
) -> tuple[list[str], int]:
    if len(ordered) <= most:
        return ordered, 0
    start %= len(ordered)
    chosen = islice(ordered + ordered, start, start + most)
    return list(chosen), start + most
