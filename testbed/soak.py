"""Soak test: real processes under random faults.

Faults are injected from outside the programs, one after the other and
overlapping: signals that stop, suspend, kill and restart processes, a store
that is slow, busy, silent or unreachable, a network that loses, duplicates and
delays packets, upstreams that crash, freeze and drain, and data centres that
are taken out. Callers keep sending requests on open flows. Each broken promise
of the service is reported with the second at which it was noticed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
import math
from pathlib import Path
import random
import tempfile
from typing import NamedTuple

import click

from ibispitch.ids import Address
from ibispitch.locating.core import RETRY_PERIOD_S
from testbed.flow_callers import FlowCaller
from testbed.flow_callers import Outcome
from testbed.flow_platform import RequestKind
from testbed.flow_processes import FlowProcesses
from testbed.flow_processes import ProcessHost
from testbed.former_version import unpack_packages
from testbed.memory_store import Fault
from testbed.memory_store import LATENCY_S

BALANCERS = ('accra', 'accra', 'kumasi', 'kumasi')
AGENTS = (
    ('accra', 'counter'), ('accra', 'counter'), ('kumasi', 'counter'),
    ('kumasi', 'counter'), ('accra', 'intake'), ('kumasi', 'intake'),
)  # fmt: skip
#: Objectives are the same as in the demo; deadlines leave time for two
#: attempts whose opening is not answered (1.4 s each).
FEED = RequestKind('safe', 'counter', Address('198.18.0.1', 443), 0.5, 4.0, 2)
QUOTE = RequestKind('unsafe', 'counter', Address('198.18.0.1', 8080), 0.5, 4.0)
SCAN = RequestKind('unsafe', 'intake', Address('198.18.0.2', 8443), 0.5, 4.0)
#: Callers and requests per second of each kind: a quarter of the upstreams'
#: capacity, so that one data centre alone can serve them.
CALLERS, REQUESTS_PER_S = 10, 10.0
#: Longest recovery after any fault that the users accept (``recovery_s``).
RECOVERY_S = 15.0
#: Time after the recovery in which every request must be served.
STABLE_S = 3.0
CHECK_INTERVAL_S = 0.1
#: Longest time for which new flows may still reach a data centre that was
#: taken out (``evacuate_ms`` in the settings).
EVACUATE_S = 5.0

#: Callers whose feeds pause, in runs with absences: they send nothing while a
#: process is away and go on afterwards.
PAUSING_CALLERS = 24
MAX_PAUSE_S = 8.0
#: Longest time for which a process is away in runs with absences.
MAX_ABSENCE_S = 12.0
#: Packets of a flow at other upstreams, none at its own, within this time that
#: count as misdirected (``reorder_ms`` in the settings).
MISDIRECTED_PACKETS, REORDER_S = 3, 2.0
#: Time after an unplanned fault of a host from which its flows must be found
#: again (``stability_ms`` in the settings).
STABILITY_S = 4.0

#: Events in the log of a process that show a broken promise.
promise_by_event = {
    'process.error': 'no errors',
    'peer.unreadable': 'messages are read',
}

FaultAction = Callable[['Soak'], Awaitable[None]]
faults: dict[str, FaultAction] = {}
#: Faults of runs with absences: processes that are away or stand still for
#: longer than a restart takes, as on a busy machine.
absences: dict[str, FaultAction] = {}


def fault(
    action: FaultAction, registry: dict[str, FaultAction] = faults
) -> FaultAction:
    """Register a fault under the name of its function."""
    registry[action.__name__] = action
    return action


absence = partial(fault, registry=absences)


class BrokenPromise(NamedTuple):
    """A broken promise and when it was noticed."""

    at_s: float
    promise: str
    detail: str


class Soak:
    """One run of the soak test.

    :param folder: folder for settings files and logs.
    :param network: third byte of all addresses.
    :param seed: seed of faults and load.
    :param seconds: duration for which faults are started.
    :param has_absences: whether half of the faults are those of
        :data:`absences`, and some feeds pause.
    :param former: folder with the packages of an earlier version. Hosts are
        replaced one after the other, from this version or to it.
    :ivar broken: the broken promises.
    :ivar injected: time in seconds and name of each injected fault.
    """

    def __init__(
        self,
        folder: Path,
        network: int,
        seed: int,
        seconds: float,
        has_absences: bool = False,
        former: Path | None = None,
    ):
        self.rng = random.Random(seed)
        self._has_absences = has_absences
        self._former = former
        #: Host, begin and end of each unplanned fault of a process.
        self.disturbances: list[tuple[ProcessHost, float, float]] = []
        self.deployment = FlowProcesses(
            folder, network, BALANCERS, AGENTS, seed
        )
        self.seconds = seconds
        self.broken: list[BrokenPromise] = []
        self.injected: list[tuple[float, str]] = []
        self._faulty_hosts: set[str] = set()
        self._version = 1
        self._loop = asyncio.get_running_loop()
        self._started_at = 0.0
        self._out_since_by_datacentre: dict[str, float] = {}
        self._reported_runs: set[bytes] = set()
        self.callers: list[FlowCaller] = []

    @property
    def now(self) -> float:
        """Seconds since the load began."""
        return self._loop.time() - self._started_at

    def has_fault(self, host: ProcessHost) -> bool:
        """Return whether a fault affects a host."""
        return host.name in self._faulty_hosts

    def choose_host(self, hosts: list[ProcessHost]) -> ProcessHost | None:
        """Return a random host without a fault.

        :returns: ``None`` if no other host without a fault would remain.
        """
        free = [host for host in hosts if not self.has_fault(host)]
        return self.rng.choice(free) if len(free) > 1 else None

    async def apply_to(self, host: ProcessHost | None, action) -> None:
        """Apply an action to a host and keep other faults away from it.

        Does nothing if another fault has come first since it was chosen.
        """
        if host is not None and not self.has_fault(host):
            self._faulty_hosts.add(host.name)
            try:
                await action(host)
            finally:
                self._faulty_hosts.discard(host.name)

    async def disturb(self, host: ProcessHost | None, action) -> None:
        """Apply an unplanned fault to a host, and record its time."""

        async def apply(host: ProcessHost) -> None:
            begin = self._loop.time()
            try:
                await action(host)
            finally:
                self.disturbances.append((host, begin, self._loop.time()))

        await self.apply_to(host, apply)

    # The run.

    async def run(self) -> list[BrokenPromise]:
        """Run load and faults; return the broken promises."""
        # An update and its return are equally likely.
        before, after = None, self._former
        if after is not None and self.rng.random() < 0.5:
            before, after = after, before
        for host in self.deployment.hosts:
            host.packages = before
        try:
            await self.deployment.start((FEED, QUOTE, SCAN))
            await self._run(after)
        finally:
            await self.deployment.stop()
        for host in self.deployment.hosts:
            if host.exits:
                self._record_broken('no exits', f'{host.name}: {host.exits}')
            self._check_log(host)
        return self.broken

    async def _run(self, packages: Path | None) -> None:
        """Run load and faults.

        :param packages: what all hosts run after they have been replaced.
        """
        self._started_at = self._loop.time()
        background = [
            self._loop.create_task(self._load(kind, is_long))
            for kind, is_long in ((FEED, True), (QUOTE, False), (SCAN, False))
        ]
        if self._has_absences:
            background += [
                self._loop.create_task(self._pause_between(datacentre))
                for datacentre in ('accra', 'kumasi')
                for _ in range(PAUSING_CALLERS // 2)
            ]
        background.append(self._loop.create_task(self._check_repeatedly()))
        await asyncio.gather(
            self._inject_faults(), self._replace_hosts(packages)
        )
        await asyncio.sleep(RECOVERY_S)
        stable_at = self._loop.time()
        await asyncio.sleep(STABLE_S)
        for task in background:
            task.cancel()
        ended_at = self._loop.time()
        await asyncio.sleep(FEED.deadline_s + CHECK_INTERVAL_S)
        self._check()
        self._check_paths()
        unserved = [
            request
            for caller in self.callers
            for request in caller.requests
            if stable_at <= request.asked_at < ended_at
            and request.outcome is Outcome.FAILED
        ]
        if unserved:
            self._record_broken(
                'served again', f'{len(unserved)} requests failed'
            )

    async def _inject_faults(self) -> None:
        """Start random faults, which may overlap, and wait for their end."""
        running = []
        while self.now < self.seconds:
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            running.append(
                self._loop.create_task(self.inject(self._choose_fault()))
            )
        await asyncio.gather(*running)

    async def _replace_hosts(self, packages: Path | None) -> None:
        """Stop each host as planned and start it with other packages."""

        async def replace(host: ProcessHost) -> None:
            host.packages = packages
            await self.deployment.restart(host)

        hosts = [h for h in self.deployment.hosts if h.packages != packages]
        self.rng.shuffle(hosts)
        for host in hosts:
            await asyncio.sleep(self.seconds / len(hosts))
            while self.has_fault(host):
                await asyncio.sleep(CHECK_INTERVAL_S)
            await self._apply(
                f'replace {host.name}', self.apply_to(host, replace)
            )

    def _choose_fault(self) -> str:
        if self._has_absences and self.rng.random() < 0.5:
            return self.rng.choice(sorted(absences))
        return self.rng.choice(sorted(faults))

    async def inject(self, name: str) -> None:
        """Inject a fault and wait for its end."""
        await self._apply(name, (faults | absences)[name](self))

    async def _apply(self, name: str, action: Awaitable[None]) -> None:
        """Record the begin of an action, and a planned stop without end."""
        self.injected.append((round(self.now, 1), name))
        try:
            await action
        except TimeoutError as error:
            self._record_broken('planned stops end', f'{name}: {error!r}')

    async def _load(self, kind: RequestKind, is_long: bool) -> None:
        callers = [
            self.deployment.add_caller(datacentre, kind, is_long)
            for datacentre in ('accra', 'kumasi')
            for _ in range(CALLERS // 2)
        ]
        self.callers += callers
        while True:
            self.rng.choice(callers).ask()
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    async def _pause_between(self, datacentre: str) -> None:
        """Let a caller use one flow with pauses between its requests."""
        caller = self.deployment.add_caller(datacentre, FEED, is_long=True)
        self.callers.append(caller)
        while True:
            caller.ask()
            await asyncio.sleep(self.rng.uniform(0.5, MAX_PAUSE_S))

    # Promises.

    def _record_broken(self, promise: str, detail: str) -> None:
        self.broken.append(BrokenPromise(round(self.now, 1), promise, detail))

    async def _check_repeatedly(self) -> None:
        while True:
            self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self) -> None:
        """Check the records of callers and upstreams since the last check."""
        upstreams = self.deployment.upstreams
        for caller in self.callers:
            if caller.bad_answers:
                self._record_broken(
                    'answers are whole and their own', caller.ip
                )
                caller.bad_answers = 0
            for flow in caller.reset_flows:
                if any(up.holds(flow.address) for _, up in upstreams):
                    self._record_broken(
                        'open flows live on', str(flow.address)
                    )
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
                self._record_broken('nothing runs twice', unsafe[run].name)
            seen.add(run)
        for host, upstream in upstreams:
            self._check_upstream(host, upstream)

    def _check_log(self, host: ProcessHost) -> None:
        first_by_event: dict[str, dict] = {}
        for line in host.log_lines():
            first_by_event.setdefault(line['event'], line)
        for event in promise_by_event.keys() & first_by_event.keys():
            self._record_broken(
                promise_by_event[event],
                f'{host.name}: {first_by_event[event]}',
            )

    def _check_paths(self) -> None:
        """Check that the packets of open flows reached their own upstream.

        They are not counted if the host of its own one or the balancer that
        took the packets has lately had an unplanned fault.
        """
        upstreams = self.deployment.upstreams
        for host, own in upstreams:
            for caller, held in own.held_by_caller.items():
                elsewhere = sorted(
                    at
                    for _, other in upstreams
                    if other is not own
                    for at in other.bounced_by_caller.get(caller, ())
                )
                self._check_path(host, caller, held, elsewhere)

    def _check_path(self, host, caller, held, elsewhere) -> None:
        until = math.inf if held.until is None else held.until
        for index, at in enumerate(elsewhere[: 1 - MISDIRECTED_PACKETS]):
            last = elsewhere[index + MISDIRECTED_PACKETS - 1]
            window = at, at + REORDER_S
            if (
                held.since <= at
                and last < window[1] < until
                and not any(at <= own < window[1] for own in held.received_at)
                and not any(
                    other in (host, *self._balancers_of(caller, window))
                    and begin < window[1]
                    and at < end + STABILITY_S
                    for other, begin, end in self.disturbances
                )
            ):
                self._record_broken(
                    'packets reach their upstream', f'{caller} of {host.name}'
                )
                return

    def _balancers_of(self, caller, window) -> list[ProcessHost]:
        """Return the balancers that handled a flow's packets in a window.

        A packet waits at most a retry period for its search.
        """
        begin, end = window
        return [
            host
            for host, at in self.deployment.taken_by_caller[caller]
            if begin - RETRY_PERIOD_S <= self._handled_at(host, at) < end
        ]

    def _handled_at(self, host: ProcessHost, at: float) -> float:
        """Return when a host handles a packet, after its suspension."""
        ends = (
            end
            for other, begin, end in self.disturbances
            if other is host and begin <= at < end
        )
        return max(ends, default=at)

    def _check_upstream(self, host: ProcessHost, upstream) -> None:
        if upstream.damaged_packets:
            self._record_broken('packets arrive whole', host.name)
            upstream.damaged_packets = 0
        destinations = {
            kind.destination
            for kind in (FEED, QUOTE, SCAN)
            if kind.service == host.service
        }
        since = self._out_since_by_datacentre.get(host.datacentre)
        for opened in upstream.openings:
            if opened.destination not in destinations:
                self._record_broken('flows reach their service', str(opened))
            if since is not None and opened.at > since + EVACUATE_S:
                self._record_broken('nothing new where taken out', str(opened))
        upstream.openings.clear()

    # Actions for faults.

    def reconfigure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        self.deployment.configure(self._version, (FEED, QUOTE, SCAN))

    async def take_out(self, datacentre: str, for_s: float) -> None:
        """Take a data centre out for some time, unless one is out."""
        if self._out_since_by_datacentre:
            return
        self.deployment.take_out(datacentre)
        self._out_since_by_datacentre[datacentre] = self._loop.time()
        await asyncio.sleep(for_s)
        self._check()
        self.deployment.take_out(datacentre, is_out=False)
        del self._out_since_by_datacentre[datacentre]


@fault
async def stop_a_process(soak: Soak) -> None:
    """A planned stop and start."""
    host = soak.choose_host(soak.rng.choice(_host_groups(soak)))
    await soak.apply_to(host, soak.deployment.restart)


@fault
async def kill_a_process(soak: Soak) -> None:
    """A crash."""
    host = soak.choose_host(soak.rng.choice(_host_groups(soak)))
    await soak.disturb(host, soak.deployment.kill)


@fault
async def pause_a_process(soak: Soak) -> None:
    """A process that stands still and goes on."""
    host = soak.choose_host(soak.rng.choice(_host_groups(soak)))
    for_s = soak.rng.uniform(0.2, 3.0)
    await soak.disturb(host, lambda host: soak.deployment.pause(host, for_s))


@fault
async def stop_in_turn(soak: Soak) -> None:
    """Balancers stopped and started one after the other."""
    for host in soak.deployment.balancers:
        if not soak.has_fault(host):
            await soak.apply_to(host, soak.deployment.restart)


@fault
async def change_settings(soak: Soak) -> None:
    """A settings file that changes, with a signal."""
    await soak.apply_to(
        soak.choose_host(soak.deployment.hosts), soak.deployment.reload
    )


@fault
async def crash_an_upstream(soak: Soak) -> None:
    """An upstream that ends without a word; a cold one follows."""
    host = soak.choose_host(soak.deployment.agents[:4])
    await soak.apply_to(
        host, lambda host: soak.deployment.replace_upstream(host, 1.0)
    )


@fault
async def drain_an_upstream(soak: Soak) -> None:
    """An upstream that is replaced as planned."""
    host = soak.choose_host(soak.deployment.agents[:4])
    await soak.apply_to(
        host, lambda host: soak.deployment.drain_upstream(host, 2.0)
    )


@fault
async def freeze_an_upstream(soak: Soak) -> None:
    """An upstream that neither answers nor sends heartbeats for a while."""

    async def freeze(host: ProcessHost) -> None:
        upstream = host.upstream
        upstream.is_frozen = True
        await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
        upstream.is_frozen = False

    await soak.apply_to(soak.choose_host(soak.deployment.agents[:4]), freeze)


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
    deployment.loss, deployment.duplication = 0.05, 0.05
    deployment.delay_s = soak.rng.uniform(0.0, 0.05)
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    deployment.loss = deployment.duplication = deployment.delay_s = 0.0


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


def _absence_s(soak: Soak) -> float:
    return soak.rng.uniform(2.0, MAX_ABSENCE_S)


@absence
async def kill_an_agent_for_long(soak: Soak) -> None:
    """A crash of an agent that starts late."""
    for_s = _absence_s(soak)
    await soak.disturb(
        soak.choose_host(soak.deployment.agents[:4]),
        lambda host: soak.deployment.kill(host, for_s),
    )


@absence
async def stop_an_agent_for_long(soak: Soak) -> None:
    """A planned stop of an agent that starts late."""
    for_s = _absence_s(soak)
    await soak.apply_to(
        soak.choose_host(soak.deployment.agents[:4]),
        lambda host: soak.deployment.restart(host, for_s),
    )


@absence
async def suspend_a_process_for_long(soak: Soak) -> None:
    """A process that stands still for seconds and goes on."""
    for_s = _absence_s(soak)
    host = soak.choose_host(soak.rng.choice(_host_groups(soak)))
    await soak.disturb(host, lambda host: soak.deployment.pause(host, for_s))


@absence
async def kill_all_processes(soak: Soak) -> None:
    """All processes crash, and start at different times."""
    longest_s = _absence_s(soak)

    async def kill(host: ProcessHost) -> None:
        await soak.deployment.kill(host, soak.rng.uniform(0.2, longest_s))

    free = [h for h in soak.deployment.hosts if not soak.has_fault(h)]
    await asyncio.gather(*(soak.disturb(host, kill) for host in free))


@absence
async def upstream_exits_late(soak: Soak) -> None:
    """An upstream that goes on for a moment after it has announced its end."""
    host = soak.choose_host(soak.deployment.agents[:4])
    exit_s = soak.rng.uniform(0.05, 1.0)
    await soak.apply_to(
        host,
        lambda host: soak.deployment.drain_upstream(host, 1.0, exit_s),
    )


def _host_groups(soak: Soak) -> tuple[list[ProcessHost], list[ProcessHost]]:
    # Each data centre has only one intake upstream. Their agents get no such
    # faults, so that intake requests can be served at any time.
    return soak.deployment.balancers, soak.deployment.agents[:4]


async def soak_once(
    folder: Path,
    network: int,
    seed: int,
    seconds: float,
    has_absences: bool = False,
    former: Path | None = None,
) -> Soak:
    """Run the soak with one seed and return it, with its broken promises."""
    soak = Soak(folder, network, seed, seconds, has_absences, former)
    await soak.run()
    return soak


@click.command()
@click.option('--seed', type=int, required=True, help='First seed.')
@click.option('--seeds', type=int, default=1, help='Number of seeds.')
@click.option('--seconds', type=float, default=20.0, help='Time of faults.')
@click.option('--network', type=int, default=60, help='Addresses 127.0.N.*.')
@click.option('--absences', is_flag=True, help='Add long absences.')
@click.option(
    '--former',
    metavar='COMMIT',
    help='Replace hosts from or to the version of this commit.',
)
def main(
    seed: int,
    seeds: int,
    seconds: float,
    network: int,
    absences: bool,
    former: str | None,
) -> None:
    """Run the soak; exits with 1 if a promise broke."""
    failed = []
    packages = None
    if former is not None:
        packages = Path(tempfile.mkdtemp(prefix='ibispitch-former-'))
        unpack_packages(former, packages)
    for number in range(seed, seed + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f'ibispitch-soak-{number}-'))
        soak = asyncio.run(
            soak_once(folder, network, number, seconds, absences, packages)
        )
        counts = {outcome.value: 0 for outcome in Outcome}
        for caller in soak.deployment.callers:
            for request in caller.requests:
                counts[request.outcome.value] += 1
        click.echo(
            f'seed {number}: {len(soak.injected)} faults, {counts}, '
            f'{len(soak.broken)} broken'
        )
        for broken in soak.broken:
            click.echo(f'  {broken.at_s} s: {broken.promise}: {broken.detail}')
        if soak.broken:
            failed.append(number)
            click.echo(f'  faults: {soak.injected}\n  logs: {folder}')
    raise SystemExit(1 if failed else 0)


if __name__ == '__main__':
    main()
