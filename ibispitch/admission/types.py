"""Types that the request gate and the admission core share.

The gate asks ``decide`` once for each run it wants to make. It calls
``record_start`` when the datagram goes to the upstream of this agent and
``record_end`` exactly once for each run that was decided ``RunHere`` or
``Wait``, also when the run was given up before it started.
"""

import enum
from typing import NewType
from typing import Protocol

import msgspec

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId

#: Identifier of one run at an upstream, unique over all agents: 8 bytes
#: incarnation of the agent that chose it, 8 bytes counter.
RunId = NewType('RunId', bytes)


class RequestInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What admission may know of a request.

    :param run_id: the run that is asked for; a retry has a new one.
    :param flow: flow of the caller.
    :param deadline: time at which the request expires, on the clock of
        ``now``, in seconds.
    :param idempotent: whether the request may run twice.
    :param pinned: whether it must run at the upstream of this agent, as it
        continues a blockwise exchange or an observation; ``RunAt`` is not
        allowed.
    :param delegated: whether another agent asks for the run; only
        ``RunHere`` and ``Refuse`` are allowed.
    :param exchange: whether it continues an exchange whose first part was
        admitted; refusing it wastes the work that was done.
    :param declined: agents that were asked for this request and said that
        they have not run it.
    :param counted: whether the request was decided on before, as at the end
        of a wait or for a retry; rate limits count it once.
    """

    run_id: RunId
    flow: FlowId
    deadline: float
    idempotent: bool = False
    pinned: bool = False
    delegated: bool = False
    exchange: bool = False
    declined: tuple[AgentId, ...] = ()
    counted: bool = False


class RunHere(msgspec.Struct, frozen=True):
    """Run the request at the upstream of this agent now.

    The slot is taken until ``record_end``.
    """


class RunAt(msgspec.Struct, frozen=True):
    """Delegate the request to another agent.

    Neither ``record_start`` nor ``record_end`` is called for it. When the
    other agent does not run it, the gate asks ``decide`` again for the
    request with that agent in ``declined``, or with ``pinned`` set.
    """

    agent_id: AgentId


class Wait(msgspec.Struct, frozen=True):
    """Keep the request until ``tick`` returns its run id.

    :param until: time in seconds at which the gate asks ``decide`` again,
        with the same run id, if the request is not ready by then. The
        answer is then another than ``Wait``. A gate that refuses the
        request instead calls ``record_end``.
    """

    until: float


class Refuse(msgspec.Struct, frozen=True):
    """Answer that the request was not run.

    :param retry_after_s: seconds after which the caller may try again.
    """

    retry_after_s: float


Decision = RunHere | RunAt | Wait | Refuse


class RunOutcome(enum.Enum):
    """How a run at the own upstream ended.

    COMPLETED is any answer but 5.03 and 5.04, also a 4.xx. SHED is 5.03 by
    the upstream. TIMED_OUT is 5.04 by the upstream, or no answer until the
    deadline. UNREACHABLE is a reset or a refused socket. CANCELLED
    means that the caller gave it up, before or after it started.
    """

    COMPLETED = 'completed'
    SHED = 'shed'
    TIMED_OUT = 'timed_out'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of an agent as it is sent along with ``RunReply``.

    :param flows: flows that the agent owns.
    :param in_flight: requests that run at its upstream.
    :param limit: present concurrency limit, may be fractional.
    :param queued: requests that wait.
    """

    flows: int
    in_flight: int
    limit: float
    queued: int


class Admission(Protocol):
    """What the gate asks of ``AdmissionCore``."""

    def decide(self, request: RequestInfo, now: float) -> Decision:
        """Decide on a run; ``RunHere`` and ``Wait`` reserve it."""

    def record_start(self, run_id: RunId, now: float) -> None:
        """Note that the run was sent to the upstream.

        A run that was never decided here was started by a predecessor of
        this process; it takes a slot as well.
        """

    def record_end(
        self,
        run_id: RunId,
        outcome: RunOutcome,
        latency_s: float,
        now: float,
    ) -> None:
        """Note the end of a run, or that a waiting one was given up."""

    def tick(self, now: float) -> list[RunId]:
        """Return waiting runs that may start now; each has a slot."""

    def load(self) -> Load:
        """Return the load to send along with a reply."""


class Retries(Protocol):
    """Retry budget as the gate uses it."""

    def deposit(self, now: float) -> None:
        """Credit one successful request."""

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget if it has one."""
