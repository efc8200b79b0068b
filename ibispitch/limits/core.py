"""Rate limits of owners and classes, and the limit of open flows."""

from collections.abc import Iterable
import enum
import math

from ibispitch.catalogue.documents import Entry
from ibispitch.ids import AgentId
from ibispitch.limits.messages import ShareReport
from ibispitch.limits.shares import ShareLedger

#: A rate limit allows this many seconds of it at once.
BURST_S = 1.0
#: Time over which demand is averaged.
DEMAND_WINDOW_S = 1.0


class LimitKind(enum.Enum):
    """What a limit applies to."""

    OWNER = 'owner'
    CLASS = 'class'
    FLOWS = 'flows'


LimitKey = tuple[LimitKind, str]


class TokenBucket:
    """Tokens that arrive at a rate that may change.

    It starts empty: otherwise each restart would be worth a burst.

    :param now: time in seconds.
    """

    def __init__(self, now: float):
        self._tokens = 0.0
        self._at = now
        self._rate = 0.0

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate, in tokens a second."""
        self._fill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity())

    def has_token(self, now: float) -> bool:
        """Tell whether a token can be taken."""
        self._fill(now)
        return self._tokens >= 1.0

    def take(self) -> None:
        """Take a token."""
        self._tokens -= 1.0

    def _capacity(self) -> float:
        # One whole token must fit, or a small share would never allow any.
        return max(1.0, self._rate * BURST_S)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._tokens = min(
            self._capacity(), self._tokens + self._rate * elapsed
        )


class _RateLimit:
    """One rate limit with the share of this agent.

    A limit that was removed keeps its ledger: peers still count the loans,
    and the limit may come back.
    """

    def __init__(self, ledger: ShareLedger, now: float):
        self.limit: float | None = None
        self.ledger = ledger
        self.bucket = TokenBucket(now)
        self._demand_at = now

    def refresh(self, now: float) -> None:
        """Follow the share."""
        rate = (self.limit or 0.0) * self.ledger.share(now)
        self.bucket.set_rate(rate, now)

    def ask(self, now: float) -> bool:
        """Count the demand; tell whether a token can be taken."""
        self.decay(now)
        self.ledger.demand += 1.0 / DEMAND_WINDOW_S
        self.refresh(now)
        return self.bucket.has_token(now)

    def decay(self, now: float) -> None:
        """Let the average of the demand follow time."""
        elapsed = max(0.0, now - self._demand_at)
        self._demand_at = now
        self.ledger.demand *= math.exp(-elapsed / DEMAND_WINDOW_S)


class LimitCore:
    """The limits of a service, as far as they apply to this agent.

    :param self_id: this agent.
    :param incarnation: start time of this agent in ns.
    :param now: time in seconds.

    >>> core = LimitCore('a1', 1, now=0.0)
    >>> core.set_rate((LimitKind.OWNER, 'omaheke'), 2.0, now=0.0)
    >>> core.allow('omaheke', 'interactive', now=0.1)
    False
    >>> core.allow('omaheke', 'interactive', now=0.6)
    True
    """

    def __init__(self, self_id: AgentId, incarnation: int, now: float):
        self.self_id = self_id
        self.incarnation = incarnation
        self._started_at = now
        self._sequence = 0
        self._peers: set[AgentId] = set()
        self._rate_by_key: dict[LimitKey, _RateLimit] = {}
        self._flows: int | None = None
        self._flows_ledger = ShareLedger(self_id, now)
        self._incarnation_by_id: dict[AgentId, int] = {}
        self._sequence_by_id: dict[AgentId, int] = {}
        #: Loans in the last report to a peer, if the next may be left out.
        self._loans_by_id: dict[AgentId, list[tuple[float, float]]] = {}

    def on_entry(self, entry: Entry, now: float) -> None:
        """Take over the limits of a catalogue entry."""
        limits = entry.limits
        self.set_rate(
            (LimitKind.OWNER, entry.owner), limits.requests_per_s, now
        )
        self.set_rate(
            (LimitKind.CLASS, entry.class_name),
            limits.class_requests_per_s,
            now,
        )
        self.set_flows(limits.flows)
        kept = {
            (LimitKind.OWNER, entry.owner),
            (LimitKind.CLASS, entry.class_name),
        }
        for key in self._rate_by_key.keys() - kept:
            self.set_rate(key, None, now)

    def set_rate(self, key: LimitKey, rate: float | None, now: float) -> None:
        """Set or remove a rate limit.

        :param key: kind and name of the owner or class.
        :param rate: requests a second over all agents.
        """
        limit = self._rate_by_key.get(key)
        if limit is None:
            ledger = ShareLedger(self.self_id, self._started_at)
            ledger.set_peers(self._peers, now)
            limit = self._rate_by_key[key] = _RateLimit(ledger, now)
        limit.limit = rate
        limit.refresh(now)

    def set_flows(self, flows: int | None) -> None:
        """Set or remove the limit of open flows over all agents."""
        self._flows = flows

    def set_agents(self, agent_ids: Iterable[AgentId], now: float) -> None:
        """Take over the agents of the service from a new view."""
        self._peers = set(agent_ids) - {self.self_id}
        for _, ledger in self._ledgers():
            ledger.set_peers(self._peers, now)
        for agent_id in self._incarnation_by_id.keys() - self._peers:
            del self._incarnation_by_id[agent_id]
            self._sequence_by_id.pop(agent_id, None)
            self._loans_by_id.pop(agent_id, None)
        for limit in self._rate_by_key.values():
            limit.refresh(now)

    def allow(self, owner: str, class_name: str, now: float) -> bool:
        """Tell whether a request is within the limits, and count it.

        :param owner: owner of the service.
        :param class_name: class of the service.
        :param now: time in seconds.
        """
        keys = ((LimitKind.OWNER, owner), (LimitKind.CLASS, class_name))
        limits = [
            limit
            for key in keys
            if (limit := self._rate_by_key.get(key))
            and limit.limit is not None
        ]
        is_within = [limit.ask(now) for limit in limits]
        if not all(is_within):
            return False
        for limit in limits:
            limit.bucket.take()
        return True

    def is_flow_allowed(
        self, open_here: int, open_elsewhere: int, now: float
    ) -> bool:
        """Tell whether a new flow is within the limit of open flows.

        :param open_here: open flows of this agent.
        :param open_elsewhere: open flows of its peers as last reported. It
            matters after a join, when older agents still hold flows above
            their new share.
        :param now: time in seconds.
        """
        if self._flows is None:
            return True
        ledger = self._flows_ledger
        ledger.demand = open_here + 1.0
        return (
            open_here + 1 <= self._flows * ledger.share(now) + 1e-9
            and open_here + open_elsewhere < self._flows
        )

    def share_report(self, agent_id: AgentId) -> ShareReport | None:
        """Return the report for a peer, if one is to be sent.

        Without a new loan to the peer, every second one is left out: with
        eight peers each 500 ms they alone would take 4 KB/s.

        :returns: the report, ``None`` if there is none this time.
        """
        if self._flows is None and all(
            limit.limit is None for limit in self._rate_by_key.values()
        ):
            return None
        shares = [
            ledger.share_for(agent_id, kind.value, name)
            for (kind, name), ledger in self._ledgers()
        ]
        loans = [(share.sent, share.returned) for share in shares]
        if self._loans_by_id.get(agent_id) == loans:
            del self._loans_by_id[agent_id]
            return None
        self._loans_by_id[agent_id] = loans
        self._sequence += 1
        return ShareReport(
            self.self_id,
            self.incarnation,
            self._incarnation_by_id.get(agent_id, 0),
            self._sequence,
            shares,
        )

    def rebalance(self, reports: Iterable[ShareReport], now: float) -> None:
        """Take in reports of peers, then move shares by demand.

        Call it every 500 ms before the reports are sent.

        :param reports: reports to this agent since the last call.
        :param now: time in seconds.
        """
        for report in reports:
            self._on_report(report, now)
        for limit in self._rate_by_key.values():
            limit.decay(now)
            limit.ledger.rebalance()
            limit.refresh(now)
        if self._flows is not None:
            ledger = self._flows_ledger
            held_units = ledger.demand * ledger.agents / self._flows
            ledger.rebalance(ledger.units - held_units)

    def _ledgers(self) -> list[tuple[LimitKey, ShareLedger]]:
        ledgers = [
            (key, limit.ledger) for key, limit in self._rate_by_key.items()
        ]
        return [*ledgers, ((LimitKind.FLOWS, ''), self._flows_ledger)]

    def _on_report(self, report: ShareReport, now: float) -> None:
        sender = report.agent_id
        if sender not in self._peers:
            return
        known = self._incarnation_by_id.get(sender, 0)
        if report.incarnation < known:
            return
        if report.incarnation > known:
            self._incarnation_by_id[sender] = report.incarnation
            self._sequence_by_id[sender] = 0
            if known:
                for _, ledger in self._ledgers():
                    ledger.restart_peer(sender, now)
        if (
            report.to_incarnation != self.incarnation
            or report.sequence <= self._sequence_by_id.get(sender, 0)
        ):
            return
        self._sequence_by_id[sender] = report.sequence
        ledger_by_name = {
            (kind.value, name): ledger
            for (kind, name), ledger in self._ledgers()
        }
        for share in report.shares:
            if ledger := ledger_by_name.get((share.kind, share.name)):
                ledger.on_share(sender, share)
