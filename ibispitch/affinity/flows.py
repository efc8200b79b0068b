"""Flows that this agent owns."""

from collections.abc import Iterable
from collections.abc import Iterator

from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.routing import SLOT_COUNT

#: Longer than a packet stays in the network. For this time a flow that
#: ended or was refused is not adopted for another agent, since a copy of an
#: earlier adoption may still come after the flow got another owner.
REFUSAL_S = 8.0

#: All flows are checked for idleness once in this time.
IDLE_CYCLE_S = 10.0


class OwnedFlows:
    """Owned flows, with the time of the last packet and the adoption."""

    def __init__(self):
        #: Time of the last packet of each flow, in seconds.
        self.heard: dict[FlowId, float] = {}
        #: Version of the view at adoption.
        self.version: dict[FlowId, int] = {}
        self._by_slot: dict[int, set[FlowId]] = {}
        self._refused_until: dict[FlowId, float] = {}
        self._idle_slot = 0.0
        self._idle_checked: float | None = None

    def __len__(self) -> int:
        return len(self.heard)

    def __contains__(self, flow: FlowId) -> bool:
        return flow in self.heard

    def add(self, flow: FlowId, slot: int, version: int, now: float) -> None:
        """Adopt a flow."""
        self.heard[flow] = now
        self.version[flow] = version
        self._by_slot.setdefault(slot, set()).add(flow)
        self._refused_until.pop(flow, None)

    def remove(self, flow: FlowId, slot: int) -> None:
        """End an owned flow."""
        del self.heard[flow]
        del self.version[flow]
        flows = self._by_slot[slot]
        flows.discard(flow)
        if not flows:
            del self._by_slot[slot]

    def clear(self) -> list[FlowId]:
        """End all flows and return them."""
        flows = list(self.heard)
        self.heard.clear()
        self.version.clear()
        self._by_slot.clear()
        return flows

    def in_slot(self, slot: int) -> list[FlowId]:
        """Return the owned flows of a slot."""
        return sorted(self._by_slot.get(slot, ()))

    def refuse(self, flow: FlowId, now: float) -> None:
        """Adopt the flow for no other agent for some seconds."""
        self._refused_until[flow] = now + REFUSAL_S

    def is_refused(self, flow: FlowId, now: float) -> bool:
        """Tell whether the flow ended or was refused a moment ago."""
        return self._refused_until.get(flow, now) > now

    def refused(self, now: float) -> list[FlowId]:
        """Return the flows that ended or were refused a moment ago."""
        return [f for f, until in self._refused_until.items() if until > now]

    def expire_refusals(self, now: float) -> None:
        """Forget refusals that are over."""
        over = [f for f, until in self._refused_until.items() if until <= now]
        for flow in over:
            del self._refused_until[flow]

    def idle(self, timeout_s: float, now: float) -> list[FlowId]:
        """Return idle flows, looking at a share of the slots each time."""
        if self._idle_checked is None:
            self._idle_checked = now
        elapsed = now - self._idle_checked
        self._idle_checked = now
        first = int(self._idle_slot)
        self._idle_slot += min(elapsed / IDLE_CYCLE_S, 1.0) * SLOT_COUNT
        slots = range(first, int(self._idle_slot))
        self._idle_slot %= SLOT_COUNT
        return [
            flow
            for slot in slots
            for flow in self._by_slot.get(slot % SLOT_COUNT, ())
            if now - self.heard[flow] >= timeout_s
        ]


class Releases:
    """Ends of flows that their authority has not confirmed."""

    def __init__(self):
        self._attempts: dict[AgentId, dict[FlowId, int]] = {}

    def add(self, to: AgentId, flow: FlowId) -> None:
        """Tell an agent that a flow ended."""
        self._attempts.setdefault(to, {})[flow] = 0

    def cancel(self, flow: FlowId) -> None:
        """Stop telling of a flow that is owned again."""
        for attempts in self._attempts.values():
            attempts.pop(flow, None)

    def confirmed(self, by: AgentId, flows: Iterable[FlowId]) -> None:
        """Note that an agent knows of the ends."""
        attempts = self._attempts.get(by, {})
        for flow in flows:
            attempts.pop(flow, None)

    def unconfirmed(self) -> Iterator[tuple[AgentId, list[FlowId]]]:
        """Return the agents and the flows whose ends they must learn."""
        for agent, attempts in self._attempts.items():
            yield agent, list(attempts)

    def due(self, limit: int) -> Iterator[tuple[AgentId, list[FlowId]]]:
        """Return what is to be sent now, each flow at most ``limit`` times."""
        for agent, attempts in list(self._attempts.items()):
            for flow, count in list(attempts.items()):
                attempts[flow] = count + 1
                if count >= limit:
                    del attempts[flow]
            if attempts:
                yield agent, list(attempts)
            else:
                del self._attempts[agent]
