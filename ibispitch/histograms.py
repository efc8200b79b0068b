"""Latency histograms of a process.

They consist of plain integers, so that recording a value takes less than a
microsecond and needs no metrics library. The adapter exports them.
"""

from bisect import bisect_left
from typing import NamedTuple

#: Upper bounds of the buckets, from a local answer to the longest deadline.
LATENCY_BOUNDS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
)  # fmt: skip
#: Maximum number of histograms of a process. Labels come from the catalogue of
#: services; the limit keeps a catalogue that changes often from filling the
#: memory.
MAX_HISTOGRAMS = 512


class Series(NamedTuple):
    """Name and labels of a histogram.

    :param name: name of the measured time, such as ``request_latency``.
    :param service: the service, a label.
    :param kind: the kind of request, a label.
    """

    name: str
    service: str
    kind: str


class LatencyHistogram:
    """Number and sum of values.

    ``counts`` has one bucket for each of :data:`LATENCY_BOUNDS_S` and one for
    larger values; ``total_s`` is the sum of the values.
    """

    __slots__ = ('counts', 'total_s')

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.total_s = 0.0

    def record(self, seconds: float) -> None:
        """Add a value in seconds.

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
        #: Number of values dropped because there are too many series.
        self.left_out = 0

    def record(self, series: Series, seconds: float) -> None:
        """Add a value in seconds to a histogram."""
        histogram = self.histogram_by_series.get(series)
        if histogram is None:
            if len(self.histogram_by_series) >= MAX_HISTOGRAMS:
                self.left_out += 1
                return
            histogram = self.histogram_by_series[series] = LatencyHistogram()
        histogram.record(seconds)
