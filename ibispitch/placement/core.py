"""Choice of the agent that gets a new flow.

Answers the load patterns in ``tests/placement``: few slots an upstream, so
that a queue of two already doubles the latency; long flows that pin their
later requests; data centres whose callers outnumber their upstreams.
"""

from collections.abc import Iterable
import random
from typing import NamedTuple

from ibispitch.fleet.core import AgentView
from ibispitch.fleet.messages import AgentState
from ibispitch.ids import DatacentreName
from ibispitch.routes.model import RequestKind
from ibispitch.routes.model import Route

#: Load, in requests for each slot, that a choice in another data centre has
#: to save. Bytes between data centres cost money, most of all the body of
#: an upload, and a round trip of some milliseconds.
REMOTE_LOAD_BY_KIND = {
    RequestKind.SAFE: 0.4,
    RequestKind.UNSAFE: 0.5,
    RequestKind.UPLOAD: 2.0,
}
#: Load that an average number of long flows stands for: they pin further
#: requests to their upstream.
LONG_FLOW_LOAD = 1.0
#: Load that an upstream that is only presumed to be alive stands for: one
#: that is known to be ready goes first unless it is busy in all slots.
PRESUMED_LOAD = 1.0
#: Ratio of an upstream's mean time of a request to that of the others up to
#: which it counts as normal: means of some ten requests differ by that.
USUAL_SLOWNESS = 1.5
#: Load that an upstream stands for that fails all its requests: it gets new
#: flows only if the others are overloaded.
FAILING_LOAD = 10.0
#: Part of the objective that a request may wait in its upstream's queue. A
#: longer queue would hold requests that the balancer could order better.
MAX_QUEUE_SHARE = 0.35
#: The same at the agent, which sees the flows of all balancers. It is larger,
#: so that an opening is handed back only if balancers have acted at once on
#: the same status.
MAX_GATE_QUEUE_SHARE = 0.5
#: Part of the objective that a request is presumed to take before one was
#: measured: objectives leave some room for queues.
UNMEASURED_SHARE = 0.25


class Candidate(NamedTuple):
    """What the choice looks at, smaller is better."""

    cost: float
    tie: float
    view: AgentView


def choose_agent(
    views: Iterable[AgentView],
    route: Route,
    datacentre: DatacentreName,
    rng: random.Random,
) -> AgentView | None:
    """Return the agent for a new flow.

    :param views: agents that may get it.
    :param route: route of the flow.
    :param datacentre: the data centre of this balancer.
    :param rng: breaks ties.
    :returns: ``None`` if no agent can run a request soon; it waits at the
        balancer then, where others may go first.
    """
    kind = route.kind
    views = [
        view
        for view in views
        if _bears_opening(view) and _starts_soon(view, route)
    ]
    if not views:
        return None
    slots = sum(max(1, view.status.slots) for view in views)
    long_flows = sum(_long_flows(view, kind) for view in views)
    mean = max(1.0, long_flows / slots)
    usual_s = _usual_work_s(views)
    remote_load = REMOTE_LOAD_BY_KIND[kind]
    candidates = (
        Candidate(
            _load(view, usual_s)
            + LONG_FLOW_LOAD
            * _long_flows(view, kind)
            / (max(1, view.status.slots) * mean)
            * (kind is RequestKind.SAFE)
            + remote_load * (view.status.datacentre != datacentre)
            + PRESUMED_LOAD * (view.status.state is AgentState.PRESUMED),
            rng.random(),
            view,
        )
        for view in views
    )
    return min(candidates).view


def _usual_work_s(views: list[AgentView]) -> float:
    """Return the median of the mean times, 0 if none is known."""
    known = sorted(v.status.work_s for v in views if v.status.work_s > 0.0)
    return known[len(known) // 2] if known else 0.0


def _load(view: AgentView, usual_s: float) -> float:
    """Return the time until a request ends, in usual requests before it.

    :param usual_s: usual time of a request, 0 if it is not known.
    """
    load = view.load
    slow_s = view.status.work_s / USUAL_SLOWNESS
    if usual_s and slow_s > usual_s:
        load = (load + 1.0) * slow_s / usual_s - 1.0
    return load + FAILING_LOAD * view.status.failing


def _bears_opening(view: AgentView) -> bool:
    left = view.status.cold_openings
    return left is None or left > view.flows_since_status


def queue_delay_s(running: int, slots: int, work_s: float) -> float:
    """Return the time that one more request waits for a slot.

    :param running: requests that run or wait already.
    :param slots: requests that run at a time.
    :param work_s: mean time of a request.

    >>> queue_delay_s(running=6, slots=5, work_s=0.05)
    0.02
    """
    slots = max(1, slots)
    return max(0, running + 1 - slots) * work_s / slots


def estimated_work_s(work_s: float, objective_s: float) -> float:
    """Return the time that a request takes, also before one was measured.

    :param work_s: mean time that was measured, 0 if none was.
    :param objective_s: objective of the request.

    >>> estimated_work_s(0.0, objective_s=0.4)
    0.1
    """
    return work_s or UNMEASURED_SHARE * objective_s


def _starts_soon(view: AgentView, route: Route) -> bool:
    status = view.status
    work_s = estimated_work_s(status.work_s, route.objective_s)
    delay_s = queue_delay_s(
        status.running + view.flows_since_status, status.slots, work_s
    )
    return delay_s <= MAX_QUEUE_SHARE * route.objective_s


def _long_flows(view: AgentView, kind: RequestKind) -> int:
    if kind is not RequestKind.SAFE:
        return 0
    return view.status.long_flows + view.flows_since_status
