"""Model of agents that share a rate limit, for tests and benchmarks."""

import itertools
import random

from ibispitch.limits import LimitCore
from ibispitch.limits import LimitKind
from ibispitch.limits.core import BURST_S
from ibispitch.limits.shares import fair_units

KEY = (LimitKind.OWNER, 'omaheke')
STEP_S = 0.1


class Fleet:
    """Agents whose reports may be lost and whose views may be late.

    :param limit: rate limit in requests per second.
    :param loss: probability that a report is lost.
    :param view_lag_s: greatest delay of a view.
    :param core_type: class of the cores, the chosen one or a baseline.
    """

    def __init__(self, rng, limit, loss, view_lag_s, core_type=LimitCore):
        self.core_type = core_type
        self.rng = rng
        self.limit = limit
        self.loss = loss
        self.view_lag_s = view_lag_s
        self.now = 0.0
        self.core_by_id = {}
        self.inbox_by_id = {}
        self.pending_views = []
        self.version = 0
        self.version_by_id = {}
        self.agent_numbers = itertools.count()
        self.allowed_by_step = []
        self.max_agents = 0

    def join(self, agent_id=None):
        """Start an agent; the others receive the new view later."""
        agent_id = agent_id or f'a{next(self.agent_numbers)}'
        incarnation = int(self.now * 1e9) + 1
        core = self.core_type(agent_id, incarnation, self.now)
        core.set_rate(KEY, self.limit, self.now)
        self.core_by_id[agent_id] = core
        self.inbox_by_id[agent_id] = []
        self.publish()
        core.set_agents(self.core_by_id, self.now)
        self.version_by_id[agent_id] = self.version

    def crash(self, agent_id):
        """Remove an agent without notifying the others."""
        del self.core_by_id[agent_id]
        del self.inbox_by_id[agent_id]
        self.publish()

    def publish(self):
        """Send the current view to each agent, with a random delay."""
        view = list(self.core_by_id)
        self.version += 1
        self.max_agents = max(self.max_agents, len(view))
        for agent_id in view:
            delay_s = self.rng.uniform(0, self.view_lag_s)
            self.pending_views.append(
                (self.now + delay_s, agent_id, self.version, view)
            )

    def step(self, requests_by_id):
        """Advance time by ``STEP_S``.

        :param requests_by_id: number of requests at each agent.
        """
        self.now += STEP_S
        due = [item for item in self.pending_views if item[0] <= self.now]
        self.pending_views = [
            item for item in self.pending_views if item[0] > self.now
        ]
        for _, agent_id, version, view in due:
            core = self.core_by_id.get(agent_id)
            # A view never replaces a newer one.
            if core and version > self.version_by_id[agent_id]:
                core.set_agents(view, self.now)
                self.version_by_id[agent_id] = version
        if round(self.now / STEP_S) % 5 == 0:
            self.exchange_reports()
        allowed = 0
        for agent_id, core in self.core_by_id.items():
            for _ in range(requests_by_id.get(agent_id, 0)):
                allowed += core.allow('omaheke', 'any', self.now)
        self.allowed_by_step.append(allowed)

    def exchange_reports(self):
        """Exchange the reports of all agents; some are lost or duplicated."""
        for agent_id, core in self.core_by_id.items():
            core.rebalance(self.inbox_by_id[agent_id], self.now)
            self.inbox_by_id[agent_id] = []
        for core in self.core_by_id.values():
            for peer in core._peers & self.core_by_id.keys():
                report = core.share_report(peer)
                if report is None:
                    continue
                for _ in range(self.rng.choice((1, 1, 2))):
                    if self.rng.random() >= self.loss:
                        self.inbox_by_id[peer].append(report)
        for inbox in self.inbox_by_id.values():
            self.rng.shuffle(inbox)

    def max_excess(self):
        """Return the greatest excess over the rate in any window of time.

        It is the number of requests above the rate plus 1 % of it.
        """
        greatest = cumulative = 0.0
        lowest_cumulative = 0.0
        for allowed in self.allowed_by_step:
            cumulative += allowed - 1.01 * self.limit * STEP_S
            greatest = max(greatest, cumulative - lowest_cumulative)
            lowest_cumulative = min(lowest_cumulative, cumulative)
        return greatest

    def max_burst(self):
        """Return how many requests may be allowed at once."""
        # Each bucket holds at least one whole token.
        return self.limit * BURST_S + self.max_agents


class NaiveCore(LimitCore):
    """Baseline that applies the share from the latest reports at once."""

    def rebalance(self, reports, now):
        """Set the share that results from the latest known demand."""
        super().rebalance([], now)
        for report in reports:
            self.__dict__.setdefault('demand_by_agent', {})[
                report.agent_id
            ] = report.shares[0].demand
        ledger = self._rate_by_key[KEY].ledger
        demand_by_id = {
            key: value
            for key, value in self.__dict__.get('demand_by_agent', {}).items()
            if key in self._peers
        }
        units = fair_units(demand_by_id | {self.self_id: ledger.demand})
        ledger.share = lambda now: units[self.self_id] / len(units)


def shift_demand(loss, core_type, seed) -> Fleet:
    """Run a fleet through shifts of demand, joins, crashes and restarts."""
    rng = random.Random(seed)
    fleet = Fleet(rng, 100.0, loss, 2.9, core_type)
    for _ in range(7):
        fleet.join()
    for event in ('shift', 'crash', 'shift', 'join', 'restart', 'shift'):
        ids = list(fleet.core_by_id)
        if event in ('crash', 'restart'):
            fleet.crash(ids[rng.randrange(len(ids))])
        if event == 'join':
            fleet.join()
        if event == 'restart':
            fleet.join(ids[0] if ids[0] not in fleet.core_by_id else None)
        requests_by_id = {
            key: rng.choice((0, 1, 30)) for key in fleet.core_by_id
        }
        for _ in range(80):
            fleet.step(requests_by_id)
    return fleet
