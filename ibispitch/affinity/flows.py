"""Flows that this agent owns, and ended flows that it must report."""

from collections.abc import Iterable
from collections.abc import Iterator

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.routing import SLOT_COUNT

#: Period for which a flow that ended or was refused is not adopted for
#: another agent. It is longer than a packet stays in the network: a copy of
#: an earlier adoption may arrive after the flow got another owner.
REFUSAL_PERIOD_S = 8.0

#: Period in which each flow is checked once for idleness.
IDLE_SCAN_PERIOD_S = 10.0


class OwnedFlows:
    """Owned flows, with their last activity and the view at adoption."""

    def __init__(self):
        #: Time of the last packet or upstream datagram, in seconds.
        self.last_activity_by_flow: dict[FlowId, float] = {}
        #: Version of the view at the adoption of each flow.
        self.view_version_by_flow: dict[FlowId, int] = {}
        self._by_slot: dict[int, set[FlowId]] = {}
        self._refused_until: dict[FlowId, float] = {}
        self._next_idle_slot = 0.0
        self._idle_checked_at: float | None = None

    def __len__(self) -> int:
        return len(self.last_activity_by_flow)

    def __contains__(self, flow: FlowId) -> bool:
        return flow in self.last_activity_by_flow

    def add(self, flow: FlowId, slot: int, version: int, now: float) -> None:
        """Adopt a flow."""
        self.last_activity_by_flow[flow] = now
        self.view_version_by_flow[flow] = version
        self._by_slot.setdefault(slot, set()).add(flow)
        self._refused_until.pop(flow, None)

    def remove(self, flow: FlowId, slot: int) -> None:
        """End an owned flow."""
        del self.last_activity_by_flow[flow]
        del self.view_version_by_flow[flow]
        flows = self._by_slot[slot]
        flows.discard(flow)
        if not flows:
            del self._by_slot[slot]

    def clear(self) -> list[FlowId]:
        """End all flows and return them."""
        flows = list(self.last_activity_by_flow)
        self.last_activity_by_flow.clear()
        self.view_version_by_flow.clear()
        self._by_slot.clear()
        return flows

    def flows_in_slot(self, slot: int) -> list[FlowId]:
        """Return the owned flows of a slot."""
        return sorted(self._by_slot.get(slot, ()))

    def refuse(self, flow: FlowId, now: float) -> None:
        """Refuse to adopt a flow for other agents for some seconds."""
        self._refused_until[flow] = now + REFUSAL_PERIOD_S

    def is_refused(self, flow: FlowId, now: float) -> bool:
        """Return whether a flow ended or was refused recently."""
        return self._refused_until.get(flow, now) > now

    def refused_flows(self, now: float) -> list[FlowId]:
        """Return the flows that ended or were refused recently."""
        return [f for f, until in self._refused_until.items() if until > now]

    def expire_refusals(self, now: float) -> None:
        """Remove expired refusals."""
        expired = [
            f for f, until in self._refused_until.items() if until <= now
        ]
        for flow in expired:
            del self._refused_until[flow]

    def idle_flows(self, timeout_s: float, now: float) -> list[FlowId]:
        """Return idle flows; each call checks a share of the slots."""
        if self._idle_checked_at is None:
            self._idle_checked_at = now
        elapsed = now - self._idle_checked_at
        self._idle_checked_at = now
        first = int(self._next_idle_slot)
        self._next_idle_slot += (
            min(elapsed / IDLE_SCAN_PERIOD_S, 1.0) * SLOT_COUNT
        )
        slots = range(first, int(self._next_idle_slot))
        self._next_idle_slot %= SLOT_COUNT
        return [
            flow
            for slot in slots
            for flow in self._by_slot.get(slot % SLOT_COUNT, ())
            if now - self.last_activity_by_flow[flow] >= timeout_s
        ]


class Releases:
    """Ended flows whose end the authority has not confirmed."""

    def __init__(self):
        self._attempts_by_agent: dict[AgentId, dict[FlowId, int]] = {}

    def add(self, to: AgentId, flow: FlowId) -> None:
        """Report the end of a flow to an agent until it confirms it."""
        self._attempts_by_agent.setdefault(to, {})[flow] = 0

    def cancel(self, flow: FlowId) -> None:
        """Stop reporting a flow that is owned again."""
        for attempts in self._attempts_by_agent.values():
            attempts.pop(flow, None)

    def record_confirmation(
        self, by: AgentId, flows: Iterable[FlowId]
    ) -> None:
        """Record that an agent has confirmed the ends of flows."""
        attempts = self._attempts_by_agent.get(by, {})
        for flow in flows:
            attempts.pop(flow, None)

    def unconfirmed(self) -> Iterator[tuple[AgentId, list[FlowId]]]:
        """Return the agents and the flows whose ends they must confirm."""
        for agent, attempts in self._attempts_by_agent.items():
            yield agent, list(attempts)

    def next_attempts(
        self, limit: int
    ) -> Iterator[tuple[AgentId, list[FlowId]]]:
        """Return the flows to report now to each agent, and count attempts.

        :param limit: number of reports after which a flow is removed.
        """
        for agent, attempts in list(self._attempts_by_agent.items()):
            for flow, count in list(attempts.items()):
                attempts[flow] = count + 1
                if count >= limit:
                    del attempts[flow]
            if attempts:
                yield agent, list(attempts)
            else:
                del self._attempts_by_agent[agent]
