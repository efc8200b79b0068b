"""The aiohttp application of the administration API."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import re
from typing import Any

import aiohttp
from aiohttp import web
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from ibispitch.admin.answers import datacentres_answer
from ibispitch.admin.answers import entries_answer
from ibispitch.admin.errors import api_error
from ibispitch.admin.errors import ApiError
from ibispitch.admin.errors import ApiFault
from ibispitch.admin.errors import error_response
from ibispitch.admin.errors import from_edit_error
from ibispitch.admin.state import FleetQuery
from ibispitch.admin.state import local_state
from ibispitch.admin.state import StateProvider
from ibispitch.admin.tokens import authenticate
from ibispitch.catalogue.checks import MAX_DOCUMENT_BYTES
from ibispitch.catalogue.checks import parse_entry
from ibispitch.catalogue.editor import CatalogueEditor
from ibispitch.catalogue.errors import EditError
from ibispitch.catalogue.errors import EditFault
from ibispitch.settings.programs import TokenSettings
from ibispitch.store import StoreClient

MAX_BODY_BYTES = 2 * MAX_DOCUMENT_BYTES
#: Version in ``If-Match``, with or without quotes as HTTP has them.
VERSION = re.compile(r'"?(?P<version>[0-9]{1,18})"?')

MetricsHook = Callable[[], bytes]

METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class AdminApi:
    """Handlers of the administration API; see :func:`make_app`."""

    def __init__(
        self,
        provider: StateProvider,
        store: StoreClient,
        cluster: str,
        tokens: Sequence[TokenSettings],
        metrics: MetricsHook | None,
        fleet_query: Callable[[aiohttp.ClientSession], FleetQuery],
    ):
        self._provider = provider
        self._store = store
        self._cluster = cluster
        self._tokens = tuple(tokens)
        self._metrics = metrics
        self._make_fleet_query = fleet_query
        self._fleet_query: FleetQuery | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the paths with their handlers."""
        return [
            web.get('/healthz', self.health),
            web.get('/metrics', self.metrics),
            web.get('/v1/entries', self.list_entries),
            web.get('/v1/entries/{service}', self.show_entry),
            web.put('/v1/entries/{service}', self.set_entry),
            web.patch('/v1/entries/{service}', self.edit_entry),
            web.delete('/v1/entries/{service}', self.remove_entry),
            web.get('/v1/datacentres', self.list_datacentres),
            web.post('/v1/datacentres/{name}/out', self.datacentre_out),
            web.post('/v1/datacentres/{name}/in', self.datacentre_in),
            web.get('/v1/state', self.state),
        ]

    async def session(self, _: web.Application) -> AsyncIterator[None]:
        """Keep the HTTP client of fleet queries while the app runs."""
        async with aiohttp.ClientSession() as session:
            self._fleet_query = self._make_fleet_query(session)
            yield

    async def health(self, _: web.Request) -> web.Response:
        """Answer 200 while this balancer wants packets, else 503."""
        health = self._provider.health()
        return _json(health, 200 if health.is_serving else 503)

    async def metrics(self, _: web.Request) -> web.Response:
        """Answer with the metrics in the Prometheus text format."""
        if self._metrics is None:
            return error_response(
                api_error(
                    ApiFault.NO_SUCH_PATH,
                    'this balancer serves no metrics',
                    'set metrics.exporter to scrape',
                )
            )
        return web.Response(
            body=self._metrics(),
            headers={'Content-Type': METRICS_CONTENT_TYPE},
        )

    async def list_entries(self, _: web.Request) -> web.Response:
        """Answer with all entries in force at this balancer."""
        return _json(entries_answer(self._provider.catalogue))

    async def show_entry(self, request: web.Request) -> web.Response:
        """Answer with one entry in force at this balancer."""
        service = request.match_info['service']
        answer = entries_answer(self._provider.catalogue)
        if service not in answer.entries:
            return error_response(
                from_edit_error(
                    EditError(
                        EditFault.NOT_FOUND,
                        f'no entry {service} is in force at '
                        f'{self._provider.balancer_id}',
                        'list the entries and correct the name; a new entry'
                        ' is in force within seconds',
                    )
                )
            )
        return _json(answer.entries[service])

    async def set_entry(self, request: web.Request) -> web.Response:
        """Create or replace an entry."""
        service = request.match_info['service']

        async def edit(editor: CatalogueEditor, body: dict, version):
            entry = parse_entry({'service': service} | body)
            if entry.is_error():
                return entry
            if entry.ok.service != service:
                return Error(
                    EditError(
                        EditFault.INVALID,
                        f'the entry is of service {entry.ok.service}, the'
                        f' path of {service}',
                        'write the same service in both',
                    )
                )
            return await editor.set(entry.ok, version)

        return await self._edit_with_body(request, edit)

    async def edit_entry(self, request: web.Request) -> web.Response:
        """Change some fields of an entry by a JSON merge patch."""
        service = request.match_info['service']

        async def edit(editor: CatalogueEditor, body: dict, version):
            return await editor.edit(service, body, version)

        return await self._edit_with_body(request, edit)

    async def remove_entry(self, request: web.Request) -> web.Response:
        """Remove an entry."""
        service = request.match_info['service']
        return await self._edit(
            request, lambda editor, version: editor.remove(service, version)
        )

    async def list_datacentres(self, _: web.Request) -> web.Response:
        """Answer with the state of the data centres."""
        return _json(datacentres_answer(self._provider.catalogue))

    async def datacentre_out(self, request: web.Request) -> web.Response:
        """Take a data centre out of service."""
        name = request.match_info['name']
        return await self._edit(
            request,
            lambda editor, version: editor.take_out_of_service(name, version),
        )

    async def datacentre_in(self, request: web.Request) -> web.Response:
        """Return a data centre to service."""
        name = request.match_info['name']
        return await self._edit(
            request,
            lambda editor, version: editor.return_to_service(name, version),
        )

    async def state(self, request: web.Request) -> web.Response:
        """Answer with the state of the fleet, or of this balancer."""
        if request.query.get('scope') == 'local':
            return _json(local_state(self._provider))
        return _json(
            await self._fleet_query.fleet(
                self._provider,
                request.query.get('service', ''),
                request.query.get('datacentre', ''),
            )
        )

    async def _edit_with_body(
        self, request: web.Request, edit: Callable
    ) -> web.Response:
        async def with_body(editor: CatalogueEditor, version: int | None):
            body = _parse_object(await request.read())
            if body.is_error():
                return body
            return await edit(editor, body.ok, version)

        return await self._edit(request, with_body)

    async def _edit(
        self, request: web.Request, edit: Callable
    ) -> web.Response:
        # The token is checked before the body is read or looked at.
        actor = authenticate(
            self._tokens, request.headers.get('Authorization')
        )
        if actor.is_error():
            return error_response(actor.error)
        version = _parse_version(request.headers.get('If-Match'))
        if version.is_error():
            return error_response(version.error)
        editor = CatalogueEditor(self._store, self._cluster, actor.ok)
        outcome = await edit(editor, version.ok)
        if outcome.is_ok():
            return _json(outcome.ok)
        error = outcome.error
        if isinstance(error, EditError):
            error = from_edit_error(error)
        return error_response(error)


def make_app(
    provider: StateProvider,
    store: StoreClient,
    cluster: str,
    tokens: Sequence[TokenSettings] = (),
    metrics: MetricsHook | None = None,
    fleet_query: Callable[[aiohttp.ClientSession], FleetQuery] = FleetQuery,
) -> web.Application:
    """Return the administration API of a balancer.

    :param provider: state of the balancer.
    :param store: the store, for edits; the caller closes it.
    :param cluster: name of the installation.
    :param tokens: tokens of the settings; without one no edit is accepted.
    :param metrics: returns the metrics in the Prometheus text format;
        ``None`` if they are not scraped.
    :param fleet_query: makes the query of the fleet's state.
    :returns: the application.
    """
    api = AdminApi(provider, store, cluster, tokens, metrics, fleet_query)
    app = web.Application(
        middlewares=[_typed_errors], client_max_size=MAX_BODY_BYTES
    )
    app.add_routes(api.routes())
    app.cleanup_ctx.append(api.session)
    return app


@web.middleware
async def _typed_errors(
    request: web.Request, handler: Callable
) -> web.StreamResponse:
    """Give the errors of aiohttp itself the form of all others."""
    try:
        return await handler(request)
    except web.HTTPNotFound:
        return error_response(
            api_error(
                ApiFault.NO_SUCH_PATH,
                f'there is no path {request.path}',
                'see docs/admin.md for the paths',
            )
        )
    except web.HTTPMethodNotAllowed as error:
        allowed = ', '.join(sorted(error.allowed_methods))
        return error_response(
            api_error(
                ApiFault.METHOD_NOT_ALLOWED,
                f'{request.path} does not take {request.method}',
                f'use {allowed}',
            )
        )
    except web.HTTPRequestEntityTooLarge:
        return error_response(
            api_error(
                ApiFault.TOO_LARGE,
                f'the body is over {MAX_BODY_BYTES} bytes',
                'split the entry into several services',
            )
        )


def _json(answer: msgspec.Struct, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(answer),
        content_type='application/json',
    )


def _bad_request(message: str, remedy: str) -> Result[Any, ApiError]:
    return Error(api_error(ApiFault.BAD_REQUEST, message, remedy))


def _parse_object(data: bytes) -> Result[dict, ApiError]:
    try:
        return Ok(msgspec.json.decode(data, type=dict[str, Any]))
    except (msgspec.DecodeError, RecursionError) as error:
        return _bad_request(
            f'the body is not a JSON object: {error}',
            'send a JSON object without comments',
        )


def _parse_version(text: str | None) -> Result[int | None, ApiError]:
    if text is None:
        return Ok(None)
    found = VERSION.fullmatch(text.strip())
    if not found:
        return _bad_request(
            f'If-Match is {text[:40]!r}',
            'send the version of the entry, or leave the header out',
        )
    return Ok(int(found['version']))
