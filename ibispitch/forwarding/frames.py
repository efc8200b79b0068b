"""Frames that balancers and agents exchange for packets of flows.

Each frame is one datagram whose first byte is its kind. Status messages use
the same port; they are msgpack arrays, whose first byte is at least 0x90.
"""

from collections.abc import Iterable
import enum
import struct
from typing import NamedTuple

from ibispitch.forwarding.packets import FLOW_KEY_BYTES
from ibispitch.forwarding.packets import FlowKey

FORWARD = 1
RETURN = 2
ASK = 3
TELL = 4

#: Agents that a returned opening names at most.
MAX_TRIED = 4
#: Flows of one question at most, so that it fits into a datagram.
MAX_ASKED = 64


class Purpose(enum.IntEnum):
    """Why a balancer forwards a packet to an agent."""

    OPENING = 0
    #: The balancer believes that the agent owns the flow.
    OWNED = 1
    #: No agent is known to own the flow; the agent may ask its upstream.
    TRIAL = 2


class Reason(enum.IntEnum):
    """Why an agent hands a packet back to the balancer."""

    #: The upstream does not accept more flows.
    FULL = 0
    #: The upstream takes no new flows: it is cold, leaving or not known.
    CLOSED = 1
    #: The agent serves another upstream than the balancer believes.
    OTHER_UPSTREAM = 2
    #: The newer routes of the agent do not lead here.
    NO_ROUTE = 3
    #: The flow is not at this upstream.
    NOT_OWNED = 4
    #: The upstream held the flow and holds it no longer.
    ENDED = 5


class Verdict(enum.IntEnum):
    """What an agent knows of a flow."""

    OWNED = 0
    NOT_OWNED = 1
    #: The agent started after its upstream and has not heard of the flow.
    UNKNOWN = 2
    #: Like ``UNKNOWN``, by an agent that was killed a moment ago: if the
    #: flow lives, its own agent may be among those killed.
    RESTARTED = 3


class Forward(NamedTuple):
    """A packet of a caller on its way to an upstream.

    :param revision: revision of the routes that the balancer used.
    :param incarnation: the upstream that is meant, 0 for any.
    :param tried: agents that handed this opening back, as IPv4 numbers.
    """

    purpose: Purpose
    revision: int
    incarnation: int
    tried: tuple[int, ...]
    raw: bytes


class Return(NamedTuple):
    """A packet that an agent hands back."""

    reason: Reason
    revision: int
    incarnation: int
    tried: tuple[int, ...]
    raw: bytes


class Question(NamedTuple):
    """Question whether an agent owns a flow.

    :param acknowledged: the caller's last acknowledgement, which only the
        owner's upstream can have led to.
    """

    flow: FlowKey
    acknowledged: int


class OwnershipQuestions(NamedTuple):
    """Questions about some flows."""

    questions: tuple[Question, ...]


class Answer(NamedTuple):
    """What an agent knows of a flow."""

    flow: FlowKey
    verdict: Verdict


class OwnershipAnswers(NamedTuple):
    """Answers of an agent on some flows.

    :param incarnation: the agent's upstream, 0 if it is not known.
    """

    incarnation: int
    answers: tuple[Answer, ...]


Frame = Forward | Return | OwnershipQuestions | OwnershipAnswers

#: kind, purpose or reason, number of tried agents, revision, incarnation.
_CARRIER = struct.Struct('<BBBQQ')
_QUESTION = struct.Struct(f'<{FLOW_KEY_BYTES}sI')
_TELL = struct.Struct('<BQ')
_ANSWER = struct.Struct(f'<{FLOW_KEY_BYTES}sB')
_TRIED = [struct.Struct(f'<{count}I') for count in range(MAX_TRIED + 1)]
_PURPOSES = tuple(Purpose)
_REASONS = tuple(Reason)
_VERDICTS = tuple(Verdict)


def encode_forward(
    purpose: Purpose,
    revision: int,
    incarnation: int,
    raw: bytes,
    tried: tuple[int, ...] = (),
) -> bytes:
    """Return the datagram of a :class:`Forward` frame."""
    return _carry(FORWARD, purpose, revision, incarnation, tried, raw)


def encode_return(
    reason: Reason,
    revision: int,
    incarnation: int,
    raw: bytes,
    tried: tuple[int, ...] = (),
) -> bytes:
    """Return the datagram of a :class:`Return` frame."""
    return _carry(RETURN, reason, revision, incarnation, tried, raw)


def _carry(kind, code, revision, incarnation, tried, raw) -> bytes:
    head = _CARRIER.pack(kind, code, len(tried), revision, incarnation)
    return head + _TRIED[len(tried)].pack(*tried) + raw


def encode_questions(questions: Iterable[Question]) -> list[bytes]:
    """Return the datagrams of :class:`OwnershipQuestions` frames."""
    packed = [_QUESTION.pack(*question) for question in questions]
    return [
        bytes([ASK]) + b''.join(packed[start : start + MAX_ASKED])
        for start in range(0, len(packed), MAX_ASKED)
    ]


def encode_answers(incarnation: int, answers: Iterable[Answer]) -> bytes:
    """Return the datagram of a :class:`OwnershipAnswers` frame."""
    head = _TELL.pack(TELL, incarnation)
    return head + b''.join(_ANSWER.pack(*answer) for answer in answers)


def decode_frame(data: bytes) -> Frame | None:
    """Decode a frame.

    :returns: the frame, ``None`` if the datagram is not a valid one.

    >>> decode_frame(encode_forward(Purpose.OPENING, 7, 9, b'raw', (1,)))
    Forward(purpose=<Purpose.OPENING: 0>, revision=7, incarnation=9, \
tried=(1,), raw=b'raw')
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
        _kind, code, count, revision, incarnation = _CARRIER.unpack_from(data)
        head = _CARRIER.size + 4 * count
        tried = _TRIED[count].unpack_from(data, _CARRIER.size)
        if kind == FORWARD:
            purpose = _PURPOSES[code]
            return Forward(purpose, revision, incarnation, tried, data[head:])
        reason = _REASONS[code]
        return Return(reason, revision, incarnation, tried, data[head:])
    if kind == ASK:
        questions = _QUESTION.iter_unpack(data[1:])
        return OwnershipQuestions(
            tuple(Question(FlowKey(f), n) for f, n in questions)
        )
    if kind == TELL:
        _kind, incarnation = _TELL.unpack_from(data)
        answers = _ANSWER.iter_unpack(data[_TELL.size :])
        return OwnershipAnswers(
            incarnation,
            tuple(Answer(FlowKey(f), _VERDICTS[v]) for f, v in answers),
        )
    return None
