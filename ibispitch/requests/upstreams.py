"""Message layer towards the upstream: sockets, tokens and matching."""

from collections.abc import Callable
import random
from typing import NamedTuple

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
import msgspec

from ibispitch.ids import FlowId
from ibispitch.requests import coap
from ibispitch.requests.callers import ACK_TIMEOUT_S
from ibispitch.requests.callers import MAX_RETRANSMIT
from ibispitch.requests.callers import message_key
from ibispitch.requests.callers import MID_RANGE
from ibispitch.requests.effects import CloseSocket
from ibispitch.requests.effects import Count
from ibispitch.requests.effects import Effect
from ibispitch.requests.effects import OpenSocket
from ibispitch.requests.effects import SendToUpstream
from ibispitch.requests.timers import Timers

#: Tokens of ended requests that are remembered to tell late answers from
#: answers that never belonged here.
MAX_ENDED = 20_000
TOKEN_RANGE = 1 << 64


class Socket(msgspec.Struct, array_like=True):
    """The socket of a flow towards the upstream.

    :param idle_s: time without packets after which it is closed.
    :param closing: whether it is closed when its last request ends.
    """

    next_mid: int
    last_used: float
    idle_s: float
    closing: bool = False


class Sent(msgspec.Struct, array_like=True):
    """A request to the upstream whose token is in use.

    :param repeat: whether it may be sent again. The upstream recognises a
        repetition only until it restarts, so a request that must run at
        most once is sent once.
    :param acknowledged: whether the upstream has received it.
    """

    flow: FlowId
    mid: int
    datagram: bytes
    repeat: bool
    acknowledged: bool = False
    tries: int = 0


class UpstreamState(msgspec.Struct):
    """What is handed to a successor.

    :param token_by_message: tokens of ``sent`` by flow and message id.
    :param ended: flow and reason by token of ended requests.
    """

    next_token: int
    sockets: dict[bytes, Socket] = {}
    sent: dict[bytes, Sent] = {}
    token_by_message: dict[bytes, bytes] = {}
    ended: dict[bytes, tuple[bytes, str]] = {}


class Received(NamedTuple):
    """A matched datagram of the upstream.

    :param message: the answer, ``None`` for a reset.
    """

    token: bytes
    message: Message | None


class UpstreamSide:
    """Sends requests under own tokens and matches answers by flow and token.

    Own tokens are never reused, so that an answer to an earlier request
    cannot be taken for the answer to a later one.
    """

    def __init__(
        self,
        emit: Callable[[Effect], None],
        rng: random.Random,
        max_flows: int,
    ):
        self.state = UpstreamState(rng.getrandbits(64), {}, {}, {}, {})
        self.timers = Timers()
        self._emit = emit
        self._rng = rng
        self._max_flows = max_flows

    def open(self, flow: FlowId, idle_s: float, now: float) -> bool:
        """Open the socket of a flow, or note its use.

        :returns: whether there is a socket.
        """
        socket = self.state.sockets.get(flow)
        if socket is None:
            if len(self.state.sockets) >= self._max_flows:
                return False
            mid = self._rng.randrange(MID_RANGE)
            socket = self.state.sockets[flow] = Socket(mid, now, idle_s)
            self.timers.set(now + idle_s, 'idle', flow)
            self._emit(OpenSocket(flow))
        socket.last_used = now
        socket.idle_s = max(socket.idle_s, idle_s)
        socket.closing = False
        return True

    def close(self, flow: FlowId) -> None:
        """Close the socket of a flow."""
        if self.state.sockets.pop(flow, None) is not None:
            self._emit(CloseSocket(flow))

    def send(
        self,
        flow: FlowId,
        message: Message,
        repeat: bool,
        now: float,
        token: bytes | None = None,
    ) -> bytes:
        """Send a request from the open socket of a flow.

        :param repeat: whether it is sent again if not acknowledged.
        :param token: token of an observation that it renews or ends.
        :returns: the token.
        """
        if token is None:
            token = self.state.next_token.to_bytes(8, 'big')
            self.state.next_token = (self.state.next_token + 1) % TOKEN_RANGE
        socket = self.state.sockets[flow]
        mid, socket.next_mid = (
            socket.next_mid,
            (socket.next_mid + 1) % MID_RANGE,
        )
        datagram = coap.encode(message, Type.CON, mid, token)
        self._release(token)
        self.state.sent[token] = Sent(flow, mid, datagram, repeat)
        self.state.token_by_message[message_key(flow, mid)] = token
        if repeat:
            self.timers.set(now + ACK_TIMEOUT_S, 'repeat', token)
        self._emit(SendToUpstream(flow, datagram))
        return token

    def end(self, token: bytes, reason: str) -> None:
        """Release a token.

        :param reason: how an answer that still comes is counted.
        """
        sent = self._release(token)
        if sent is None:
            return
        ended = self.state.ended
        ended[token] = (sent.flow, reason)
        if len(ended) > MAX_ENDED:
            del ended[next(iter(ended))]

    def receive(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Received | None:
        """Match a datagram of the upstream.

        :returns: the token and the answer, ``None`` if nothing waits for it.
        """
        try:
            message = coap.decode(datagram)
        except coap.MalformedError:
            self._count('malformed')
            return None
        socket = self.state.sockets.get(flow)
        if socket is not None:
            socket.last_used = now
        if message.code is Code.EMPTY:
            return self._receive_empty(flow, message)
        if not message.code.is_response():
            self._count('unexpected')
            return None
        sent = self.state.sent.get(message.token)
        if sent is None or sent.flow != flow:
            self._reject(flow, message, sent)
            return None
        sent.acknowledged = True
        if message.mtype is Type.CON:
            self._emit(
                SendToUpstream(flow, coap.empty_message(Type.ACK, message.mid))
            )
        return Received(message.token, message)

    def refused(self, flow: FlowId, datagram: bytes) -> bytes | None:
        """Return the token of a datagram that found no socket.

        :returns: ``None`` if it was sent before, as an earlier copy may have
            been received.
        """
        mid = int.from_bytes(datagram[2:4], 'big')
        token = self.state.token_by_message.get(message_key(flow, mid))
        sent = self.state.sent.get(token)
        if sent is None or sent.datagram != datagram:
            return None
        return None if sent.tries or sent.acknowledged else token

    def reset(self, flow: FlowId, mid: int) -> None:
        """Tell the upstream that a message is of no interest."""
        self._emit(SendToUpstream(flow, coap.empty_message(Type.RST, mid)))

    def tick(self, now: float) -> list[FlowId]:
        """Repeat what is due.

        :returns: flows whose socket was idle for long.
        """
        idle = []
        for kind, key in self.timers.pop_due(now):
            if kind == 'idle':
                idle += self._check_idle(FlowId(key), now)
                continue
            sent = self.state.sent.get(key)
            if (
                sent is None
                or sent.acknowledged
                or not sent.repeat
                or sent.tries >= MAX_RETRANSMIT
            ):
                continue
            sent.tries += 1
            self.timers.set(now + ACK_TIMEOUT_S * 2**sent.tries, 'repeat', key)
            self._emit(SendToUpstream(sent.flow, sent.datagram))
        return idle

    def _check_idle(self, flow: FlowId, now: float) -> list[FlowId]:
        socket = self.state.sockets.get(flow)
        if socket is None:
            return []
        due = socket.last_used + socket.idle_s
        if due > now:
            self.timers.set(due, 'idle', flow)
            return []
        self.timers.set(now + socket.idle_s, 'idle', flow)
        return [flow]

    def _receive_empty(
        self, flow: FlowId, message: Message
    ) -> Received | None:
        key = message_key(flow, message.mid)
        token = self.state.token_by_message.get(key)
        if token is not None and message.mtype is Type.RST:
            return Received(token, None)
        if token is not None and message.mtype is Type.ACK:
            self.state.sent[token].acknowledged = True
        return None

    def _release(self, token: bytes) -> Sent | None:
        sent = self.state.sent.pop(token, None)
        if sent is not None:
            self.state.token_by_message.pop(
                message_key(sent.flow, sent.mid), None
            )
        return sent

    def _reject(
        self, flow: FlowId, message: Message, sent: Sent | None
    ) -> None:
        ended_flow, reason = self.state.ended.get(message.token, (b'', ''))
        if sent is not None or (reason and ended_flow != flow):
            self._count('crossed')
        else:
            self._count(reason or 'unmatched')
        if reason in ('duplicated', 'late'):
            if message.mtype is Type.CON:
                self._emit(
                    SendToUpstream(
                        flow, coap.empty_message(Type.ACK, message.mid)
                    )
                )
        elif message.mtype in (Type.CON, Type.NON):
            self.reset(flow, message.mid)

    def _count(self, reason: str) -> None:
        self._emit(Count('gate_answers_dropped', (('reason', reason),)))
