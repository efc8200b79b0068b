"""Requests that wait or run, and where blockwise exchanges run."""

import enum

import msgspec

from ibispitch.admission.types import RunId
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.requests.records import UNSET

#: Time in seconds between two blocks after which an exchange is forgotten.
SITE_LIFETIME_S = 120.0
MAX_SITES = 20_000


class JobState(enum.Enum):
    """Where a request is."""

    NEW = 'new'
    QUEUED = 'queued'
    RUNNING = 'running'
    DELEGATED = 'delegated'


class Job(msgspec.Struct, array_like=True, kw_only=True):
    """A request that is not answered yet.

    :param run_id: the present attempt.
    :param datagram: the request as received.
    :param guarded: whether it must run at most once.
    :param received: time of arrival in seconds.
    :param deadline: time at which it expires, in seconds.
    :param waiters: exchanges of the caller that wait for the answer.
    :param record: key of its record, empty if it has none.
    :param part: its part in the record.
    :param site: key of its blockwise exchange.
    :param starts_exchange: whether it is the first part of an exchange.
    :param pinned: whether it must run at the upstream of this agent.
    :param observe: token of the caller if it registers an observation.
    :param replay: whether it replays a registration for a moved flow.
    :param origin: the agent that delegated it to this one.
    :param delegate: the agent that it is delegated to.
    :param asked_as: run id that the delegate knows. Each delegation has its
        own, so that a late answer to an earlier one decides nothing.
    :param asked: how often the delegate was asked without an answer.
    :param ask_due: time at which it is asked again, in seconds.
    :param declined: delegates that have not run it.
    :param token: token towards the upstream.
    :param deadline_ms: value of Deadline-Ms as sent to the upstream.
    :param may_have_run: whether an earlier attempt may have run.
    :param cancelled: whether the caller has cancelled it.
    :param decided: whether admission was asked about it before.
    """

    run_id: RunId
    flow: FlowId
    datagram: bytes
    guarded: bool
    received: float
    deadline: float
    waiters: list[bytes] = []
    record: bytes = b''
    part: tuple[int, int] = UNSET
    site: bytes = b''
    starts_exchange: bool = True
    pinned: bool = False
    observe: bytes | None = None
    replay: bool = False
    origin: AgentId | None = None
    delegate: AgentId | None = None
    delegate_incarnation: int = 0
    asked_as: RunId = RunId(b'')
    asked: int = 0
    ask_due: float = 0.0
    declined: list[AgentId] = []
    state: JobState = JobState.NEW
    token: bytes = b''
    started: float = 0.0
    deadline_ms: int = 0
    retries: int = 0
    may_have_run: bool = False
    cancelled: bool = False
    decided: bool = False


class Site(msgspec.Struct, array_like=True):
    """Where the parts of a blockwise exchange run.

    :param delegate: the agent, ``None`` for this one.
    :param deadline_ms: Deadline-Ms as sent with the first part. An upstream
        joins parts only if their options are equal (RFC 7959, 2.10), so all
        parts carry the same value.
    :param expires: time at which it is forgotten, in seconds.
    """

    delegate: AgentId | None
    deadline_ms: int
    expires: float


class JobTable:
    """Jobs by run id and flow, and the sites of exchanges."""

    def __init__(self):
        self.by_run: dict[RunId, Job] = {}
        self.sites: dict[bytes, Site] = {}
        self._by_flow: dict[FlowId, set[RunId]] = {}

    def add(self, job: Job) -> None:
        """Add a job."""
        self.by_run[job.run_id] = job
        self._by_flow.setdefault(job.flow, set()).add(job.run_id)

    def remove(self, job: Job) -> None:
        """Remove a job."""
        self.by_run.pop(job.run_id, None)
        runs = self._by_flow.get(job.flow, set())
        runs.discard(job.run_id)
        if not runs:
            self._by_flow.pop(job.flow, None)

    def of_flow(self, flow: FlowId) -> list[Job]:
        """Return the jobs of a flow in the order of their run ids."""
        return [
            self.by_run[run] for run in sorted(self._by_flow.get(flow, ()))
        ]

    def find_site(self, key: bytes, now: float) -> Site | None:
        """Return the site of an exchange that is not forgotten."""
        site = self.sites.get(key)
        return site if site and site.expires > now else None

    def set_site(self, key: bytes, site: Site, now: float) -> None:
        """Remember where an exchange runs; the oldest are forgotten."""
        self.sites.pop(key, None)
        self.sites[key] = site
        while self.sites:
            oldest = next(iter(self.sites))
            full = len(self.sites) > MAX_SITES
            if not full and self.sites[oldest].expires > now:
                return
            del self.sites[oldest]
