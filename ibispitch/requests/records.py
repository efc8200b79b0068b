"""Records of requests that run at most once, and of delegated runs."""

import msgspec

from ibispitch.admission.types import RunId
from ibispitch.ids import FLOW_ID_BYTES
from ibispitch.ids import FlowId
from ibispitch.ids import RequestId
from ibispitch.requests.messages import RunReply
from ibispitch.requests.timers import Timers

#: Maximum number of records. Further requests are not admitted.
MAX_RECORDS = 200_000
#: Maximum size of the answers that are kept for repeated requests.
MAX_ANSWER_BYTES = 32 << 20
#: Time in seconds for which a delegate remembers a run. The owner gives up the
#: run at its deadline, which is earlier.
DELEGATED_RUN_LIFETIME_S = 300.0
MAX_DELEGATED_RUNS = 200_000
#: Maximum number of owners for which the last forgotten run is remembered.
MAX_FLOORS = 65_536

#: Time in seconds after which an expired record is checked again if one of its
#: runs has not ended.
RECHECK_INTERVAL_S = 1.0

NO_PART = (-1, -1)


class Part(msgspec.Struct, array_like=True):
    """One block of a request; a request without blocks has one part.

    :param digest: hash of the request, to detect another request with the
        same request id.
    :param run_id: id of the run in progress, ``None`` after its end.
    :param answer: the answer without message id and token, ``None`` while
        it runs, and if it was dropped to limit the use of memory.
    """

    digest: bytes
    run_id: RunId | None = None
    answer: bytes | None = None


class Record(msgspec.Struct, array_like=True):
    """Record of one request of one flow.

    :param expires: time at which the Echo value that admitted it expires.
    :param deadline: deadline of the first part, which applies to all parts.
    :param parts: parts by Block1 and Block2 number.
    :param final_part: number of the part that makes the upstream run the
        request, if it was forwarded. No other part may do so.
    :param refused: whether a caller got the answer that it was not run.
    """

    expires: float
    deadline: float
    parts: dict[tuple[int, int], Part] = {}
    final_part: tuple[int, int] = NO_PART
    refused: bool = False

    def is_over(self, now: float) -> bool:
        """Return whether it has expired and no part of it runs."""
        return self.expires <= now and all(
            part.run_id is None for part in self.parts.values()
        )

    @property
    def answer_bytes(self) -> int:
        """Size of the answers that are kept, in bytes."""
        return sum(len(part.answer or b'') for part in self.parts.values())


class RecordState(msgspec.Struct):
    """State that is handed over to a successor process."""

    by_request: dict[bytes, Record] = {}
    answer_bytes: int = 0


def record_key(flow: FlowId, request_id: RequestId) -> bytes:
    """Return the key of a record, which begins with the flow id."""
    return flow + request_id


class RecordTable:
    """Records by flow and request id, limited in number and size."""

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.state = RecordState({}, 0)
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._keys_by_flow: dict[bytes, set[bytes]] = {}
        self._timers = Timers()

    def find(self, key: bytes, now: float) -> Record | None:
        """Return the record of a request, ``None`` if it has expired."""
        record = self.state.by_request.get(key)
        return record if record and not record.is_over(now) else None

    def add(self, key: bytes, record: Record) -> bool:
        """Add a record.

        :returns: whether there was room.
        """
        if key in self.state.by_request:
            self._remove(key)
        if len(self.state.by_request) >= self._max_records:
            return False
        self.state.by_request[key] = record
        self.state.answer_bytes += record.answer_bytes
        self._add_to_index(key, record)
        return True

    def set_answer(self, part: Part, answer: bytes) -> None:
        """Store an answer; if there are too many, the oldest are dropped."""
        self.state.answer_bytes += len(answer) - len(part.answer or b'')
        part.run_id, part.answer = None, answer
        if self.state.answer_bytes > self._max_answer_bytes:
            self._drop_answers()

    def remove_flow(self, flow: FlowId) -> dict[bytes, Record]:
        """Remove and return the records of a flow."""
        keys = sorted(self._keys_by_flow.get(flow, ()))
        return {key: self._remove(key) for key in keys}

    def expire(self, now: float) -> None:
        """Remove the records whose Echo value has expired."""
        for (key,) in self._timers.pop_due(now):
            record = self.state.by_request.get(key)
            if record is None:
                continue
            if record.is_over(now):
                self._remove(key)
            else:
                due = max(record.expires, now + RECHECK_INTERVAL_S)
                self._timers.set(due, key)

    def restore(self, state: RecordState) -> None:
        """Continue with the records of a predecessor process."""
        self.state = state
        for key, record in state.by_request.items():
            self._add_to_index(key, record)

    def _add_to_index(self, key: bytes, record: Record) -> None:
        flow = key[:FLOW_ID_BYTES]
        self._keys_by_flow.setdefault(flow, set()).add(key)
        self._timers.set(record.expires, key)

    def _remove(self, key: bytes) -> Record:
        record = self.state.by_request.pop(key)
        self.state.answer_bytes -= record.answer_bytes
        flow = key[:FLOW_ID_BYTES]
        keys = self._keys_by_flow[flow]
        keys.discard(key)
        if not keys:
            del self._keys_by_flow[flow]
        return record

    def _drop_answers(self) -> None:
        # Refusals are small and must stay valid, so only answers of requests
        # that ran are dropped. Half of the limit is freed at once, so that
        # these scans are rare.
        for record in self.state.by_request.values():
            if record.refused:
                continue
            for part in record.parts.values():
                self.state.answer_bytes -= len(part.answer or b'')
                part.answer = None
            if self.state.answer_bytes <= self._max_answer_bytes // 2:
                return


class DelegatedRun(msgspec.Struct, array_like=True):
    """A run for another agent.

    :param expires: time at which it is forgotten, in seconds.
    :param reply: the reply that was sent, ``None`` while it runs.
    """

    expires: float
    reply: RunReply | None = None


class DelegatedRunState(msgspec.Struct):
    """State that is handed over to a successor process.

    :param by_run: runs by run id.
    :param floors: highest counter of the run ids that were forgotten, by
        incarnation of the owner. A repetition of such a run must not run
        again.
    """

    by_run: dict[bytes, DelegatedRun] = {}
    floors: dict[bytes, int] = {}


class DelegatedRunTable:
    """Runs for other agents, kept so that a repeated reply is the same."""

    def __init__(self, max_runs: int = MAX_DELEGATED_RUNS):
        self.state = DelegatedRunState({}, {})
        self._max_runs = max_runs

    def find(self, run_id: RunId) -> DelegatedRun | None:
        """Return a run, ``None`` if it is unknown or was forgotten."""
        return self.state.by_run.get(run_id)

    def may_add(self, run_id: RunId) -> bool:
        """Return whether a run can be added.

        It must not be one that may have been forgotten, and there must be
        room.
        """
        floor = self.state.floors.get(run_id[:8], -1)
        return len(self.state.by_run) < self._max_runs and (
            int.from_bytes(run_id[8:], 'big') > floor
        )

    def add(self, run_id: RunId, now: float) -> DelegatedRun:
        """Add a run that starts now."""
        run = DelegatedRun(now + DELEGATED_RUN_LIFETIME_S)
        self.state.by_run[run_id] = run
        return run

    def expire(self, now: float) -> None:
        """Remove expired runs; they are stored in the order of expiry."""
        by_run, floors = self.state.by_run, self.state.floors
        while by_run:
            run_id, run = next(iter(by_run.items()))
            if run.expires > now:
                return
            del by_run[run_id]
            owner = run_id[:8]
            counter = int.from_bytes(run_id[8:], 'big')
            floors[owner] = max(floors.pop(owner, -1), counter)
            if len(floors) > MAX_FLOORS:
                del floors[next(iter(floors))]
