"""Table in which a balancer remembers the owners of flows."""

from typing import NamedTuple

from ibispitch.forwarding.packets import FlowKey
from ibispitch.retry.attempts import Attempt

#: Maximum number of remembered flows. At 100 bytes each, the table stays under
#: a tenth of the memory of the smallest process (119 MB). The owner of a
#: forgotten flow is found by a search.
MAX_FLOWS = 100_000


class Owner(NamedTuple):
    """The agent that owns a flow.

    :param ip: address of the agent.
    :param incarnation: the upstream that holds the flow, 0 if not known.
    :param placed_at: time at which the last copy of the opening was
        forwarded.
    :param is_only_recipient: whether no other upstream can have received the
        opening.
    :param is_returned: whether the agent handed the opening back, so that a
        copy of it need not go there.
    :param earlier: the caller's attempt before the opening, if it is known.
    :param sent_at: time at which the caller sent the opening first, ``None``
        if this process has not seen it.
    """

    ip: str
    incarnation: int
    placed_at: float
    is_only_recipient: bool = True
    is_returned: bool = False
    earlier: Attempt | None = None
    sent_at: float | None = None


class FlowTable:
    """Owners by flow, limited in number and idle time.

    The table has two generations. A flow that is used moves to the young
    one. When the generations change, the flows left in the old one are
    dropped.
    """

    def __init__(self, max_flows: int = MAX_FLOWS):
        self._max_young = max_flows // 2
        self._young: dict[FlowKey, Owner] = {}
        self._old: dict[FlowKey, Owner] = {}
        self._generation_started_at = 0.0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def get(self, flow: FlowKey) -> Owner | None:
        """Return the owner of a flow, ``None`` if it is not known."""
        owner = self._young.get(flow)
        if owner is None:
            owner = self._old.pop(flow, None)
            if owner is not None:
                self._young[flow] = owner
        return owner

    def peek(self, flow: FlowKey) -> Owner | None:
        """Return the owner of a flow without marking the flow as used."""
        return self._young.get(flow) or self._old.get(flow)

    def put(self, flow: FlowKey, owner: Owner) -> None:
        """Remember the owner of a flow."""
        self._old.pop(flow, None)
        self._young[flow] = owner
        if len(self._young) > self._max_young:
            self._change_generations()

    def record_return(self, flow: FlowKey, ip: str) -> None:
        """Record that an agent handed the opening of a flow back."""
        owner = self.get(flow)
        if owner is not None and owner.ip == ip:
            self._young[flow] = owner._replace(is_returned=True)

    def pop(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self._young.pop(flow, None)
        self._old.pop(flow, None)

    def expire(self, idle_s: float, now: float) -> None:
        """Drop flows that were idle for ``idle_s`` to twice that time.

        :param idle_s: idle time in seconds.
        :param now: time in seconds.
        """
        if now - self._generation_started_at >= idle_s:
            self._generation_started_at = now
            self._change_generations()

    def _change_generations(self) -> None:
        self._old = self._young
        self._young = {}
