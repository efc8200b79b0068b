"""Frames that balancers and agents exchange about the packets of flows.

Each frame is one datagram whose first byte is its kind. Status messages are
received at the same port; they are msgpack arrays, whose first byte is at
least 0x90.
"""

from collections.abc import Iterable
import enum
import socket
import struct
from typing import NamedTuple

from ibispitch.forwarding.packets import FLOW_KEY_BYTES
from ibispitch.forwarding.packets import FlowKey
from ibispitch.retry.attempts import CALLER_KEY_BYTES
from ibispitch.retry.attempts import CallerKey
from ibispitch.routes.position import TablePosition

#: Kinds of frames, the first byte.
FORWARD = 1
RETURN = 2
QUESTIONS = 3
ANSWERS = 4
AGE = 5
ATTEMPT = 6
OWNERS = 7

#: Maximum number of agents listed in a returned opening.
MAX_TRIED = 4
#: Maximum number of flows in a frame of questions, so that it fits into a
#: datagram.
MAX_ASKED = 64


class Purpose(enum.IntEnum):
    """Why a balancer forwards a packet to an agent."""

    OPENING = 0
    #: The balancer believes that the agent owns the flow.
    OWNED = 1
    #: The owner of the flow is unknown. The agent may hand the packet to its
    #: upstream, which hands it back if it does not hold the flow.
    TRIAL = 2


#: Names for metrics.
_NAME_BY_KIND = {
    RETURN: 'return',
    QUESTIONS: 'question',
    ANSWERS: 'answer',
    AGE: 'age',
    ATTEMPT: 'attempt',
    OWNERS: 'known_owner',
}
_NAME_BY_PURPOSE = {
    Purpose.OPENING.value: 'opening',
    Purpose.OWNED.value: 'packet',
    Purpose.TRIAL.value: 'trial',
}


class Reason(enum.IntEnum):
    """Why an agent hands a packet back to the balancer."""

    #: The upstream does not accept more flows.
    FULL = 0
    #: The upstream may not get new flows now: it is cold, ending or unknown.
    CLOSED = 1
    #: The agent's upstream is not the one that the balancer named.
    OTHER_UPSTREAM = 2
    #: The agent's routes, which are at least as new as the balancer's, do not
    #: lead the flow to its service.
    NO_ROUTE = 3
    #: The upstream does not hold the flow.
    NOT_OWNED = 4
    #: The upstream held the flow but no longer does.
    ENDED = 5


class Verdict(enum.IntEnum):
    """Whether an agent owns a flow."""

    OWNED = 0
    NOT_OWNED = 1
    #: The agent started after its upstream and has seen no packet of the flow.
    UNKNOWN = 2
    #: Like ``UNKNOWN``, but the agent has restarted recently. If several
    #: agents were killed together, the owner of the flow is among them.
    RESTARTED = 3


class Forward(NamedTuple):
    """A caller's packet that a balancer forwards to an agent.

    :param purpose: why it is forwarded.
    :param position: position of the routes that the balancer used.
    :param incarnation: the intended upstream, 0 for any.
    :param tried: agents that handed this opening back, as IPv4 numbers.
    :param raw: the packet.
    """

    purpose: Purpose
    position: TablePosition
    incarnation: int
    tried: tuple[int, ...]
    raw: bytes


class Return(NamedTuple):
    """A caller's packet that an agent hands back to the balancer.

    :param reason: why it is handed back.
    :param position: position of the agent's routes.
    :param incarnation: the agent's upstream, 0 if it is not known.
    :param tried: agents that handed this opening back before, as IPv4
        numbers.
    :param raw: the packet.
    """

    reason: Reason
    position: TablePosition
    incarnation: int
    tried: tuple[int, ...]
    raw: bytes


class Question(NamedTuple):
    """A question whether an agent owns a flow.

    :param acknowledged: the caller's last acknowledgement. It refers to data
        of the upstream that holds the flow, so other agents can deny it.
    """

    flow: FlowKey
    acknowledged: int


class OwnershipQuestions(NamedTuple):
    """A balancer's questions about the owners of flows."""

    questions: tuple[Question, ...]


class Answer(NamedTuple):
    """Whether an agent owns a flow."""

    flow: FlowKey
    verdict: Verdict


class OwnershipAnswers(NamedTuple):
    """An agent's answers to a balancer's questions.

    :param incarnation: the agent's upstream, 0 if it is not known.
    """

    incarnation: int
    answers: tuple[Answer, ...]


class KnownOwner(NamedTuple):
    """The agent to which a balancer forwards a flow.

    :param agent: its IPv4 number, 0 if the balancer does not know the flow.
    """

    flow: FlowKey
    agent: int


class KnownOwners(NamedTuple):
    """A balancer's answers to the questions of another one."""

    owners: tuple[KnownOwner, ...]


class OpeningAge(NamedTuple):
    """Age of the request for which a caller opens a flow.

    It precedes the opening if the age cannot be seen from the opening itself.

    :param age_s: time since the caller asked first.
    """

    flow: FlowKey
    age_s: float


class EndedAttempt(NamedTuple):
    """An attempt that ended at another balancer of the data centre.

    The caller's next attempt may reach any balancer.

    :param caller: see :func:`ibispitch.retry.attempts.caller_key`.
    :param number: number of the attempt, from 1.
    :param age_s: time since the caller asked first.
    """

    caller: CallerKey
    number: int
    age_s: float


Frame = (
    Forward
    | Return
    | OwnershipQuestions
    | OwnershipAnswers
    | KnownOwners
    | OpeningAge
    | EndedAttempt
)

#: Header of FORWARD and RETURN frames: kind, purpose or reason, number of
#: tried agents, packed position, incarnation.
_PACKET_HEADER = struct.Struct('<BBBQQ')
_QUESTION_LAYOUT = struct.Struct(f'<{FLOW_KEY_BYTES}sI')
_ANSWERS_HEADER = struct.Struct('<BQ')
_ANSWER_LAYOUT = struct.Struct(f'<{FLOW_KEY_BYTES}sB')
_OWNER_LAYOUT = struct.Struct(f'<{FLOW_KEY_BYTES}sI')
#: Kind, flow, age in milliseconds.
_AGE_LAYOUT = struct.Struct(f'<B{FLOW_KEY_BYTES}sH')
_MAX_AGE_MS = 0xFFFF
#: Kind, caller and destination, number, age in milliseconds.
_ATTEMPT_LAYOUT = struct.Struct(f'<B{CALLER_KEY_BYTES}sBH')
_TRIED_LAYOUTS = [
    struct.Struct(f'<{count}I') for count in range(MAX_TRIED + 1)
]
_PURPOSES = tuple(Purpose)
_REASONS = tuple(Reason)
_VERDICTS = tuple(Verdict)


def ip_number(ip: str) -> int:
    """Return an IPv4 address as a number.

    >>> ip_number('10.1.0.12')
    167837708
    """
    return int.from_bytes(socket.inet_aton(ip), 'big')


def number_ip(number: int) -> str:
    """Return the IPv4 address of a number.

    >>> number_ip(167837708)
    '10.1.0.12'
    """
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


def frame_name(data: bytes) -> str:
    """Return the name of the kind of a frame.

    Forwarded packets of callers are named after their purpose.
    """
    if data[0] == FORWARD:
        return _NAME_BY_PURPOSE.get(data[1], 'unknown')
    return _NAME_BY_KIND.get(data[0], 'unknown')


def encode_forward(
    purpose: Purpose,
    position: TablePosition,
    incarnation: int,
    raw: bytes,
    tried: tuple[int, ...] = (),
) -> bytes:
    """Return the datagram of a :class:`Forward` frame."""
    return _encode_packet(FORWARD, purpose, position, incarnation, tried, raw)


def encode_return(
    reason: Reason,
    position: TablePosition,
    incarnation: int,
    raw: bytes,
    tried: tuple[int, ...] = (),
) -> bytes:
    """Return the datagram of a :class:`Return` frame."""
    return _encode_packet(RETURN, reason, position, incarnation, tried, raw)


def _encode_packet(kind, code, position, incarnation, tried, raw) -> bytes:
    head = _PACKET_HEADER.pack(
        kind, code, len(tried), position.pack(), incarnation
    )
    return head + _TRIED_LAYOUTS[len(tried)].pack(*tried) + raw


def encode_questions(questions: Iterable[Question]) -> list[bytes]:
    """Return the datagrams of :class:`OwnershipQuestions` frames."""
    packed = [_QUESTION_LAYOUT.pack(*question) for question in questions]
    return [
        bytes([QUESTIONS]) + b''.join(packed[start : start + MAX_ASKED])
        for start in range(0, len(packed), MAX_ASKED)
    ]


def encode_answers(incarnation: int, answers: Iterable[Answer]) -> bytes:
    """Return the datagram of a :class:`OwnershipAnswers` frame."""
    head = _ANSWERS_HEADER.pack(ANSWERS, incarnation)
    return head + b''.join(_ANSWER_LAYOUT.pack(*answer) for answer in answers)


def encode_owners(owners: Iterable[KnownOwner]) -> bytes:
    """Return the datagram of a :class:`KnownOwners` frame.

    >>> message = KnownOwners((KnownOwner(FlowKey(bytes(12)), 7),))
    >>> decode_frame(encode_owners(message.owners)) == message
    True
    """
    return bytes([OWNERS]) + b''.join(
        _OWNER_LAYOUT.pack(*owner) for owner in owners
    )


def encode_age(flow: FlowKey, age_s: float) -> bytes:
    """Return the datagram of an :class:`OpeningAge` frame.

    >>> decode_frame(encode_age(FlowKey(bytes(12)), 1.5)).age_s
    1.5
    """
    return _AGE_LAYOUT.pack(AGE, flow, min(_MAX_AGE_MS, round(1000 * age_s)))


def encode_attempt(attempt: EndedAttempt) -> bytes:
    """Return the datagram of an :class:`EndedAttempt` frame.

    >>> attempt = EndedAttempt(CallerKey(bytes(10)), 2, 1.5)
    >>> decode_frame(encode_attempt(attempt)) == attempt
    True
    """
    age_ms = min(_MAX_AGE_MS, round(1000 * attempt.age_s))
    return _ATTEMPT_LAYOUT.pack(
        ATTEMPT, attempt.caller, attempt.number, age_ms
    )


def decode_frame(data: bytes) -> Frame | None:
    """Decode a frame.

    :returns: the frame, ``None`` if the datagram is not a valid frame.

    >>> position = TablePosition(2, 7)
    >>> decode_frame(
    ...     encode_forward(Purpose.OPENING, position, 9, b'raw', (1,))
    ... )
    Forward(purpose=<Purpose.OPENING: 0>, position=TablePosition(era=2, \
revision=7), incarnation=9, tried=(1,), raw=b'raw')
    >>> decode_frame(b'') is None
    True
    """
    try:
        return _decode_frame(data)
    except (IndexError, struct.error):
        return None


def _decode_frame(data: bytes) -> Frame | None:
    kind = data[0]
    if kind in (FORWARD, RETURN):
        _kind, code, count, packed, incarnation = _PACKET_HEADER.unpack_from(
            data
        )
        position = TablePosition.unpack(packed)
        head = _PACKET_HEADER.size + 4 * count
        tried = _TRIED_LAYOUTS[count].unpack_from(data, _PACKET_HEADER.size)
        if kind == FORWARD:
            purpose = _PURPOSES[code]
            return Forward(purpose, position, incarnation, tried, data[head:])
        reason = _REASONS[code]
        return Return(reason, position, incarnation, tried, data[head:])
    if kind == QUESTIONS:
        questions = _QUESTION_LAYOUT.iter_unpack(data[1:])
        return OwnershipQuestions(
            tuple(Question(FlowKey(f), n) for f, n in questions)
        )
    if kind == ANSWERS:
        _kind, incarnation = _ANSWERS_HEADER.unpack_from(data)
        answers = _ANSWER_LAYOUT.iter_unpack(data[_ANSWERS_HEADER.size :])
        return OwnershipAnswers(
            incarnation,
            tuple(Answer(FlowKey(f), _VERDICTS[v]) for f, v in answers),
        )
    if kind == OWNERS:
        owners = _OWNER_LAYOUT.iter_unpack(data[1:])
        return KnownOwners(
            tuple(KnownOwner(FlowKey(f), ip) for f, ip in owners)
        )
    if kind == AGE:
        _kind, flow, age_ms = _AGE_LAYOUT.unpack(data)
        return OpeningAge(FlowKey(flow), age_ms / 1000)
    if kind == ATTEMPT:
        _kind, caller, number, age_ms = _ATTEMPT_LAYOUT.unpack(data)
        return EndedAttempt(CallerKey(caller), number, age_ms / 1000)
    return None
