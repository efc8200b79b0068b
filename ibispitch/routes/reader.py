"""Follows the routes in the store."""

import asyncio
from collections.abc import Callable
import random

from ibispitch.decisionlog import DecisionLog
from ibispitch.retry.backoff import backoff_s
from ibispitch.routes.core import RoutesCore
from ibispitch.routes.source import HistoryLostError
from ibispitch.routes.source import RouteSource
from ibispitch.routes.source import SourceError

#: Pause after a change, so that changes in quick succession cost one call.
COALESCE_S = 0.15
#: Delay between the first attempts after a failure, and the longest one. A
#: store that was away is read again within half a second of its return.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.5


class RouteReader:
    """Keeps a :class:`RoutesCore` up to date from the store.

    :param core: the routes.
    :param source: the store.
    :param clock: returns the time in seconds.
    :param log: lines on the store's loss and return.
    :param on_change: called after a change of the routes.
    :param wait_s: time that the store holds a call without changes.
    """

    def __init__(
        self,
        core: RoutesCore,
        source: RouteSource,
        clock: Callable[[], float],
        log: DecisionLog,
        on_change: Callable[[], None],
        wait_s: float,
    ):
        self._core = core
        self._source = source
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._wait_s = wait_s
        self._position: int | None = None
        self._failures = 0

    async def follow(self) -> None:
        """Read and wait for changes until cancelled."""
        while True:
            await self._guarded_step()

    async def follow_when_stale(self, limit_s: float) -> None:
        """Read from the store only while nobody else confirms the routes.

        :param limit_s: age of the routes at which the store is asked.
        """
        while True:
            missing_s = limit_s - self._core.age_s(self._clock())
            if missing_s > 0:
                self._position = None
                await asyncio.sleep(min(limit_s, missing_s + 0.01))
            else:
                await self._guarded_step()

    async def _guarded_step(self) -> None:
        try:
            is_changed = await self._step()
        except HistoryLostError:
            self._position = None
        except SourceError as error:
            self._failures += 1
            if self._failures == 1:
                self._log.change('store.lost', self._clock(), error=str(error))
            await asyncio.sleep(
                backoff_s(self._failures, random, FIRST_RETRY_S, MAX_RETRY_S)
            )
        else:
            if self._failures:
                self._log.change(
                    'store.regained', self._clock(), failures=self._failures
                )
                self._failures = 0
            if is_changed:
                self._on_change()
                await asyncio.sleep(COALESCE_S)

    async def _step(self) -> bool:
        started_at = self._clock()
        if self._position is None:
            table = await self._source.read()
            self._position = table.revision
            is_changed = self._core.offer(table)
            self._core.confirm(table.revision, started_at)
            return is_changed
        changes = await self._source.wait(self._position, self._wait_s)
        self._position = max(self._position, changes.revision)
        is_changed = self._core.apply(changes.changes)
        # An answer without changes says that there were none while the
        # store held the call.
        if changes.revision >= self._core.revision:
            self._core.confirm(self._core.revision, self._clock())
        return is_changed
