"""Ledger of the shares of one limit.

A limit over ``n`` agents consists of ``n`` units. Each agent starts with
one and lends units to peers with more demand. Both ends of a loan keep
counters that only grow: the lender stops using a unit before it reports the
loan, and the borrower uses it only after it has read the report. So the
units in use never exceed ``n``, whichever reports are lost. An agent lends
only of its own unit and returns borrowed ones to their lender. When a peer
leaves, the loans with it are void, and the rest still adds up.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from ibispitch.ids import AgentId
from ibispitch.limits.messages import Share

#: An agent keeps this part of its unit: the floor of ``limit / (4 * n)``.
FLOOR_UNITS = 0.25
#: Smaller differences from the target are not worth a loan.
MIN_LOAN_UNITS = 0.02
#: Views differ between agents for up to this time (the lease of an agent).
#: For so long a departed peer counts, as it may still use its share.
DEPARTED_HOLD_S = 3.0
#: A new agent starts without a report of every peer after this time, so
#: that an unreachable peer does not keep it from serving.
START_HOLD_S = 5.0


def fair_units(demand_by_id: Mapping[AgentId, float]) -> dict[AgentId, float]:
    """Divide as many units as agents by demand, none below the floor.

    >>> fair_units({'a': 3.0, 'b': 1.0, 'c': 0.0, 'd': 0.0})
    {'a': 2.625, 'b': 0.875, 'c': 0.25, 'd': 0.25}
    """
    if sum(demand_by_id.values()) <= 0.0:
        return {agent_id: 1.0 for agent_id in demand_by_id}
    units_by_id: dict[AgentId, float] = {}
    open_ids = list(demand_by_id)
    left = float(len(open_ids))
    while open_ids:
        total = sum(demand_by_id[agent_id] for agent_id in open_ids)
        at_floor = [
            agent_id
            for agent_id in open_ids
            if left * demand_by_id[agent_id] < FLOOR_UNITS * total
        ]
        if not at_floor:
            break
        units_by_id |= {agent_id: FLOOR_UNITS for agent_id in at_floor}
        left -= FLOOR_UNITS * len(at_floor)
        open_ids = [key for key in open_ids if key not in units_by_id]
    units_by_id |= {
        agent_id: left * demand_by_id[agent_id] / total
        for agent_id in open_ids
    }
    return {agent_id: units_by_id[agent_id] for agent_id in demand_by_id}


class _Account:
    """Loans between this agent and one peer."""

    __slots__ = (
        'demand',
        'is_heard',
        'lent',
        'returned',
        'returned_to_us',
        'taken',
        'units',
    )

    def __init__(self):
        self.lent = 0.0
        self.returned_to_us = 0.0
        self.taken = 0.0
        self.returned = 0.0
        self.demand = 0.0
        self.units = 1.0
        self.is_heard = False

    @property
    def outstanding(self) -> float:
        """Units that the peer has of this agent."""
        return self.lent - self.returned_to_us

    @property
    def borrowed(self) -> float:
        """Units that this agent has of the peer."""
        return self.taken - self.returned


class ShareLedger:
    """The part of one limit that this agent may use.

    :param self_id: this agent.
    :param now: start of this agent in seconds.
    """

    def __init__(self, self_id: AgentId, now: float):
        self.self_id = self_id
        self.demand = 0.0
        self._started_at = now
        self._account_by_id: dict[AgentId, _Account] = {}
        #: End of the hold, and units that are lent to a departed peer.
        self._departed: list[tuple[float, float]] = []

    @property
    def agents(self) -> int:
        """Agents over which the limit is divided."""
        return len(self._account_by_id) + len(self._departed) + 1

    @property
    def units(self) -> float:
        """Units that this agent holds."""
        return self._own_units() + sum(
            account.borrowed for account in self._account_by_id.values()
        )

    def share(self, now: float) -> float:
        """Return the part of the limit that this agent may use, 0 to 1.

        It is 0 until all peers have shown that they count this agent.
        """
        self._expire(now)
        is_counted = all(
            account.is_heard for account in self._account_by_id.values()
        )
        if not is_counted and now < self._started_at + START_HOLD_S:
            return 0.0
        return self.units / self.agents

    def set_peers(self, agent_ids: Iterable[AgentId], now: float) -> None:
        """Take over the peers of a new view."""
        wanted = set(agent_ids) - {self.self_id}
        for agent_id in [
            key for key in self._account_by_id if key not in wanted
        ]:
            self._depart(agent_id, now)
        for agent_id in sorted(wanted - self._account_by_id.keys()):
            self._account_by_id[agent_id] = _Account()
        self._expire(now)

    def restart_peer(self, agent_id: AgentId, now: float) -> None:
        """Void the loans with a peer that was started anew."""
        if agent_id in self._account_by_id:
            self._depart(agent_id, now)
            self._account_by_id[agent_id] = _Account()

    def on_share(self, agent_id: AgentId, share: Share) -> None:
        """Take in what a peer reports to this agent."""
        account = self._account_by_id.get(agent_id)
        if account is None or not math.isfinite(
            share.demand + share.units + share.sent + share.returned
        ):
            return
        account.is_heard = True
        account.demand = max(0.0, share.demand)
        account.units = share.units
        account.taken = max(account.taken, share.sent)
        account.returned_to_us = max(
            account.returned_to_us, min(share.returned, account.lent)
        )

    def share_for(self, agent_id: AgentId, kind: str, name: str) -> Share:
        """Return what to report to a peer."""
        account = self._account_by_id.get(agent_id) or _Account()
        return Share(
            kind,
            name,
            round(self.demand, 2),
            round(self.units, 3),
            account.lent,
            account.returned,
        )

    def rebalance(self, spare_units: float = math.inf) -> None:
        """Lend or return what this agent has above its fair units.

        :param spare_units: most that may be given away, for limits whose
            units are held by open flows.
        """
        demand_by_id = {
            agent_id: account.demand
            for agent_id, account in self._account_by_id.items()
        }
        fair_by_id = fair_units(demand_by_id | {self.self_id: self.demand})
        excess = min(self.units - fair_by_id[self.self_id], spare_units)
        want_by_id = {
            agent_id: fair_by_id[agent_id] - account.units
            for agent_id, account in self._account_by_id.items()
            if fair_by_id[agent_id] - account.units > MIN_LOAN_UNITS
        }
        if excess <= MIN_LOAN_UNITS or not want_by_id:
            return
        total = sum(want_by_id.values())
        scale = min(1.0, excess / total)
        for agent_id, want in want_by_id.items():
            excess -= self._give(agent_id, want * scale)
        self._return_borrowed(min(excess, total))

    def _own_units(self) -> float:
        lent = sum(
            account.outstanding for account in self._account_by_id.values()
        )
        return 1.0 - lent - sum(units for _, units in self._departed)

    def _give(self, agent_id: AgentId, units: float) -> float:
        """Return borrowed units, then lend own ones; return the sum."""
        account = self._account_by_id[agent_id]
        back = min(units, account.borrowed)
        account.returned += back
        loan = max(0.0, min(units - back, self._own_units() - FLOOR_UNITS))
        account.lent += loan
        return back + loan

    def _return_borrowed(self, units: float) -> None:
        """Return units to lenders, who can lend them to others."""
        borrowed = sum(
            account.borrowed for account in self._account_by_id.values()
        )
        if units <= MIN_LOAN_UNITS or borrowed <= 0.0:
            return
        part = min(1.0, units / borrowed)
        for account in self._account_by_id.values():
            account.returned += account.borrowed * part

    def _depart(self, agent_id: AgentId, now: float) -> None:
        account = self._account_by_id.pop(agent_id)
        self._departed.append((now + DEPARTED_HOLD_S, account.outstanding))

    def _expire(self, now: float) -> None:
        self._departed = [item for item in self._departed if item[0] > now]
