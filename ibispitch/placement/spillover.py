"""Choice between the own data centre and others.

Load pattern: waves that reach the data centres at different times. All costs
are fractions of the latency objective of the request.
"""

from collections.abc import Iterable

from ibispitch.fleet.core import AgentView
from ibispitch.fleet.messages import AgentState
from ibispitch.ids import DatacentreName
from ibispitch.placement.core import estimated_work_s
from ibispitch.placement.core import queue_delay_s
from ibispitch.routes.kinds import kind_named
from ibispitch.routes.kinds import LargeBody
from ibispitch.routes.model import Route

#: Cost of a request in another data centre, by its large body. It covers
#: the round trip, 1 to 4 % of the objective, and the price of the traffic.
SURCHARGE_BY_LARGE_BODY = {
    LargeBody.NONE: 0.05,
    LargeBody.REQUEST: 0.3,
    LargeBody.ANSWER: 0.3,
}
#: Cost of a request that fails: a missing answer is noticed after two
#: objectives.
FAILURE_COST = 2.0
#: Largest utilisation for which the expected wait is computed; beyond that it
#: has no useful limit.
MAX_UTILISATION = 0.95


def expected_wait_s(
    view: AgentView, route: Route, flow_load: float | None, usual_s: float
) -> float:
    """Return the time that a request of a flow is expected to wait.

    :param flow_load: slots that the upstream's long flows keep busy, if the
        flow is long and this is known. The requests of a long flow wait behind
        those of the others; the queue that is there now delays only the first.
    :param usual_s: usual request time. What a slow upstream takes longer
        counts as a wait.
    """
    status = view.status
    slots = max(1, status.slots)
    work_s = estimated_work_s(status.work_s, route.objective_s)
    slowness_s = max(0.0, work_s - (usual_s or work_s))
    now_s = queue_delay_s(
        status.running + view.flows_since_status, slots, work_s
    )
    if flow_load is None:
        return now_s + slowness_s
    busy = min(MAX_UTILISATION, flow_load / slots)
    later_s = work_s * busy / ((1.0 - busy) * slots)
    return max(now_s, later_s) + slowness_s


def place_cost(
    view: AgentView,
    route: Route,
    datacentre: DatacentreName,
    flow_load: float | None,
    usual_s: float,
) -> float:
    """Return the expected cost of a place, in objectives of the request."""
    status = view.status
    wait_s = expected_wait_s(view, route, flow_load, usual_s)
    if status.state is AgentState.PRESUMED:
        wait_s += estimated_work_s(status.work_s, route.objective_s)
    cost = wait_s / route.objective_s + FAILURE_COST * status.failing
    if status.datacentre != datacentre:
        cost += SURCHARGE_BY_LARGE_BODY[kind_named(route.kind).large_body]
    return cost


def senders_to(
    views: Iterable[AgentView], datacentre: DatacentreName
) -> set[DatacentreName]:
    """Return the data centres that send flows to a data centre.

    It sends none to them, so that flows don't cross in both directions when
    the balancers have outdated loads.
    """
    return {
        sender
        for view in views
        if view.status.datacentre == datacentre
        for sender in view.status.senders
    }
