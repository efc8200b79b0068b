"""Choice of the balancer that an agent asks next for a lease."""

from collections.abc import Iterable
import random

from ibispitch.ids import Address
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.records import ServiceView
from ibispitch.membership.selection import parent_order

#: Delays before the next request for a lease, so that the agents of a lost
#: balancer do not all reach the next one at the same time.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0


class ParentChooser:
    """The order in which one agent tries balancers.

    :param agent: record of the agent.
    :param seeds: control addresses from the settings.
    :param rng: source of the order of seeds and of the jitter.
    """

    def __init__(
        self, agent: AgentRecord, seeds: Iterable[Address], rng: random.Random
    ):
        self._record = agent
        self._seeds = list(seeds)
        self._rng = rng
        self._view: ServiceView | None = None
        self._remaining: list[Address] = []
        self._failed_rounds = 0

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add control addresses, for example from a snapshot."""
        self._seeds += [seed for seed in seeds if seed not in self._seeds]

    def on_view(self, view: ServiceView) -> None:
        """Record the balancers in a view."""
        self._view = view

    def next_candidate(self) -> tuple[Address | None, float]:
        """Return the balancer to ask next and the seconds to wait first.

        :returns: the control address, ``None`` if none is known, and the
            delay.
        """
        delay = 0.0
        if not self._remaining:
            self._remaining = self._candidates()
            if self._failed_rounds:
                limit = FIRST_RETRY_DELAY_S * 2**self._failed_rounds
                delay = self._rng.uniform(0.5, 1) * min(
                    MAX_RETRY_DELAY_S, limit
                )
            self._failed_rounds = min(self._failed_rounds + 1, 10)
        if not self._remaining:
            return None, max(delay, FIRST_RETRY_DELAY_S)
        return self._remaining.pop(0), delay

    @property
    def has_failed(self) -> bool:
        """Whether no balancer in a round granted a lease, or none is known."""
        return self._failed_rounds > 1 or not (self._seeds or self._view)

    def on_granted(self) -> None:
        """Record that a balancer has granted a lease."""
        self._failed_rounds = 0
        self._remaining = []

    def on_parent_lost(self, parent: Address) -> float:
        """Move a lost parent to the end of the order.

        :returns: seconds to wait before the next one is asked.
        """
        self._remaining = [
            address for address in self._candidates() if address != parent
        ] + [parent]
        return self._rng.uniform(0, FIRST_RETRY_DELAY_S)

    def should_move(self, parent: Address) -> bool:
        """Return whether the agent should change its parent.

        That is so if the parent is leaving, or if it is in another data
        centre although the data centre of the agent has a balancer.
        """
        if self._view is None:
            return False
        by_address = {
            record.control_address: record for record in self._view.balancers
        }
        record = by_address.get(parent)
        active = parent_order(self._record, self._view.balancers)
        if record is None or not active:
            return False
        if record.state is not MemberState.ACTIVE:
            return True
        own = self._record.datacentre
        return record.datacentre != own and active[0].datacentre == own

    def _candidates(self) -> list[Address]:
        known = self._view.balancers if self._view else []
        ordered = [
            record.control_address
            for record in parent_order(self._record, known)
        ]
        seeds = [seed for seed in self._seeds if seed not in ordered]
        self._rng.shuffle(seeds)
        return ordered + seeds
