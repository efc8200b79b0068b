"""HTTP/1.1 over asyncio streams, for the platform's small requests.

``httptools`` parses the messages. A full HTTP library would take longer to
import than the platform allows for the restart of a killed agent.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import httptools

from ibispitch.ids import Address

READ_BYTES = 65536
#: Maximum size of a body. Route configurations are below 1 MB, and base64
#: adds a third.
MAX_BODY_BYTES = 8 << 20
#: Time-out for idle connections and slow senders of requests.
IDLE_TIMEOUT_S = 30.0
#: Errors of the parser. A message that asks for another protocol raises
#: ``HttpParserUpgrade``, which is no ``HttpParserError``.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)

_REASONS = {
    200: 'OK', 400: 'Bad Request', 404: 'Not Found',
    405: 'Method Not Allowed', 503: 'Service Unavailable',
}  # fmt: skip


class Request(NamedTuple):
    """A request that was received."""

    method: str
    path: str
    body: bytes


class Response(NamedTuple):
    """The response to a request."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        """Return the value of a header, ``None`` if it is missing.

        >>> Response(200, headers=(('Store-Era', '2'),)).header('store-era')
        '2'
        """
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


Handler = Callable[[Request], Awaitable[Response]]
OnError = Callable[[Exception], None]


class _MessageCollector:
    """Collects the parts of one message from an ``httptools`` parser."""

    def __init__(self):
        self.reset()

    def reset(self) -> None:
        self.url = b''
        self.headers: list[tuple[str, str]] = []
        self.parts: list[bytes] = []
        self.size = 0
        self.is_complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > MAX_BODY_BYTES:
            raise ValueError(f'body of {self.size} bytes or more is too large')
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


async def serve(
    address: Address, handler: Handler, on_error: OnError
) -> asyncio.Server:
    """Serve HTTP requests at an address.

    :param handler: called with the requests of a connection one at a time.
    :param on_error: called with the reason if a connection fails: the client
        disconnected or does not speak HTTP. It can send its request again.
    :raises OSError: if the address cannot be bound.
    """

    async def serve_connection(reader, writer):
        try:
            await _serve_requests(reader, writer, handler)
        except (OSError, TimeoutError, *PARSER_ERRORS) as error:
            on_error(error)
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, *address, backlog=64)


async def _serve_requests(reader, writer, handler: Handler) -> None:
    message = _MessageCollector()
    parser = httptools.HttpRequestParser(message)
    while True:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            data = await reader.read(READ_BYTES)
        if not data:
            return
        parser.feed_data(data)
        if not message.is_complete:
            continue
        request = Request(
            parser.get_method().decode(),
            message.url.decode('latin-1'),
            b''.join(message.parts),
        )
        keeps_alive = parser.should_keep_alive()
        response = await handler(request)
        writer.write(_render(response, keeps_alive))
        await writer.drain()
        if not keeps_alive:
            return
        message.reset()
        parser = httptools.HttpRequestParser(message)


def _render(response: Response, keeps_alive: bool) -> bytes:
    reason = _REASONS.get(response.status, 'Status')
    connection = 'keep-alive' if keeps_alive else 'close'
    headers = ''.join(
        f'{name}: {value}\r\n' for name, value in response.headers
    )
    return (
        f'HTTP/1.1 {response.status} {reason}\r\n{headers}'
        f'Content-Type: {response.content_type}\r\n'
        f'Content-Length: {len(response.body)}\r\n'
        f'Connection: {connection}\r\n\r\n'
    ).encode() + response.body


class HttpClient:
    """Sends requests to one server, over one connection at a time.

    A connection is closed after a failed request, so that a late response is
    not taken for the response to the next request.

    :param server: the server's address.
    """

    def __init__(self, server: Address):
        self._server = server
        self._connection: tuple | None = None

    async def call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> Response:
        """Send a request and return the response.

        :param timeout_s: time limit from connecting to the whole response.
        :raises OSError: if the connection failed.
        :raises TimeoutError: if there was no response in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, path, body)
        except (ValueError, *PARSER_ERRORS) as error:
            self.close()
            raise ConnectionError(
                f'malformed HTTP response: {error}'
            ) from error
        except BaseException:
            self.close()
            raise

    async def _exchange(self, method: str, path: str, body: bytes) -> Response:
        if self._connection is None:
            self._connection = await asyncio.open_connection(*self._server)
        reader, writer = self._connection
        host = f'{self._server.ip}:{self._server.port}'
        writer.write(
            f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        message = _MessageCollector()
        parser = httptools.HttpResponseParser(message)
        while not message.is_complete:
            data = await reader.read(READ_BYTES)
            if not data:
                raise ConnectionResetError(
                    'server closed the connection before its response ended'
                )
            parser.feed_data(data)
        if not parser.should_keep_alive():
            self.close()
        return Response(
            parser.get_status_code(),
            b''.join(message.parts),
            headers=tuple(message.headers),
        )

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None
