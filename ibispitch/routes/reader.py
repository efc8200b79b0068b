"""Keeps the routes of a process up to date from the store."""

import asyncio
from collections.abc import Callable
import random

import msgspec

from ibispitch.decisionlog import DecisionLog
from ibispitch.retry.backoff import backoff_s
from ibispitch.routes.core import RoutesCore
from ibispitch.routes.position import TablePosition
from ibispitch.routes.reader_choice import PollTiming
from ibispitch.routes.source import HistoryLostError
from ibispitch.routes.source import RouteSource
from ibispitch.routes.source import SourceError

#: Delay after a change, so that changes in quick succession cost one call.
COALESCE_DELAY_S = 0.15
#: Delay of the first retry after a failure, and the maximum delay. A store
#: that was not reachable is read again within half a second of its return.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.5
#: Maximum time until a process notices that it has become a reader.
ROLE_CHECK_INTERVAL_S = 0.3


class RouteReader:
    """Keeps a :class:`RoutesCore` up to date from the store.

    :param core: the routes.
    :param source: the store.
    :param clock: returns the time in seconds.
    :param log: gets an event when the store is lost and when it is back.
    :param on_change: called after a change of the routes.
    :param bound_s: time within which changes must be in force.
    :param poll_timing: returns the timing of calls to the store.
    :param peers_until: time until which a process that is not a reader and
        has no routes waits for those of others.
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
        peers_until: float,
    ):
        self._core = core
        self._source = source
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._bound_s = bound_s
        self._poll_timing = poll_timing
        self._peers_until = peers_until
        self._position: TablePosition | None = None
        self._failures = 0

    async def follow(self, is_reader: Callable[[], bool]) -> None:
        """Keep the routes up to date until cancelled.

        :param is_reader: returns whether this process reads the store for
            others. If not, it calls the store only while no other process
            confirms its routes.
        """
        while True:
            limit_s = self._bound_s * self._poll_timing().limit
            now = self._clock()
            missing_s = limit_s - self._core.age_s(now)
            if self._core.index is None:
                missing_s = self._peers_until - now
            if is_reader() or missing_s <= 0:
                await self._step_with_retry()
            else:
                self._position = None
                await asyncio.sleep(
                    min(ROLE_CHECK_INTERVAL_S, missing_s + 0.01)
                )

    async def _step_with_retry(self) -> None:
        try:
            is_changed = await self._read_or_wait()
        except HistoryLostError:
            self._position = None
        except SourceError as error:
            self._failures += 1
            if self._failures == 1:
                self._log.change('store.lost', self._clock(), error=str(error))
            await asyncio.sleep(
                backoff_s(
                    self._failures,
                    random,
                    FIRST_RETRY_DELAY_S,
                    MAX_RETRY_DELAY_S,
                )
            )
        else:
            if self._failures:
                self._log.change(
                    'store.regained', self._clock(), failures=self._failures
                )
                self._failures = 0
            if is_changed:
                self._on_change()
                await asyncio.sleep(COALESCE_DELAY_S)

    async def _read_or_wait(self) -> bool:
        started_at = self._clock()
        if self._position is None:
            table = await self._source.read()
            table = msgspec.structs.replace(table, era=self._era(table.era))
            self._position = table.position
            is_changed = self._core.merge(table, self._clock())
            return (
                self._core.record_confirmation(table.position, started_at)
                or is_changed
            )
        wait_s = self._bound_s * self._poll_timing().wait
        changes = await self._source.wait(self._position.revision, wait_s)
        era = self._era(changes.era)
        if era != self._position.era:
            raise HistoryLostError('the store came back from a copy')
        revision = max(self._position.revision, changes.revision)
        self._position = TablePosition(era, revision)
        is_changed = self._core.apply(changes.changes)
        # An answer without changes confirms that there were none while the
        # store held the call.
        if self._position >= self._core.position:
            is_changed |= self._core.record_confirmation(
                self._core.position, self._clock()
            )
        return is_changed

    def _era(self, era: int) -> int:
        """Return the era of an answer of the store.

        :param era: as the answer says, 0 if it says none.
        :raises SourceError: if the answer is from an earlier era.
        """
        known = self._core.position.era
        if 0 < era < known:
            raise SourceError(f'answer of era {era}, but {known} is known')
        return era or known
