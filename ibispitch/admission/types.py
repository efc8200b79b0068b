"""Types that the request gate and the admission core share.

The gate calls ``decide`` once for each run. It calls ``record_start`` when it
sends the datagram to the upstream of this agent. It calls ``record_end``
exactly once for each run with the decision ``RunHere`` or ``Wait``, also if
the run was given up before it started.
"""

import enum
from typing import NewType
from typing import Protocol

import msgspec

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId

#: Identifier of one run, that is one execution of a request at an upstream.
#: It is unique over all agents: 8 bytes for the incarnation of the agent that
#: chose it and 8 bytes for a counter.
RunId = NewType('RunId', bytes)


class RequestInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a request that admission uses.

    :param run_id: id of the run to decide on; each retry has a new one.
    :param flow: flow of the caller.
    :param deadline: time at which the request expires, in seconds, on the
        same clock as ``now``.
    :param idempotent: whether the request may run twice.
    :param pinned: whether it must run at the upstream of this agent, as it
        belongs to a blockwise exchange or an observation; ``RunAt`` is not
        allowed.
    :param delegated: whether another agent has delegated the run to this
        one; only ``RunHere`` and ``Refuse`` are allowed.
    :param exchange: whether it continues an exchange whose first part was
        admitted; refusing it wastes the work on the earlier parts.
    :param declined: agents that were asked to run this request and replied
        that they have not run it.
    :param counted: whether ``decide`` was called for this request before,
        as at the end of a wait or for a retry; rate limits count a request
        once.
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

    The run occupies a slot until ``record_end``.
    """


class RunAt(msgspec.Struct, frozen=True):
    """Delegate the request to another agent.

    Neither ``record_start`` nor ``record_end`` is called for it. If the other
    agent does not run it, the gate calls ``decide`` for the request again,
    with that agent in ``declined`` or with ``pinned`` set.
    """

    agent_id: AgentId


class Wait(msgspec.Struct, frozen=True):
    """Queue the request until ``tick`` returns its run id.

    :param until: time in seconds at which the gate calls ``decide`` again,
        with the same run id, if the request has no slot by then. That call
        does not return ``Wait``. A gate that refuses the request instead
        calls ``record_end``.
    """

    until: float


class Refuse(msgspec.Struct, frozen=True):
    """Refuse the request: answer that it was not run.

    :param retry_after_s: seconds after which the caller may try again.
    """

    retry_after_s: float


Decision = RunHere | RunAt | Wait | Refuse


class RunOutcome(enum.Enum):
    """How a run at the upstream of this agent ended.

    COMPLETED: any answer other than 5.03 and 5.04, also a 4.xx.
    SHED: a 5.03 answer of the upstream.
    TIMED_OUT: a 5.04 answer of the upstream, or no answer until the
    deadline.
    UNREACHABLE: a reset, or no socket at the address of the upstream.
    CANCELLED: the request was given up, before or after the run started.
    """

    COMPLETED = 'completed'
    SHED = 'shed'
    TIMED_OUT = 'timed_out'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of an agent, sent with ``RunReply``.

    :param flows: number of flows that the agent owns.
    :param in_flight: number of requests that run at its upstream.
    :param limit: current concurrency limit, may be fractional.
    :param queued: number of requests that wait.
    """

    flows: int
    in_flight: int
    limit: float
    queued: int


class Admission(Protocol):
    """Methods of ``AdmissionCore`` that the gate uses."""

    def decide(self, request: RequestInfo, now: float) -> Decision:
        """Decide where and when a request runs."""

    def record_start(self, run_id: RunId, now: float) -> None:
        """Record that a run was sent to the upstream.

        A run without a decision of this process was started by its
        predecessor; it occupies a slot as well.
        """

    def record_end(
        self,
        run_id: RunId,
        outcome: RunOutcome,
        latency_s: float,
        now: float,
    ) -> None:
        """Record that a run has ended, or that a waiting one was given up."""

    def tick(self, now: float) -> list[RunId]:
        """Return the waiting runs that may start now; each occupies a slot."""

    def load(self) -> Load:
        """Return the load to send with a reply to a delegated run."""


class Retries(Protocol):
    """Methods of the retry budget that the gate uses."""

    def deposit(self, now: float) -> None:
        """Add the share of a retry for one successful request."""

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget and return whether it had one."""
