"""State of the fleet, collected on demand.

A balancer knows all members, but neither the loads of agents nor the versions
in force at other balancers. It queries them at their administration addresses
when an operator requests the state of the fleet.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import Protocol
from typing import TypeVar

import aiohttp
import msgspec

from ibispitch.catalogue.core import CatalogueState
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import BalancerRecord

T = TypeVar('T', bound=msgspec.Struct)

#: Maximum number of processes that are queried at the same time. It limits the
#: sockets and the memory of the querying balancer.
FAN_OUT = 32
#: A process that does not answer within this time is shown as silent.
QUERY_TIMEOUT_S = 1.0
#: Time for the queries of all processes. It is too short for 14,000 agents: a
#: query of a large fleet should be limited to a service or data centre.
QUERY_DEADLINE_S = 8.0
#: Maximum size of an answer. The versions of 1,100 entries take 60 KB.
MAX_ANSWER_BYTES = 1 << 20


class Health(msgspec.Struct, frozen=True):
    """Whether a balancer accepts packets.

    :param is_serving: ``False`` while it is leaving or knows no entry.
    :param reason: why it does not accept them, and the remedy.
    """

    is_serving: bool
    reason: str = ''


class StateProvider(Protocol):
    """Provides the state of a balancer to the administration API."""

    balancer_id: str
    #: The catalogue in force at this balancer.
    catalogue: CatalogueState

    def health(self) -> Health:
        """Return whether this balancer accepts packets."""

    def balancers(self) -> Sequence[BalancerRecord]:
        """Return the known balancers, this one included."""

    def agents(self) -> Sequence[AgentRecord]:
        """Return the known agents."""

    def counters(self) -> dict[str, int]:
        """Return the counters of this process by name."""


class Reply(enum.Enum):
    """Result of the query of a process for its state."""

    OK = 'ok'
    SILENT = 'silent'
    UNREACHABLE = 'unreachable'
    MALFORMED = 'malformed'
    #: It is not present or has no administration address, or the time for all
    #: queries was over.
    NOT_ASKED = 'not_asked'


class LocalState(msgspec.Struct, frozen=True):
    """State of one balancer.

    :param balancer_id: id of the balancer.
    :param health: whether it accepts packets.
    :param versions: versions in force by key.
    :param malformed: number of ignored values by key.
    :param datacentres: ``in`` or ``out`` by data centre.
    :param counters: counters of the process by name.
    """

    balancer_id: str
    health: Health
    versions: dict[str, int]
    malformed: dict[str, int]
    datacentres: dict[str, str]
    counters: dict[str, int]


class AgentLoad(msgspec.Struct, frozen=True):
    """The part of an agent's state that is shown with the fleet.

    :param flows: number of flows that the agent owns.
    :param in_flight: number of requests in flight.
    :param queued: number of queued requests.
    :param limit: current concurrency limit.
    """

    flows: int
    in_flight: int
    queued: int
    limit: float
    is_draining: bool = False


class BalancerView(msgspec.Struct, frozen=True):
    """A balancer as seen from the one that collects the state.

    :param reply: result of the query.
    :param health: its health, if it answered.
    :param differs: versions that differ from those of the collecting
        balancer, by key; 0 for a key that it does not know.
    """

    balancer_id: str
    datacentre: str
    state: str
    admin_address: str
    reply: Reply
    health: Health | None = None
    differs: dict[str, int] | None = None


class AgentView(msgspec.Struct, frozen=True):
    """An agent and its upstream as seen from the collecting balancer."""

    agent_id: str
    service: str
    datacentre: str
    state: str
    address: str
    slots: int
    connections: int
    parent: str
    reply: Reply
    load: AgentLoad | None = None


class FleetState(msgspec.Struct, frozen=True):
    """State of the fleet as one balancer sees it."""

    local: LocalState
    balancers: list[BalancerView]
    agents: list[AgentView]


def local_state(provider: StateProvider) -> LocalState:
    """Return the state of this balancer."""
    catalogue = provider.catalogue
    return LocalState(
        balancer_id=provider.balancer_id,
        health=provider.health(),
        versions=catalogue.versions(),
        malformed=dict(catalogue.malformed),
        datacentres={
            name: state.value
            for name, state in catalogue.datacentres().items()
        },
        counters=provider.counters(),
    )


class FleetQuery:
    """Queries the members of the fleet for their state.

    :param session: HTTP client.
    :param fan_out: maximum number of concurrent queries.
    :param timeout_s: time for one query.
    :param deadline_s: time for all queries.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fan_out: int = FAN_OUT,
        timeout_s: float = QUERY_TIMEOUT_S,
        deadline_s: float = QUERY_DEADLINE_S,
    ):
        self._session = session
        self._fan_out = fan_out
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._deadline_s = deadline_s

    async def fleet(
        self, provider: StateProvider, service: str = '', datacentre: str = ''
    ) -> FleetState:
        """Return the state of the fleet.

        :param provider: provides the state of this balancer.
        :param service: only agents of this service; empty for all.
        :param datacentre: only members there; empty for all.
        :returns: the state, with the result of the query of each member.
        """
        own = local_state(provider)
        balancers = [
            record
            for record in provider.balancers()
            if datacentre in ('', record.datacentre)
        ]
        agents = [
            record
            for record in provider.agents()
            if service in ('', record.service)
            and datacentre in ('', record.datacentre)
        ]
        queries = [
            *(self._balancer_query(record, own) for record in balancers),
            *(self._agent_query(record) for record in agents),
        ]
        answers = await self._run_all(queries)
        return FleetState(
            own,
            [
                _balancer_view(record, own, *answer)
                for record, answer in zip(balancers, answers, strict=False)
            ],
            [
                _agent_view(record, *answer)
                for record, answer in zip(
                    agents, answers[len(balancers) :], strict=True
                )
            ],
        )

    def _balancer_query(self, record: BalancerRecord, own: LocalState):
        if record.balancer_id == own.balancer_id:
            return lambda: _own_reply(own)
        url = f'http://{record.admin_address}/v1/state?scope=local'
        return self._make_query(url, LocalState, record.state.is_present)

    def _agent_query(self, record: AgentRecord):
        url = f'http://{record.admin_address}/v1/state'
        is_asked = record.state.is_present and record.admin_address is not None
        return self._make_query(url, AgentLoad, is_asked)

    def _make_query(self, url: str, answer_type: type[T], is_asked: bool):
        if not is_asked:
            return _not_asked
        return lambda: self._run(url, answer_type)

    async def _run_all(
        self, queries: Sequence[Callable[[], Awaitable]]
    ) -> list[tuple[Reply, msgspec.Struct | None]]:
        answers = [(Reply.NOT_ASKED, None)] * len(queries)
        remaining = iter(enumerate(queries))
        is_over = False

        async def run_queries() -> None:
            for index, query in remaining:
                answers[index] = await query()
                # A time-out of the query at the moment of the cancellation
                # hides the latter.
                if is_over:
                    return

        workers = [
            asyncio.create_task(run_queries())
            for _ in range(min(self._fan_out, len(queries)))
        ]
        try:
            if workers:
                await asyncio.wait(workers, timeout=self._deadline_s)
        finally:
            is_over = True
            for worker in workers:
                worker.cancel()
            await asyncio.gather(*workers, return_exceptions=True)
        return answers

    async def _run(
        self, url: str, answer_type: type[T]
    ) -> tuple[Reply, T | None]:
        try:
            async with self._session.get(
                url, timeout=self._timeout, allow_redirects=False
            ) as response:
                data = await _read_bounded(response.content)
        except TimeoutError:
            return Reply.SILENT, None
        except (aiohttp.ClientError, OSError):
            return Reply.UNREACHABLE, None
        try:
            return Reply.OK, msgspec.json.decode(data, type=answer_type)
        except (msgspec.DecodeError, RecursionError):
            return Reply.MALFORMED, None


async def _read_bounded(content: aiohttp.StreamReader) -> bytes:
    """Read an answer; return no bytes if it is over the maximum size."""
    data = bytearray()
    async for chunk in content.iter_any():
        data += chunk
        if len(data) > MAX_ANSWER_BYTES:
            return b''
    return bytes(data)


async def _own_reply(state: LocalState) -> tuple[Reply, LocalState]:
    return Reply.OK, state


async def _not_asked() -> tuple[Reply, None]:
    return Reply.NOT_ASKED, None


def _balancer_view(
    record: BalancerRecord,
    own: LocalState,
    reply: Reply,
    state: LocalState | None,
) -> BalancerView:
    return BalancerView(
        balancer_id=record.balancer_id,
        datacentre=record.datacentre,
        state=record.state.value,
        admin_address=str(record.admin_address),
        reply=reply,
        health=state.health if state else None,
        differs=_differences(own, state) if state else None,
    )


def _differences(own: LocalState, other: LocalState) -> dict[str, int]:
    keys = own.versions.keys() | other.versions.keys()
    return {
        key: other.versions.get(key, 0)
        for key in sorted(keys)
        if own.versions.get(key, 0) != other.versions.get(key, 0)
    }


def _agent_view(
    record: AgentRecord, reply: Reply, load: AgentLoad | None
) -> AgentView:
    return AgentView(
        agent_id=record.agent_id,
        service=record.service,
        datacentre=record.datacentre,
        state=record.state.value,
        address=str(record.address),
        slots=record.slots,
        connections=record.connections,
        parent=record.parent,
        reply=reply,
        load=load,
    )
