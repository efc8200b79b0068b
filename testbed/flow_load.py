"""Load test of a deployment in simulated time.

The real programs serve generated requests: a mean rate, then a burst during
which one data centre loses its upstreams. Thousands of requests take some
seconds to simulate. Prints goodput, latencies and the numbers of late and
failed requests by kind and data centre, and plots the outcomes over time.
"""

import asyncio
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from testbed.flow_callers import FlowCaller
from testbed.flow_callers import Outcome
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import FEED
from testbed.flow_platform import QUOTE
from testbed.flow_platform import RequestKind
from testbed.simulated_loop import simulate

#: Objectives and deadlines of the users' busier site.
KINDS = (
    FEED._replace(objective_s=0.506, deadline_s=3.795),
    QUOTE._replace(objective_s=0.5, deadline_s=3.75),
)
MAX_LATENCY_US = 60_000_000
CALLERS = 20
#: Time after a change before measuring starts: lost upstreams are noticed
#: after two missed heartbeats, and their requests end.
SETTLING_S = 4.0


@dataclass(frozen=True)
class LoadShape:
    """A load and the size of the deployment that serves it.

    :param datacentres: number of balancers by data centre.
    :param upstreams: number of upstreams in each data centre.
    :param slots: requests that an upstream runs at a time.
    :param work_s: mean time of a request.
    :param slot_utilisation: share of all slots in use at the mean rate.
    :param burst: factor of the rate during the burst.
    :param lost_datacentre: data centre whose upstreams are lost during the
        burst, ``None`` for no loss.
    :param phases_s: durations before, during and after the burst.
    """

    datacentres: dict[str, int] = field(
        default_factory=lambda: {'accra': 2, 'kumasi': 2, 'tema': 2}
    )
    upstreams: int = 4
    slots: int = 2
    work_s: float = 0.06
    slot_utilisation: float = 0.7
    burst: float = 1.7
    lost_datacentre: str | None = 'kumasi'
    phases_s: tuple[float, float, float] = (8.0, 16.0, 12.0)

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all upstreams can run."""
        return (
            len(self.datacentres) * self.upstreams * self.slots / self.work_s
        )

    @property
    def remaining_per_s(self) -> float:
        """Requests a second that can be run during the burst."""
        lost_per_s = self.capacity_per_s / len(self.datacentres)
        return self.capacity_per_s - lost_per_s * (
            self.lost_datacentre is not None
        )

    @property
    def window(self) -> tuple[float, float]:
        """Begin and end of the measured part of the burst.

        In seconds from the start of the load; the first seconds of the burst
        are left out.
        """
        before, during, _ = self.phases_s
        return before + SETTLING_S, before + during


@dataclass
class LoadReport:
    """Result of a load test.

    :param started_at: simulated time at which the load began.
    """

    shape: LoadShape
    network: FlowNetwork
    callers: list[tuple[str, RequestKind, FlowCaller]]
    started_at: float

    def requests(self):
        """Yield data centre, kind, send time and request of each request."""
        for datacentre, kind, caller in self.callers:
            for request in caller.requests:
                at = request.asked_at - self.started_at
                yield datacentre, kind, at, request

    def goodput_per_s(self, since: float, until: float) -> float:
        """Return the rate of answers within their objective."""
        good = sum(
            request.outcome is Outcome.IN_TIME
            and since <= request.answered_at - self.started_at < until
            for _, _, _, request in self.requests()
        )
        return good / (until - since)

    def rows(self) -> list[tuple]:
        """Return a row for each kind and data centre."""
        counts: dict[tuple, Counter] = defaultdict(Counter)
        latencies: dict[tuple, HdrHistogram] = defaultdict(
            lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
        )
        for datacentre, kind, _, request in self.requests():
            key = kind.kind, datacentre
            counts[key][request.outcome] += 1
            if request.answered_at is not None:
                took_s = request.answered_at - request.asked_at
                latencies[key].record_value(int(took_s * 1e6))
        return [
            (
                *key,
                *(counts[key][outcome] for outcome in Outcome),
                latencies[key].get_value_at_percentile(50) / 1000,
                latencies[key].get_value_at_percentile(99) / 1000,
            )
            for key in sorted(counts)
        ]


def run_load(shape: LoadShape, seed: int = 1) -> LoadReport:
    """Run a load test; the same seed gives the same requests."""

    async def run(loop) -> LoadReport:
        network = FlowNetwork(
            loop, shape.datacentres,
            [
                (datacentre, 'counter')
                for datacentre in shape.datacentres
                for _ in range(shape.upstreams)
            ],
            seed=seed, slots=shape.slots, work_s=shape.work_s,
        )  # fmt: skip
        network.configure(1, KINDS)
        await network.start()
        callers = [
            (datacentre, kind, network.add_caller(datacentre, kind))
            for datacentre in shape.datacentres
            for kind in KINDS
            for _ in range(CALLERS)
        ]
        report = LoadReport(shape, network, callers, loop.time())
        everyone = [caller for _, _, caller in callers]
        rate = shape.slot_utilisation * shape.capacity_per_s
        before, during, after = shape.phases_s
        await network.send_requests(everyone, rate, before)
        lost_hosts = [
            host
            for host in network.agents
            if host.datacentre == shape.lost_datacentre
        ]
        for host in lost_hosts:
            host.upstream.crash()
        await network.send_requests(everyone, shape.burst * rate, during)
        for host in lost_hosts:
            network.start_upstream(host, cold_s=1.0)
        await network.send_requests(everyone, rate, after)
        await asyncio.sleep(KINDS[0].deadline_s)
        return report

    return simulate(run)


def plot_outcomes(report: LoadReport, path: Path) -> None:
    """Plot the requests of each second by outcome."""
    # Imported here, as only plots need it and its import takes a second.
    from matplotlib import pyplot

    shape = report.shape
    asked: dict[int, Counter] = defaultdict(Counter)
    for _, _, at, request in report.requests():
        asked[int(at)][request.outcome] += 1
    seconds = range(max(asked) + 1)
    figure, axes = pyplot.subplots(figsize=(8, 4))
    axes.stackplot(
        seconds,
        *(
            [asked[second][outcome] for second in seconds]
            for outcome in Outcome
        ),
        labels=[outcome.value for outcome in Outcome],
    )
    axes.plot(
        shape.window, [shape.remaining_per_s] * 2, 'k--',
        label='what the remaining slots can run',
    )  # fmt: skip
    axes.set_xlabel('second in which it was asked')
    axes.set_ylabel('requests a second')
    axes.legend(loc='upper right')
    figure.tight_layout()
    figure.savefig(path)


@click.command()
@click.option('--seed', default=1, help='Seed of the arrivals.')
@click.option('--burst', default=1.7, help='Factor of the rate.')
@click.option('--use', default=0.7, help='Share of the slots in use.')
@click.option('--slots', default=2, help='Slots of an upstream.')
@click.option(
    '--plot', type=click.Path(path_type=Path), default=Path('docs/load.png')
)
def main(seed, burst, use, slots, plot) -> None:
    """Play a burst with the upstreams of a data centre lost."""
    shape = LoadShape(burst=burst, slot_utilisation=use, slots=slots)
    report = run_load(shape, seed)
    headers = ('kind', 'data centre', *(o.value for o in Outcome))
    click.echo(tabulate(report.rows(), headers=(*headers, 'p50 ms', 'p99 ms')))
    goodput = report.goodput_per_s(*shape.window)
    click.echo(
        f'goodput in the burst: {goodput:.0f} a second, '
        f'{goodput / shape.remaining_per_s:.1%} of what the remaining '
        'slots can run'
    )
    plot_outcomes(report, plot)
    click.echo(f'drawn in {plot}')


if __name__ == '__main__':
    main()
