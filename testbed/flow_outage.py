"""Recovery of a deployment after all its processes or hosts were lost.

The real programs serve flows in simulated time. At one moment all
processes are killed, or all hosts lose power and their upstreams come back
cold. The report gives the outcome of the requests by kind and window, beside
an upper bound of what any decisions could have served.
"""

import asyncio
from collections import Counter
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import enum
import math
import random
from typing import NamedTuple

import click
import numpy
from scipy.optimize import linear_sum_assignment
from tabulate import tabulate

from ibispitch.ids import Address
from ibispitch.settings.overload import GateSettings
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload import RetrySettings
from ibispitch.settings.overload import SchedulingSettings
from testbed.flow_callers import FlowCaller
from testbed.flow_callers import Outcome
from testbed.flow_callers import Request
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import RequestKind
from testbed.simulated_loop import simulate

#: Load before the outage, and until the last request ends.
BEFORE_S = 2.0
#: Length of the windows of the report.
WINDOW_S = 2.0
#: Time from the return of the power to the start of the last process.
LONGEST_START_S = 0.35
#: New flows that a cold upstream may get in a second, if the configuration
#: allows none.
COLD_SLACK = 5
#: Window and margin in which these flows are counted.
COLD_WINDOW_S = 1.03
#: Standard deviation of the logarithm of the run times.
WORK_SPREAD = 0.5
#: Time that the packets of a request spend between caller and upstream: the
#: opening, its answer, the request and its answer.
NETWORK_S = 0.01

#: Settings of the decisions under overload as in ``deploy/overload.json5``.
DEPLOYED = OverloadSettings(
    scheduling=SchedulingSettings(Mode.AUTO),
    gate=GateSettings(Mode.AUTO),
    retries=RetrySettings(Mode.AUTO),
)


class Loss(enum.Enum):
    """What is lost in an outage."""

    PROCESSES = 'processes'
    POWER = 'power'
    #: The load alone decides.
    NOTHING = 'nothing'


class KindLoad(NamedTuple):
    """Requests of one kind.

    :param share: part of all requests.
    :param worth: value of an answer in time.
    :param late_worth: value of an answer that is late.
    :param is_long: whether a flow carries many requests.
    """

    kind: RequestKind
    share: float
    worth: float
    late_worth: float
    is_long: bool = False


def fresh_kinds(
    objective_s: float, deadline_s: float
) -> tuple[KindLoad, KindLoad]:
    """Return reads, and writes that are worth two and can't be repeated."""
    destination = Address('198.18.0.1', 443)
    read = RequestKind(
        'safe', 'counter', destination, objective_s, deadline_s, 2
    )
    write = read._replace(
        kind='unsafe', destination=destination._replace(port=8080),
        objective_s=1.2 * objective_s, deadline_s=1.2 * deadline_s, priority=1,
    )  # fmt: skip
    return KindLoad(read, 0.78, 1.0, 0.3), KindLoad(write, 0.22, 2.0, 0.6)


@dataclass(frozen=True)
class Outage:
    """A deployment with its load, and an outage of all of it.

    :param datacentres: number of balancers by data centre.
    :param upstreams: data centre of each upstream.
    :param slots: requests that an upstream runs at a time.
    :param work_s: mean time of a request.
    :param slot_utilisation: share of all slots in use before the outage.
    :param kinds: the requests.
    :param loss: what is lost.
    :param dark_s: time for which it is lost.
    :param cold_s: time for which upstreams are cold after power was lost.
    :param cold_openings_per_s: new flows that a cold upstream bears.
    :param after_s: duration of the load after the outage began.
    :param callers: callers of each kind in each data centre.
    """

    datacentres: dict[str, int] = field(
        default_factory=lambda: {'east': 3, 'north': 2, 'south': 2, 'west': 2}
    )
    upstreams: tuple[str, ...] = (
        *('east', 'north', 'south') * 2, 'west',
    )  # fmt: skip
    slots: int = 1
    work_s: float = 0.0156
    slot_utilisation: float = 0.44
    kinds: tuple[KindLoad, ...] = fresh_kinds(0.1, 1.0)
    loss: Loss = Loss.POWER
    dark_s: float = 0.65
    cold_s: float = 2.0
    cold_openings_per_s: float = 0.0
    after_s: float = 6.0
    callers: int = 40

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all upstreams can run."""
        return len(self.upstreams) * self.slots / self.work_s

    @property
    def requests_per_s(self) -> float:
        """Requests a second that callers ask."""
        return self.slot_utilisation * self.capacity_per_s

    @property
    def cold_limit(self) -> int:
        """New flows that a cold upstream may get in a second."""
        return int(1.5 * self.cold_openings_per_s) + COLD_SLACK


def long_flows(dark_s: float = 1.6) -> Outage:
    """Return an outage of a deployment with long flows.

    Two thirds of the requests come on long flows with pauses of seconds,
    their objective is eight times their work, and writes are more urgent.

    :param dark_s: time for which all power is lost.
    """
    read, write = fresh_kinds(0.25, 2.0)
    read = read._replace(share=0.67, is_long=True)
    write = write._replace(
        share=0.33, kind=write.kind._replace(deadline_s=2.5)
    )
    return Outage(
        datacentres={'east': 8, 'north': 8, 'south': 9},
        upstreams=('east',) * 17 + ('north',) * 17 + ('south',) * 16,
        work_s=0.033, slot_utilisation=0.42, kinds=(read, write),
        dark_s=dark_s, after_s=8.0, callers=400,
    )  # fmt: skip


class Asked(NamedTuple):
    """A request, with its time from the begin of the outage."""

    at: float
    load: KindLoad
    outcome: Outcome

    @property
    def credit(self) -> float:
        """Value of what the caller got."""
        if self.outcome is Outcome.IN_TIME:
            return self.load.worth
        return self.load.late_worth if self.outcome is Outcome.LATE else 0.0


@dataclass
class OutageReport:
    """What the callers of a deployment got during an outage."""

    outage: Outage
    network: FlowNetwork
    lost_at: float
    asked: list[Asked]

    def between(self, since: float, until: float) -> list[Asked]:
        """Return the requests that were asked in a period."""
        return [asked for asked in self.asked if since <= asked.at < until]

    def credit(self, since: float = 0.0, until: float = math.inf) -> float:
        """Return the part of the value that was served."""
        asked = self.between(since, until)
        return sum(a.credit for a in asked) / sum(a.load.worth for a in asked)

    def bound(self, since: float = 0.0, until: float = math.inf) -> float:
        """Return an upper bound of :meth:`credit` of short flows.

        Requests on open long flows need no place of a cold upstream.
        """
        asked = self.between(since, until)
        most = best_credit(asked, list(start_times(self.outage)), self.outage)
        return most / sum(a.load.worth for a in asked)

    def failed(
        self, since: float, until: float
    ) -> Iterator[tuple[Request, float]]:
        """Yield requests that failed, and how long their callers waited.

        :param since: begin of the period in which they were asked.
        :param until: its end.
        """
        for caller in self.network.caller_by_ip.values():
            for request in caller.requests:
                at = request.asked_at - self.lost_at
                if request.answered_at is None and since <= at < until:
                    yield request, caller.ended_at(request) - request.asked_at

    def windows(self) -> Iterator[tuple[float, float]]:
        """Yield the windows from the begin of the outage."""
        begin = 0.0
        while begin < self.outage.after_s:
            yield begin, begin + WINDOW_S
            begin += WINDOW_S

    def rows(self) -> list[tuple]:
        """Return a row for each window and kind."""
        counts: dict[tuple, Counter] = defaultdict(Counter)
        for since, until in self.windows():
            for asked in self.between(since, until):
                counts[since, asked.load.kind.kind][asked.outcome] += 1
        return [
            (*key, *(counts[key][outcome] for outcome in Outcome))
            for key in sorted(counts)
        ]


def start_times(outage: Outage) -> Iterator[float]:
    """Yield the times at which upstreams can start a request.

    They are the places of cold upstreams, and one time for each slot and mean
    request time once the upstreams are warm.
    """
    warm_at = outage.dark_s if outage.loss is not Loss.NOTHING else 0.0
    if outage.loss is Loss.POWER:
        warm_at += outage.cold_s
        at = outage.dark_s
        while at < warm_at:
            yield from [at] * (outage.cold_limit * len(outage.upstreams))
            at += COLD_WINDOW_S
    at = warm_at
    while at < outage.after_s:
        yield from [at] * (outage.slots * len(outage.upstreams))
        at += outage.work_s


def best_credit(
    asked: list[Asked], starts: list[float], outage: Outage
) -> float:
    """Return the highest value that the requests can reach.

    Each request starts once at one of the times, in time or late; which one
    is known in advance. Requests all take the mean time.
    """
    if not asked or not starts:
        return 0.0
    at = numpy.array([a.at for a in asked])[:, None]
    start = numpy.array(starts)[None, :]
    answered_after = start + outage.work_s + NETWORK_S - at

    def column(values) -> numpy.ndarray:
        return numpy.array(list(values))[:, None]

    objective = column(a.load.kind.objective_s for a in asked)
    deadline = column(a.load.kind.deadline_s for a in asked)
    worth = column(a.load.worth for a in asked)
    late_worth = column(a.load.late_worth for a in asked)
    credit = numpy.where(
        answered_after <= objective,
        worth,
        numpy.where(answered_after <= deadline, late_worth, 0.0),
    )
    # The opening and its answer come before the request.
    credit[start < at + NETWORK_S / 2] = 0.0
    rows, columns = linear_sum_assignment(credit, maximize=True)
    return float(credit[rows, columns].sum())


def run_outage(
    outage: Outage,
    seed: int = 1,
    overload: OverloadSettings = DEPLOYED,
) -> OutageReport:
    """Run an outage; the same seed gives the same requests."""

    async def run(loop) -> OutageReport:
        network = FlowNetwork(
            loop, outage.datacentres,
            [(name, 'counter') for name in outage.upstreams],
            seed=seed, slots=outage.slots, work_s=outage.work_s,
            work_spread=WORK_SPREAD,
        )  # fmt: skip
        network.overload = overload
        network.cold_openings_per_s = outage.cold_openings_per_s
        network.configure(1, [load.kind for load in outage.kinds])
        await network.start()
        callers = [
            (load, network.add_caller(name, load.kind, load.is_long))
            for name in outage.datacentres
            for load in outage.kinds
            for _ in range(outage.callers)
        ]
        sending = loop.create_task(
            _send(network, callers, outage, BEFORE_S + outage.after_s)
        )
        await asyncio.sleep(BEFORE_S)
        lost_at = loop.now
        _lose(network, outage)
        await sending
        await asyncio.sleep(max(load.kind.deadline_s for load in outage.kinds))
        return OutageReport(
            outage, network, lost_at,
            [
                Asked(request.asked_at - lost_at, load, request.outcome)
                for load, caller in callers
                for request in caller.requests
            ],
        )  # fmt: skip

    return simulate(run)


async def _send(
    network: FlowNetwork,
    callers: list[tuple[KindLoad, FlowCaller]],
    outage: Outage,
    for_s: float,
) -> None:
    """Let random callers ask, each kind at its share of the rate."""
    # A generator of its own, so that the requests don't depend on decisions.
    rng = random.Random(network.rng.random())
    callers_by_kind = defaultdict(list)
    for load, caller in callers:
        callers_by_kind[load].append(caller)
    until = network.loop.now + for_s
    while network.loop.now < until:
        [load] = rng.choices(outage.kinds, [k.share for k in outage.kinds])
        rng.choice(callers_by_kind[load]).ask()
        await asyncio.sleep(rng.expovariate(outage.requests_per_s))


def _lose(network: FlowNetwork, outage: Outage) -> None:
    if outage.loss is Loss.NOTHING:
        return
    for host in (*network.balancers, *network.agents):
        start_s = network.rng.uniform(0.05, LONGEST_START_S)
        network.kill(host, outage.dark_s + start_s)
    if outage.loss is Loss.POWER:
        for host in network.agents:
            host.upstream.crash()
            network.loop.call_later(
                outage.dark_s, network.start_upstream, host, outage.cold_s
            )


@click.command()
@click.option('--seeds', default=4, help='Number of seeds, from 1.')
@click.option('--loss', type=click.Choice([e.value for e in Loss]),
              default=Loss.POWER.value)  # fmt: skip
@click.option('--dark', default=0.65, help='Seconds for which it is lost.')
@click.option('--use', default=0.44, help='Share of the slots in use.')
@click.option(
    '--long/--short', 'is_long',
    help='50 upstreams with long flows, without a bound.',
)  # fmt: skip
def main(seeds, loss, dark, use, is_long) -> None:
    """Lose all processes or all power, and compare with the bound."""
    outage = Outage(loss=Loss(loss), dark_s=dark, slot_utilisation=use)
    if is_long:
        outage = replace(long_flows(dark), loss=Loss(loss))
    for seed in range(1, seeds + 1):
        report = run_outage(outage, seed)
        headers = ('second', 'kind', *(o.value for o in Outcome))
        click.echo(tabulate(report.rows(), headers=headers))
        for since, until in report.windows():
            line = f'seed {seed}, {since:.0f} s to {until:.0f} s: '
            line += f'{report.credit(since, until):.3f}'
            if not is_long:
                line += f' of {report.bound(since, until):.3f}'
            click.echo(line)


if __name__ == '__main__':
    main()
