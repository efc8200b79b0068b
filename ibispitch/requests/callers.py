"""Message layer towards callers: acknowledgements and retransmissions."""

from collections.abc import Callable
from hashlib import blake2s
import random

from aiocoap import Message
from aiocoap.numbers.types import Type
import msgspec

from ibispitch.ids import FlowId
from ibispitch.requests import coap
from ibispitch.requests.effects import Count
from ibispitch.requests.effects import Effect
from ibispitch.requests.effects import SendToCaller
from ibispitch.requests.timers import Timers

#: Time in seconds for which a repeated datagram is recognised. It exceeds
#: the 45 s in which RFC 7252 repeats a confirmable message.
EXCHANGE_LIFETIME_S = 60.0
#: Answered datagrams that are remembered. Those without an answer are as many
#: as the callers that wait for a run.
MAX_ANSWERED = 20_000
#: Time in seconds until the first repetition; it doubles each time.
ACK_TIMEOUT_S = 2.0
MAX_RETRANSMIT = 4
#: Time in seconds after which a running request is acknowledged without an
#: answer, well before the caller repeats it.
EMPTY_ACK_DELAY_S = 0.2
MID_RANGE = 1 << 16
#: Flows whose next message id is remembered.
MAX_FLOWS = 500_000


class Exchange(msgspec.Struct, array_like=True):
    """A request datagram of a caller.

    :param at: time of the datagram, or of its answer, in seconds.
    :param acknowledged: whether an empty acknowledgement was sent.
    :param response: the answer as sent, ``None`` before.
    """

    flow: FlowId
    mid: int
    token: bytes
    confirmable: bool
    at: float
    acknowledged: bool = False
    response: bytes | None = None


class Outgoing(msgspec.Struct, array_like=True):
    """A confirmable message to a caller that is not acknowledged yet.

    :param due: time of the next repetition, in seconds.
    :param feed: token of the observation that it notifies of, if any.
    """

    flow: FlowId
    datagram: bytes
    due: float
    tries: int = 0
    feed: bytes | None = None


class CallerState(msgspec.Struct):
    """What is handed to a successor."""

    pending: dict[bytes, Exchange] = {}
    answered: dict[bytes, Exchange] = {}
    outgoing: dict[bytes, Outgoing] = {}
    next_mid: dict[bytes, int] = {}


def message_key(flow: FlowId, mid: int) -> bytes:
    """Return the key of a message of a flow."""
    return flow + mid.to_bytes(2, 'big')


class CallerSide:
    """Recognises repeated datagrams and repeats unacknowledged answers.

    :param emit: takes the effects.
    :param rng: chooses the first message id of each flow.
    """

    def __init__(self, emit: Callable[[Effect], None], rng: random.Random):
        self.state = CallerState({}, {}, {}, {})
        self.timers = Timers()
        self._emit = emit
        self._rng = rng

    def receive(
        self, flow: FlowId, message: Message, datagram: bytes, now: float
    ) -> bytes | None:
        """Take a request datagram in.

        :returns: key of its exchange, ``None`` if it is a repetition that
            was dealt with here.
        """
        # A caller that restarted may use a message id for another request
        # while the first one runs.
        content = blake2s(datagram, digest_size=8).digest()
        key = message_key(flow, message.mid) + content
        self._expire(now)
        known = self.state.pending.get(key) or self.state.answered.get(key)
        if known is not None:
            self._repeat(known)
            return None
        self.state.pending[key] = Exchange(
            flow,
            message.mid,
            message.token,
            message.mtype is Type.CON,
            now,
        )
        self.timers.set(now + EMPTY_ACK_DELAY_S, 'acknowledge', key)
        return key

    def forget(self, key: bytes) -> None:
        """Forget an exchange that another agent answers."""
        self.state.pending.pop(key, None)

    def acknowledge(self, key: bytes) -> None:
        """Acknowledge a confirmable request whose answer takes time."""
        exchange = self.state.pending.get(key)
        if (
            exchange is None
            or not exchange.confirmable
            or exchange.acknowledged
        ):
            return
        exchange.acknowledged = True
        self._send(exchange.flow, coap.empty_message(Type.ACK, exchange.mid))

    def answer(self, key: bytes, response: Message, now: float) -> None:
        """Answer a request; only the first answer is sent."""
        exchange = self.state.pending.pop(key, None)
        if exchange is None:
            return
        exchange.at = now
        self.state.answered[key] = exchange
        flow = exchange.flow
        if exchange.confirmable and not exchange.acknowledged:
            exchange.response = coap.encode(
                response, Type.ACK, exchange.mid, exchange.token
            )
            self._send(flow, exchange.response)
        elif exchange.confirmable:
            exchange.response, _ = self.send_confirmable(
                flow, response, exchange.token, now
            )
        else:
            exchange.response = coap.encode(
                response, Type.NON, self._take_mid(flow), exchange.token
            )
            self._send(flow, exchange.response)

    def send_confirmable(
        self,
        flow: FlowId,
        message: Message,
        token: bytes,
        now: float,
        feed: bytes | None = None,
        replaced: Outgoing | None = None,
    ) -> tuple[bytes, int]:
        """Send a message and repeat it until it is acknowledged.

        :param feed: token of the observation that it notifies of.
        :param replaced: unacknowledged notification whose repetitions this
            one goes on with.
        :returns: the datagram and its message id.
        """
        mid = self._take_mid(flow)
        datagram = coap.encode(message, Type.CON, mid, token)
        key = message_key(flow, mid)
        due, tries = now + ACK_TIMEOUT_S, 0
        if replaced is not None:
            due, tries = replaced.due, replaced.tries
        self.state.outgoing[key] = Outgoing(flow, datagram, due, tries, feed)
        self.timers.set(due, 'repeat', key)
        self._send(flow, datagram, tries)
        return datagram, mid

    def send_unconfirmed(
        self, flow: FlowId, message: Message, token: bytes
    ) -> int:
        """Send a message once.

        :returns: its message id.
        """
        mid = self._take_mid(flow)
        self._send(flow, coap.encode(message, Type.NON, mid, token))
        return mid

    def settle(self, flow: FlowId, mid: int) -> Outgoing | None:
        """Stop to repeat a message that was acknowledged or reset."""
        return self.state.outgoing.pop(message_key(flow, mid), None)

    def reject(self, flow: FlowId, mid: int) -> None:
        """Answer a ping."""
        self._send(flow, coap.empty_message(Type.RST, mid))

    def close(self, flow: FlowId) -> None:
        """Forget the message ids of a flow that ended."""
        self.state.next_mid.pop(flow, None)

    def tick(self, now: float) -> list[tuple[FlowId, bytes]]:
        """Repeat and acknowledge what is due.

        :returns: flow and token of observations whose caller is gone.
        """
        lost = []
        for kind, key in self.timers.pop_due(now):
            if kind == 'acknowledge':
                self.acknowledge(key)
                continue
            outgoing = self.state.outgoing.get(key)
            if outgoing is None or now < outgoing.due:
                continue
            if outgoing.tries >= MAX_RETRANSMIT:
                del self.state.outgoing[key]
                if outgoing.feed is not None:
                    lost.append((outgoing.flow, outgoing.feed))
                continue
            outgoing.tries += 1
            outgoing.due = now + ACK_TIMEOUT_S * 2**outgoing.tries
            self.timers.set(outgoing.due, 'repeat', key)
            self._send(outgoing.flow, outgoing.datagram, outgoing.tries)
        self._expire(now)
        return lost

    def _repeat(self, exchange: Exchange) -> None:
        self._emit(Count('gate_repeated_datagrams'))
        if exchange.confirmable and exchange.acknowledged:
            self._send(
                exchange.flow, coap.empty_message(Type.ACK, exchange.mid)
            )
        if exchange.response is not None:
            self._send(exchange.flow, exchange.response)

    def _expire(self, now: float) -> None:
        answered = self.state.answered
        while answered:
            key, oldest = next(iter(answered.items()))
            fresh = now - oldest.at < EXCHANGE_LIFETIME_S
            if fresh and len(answered) < MAX_ANSWERED:
                return
            del answered[key]

    def _take_mid(self, flow: FlowId) -> int:
        mid = self.state.next_mid.get(flow)
        if mid is None:
            mid = self._rng.randrange(MID_RANGE)
            while len(self.state.next_mid) >= MAX_FLOWS:
                del self.state.next_mid[next(iter(self.state.next_mid))]
        self.state.next_mid[flow] = (mid + 1) % MID_RANGE
        return mid

    def _send(self, flow: FlowId, datagram: bytes, tries: int = 0) -> None:
        self._emit(SendToCaller(flow, datagram, tries))
