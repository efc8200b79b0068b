"""The platform's metadata store in memory.

Its client replaces :class:`ibispitch.platform.store.MetadataStore`. Reads can
have the faults that the platform documents: unavailable, silent, slow, history
dropped.
"""

import asyncio
import bisect
from collections import Counter
import enum
from typing import NamedTuple

from ibispitch.platform.store import Item
from ibispitch.platform.store import Listing
from ibispitch.platform.store import StoreCallError

LATENCY_S = 0.004


class Fault(enum.Enum):
    """Fault of the store, which affects all calls."""

    NONE = 'none'
    BUSY = 'busy'
    RESET = 'reset'
    SILENT = 'silent'
    #: Calls are rejected as over the rate limit.
    LIMITED = 'limited'


class StoreCopy(NamedTuple):
    """State of a store at a time."""

    revision: int
    item_by_key: dict[str, Item]
    events: list[Item]


class MemoryStore:
    """Items and revisions, shared by all clients.

    :ivar faulty_clients: clients that the fault affects, ``None`` for all.
    """

    def __init__(self):
        self.revision = 1
        self.era = 1
        self._item_by_key: dict[str, Item] = {}
        self._events: list[Item] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self.fault = Fault.NONE
        self.faulty_clients: set[str] | None = None
        self.latency_s = LATENCY_S
        self.calls = 0
        self.calls_by_client: Counter[str] = Counter()

    def write(self, key: str, value: bytes | None) -> int:
        """Write or remove a key, as the operator does."""
        self.revision += 1
        item = Item(key, value, self.revision)
        if value is None:
            self._item_by_key.pop(key, None)
        else:
            self._item_by_key[key] = item
        self._events.append(item)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def compact(self) -> None:
        """Drop the history."""
        self._compacted_revision = self.revision
        self._events.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> 'StoreCopy':
        """Return a copy of the present state, see :meth:`restore`."""
        return StoreCopy(
            self.revision, dict(self._item_by_key), list(self._events)
        )

    def restore(self, copy: 'StoreCopy') -> None:
        """Return to an earlier state; its revisions are given out again."""
        self.era += 1
        self.revision = copy.revision
        self._item_by_key = dict(copy.item_by_key)
        self._events = list(copy.events)
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        self._changed.set()
        self._changed = asyncio.Event()

    def items(self, prefix: str) -> tuple[Item, ...]:
        """Return the items under a prefix."""
        return tuple(
            item
            for key, item in sorted(self._item_by_key.items())
            if key.startswith(prefix)
        )

    def events(self, prefix: str, after: int) -> tuple[Item, ...] | None:
        """Return the changes after a revision.

        :returns: ``None`` if they were dropped or the store does not have
            this revision.
        """
        if not self._compacted_revision <= after <= self.revision:
            return None
        start = bisect.bisect_right(
            self._events, after, key=lambda event: event.revision
        )
        return tuple(
            event
            for event in self._events[start:]
            if event.key.startswith(prefix)
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something is written."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return


class MemoryStoreClient:
    """A client of a :class:`MemoryStore`, see :class:`MetadataStore`.

    :param client: name of the process, to limit faults to some clients.
    """

    def __init__(self, store: MemoryStore, client: str):
        self._store = store
        self._client = client

    async def list(self, prefix: str, may_be_stale: bool = False) -> Listing:
        """Return all items under a prefix."""
        await self._begin_call()
        store = self._store
        return Listing(store.revision, store.items(prefix), store.era)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Return the changes under a prefix after a revision."""
        await self._begin_call()
        store = self._store
        until = asyncio.get_running_loop().time() + wait_s
        while True:
            events = store.events(prefix, after)
            if events is None:
                raise StoreCallError(410, 'history lost')
            left_s = until - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                await self._apply_fault()
                return Listing(store.revision, events, store.era)
            await store.wait_for_change(left_s)

    async def put(self, key: str, value: bytes) -> None:
        """Write a key without a condition."""
        await self._begin_call()
        self._store.write(key, value)

    def close(self) -> None:
        """Close the client."""

    def _current_fault(self) -> Fault:
        clients = self._store.faulty_clients
        if clients is not None and self._client not in clients:
            return Fault.NONE
        return self._store.fault

    async def _begin_call(self) -> None:
        self._store.calls += 1
        self._store.calls_by_client[self._client] += 1
        await asyncio.sleep(self._store.latency_s)
        await self._apply_fault()

    async def _apply_fault(self) -> None:
        fault = self._current_fault()
        if fault is Fault.BUSY:
            raise StoreCallError(503, 'busy')
        if fault is Fault.LIMITED:
            raise StoreCallError(429, 'more calls than the rates allow')
        if fault is Fault.RESET:
            await self._fail(0)
        if fault is Fault.SILENT:
            await asyncio.sleep(1.5)
            await self._fail(0)

    async def _fail(self, status: int) -> None:
        raise StoreCallError(status, 'no answer')
