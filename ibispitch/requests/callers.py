"""CoAP message layer towards callers: acknowledgements, retransmissions."""

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

#: Time in seconds for which a repeated datagram is recognised. It exceeds the
#: 45 s within which a caller repeats a confirmable message (RFC 7252).
EXCHANGE_LIFETIME_S = 60.0
#: Maximum number of answered datagrams that are remembered. The number of
#: unanswered ones is limited by the number of runs and their waiters.
MAX_ANSWERED_EXCHANGES = 20_000
#: Time in seconds until the first retransmission; it doubles each time.
ACK_TIMEOUT_S = 2.0
MAX_RETRANSMIT = 4
#: Time in seconds after which a request without an answer gets an empty
#: acknowledgement, well before the caller repeats the request.
EMPTY_ACK_DELAY_S = 0.2
MESSAGE_ID_RANGE = 1 << 16
#: Maximum number of flows whose next message id is remembered.
MAX_KNOWN_FLOWS = 500_000


class Exchange(msgspec.Struct, array_like=True):
    """A request datagram of a caller, and the answer to it.

    :param mid: message id of the datagram.
    :param confirmable: whether the datagram is a confirmable message.
    :param at: time of the datagram, or of its answer, in seconds.
    :param acknowledged: whether an empty acknowledgement was sent.
    :param response: the answer as sent, ``None`` if there is none yet.
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

    :param due: time of the next retransmission, in seconds.
    :param tries: number of retransmissions so far.
    :param feed: token of the observation, if it is a notification.
    """

    flow: FlowId
    datagram: bytes
    due: float
    tries: int = 0
    feed: bytes | None = None


class CallerState(msgspec.Struct):
    """State that is handed over to a successor process.

    :param pending: exchanges without an answer, by key.
    :param answered: exchanges with an answer, by key, oldest first.
    :param outgoing: unacknowledged messages, by :func:`message_key`.
    :param next_mid: message id of the next message, by flow.
    """

    pending: dict[bytes, Exchange] = {}
    answered: dict[bytes, Exchange] = {}
    outgoing: dict[bytes, Outgoing] = {}
    next_mid: dict[bytes, int] = {}


def message_key(flow: FlowId, mid: int) -> bytes:
    """Return a key that identifies a message within all flows."""
    return flow + mid.to_bytes(2, 'big')


class CallerMessageLayer:
    """Recognises repeated datagrams, and repeats unacknowledged answers.

    :param emit: called with each effect.
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
        """Handle a request datagram.

        :returns: key of its exchange, ``None`` if the datagram is a
            repetition and needs no further handling.
        """
        # A caller that was restarted may use the same message id for another
        # request while the first one runs, so the content is in the key.
        content = blake2s(datagram, digest_size=8).digest()
        key = message_key(flow, message.mid) + content
        self._expire(now)
        earlier = self.state.pending.get(key) or self.state.answered.get(key)
        if earlier is not None:
            self._answer_repetition(earlier)
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

    def forget_exchange(self, key: bytes) -> None:
        """Remove an exchange that is not answered here."""
        self.state.pending.pop(key, None)

    def acknowledge(self, key: bytes) -> None:
        """Send an empty acknowledgement of a confirmable request, once."""
        exchange = self.state.pending.get(key)
        if (
            exchange is None
            or not exchange.confirmable
            or exchange.acknowledged
        ):
            return
        exchange.acknowledged = True
        self._send(exchange.flow, coap.empty_message(Type.ACK, exchange.mid))

    def send_answer(self, key: bytes, response: Message, now: float) -> None:
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
                response, Type.NON, self._new_mid(flow), exchange.token
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

        :param feed: token of the observation, if it is a notification.
        :param replaced: unacknowledged notification that this one replaces.
            Its time and number of retransmissions are continued.
        :returns: the datagram and its message id.
        """
        mid = self._new_mid(flow)
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
        """Send a non-confirmable message.

        :returns: its message id.
        """
        mid = self._new_mid(flow)
        self._send(flow, coap.encode(message, Type.NON, mid, token))
        return mid

    def stop_repeating(self, flow: FlowId, mid: int) -> Outgoing | None:
        """Stop repeating a message that was acknowledged or reset.

        :returns: the message, ``None`` if it was not waiting for that.
        """
        return self.state.outgoing.pop(message_key(flow, mid), None)

    def send_reset(self, flow: FlowId, mid: int) -> None:
        """Send a reset, the answer to a CoAP ping."""
        self._send(flow, coap.empty_message(Type.RST, mid))

    def forget_flow(self, flow: FlowId) -> None:
        """Forget the next message id of a flow that has ended."""
        self.state.next_mid.pop(flow, None)

    def tick(self, now: float) -> list[tuple[FlowId, bytes]]:
        """Send the acknowledgements and retransmissions that are due.

        :returns: flow and token of observations whose caller no longer
            acknowledges notifications.
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

    def _answer_repetition(self, exchange: Exchange) -> None:
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
            if fresh and len(answered) < MAX_ANSWERED_EXCHANGES:
                return
            del answered[key]

    def _new_mid(self, flow: FlowId) -> int:
        mid = self.state.next_mid.get(flow)
        if mid is None:
            mid = self._rng.randrange(MESSAGE_ID_RANGE)
            while len(self.state.next_mid) >= MAX_KNOWN_FLOWS:
                del self.state.next_mid[next(iter(self.state.next_mid))]
        self.state.next_mid[flow] = (mid + 1) % MESSAGE_ID_RANGE
        return mid

    def _send(self, flow: FlowId, datagram: bytes, tries: int = 0) -> None:
        self._emit(SendToCaller(flow, datagram, tries))
