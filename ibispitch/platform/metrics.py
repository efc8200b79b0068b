"""Metrics of a process in the Prometheus text format.

``prometheus_client`` is imported at the first scrape: most processes are
never scraped, and an import would add to the time for which a restarted
agent is away.
"""

from collections.abc import Callable
from collections.abc import Iterator
from itertools import accumulate

from ibispitch.decisionlog import DecisionLog
from ibispitch.histograms import LATENCY_BOUNDS_S
from ibispitch.histograms import LatencyHistograms
from ibispitch.platform.http import Request
from ibispitch.platform.http import Response

#: Where the deploy file says that metrics are served.
METRICS_PORT = 9100
METRICS_PATH = '/metrics'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

Gauges = Callable[[], dict[str, float]]


class MetricsPage:
    """Answers scrapes.

    :param log: counts events.
    :param measures: the histograms.
    :param gauges: returns present values by name.
    """

    def __init__(
        self, log: DecisionLog, measures: LatencyHistograms, gauges: Gauges
    ):
        self._log = log
        self._measures = measures
        self._gauges = gauges
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
        """Return the metric families, as ``prometheus_client`` asks."""
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
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(f'ibispitch_{name}', name, value)
        family_by_name: dict[str, HistogramMetricFamily] = {}
        bounds = [*(str(bound) for bound in LATENCY_BOUNDS_S), '+Inf']
        for series, histogram in self._measures.histogram_by_series.items():
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
