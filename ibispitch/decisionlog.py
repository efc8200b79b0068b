"""Log lines on decisions, bounded and never blocking.

The lines go to standard output, one JSON object each. They are collected
and written when the event loop has time. A reader that stalls costs lines,
never packets: what does not fit is counted, and the count is written with
the next line that fits.
"""

from collections import Counter
from collections.abc import Callable
import os
from typing import Any

import msgspec

from ibispitch.forwarding.packets import flow_name
from ibispitch.forwarding.packets import FlowKey

#: Lines a second for decisions that went well. A balancer places some tens
#: of flows a second; the bound keeps a burst from filling the disk.
DECISIONS_PER_S = 100.0
#: Lines a second for failures and refusals, which explain complaints.
FAILURES_PER_S = 200.0
#: Bytes that wait for the reader of standard output at most.
MAX_WAITING_BYTES = 1 << 18


class _Rate:
    """Tokens that fill up with time, at most one second's worth."""

    def __init__(self, per_s: float):
        self._per_s = per_s
        self._tokens = per_s
        self._at = 0.0

    def take(self, now: float) -> bool:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._tokens = min(self._per_s, self._tokens + elapsed * self._per_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class DecisionLog:
    """Writes log lines of one process.

    :param process: name of the process, part of each line.
    :param unix_time: returns the time of day in seconds, for lines of
        several processes to be put in order.
    :param write: takes bytes and returns how many were taken; raises
        ``BlockingIOError`` if none.
    """

    def __init__(
        self,
        process: str,
        unix_time: Callable[[], float],
        write: Callable[[bytes], int],
    ):
        self._process = process
        self._unix_time = unix_time
        self._write = write
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._decisions = _Rate(DECISIONS_PER_S)
        self._failures = _Rate(FAILURES_PER_S)
        self._lines: list[bytes] = []
        self._size = 0
        self._left_out: Counter[str] = Counter()
        #: Events since the start, also those without a line.
        self.count_by_event: Counter[str] = Counter()

    def decision(
        self, event: str, flow: FlowKey, now: float, **inputs: Any
    ) -> None:
        """Log a decision on a flow; some are left out under load."""
        self._log(self._decisions, event, flow, now, inputs)

    def failure(
        self, event: str, flow: FlowKey, now: float, **inputs: Any
    ) -> None:
        """Log a decision that a caller may complain about."""
        self._log(self._failures, event, flow, now, inputs)

    def change(self, event: str, now: float, **fields: Any) -> None:
        """Log a change of what the process believes or does."""
        self._log(self._failures, event, None, now, fields)

    def _log(
        self,
        rate: _Rate,
        event: str,
        flow: FlowKey | None,
        now: float,
        fields: dict[str, Any],
    ) -> None:
        self.count_by_event[event] += 1
        if not rate.take(now):
            self._left_out[event] += 1
            return
        if flow is not None:
            fields = {'flow': flow_name(flow)} | fields
        if self._left_out and self._append(
            'log.left_out', now, dict(self._left_out)
        ):
            self._left_out.clear()
        if not self._append(event, now, fields):
            self._left_out[event] += 1

    def _append(self, event: str, now: float, fields: dict[str, Any]) -> bool:
        """Add a line if there is room for it."""
        line = self._encoder.encode(
            {
                'time': round(self._unix_time(), 3),
                'at': round(now, 3),
                'event': event,
                'process': self._process,
            }
            | fields
        )
        if self._size + len(line) >= MAX_WAITING_BYTES:
            return False
        self._lines.append(line)
        self._size += len(line) + 1
        return True

    def flush(self) -> None:
        """Write what the reader takes now and keep the rest."""
        if not self._lines:
            return
        data = b'\n'.join(self._lines) + b'\n'
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0
        if written < len(data):
            self._lines = [data[written:-1]]
            self._size = len(data) - written
        else:
            self._lines.clear()
            self._size = 0


def standard_output() -> Callable[[bytes], int]:
    """Return a writer to standard output that never blocks."""
    os.set_blocking(1, False)
    return lambda data: os.write(1, data)
