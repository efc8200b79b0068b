"""Load on a deployment, and a report of its results.

A scenario keeps feeds open and makes requests while a test kills, drains or
moves processes. Its report compares the answers that callers received with
the requests that the upstreams ran.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
import ipaddress
import json
from pathlib import Path
import random
import signal
import time

import aiohttp
from hdrh.histogram import HdrHistogram
import msgspec

from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.editor import Actor
from ibispitch.catalogue.editor import CatalogueEditor
from ibispitch.ids import Address
from ibispitch.store import StoreClient
from ibispitch.store import StoreError
from testbed.callers import Answer
from testbed.callers import Caller
from testbed.callers import Feed
from testbed.callers import Outcome
from testbed.callers import PacketSprayer
from testbed.deployment import ADMIN_PORT
from testbed.deployment import Deployment
from testbed.deployment import ServiceShape
from testbed.deployment import UpstreamHost

#: A feed with a period of 1 s counts as broken without a notification for
#: this time. It is longer than the detection of a lost balancer and one
#: retransmission together.
FEED_SILENCE_S = 8.0
READY_TIMEOUT_S = 20.0
READY_CHECK_INTERVAL_S = 0.1
CONVERGENCE_S = 1.5
#: Time after which the health check of the fabric detects a lost balancer.
HEALTH_CHECK_S = 1.0
HTTP_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
CALLER_PORT = 4000
MAX_LATENCY_US = 60_000_000


@dataclass
class FeedCaller:
    """A caller with an open feed."""

    caller: Caller
    service: ServiceShape
    feed: Feed
    upstream: str = ''
    upstreams: set[str] = field(default_factory=set)


@dataclass
class Report:
    """Results of a scenario.

    :param feeds: number of feeds that were established.
    :param broken: feeds without notifications that were not expected to end.
    :param ended_feeds: feeds whose upstream was taken out or killed, and
        which were therefore expected to end.
    :param wrong_service: answers from an upstream of another service.
    :param repeated_runs: request ids that ran more than once.
    :param false_refusals: requests that ran although the answer was
        "not run".
    :param mismatched_answers: answers that belong to another request.
    """

    feeds: int = 0
    broken: int = 0
    ended_feeds: int = 0
    wrong_service: int = 0
    repeated_runs: int = 0
    false_refusals: int = 0
    mismatched_answers: int = 0
    count_by_outcome: Counter = field(default_factory=Counter)
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )

    @property
    def violations(self) -> int:
        """Number of events that must not happen."""
        return (
            self.broken
            + self.wrong_service
            + self.repeated_runs
            + self.false_refusals
            + self.mismatched_answers
        )


class Scenario:
    """Callers of one deployment.

    :param deployment: processes that the callers use.
    :param seed: seed of all random choices.
    """

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.sprayer = PacketSprayer(self.rng)
        self.feeds: list[FeedCaller] = []
        self.answers: list[tuple[float, Answer]] = []
        self.ended_upstreams: set[str] = set()
        self.wrong_service = 0
        self.mismatched_answers = 0
        self.store = StoreClient([str(deployment.store_address)])
        self.editor = CatalogueEditor(self.store, 'default', Actor('testbed'))
        self._callers: list[Caller] = []
        self._http: aiohttp.ClientSession | None = None
        self._tasks: list[asyncio.Task] = []
        network = int(deployment.store_address.ip.split('.')[1])
        self._next_caller = int(
            ipaddress.IPv4Address(f'127.{network + 100}.0.1')
        )

    async def start(self) -> None:
        """Start all processes, write the catalogue, wait until agents serve.

        :raises TimeoutError: if a process does not become ready.
        """
        self._http = aiohttp.ClientSession()
        self.deployment.start_store()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._write_entries()
            self.deployment.start()
            for host in self.deployment.hosts:
                await self.wait_until_agent_ready(host)
        # Records of the last agents reach all balancers by gossip.
        await asyncio.sleep(CONVERGENCE_S)
        self.sprayer.balancers = list(self.deployment.balancer_ips.values())

    async def _write_entries(self) -> None:
        for raw in self.deployment.entries():
            entry = msgspec.convert(raw, Entry)
            while True:
                try:
                    result = await self.editor.set(entry)
                except StoreError:
                    result = None
                if result is not None and result.is_ok():
                    break
                await asyncio.sleep(READY_CHECK_INTERVAL_S)

    async def wait_until_agent_ready(self, host: UpstreamHost) -> None:
        """Wait until an agent has a view of its service."""
        while True:
            try:
                state = await self.agent_state(host)
                if state['view_version']:
                    return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(READY_CHECK_INTERVAL_S)

    async def wait_until_balancer_ready(self, name: str) -> None:
        """Wait until the health check of a balancer succeeds."""
        ip = self.deployment.balancer_ips[name]
        while True:
            try:
                async with self._http.get(
                    f'http://{ip}:{ADMIN_PORT}/healthz', timeout=HTTP_TIMEOUT
                ) as response:
                    if response.status == HTTPStatus.OK:
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(READY_CHECK_INTERVAL_S)

    async def join_balancer(self, name: str) -> None:
        """Start a balancer and send it packets once it serves.

        :raises TimeoutError: if it does not become ready.
        """
        self.deployment.start_balancer(name)
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self.wait_until_balancer_ready(name)
        await asyncio.sleep(CONVERGENCE_S)
        self.sprayer.balancers.append(self.deployment.balancer_ips[name])

    async def kill_balancer(self, name: str) -> None:
        """Kill a balancer; it is sent packets until the next health check."""
        self.deployment.supervisor.kill(name)
        await asyncio.sleep(HEALTH_CHECK_S)
        self.sprayer.balancers.remove(self.deployment.balancer_ips[name])

    async def stop_balancer(self, name: str) -> None:
        """Stop a balancer gracefully and wait until it has exited.

        :raises TimeoutError: if it does not exit.
        """
        supervisor = self.deployment.supervisor
        process = supervisor.process_by_name[name]
        supervisor.signal(name, signal.SIGTERM)
        supervisor.stop_monitoring(name)
        await asyncio.sleep(HEALTH_CHECK_S)
        self.sprayer.balancers.remove(self.deployment.balancer_ips[name])
        async with asyncio.timeout(READY_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(READY_CHECK_INTERVAL_S)

    async def set_store_faults(self, **faults) -> None:
        """Replace the injected failures of the store, see ``store.Faults``."""
        url = f'http://{self.deployment.store_address}/testbed/faults'
        async with self._http.post(url, json=faults) as response:
            response.raise_for_status()

    async def agent_state(self, host: UpstreamHost) -> dict:
        """Return the state that an agent reports on its admin address."""
        url = f'http://{host.ip}:{ADMIN_PORT}/v1/state'
        async with self._http.get(url, timeout=HTTP_TIMEOUT) as response:
            return await response.json()

    async def agent_states(self) -> dict[str, dict]:
        """Return the states of the agents that answer, by name."""
        states = {}
        for host in self.deployment.hosts:
            try:
                states[host.name] = await self.agent_state(host)
            except (aiohttp.ClientError, TimeoutError):
                continue
        return states

    async def seconds_to_last_packet(
        self, hosts: Iterable[UpstreamHost], watch_s: float
    ) -> float:
        """Observe when the agents of some hosts last receive a caller packet.

        :param watch_s: how long to observe, in seconds.
        :returns: seconds from the call to the last packet, too long by at
            most one poll interval.
        """
        hosts = list(hosts)
        start = time.monotonic()
        last_s, seen = 0.0, -1
        while time.monotonic() - start < watch_s:
            states = await asyncio.gather(*map(self.agent_state, hosts))
            datagrams = sum(
                state['counters'].get('agent.datagrams{path=in}', 0)
                for state in states
            )
            if datagrams != seen:
                last_s, seen = time.monotonic() - start, datagrams
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        return last_s

    def new_caller(self, service: ServiceShape) -> Caller:
        """Return a caller with its own address."""
        ip = str(ipaddress.IPv4Address(self._next_caller))
        self._next_caller += 1
        caller = Caller(Address(ip, CALLER_PORT), service.port, self.sprayer)
        self._callers.append(caller)
        return caller

    def _service_prefix(self, service: ServiceShape) -> str:
        ips = (h.ip for h in self.deployment.hosts if h.service == service)
        return next(ips).rsplit('.', 1)[0] + '.'

    def _check_service(self, service: ServiceShape, payload: bytes) -> str:
        """Return the upstream that an answer names.

        An upstream of another service is counted in ``wrong_service``.
        """
        try:
            upstream = json.loads(payload).get('upstream', '')
        except (ValueError, AttributeError):
            return ''
        if upstream and not upstream.startswith(self._service_prefix(service)):
            self.wrong_service += 1
        return upstream

    async def open_feeds(
        self, service: ServiceShape, count: int, max_concurrent: int = 200
    ) -> int:
        """Open feeds, each from its own caller.

        :param max_concurrent: maximum number of feeds that are opened at a
            time.
        :returns: number of established feeds.
        """
        semaphore = asyncio.Semaphore(max_concurrent)

        async def open_one() -> FeedCaller | None:
            async with semaphore:
                return await self._open_feed(service)

        users = await asyncio.gather(*(open_one() for _ in range(count)))
        established = [user for user in users if user is not None]
        self.feeds += established
        return len(established)

    async def _open_feed(self, service: ServiceShape) -> FeedCaller | None:
        caller = self.new_caller(service)
        user = FeedCaller(caller, service, Feed())

        def on_notification(_: Feed, message) -> None:
            upstream = self._check_service(service, message.payload)
            if upstream:
                user.upstream = upstream
                user.upstreams.add(upstream)

        caller.on_notification = on_notification
        feed = await caller.observe('/feed')
        if feed is None:
            return None
        user.feed = feed
        return user

    async def submit(self, caller: Caller, service: ServiceShape) -> Answer:
        """Make a non-idempotent request and check the answer."""
        body = self.rng.randbytes(16).hex().encode()
        answer = await caller.request('/submit', body, timeout_s=8.0)
        self.answers.append((time.monotonic(), answer))
        if answer.outcome is Outcome.RESULT:
            self._check_service(service, answer.payload)
            fields = json.loads(answer.payload)
            if fields.get('request_id') != answer.request_id.hex():
                self.mismatched_answers += 1
        return answer

    def start_requests(
        self, service: ServiceShape, callers: int, interval_s: float
    ) -> None:
        """Make requests from some callers until :meth:`stop_requests`.

        :param callers: number of callers.
        :param interval_s: mean pause of a caller between requests.
        """
        for _ in range(callers):
            caller = self.new_caller(service)
            self._tasks.append(
                asyncio.ensure_future(
                    self._submit_forever(caller, service, interval_s)
                )
            )

    async def _submit_forever(self, caller, service, interval_s) -> None:
        while True:
            answer = await self.submit(caller, service)
            pause_s = interval_s * self.rng.uniform(0.5, 1.5)
            await asyncio.sleep(max(pause_s, min(2.0, answer.retry_after_s)))

    async def stop_requests(self) -> None:
        """Stop the requests that :meth:`start_requests` began."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def expect_feeds_to_end(self, hosts: Iterable[UpstreamHost]) -> None:
        """Mark feeds at these upstreams as expected to end.

        The report does not count them as broken.
        """
        self.ended_upstreams |= {str(host.upstream) for host in hosts}

    def live_feeds(self) -> list[FeedCaller]:
        """Return the feeds that are not expected to end."""
        return [
            user
            for user in self.feeds
            if not user.upstreams & self.ended_upstreams
        ]

    async def wait_for_feeds(self) -> int:
        """Wait until every live feed has received another notification.

        :meth:`report` counts feeds without one as broken.

        :returns: number of feeds without another notification.
        """
        start = time.monotonic()
        while True:
            silent = sum(
                u.feed.last_notification < start for u in self.live_feeds()
            )
            waited_s = time.monotonic() - start
            if (
                not silent
                or waited_s > FEED_SILENCE_S + READY_CHECK_INTERVAL_S
            ):
                return silent
            await asyncio.sleep(READY_CHECK_INTERVAL_S)

    def report(self) -> Report:
        """Compare the answers to callers with the runs at the upstreams."""
        report = Report(
            feeds=len(self.feeds),
            wrong_service=self.wrong_service,
            mismatched_answers=self.mismatched_answers,
        )
        now = time.monotonic()
        for user in self.feeds:
            if user.upstreams & self.ended_upstreams:
                report.ended_feeds += 1
            elif now - user.feed.last_notification > FEED_SILENCE_S:
                report.broken += 1
        runs = count_runs(self.deployment.supervisor.folder)
        report.repeated_runs = sum(count > 1 for count in runs.values())
        for _, answer in self.answers:
            report.count_by_outcome[answer.outcome] += 1
            if answer.outcome is Outcome.RESULT:
                report.latency.record_value(int(answer.latency_s * 1e6))
            is_refused = answer.outcome is Outcome.NOT_RUN
            if is_refused and answer.request_id.hex() in runs:
                report.false_refusals += 1
        return report

    async def stop(self, is_graceful: bool = True) -> None:
        """Stop callers and processes.

        :param is_graceful: whether agents wait for their flows to end.
        """
        await self.stop_requests()
        for caller in self._callers:
            caller.close()
        if self._http is not None:
            await self._http.close()
        await self.store.close()
        if is_graceful:
            self.deployment.stop()
        else:
            self.deployment.supervisor.kill_all()


def count_runs(folder: Path) -> Counter:
    """Return the runs of each request id, added up over all upstreams.

    :param folder: folder with the audit files of the upstreams.
    """
    return Counter(
        line
        for path in folder.glob('*.audit')
        for line in path.read_text().splitlines()
    )
