"""Tests of the decision log, which is limited in rate and never blocks."""

import json

from ibispitch.decisionlog import DecisionLog
from ibispitch.decisionlog import DECISIONS_PER_S
from ibispitch.decisionlog import MAX_WAITING_BYTES

FLOW = bytes([7, 0, 64, 100, 65, 156, 1, 0, 18, 198, 187, 1])


class Reader:
    """Reader of the log that accepts a settable number of bytes per write."""

    def __init__(self):
        self.data = b''
        self.accepted_bytes = 1 << 30

    def write(self, data: bytes) -> int:
        if self.accepted_bytes == 0:
            raise BlockingIOError
        accepted = data[: self.accepted_bytes]
        self.data += accepted
        return len(accepted)

    def lines(self) -> list[dict]:
        return [json.loads(line) for line in self.data.splitlines()]


def test_line_has_its_inputs():
    """A line must have all inputs that explain the decision."""
    reader = Reader()
    log = DecisionLog('balancer-1', lambda: 9.0, reader.write)
    log.decision('flow.placed', FLOW, 1.5, agent='10.0.0.1', age_ms=3)
    log.flush()
    assert reader.lines() == [
        {
            'time': 9.0, 'at': 1.5, 'event': 'flow.placed',
            'process': 'balancer-1',
            'flow': '100.64.0.7:40001>198.18.0.1:443',
            'agent': '10.0.0.1', 'age_ms': 3,
        }
    ]  # fmt: skip


def test_volume_is_bounded_and_failures_go_first():
    """A burst of decisions must neither fill the disk nor hide failures."""
    reader = Reader()
    log = DecisionLog('balancer-1', lambda: 9.0, reader.write)
    for number in range(10_000):
        log.decision('flow.placed', FLOW, number / 10_000)
    for number in range(100):
        log.failure('flow.reset', FLOW, 0.9 + number / 1000, why='test')
    log.flush()
    events = [line['event'] for line in reader.lines()]
    assert events.count('flow.placed') <= 2 * DECISIONS_PER_S
    assert events.count('flow.reset') == 100
    left_out = [ln for ln in reader.lines() if ln['event'] == 'log.left_out']
    assert sum(line['flow.placed'] for line in left_out) > 9_000
    assert log.count_by_event['flow.placed'] == 10_000


def test_stalled_reader_costs_lines_only():
    """A stalled reader must not block the process or fill its memory."""
    reader = Reader()
    reader.accepted_bytes = 0
    log = DecisionLog('balancer-1', lambda: 9.0, reader.write)
    for number in range(50_000):
        log.failure('flow.reset', FLOW, number / 100, why='test')
        if number % 100 == 0:
            log.flush()
    assert log._buffered_bytes <= MAX_WAITING_BYTES
    reader.accepted_bytes = 1 << 30
    log.flush()
    log.failure('flow.reset', FLOW, 1000.0, why='test')
    log.flush()
    lines = reader.lines()
    missing = sum(
        line.get('flow.reset', 0)
        for line in lines
        if line['event'] == 'log.left_out'
    )
    resets = sum(line['event'] == 'flow.reset' for line in lines)
    assert missing + resets == 50_001


def test_partial_write_keeps_lines_whole():
    """A line that was written in part must be completed."""
    reader = Reader()
    reader.accepted_bytes = 10
    log = DecisionLog('balancer-1', lambda: 9.0, reader.write)
    log.change('process.started', 0.0)
    log.flush()
    reader.accepted_bytes = 1 << 30
    log.change('process.stopped', 1.0)
    log.flush()
    events = [line['event'] for line in reader.lines()]
    assert events == ['process.started', 'process.stopped']
