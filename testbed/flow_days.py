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

from ibispitch.platform.directory import KEY as DIRECTORY_KEY
from testbed.documents import BIG
from testbed.documents import nested
from testbed.flow_callers import Outcome
from testbed.flow_network import FlowNetwork
from testbed.flow_network import Host
from testbed.flow_platform import FEED
from testbed.flow_platform import heartbeat_of
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

#: Feeds that pause for seconds, in days of identity faults. A restarted agent
#: sees no packet of theirs for a while.
PAUSING_CALLERS = 24
MAX_PAUSE_S = 6.0
#: Share of identity faults among those of a day that has them.
IDENTITY_SHARE = 0.7

FaultAction = Callable[[FlowNetwork, random.Random], Awaitable[None]]
FAULTS: dict[str, FaultAction] = {}
#: Faults that make it hard to tell which process or upstream is the present
#: one, and since when. Their days are played beside those of :data:`FAULTS`,
#: so that these stay the same.
IDENTITY_FAULTS: dict[str, FaultAction] = {}


def fault(
    name: str, registry: dict[str, FaultAction] = FAULTS
) -> Callable[[FaultAction], FaultAction]:
    """Register a kind of fault under the name that is printed."""

    def register(action: FaultAction) -> FaultAction:
        registry[name] = action
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


@fault('time of day steps', IDENTITY_FAULTS)
async def _step_clocks(network, rng):
    hosts = [
        host for host in network.host_by_ip.values() if rng.random() < 0.4
    ]
    step_ms = rng.choice([-1, 1]) * rng.randrange(300, 6000)
    for host in hosts:
        host.clock_step_ms = step_ms
    await asyncio.sleep(rng.uniform(0.5, 5.0))
    for host in hosts:
        host.clock_step_ms = 0


@fault('processes are killed twice', IDENTITY_FAULTS)
async def _kill_twice(network, rng):
    hosts = rng.sample(network.agents, 3)
    pause_s = rng.uniform(1.0, 3.0)
    for _ in range(2):
        for host in _running(hosts):
            network.kill(host)
        await asyncio.sleep(pause_s)


@fault('agents stop, a balancer is cut off', IDENTITY_FAULTS)
async def _stop_behind_cut(network, rng):
    balancer = rng.choice(network.balancers)
    running = _running(network.agents)
    hosts = rng.sample(running, min(3, len(running)))
    pairs = {
        frozenset((balancer.name, other.name))
        for other in network.host_by_ip.values()
        if other is not balancer
    }
    for host in hosts:
        host.node.is_stopping.set()
    await asyncio.sleep(0.1)
    network.cut_pairs |= pairs
    await asyncio.sleep(0.4)
    for host in hosts:
        if not host.sockets:
            network.start_process(host)
    await asyncio.sleep(rng.uniform(1.0, 2.0))
    for host in _running(hosts):
        network.kill(host, 0.4)
    await asyncio.sleep(rng.uniform(0.2, 0.6))
    network.cut_pairs -= pairs


@fault('upstreams turn cold', IDENTITY_FAULTS)
async def _turn_cold(network, rng):
    for host in rng.sample(network.agents, 4):
        if host.upstream.is_alive:
            host.upstream.turn_cold(COLD_START_S)
        if rng.random() < 0.5 and _running([host]):
            network.kill(host)


@fault('heartbeats are late or repeated', IDENTITY_FAULTS)
async def _delay_heartbeats(network, rng):
    sent = []
    for host in rng.sample(network.agents, 4):
        body = heartbeat_of(host, host.upstream)
        sent.append((host, host.upstream.name, body))
        if rng.random() < 0.5:
            host.upstream.crash()
            _replace_upstream(network, host)
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    for host, _name, _body in sent:
        if rng.random() < 0.5 and _running([host]):
            network.kill(host, 0.3)
    await asyncio.sleep(rng.uniform(0.3, 1.0))
    for _ in range(2):
        for host, name, body in sent:
            await network.send_heartbeat(host, name, body)
        await asyncio.sleep(rng.uniform(0.05, 0.5))


@fault('clock of an upstream is behind', IDENTITY_FAULTS)
async def _start_upstream_earlier(network, rng):
    host = rng.choice(network.agents)
    born_ms = host.upstream.born_ms
    host.upstream.crash()
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    if not host.upstream.is_alive:
        network.start_upstream(host, COLD_START_S)
        host.upstream.born_ms = born_ms - rng.randrange(1, 4000)


@fault('another writer', IDENTITY_FAULTS)
async def _write_odd_documents(network, rng):
    for host in rng.sample(network.agents, 4):
        body = heartbeat_of(host, host.upstream)
        body['born'] += rng.randrange(1, 9000)
        odd = rng.choice(['address', 'zone', 'version', 'slots', 'sequence'])
        body[odd] = rng.choice([None, -4, BIG, '10.1.0.9:99999', [[]]])
        await network.send_heartbeat(host, 'i-other', body)
        await asyncio.sleep(rng.uniform(0.0, 0.3))
    value = rng.choice([nested(), b'{"balancers":["10.1.0.9:99999", 7]}'])
    network.store.write(DIRECTORY_KEY, value)


class Day:
    """One run with random faults.

    :param has_identity_faults: whether faults of :data:`IDENTITY_FAULTS`
        come beside the others, and some callers pause.
    :ivar injected_faults: time in seconds and name of each injected fault.
    """

    def __init__(self, seed: int, has_identity_faults: bool = False):
        self._rng = random.Random(seed)
        self._has_identity_faults = has_identity_faults
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
        load = [network.send_requests(callers, REQUESTS_PER_S, length_s)]
        if self._has_identity_faults:
            load += [
                self._pause_between(
                    network.add_caller(name, FEED, True), length_s
                )
                for name in DATACENTRES
                for _ in range(PAUSING_CALLERS // len(DATACENTRES))
            ]
        await asyncio.gather(*load, *faults)
        self.stable_at = loop.now - STABLE_S
        await asyncio.sleep(FEED.deadline_s + 1.0)

    async def _pause_between(self, caller, for_s: float) -> None:
        """Let a caller send single requests with pauses between them."""
        rng = random.Random(self._rng.random())
        ends_at = self.network.loop.now + for_s
        while self.network.loop.now < ends_at:
            caller.ask()
            await asyncio.sleep(rng.uniform(0.5, MAX_PAUSE_S))

    async def _inject_fault(self, network: FlowNetwork) -> None:
        rng = self._rng
        faults = FAULTS
        if self._has_identity_faults and rng.random() < IDENTITY_SHARE:
            faults = IDENTITY_FAULTS
        name = rng.choice(list(faults))
        await asyncio.sleep(rng.uniform(1.0, FAULT_TIME_S - 4.0))
        self.injected_faults.append(f'{network.loop.now:.2f} {name}')
        await faults[name](network, rng)

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
@click.option('--identity', is_flag=True, help='Add identity faults.')
def main(seed: int, seeds: int, identity: bool) -> None:
    """Play random days and print those that break a promise."""
    failed = 0
    for number in range(seed, seed + seeds):
        day = Day(number, identity)
        broken = day.run()
        if broken:
            failed += 1
            click.echo(f'seed {number}: {broken[:4]}; {day.injected_faults}')
    click.echo(f'{seeds} days, {failed} with a broken promise')
    raise SystemExit(bool(failed))


if __name__ == '__main__':
    main()
