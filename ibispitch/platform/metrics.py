"""Metrics of a process in the Prometheus text format.

``prometheus_client`` is imported at the first scrape: most processes are
never scraped, and the import would lengthen the restart of an agent.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from itertools import accumulate
from typing import NamedTuple

from ibispitch.decisionlog import DecisionLog
from ibispitch.histograms import LATENCY_BOUNDS_S
from ibispitch.histograms import LatencyHistograms
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response

#: Port and path that the deploy file names for metrics.
METRICS_PORT = 9100
METRICS_PATH = '/metrics'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

Gauges = Callable[[], dict[str, float]]


class Counts(NamedTuple):
    """Counts of one kind of event by the values of labels.

    :param name: name of the metric without prefix and ``_total``.
    :param labels: names of the labels.
    """

    name: str
    help: str
    labels: tuple[str, ...]
    count_by_values: Mapping[tuple[str, ...], int]


Counters = Callable[[], Iterable[Counts]]


def no_counters() -> Iterable[Counts]:
    """Return the counters of a program that has none."""
    return ()


class MetricsPage:
    """Answers scrapes.

    :param log: its event counts are served as counters.
    :param histograms: latency histograms of the process.
    :param gauges: returns the current values by name.
    :param counters: returns the counts with labels.
    """

    def __init__(
        self,
        log: DecisionLog,
        histograms: LatencyHistograms,
        gauges: Gauges,
        counters: Counters = no_counters,
    ):
        self._log = log
        self._histograms = histograms
        self._gauges = gauges
        self._counters = counters
        self._registry = None

    async def answer(self, request: Request) -> Response:
        """Answer a scrape."""
        if request.path.split('?')[0] != METRICS_PATH:
            return Response(404)
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        if self._registry is None:
            self._registry = CollectorRegistry()
            self._registry.register(self)
        return Response(200, generate_latest(self._registry), CONTENT_TYPE)

    def collect(self) -> Iterator:
        """Return the metric families; ``prometheus_client`` calls this."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        events = CounterMetricFamily(
            'ibispitch_events', 'Decisions and changes by event',
            labels=['event'],
        )  # fmt: skip
        for event, count in self._log.count_by_event.items():
            events.add_metric([event], count)
        yield events
        for counts in self._counters():
            counter = CounterMetricFamily(
                f'ibispitch_{counts.name}', counts.help, labels=counts.labels
            )
            for values, count in counts.count_by_values.items():
                counter.add_metric(values, count)
            yield counter
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(f'ibispitch_{name}', name, value)
        family_by_name: dict[str, HistogramMetricFamily] = {}
        bounds = [*(str(bound) for bound in LATENCY_BOUNDS_S), '+Inf']
        for series, histogram in self._histograms.histogram_by_series.items():
            family = family_by_name.setdefault(
                series.name,
                HistogramMetricFamily(
                    f'ibispitch_{series.name}_seconds',
                    f'{series.name} by service and kind',
                    labels=['service', 'kind'],
                ),
            )
            sums = list(accumulate(histogram.counts))
            family.add_metric(
                [series.service, series.kind],
                list(zip(bounds, sums, strict=True)),
                histogram.total_s,
            )
        yield from family_by_name.values()
