"""Model of agents that share rate limits, for tests and measurements."""

import itertools
import random

from ibispitch.limits import LimitCore
from ibispitch.limits import LimitKind
from ibispitch.limits.core import BURST_S
from ibispitch.limits.shares import fair_units

KEY = (LimitKind.OWNER, 'omaheke')
STEP_S = 0.1


class Fleet:
    """Agents whose reports may be lost and whose views lag."""

    def __init__(self, rng, limit, loss, view_lag_s, core_type=LimitCore):
        self.core_type = core_type
        self.rng = rng
        self.limit = limit
        self.loss = loss
        self.view_lag_s = view_lag_s
        self.now = 0.0
        self.core_by_id = {}
        self.inbox_by_id = {}
        self.views = []
        self.version = 0
        self.version_by_id = {}
        self.ids = itertools.count()
        self.allowed = []
        self.most_agents = 0

    def join(self, agent_id=None):
        """Start an agent; the others learn of it later."""
        agent_id = agent_id or f'a{next(self.ids)}'
        incarnation = int(self.now * 1e9) + 1
        core = self.core_type(agent_id, incarnation, self.now)
        core.set_rate(KEY, self.limit, self.now)
        self.core_by_id[agent_id] = core
        self.inbox_by_id[agent_id] = []
        self.publish()
        core.set_agents(self.core_by_id, self.now)
        self.version_by_id[agent_id] = self.version

    def die(self, agent_id):
        """Take an agent away without a word to the others."""
        del self.core_by_id[agent_id]
        del self.inbox_by_id[agent_id]
        self.publish()

    def publish(self):
        """Send each agent the view, with a delay of its own."""
        view = list(self.core_by_id)
        self.version += 1
        self.most_agents = max(self.most_agents, len(view))
        for agent_id in view:
            lag = self.rng.uniform(0, self.view_lag_s)
            self.views.append((self.now + lag, agent_id, self.version, view))

    def step(self, asks_by_id):
        """Let a step of time pass, with requests at each agent."""
        self.now += STEP_S
        due = [item for item in self.views if item[0] <= self.now]
        self.views = [item for item in self.views if item[0] > self.now]
        for _, agent_id, version, view in due:
            core = self.core_by_id.get(agent_id)
            # A view never replaces a newer one.
            if core and version > self.version_by_id[agent_id]:
                core.set_agents(view, self.now)
                self.version_by_id[agent_id] = version
        if round(self.now / STEP_S) % 5 == 0:
            self.exchange()
        allowed = 0
        for agent_id, core in self.core_by_id.items():
            for _ in range(asks_by_id.get(agent_id, 0)):
                allowed += core.allow('omaheke', 'any', self.now)
        self.allowed.append(allowed)

    def exchange(self):
        """Send the reports of all agents; some are lost or doubled."""
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

    def worst_excess(self):
        """Most that any window is above the rate by more than 1 %."""
        worst = sum_before = 0.0
        lowest = 0.0
        for allowed in self.allowed:
            sum_before += allowed - 1.01 * self.limit * STEP_S
            worst = max(worst, sum_before - lowest)
            lowest = min(lowest, sum_before)
        return worst

    def burst(self):
        """Return the requests that may be allowed at once."""
        # A bucket holds at least one whole token.
        return self.limit * BURST_S + self.most_agents


class NaiveCore(LimitCore):
    """Applies the share that follows from the reports at hand at once."""

    def rebalance(self, reports, now):
        """Take the share that follows from all demand heard of."""
        super().rebalance([], now)
        for report in reports:
            self.__dict__.setdefault('seen', {})[report.agent_id] = (
                report.shares[0].demand
            )
        ledger = self._rate_by_key[KEY].ledger
        seen = {
            key: value
            for key, value in self.__dict__.get('seen', {}).items()
            if key in self._peers
        }
        units = fair_units(seen | {self.self_id: ledger.demand})
        ledger.share = lambda now: units[self.self_id] / len(units)


def shift_demand(loss, core_type, seed) -> Fleet:
    """Run a fleet through shifts of demand, joins, deaths and restarts."""
    rng = random.Random(seed)
    fleet = Fleet(rng, 100.0, loss, 2.9, core_type)
    for _ in range(7):
        fleet.join()
    for event in ('shift', 'die', 'shift', 'join', 'again', 'shift'):
        ids = list(fleet.core_by_id)
        if event in ('die', 'again'):
            fleet.die(ids[rng.randrange(len(ids))])
        if event == 'join':
            fleet.join()
        if event == 'again':
            fleet.join(ids[0] if ids[0] not in fleet.core_by_id else None)
        asks = {key: rng.choice((0, 1, 30)) for key in fleet.core_by_id}
        for _ in range(80):
            fleet.step(asks)
    return fleet
