"""Choice of the agent that gets a new flow.

It is designed for the load patterns in ``tests/placement``: upstreams with
few slots, where a queue of two already doubles the latency; long flows,
whose later requests go to the same upstream; and data centres with more
callers than their upstreams can serve.
"""

from collections.abc import Iterable
import math
import random
from typing import NamedTuple

from ibispitch.fleet.core import AgentView
from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding.packets import FlowKey
from ibispitch.ids import DatacentreName
from ibispitch.placement.preference import by_preference
from ibispitch.placement.smoothing import SmoothedLoad
from ibispitch.routes.kinds import kind_named
from ibispitch.routes.kinds import LargeBody
from ibispitch.routes.model import Route

#: Load, in requests per slot, that is added to upstreams in other data
#: centres, by the large body of their requests. Traffic between data centres
#: costs money, most of all a large body, and a round trip of some
#: milliseconds.
REMOTE_LOAD_BY_LARGE_BODY = {
    LargeBody.NONE: 0.5,
    LargeBody.REQUEST: 2.0,
    LargeBody.ANSWER: 2.0,
}
#: Load that is added for an average number of long flows, whose later
#: requests go to the same upstream.
LONG_FLOW_LOAD = 1.0
#: Difference of load up to which upstreams count as equally loaded for a long
#: flow: a fifth of an average number of long flows.
EQUAL_LOAD = 0.2
#: Load that is added to an upstream in the state ``PRESUMED``. An upstream
#: that is known to be ready goes first unless all its slots are busy.
PRESUMED_LOAD = 1.0
#: Largest load of the sound upstreams of a data centre, in requests per slot,
#: at which its callers stay there. Above it, queues grow.
MAX_NEAR_LOAD = 0.6
#: The same for a long flow, if the load of the last second is below the limit
#: above: there is a slot or soon one for its first request.
MAX_MOMENTARY_NEAR_LOAD = 1.0
#: Largest share of failed requests at which an upstream counts as sound.
MAX_SOUND_FAILING = 0.05
#: Largest ratio of an upstream's mean request time to the usual one at which
#: it does not count as slow: means of about ten requests vary by that much.
MAX_USUAL_SLOWNESS = 1.5
#: Load that is added to an upstream that fails all its requests. It gets new
#: flows only if the others are overloaded.
FAILING_LOAD = 10.0
#: Largest part of the latency objective that a request may wait in its
#: upstream's queue. Beyond that it waits at the balancer, which can reorder
#: its queue.
MAX_QUEUE_SHARE = 0.35
#: The same for a request that is late already: it must not make requests late
#: that arrive after it.
MAX_LATE_QUEUE_SHARE = 0.2
#: The same limit at the agent, which sees the flows of all balancers. It is
#: larger, so that an opening is handed back only if several balancers have
#: acted on the same status at the same time.
MAX_GATE_QUEUE_SHARE = 0.5
#: Estimated request time before any was measured, as a part of the latency
#: objective. Objectives leave some room for queues.
ESTIMATED_WORK_SHARE = 0.25


class Candidate(NamedTuple):
    """An agent that may be chosen; the smallest candidate is chosen.

    :param cost: load of its upstream with all additions.
    :param tie: random number that breaks ties.
    :param view: the agent.
    """

    cost: float
    tie: float
    view: AgentView


def choose_agent(
    views: Iterable[AgentView],
    route: Route,
    datacentre: DatacentreName,
    is_long: bool,
    is_late: bool,
    rng: random.Random,
    now: float,
    near_load: SmoothedLoad | None = None,
    flow: FlowKey | None = None,
) -> AgentView | None:
    """Return the agent for a new flow.

    :param views: agents that may get the flow.
    :param route: route of the flow.
    :param datacentre: the data centre of this balancer.
    :param is_long: whether the flow is expected to carry several requests.
    :param is_late: whether the flow's request misses its latency objective
        anyway. Then it gets no place in a queue that would delay others.
    :param rng: breaks ties.
    :param now: time in seconds.
    :param near_load: load of the upstreams of the service in the data centre
        of this balancer; ``None`` if only the present load is known.
    :param flow: the flow. If it is long, it goes to the one that is preferred
        for it among upstreams of almost the same load, see
        :mod:`ibispitch.placement.preference`.
    :returns: ``None`` if no upstream can start a request soon. The opening
        should then wait at the balancer, where more urgent ones go first.
    """
    views = placeable_views(views, route, is_late, now)
    views = _near_views(views, datacentre, is_long, near_load, now) or views
    if not views:
        return None
    slots = sum(max(1, view.status.slots) for view in views)
    long_flows = sum(_long_flows(view) for view in views)
    mean = max(1.0, long_flows / slots)
    usual_s = usual_work_s(views)
    remote_load = REMOTE_LOAD_BY_LARGE_BODY[kind_named(route.kind).large_body]
    candidates = [
        Candidate(
            load_of(view, usual_s, is_late)
            + LONG_FLOW_LOAD
            * _long_flows(view)
            / (max(1, view.status.slots) * mean)
            * is_long
            + remote_load * (view.status.datacentre != datacentre)
            + PRESUMED_LOAD * (view.status.state is AgentState.PRESUMED),
            rng.random(),
            view,
        )
        for view in views
    ]
    best = min(candidates)
    if not is_long or flow is None:
        return best.view
    view_by_ip = {
        candidate.view.ip: candidate.view
        for candidate in candidates
        if candidate.cost <= best.cost + EQUAL_LOAD
    }
    return view_by_ip[by_preference(flow, view_by_ip)[0]]


def placeable_views(
    views: Iterable[AgentView], route: Route, is_late: bool, now: float
) -> list[AgentView]:
    """Return the upstreams that can start a request soon.

    :param route: route of the request.
    :param is_late: whether the request is late already.
    :param now: time in seconds.
    """
    queue_share = MAX_LATE_QUEUE_SHARE if is_late else MAX_QUEUE_SHARE
    max_delay_s = queue_share * route.objective_s
    return [
        view
        for view in views
        if _can_take_opening(view, now)
        and _start_delay_s(view, route, is_late) <= max_delay_s
    ]


def usual_work_s(views: list[AgentView]) -> float:
    """Return the median of the mean request times, 0 if none is known."""
    known = sorted(v.status.work_s for v in views if v.status.work_s > 0.0)
    return known[len(known) // 2] if known else 0.0


def load_of(view: AgentView, usual_s: float, is_late: bool = False) -> float:
    """Return the load of an upstream, higher if it is slow or failing.

    For a slow upstream it is the number of usual requests that would delay a
    new request as much.

    :param usual_s: usual request time, 0 if it is not known.
    :param is_late: whether the new request is late.
    """
    load = view.requests_before(is_late) / max(1, view.status.slots)
    slow_s = view.status.work_s / MAX_USUAL_SLOWNESS
    if usual_s and slow_s > usual_s:
        load = (load + 1.0) * slow_s / usual_s - 1.0
    return load + FAILING_LOAD * view.status.failing


def _can_take_opening(view: AgentView, now: float) -> bool:
    cold_openings = view.cold_openings(now)
    return cold_openings is None or cold_openings > view.flows_since_status


def queue_delay_s(running: int, slots: int, work_s: float) -> float:
    """Return the time that one more request would wait for a slot.

    :param running: requests that run or wait already.
    :param slots: requests that run at the same time.
    :param work_s: mean request time.

    >>> queue_delay_s(running=6, slots=5, work_s=0.05)
    0.02
    """
    slots = max(1, slots)
    return max(0, running + 1 - slots) * work_s / slots


def estimated_work_s(work_s: float, objective_s: float) -> float:
    """Return the measured or estimated time of a request.

    :param work_s: measured mean request time, 0 if none was measured.
    :param objective_s: latency objective of the request.

    >>> estimated_work_s(0.0, objective_s=0.4)
    0.1
    """
    return work_s or ESTIMATED_WORK_SHARE * objective_s


def _near_views(
    views: list[AgentView],
    datacentre: DatacentreName,
    is_long: bool,
    near_load: SmoothedLoad | None,
    now: float,
) -> list[AgentView]:
    """Return the upstreams of a data centre if their load is moderate.

    A long flow stays where it was opened. If it went to another data centre
    whenever an upstream there had a little less load, most flows of a large
    fleet would cross.
    """
    usual_s = usual_work_s(views)
    near = [
        view
        for view in views
        if view.status.datacentre == datacentre
        and _is_sound(view, usual_s, now)
    ]
    running = sum(v.status.running + v.flows_since_status for v in near)
    slots = sum(max(1, view.status.slots) for view in near)
    load = running / slots if slots else math.inf
    lasting = load
    if near_load is not None and slots:
        lasting = near_load.update(load, now)
    if load <= MAX_NEAR_LOAD:
        return near
    is_passing = lasting <= MAX_NEAR_LOAD and load <= MAX_MOMENTARY_NEAR_LOAD
    return near if is_long and is_passing else []


def _is_sound(view: AgentView, usual_s: float, now: float) -> bool:
    """Return whether an upstream is ready, warm, fast and fails little."""
    status = view.status
    return (
        status.state is AgentState.READY
        and view.cold_openings(now) is None
        and status.failing <= MAX_SOUND_FAILING
        and status.work_s <= MAX_USUAL_SLOWNESS * (usual_s or math.inf)
    )


def _start_delay_s(view: AgentView, route: Route, is_late: bool) -> float:
    status = view.status
    work_s = estimated_work_s(status.work_s, route.objective_s)
    return queue_delay_s(view.requests_before(is_late), status.slots, work_s)


def _long_flows(view: AgentView) -> int:
    return view.status.long_flows + view.flows_since_status
