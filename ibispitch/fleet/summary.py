"""Summaries of the upstreams of a service, for decisions on openings.

A burst brings thousands of openings per second to a fleet of hundreds of
agents. The summaries are therefore not computed anew for each opening.
"""

import math
from typing import NamedTuple

from ibispitch.fleet.core import Fleet
from ibispitch.fleet.messages import AgentState
from ibispitch.gate.core import COLD_MARGIN_S
from ibispitch.gate.core import COLD_WINDOW_S
from ibispitch.ids import ServiceName

#: Age at which a summary is computed anew. Agents report changes of their
#: load every 8 ms.
MAX_AGE_S = 0.008


class ServiceSummary(NamedTuple):
    """State of all upstreams of a service.

    :param at: time of the summary.
    :param work_s: mean request time, 0 if no agent has measured it.
    :param warm_in_s: time until the first upstream is warm; infinite if one
        is warm already or none becomes warm.
    :param cold_openings: new flows that cold upstreams can take now.
    :param requests_per_s: requests that warm upstreams can run.
    :param cold_openings_per_s: new flows a second that cold upstreams take.
    """

    at: float
    work_s: float
    warm_in_s: float
    cold_openings: int
    requests_per_s: float
    cold_openings_per_s: float = 0.0


class ServiceSummaries:
    """The summaries of a fleet, by service."""

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._summary_by_service: dict[ServiceName | None, ServiceSummary] = {}

    def get(self, service: ServiceName | None, now: float) -> ServiceSummary:
        """Return a recent summary of a service."""
        summary = self._summary_by_service.get(service)
        if summary is None or not 0.0 <= now - summary.at < MAX_AGE_S:
            summary = self._summarize(service, now)
            self._summary_by_service[service] = summary
        return summary

    def clear(self) -> None:
        """Forget all summaries, since services may have been removed."""
        self._summary_by_service.clear()

    def _summarize(
        self, service: ServiceName | None, now: float
    ) -> ServiceSummary:
        views = list(self._fleet.agents_of(service))
        works = [v.status.work_s for v in views if v.status.work_s > 0.0]
        work_s = sum(works) / len(works) if works else 0.0
        ready = [
            view
            for view in views
            if view.status.state is AgentState.READY
            and self._fleet.has_recent_status(view, now)
        ]
        # The status of an agent in another data centre may be a second old.
        left_s = [
            view.status.cold_left_s - (now - view.heard_at) for view in ready
        ]
        warm = [v for v, left in zip(ready, left_s, strict=True) if left <= 0]
        return ServiceSummary(
            at=now,
            work_s=work_s,
            warm_in_s=min(left_s, default=math.inf) if not warm else math.inf,
            requests_per_s=sum(
                view.status.slots / (view.status.work_s or work_s)
                for view in warm
                if work_s
            ),
            cold_openings_per_s=sum(
                view.status.cold_limit / (COLD_WINDOW_S + COLD_MARGIN_S)
                for view, left in zip(ready, left_s, strict=True)
                if left > 0
            ),
            cold_openings=sum(
                max(
                    0,
                    (view.cold_openings(now) or 0) - view.flows_since_status,
                )
                for view in views
            ),
        )
