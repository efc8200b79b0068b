"""Lightweight CoAP callers with one UDP socket each, for load.

They use only the codec of aiocoap, so that one process can have thousands
of flows. Like the fabric, a caller sends each datagram, also a
retransmission, to a random balancer.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
import random
import time

from aiocoap import ACK
from aiocoap import CON
from aiocoap import EMPTY
from aiocoap import GET
from aiocoap import Message
from aiocoap import POST
from aiocoap import UNAUTHORIZED
from aiocoap.error import UnparsableMessage
from aiocoap.numbers.codes import Code

from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address
from ibispitch.requests import coap

ACK_TIMEOUT_S = 1.0
MAX_RETRANSMIT = 4
CALLER_BUFFER_BYTES = 1 << 17


class Outcome(enum.Enum):
    """Result of a request as the caller sees it."""

    RESULT = 'result'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    ERROR = 'error'
    NO_ANSWER = 'no_answer'


@dataclass
class Answer:
    """The final answer to a request.

    :param latency_s: seconds from the first datagram to the answer.
    :param transmissions: datagrams that were sent for it.
    """

    outcome: Outcome
    request_id: bytes
    payload: bytes = b''
    retry_after_s: float = 0.0
    latency_s: float = 0.0
    transmissions: int = 0


class PacketSprayer:
    """Sends each datagram to a random balancer, with loss and duplicates.

    :param rng: source of the random choices.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.balancers: list[str] = []
        self.drop = 0.0
        self.duplicate = 0.0

    def send(self, socket: DatagramSocket, data: bytes, port: int) -> None:
        """Send a datagram to a service port of a random balancer."""
        if not self.balancers or self.rng.random() < self.drop:
            return
        for _ in range(2 if self.rng.random() < self.duplicate else 1):
            ip = self.rng.choice(self.balancers)
            socket.send(data, Address(ip, port))


@dataclass
class Feed:
    """An open CoAP observation.

    :param notifications: notifications received since the registration.
    :param last_notification: monotonic time of the last one, in seconds.
    :param greatest_sequence: greatest Observe number received.
    :param reordered: notifications whose number does not exceed all earlier
        ones.
    """

    notifications: int = 0
    last_notification: float = 0.0
    greatest_sequence: int = -1
    reordered: int = 0
    payloads: list[bytes] = field(default_factory=list)


class Caller:
    """A caller with one flow.

    :param bind: source address, which no other caller has.
    :param port: service port.
    :param sprayer: sends its datagrams.
    """

    def __init__(self, bind: Address, port: int, sprayer: PacketSprayer):
        self._socket = DatagramSocket(
            self._on_datagram, bind, buffer_bytes=CALLER_BUFFER_BYTES
        )
        self.bind = bind
        self._port = port
        self._sprayer = sprayer
        self._rng = sprayer.rng
        self._mid = self._rng.randrange(65536)
        self._answer_by_token: dict[bytes, asyncio.Future] = {}
        self._acked: set[bytes] = set()
        self._feed_by_token: dict[bytes, Feed] = {}
        self._echo: bytes | None = None
        self.unmatched_datagrams = 0
        self.datagrams = 0
        self.on_notification: Callable[[Feed, Message], None] | None = None

    def _send(self, message: Message) -> None:
        self.datagrams += 1
        self._sprayer.send(self._socket, message.encode(), self._port)

    def _new_message(self, code: Code, path: str, payload: bytes) -> Message:
        self._mid = (self._mid + 1) % 65536
        message = Message(
            code=code,
            uri_path=path.strip('/').split('/'),
            payload=payload,
            _mtype=CON,
            _mid=self._mid,
            _token=self._rng.randbytes(4),
        )
        return message

    def _on_datagram(self, data: bytes, _: tuple) -> None:
        try:
            message = Message.decode(data)
        except UnparsableMessage:
            self.unmatched_datagrams += 1
            return
        token = message.token
        if message.mtype is CON:
            self._send(Message(code=EMPTY, _mtype=ACK, _mid=message.mid))
        if message.code == EMPTY:
            self._acked.add(message.mid)
            return
        feed = self._feed_by_token.get(token)
        if feed is not None and message.opt.observe is not None:
            self._on_notification(feed, message)
        future = self._answer_by_token.get(token)
        if future is not None and not future.done():
            future.set_result(message)
        elif feed is None:
            self.unmatched_datagrams += 1

    def _on_notification(self, feed: Feed, message: Message) -> None:
        if message.opt.observe <= feed.greatest_sequence:
            feed.reordered += 1
        feed.greatest_sequence = max(
            feed.greatest_sequence, message.opt.observe
        )
        feed.notifications += 1
        feed.last_notification = time.monotonic()
        if self.on_notification is not None:
            self.on_notification(feed, message)

    async def _exchange(self, message: Message, timeout_s: float):
        """Send a message and retransmit it until an answer arrives.

        :returns: the answer or ``None``, and the number of datagrams.
        """
        future = asyncio.get_running_loop().create_future()
        self._answer_by_token[message.token] = future
        deadline = time.monotonic() + timeout_s
        wait_s = ACK_TIMEOUT_S
        sent = 0
        try:
            while time.monotonic() < deadline:
                if sent <= MAX_RETRANSMIT and message.mid not in self._acked:
                    self._send(message)
                    sent += 1
                remaining_s = min(wait_s, deadline - time.monotonic())
                done, _ = await asyncio.wait(
                    [future], timeout=max(0, remaining_s)
                )
                if done:
                    return future.result(), sent
                wait_s *= 2
            return None, sent
        finally:
            del self._answer_by_token[message.token]
            self._acked.discard(message.mid)

    def _set_options(self, message, request_id, timeout_s, echo) -> None:
        coap.set_opaque_option(message, coap.REQUEST_ID, request_id)
        coap.set_uint_option(message, coap.DEADLINE_MS, int(timeout_s * 1000))
        if echo is not None:
            message.opt.echo = echo

    async def request(
        self,
        path: str,
        payload: bytes = b'',
        code: Code = POST,
        timeout_s: float = 10.0,
    ) -> Answer:
        """Make a request and answer one challenge with its Echo value.

        :param path: path of the resource.
        :param timeout_s: deadline of the request in seconds.
        """
        request_id = self._rng.randbytes(8)
        start = time.monotonic()
        transmissions = 0
        echo = self._echo
        for _ in range(2):
            message = self._new_message(code, path, payload)
            if code == POST:
                self._set_options(message, request_id, timeout_s, echo)
            response, sent = await self._exchange(message, timeout_s)
            transmissions += sent
            if response is not None and response.opt.echo:
                self._echo = response.opt.echo
            is_challenge = (
                response is not None
                and response.code == UNAUTHORIZED
                and echo is None
            )
            if not is_challenge:
                break
            echo = self._echo
        answer = self._classify(response, request_id)
        answer.latency_s = time.monotonic() - start
        answer.transmissions = transmissions
        if answer.outcome is Outcome.UNKNOWN:
            self._echo = None
        return answer

    @staticmethod
    def _classify(response: Message | None, request_id: bytes) -> Answer:
        if response is None:
            return Answer(Outcome.NO_ANSWER, request_id)
        if response.code.is_successful():
            return Answer(Outcome.RESULT, request_id, response.payload)
        outcome_value = coap.uint_option(response, coap.OUTCOME)
        outcome = {1: Outcome.NOT_RUN, 2: Outcome.UNKNOWN}.get(
            outcome_value, Outcome.ERROR
        )
        return Answer(
            outcome,
            request_id,
            response.payload,
            float(response.opt.max_age or 0),
        )

    async def observe(self, path: str, timeout_s: float = 10.0):
        """Open a feed; retry after a refusal, at the time that it names.

        :returns: the :class:`Feed`, or ``None`` if it was not accepted.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            feed, retry_after_s = await self._register(path, timeout_s)
            if feed is not None:
                return feed
            await asyncio.sleep(retry_after_s)
        return None

    async def _register(self, path: str, timeout_s: float):
        message = self._new_message(GET, path, b'')
        message.opt.observe = 0
        feed = Feed()
        self._feed_by_token[message.token] = feed
        response, _ = await self._exchange(message, timeout_s)
        if response is None or response.opt.observe is None:
            del self._feed_by_token[message.token]
            max_age_s = response.opt.max_age if response else None
            return None, float(max_age_s or 1.0)
        return feed, 0.0

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
