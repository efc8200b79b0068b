"""Random fault tests of a whole deployment in simulated time.

One run with a seed is called a day. Faults of the kinds in :data:`FAULTS` are
injected at random times, alone and overlapping, while the real programs serve
simulated callers. The promises of the service are checked at the end. A day
takes about two seconds to simulate; the same seed gives the same day.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
import random

import click

from testbed.flow_callers import Outcome
from testbed.flow_network import FlowNetwork
from testbed.flow_network import Host
from testbed.flow_platform import FEED
from testbed.flow_platform import QUOTE
from testbed.memory_store import Fault
from testbed.simulated_loop import simulate

DATACENTRES = {'accra': 2, 'kumasi': 2, 'tema': 1}
AGENTS = [(name, 'counter') for name in DATACENTRES for _ in range(3)]
FEED_CALLERS = QUOTE_CALLERS = 8
REQUESTS_PER_S = 120
FAULTS_PER_DAY = 5
FAULT_TIME_S = 12.0
#: Time after the last fault until every request must be served again: a cold
#: start, the longest delay between attempts to reach the store, and the
#: deadline of a feed request.
RECOVERY_S = 8.0
#: Time at the end of the load in which every request must be served.
STABLE_S = 3.0
#: Limit of new flows of a cold upstream that follows from the settings.
MAX_COLD_OPENINGS_PER_S = 5
#: Longest cut; shorter than the silence after which an upstream counts as
#: lost.
MAX_CUT_S = 2.0
COLD_START_S = 2.0

FaultAction = Callable[[FlowNetwork, random.Random], Awaitable[None]]
FAULTS: dict[str, FaultAction] = {}


def fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a kind of fault under the name that is printed."""

    def register(action: FaultAction) -> FaultAction:
        FAULTS[name] = action
        return action

    return register


def _running(hosts: list[Host]) -> list[Host]:
    return [h for h in hosts if not h.task.done() and h.sockets]


def _replace_upstream(network: FlowNetwork, host: Host) -> None:
    if not host.upstream.is_alive:
        network.start_upstream(host, cold_s=COLD_START_S)


@fault('kill a process')
async def _kill(network, rng):
    hosts = _running([*network.balancers, *network.agents])
    if hosts:
        network.kill(rng.choice(hosts))


@fault('kill most processes')
async def _kill_most(network, rng):
    for host in _running([*network.balancers, *network.agents]):
        if rng.random() < 0.6:
            network.kill(host, rng.uniform(0.4, 0.8))


@fault('stop processes in turn')
async def _stop(network, rng):
    hosts = _running([*network.balancers, *network.agents])
    for host in rng.sample(hosts, min(3, len(hosts))):
        if not _running([host]):
            continue
        task = host.task
        try:
            await network.stop(host)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            # Another fault killed the process while it was stopping.
        await asyncio.sleep(rng.uniform(0.0, 0.5))


@fault('upstream crashes')
async def _crash(network, rng):
    host = rng.choice(network.agents)
    host.upstream.crash()
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    _replace_upstream(network, host)


@fault('upstream leaves')
async def _leave(network, rng):
    host = rng.choice(network.agents)
    if host.upstream.is_alive and not host.upstream.is_draining:
        await network.leave(host)
        _replace_upstream(network, host)


@fault('host is cut off')
async def _cut(network, rng):
    host = rng.choice([*network.balancers, *network.agents])
    pairs = {
        frozenset((host.name, other.name))
        for other in network.host_by_ip.values()
        if other is not host and rng.random() < 0.8
    }
    network.cut_pairs |= pairs
    await asyncio.sleep(rng.uniform(0.3, MAX_CUT_S))
    network.cut_pairs -= pairs


@fault('data centre is out')
async def _take_out(network, rng):
    name = rng.choice(list(DATACENTRES))
    network.take_out(name)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    for host in network.agents:
        if host.datacentre == name and host.upstream.is_alive:
            host.upstream.turn_cold(COLD_START_S)
    network.take_out(name, False)


@fault('store is away')
async def _disturb_store(network, rng):
    network.store.fault = rng.choice([Fault.SILENT, Fault.BUSY, Fault.RESET])
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    network.store.fault = Fault.NONE


@fault('packets are lost')
async def _lose_packets(network, rng):
    network.loss = 0.03
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    network.loss = 0.0


@fault('power is lost')
async def _lose_power(network, rng):
    for host in _running([*network.balancers, *network.agents]):
        network.kill(host, rng.uniform(1.0, 1.4))
    for host in network.agents:
        host.upstream.crash()
        network.loop.call_later(1.0, _replace_upstream, network, host)


class Day:
    """One run with random faults.

    :ivar injected_faults: time in seconds and name of each injected fault.
    """

    def __init__(self, seed: int):
        self._rng = random.Random(seed)
        self._seed = seed
        self.injected_faults: list[str] = []
        self.network: FlowNetwork | None = None
        #: Simulated time from which every request must be served.
        self.stable_at = 0.0

    def run(self) -> list[str]:
        """Run the day.

        :returns: the broken promises, as text.
        """
        simulate(self._run)
        return self._broken_promises()

    async def _run(self, loop) -> None:
        network = FlowNetwork(loop, DATACENTRES, AGENTS, seed=self._seed)
        self.network = network
        network.configure(1, (FEED, QUOTE))
        await network.start()
        callers = [
            network.add_caller(name, kind, is_long)
            for name in DATACENTRES
            for kind, is_long, count in (
                (FEED, True, FEED_CALLERS), (QUOTE, False, QUOTE_CALLERS),
            )
            for _ in range(count)
        ]  # fmt: skip
        length_s = FAULT_TIME_S + RECOVERY_S + STABLE_S
        faults = [
            loop.create_task(self._inject_fault(network))
            for _ in range(FAULTS_PER_DAY)
        ]
        load = network.send_requests(callers, REQUESTS_PER_S, length_s)
        await asyncio.gather(load, *faults)
        self.stable_at = loop.now - STABLE_S
        await asyncio.sleep(FEED.deadline_s + 1.0)

    async def _inject_fault(self, network: FlowNetwork) -> None:
        rng = self._rng
        name = rng.choice(list(FAULTS))
        await asyncio.sleep(rng.uniform(1.0, FAULT_TIME_S - 4.0))
        self.injected_faults.append(f'{network.loop.now:.2f} {name}')
        await FAULTS[name](network, rng)

    def _broken_promises(self) -> list[str]:
        network = self.network
        broken = [f'error: {line}' for line in network.errors()]
        broken += [f'reset: {flow}' for flow in network.wrongly_reset_flows()]
        mixed = sum(c.bad_answers for c in network.caller_by_ip.values())
        damaged = sum(up.damaged_packets for _, up in network.upstreams)
        checks = {
            'mixed answers': mixed,
            'damaged packets': damaged,
            'requests that ran again': self._repeated_runs(),
            'new flows of a cold upstream': self._overloaded_cold_upstreams(),
            'unserved at the end': self._unserved_requests(),
        }
        return broken + [f'{name}: {n}' for name, n in checks.items() if n]

    def _repeated_runs(self) -> int:
        """Return the number of non-idempotent requests that ran again."""
        bodies = {
            request.body
            for caller in self.network.caller_by_ip.values()
            if caller.destination == QUOTE.destination
            for request in caller.requests
        }
        runs = Counter(
            run for _, up in self.network.upstreams for run in up.runs
        )
        return sum(runs[body] > 1 for body in bodies)

    def _overloaded_cold_upstreams(self) -> int:
        """Return the number of upstreams that got too many flows when cold."""
        initial_count = len(AGENTS)
        excess = 0
        for _, upstream in self.network.upstreams[initial_count:]:
            start = upstream.started_at
            upstream.openings = [
                o for o in upstream.openings if o.at < start + COLD_START_S
            ]
            openings_per_s = self.network.max_openings(upstream, 1.0)
            excess += openings_per_s > MAX_COLD_OPENINGS_PER_S
        return excess

    def _unserved_requests(self) -> int:
        counts = self.network.outcomes(self.stable_at)
        return counts[Outcome.FAILED]


@click.command()
@click.option('--seed', default=1, help='First seed.')
@click.option('--seeds', default=20, help='How many days.')
def main(seed: int, seeds: int) -> None:
    """Play random days and print those that break a promise."""
    failed = 0
    for number in range(seed, seed + seeds):
        day = Day(number)
        broken = day.run()
        if broken:
            failed += 1
            click.echo(f'seed {number}: {broken[:4]}; {day.injected_faults}')
    click.echo(f'{seeds} days, {failed} with a broken promise')
    raise SystemExit(bool(failed))


if __name__ == '__main__':
    main()
