"""Session in which a caller sends requests to a service."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import os
import random

import aiocoap
from aiocoap import Message
from aiocoap.numbers.codes import Code

from ibispitch.caller.echoes import EchoCache
from ibispitch.caller.outcomes import NotRun
from ibispitch.caller.outcomes import Outcome
from ibispitch.caller.outcomes import Result
from ibispitch.caller.outcomes import Unknown
from ibispitch.ids import Address
from ibispitch.ids import RequestId
from ibispitch.requests import coap
from ibispitch.requests import outcomes

REQUEST_ID_BYTES = 16
DEFAULT_DEADLINE_S = 10.0
#: Time in seconds after the deadline for which an answer is waited for. The
#: agent answers at the deadline at the latest.
ANSWER_GRACE_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
#: Time in seconds without a notification after which a feed (observation) is
#: registered again.
FEED_SILENCE_S = 30.0
#: Mean time in seconds before a feed is registered again.
FEED_RETRY_S = 1.0


class CallerSession:
    """Sends requests of one caller to one address of a service.

    All requests of a session come from one socket, so they are one flow.

    :param address: address of the service.
    :param local_address: address to send from; port 0 lets the system
        choose one.

    Use it as an asynchronous context manager.
    """

    def __init__(self, address: Address, local_address: Address | None = None):
        self._address = address
        self._local = local_address or Address('0.0.0.0', 0)
        self._echo = EchoCache()
        self._context: aiocoap.Context | None = None

    async def __aenter__(self) -> 'CallerSession':
        self._context = await aiocoap.Context.create_server_context(
            None, bind=tuple(self._local), transports=['udp6']
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._context.shutdown()

    async def request(
        self,
        path: Sequence[str],
        *,
        code: Code = Code.POST,
        payload: bytes = b'',
        query: Sequence[str] = (),
        deadline_s: float = DEFAULT_DEADLINE_S,
        request_id: RequestId | None = None,
    ) -> Outcome:
        """Send a request and wait for its outcome.

        A POST, and any request with a request id, runs at most once. It is
        not retried here; after ``NotRun`` it can be sent with a new id.

        :param path: segments of the path.
        :param code: method of the request.
        :param payload: body of the request.
        :param query: query parameters.
        :param deadline_s: time after which the result is of no use, in
            seconds.
        :param request_id: 8 to 16 bytes, different for each request of this
            caller; chosen at random if it is ``None`` and the method is not
            idempotent.
        :returns: the outcome. Network errors are outcomes as well.
        """
        if request_id is None and code not in coap.IDEMPOTENT_CODES:
            request_id = RequestId(os.urandom(REQUEST_ID_BYTES))
        message = Message(code=code, payload=payload)
        message.opt.uri_path = tuple(path)
        message.opt.uri_query = tuple(query)
        if request_id is not None:
            coap.set_opaque_option(message, coap.REQUEST_ID, request_id)
        expires = _now() + deadline_s
        echo = self._echo.get(_now()) if request_id is not None else None
        outcome = await self._send_once(message, request_id, echo, expires)
        if isinstance(outcome, bytes):
            # No agent runs a request without Echo value, so this is its first
            # run.
            outcome = await self._send_once(
                message, request_id, outcome, expires
            )
        return outcome

    async def upload(
        self,
        path: Sequence[str],
        body: bytes,
        *,
        deadline_s: float = DEFAULT_DEADLINE_S,
        request_id: RequestId | None = None,
    ) -> Outcome:
        """Send a body of any size by POST, in blocks if it is large.

        :param path: segments of the path.
        :param body: the body.
        :param deadline_s: see :meth:`request`.
        :param request_id: see :meth:`request`.
        :returns: the outcome, as of :meth:`request`.
        """
        return await self.request(
            path, payload=body, deadline_s=deadline_s, request_id=request_id
        )

    async def cancel(self, request_id: RequestId) -> bool:
        """Cancel a request of this session.

        The outcome is returned by the call that sent the request.

        :returns: whether the agent has found it waiting or running.
        """
        outcome = await self.request(
            (*coap.REQUESTS_PATH, request_id.hex()), code=Code.DELETE
        )
        return isinstance(outcome, Result) and outcome.is_success

    async def observe(
        self, path: Sequence[str], *, silence_s: float = FEED_SILENCE_S
    ) -> AsyncIterator[bytes]:
        """Iterate over the states of a resource as it changes.

        If the observation ends or has no notifications for some time, it is
        registered again. The iteration ends only when the iterator is
        closed.

        :param path: segments of the path.
        :param silence_s: time without a notification after which it is
            registered again, in seconds.
        """
        while True:
            message = Message(code=Code.GET, observe=0)
            message.opt.uri_path = tuple(path)
            pending = self._send(message)
            try:
                async with asyncio.timeout(silence_s):
                    first = await pending.response
                if first.code.is_successful():
                    yield first.payload
                    async for payload in _notifications(pending, silence_s):
                        yield payload
            except (aiocoap.error.Error, TimeoutError):
                pass
            finally:
                _end_observation(pending)
            # With jitter, so that the feeds of a lost agent are not all
            # registered at the same time.
            await asyncio.sleep(FEED_RETRY_S * random.uniform(0.5, 1.5))

    def _send(self, message: Message) -> aiocoap.interfaces.Request:
        message.remote = aiocoap.message.UndecidedRemote(
            'coap', str(self._address)
        )
        return self._context.request(message)

    async def _send_once(
        self,
        template: Message,
        request_id: RequestId | None,
        echo: bytes | None,
        expires: float,
    ) -> Outcome | bytes:
        """Send a request once.

        :returns: the outcome, or the Echo value of a challenge.
        """
        message = template.copy()
        if echo is not None:
            message.opt.echo = self._echo.value_for_request(
                request_id, echo, _now()
            )
        remaining_s = max(0.0, expires - _now())
        coap.set_uint_option(
            message, coap.DEADLINE_MS, int(remaining_s * 1000)
        )
        cannot_have_run = request_id is not None and echo is None
        pending = self._send(message)
        try:
            async with asyncio.timeout(remaining_s + ANSWER_GRACE_S):
                answer = await pending.response
        except (aiocoap.error.Error, OSError, TimeoutError) as reason:
            self._echo.set(None, _now())
            if cannot_have_run:
                return NotRun(DEFAULT_RETRY_AFTER_S, request_id)
            return Unknown(str(reason) or type(reason).__name__, request_id)
        if cannot_have_run and answer.code is Code.UNAUTHORIZED:
            if answer.opt.echo is not None:
                self._echo.set(answer.opt.echo, _now())
                return answer.opt.echo
        return self._outcome_of(answer, request_id)

    def _outcome_of(
        self, answer: Message, request_id: RequestId | None
    ) -> Outcome:
        match coap.uint_option(answer, coap.OUTCOME):
            case outcomes.Outcome.NOT_RUN:
                retry_after_s = answer.opt.max_age or DEFAULT_RETRY_AFTER_S
                return NotRun(float(retry_after_s), request_id)
            case outcomes.Outcome.UNKNOWN:
                # The agent sends an Echo value for the next request.
                self._echo.set(answer.opt.echo, _now())
                return Unknown(
                    'the agent answered that the outcome is unknown',
                    request_id,
                )
        if answer.code is Code.SERVICE_UNAVAILABLE:
            return Unknown(
                'the agent refused a further part of the exchange', request_id
            )
        return Result(answer.code, answer.payload, request_id)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _notifications(
    pending: aiocoap.interfaces.Request, silence_s: float
) -> AsyncIterator[bytes]:
    """Iterate over notifications until the feed ends or is silent."""
    notifications = aiter(pending.observation)
    while True:
        try:
            async with asyncio.timeout(silence_s):
                message = await anext(notifications)
        except StopAsyncIteration:
            return
        if not message.code.is_successful():
            return
        yield message.payload


def _end_observation(pending: aiocoap.interfaces.Request) -> None:
    """End an observation; the agent is informed at the next notification."""
    if pending.observation is not None and not pending.observation.cancelled:
        pending.observation.cancel()
    if not pending.response.done():
        pending.response.cancel()
