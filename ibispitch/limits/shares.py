"""Division of one limit among the agents of a service.

A limit over ``n`` agents is divided into ``n`` units. Each agent starts with
one unit and lends parts of it to peers with more demand. Lender and borrower
both keep counters that only grow: the lender stops using units before it
reports the loan, and the borrower uses them only after it has received the
report. So the units in use never exceed ``n``, whichever reports are lost.
An agent lends only its own unit, and returns borrowed units to their lender.
When a peer leaves, the loans with it become void, and the remaining units
still add up.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from ibispitch.ids import AgentId
from ibispitch.limits.division import Claim
from ibispitch.limits.division import level_above_floors
from ibispitch.limits.messages import Share

#: Part of its unit that an agent never lends. It keeps at least
#: ``limit / (4 * n)`` of the limit.
MIN_OWN_UNITS = 0.25
#: Smaller differences from the fair units do not lead to a loan.
MIN_LOAN_UNITS = 0.02
#: Time for which a departed peer is still counted, as it may still use its
#: share. Views of agents differ for up to this time (the lease of an agent).
DEPARTED_COUNTED_S = 3.0
#: Time after which a new agent uses its share without a report of every peer,
#: so that an unreachable peer does not prevent it from serving.
MAX_START_WAIT_S = 5.0


def fair_units(demand_by_id: Mapping[AgentId, float]) -> dict[AgentId, float]:
    """Divide the units in proportion to demand.

    There are as many units as agents, and each agent gets at least
    ``MIN_OWN_UNITS``.

    >>> fair_units({'a': 3.0, 'b': 1.0, 'c': 0.0, 'd': 0.0})
    {'a': 2.625, 'b': 0.875, 'c': 0.25, 'd': 0.25}
    """
    total = sum(demand_by_id.values())
    if total <= 0.0:
        return {agent_id: 1.0 for agent_id in demand_by_id}
    weight_by_id = {
        agent_id: demand / total for agent_id, demand in demand_by_id.items()
    }
    level = level_above_floors(
        float(len(weight_by_id)),
        (Claim(weight, MIN_OWN_UNITS) for weight in weight_by_id.values()),
    )
    return {
        agent_id: max(MIN_OWN_UNITS, level * weight)
        for agent_id, weight in weight_by_id.items()
    }


class _Account:
    """Loans between this agent and one peer, and what the peer reported."""

    __slots__ = (
        'borrowed_total',
        'demand',
        'has_reported',
        'lent_total',
        'repaid_total',
        'returned_total',
        'units',
    )

    def __init__(self):
        self.lent_total = 0.0
        self.repaid_total = 0.0
        self.borrowed_total = 0.0
        self.returned_total = 0.0
        self.demand = 0.0
        self.units = 1.0
        self.has_reported = False

    @property
    def units_lent(self) -> float:
        """Units that the peer has borrowed from this agent."""
        return self.lent_total - self.repaid_total

    @property
    def units_borrowed(self) -> float:
        """Units that this agent has borrowed from the peer."""
        return self.borrowed_total - self.returned_total


class ShareLedger:
    """Loans of one limit, and the share that this agent may use.

    :param self_id: id of this agent.
    :param now: start time of this agent, in seconds.
    """

    def __init__(self, self_id: AgentId, now: float):
        self.self_id = self_id
        self.demand = 0.0
        self._started_at = now
        self._account_by_id: dict[AgentId, _Account] = {}
        #: For each departed peer, the time until which it is counted and the
        #: units that it had borrowed from this agent.
        self._departed_loans: list[tuple[float, float]] = []

    @property
    def agents(self) -> int:
        """Number of agents among which the limit is divided."""
        return len(self._account_by_id) + len(self._departed_loans) + 1

    @property
    def units(self) -> float:
        """Units that this agent may use."""
        return self._own_units() + sum(
            account.units_borrowed for account in self._account_by_id.values()
        )

    def share(self, now: float) -> float:
        """Return the share of the limit that this agent may use, 0 to 1.

        It is 0 until all peers have reported to this agent, and thereby
        shown that they count it, or until ``MAX_START_WAIT_S`` has passed.
        """
        self._expire_departed_loans(now)
        all_have_reported = all(
            account.has_reported for account in self._account_by_id.values()
        )
        if not all_have_reported and now < self._started_at + MAX_START_WAIT_S:
            return 0.0
        return self.units / self.agents

    def set_peers(self, agent_ids: Iterable[AgentId], now: float) -> None:
        """Set the peers of this agent, as listed in a new view."""
        wanted = set(agent_ids) - {self.self_id}
        for agent_id in [
            key for key in self._account_by_id if key not in wanted
        ]:
            self._remove_peer(agent_id, now)
        for agent_id in sorted(wanted - self._account_by_id.keys()):
            self._account_by_id[agent_id] = _Account()
        self._expire_departed_loans(now)

    def restart_peer(self, agent_id: AgentId, now: float) -> None:
        """Cancel the loans with a peer that was restarted."""
        if agent_id in self._account_by_id:
            self._remove_peer(agent_id, now)
            self._account_by_id[agent_id] = _Account()

    def on_share(self, agent_id: AgentId, share: Share) -> None:
        """Apply what a peer has reported to this agent."""
        account = self._account_by_id.get(agent_id)
        if account is None or not math.isfinite(
            share.demand + share.units + share.sent + share.returned
        ):
            return
        account.has_reported = True
        account.demand = max(0.0, share.demand)
        account.units = share.units
        account.borrowed_total = max(account.borrowed_total, share.sent)
        account.repaid_total = max(
            account.repaid_total, min(share.returned, account.lent_total)
        )

    def share_for(self, agent_id: AgentId, kind: str, name: str) -> Share:
        """Return the share to report to a peer."""
        account = self._account_by_id.get(agent_id) or _Account()
        return Share(
            kind,
            name,
            round(self.demand, 2),
            round(self.units, 3),
            account.lent_total,
            account.returned_total,
        )

    def rebalance(self, spare_units: float = math.inf) -> None:
        """Lend or return the units that exceed the fair units of this agent.

        :param spare_units: upper bound of the units to lend or return, for
            limits where open flows occupy units.
        """
        demand_by_id = {
            agent_id: account.demand
            for agent_id, account in self._account_by_id.items()
        }
        fair_by_id = fair_units(demand_by_id | {self.self_id: self.demand})
        excess = min(self.units - fair_by_id[self.self_id], spare_units)
        missing_by_id = {
            agent_id: fair_by_id[agent_id] - account.units
            for agent_id, account in self._account_by_id.items()
            if fair_by_id[agent_id] - account.units > MIN_LOAN_UNITS
        }
        if excess <= MIN_LOAN_UNITS or not missing_by_id:
            return
        total = sum(missing_by_id.values())
        scale = min(1.0, excess / total)
        for agent_id, want in missing_by_id.items():
            excess -= self._give_units(agent_id, want * scale)
        self._return_borrowed(min(excess, total))

    def _own_units(self) -> float:
        lent = sum(
            account.units_lent for account in self._account_by_id.values()
        )
        return 1.0 - lent - sum(units for _, units in self._departed_loans)

    def _give_units(self, agent_id: AgentId, units: float) -> float:
        """Give units to a peer: borrowed ones first, then own ones.

        :returns: the units that were given.
        """
        account = self._account_by_id[agent_id]
        back = min(units, account.units_borrowed)
        account.returned_total += back
        loan = max(0.0, min(units - back, self._own_units() - MIN_OWN_UNITS))
        account.lent_total += loan
        return back + loan

    def _return_borrowed(self, units: float) -> None:
        """Return units to their lenders, which can lend them to others."""
        borrowed = sum(
            account.units_borrowed for account in self._account_by_id.values()
        )
        if units <= MIN_LOAN_UNITS or borrowed <= 0.0:
            return
        part = min(1.0, units / borrowed)
        for account in self._account_by_id.values():
            account.returned_total += account.units_borrowed * part

    def _remove_peer(self, agent_id: AgentId, now: float) -> None:
        account = self._account_by_id.pop(agent_id)
        self._departed_loans.append(
            (now + DEPARTED_COUNTED_S, account.units_lent)
        )

    def _expire_departed_loans(self, now: float) -> None:
        self._departed_loans = [
            item for item in self._departed_loans if item[0] > now
        ]
