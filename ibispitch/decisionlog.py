"""Log of decisions, limited in rate and never blocking.

The lines are JSON objects on standard output. They are buffered, and
:meth:`DecisionLog.flush` writes them. If the reader of standard output
stalls, lines are dropped instead of delaying packets. Dropped lines are
counted, and the counts are logged before the next line that fits.
"""

from collections import Counter
from collections.abc import Callable
import os
from typing import Any

import msgspec

from ibispitch.forwarding.packets import flow_name
from ibispitch.forwarding.packets import FlowKey

#: Maximum rate of lines on normal decisions. A balancer places some tens of
#: flows per second; the limit keeps a burst from filling the disk.
DECISIONS_PER_S = 100.0
#: Maximum rate of lines on failures, refusals and changes of state, which are
#: needed to explain complaints of callers.
FAILURES_PER_S = 200.0
#: Maximum size of the buffered lines.
MAX_WAITING_BYTES = 1 << 18


class _TokenBucket:
    """Token bucket that holds the tokens of one second at most."""

    def __init__(self, per_s: float):
        self._per_s = per_s
        self._tokens = per_s
        self._filled_at = 0.0

    def try_take(self, now: float) -> bool:
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._per_s, self._tokens + elapsed * self._per_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class DecisionLog:
    """Writes the decision log of one process.

    :param process: name of the process, part of each line.
    :param unix_time: returns the Unix time in seconds, by which lines of
        several processes can be sorted.
    :param write: writes bytes without blocking and returns the number of
        written bytes; raises ``BlockingIOError`` if it can write none.
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
        self._decision_bucket = _TokenBucket(DECISIONS_PER_S)
        self._failure_bucket = _TokenBucket(FAILURES_PER_S)
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._left_out: Counter[str] = Counter()
        #: Number of events since the start, dropped lines included.
        self.count_by_event: Counter[str] = Counter()

    def decision(
        self, event: str, flow: FlowKey, now: float, **inputs: Any
    ) -> None:
        """Log a normal decision on a flow, at most ``DECISIONS_PER_S``."""
        self._log(self._decision_bucket, event, flow, now, inputs)

    def failure(
        self, event: str, flow: FlowKey, now: float, **inputs: Any
    ) -> None:
        """Log a failure or refusal of a flow, at most ``FAILURES_PER_S``.

        Lines of :meth:`change` count towards the same limit.
        """
        self._log(self._failure_bucket, event, flow, now, inputs)

    def change(self, event: str, now: float, **fields: Any) -> None:
        """Log a change of the state of the process or its view of others."""
        self._log(self._failure_bucket, event, None, now, fields)

    def _log(
        self,
        bucket: _TokenBucket,
        event: str,
        flow: FlowKey | None,
        now: float,
        fields: dict[str, Any],
    ) -> None:
        self.count_by_event[event] += 1
        if not bucket.try_take(now):
            self._left_out[event] += 1
            return
        if flow is not None:
            fields = {'flow': flow_name(flow)} | fields
        if self._left_out and self._buffer_line(
            'log.left_out', now, dict(self._left_out)
        ):
            self._left_out.clear()
        if not self._buffer_line(event, now, fields):
            self._left_out[event] += 1

    def _buffer_line(
        self, event: str, now: float, fields: dict[str, Any]
    ) -> bool:
        """Buffer a line.

        :returns: whether there was room for it.
        """
        line = self._encoder.encode(
            {
                'time': round(self._unix_time(), 3),
                'at': round(now, 3),
                'event': event,
                'process': self._process,
            }
            | fields
        )
        if self._buffered_bytes + len(line) >= MAX_WAITING_BYTES:
            return False
        self._lines.append(line)
        self._buffered_bytes += len(line) + 1
        return True

    def flush(self) -> None:
        """Write as many buffered bytes as possible and keep the rest."""
        if not self._lines:
            return
        data = b'\n'.join(self._lines) + b'\n'
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0
        if written < len(data):
            self._lines = [data[written:-1]]
            self._buffered_bytes = len(data) - written
        else:
            self._lines.clear()
            self._buffered_bytes = 0


def standard_output() -> Callable[[bytes], int]:
    """Return a function that writes to standard output without blocking.

    Standard output is set to non-blocking mode.
    """
    os.set_blocking(1, False)
    return lambda data: os.write(1, data)
