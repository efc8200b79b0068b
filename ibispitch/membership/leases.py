"""Leases of agents, at their parent and at the agent itself.

The parent of an agent is the balancer that grants its lease.
"""

from collections import deque
from typing import NamedTuple

import msgspec

from ibispitch.ids import AgentId
from ibispitch.ids import BalancerId
from ibispitch.membership.messages import Announce
from ibispitch.membership.messages import LeaseGranted
from ibispitch.membership.messages import LeaseRefused
from ibispitch.membership.messages import Leave
from ibispitch.membership.messages import Renew
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.records import ServiceView

LEASE_S = 3.0
RENEW_INTERVAL_S = 1.0
#: Time that the agents of a lost parent have to get a lease elsewhere.
PARENT_LOSS_GRACE_S = 5.0
#: After a longer pause of the parent, unread renewals may wait in its
#: sockets, so no lease counts as lapsed because of its age.
PARENT_PAUSE_MIN_S = 1.0


class LeaseAnswer(NamedTuple):
    """Answer of a parent to a lease request.

    :param message: the answer to the agent.
    :param record_to_publish: a record to publish, if any.
    """

    message: LeaseGranted | LeaseRefused
    record_to_publish: AgentRecord | None = None


class _Lease(NamedTuple):
    record: AgentRecord
    renewed_at: float


class LeaseTable:
    """The leases that one balancer grants as a parent.

    :param self_id: identifier of the balancer.
    """

    def __init__(self, self_id: BalancerId):
        self._self_id = self_id
        self._lease_by_id: dict[AgentId, _Lease] = {}
        self._last_tick: float | None = None

    def __contains__(self, agent_id: AgentId) -> bool:
        return agent_id in self._lease_by_id

    def announce(
        self, record: AgentRecord, known: AgentRecord | None, now: float
    ) -> LeaseAnswer:
        """Grant a lease, or replace the record of a lease.

        A record that is not newer than the known one is refused: it is a
        late copy, or the agent does not know that it was declared LOST.

        :param record: the record that the agent sent.
        :param known: the record in spread.
        :param now: monotonic time in seconds.
        """
        lease = self._lease_by_id.get(record.agent_id)
        record = msgspec.structs.replace(record, parent=self._self_id)
        if lease is not None and lease.record == record:
            self._lease_by_id[record.agent_id] = _Lease(record, now)
            return LeaseAnswer(LeaseGranted(record.sequence, LEASE_S))
        refusal = _refusal(record, known)
        if refusal is not None:
            return LeaseAnswer(refusal)
        self._lease_by_id[record.agent_id] = _Lease(record, now)
        return LeaseAnswer(LeaseGranted(record.sequence, LEASE_S), record)

    def renew(self, message: Renew, now: float) -> LeaseAnswer:
        """Renew a lease; refuse if this incarnation has none."""
        lease = self._lease_by_id.get(message.agent_id)
        if lease is None or lease.record.incarnation != message.incarnation:
            return LeaseAnswer(LeaseRefused(message.sequence, False))
        self._lease_by_id[message.agent_id] = _Lease(lease.record, now)
        return LeaseAnswer(LeaseGranted(lease.record.sequence, LEASE_S))

    def leave(
        self, record: AgentRecord, known: AgentRecord | None
    ) -> AgentRecord | None:
        """End a lease.

        :returns: the LEFT record to publish, ``None`` if ``record`` is not
            newer than the known one.
        """
        if _refusal(record, known) is not None:
            return None
        self._lease_by_id.pop(record.agent_id, None)
        return msgspec.structs.replace(
            record, state=MemberState.LEFT, parent=self._self_id
        )

    def on_record(self, record: AgentRecord, now: float) -> AgentRecord | None:
        """Compare a record from spread with the lease of the agent.

        A record that names this balancer as parent although there is no
        lease dates from before a restart of this balancer. No other balancer
        would detect the loss of that agent, so a lease is created for it.

        :returns: a record to publish if the lease proves that the agent is
            not lost, else ``None``.
        """
        agent_id = record.agent_id
        lease = self._lease_by_id.get(agent_id)
        if lease is not None and record.version <= lease.record.version:
            return None
        if record.parent != self._self_id:
            self._lease_by_id.pop(agent_id, None)
            return None
        if lease is None or lease.record.incarnation != record.incarnation:
            self._lease_by_id.pop(agent_id, None)
            if record.state.is_present:
                at = now + PARENT_LOSS_GRACE_S - LEASE_S
                self._lease_by_id[agent_id] = _Lease(record, at)
            return None
        if record.state is not MemberState.LOST:
            self._lease_by_id[agent_id] = lease._replace(record=record)
            return None
        renewed = msgspec.structs.replace(
            lease.record, sequence=record.sequence + 1
        )
        self._lease_by_id[agent_id] = lease._replace(record=renewed)
        return renewed

    def tick(self, now: float) -> list[AgentRecord]:
        """End the leases that have lapsed.

        :returns: the LOST records to publish.
        """
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > PARENT_PAUSE_MIN_S:
            self._lease_by_id = {
                agent_id: lease._replace(renewed_at=now)
                for agent_id, lease in self._lease_by_id.items()
            }
        lapsed = [
            lease.record
            for lease in self._lease_by_id.values()
            if now - lease.renewed_at >= LEASE_S
        ]
        for record in lapsed:
            del self._lease_by_id[record.agent_id]
        return [
            msgspec.structs.replace(record, state=MemberState.LOST)
            for record in lapsed
        ]


def _refusal(
    record: AgentRecord, known: AgentRecord | None
) -> LeaseRefused | None:
    """Return the refusal of a record, ``None`` if it is accepted."""
    if known is None or record.incarnation > known.incarnation:
        return None
    if record.incarnation < known.incarnation:
        return LeaseRefused(known.sequence, True)
    if record.sequence <= known.sequence:
        return LeaseRefused(known.sequence, False)
    return None


class LeaseHolder:
    """The lease of one agent, as the agent itself knows it.

    :param record: own record, with the incarnation of this process.
    """

    def __init__(self, record: AgentRecord):
        self.record = record
        self.view: ServiceView | None = None
        #: Whether a later process of this agent has replaced this one.
        self.is_superseded = False
        self._valid_until = -1.0
        #: Send times of the requests without an answer, oldest first.
        self._asked_at: deque[float] = deque()
        self._last_check: float | None = None
        #: Whether the agent needs a new view before it may act.
        self._needs_view = True

    def is_held(self, now: float) -> bool:
        """Return whether the lease has not lapsed."""
        return now < self._valid_until

    @property
    def may_act(self) -> bool:
        """Whether the agent may adopt flows and run requests.

        An agent that reaches no parent may still act. An agent that was
        paused longer than its lease first needs a new lease and a new view.
        """
        return not self._needs_view and not self.is_superseded

    def on_connected(self) -> None:
        """Discard the send times of requests on an earlier stream."""
        self._asked_at.clear()

    def check_pause(self, now: float) -> float:
        """Check whether the process was paused.

        :param now: monotonic time in seconds.
        :returns: the length of the pause in seconds if it was longer than
            the lease, else 0.
        """
        last, self._last_check = self._last_check, now
        if last is None or now - last < LEASE_S:
            return 0.0
        self._needs_view = True
        return now - last

    def announce(self, now: float) -> Announce:
        """Return the request for a lease under a new sequence."""
        self._asked_at.append(now)
        self.record = msgspec.structs.replace(
            self.record, sequence=self.record.sequence + 1
        )
        return Announce(self.record, self.view.version if self.view else 0)

    def renew(self, now: float) -> Renew:
        """Return the request to renew the lease."""
        self._asked_at.append(now)
        return Renew(
            self.record.agent_id,
            self.record.incarnation,
            self.record.sequence,
        )

    def set_state(self, state: MemberState) -> None:
        """Set the state for the next announcement."""
        self.record = msgspec.structs.replace(self.record, state=state)

    def leave(self) -> Leave:
        """Return the message that ends the lease."""
        self.record = msgspec.structs.replace(
            self.record,
            sequence=self.record.sequence + 1,
            state=MemberState.LEFT,
        )
        return Leave(self.record)

    def on_granted(self, message: LeaseGranted) -> None:
        """Extend the lease, counted from the time of the request."""
        self._raise_sequence(message.sequence)
        if self._asked_at:
            self._valid_until = self._asked_at.popleft() + message.lease_s

    def on_refused(self, message: LeaseRefused) -> None:
        """End the lease and record the sequence of the refusal.

        The sequence of the next announcement is greater.
        """
        self._raise_sequence(message.sequence)
        if self._asked_at:
            self._asked_at.popleft()
        self._valid_until = -1.0
        self.is_superseded |= message.superseded

    def on_view(self, view: ServiceView, now: float) -> bool:
        """Store a view.

        :returns: whether it is newer than the one before.
        """
        if self.view is not None and view.version <= self.view.version:
            return False
        self.view = view
        if self.is_held(now):
            self._needs_view = False
        return True

    def _raise_sequence(self, sequence: int) -> None:
        if sequence > self.record.sequence:
            self.record = msgspec.structs.replace(
                self.record, sequence=sequence
            )
