"""Rate limits of owners and classes, and the limit on open flows."""

from collections.abc import Iterable
import enum
import math

from ibispitch.catalogue.documents import Entry
from ibispitch.ids import AgentId
from ibispitch.limits.messages import ShareReport
from ibispitch.limits.shares import ShareLedger

#: Burst that a rate limit allows, in seconds at the full rate.
BURST_S = 1.0
#: Time constant of the average of demand.
DEMAND_WINDOW_S = 1.0


class LimitKind(enum.Enum):
    """Kind of a limit: what it applies to."""

    OWNER = 'owner'
    CLASS = 'class'
    FLOWS = 'flows'


LimitKey = tuple[LimitKind, str]


class TokenBucket:
    """Token bucket whose rate may change.

    It starts empty, since otherwise each restart would allow a burst.

    :param now: time in seconds.
    """

    def __init__(self, now: float):
        self._tokens = 0.0
        self._updated_at = now
        self._rate = 0.0

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate, in tokens per second."""
        self._fill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity())

    def has_token(self, now: float) -> bool:
        """Return whether a token can be taken."""
        self._fill(now)
        return self._tokens >= 1.0

    def take(self) -> None:
        """Take a token."""
        self._tokens -= 1.0

    def _capacity(self) -> float:
        # At least one token must fit, or a small share would allow nothing.
        return max(1.0, self._rate * BURST_S)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._tokens = min(
            self._capacity(), self._tokens + self._rate * elapsed
        )


class _RateLimit:
    """One rate limit and the share of it that this agent may use.

    A removed limit keeps its ledger, since peers still count the loans and
    the limit may be set again.
    """

    def __init__(self, ledger: ShareLedger, now: float):
        self.limit: float | None = None
        self.ledger = ledger
        self.bucket = TokenBucket(now)
        self._demand_updated_at = now

    def update_rate(self, now: float) -> None:
        """Set the rate of the bucket to the current share."""
        rate = (self.limit or 0.0) * self.ledger.share(now)
        self.bucket.set_rate(rate, now)

    def record_request(self, now: float) -> bool:
        """Record a request; return whether a token can be taken for it."""
        self.decay_demand(now)
        self.ledger.demand += 1.0 / DEMAND_WINDOW_S
        self.update_rate(now)
        return self.bucket.has_token(now)

    def decay_demand(self, now: float) -> None:
        """Lower the average demand by the time since the last call."""
        elapsed = max(0.0, now - self._demand_updated_at)
        self._demand_updated_at = now
        self.ledger.demand *= math.exp(-elapsed / DEMAND_WINDOW_S)


class LimitCore:
    """Limits of a service, and the shares that this agent may use.

    :param self_id: id of this agent.
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
        self._flow_limit: int | None = None
        self._flow_ledger = ShareLedger(self_id, now)
        self._incarnation_by_id: dict[AgentId, int] = {}
        self._sequence_by_id: dict[AgentId, int] = {}
        #: Loan counters in the last report to each peer whose next report may
        #: be left out.
        self._reported_loans_by_id: dict[
            AgentId, list[tuple[float, float]]
        ] = {}

    def on_entry(self, entry: Entry, now: float) -> None:
        """Set the limits of a catalogue entry and remove all others."""
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

        :param key: kind of the limit, and name of the owner or class.
        :param rate: requests per second of all agents together, ``None`` to
            remove the limit.
        """
        limit = self._rate_by_key.get(key)
        if limit is None:
            ledger = ShareLedger(self.self_id, self._started_at)
            ledger.set_peers(self._peers, now)
            limit = self._rate_by_key[key] = _RateLimit(ledger, now)
        limit.limit = rate
        limit.update_rate(now)

    def set_flows(self, flows: int | None) -> None:
        """Set or remove the limit on the open flows of all agents."""
        self._flow_limit = flows

    def set_agents(self, agent_ids: Iterable[AgentId], now: float) -> None:
        """Set the agents of the service, as listed in a new view."""
        self._peers = set(agent_ids) - {self.self_id}
        for _, ledger in self._ledgers():
            ledger.set_peers(self._peers, now)
        for agent_id in self._incarnation_by_id.keys() - self._peers:
            del self._incarnation_by_id[agent_id]
            self._sequence_by_id.pop(agent_id, None)
            self._reported_loans_by_id.pop(agent_id, None)
        for limit in self._rate_by_key.values():
            limit.update_rate(now)

    def allow(self, owner: str, class_name: str, now: float) -> bool:
        """Return whether a request is within the limits, and count it.

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
        is_within = [limit.record_request(now) for limit in limits]
        if not all(is_within):
            return False
        for limit in limits:
            limit.bucket.take()
        return True

    def is_flow_allowed(
        self, open_here: int, open_elsewhere: int, now: float
    ) -> bool:
        """Return whether a new flow is within the limit on open flows.

        :param open_here: open flows of this agent.
        :param open_elsewhere: open flows of its peers as last reported. They
            matter after an agent joined, when the other agents still have
            more flows than their new share allows.
        :param now: time in seconds.
        """
        if self._flow_limit is None:
            return True
        ledger = self._flow_ledger
        ledger.demand = open_here + 1.0
        return (
            open_here + 1 <= self._flow_limit * ledger.share(now) + 1e-9
            and open_here + open_elsewhere < self._flow_limit
        )

    def share_report(self, agent_id: AgentId) -> ShareReport | None:
        """Return the report to send to a peer.

        If no loan with the peer has changed, every second report is left
        out: reports to eight peers every 500 ms would alone take 4 KB/s.

        :returns: the report, or ``None`` if none is to be sent.
        """
        if self._flow_limit is None and all(
            limit.limit is None for limit in self._rate_by_key.values()
        ):
            return None
        shares = [
            ledger.share_for(agent_id, kind.value, name)
            for (kind, name), ledger in self._ledgers()
        ]
        loans = [(share.sent, share.returned) for share in shares]
        if self._reported_loans_by_id.get(agent_id) == loans:
            del self._reported_loans_by_id[agent_id]
            return None
        self._reported_loans_by_id[agent_id] = loans
        self._sequence += 1
        return ShareReport(
            self.self_id,
            self.incarnation,
            self._incarnation_by_id.get(agent_id, 0),
            self._sequence,
            shares,
        )

    def rebalance(self, reports: Iterable[ShareReport], now: float) -> None:
        """Apply the reports of peers, then move shares according to demand.

        Call it every 500 ms, before the reports are sent.

        :param reports: reports received since the last call.
        :param now: time in seconds.
        """
        for report in reports:
            self._apply_report(report, now)
        for limit in self._rate_by_key.values():
            limit.decay_demand(now)
            limit.ledger.rebalance()
            limit.update_rate(now)
        if self._flow_limit is not None:
            ledger = self._flow_ledger
            held_units = ledger.demand * ledger.agents / self._flow_limit
            ledger.rebalance(ledger.units - held_units)

    def _ledgers(self) -> list[tuple[LimitKey, ShareLedger]]:
        ledgers = [
            (key, limit.ledger) for key, limit in self._rate_by_key.items()
        ]
        return [*ledgers, ((LimitKind.FLOWS, ''), self._flow_ledger)]

    def _apply_report(self, report: ShareReport, now: float) -> None:
        sender = report.agent_id
        if sender not in self._peers:
            return
        known_incarnation = self._incarnation_by_id.get(sender, 0)
        if report.incarnation < known_incarnation:
            return
        if report.incarnation > known_incarnation:
            self._incarnation_by_id[sender] = report.incarnation
            self._sequence_by_id[sender] = 0
            if known_incarnation:
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
