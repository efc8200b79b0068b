"""Timers of a gate, as data that can be handed over to a successor."""

import heapq
import itertools


class Timers:
    """A heap of due times.

    An entry cannot be removed before it is due. The caller of
    :meth:`pop_due` checks whether it still applies.
    """

    def __init__(self):
        self._heap: list[tuple[float, int, tuple]] = []
        self._insertion_order = itertools.count()

    def set(self, due: float, *key: str | bytes) -> None:
        """Add a time at which ``key`` is due, in seconds."""
        heapq.heappush(self._heap, (due, next(self._insertion_order), key))

    def pop_due(self, now: float) -> list[tuple]:
        """Remove and return the keys that are due, oldest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due

    def dump(self) -> list[tuple[float, tuple]]:
        """Return all entries, for :meth:`load`."""
        return [(due, key) for due, _, key in self._heap]

    def load(self, entries: list[tuple[float, tuple]]) -> None:
        """Add entries that :meth:`dump` has returned."""
        for due, key in entries:
            self.set(due, *key)
