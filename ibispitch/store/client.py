"""Asynchronous client of the store."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Any
from typing import TypeVar

import aiohttp

from ibispitch.store import messages
from ibispitch.store.errors import StoreError
from ibispitch.store.errors import StoreFault
from ibispitch.store.messages import Compare
from ibispitch.store.messages import KeyValue
from ibispitch.store.messages import Put
from ibispitch.store.messages import RangeResult
from ibispitch.store.messages import Read
from ibispitch.store.messages import TxnResult
from ibispitch.store.messages import WatchBatch

T = TypeVar('T')

#: Keys read by one call. 500 entries of 2 KB stay below the limit of 4 MB
#: that gateways of this form commonly have for one answer.
PAGE_KEYS = 500
#: Longest line of a watch: one batch of events with values up to 1 MB.
MAX_WATCH_LINE_BYTES = 16 << 20
#: Silence after which a watch is taken as broken. Hosts that disappear send
#: no TCP reset, and an idle store sends nothing.
WATCH_IDLE_S = 60.0
MAX_DETAIL_CHARACTERS = 200
#: gRPC status OUT_OF_RANGE, which the store gives for compacted revisions.
OUT_OF_RANGE = 11
CANCELLED_STATUSES = (408, 499)

ANSWER_ERRORS = (
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    AttributeError,
)


class StoreClient:
    """Calls to the store, with failover between its endpoints.

    A read moves on to the next endpoint after any failure. A write moves on
    only if it was not sent, since a second copy could take effect twice.

    :param endpoints: ``ip:port`` of each endpoint.
    :param timeout_s: seconds after which a call is given up, over all
        endpoints.
    """

    def __init__(self, endpoints: Sequence[str], timeout_s: float = 2.0):
        if not endpoints:
            raise ValueError('no store endpoint; set store.endpoints')
        self._endpoints = tuple(endpoints)
        self._timeout_s = timeout_s
        self._preferred = 0
        self._session: aiohttp.ClientSession | None = None
        #: Number of attempts by (path, outcome).
        self.calls: Counter[tuple[str, str]] = Counter()

    async def __aenter__(self) -> 'StoreClient':
        return self

    async def __aexit__(self, *exception) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> KeyValue | None:
        """Read one key.

        :param key: the key.
        :returns: the key with its value, or ``None`` if it does not exist.
        :raises StoreError: if there is no usable answer.
        """
        body = {'key': messages.encode(key)}
        result = await self._read('/v3/kv/range', body, messages.range_result)
        return result.items[0] if result.items else None

    async def range(self, prefix: str) -> RangeResult:
        """Read all keys with a prefix as of one revision.

        :param prefix: the prefix.
        :returns: the keys in order; watch from ``revision + 1`` for what
            changes afterwards.
        :raises StoreError: if there is no usable answer.
        """
        body = {
            'key': messages.encode(prefix),
            'range_end': messages.encode(messages.prefix_end(prefix)),
            'limit': str(PAGE_KEYS),
        }
        page = await self._read('/v3/kv/range', body, _page)
        result, has_more = page
        items = list(result.items)
        while has_more:
            body['key'] = messages.encode(items[-1].key + '\0')
            body['revision'] = str(result.revision)
            page, has_more = await self._read('/v3/kv/range', body, _page)
            if has_more and not page.items:
                raise StoreError(StoreFault.MALFORMED, 'an empty page')
            items.extend(page.items)
        return RangeResult(result.revision, tuple(items))

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key unconditionally.

        :param key: the key.
        :param value: the value.
        :param lease: lease with whose end the key is deleted, 0 for none.
        :returns: the ``mod_revision`` of the write.
        :raises StoreError: if there is no usable answer.
        """
        return await self._write(
            '/v3/kv/put',
            Put(key, value, lease).body(),
            messages.revision_of,
        )

    async def txn(
        self,
        compares: Sequence[Compare],
        success: Sequence[Put | Read],
        failure: Sequence[Put | Read] = (),
    ) -> TxnResult:
        """Run operations under conditions, all in one revision.

        :param compares: the conditions.
        :param success: what to do if all conditions hold.
        :param failure: what to do otherwise.
        :returns: which branch ran and what it read.
        :raises StoreError: if there is no usable answer.
        """
        body = {
            'compare': [compare.to_json() for compare in compares],
            'success': [operation.to_json() for operation in success],
            'failure': [operation.to_json() for operation in failure],
        }
        return await self._write('/v3/kv/txn', body, messages.txn_result)

    async def lease_grant(self, ttl_s: int) -> int:
        """Create a lease.

        :param ttl_s: seconds without keepalive after which it lapses.
        :returns: the lease.
        :raises StoreError: if there is no usable answer.
        """
        body = {'TTL': str(ttl_s)}
        return await self._write(
            '/v3/lease/grant', body, lambda answer: int(answer['ID'])
        )

    async def lease_keepalive(self, lease: int) -> int:
        """Renew a lease.

        :param lease: the lease.
        :returns: seconds until it lapses, 0 if it has lapsed already.
        :raises StoreError: if there is no usable answer.
        """
        # Renewing twice has the effect of renewing once, so this call moves
        # on to other endpoints like a read.
        return await self._read(
            '/v3/lease/keepalive',
            {'ID': str(lease)},
            lambda answer: int(answer['result'].get('TTL', 0)),
        )

    async def lease_revoke(self, lease: int) -> None:
        """End a lease and delete its keys.

        :param lease: the lease.
        :raises StoreError: if there is no usable answer; ``REJECTED`` if
            the lease does not exist.
        """
        await self._write(
            '/v3/lease/revoke', {'ID': str(lease)}, messages.revision_of
        )

    async def watch(
        self,
        prefix: str,
        start_revision: int,
        idle_timeout_s: float = WATCH_IDLE_S,
    ) -> AsyncIterator[WatchBatch]:
        """Report the changes of all keys with a prefix.

        The iterator does not reconnect: after an error, watch again from
        the last reported revision + 1, or read the range again after
        ``COMPACTED``.

        :param prefix: the prefix.
        :param start_revision: first revision to report.
        :param idle_timeout_s: seconds of silence after which the connection
            is taken as broken.
        :returns: batches in the order of revisions; the first one is empty
            and tells that the watch is established.
        :raises StoreError: ``UNAVAILABLE`` if the connection cannot be made
            or broke, ``TIMEOUT`` after silence, ``COMPACTED`` if the store
            no longer has the start revision.
        """
        create = {
            'key': messages.encode(prefix),
            'range_end': messages.encode(messages.prefix_end(prefix)),
            'start_revision': str(start_revision),
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_read=idle_timeout_s)
        endpoint = self._endpoints[self._preferred]
        try:
            response = await self._before_deadline(
                endpoint,
                self._client().post(
                    f'http://{endpoint}/v3/watch',
                    data=json.dumps({'create_request': create}),
                    timeout=timeout,
                ),
            )
            async with response:
                if response.status != 200:
                    text = await self._before_deadline(
                        endpoint, response.text()
                    )
                    _raise_refusal(response.status, text, False)
                lines = _lines(response.content)
                line = await self._before_deadline(
                    endpoint, anext(lines, None)
                )
                while line is not None:
                    batch = _parse(line, _watch_line, False)
                    self.calls['/v3/watch', 'batch'] += 1
                    yield batch
                    line = await anext(lines, None)
            detail = f'{endpoint} ended the watch; watch again'
            raise StoreError(StoreFault.UNAVAILABLE, detail)
        except TimeoutError as error:
            detail = f'the watch at {endpoint} was silent; watch again'
            raise self._broken_watch(
                endpoint, StoreError(StoreFault.TIMEOUT, detail)
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            detail = f'the watch at {endpoint} broke ({error}); watch again'
            raise self._broken_watch(
                endpoint, StoreError(StoreFault.UNAVAILABLE, detail)
            ) from error
        except StoreError as error:
            raise self._broken_watch(endpoint, error) from error.__cause__

    def _broken_watch(self, endpoint: str, error: StoreError) -> StoreError:
        """Count an error of a watch and choose where to watch again."""
        if error.fault in (StoreFault.UNAVAILABLE, StoreFault.TIMEOUT):
            self._move_on(endpoint)
        self.calls['/v3/watch', error.fault.value] += 1
        return error

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            self._session = aiohttp.ClientSession(
                headers={'Content-Type': 'application/json'}
            )
        return self._session

    async def _before_deadline(self, endpoint: str, step: Awaitable[T]) -> T:
        """Await a step of setting up a watch.

        The idle timeout is for established watches only. An endpoint that
        does not even set one up is out of service.
        """
        try:
            # asyncio.wait_for of Python 3.11 can lose a cancellation.
            async with asyncio.timeout(self._timeout_s):
                return await step
        except TimeoutError as error:
            raise StoreError(
                StoreFault.UNAVAILABLE,
                f'{endpoint} set up no watch within {self._timeout_s:g} s',
            ) from error

    def _move_on(self, endpoint: str) -> None:
        """Prefer another endpoint than the one that failed."""
        if self._endpoints[self._preferred] == endpoint:
            self._preferred = (self._preferred + 1) % len(self._endpoints)

    async def _read(self, path: str, body: dict, parse: Callable) -> Any:
        return await self._call(path, body, parse, is_write=False)

    async def _write(self, path: str, body: dict, parse: Callable) -> Any:
        return await self._call(path, body, parse, is_write=True)

    async def _call(
        self, path: str, body: dict, parse: Callable[[dict], T], is_write: bool
    ) -> T:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_s
        for left in range(len(self._endpoints), 0, -1):
            endpoint = self._endpoints[self._preferred]
            remaining_s = max(deadline - loop.time(), 0.001)
            share_s = remaining_s / left
            timeout = aiohttp.ClientTimeout(
                total=remaining_s if is_write else share_s,
                sock_connect=share_s,
            )
            try:
                result = await self._attempt(
                    endpoint, path, body, parse, is_write, timeout
                )
            except StoreError as error:
                self.calls[path, error.fault.value] += 1
                if error.fault in (StoreFault.REJECTED, StoreFault.COMPACTED):
                    raise
                self._move_on(endpoint)
                if error.may_have_taken_effect or left == 1:
                    raise
            else:
                self.calls[path, 'ok'] += 1
                return result
        raise AssertionError('there is at least one endpoint')

    async def _attempt(
        self,
        endpoint: str,
        path: str,
        body: dict,
        parse: Callable[[dict], T],
        is_write: bool,
        timeout: aiohttp.ClientTimeout,
    ) -> T:
        try:
            async with self._client().post(
                f'http://{endpoint}{path}',
                data=json.dumps(body),
                timeout=timeout,
            ) as response:
                text = await response.text()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # Nothing was sent, so a write has not taken effect.
            detail = f'no connection to {endpoint}; check the store'
            raise StoreError(StoreFault.UNAVAILABLE, detail) from None
        except TimeoutError as error:
            raise StoreError(
                StoreFault.TIMEOUT,
                f'no answer from {endpoint} within {self._timeout_s:g} s',
                may_have_taken_effect=is_write,
            ) from error
        except (aiohttp.ClientError, OSError, UnicodeDecodeError) as error:
            # A write was sent and its answer is lost: as after a timeout.
            raise StoreError(
                StoreFault.TIMEOUT if is_write else StoreFault.UNAVAILABLE,
                f'connection to {endpoint} broke ({error})',
                may_have_taken_effect=is_write,
            ) from error
        if response.status != 200:
            _raise_refusal(response.status, text, is_write)
        return _parse(text, parse, is_write)


def _page(answer: dict) -> tuple[RangeResult, bool]:
    return messages.range_result(answer), bool(answer.get('more', False))


def _parse(text: str | bytes, parse: Callable[[dict], T], is_write: bool) -> T:
    try:
        return parse(json.loads(text))
    except ANSWER_ERRORS as error:
        raise StoreError(
            StoreFault.MALFORMED,
            f'the answer is not of the etcd v3 JSON form ({error!r});'
            ' check store.endpoints',
            may_have_taken_effect=is_write,
        ) from error


def _raise_refusal(status: int, text: str, is_write: bool) -> None:
    """Raise the error for an answer with an HTTP error status.

    These statuses are no proof that a write did not take effect: the store
    gives 5xx also when its own replication timed out, and 408 or 499 when
    the call was cancelled on the way.
    """
    try:
        answer = json.loads(text)
        code, detail = answer.get('code', 0), str(answer['message'])
    except ANSWER_ERRORS:
        code, detail = 0, text
    detail = f'HTTP {status}: {detail[:MAX_DETAIL_CHARACTERS]}'
    if status >= 500 or status in CANCELLED_STATUSES:
        raise StoreError(
            StoreFault.TIMEOUT if is_write else StoreFault.UNAVAILABLE,
            detail,
            may_have_taken_effect=is_write,
        )
    fault = (
        StoreFault.COMPACTED if code == OUT_OF_RANGE else StoreFault.REJECTED
    )
    raise StoreError(fault, detail)


async def _lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        *lines, rest = buffer.split(b'\n')
        buffer = bytearray(rest)
        if len(buffer) > MAX_WATCH_LINE_BYTES:
            raise StoreError(
                StoreFault.MALFORMED,
                f'a watch report is over {MAX_WATCH_LINE_BYTES} bytes',
            )
        for line in lines:
            if line.strip():
                yield bytes(line)


def _watch_line(answer: dict) -> WatchBatch:
    if 'error' in answer:
        detail = str(answer['error'])[:MAX_DETAIL_CHARACTERS]
        raise StoreError(StoreFault.UNAVAILABLE, detail)
    result = answer['result']
    if result.get('canceled'):
        compacted = int(result.get('compact_revision', 0))
        if compacted:
            raise StoreError(
                StoreFault.COMPACTED,
                f'history before revision {compacted} is gone; read the'
                ' range again',
                compact_revision=compacted,
            )
        reason = str(result.get('cancel_reason', 'no reason given'))
        raise StoreError(
            StoreFault.UNAVAILABLE, f'the store cancelled the watch: {reason}'
        )
    return messages.watch_batch(result)
