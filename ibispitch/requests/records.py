"""Records of requests that run at most once, and of delegated runs."""

import msgspec

from ibispitch.admission.types import RunId
from ibispitch.ids import FLOW_ID_BYTES
from ibispitch.ids import FlowId
from ibispitch.ids import RequestId
from ibispitch.requests.messages import RunReply
from ibispitch.requests.timers import Timers

#: Records that an agent keeps. A request beyond them is not admitted.
MAX_RECORDS = 200_000
#: Bytes of answers that are kept for repeated requests.
MAX_ANSWER_BYTES = 32 << 20
#: Time in seconds for which a delegate remembers a run. The owner gives a
#: run up after its deadline, which is shorter.
RUN_LIFETIME_S = 300.0
MAX_RUNS = 200_000
#: Owners whose oldest acceptable run is remembered.
MAX_FLOORS = 65_536

#: Time in seconds after which an expired record is looked at again when a
#: run of it has not ended.
RECHECK_S = 1.0

UNSET = (-1, -1)


class Part(msgspec.Struct, array_like=True):
    """One block of a request; a request without blocks has one part.

    :param digest: hash of the request, to detect another request under the
        same request id.
    :param run_id: the run in progress, ``None`` after its end.
    :param answer: the answer without message id and token, ``None`` while
        it runs and when it was dropped for lack of memory.
    """

    digest: bytes
    run_id: RunId | None = None
    answer: bytes | None = None


class Record(msgspec.Struct, array_like=True):
    """What is known of one request of one flow.

    :param expires: time at which the Echo value that admitted it expires.
    :param deadline: deadline of the first part, valid for all.
    :param parts: by Block1 and Block2 number.
    :param final_part: the part that makes the upstream run the request, if
        it was passed on; no other part may do so.
    :param refused: whether a caller was told that it was not run.
    """

    expires: float
    deadline: float
    parts: dict[tuple[int, int], Part] = {}
    final_part: tuple[int, int] = UNSET
    refused: bool = False

    def is_over(self, now: float) -> bool:
        """Tell whether it has expired and nothing of it runs."""
        return self.expires <= now and all(
            part.run_id is None for part in self.parts.values()
        )

    @property
    def answer_bytes(self) -> int:
        """Bytes of the answers that are kept."""
        return sum(len(part.answer or b'') for part in self.parts.values())


class RecordState(msgspec.Struct):
    """What is handed to a successor."""

    by_request: dict[bytes, Record] = {}
    answer_bytes: int = 0


def record_key(flow: FlowId, request_id: RequestId) -> bytes:
    """Return the key of a record; a flow id has a fixed length."""
    return flow + request_id


class RecordTable:
    """Records by flow and request id, bounded in number and bytes."""

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
        """Return the record of a request that has not expired."""
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
        self._index(key, record)
        return True

    def set_answer(self, part: Part, answer: bytes) -> None:
        """Keep an answer; the oldest answers make room for it."""
        self.state.answer_bytes += len(answer) - len(part.answer or b'')
        part.run_id, part.answer = None, answer
        if self.state.answer_bytes > self._max_answer_bytes:
            self._drop_answers()

    def take_flow(self, flow: FlowId) -> dict[bytes, Record]:
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
                due = max(record.expires, now + RECHECK_S)
                self._timers.set(due, key)

    def restore(self, state: RecordState) -> None:
        """Take over the records of a predecessor."""
        self.state = state
        for key, record in state.by_request.items():
            self._index(key, record)

    def _index(self, key: bytes, record: Record) -> None:
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
        # A refusal has a few bytes and must stay true, so only answers of
        # requests that ran are dropped. Half is freed at once to keep the
        # scans rare.
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

    :param reply: what was said about it, ``None`` while it runs.
    """

    expires: float
    reply: RunReply | None = None


class DelegatedRunState(msgspec.Struct):
    """What is handed to a successor.

    :param by_run: runs by run id.
    :param floors: highest counter that was forgotten, by incarnation of the
        owner; a repetition of such a run must not run again.
    """

    by_run: dict[bytes, DelegatedRun] = {}
    floors: dict[bytes, int] = {}


class DelegatedRunTable:
    """Runs for other agents, kept so that what was said stays true."""

    def __init__(self, max_runs: int = MAX_RUNS):
        self.state = DelegatedRunState({}, {})
        self._max_runs = max_runs

    def find(self, run_id: RunId) -> DelegatedRun | None:
        """Return a run that is still remembered."""
        return self.state.by_run.get(run_id)

    def may_add(self, run_id: RunId) -> bool:
        """Tell whether an unknown run is certainly new and has room."""
        floor = self.state.floors.get(run_id[:8], -1)
        return len(self.state.by_run) < self._max_runs and (
            int.from_bytes(run_id[8:], 'big') > floor
        )

    def add(self, run_id: RunId, now: float) -> DelegatedRun:
        """Add a run that starts now."""
        run = DelegatedRun(now + RUN_LIFETIME_S)
        self.state.by_run[run_id] = run
        return run

    def expire(self, now: float) -> None:
        """Forget old runs; they were added in the order of expiry."""
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
