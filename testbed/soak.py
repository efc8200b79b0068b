"""Fault soak: the real programs under random faults, promises checked.

Faults come from outside the programs, one after the other and overlapping:
signals that stop, pause, kill and restart them, a store that is slow, busy,
silent or cut off, a fabric that loses, doubles and delays packets, upstreams
that crash, freeze and drain, data centres that are taken out. Callers go on
with open connections all the time. A promise that breaks is reported with
the second at which it broke.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
import random
import tempfile
from typing import NamedTuple

import click

from ibispitch.ids import Address
from testbed.flow_callers import FlowCaller
from testbed.flow_callers import Outcome
from testbed.flow_platform import Kind
from testbed.flow_processes import FlowProcesses
from testbed.flow_processes import ProcessHost
from testbed.memory_store import Fault
from testbed.memory_store import LATENCY_S

BALANCERS = ('accra', 'accra', 'kumasi', 'kumasi')
AGENTS = (
    ('accra', 'counter'), ('accra', 'counter'), ('kumasi', 'counter'),
    ('kumasi', 'counter'), ('accra', 'intake'), ('kumasi', 'intake'),
)  # fmt: skip
#: Objectives are those of the demo; deadlines leave room for two attempts
#: whose opening is not answered (1.4 s each).
FEED = Kind('safe', 'counter', Address('198.18.0.1', 443), 0.5, 4.0, 2)
QUOTE = Kind('unsafe', 'counter', Address('198.18.0.1', 8080), 0.5, 4.0)
SCAN = Kind('unsafe', 'intake', Address('198.18.0.2', 8443), 0.5, 4.0)
#: Callers and requests a second of each kind; a quarter of what the
#: upstreams bear, so that a data centre alone is enough.
CALLERS, REQUESTS_PER_S = 10, 10.0
#: The users' bound for recovery after any fault (``recovery_s``).
RECOVERY_S = 15.0
#: Time in which every request has to be served after that.
CALM_S = 3.0
CHECK_S = 0.1
#: Longest time in which the platform lets new flows reach a data centre
#: that was taken out (``evacuate_ms`` of the settings).
EVACUATE_S = 5.0

FaultAction = Callable[['Soak'], Awaitable[None]]
faults: dict[str, FaultAction] = {}


def fault(action: FaultAction) -> FaultAction:
    """Register a fault by its name."""
    faults[action.__name__] = action
    return action


class Broken(NamedTuple):
    """A promise that broke."""

    at_s: float
    promise: str
    detail: str


class Soak:
    """One run.

    :param seed: seed of faults and load.
    :param seconds: time in which faults begin.
    """

    def __init__(self, folder: Path, network: int, seed: int, seconds: float):
        self.rng = random.Random(seed)
        self.deployment = FlowProcesses(
            folder, network, BALANCERS, AGENTS, seed
        )
        self.seconds = seconds
        self.broken: list[Broken] = []
        self.begun: list[tuple[float, str]] = []
        self._busy: set[str] = set()
        self._version = 1
        self._loop = asyncio.get_running_loop()
        self._started_at = 0.0
        self._out: dict[str, float] = {}
        self._reported_runs: set[bytes] = set()
        self.callers: list[FlowCaller] = []

    @property
    def now(self) -> float:
        """Seconds since the load began."""
        return self._loop.time() - self._started_at

    def is_busy(self, host: ProcessHost) -> bool:
        """Return whether a fault is on a host."""
        return host.name in self._busy

    def pick(self, hosts: list[ProcessHost]) -> ProcessHost | None:
        """Choose a host without a fault, one at least stays without."""
        free = [host for host in hosts if not self.is_busy(host)]
        return self.rng.choice(free) if len(free) > 1 else None

    async def on(self, host: ProcessHost | None, action) -> None:
        """Apply an action to a host and keep other faults off it."""
        if host is not None:
            self._busy.add(host.name)
            try:
                await action(host)
            finally:
                self._busy.discard(host.name)

    # The run.

    async def run(self) -> list[Broken]:
        """Run load and faults; return what broke."""
        try:
            await self.deployment.start((FEED, QUOTE, SCAN))
            await self._run()
        finally:
            await self.deployment.stop()
        for host in self.deployment.hosts:
            if host.exits:
                self._note('no exits', f'{host.name}: {host.exits}')
            errors = [
                line
                for line in host.log_lines()
                if line.get('event') == 'process.error'
            ]
            if errors:
                self._note('no errors', f'{host.name}: {errors[0]}')
        return self.broken

    async def _run(self) -> None:
        self._started_at = self._loop.time()
        background = [
            self._loop.create_task(self._load(kind, is_long))
            for kind, is_long in ((FEED, True), (QUOTE, False), (SCAN, False))
        ]
        background.append(self._loop.create_task(self._watch()))
        await self._make_trouble()
        await asyncio.sleep(RECOVERY_S)
        calm_at = self._loop.time()
        await asyncio.sleep(CALM_S)
        for task in background:
            task.cancel()
        ended_at = self._loop.time()
        await asyncio.sleep(FEED.deadline_s + CHECK_S)
        self._check()
        unserved = [
            request
            for caller in self.callers
            for request in caller.requests
            if calm_at <= request.asked_at < ended_at
            and request.outcome is Outcome.FAILED
        ]
        if unserved:
            self._note('served again', f'{len(unserved)} requests failed')

    async def _make_trouble(self) -> None:
        """Begin random faults, which overlap, and wait for their ends."""
        running = []
        while self.now < self.seconds:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            running.append(self._loop.create_task(self.begin(self._choose())))
        await asyncio.gather(*running)

    def _choose(self) -> str:
        return self.rng.choice(sorted(faults))

    async def begin(self, name: str) -> None:
        """Bring a fault about and wait for its end."""
        self.begun.append((round(self.now, 1), name))
        try:
            await faults[name](self)
        except TimeoutError as error:
            self._note('planned stops end', f'{name}: {error!r}')

    async def _load(self, kind: Kind, is_long: bool) -> None:
        callers = [
            self.deployment.add_caller(datacentre, kind, is_long)
            for datacentre in ('accra', 'kumasi')
            for _ in range(CALLERS // 2)
        ]
        self.callers += callers
        while True:
            self.rng.choice(callers).ask()
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    # Promises.

    def _note(self, promise: str, detail: str) -> None:
        self.broken.append(Broken(round(self.now, 1), promise, detail))

    async def _watch(self) -> None:
        while True:
            self._check()
            await asyncio.sleep(CHECK_S)

    def _check(self) -> None:
        """Check what callers and upstreams have seen since the last check."""
        upstreams = self.deployment.upstreams
        for caller in self.callers:
            if caller.mixed:
                self._note('answers are whole and their own', caller.ip)
                caller.mixed = 0
            for flow in caller.reset_flows:
                if any(up.holds(flow.address) for _, up in upstreams):
                    self._note('open flows live on', str(flow.address))
            caller.reset_flows.clear()
        unsafe = {
            request.body: request
            for caller in self.callers
            if caller.destination != FEED.destination
            for request in caller.requests
        }
        runs = [run for _, up in upstreams for run in up.runs]
        seen: set[bytes] = set()
        for run in runs:
            if run in seen and run in unsafe.keys() - self._reported_runs:
                self._reported_runs.add(run)
                self._note('nothing runs twice', unsafe[run].name)
            seen.add(run)
        for host, upstream in upstreams:
            self._check_upstream(host, upstream)

    def _check_upstream(self, host: ProcessHost, upstream) -> None:
        if upstream.damaged:
            self._note('packets arrive whole', host.name)
            upstream.damaged = 0
        places = {
            kind.destination
            for kind in (FEED, QUOTE, SCAN)
            if kind.service == host.service
        }
        since = self._out.get(host.datacentre)
        for opened in upstream.openings:
            if opened.destination not in places:
                self._note('flows reach their service', str(opened))
            if since is not None and opened.at > since + EVACUATE_S:
                self._note('nothing new where taken out', str(opened))
        upstream.openings.clear()

    # What faults use.

    def reconfigure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        self.deployment.configure(self._version, (FEED, QUOTE, SCAN))

    async def take_out(self, datacentre: str, for_s: float) -> None:
        """Take a data centre out and return it."""
        if self._out:
            return
        self.deployment.take_out(datacentre)
        self._out[datacentre] = self._loop.time()
        await asyncio.sleep(for_s)
        self._check()
        self.deployment.take_out(datacentre, is_out=False)
        del self._out[datacentre]


@fault
async def stop_a_process(soak: Soak) -> None:
    """A planned stop and start."""
    host = soak.pick(soak.rng.choice(_groups(soak)))
    await soak.on(host, soak.deployment.restart)


@fault
async def kill_a_process(soak: Soak) -> None:
    """A crash."""
    host = soak.pick(soak.rng.choice(_groups(soak)))
    await soak.on(host, soak.deployment.kill)


@fault
async def pause_a_process(soak: Soak) -> None:
    """A process that stands still and goes on."""
    host = soak.pick(soak.rng.choice(_groups(soak)))
    for_s = soak.rng.uniform(0.2, 3.0)
    await soak.on(host, lambda host: soak.deployment.pause(host, for_s))


@fault
async def stop_in_turn(soak: Soak) -> None:
    """Balancers stopped and started one after the other."""
    for host in soak.deployment.balancers:
        if not soak.is_busy(host):
            await soak.on(host, soak.deployment.restart)


@fault
async def change_settings(soak: Soak) -> None:
    """A settings file that changes, with a signal."""
    await soak.on(soak.pick(soak.deployment.hosts), soak.deployment.reload)


@fault
async def crash_an_upstream(soak: Soak) -> None:
    """An upstream that ends without a word; a cold one follows."""
    host = soak.pick(soak.deployment.agents[:4])
    await soak.on(
        host, lambda host: soak.deployment.replace_upstream(host, 1.0)
    )


@fault
async def drain_an_upstream(soak: Soak) -> None:
    """An upstream that is replaced as planned."""
    host = soak.pick(soak.deployment.agents[:4])
    await soak.on(host, lambda host: soak.deployment.drain_upstream(host, 2.0))


@fault
async def freeze_an_upstream(soak: Soak) -> None:
    """An upstream that neither answers nor sends heartbeats for a while."""

    async def freeze(host: ProcessHost) -> None:
        upstream = host.upstream
        upstream.is_frozen = True
        await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
        upstream.is_frozen = False

    await soak.on(soak.pick(soak.deployment.agents[:4]), freeze)


@fault
async def store_away(soak: Soak) -> None:
    """A store that is busy, silent, resets calls or has lost its history."""
    store = soak.deployment.store
    store.fault = soak.rng.choice(
        [Fault.BUSY, Fault.SILENT, Fault.RESET, Fault.LIMITED]
    )
    await asyncio.sleep(soak.rng.uniform(0.5, 6.0))
    store.compact()
    store.fault = Fault.NONE


@fault
async def store_slow(soak: Soak) -> None:
    """A store whose answers are late."""
    soak.deployment.store.latency_s = soak.rng.uniform(0.1, 1.0)
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    soak.deployment.store.latency_s = LATENCY_S


@fault
async def cut_from_the_store(soak: Soak) -> None:
    """A process that does not reach the store, while others do."""
    relay = soak.rng.choice(soak.deployment.hosts).relay
    relay.cut()
    await asyncio.sleep(soak.rng.uniform(0.5, 5.0))
    relay.restore()


@fault
async def lossy_fabric(soak: Soak) -> None:
    """Packets of callers that are lost, doubled, late and out of order."""
    deployment = soak.deployment
    deployment.loss, deployment.doubling = 0.05, 0.05
    deployment.delay_s = soak.rng.uniform(0.0, 0.05)
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    deployment.loss = deployment.doubling = deployment.delay_s = 0.0


@fault
async def configuration_change(soak: Soak) -> None:
    """A burst of configurations."""
    for _ in range(soak.rng.randrange(1, 6)):
        soak.reconfigure()
        await asyncio.sleep(soak.rng.uniform(0.0, 0.3))


@fault
async def datacentre_out_and_back(soak: Soak) -> None:
    """A data centre that is taken out and returned."""
    await soak.take_out(
        soak.rng.choice(['accra', 'kumasi']), soak.rng.uniform(1.0, 8.0)
    )


def _groups(soak: Soak) -> tuple[list[ProcessHost], list[ProcessHost]]:
    # One intake upstream a data centre: their agents are left alone, so
    # that requests can be served again at any time.
    return soak.deployment.balancers, soak.deployment.agents[:4]


async def soak_once(
    folder: Path, network: int, seed: int, seconds: float
) -> Soak:
    """Run one seed; what broke is in ``broken`` of the result."""
    soak = Soak(folder, network, seed, seconds)
    await soak.run()
    return soak


@click.command()
@click.option('--seed', type=int, required=True, help='First seed.')
@click.option('--seeds', type=int, default=1, help='Number of seeds.')
@click.option('--seconds', type=float, default=20.0, help='Time of faults.')
@click.option('--network', type=int, default=60, help='Addresses 127.0.N.*.')
def main(seed: int, seeds: int, seconds: float, network: int) -> None:
    """Run the soak; exits with 1 if a promise broke."""
    failed = []
    for number in range(seed, seed + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f'ibispitch-soak-{number}-'))
        soak = asyncio.run(soak_once(folder, network, number, seconds))
        counts = {outcome.value: 0 for outcome in Outcome}
        for caller in soak.deployment.callers:
            for request in caller.requests:
                counts[request.outcome.value] += 1
        click.echo(
            f'seed {number}: {len(soak.begun)} faults, {counts}, '
            f'{len(soak.broken)} broken'
        )
        for broken in soak.broken:
            click.echo(f'  {broken.at_s} s: {broken.promise}: {broken.detail}')
        if soak.broken:
            failed.append(number)
            click.echo(f'  faults: {soak.begun}\n  logs: {folder}')
    raise SystemExit(1 if failed else 0)


if __name__ == '__main__':
    main()
