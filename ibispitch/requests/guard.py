"""The rule that a request runs at most once, and never after a refusal."""

from hashlib import blake2s

from aiocoap import Message
from aiocoap.numbers.codes import Code
import msgspec

from ibispitch.admission.types import RunId
from ibispitch.ids import FLOW_ID_BYTES
from ibispitch.ids import FlowId
from ibispitch.ids import RequestId
from ibispitch.requests import coap
from ibispitch.requests import outcomes
from ibispitch.requests.echo import EchoFault
from ibispitch.requests.echo import EchoIssuer
from ibispitch.requests.records import NO_PART
from ibispitch.requests.records import Part
from ibispitch.requests.records import Record
from ibispitch.requests.records import record_key
from ibispitch.requests.records import RecordTable

REQUEST_ID_LENGTHS = range(8, 17)
#: Maximum number of blocks of a request. With 1,024 bytes each, an upload may
#: have 4 MB.
MAX_PARTS = 4096
#: Retry time in seconds in a repeated refusal.
REPEATED_RETRY_AFTER_S = 1.0


class Answer(msgspec.Struct, frozen=True):
    """Answer at once; the request does not run.

    :param reason: reason under which it is counted.
    """

    message: Message
    reason: str


class Relay(msgspec.Struct, frozen=True):
    """Relay the request to the agent that issued its Echo value.

    If no agent has that incarnation, answer that the outcome is unknown.
    """

    incarnation: int


class Join(msgspec.Struct, frozen=True):
    """Answer with the result of the run in progress, when it ends."""

    run_id: RunId


class Run(msgspec.Struct, frozen=True):
    """Run the part of the request.

    :param record_key: key of the record, empty if the part only fetches a
        further block of an answer. Such a part runs nothing again.
    :param deadline: deadline of the request, in seconds.
    """

    record_key: bytes
    deadline: float


Verdict = Answer | Relay | Join | Run


def request_id_of(message: Message, datagram: bytes) -> RequestId | None:
    """Return the request id of a request that runs at most once.

    If the option is absent, the id is a hash of the datagram, so that only
    copies of the datagram have the same id.

    :returns: the id, ``None`` if the option has a wrong length.
    """
    request_id = coap.opaque_option(message, coap.REQUEST_ID)
    if request_id is None:
        return RequestId(blake2s(datagram, digest_size=16).digest())
    return RequestId(request_id) if _is_valid_request_id(request_id) else None


def _is_valid_request_id(request_id: bytes) -> bool:
    return len(request_id) in REQUEST_ID_LENGTHS


def is_guarded(message: Message) -> bool:
    """Return whether a request must run at most once."""
    return (
        message.code not in coap.IDEMPOTENT_CODES
        or coap.opaque_option(message, coap.REQUEST_ID) is not None
    )


class Guard:
    """Decides by Echo value and record whether a request may run."""

    def __init__(self, echo: EchoIssuer, records: RecordTable):
        self.echo = echo
        self.records = records

    def admit(
        self,
        flow: FlowId,
        message: Message,
        datagram: bytes,
        run_id: RunId,
        deadline: float,
        now: float,
    ) -> Verdict:
        """Decide on a request that must run at most once.

        :param run_id: id of the run, recorded if the verdict is ``Run``.
        :param deadline: deadline of this part, in seconds.
        :returns: what to do with the request.
        """
        request_id = request_id_of(message, datagram)
        if request_id is None:
            return Answer(
                outcomes.bad_request('Request-Id must have 8 to 16 bytes'),
                'request_id',
            )
        if message.opt.echo is None:
            # No agent runs a datagram without Echo, so copies do no harm.
            echo = self.echo.issue(flow, now)
            return Answer(outcomes.challenge(echo), 'challenge')
        check = self.echo.check(flow, message.opt.echo, now)
        if check.fault is EchoFault.OTHER_INCARNATION:
            return Relay(check.incarnation)
        if check.fault is not None:
            # It may have run before its record expired or was handed over.
            return self._unknown_answer(flow, check.fault.value, now)
        key = record_key(flow, request_id)
        record = self.records.find(key, now)
        if record is None:
            record = Record(check.expires, deadline, {})
            if not self.records.add(key, record):
                return self._unknown_answer(flow, 'records_full', now)
        # Keep the record until each Echo value sent with the request expires.
        record.expires = max(record.expires, check.expires)
        return self._admit_part(key, record, message, run_id, now)

    def _admit_part(
        self,
        key: bytes,
        record: Record,
        message: Message,
        run_id: RunId,
        now: float,
    ) -> Verdict:
        number = coap.part_of(message)
        digest = coap.request_digest(message)
        part = record.parts.get(number)
        if part is not None:
            return self._admit_repeated(key, part, digest, now)
        if record.refused:
            return Answer(
                outcomes.not_run(REPEATED_RETRY_AFTER_S), 'refused_before'
            )
        if number[1] > 0:
            if record.final_part == NO_PART:
                return Answer(
                    Message(code=Code.REQUEST_ENTITY_INCOMPLETE), 'no_answer'
                )
            return Run(b'', record.deadline)
        if record.final_part != NO_PART:
            return Answer(outcomes.conflict(), 'conflict')
        if len(record.parts) >= MAX_PARTS:
            return Answer(
                Message(code=Code.REQUEST_ENTITY_TOO_LARGE), 'too_large'
            )
        block1 = message.opt.block1
        if block1 is None or not block1.more:
            record.final_part = number
        record.parts[number] = Part(digest, run_id)
        return Run(key, record.deadline)

    def _admit_repeated(
        self, key: bytes, part: Part, digest: bytes, now: float
    ) -> Verdict:
        if part.digest != digest:
            return Answer(outcomes.conflict(), 'conflict')
        if part.run_id is not None:
            return Join(part.run_id)
        if part.answer is None:
            return self._unknown_answer(
                FlowId(key[:FLOW_ID_BYTES]), 'answer_dropped', now
            )
        return Answer(coap.decode(part.answer), 'repeated')

    def _unknown_answer(self, flow: FlowId, reason: str, now: float) -> Answer:
        return Answer(outcomes.unknown(self.echo.issue(flow, now)), reason)

    def part(self, key: bytes, number: tuple[int, int]) -> Part | None:
        """Return a part of a record, ``None`` if there is none."""
        record = self.records.state.by_request.get(key)
        return record.parts.get(number) if record else None

    def refuse(self, key: bytes) -> bool:
        """Record that a request was not run and never will be.

        Call it only if the part that makes the upstream run the request was
        not forwarded.

        :returns: whether there was a record.
        """
        record = self.records.state.by_request.get(key)
        if record is None:
            return False
        record.refused = True
        return True

    def may_have_run(self, key: bytes) -> bool:
        """Return whether the part that makes the request run was admitted."""
        record = self.records.state.by_request.get(key)
        return record is None or record.final_part != NO_PART
