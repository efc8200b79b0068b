"""Latency histograms and counters of a process, in plain integers.

Recording costs less than a microsecond, and nothing has to be imported for
it. How they are exported is the adapter's matter.
"""

from bisect import bisect_left
from typing import NamedTuple

#: Upper bounds in seconds, from a local answer to the longest deadline.
LATENCY_BOUNDS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
)  # fmt: skip
#: Histograms of a process. Labels come from the catalogue of services; the
#: bound keeps a catalogue that changes often from filling the memory.
MAX_HISTOGRAMS = 512


class Series(NamedTuple):
    """Name and labels of a histogram.

    :param name: ``slice.thing``, in seconds.
    :param service: the service.
    :param kind: the kind of request.
    """

    name: str
    service: str
    kind: str


class LatencyHistogram:
    """Counts of values by :data:`LATENCY_BOUNDS_S`, the last one above."""

    __slots__ = ('counts', 'total_s')

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.total_s = 0.0

    def record(self, seconds: float) -> None:
        """Add a value.

        >>> histogram = LatencyHistogram()
        >>> histogram.record(0.0015)
        >>> histogram.counts[:3]
        [0, 1, 0]
        """
        self.counts[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class LatencyHistograms:
    """The histograms of a process."""

    def __init__(self):
        self.histogram_by_series: dict[Series, LatencyHistogram] = {}
        #: Values that were left out because there are too many series.
        self.left_out = 0

    def record(self, series: Series, seconds: float) -> None:
        """Add a value to a histogram."""
        histogram = self.histogram_by_series.get(series)
        if histogram is None:
            if len(self.histogram_by_series) >= MAX_HISTOGRAMS:
                self.left_out += 1
                return
            histogram = self.histogram_by_series[series] = LatencyHistogram()
        histogram.record(seconds)
