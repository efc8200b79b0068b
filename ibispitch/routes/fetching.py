"""Choice of the process from which newer routes are fetched.

It is designed for a change of the routes that the readers of the store
announce to all processes within milliseconds. If each process fetched the
table from the first one that announces it, most tables would cross data
centres, where traffic costs money, and each further announcement would start
another transfer of the same table. The announcement of a process in another
data centre is therefore used only if no process of the own one has the table
some time later, for example because its readers are cut off from the store.
"""

from typing import NamedTuple

from ibispitch.routes.position import TablePosition

#: Maximum number of tables that are fetched at the same time.
MAX_FETCHES = 2
#: Time after which a transfer of the same table may begin elsewhere.
#: Connections between hosts can stop without an error.
SLOW_FETCH_S = 0.3


class RouteOffer(NamedTuple):
    """Newer routes of another process.

    :param ip: the process.
    :param position: position of its routes.
    :param version: version of its configuration, 0 if not known.
    :param confirmed_at: time at which the store confirmed its routes.
    :param is_far: whether it is in another data centre.
    """

    ip: str
    position: TablePosition
    version: int
    confirmed_at: float
    is_far: bool

    @property
    def precedence(self) -> tuple[TablePosition, int, float]:
        """Sort key; the newest routes are the greatest."""
        return self.position, self.version, self.confirmed_at


class RouteFetches:
    """Decides which routes to fetch, and remembers the running transfers.

    :param far_wait_s: time for which an offer of another data centre waits
        for one of the own data centre.

    >>> fetches = RouteFetches(far_wait_s=0.3)
    >>> position = TablePosition(1, 7)
    >>> far = RouteOffer('10.2.0.1', position, 3, 0.0, is_far=True)
    >>> fetches.offer(far, now=0.0)
    >>> near = RouteOffer('10.1.0.1', position, 3, 0.0, is_far=False)
    >>> fetches.offer(near, now=0.1).ip
    '10.1.0.1'
    """

    def __init__(self, far_wait_s: float):
        self._far_wait_s = far_wait_s
        self._begun_at_by_offer: dict[RouteOffer, float] = {}
        self._far_offer: RouteOffer | None = None
        self._far_offered_at = 0.0

    def offer(
        self, offer: RouteOffer, now: float, is_urgent: bool = False
    ) -> RouteOffer | None:
        """Decide on routes that are newer than those of this process.

        :param offer: the routes.
        :param now: time in seconds.
        :param is_urgent: whether this process can't work without routes, so
            that the data centre doesn't matter.
        :returns: the offer if its routes are to be fetched now. The caller
            then fetches them and calls :meth:`end`. Otherwise :meth:`due`
            may return it later.
        """
        if offer.is_far and not is_urgent:
            if self._far_offer is None:
                self._far_offered_at = now
                self._far_offer = offer
            self._far_offer = max(
                self._far_offer, offer, key=lambda one: one.precedence
            )
            return None
        return self._begin(offer, now)

    def due(self, now: float) -> RouteOffer | None:
        """Return routes of another data centre to be fetched now, if any.

        The caller checks that they are still newer than its own.
        """
        offer = self._far_offer
        if offer is None or now - self._far_offered_at < self._far_wait_s:
            return None
        self._far_offer = None
        return self._begin(offer, now)

    def end(self, offer: RouteOffer) -> None:
        """Record that a transfer has ended or failed."""
        self._begun_at_by_offer.pop(offer, None)

    def _begin(self, offer: RouteOffer, now: float) -> RouteOffer | None:
        running = self._begun_at_by_offer
        if len(running) >= MAX_FETCHES or any(
            other.ip == offer.ip
            or (
                now - begun_at < SLOW_FETCH_S
                and other.position >= offer.position
                and other.version >= offer.version
            )
            for other, begun_at in running.items()
        ):
            return None
        running[offer] = now
        return offer
