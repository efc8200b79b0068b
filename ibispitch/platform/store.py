"""Client of the platform's metadata store.

The system reads the operator's entries and keeps a list of its balancers
there. State of flows comes from its own processes and from upstreams.
"""

from base64 import b64decode
from base64 import b64encode
from typing import Any
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from ibispitch.decoding import decode_json
from ibispitch.decoding import is_count
from ibispitch.ids import Address
from ibispitch.platform.http import HttpClient
from ibispitch.platform.http import Response

#: Time-out of a call. The store usually answers in 4 ms, and one that is 100
#: times slower still answers in time.
CALL_TIMEOUT_S = 1.5
#: Header with a number that rises each time the store comes back from a copy.
ERA_HEADER = 'Store-Era'
#: Largest era and revision that a position of routes can hold.
MAX_ERA = (1 << 16) - 2
MAX_REVISION = (1 << 48) - 1


class StoreCallError(Exception):
    """A call to the store failed.

    :param status: HTTP status, 0 if there was no valid answer.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(
            f'store call failed ({status or "no answer"}): {detail}; '
            'the call is repeated; check that the store is up'
        )
        self.status = status


class Item(NamedTuple):
    """A key and its value, ``None`` if the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Listing(NamedTuple):
    """Items under a prefix, and the store's revision.

    :param era: rises by one each time the store comes back from a copy; 0 if
        the answer does not say.
    """

    revision: int
    items: tuple[Item, ...]
    era: int = 0


class MetadataStore:
    """Client of the store, with one connection.

    :param address: address of the store.
    """

    def __init__(self, address: Address):
        self._http = HttpClient(address)

    async def list(self, prefix: str, may_be_stale: bool = False) -> Listing:
        """Return all items under a prefix.

        Items that cannot be decoded are left out. The pages are not a
        snapshot: the revision is that of the first page, so a watch from
        there returns again what changed between the pages.

        :param may_be_stale: whether the items may be seconds old, which
            costs a tenth and doesn't count against the store's rate.
        :raises StoreCallError: if a page could not be read.
        """
        items: list[Item] = []
        revision = first_era = None
        query = {'prefix': prefix}
        if may_be_stale:
            query['stale_ok'] = '1'
        while True:
            page, era = await self._read(f'/v1/kv-range?{urlencode(query)}')
            raw_items = _list_of(page, 'items')
            items.extend(
                item
                for raw in raw_items
                if (item := _decode_item(raw)) is not None
            )
            if revision is None:
                revision, first_era = _revision_of(page, 'current_rev'), era
            if era != first_era:
                raise StoreCallError(0, 'the era changed between two pages')
            if not page.get('has_more') or not raw_items:
                return Listing(revision, tuple(items), era)
            last_key = raw_items[-1].get('key')
            if not isinstance(last_key, str) or last_key <= query.get(
                'after', ''
            ):
                raise StoreCallError(0, 'a page does not end with a later key')
            query['after'] = last_key

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Return the changes under a prefix after a revision.

        :param wait_s: time that the store waits for a change.
        :raises StoreCallError: if the call failed; with status 410 if the
            store no longer has the changes.
        """
        query = urlencode(
            {
                'prefix': prefix,
                'after': after,
                'wait_ms': round(wait_s * 1000),
            }
        )
        answer, era = await self._read(
            f'/v1/kv-watch?{query}', wait_s + CALL_TIMEOUT_S
        )
        events = tuple(
            item
            for raw in _list_of(answer, 'events')
            if (item := _decode_item(raw)) is not None
        )
        return Listing(_revision_of(answer, 'current_rev'), events, era)

    async def put(self, key: str, value: bytes) -> None:
        """Write a key without a condition.

        :raises StoreCallError: if the write was not confirmed. It may have
            been made, or be made later.
        """
        text = b64encode(value).decode()
        body = msgspec.json.encode(
            {
                'expected_rev': [],
                'puts': [{'key': key, 'value': text, 'lease': 0}],
                'deletes': [],
            }
        )
        await self._call('POST', '/v1/kv-txn', body, CALL_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    async def _read(
        self, path: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[dict[str, Any], int]:
        """Return the body of the answer to a read, and its era."""
        return await self._call('GET', path, b'', timeout_s)

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[dict[str, Any], int]:
        """Return the body of an answer and its era."""
        try:
            response = await self._http.call(method, path, body, timeout_s)
        except (OSError, TimeoutError) as error:
            detail = str(error) or type(error).__name__
            raise StoreCallError(0, detail) from error
        return _decode_answer(response), _decode_era(response)


def _decode_answer(response: Response) -> dict[str, Any]:
    if response.status != 200:
        raise StoreCallError(
            response.status, response.body[:200].decode('utf-8', 'replace')
        )
    try:
        answer = decode_json(response.body)
    except ValueError as error:
        raise StoreCallError(0, f'answer is not JSON: {error}') from error
    if not isinstance(answer, dict):
        raise StoreCallError(0, 'answer is not an object')
    return answer


def _decode_era(response: Response) -> int:
    """Return the era of a response, from 1; 0 if it has no valid one.

    The store may count from 0.
    """
    text = response.header(ERA_HEADER) or ''
    is_number = text.isascii() and text.isdecimal() and len(text) < 10
    era = int(text) + 1 if is_number else 0
    return era if era <= MAX_ERA else 0


def _list_of(answer: dict[str, Any], field: str) -> list[dict]:
    value = answer.get(field)
    if not isinstance(value, list):
        raise StoreCallError(0, f'answer has no valid {field}')
    return [raw for raw in value if isinstance(raw, dict)]


def _revision_of(answer: dict[str, Any], field: str) -> int:
    value = answer.get(field)
    if not is_count(value, MAX_REVISION):
        raise StoreCallError(0, f'answer has no valid {field}')
    return value


def _decode_item(raw: dict) -> Item | None:
    key, revision = raw.get('key'), raw.get('revision')
    if not isinstance(key, str) or not is_count(revision, MAX_REVISION):
        return None
    if raw.get('removed'):
        return Item(key, None, revision)
    try:
        value = b64decode(raw.get('value') or '', validate=True)
    except (TypeError, ValueError):
        return None
    return Item(key, value, revision)
