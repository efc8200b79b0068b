"""Which balancer an agent asks next for a lease."""

from collections.abc import Iterable
import random

from ibispitch.ids import Address
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import MemberState
from ibispitch.membership.records import ServiceView
from ibispitch.membership.selection import parent_order

#: Delays before a parent is asked, so that the agents of a lost balancer
#: do not all reach the next one at the same moment.
FIRST_DELAY_S = 0.1
MAX_DELAY_S = 2.0


class ParentChooser:
    """The order in which one agent tries balancers.

    :param agent: the agent.
    :param seeds: control addresses from the settings.
    :param rng: source of the order of seeds and of the jitter.
    """

    def __init__(
        self, agent: AgentRecord, seeds: Iterable[Address], rng: random.Random
    ):
        self._agent = agent
        self._seeds = list(seeds)
        self._rng = rng
        self._view: ServiceView | None = None
        self._queue: list[Address] = []
        self._failed_rounds = 0

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add control addresses, for example of a snapshot."""
        self._seeds += [seed for seed in seeds if seed not in self._seeds]

    def on_view(self, view: ServiceView) -> None:
        """Note the balancers that the parent knows."""
        self._view = view

    def next(self) -> tuple[Address | None, float]:
        """Return the balancer to ask and the seconds to wait before.

        :returns: no address if none is known.
        """
        delay = 0.0
        if not self._queue:
            self._queue = self._candidates()
            if self._failed_rounds:
                limit = FIRST_DELAY_S * 2**self._failed_rounds
                delay = self._rng.uniform(0.5, 1) * min(MAX_DELAY_S, limit)
            self._failed_rounds = min(self._failed_rounds + 1, 10)
        if not self._queue:
            return None, max(delay, FIRST_DELAY_S)
        return self._queue.pop(0), delay

    @property
    def has_failed(self) -> bool:
        """Whether a whole round of balancers did not grant a lease."""
        return self._failed_rounds > 1 or not (self._seeds or self._view)

    def granted(self) -> None:
        """Note that a balancer has granted a lease."""
        self._failed_rounds = 0
        self._queue = []

    def lost(self, parent: Address) -> float:
        """Note that the parent was lost; it is tried last.

        :returns: seconds to wait before the next one is asked.
        """
        self._queue = [
            address for address in self._candidates() if address != parent
        ] + [parent]
        return self._rng.uniform(0, FIRST_DELAY_S)

    def should_move(self, parent: Address) -> bool:
        """Tell whether the agent should change its parent.

        It does when the parent is leaving, or is in another data centre
        although there are balancers in the own one.
        """
        if self._view is None:
            return False
        by_address = {
            record.control_address: record for record in self._view.balancers
        }
        record = by_address.get(parent)
        active = parent_order(self._agent, self._view.balancers)
        if record is None or not active:
            return False
        if record.state is not MemberState.ACTIVE:
            return True
        own = self._agent.datacentre
        return record.datacentre != own and active[0].datacentre == own

    def _candidates(self) -> list[Address]:
        known = self._view.balancers if self._view else []
        ordered = [
            record.control_address
            for record in parent_order(self._agent, known)
        ]
        seeds = [seed for seed in self._seeds if seed not in ordered]
        self._rng.shuffle(seeds)
        return ordered + seeds
