"""Due times of a gate, as data that can be handed to a successor."""

import heapq
import itertools


class Timers:
    """A heap of due times.

    An entry is never removed before it is due; whoever sets it checks when
    it is due whether it still applies.
    """

    def __init__(self):
        self._heap: list[tuple[float, int, tuple]] = []
        self._order = itertools.count()

    def set(self, due: float, *key: str | bytes) -> None:
        """Set a time at which ``key`` is due, in seconds."""
        heapq.heappush(self._heap, (due, next(self._order), key))

    def pop_due(self, now: float) -> list[tuple]:
        """Remove and return the keys that are due, oldest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due

    def dump(self) -> list[tuple[float, tuple]]:
        """Return all entries."""
        return [(due, key) for due, _, key in self._heap]

    def load(self, entries: list[tuple[float, tuple]]) -> None:
        """Add entries of :meth:`dump`."""
        for due, key in entries:
            self.set(due, *key)
