"""Metrics through OpenTelemetry.

The packet path only adds to plain integers, because a call of an
OpenTelemetry counter costs more than forwarding a packet; the integers are
read by observable counters when the metrics are exported.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
    OTLPMetricExporter,
)
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Histogram
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation
from opentelemetry.sdk.metrics.view import View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest

from ibispitch.settings.programs import MetricsSettings

PREFIX = 'ibispitch.'

#: Boundaries in seconds, from a local answer to the longest deadline.
LATENCY_BOUNDARIES_S = (
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5,
    1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip

#: Boundaries in bytes, from an empty answer to a blockwise upload.
SIZE_BOUNDARIES_BYTES = (
    16, 64, 256, 1024, 4096, 16384, 65536, 262144, 1048576,
)  # fmt: skip

Labels = tuple[tuple[str, str], ...]


def _views() -> list[View]:
    return [
        View(
            instrument_name=f'{PREFIX}*.{suffix}',
            aggregation=ExplicitBucketHistogramAggregation(boundaries),
        )
        for suffix, boundaries in (
            ('latency', LATENCY_BOUNDARIES_S),
            ('size', SIZE_BOUNDARIES_BYTES),
        )
    ]


class Metrics:
    """Counters, gauges and histograms of one process.

    :param settings: the exporter, see :class:`MetricsSettings`.
    :param process: name of the process.
    """

    def __init__(self, settings: MetricsSettings, process: str):
        readers = []
        self._registry = CollectorRegistry()
        self._is_scraped = settings.exporter == 'scrape'
        if self._is_scraped:
            readers.append(PrometheusMetricReader(registry=self._registry))
        elif settings.exporter == 'push':
            readers.append(
                PeriodicExportingMetricReader(
                    OTLPMetricExporter(endpoint=settings.endpoint),
                    export_interval_millis=settings.interval_s * 1000,
                )
            )
        self._provider = MeterProvider(
            readers,
            resource=Resource.create({'service.name': process}),
            views=_views(),
        )
        self._meter = self._provider.get_meter('ibispitch')
        self._count_by_labels_by_name: dict[str, Counter[Labels]] = {}
        self._histogram_by_name: dict[str, Histogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: ``slice.thing``, for example ``wire.rejected``.
        :param amount: what to add.
        :param labels: few values each, never a caller or a request.
        """
        self.counts(name)[tuple(sorted(labels.items()))] += amount

    def counts(self, name: str) -> Counter[Labels]:
        """Return the integers of a counter, for use in the packet path."""
        counts = self._count_by_labels_by_name.get(name)
        if counts is None:
            counts = self._count_by_labels_by_name[name] = Counter()
            self._meter.create_observable_counter(
                PREFIX + name, callbacks=[self._observer(counts)]
            )
        return counts

    @staticmethod
    def _observer(counts: Counter[Labels]) -> Callable:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, dict(labels))
                for labels, value in counts.items()
            ]

        return observe

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Export the value that ``read`` returns when it is called."""
        self._meter.create_observable_gauge(
            PREFIX + name, callbacks=[lambda _: [Observation(read())]]
        )

    def record(self, name: str, value: float, **labels: str) -> None:
        """Record a value in a histogram.

        :param name: ends in ``.latency`` (seconds) or ``.size`` (bytes).
        :param value: the value in the unit of the histogram.
        :param labels: the owner and the class of the service.
        """
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            unit = 's' if name.endswith('.latency') else 'By'
            histogram = self._meter.create_histogram(PREFIX + name, unit)
            self._histogram_by_name[name] = histogram
        histogram.record(value, labels)

    def totals(self) -> dict[str, int]:
        """Return each counter summed over its labels."""
        return {
            name: sum(counts.values())
            for name, counts in self._count_by_labels_by_name.items()
        }

    def labelled_totals(self) -> dict[str, int]:
        """Return each counter by name and labels, ``name{key=value}``."""
        return {
            name + ''.join(f'{{{key}={value}}}' for key, value in labels): n
            for name, counts in self._count_by_labels_by_name.items()
            for labels, n in counts.items()
        }

    def scrape(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def shutdown(self) -> None:
        """Export what is left and stop."""
        self._provider.shutdown()
