"""How a process gets its routes, from the store or from other processes."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from ibispitch.fleet.messages import BalancerStatus
from ibispitch.ids import Address
from ibispitch.platform.routes import PlatformRoutes
from ibispitch.routes.fetching import RouteFetches
from ibispitch.routes.fetching import RouteOffer
from ibispitch.routes.position import TablePosition
from ibispitch.routes.reader import RouteReader
from ibispitch.routes.reader_choice import poll_timing
from ibispitch.routes.reader_choice import PollTiming
from ibispitch.routes.source import RoutesOrigin

if TYPE_CHECKING:
    from ibispitch.platform.node import Node

#: Time for which a process of a fleet that starts for the first time waits for
#: the routes of other processes before it reads the store. Traffic starts 12 s
#: after the hosts, and hundreds of processes would read at the same time.
FIRST_START_WAIT_S = 3.0
#: Capacity of a link below which a restarted process asks others for the
#: routes before it reads the store. On 5 Mbit/s the store's uncompressed copy
#: of 1,700 routes takes 0.35 s, the compressed table of another process a
#: tenth of it.
SLOW_LINK_MBPS = 50.0
#: Time for which such a process waits for the routes of others.
PEER_ROUTES_WAIT_S = 0.3
#: Part of the time within which changes must be in force for which a balancer
#: waits for newer routes from its own data centre. Agents wait longer, so that
#: one balancer fetches the table for its data centre.
BALANCER_FAR_WAIT_SHARE = 0.05
AGENT_FAR_WAIT_SHARE = 0.2
#: Tolerance of the timer for this wait; a timer may fire slightly early.
FAR_WAIT_MARGIN_S = 0.005


class RouteExchange:
    """Keeps the routes of a process up to date, and gives them to others.

    :param node: the process.
    """

    def __init__(self, node: Node):
        self._node = node
        self._store_era = 0
        self._far_wait_s = self._choose_far_wait_s()
        self._fetches = RouteFetches(self._far_wait_s)
        self._far_fetch: asyncio.TimerHandle | None = None

    def make_route_reader(self) -> RouteReader:
        """Return a reader of the routes in the store."""
        node = self._node
        store = node.transport.store(node.settings.store_address)
        bound_s = node.settings.bounds.configuration_s
        return RouteReader(
            node.routes, PlatformRoutes(store, self._log_unreadable),
            node.clock, node.log, self._on_routes_changed, bound_s,
            self._poll_timing, node.started_at + self._first_wait_s,
        )  # fmt: skip

    def _choose_far_wait_s(self) -> float:
        """Return how long routes of other data centres wait for near ones.

        Balancers of a data centre wait for different times, so that the
        others can fetch from the first one.
        """
        node = self._node
        bound_s = node.settings.bounds.configuration_s
        if node.is_balancer:
            return (
                BALANCER_FAR_WAIT_SHARE
                * bound_s
                * node.random.uniform(0.5, 1.5)
            )
        return AGENT_FAR_WAIT_SHARE * bound_s

    @property
    def _first_wait_s(self) -> float:
        """Time for which a process without routes waits for other processes.

        After a restart there is traffic, so it asks the store at once unless
        its link is slow.
        """
        if self._node.settings.is_first_start:
            return FIRST_START_WAIT_S
        is_slow = 0.0 < self._node.settings.link_mbps < SLOW_LINK_MBPS
        return PEER_ROUTES_WAIT_S if is_slow else 0.0

    def may_read_first(self) -> bool:
        """Return whether this process may read the store for others.

        When a whole fleet starts for the first time, all balancers are alone
        for a moment; only the seeds read the store then.
        """
        node = self._node
        is_starting = node.clock() - node.started_at < self._first_wait_s
        return not is_starting or node.settings.ip in node.settings.seed_ips

    def _log_unreadable(self, name: str, problem: str, count: int) -> None:
        node = self._node
        node.log.change(
            'routes.unreadable', node.clock(), name=name, problem=problem,
            count=count,
        )  # fmt: skip

    def _poll_timing(self) -> PollTiming:
        balancers = (
            len(self._node.fleet.balancers_by_ip) + self._node.is_balancer
        )
        return poll_timing(balancers)

    def fetch_if_newer(
        self,
        ip: str,
        position: TablePosition,
        version: int = 0,
        confirmed_at: float = -math.inf,
    ) -> None:
        """Fetch the routes of a process if they are newer.

        :param position: position of the routes of that process.
        :param version: version of its configuration, 0 if not known.
        :param confirmed_at: time at which the store confirmed its routes.
        """
        node = self._node
        if not node.routes.is_newer(position, version):
            return
        offer = RouteOffer(
            ip, position, version, confirmed_at,
            node.fleet.is_far(ip, node.settings.datacentre),
        )  # fmt: skip
        is_urgent = (
            node.routes.index is None and not node.settings.is_first_start
        )
        if self._fetches.offer(offer, node.clock(), is_urgent) is not None:
            node.start(self._fetch(offer))
        elif offer.is_far and self._far_fetch is None:
            self._far_fetch = node.loop.call_later(
                self._far_wait_s + FAR_WAIT_MARGIN_S, self._fetch_from_far
            )

    def _fetch_from_far(self) -> None:
        """Fetch routes of another data centre if none here has them."""
        node = self._node
        self._far_fetch = None
        if node.is_halted:
            return
        offer = self._fetches.due(node.clock())
        if offer is None:
            return
        if node.routes.is_newer(offer.position, offer.version):
            node.start(self._fetch(offer))
        else:
            self._fetches.end(offer)

    async def _fetch(self, offer: RouteOffer) -> None:
        node = self._node
        try:
            table = await node.transport.fetch_table(
                Address(offer.ip, node.peer_port)
            )
        except (OSError, TimeoutError, ValueError) as error:
            node.log.change(
                'routes.fetch_failed', node.clock(), peer=offer.ip,
                error=repr(error),
            )  # fmt: skip
            return
        finally:
            self._fetches.end(offer)
        is_changed = node.routes.merge(table, node.clock())
        is_confirmed = node.routes.record_confirmation(
            offer.position, offer.confirmed_at
        )
        if is_changed or is_confirmed:
            self._on_routes_changed(
                RoutesOrigin.FAR if offer.is_far else RoutesOrigin.NEAR
            )

    def _on_routes_changed(
        self, origin: RoutesOrigin = RoutesOrigin.STORE
    ) -> None:
        node = self._node
        table = node.routes.index.table
        now = node.clock()
        if self._store_era not in (0, table.era):
            node.log.change(
                'store.restored', now, era=table.era,
                former_era=self._store_era, revision=table.revision,
                held_out=sorted(table.held_out),
            )  # fmt: skip
        self._store_era = table.era
        node.log.change(
            'routes.changed', now, era=table.era, revision=table.revision,
            version=table.version, routes=len(table.routes),
            out=sorted(table.all_out), origin=origin.value,
        )  # fmt: skip
        node.on_routes(origin)

    def check_position(self, ip: str, status: BalancerStatus) -> None:
        """Fetch or confirm routes, by those that a balancer has.

        :param status: status of the balancer.
        """
        confirmed_at = self._node.clock() - status.age_s
        self.fetch_if_newer(ip, status.position, status.version, confirmed_at)
        if self._node.routes.record_confirmation(
            status.position, confirmed_at
        ):
            self._on_routes_changed(RoutesOrigin.NEAR)

    async def serve_routes(self) -> None:
        """Serve the route table to other processes."""
        node = self._node
        address = node.settings.peer_address
        node.add_server(
            await node.transport.serve_table(
                address,
                lambda: node.routes.index and node.routes.index.table,
                node.on_connection_error(address),
            )
        )
