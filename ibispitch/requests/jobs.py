"""Requests that wait or run, and the agents that run blockwise exchanges."""

import enum

import msgspec

from ibispitch.admission.types import RunId
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.requests.records import NO_PART

#: Time in seconds without a further block after which an exchange is
#: forgotten.
SITE_LIFETIME_S = 120.0
MAX_SITES = 20_000


class JobState(enum.Enum):
    """Stage of a request."""

    NEW = 'new'
    QUEUED = 'queued'
    RUNNING = 'running'
    DELEGATED = 'delegated'


class Job(msgspec.Struct, array_like=True, kw_only=True):
    """A request, or a part of one, that is not answered yet.

    :param run_id: id of the current attempt to run it.
    :param datagram: the request as received.
    :param guarded: whether it must run at most once.
    :param received: time at which it was received, in seconds.
    :param deadline: time at which it expires, in seconds.
    :param waiters: keys of the exchanges of the caller that wait for the
        answer.
    :param record: key of its record, empty if it has none.
    :param part: number of its part in the record.
    :param site: key of its blockwise exchange.
    :param starts_exchange: whether it is the first part of an exchange.
    :param pinned: whether it must run at the upstream of this agent.
    :param observe: token of the caller, if it registers an observation.
    :param replay: whether it repeats the registration of an observation, at
        the upstream of a new owner of the flow.
    :param origin: agent that has delegated it to this one.
    :param delegate: agent that it is delegated to.
    :param asked_as: run id that is sent to the delegate. Each delegation has
        a new one, so that late replies to an earlier one are ignored.
    :param asked: number of run requests to the delegate without a reply.
    :param ask_due: time of the next run request to it, in seconds.
    :param declined: delegates that have not run it.
    :param started: time at which it was queued, delegated or sent to the
        upstream, in seconds.
    :param token: token towards the upstream.
    :param deadline_ms: value of Deadline-Ms as sent to the upstream.
    :param retries: number of retries so far.
    :param may_have_run: whether an earlier attempt may have run.
    :param cancelled: whether the caller has cancelled it.
    :param decided: whether admission has decided on it before.
    """

    run_id: RunId
    flow: FlowId
    datagram: bytes
    guarded: bool
    received: float
    deadline: float
    waiters: list[bytes] = []
    record: bytes = b''
    part: tuple[int, int] = NO_PART
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
    """The agent that runs the parts of a blockwise exchange.

    :param delegate: id of that agent, ``None`` for this one.
    :param deadline_ms: Deadline-Ms as sent with the first part. An upstream
        only joins parts with equal options (RFC 7959, 2.10), so all parts
        are sent with the same value.
    :param expires: time at which the exchange is forgotten, in seconds.
    """

    delegate: AgentId | None
    deadline_ms: int
    expires: float


class JobTable:
    """Jobs by run id and by flow, and the sites of exchanges."""

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
        """Return the jobs of a flow, ordered by run id."""
        return [
            self.by_run[run] for run in sorted(self._by_flow.get(flow, ()))
        ]

    def find_site(self, key: bytes, now: float) -> Site | None:
        """Return the site of an exchange, ``None`` if it has expired."""
        site = self.sites.get(key)
        return site if site and site.expires > now else None

    def set_site(self, key: bytes, site: Site, now: float) -> None:
        """Store the site of an exchange; remove expired and excess ones."""
        self.sites.pop(key, None)
        self.sites[key] = site
        while self.sites:
            oldest = next(iter(self.sites))
            full = len(self.sites) > MAX_SITES
            if not full and self.sites[oldest].expires > now:
                return
            del self.sites[oldest]
