"""Client of the administration API."""

from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import Any
from typing import TypeVar

import aiohttp
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from ibispitch.admin.answers import DatacentresAnswer
from ibispitch.admin.answers import EntriesAnswer
from ibispitch.admin.errors import ApiError
from ibispitch.admin.errors import ErrorAnswer
from ibispitch.admin.state import FleetState
from ibispitch.admin.state import QUERY_DEADLINE_S
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.editor import AcceptedEdit
from ibispitch.catalogue.errors import EditFault

T = TypeVar('T')

#: Longer than a fleet query, and than an edit whose outcome has to be found
#: out because the answer of the store was lost.
TIMEOUT_S = QUERY_DEADLINE_S + 4.0
CONNECT_TIMEOUT_S = 1.0


class ClientFault(enum.Enum):
    """Kinds of errors that the client detects."""

    #: No balancer answered; an edit was not made.
    UNREACHABLE = 'unreachable'
    #: The answer is not one of the administration API.
    MALFORMED = 'malformed'


class AdminClient:
    """Client of the administration API of any of several balancers.

    After a failure, a read is repeated at the next balancer. An edit is
    repeated only if it was not sent, as it could be made twice otherwise.

    :param endpoints: ``ip:port`` of balancers, tried in this order.
    :param token: bearer token for edits.
    """

    def __init__(self, endpoints: Sequence[str], token: str = ''):
        self._endpoints = tuple(endpoints)
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'AdminClient':
        timeout = aiohttp.ClientTimeout(
            total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *exception) -> None:
        await self._session.close()

    async def entries(self) -> Result[EntriesAnswer, ApiError]:
        """Return the entries in force at the balancer that answers."""
        return await self._read('/v1/entries', EntriesAnswer)

    async def datacentres(self) -> Result[DatacentresAnswer, ApiError]:
        """Return the data centres whose state has ever been set."""
        return await self._read('/v1/datacentres', DatacentresAnswer)

    async def state(
        self, service: str = '', datacentre: str = ''
    ) -> Result[FleetState, ApiError]:
        """Return the state of the fleet.

        :param service: only agents of this service; empty for all.
        :param datacentre: only members there; empty for all.
        """
        query = {'service': service, 'datacentre': datacentre}
        return await self._read('/v1/state', FleetState, query)

    async def edit(
        self,
        method: str,
        path: str,
        body: Any = None,
        expected: int | None = None,
    ) -> Result[AcceptedEdit, ApiError]:
        """Send an edit.

        :param method: HTTP method.
        :param path: path of the entry or data centre.
        :param body: value to send as JSON, ``None`` for no body.
        :param expected: version that the edit applies to, ``None`` for any.
        """
        headers = {} if expected is None else {'If-Match': str(expected)}
        options = {'headers': self._headers | headers}
        if body is not None:
            options['data'] = msgspec.json.encode(body)
        return await self._call(method, path, AcceptedEdit, options)

    async def _read(
        self,
        path: str,
        answer_type: type[T],
        query: Mapping[str, str] | None = None,
    ) -> Result[T, ApiError]:
        params = {key: value for key, value in (query or {}).items() if value}
        return await self._call('GET', path, answer_type, {'params': params})

    async def _call(
        self, method: str, path: str, answer_type: type[T], options: dict
    ) -> Result[T, ApiError]:
        failures = []
        for endpoint in self._endpoints:
            url = f'http://{endpoint}{path}'
            try:
                async with self._session.request(
                    method, url, allow_redirects=False, **options
                ) as response:
                    return _parse(
                        response.status, await response.read(), answer_type
                    )
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ):
                failures.append(f'{endpoint}: no connection')
            except (aiohttp.ClientError, OSError) as error:
                failure = f'{endpoint}: {error or type(error).__name__}'
                if method != 'GET':
                    return Error(_outcome_unknown(failure))
                failures.append(failure)
        return Error(
            ApiError(
                ClientFault.UNREACHABLE.value,
                f'no balancer answered ({"; ".join(failures)})',
                'check admin_endpoints and that a balancer runs there',
            )
        )


class HttpEditor:
    """Edits through the administration API.

    It has the methods of
    :class:`~ibispitch.catalogue.editor.CatalogueEditor`, for users who have
    a token but no access to the store.

    :param client: the client, with a token.
    """

    def __init__(self, client: AdminClient):
        self._client = client

    async def set(
        self, entry: Entry, expected: int | None = None
    ) -> Result[AcceptedEdit, ApiError]:
        """Create or replace an entry."""
        path = f'/v1/entries/{entry.service}'
        return await self._client.edit('PUT', path, entry, expected)

    async def edit(
        self, service: str, changes: dict, expected: int | None = None
    ) -> Result[AcceptedEdit, ApiError]:
        """Change some fields of an entry by a JSON merge patch."""
        path = f'/v1/entries/{service}'
        return await self._client.edit('PATCH', path, changes, expected)

    async def remove(
        self, service: str, expected: int | None = None
    ) -> Result[AcceptedEdit, ApiError]:
        """Remove an entry."""
        path = f'/v1/entries/{service}'
        return await self._client.edit('DELETE', path, None, expected)

    async def take_out_of_service(
        self, name: str, expected: int | None = None
    ) -> Result[AcceptedEdit, ApiError]:
        """Take a data centre out of service."""
        path = f'/v1/datacentres/{name}/out'
        return await self._client.edit('POST', path, None, expected)

    async def return_to_service(
        self, name: str, expected: int | None = None
    ) -> Result[AcceptedEdit, ApiError]:
        """Return a data centre to service."""
        path = f'/v1/datacentres/{name}/in'
        return await self._client.edit('POST', path, None, expected)


def _parse(
    status: int, data: bytes, answer_type: type[T]
) -> Result[T, ApiError]:
    try:
        if status == 200:
            return Ok(msgspec.json.decode(data, type=answer_type))
        return Error(msgspec.json.decode(data, type=ErrorAnswer).error)
    except (msgspec.DecodeError, RecursionError) as error:
        return Error(
            ApiError(
                ClientFault.MALFORMED.value,
                f'HTTP {status} with an unexpected body: {error}',
                'check that admin_endpoints name balancers of this version',
            )
        )


def _outcome_unknown(failure: str) -> ApiError:
    return ApiError(
        EditFault.OUTCOME_UNKNOWN.value,
        f'the request failed after the edit was sent ({failure})',
        'show the entry or data centre before the edit is repeated',
    )
