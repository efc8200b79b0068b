"""Owners of flows that a balancer remembers."""

from typing import NamedTuple

from ibispitch.forwarding.packets import FlowKey

#: Flows that are remembered at most. 100 bytes each keep the table under a
#: tenth of the smallest process (119 MB); a forgotten flow is found again.
MAX_FLOWS = 100_000


class Owner(NamedTuple):
    """The agent that owns a flow.

    :param incarnation: the upstream that holds the flow, 0 if not known.
    :param placed_at: time of the last opening packet that was forwarded.
    :param is_only_recipient: whether no other upstream can have got the
        opening.
    """

    ip: str
    incarnation: int
    placed_at: float
    is_only_recipient: bool = True


class FlowTable:
    """Owners by flow, with a bound on age and number.

    Two generations: flows that are used move to the young one, and what is
    left in the old one is dropped when the generations change.
    """

    def __init__(self, max_flows: int = MAX_FLOWS):
        self._most = max_flows // 2
        self._young: dict[FlowKey, Owner] = {}
        self._old: dict[FlowKey, Owner] = {}
        self._changed_at = 0.0

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

    def put(self, flow: FlowKey, owner: Owner) -> None:
        """Remember the owner of a flow."""
        self._old.pop(flow, None)
        self._young[flow] = owner
        if len(self._young) > self._most:
            self._change()

    def pop(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self._young.pop(flow, None)
        self._old.pop(flow, None)

    def expire(self, idle_s: float, now: float) -> None:
        """Drop flows that were not used for ``idle_s`` at least.

        :param idle_s: idle time in seconds.
        :param now: time in seconds.
        """
        if now - self._changed_at >= idle_s:
            self._changed_at = now
            self._change()

    def _change(self) -> None:
        self._old = self._young
        self._young = {}
