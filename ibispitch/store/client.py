"""Asynchronous client of the key-value store."""

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

from ibispitch.decoding import decode_json
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

#: Keys in the answer to one call. 500 entries of 2 KB are below the limit of
#: 4 MB that such gateways commonly have for one answer.
PAGE_KEYS = 500
#: Limit of one line of a watch, which contains a batch of events with values
#: of up to 1 MB.
MAX_WATCH_LINE_BYTES = 16 << 20
#: A watch without data for this time counts as broken, since a host that
#: disappears sends no TCP reset. An idle store sends no data either.
WATCH_IDLE_TIMEOUT_S = 60.0
MAX_DETAIL_CHARACTERS = 200
#: gRPC status of the store for a compacted revision.
GRPC_OUT_OF_RANGE = 11
CANCELLED_HTTP_STATUSES = (408, 499)

ANSWER_PARSE_ERRORS = (
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)


class StoreClient:
    """Calls the store, with failover between its endpoints.

    A read is tried at the next endpoint after any failure. A write is tried
    again only if it was not sent, since otherwise it could take effect twice.

    :param endpoints: ``ip:port`` of each endpoint.
    :param timeout_s: time limit of a call over all endpoints, in seconds.
    """

    def __init__(self, endpoints: Sequence[str], timeout_s: float = 2.0):
        if not endpoints:
            raise ValueError('no store endpoint; set store.endpoints')
        self._endpoints = tuple(endpoints)
        self._timeout_s = timeout_s
        self._preferred_index = 0
        self._session: aiohttp.ClientSession | None = None
        #: Number of attempts by (path, outcome).
        self.attempt_counts: Counter[tuple[str, str]] = Counter()

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
        body = {'key': messages.encode_base64(key)}
        result = await self._read(
            '/v3/kv/range', body, messages.parse_range_result
        )
        return result.items[0] if result.items else None

    async def range(self, prefix: str) -> RangeResult:
        """Read all keys with a prefix as of one revision.

        :param prefix: the prefix.
        :returns: the keys in order; a watch from ``revision + 1`` reports
            all later changes.
        :raises StoreError: if there is no usable answer.
        """
        body = {
            'key': messages.encode_base64(prefix),
            'range_end': messages.encode_base64(messages.prefix_end(prefix)),
            'limit': str(PAGE_KEYS),
        }
        page = await self._read('/v3/kv/range', body, _parse_page)
        result, has_more = page
        items = list(result.items)
        while has_more:
            body['key'] = messages.encode_base64(items[-1].key + '\0')
            body['revision'] = str(result.revision)
            page, has_more = await self._read(
                '/v3/kv/range', body, _parse_page
            )
            if has_more and not page.items:
                raise StoreError(
                    StoreFault.MALFORMED,
                    'the store returned an empty page but reported more keys',
                )
            items.extend(page.items)
        return RangeResult(result.revision, tuple(items))

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key unconditionally.

        :param key: the key.
        :param value: the value.
        :param lease: lease that deletes the key when it ends, 0 for none.
        :returns: the ``mod_revision`` of the write.
        :raises StoreError: if there is no usable answer.
        """
        return await self._write(
            '/v3/kv/put',
            Put(key, value, lease).body(),
            messages.parse_revision,
        )

    async def txn(
        self,
        compares: Sequence[Compare],
        success: Sequence[Put | Read],
        failure: Sequence[Put | Read] = (),
    ) -> TxnResult:
        """Run operations in one revision, depending on conditions.

        :param compares: the conditions.
        :param success: operations to run if all conditions are met.
        :param failure: operations to run otherwise.
        :returns: which operations ran and what they read.
        :raises StoreError: if there is no usable answer.
        """
        body = {
            'compare': [compare.to_json() for compare in compares],
            'success': [operation.to_json() for operation in success],
            'failure': [operation.to_json() for operation in failure],
        }
        return await self._write('/v3/kv/txn', body, messages.parse_txn_result)

    async def lease_grant(self, ttl_s: int) -> int:
        """Create a lease.

        :param ttl_s: seconds without keepalive after which it lapses.
        :returns: id of the lease.
        :raises StoreError: if there is no usable answer.
        """
        body = {'TTL': str(ttl_s)}
        return await self._write(
            '/v3/lease/grant', body, lambda answer: int(answer['ID'])
        )

    async def lease_keepalive(self, lease: int) -> int:
        """Renew a lease.

        :param lease: id of the lease.
        :returns: seconds until it lapses, 0 if it has lapsed already.
        :raises StoreError: if there is no usable answer.
        """
        # Renewing twice has the same effect as renewing once, so this call
        # is tried at other endpoints like a read.
        return await self._read(
            '/v3/lease/keepalive',
            {'ID': str(lease)},
            lambda answer: int(answer['result'].get('TTL', 0)),
        )

    async def lease_revoke(self, lease: int) -> None:
        """End a lease and delete its keys.

        :param lease: id of the lease.
        :raises StoreError: if there is no usable answer; ``REJECTED`` if
            the lease does not exist.
        """
        await self._write(
            '/v3/lease/revoke', {'ID': str(lease)}, messages.parse_revision
        )

    async def watch(
        self,
        prefix: str,
        start_revision: int,
        idle_timeout_s: float = WATCH_IDLE_TIMEOUT_S,
    ) -> AsyncIterator[WatchBatch]:
        """Yield the changes of all keys with a prefix.

        The iterator does not reconnect. After an error, call this method
        again with the last reported revision + 1, or after ``COMPACTED``
        read the range again first.

        :param prefix: the prefix.
        :param start_revision: first revision to report.
        :param idle_timeout_s: seconds without data after which the
            connection counts as broken.
        :returns: batches in the order of revisions; the first one is empty
            and means that the watch is established.
        :raises StoreError: ``UNAVAILABLE`` if the connection fails,
            ``TIMEOUT`` after ``idle_timeout_s`` without data, ``COMPACTED``
            if the store no longer has the start revision.
        """
        create = {
            'key': messages.encode_base64(prefix),
            'range_end': messages.encode_base64(messages.prefix_end(prefix)),
            'start_revision': str(start_revision),
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_read=idle_timeout_s)
        endpoint = self._endpoints[self._preferred_index]
        try:
            response = await self._within_timeout(
                endpoint,
                self._client().post(
                    f'http://{endpoint}/v3/watch',
                    data=json.dumps({'create_request': create}),
                    timeout=timeout,
                ),
            )
            async with response:
                if response.status != 200:
                    text = await self._within_timeout(
                        endpoint, response.text()
                    )
                    _raise_http_error(response.status, text, False)
                lines = _split_lines(response.content)
                line = await self._within_timeout(endpoint, anext(lines, None))
                while line is not None:
                    batch = _parse(line, _parse_watch_report, False)
                    self.attempt_counts['/v3/watch', 'batch'] += 1
                    yield batch
                    line = await anext(lines, None)
            detail = f'{endpoint} ended the watch; watch again'
            raise StoreError(StoreFault.UNAVAILABLE, detail)
        except TimeoutError as error:
            detail = f'the watch at {endpoint} received no data; watch again'
            raise self._record_watch_error(
                endpoint, StoreError(StoreFault.TIMEOUT, detail)
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            detail = f'the watch at {endpoint} failed ({error}); watch again'
            raise self._record_watch_error(
                endpoint, StoreError(StoreFault.UNAVAILABLE, detail)
            ) from error
        except StoreError as error:
            raise self._record_watch_error(
                endpoint, error
            ) from error.__cause__

    def _record_watch_error(
        self, endpoint: str, error: StoreError
    ) -> StoreError:
        """Count the error of a watch and prefer another endpoint if it failed.

        :returns: the error.
        """
        if error.fault in (StoreFault.UNAVAILABLE, StoreFault.TIMEOUT):
            self._prefer_next_endpoint(endpoint)
        self.attempt_counts['/v3/watch', error.fault.value] += 1
        return error

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            self._session = aiohttp.ClientSession(
                headers={'Content-Type': 'application/json'}
            )
        return self._session

    async def _within_timeout(self, endpoint: str, step: Awaitable[T]) -> T:
        """Await a step of setting up a watch, with the timeout of a call.

        The idle timeout applies to established watches only. An endpoint
        that sets up no watch in time counts as unavailable.
        """
        try:
            # asyncio.wait_for of Python 3.11 can lose a cancellation, so it
            # is not used.
            async with asyncio.timeout(self._timeout_s):
                return await step
        except TimeoutError as error:
            raise StoreError(
                StoreFault.UNAVAILABLE,
                f'{endpoint} set up no watch within {self._timeout_s:g} s',
            ) from error

    def _prefer_next_endpoint(self, endpoint: str) -> None:
        """Prefer the next endpoint if the failed one is still preferred."""
        if self._endpoints[self._preferred_index] == endpoint:
            self._preferred_index = (self._preferred_index + 1) % len(
                self._endpoints
            )

    async def _read(self, path: str, body: dict, parse: Callable) -> Any:
        return await self._call(path, body, parse, is_write=False)

    async def _write(self, path: str, body: dict, parse: Callable) -> Any:
        return await self._call(path, body, parse, is_write=True)

    async def _call(
        self, path: str, body: dict, parse: Callable[[dict], T], is_write: bool
    ) -> T:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_s
        for endpoints_left in range(len(self._endpoints), 0, -1):
            endpoint = self._endpoints[self._preferred_index]
            remaining_s = max(deadline - loop.time(), 0.001)
            attempt_timeout_s = remaining_s / endpoints_left
            timeout = aiohttp.ClientTimeout(
                total=remaining_s if is_write else attempt_timeout_s,
                sock_connect=attempt_timeout_s,
            )
            try:
                result = await self._attempt(
                    endpoint, path, body, parse, is_write, timeout
                )
            except StoreError as error:
                self.attempt_counts[path, error.fault.value] += 1
                if error.fault in (StoreFault.REJECTED, StoreFault.COMPACTED):
                    raise
                self._prefer_next_endpoint(endpoint)
                if error.may_have_taken_effect or endpoints_left == 1:
                    raise
            else:
                self.attempt_counts[path, 'ok'] += 1
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
            # The request was not sent, so a write has not taken effect.
            detail = f'no connection to {endpoint}; check the store'
            raise StoreError(StoreFault.UNAVAILABLE, detail) from None
        except TimeoutError as error:
            raise StoreError(
                StoreFault.TIMEOUT,
                f'no answer from {endpoint} within {self._timeout_s:g} s',
                may_have_taken_effect=is_write,
            ) from error
        except (aiohttp.ClientError, OSError, UnicodeDecodeError) as error:
            # The request was sent and its answer is lost, so a write counts
            # as timed out: it may have taken effect.
            raise StoreError(
                StoreFault.TIMEOUT if is_write else StoreFault.UNAVAILABLE,
                f'connection to {endpoint} failed ({error})',
                may_have_taken_effect=is_write,
            ) from error
        if response.status != 200:
            _raise_http_error(response.status, text, is_write)
        return _parse(text, parse, is_write)


def _parse_page(answer: dict) -> tuple[RangeResult, bool]:
    return messages.parse_range_result(answer), bool(answer.get('more', False))


def _parse(text: str | bytes, parse: Callable[[dict], T], is_write: bool) -> T:
    try:
        return parse(decode_json(text))
    except ANSWER_PARSE_ERRORS as error:
        raise StoreError(
            StoreFault.MALFORMED,
            f'the answer is not in the JSON format of etcd v3 ({error!r});'
            ' check store.endpoints',
            may_have_taken_effect=is_write,
        ) from error


def _raise_http_error(status: int, text: str, is_write: bool) -> None:
    """Raise the error for an answer with an HTTP error status.

    A write may have taken effect in spite of some statuses: the store also
    returns 5xx when its own replication timed out, and 408 or 499 when the
    call was cancelled on the way.
    """
    try:
        answer = decode_json(text)
        code, detail = answer.get('code', 0), str(answer['message'])
    except ANSWER_PARSE_ERRORS:
        code, detail = 0, text
    detail = f'HTTP {status}: {detail[:MAX_DETAIL_CHARACTERS]}'
    if status >= 500 or status in CANCELLED_HTTP_STATUSES:
        raise StoreError(
            StoreFault.TIMEOUT if is_write else StoreFault.UNAVAILABLE,
            detail,
            may_have_taken_effect=is_write,
        )
    fault = (
        StoreFault.COMPACTED
        if code == GRPC_OUT_OF_RANGE
        else StoreFault.REJECTED
    )
    raise StoreError(fault, detail)


async def _split_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        *lines, incomplete = buffer.split(b'\n')
        buffer = bytearray(incomplete)
        if len(buffer) > MAX_WATCH_LINE_BYTES:
            raise StoreError(
                StoreFault.MALFORMED,
                f'a watch report has more than {MAX_WATCH_LINE_BYTES} bytes',
            )
        for line in lines:
            if line.strip():
                yield bytes(line)


def _parse_watch_report(answer: dict) -> WatchBatch:
    if 'error' in answer:
        detail = str(answer['error'])[:MAX_DETAIL_CHARACTERS]
        raise StoreError(StoreFault.UNAVAILABLE, detail)
    result = answer['result']
    if result.get('canceled'):
        compacted = int(result.get('compact_revision', 0))
        if compacted:
            raise StoreError(
                StoreFault.COMPACTED,
                f'the store no longer has revisions before {compacted}; read'
                ' the range again',
                compact_revision=compacted,
            )
        reason = str(result.get('cancel_reason', 'no reason given'))
        raise StoreError(
            StoreFault.UNAVAILABLE, f'the store cancelled the watch: {reason}'
        )
    return messages.parse_watch_batch(result)
