"""Follows the routes in the store."""

import asyncio
from collections.abc import Callable
import random

from ibispitch.decisionlog import DecisionLog
from ibispitch.retry.backoff import backoff_s
from ibispitch.routes.core import RoutesCore
from ibispitch.routes.reader_choice import PollTiming
from ibispitch.routes.source import HistoryLostError
from ibispitch.routes.source import RouteSource
from ibispitch.routes.source import SourceError

#: Pause after a change, so that changes in quick succession cost one call.
COALESCE_S = 0.15
#: Delay between the first attempts after a failure, and the longest one. A
#: store that was away is read again within half a second of its return.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.5
#: Longest time until a process notices that it has become a reader.
ROLE_S = 0.3


class RouteReader:
    """Keeps a :class:`RoutesCore` up to date from the store.

    :param core: the routes.
    :param source: the store.
    :param clock: returns the time in seconds.
    :param log: lines on the store's loss and return.
    :param on_change: called after a change of the routes.
    :param bound_s: time within which changes have to be in force.
    :param poll_timing: returns how this fleet follows the store.
    """

    def __init__(
        self,
        core: RoutesCore,
        source: RouteSource,
        clock: Callable[[], float],
        log: DecisionLog,
        on_change: Callable[[], None],
        bound_s: float,
        poll_timing: Callable[[], PollTiming],
    ):
        self._core = core
        self._source = source
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._bound_s = bound_s
        self._reading = poll_timing
        self._position: int | None = None
        self._failures = 0

    async def follow(self, is_reader: Callable[[], bool]) -> None:
        """Keep the routes up to date until cancelled.

        :param is_reader: whether this process reads the store for others.
            One that does not asks the store only while nobody confirms its
            routes.
        """
        while True:
            limit_s = self._bound_s * self._reading().limit
            missing_s = limit_s - self._core.age_s(self._clock())
            if is_reader() or missing_s <= 0:
                await self._guarded_step()
            else:
                self._position = None
                await asyncio.sleep(min(ROLE_S, missing_s + 0.01))

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
            is_changed = self._core.replace_if_newer(table)
            self._core.record_confirmation(table.revision, started_at)
            return is_changed
        wait_s = self._bound_s * self._reading().wait
        changes = await self._source.wait(self._position, wait_s)
        self._position = max(self._position, changes.revision)
        is_changed = self._core.apply(changes.changes)
        # An answer without changes says that there were none while the
        # store held the call.
        if changes.revision >= self._core.revision:
            self._core.record_confirmation(self._core.revision, self._clock())
        return is_changed
