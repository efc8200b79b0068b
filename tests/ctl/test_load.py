"""Tests of ``ibispitchctl load`` on recorded log lines."""

import json
from pathlib import Path

from click.testing import CliRunner
import pytest

from ibispitch.ctl import main
from ibispitch.ctl.exits import Exit
from ibispitch.loadreport import report_load
from ibispitch.story import Line

RECORDED = str(Path(__file__).parents[2] / 'docs/stories/overload.jsonl')


def _load(*arguments, text=None):
    return CliRunner().invoke(main, ['load', *arguments], input=text)


def _lines_of(event):
    texts = Path(RECORDED).read_text().splitlines()
    return [ln for ln in map(json.loads, texts) if ln['event'] == event]


def test_counts_are_those_of_the_recorded_lines():
    """Guards against a report that misses lines of an overload."""
    report = json.loads(_load(RECORDED, '--output', 'json').stdout)
    waiting = report['waiting']
    assert {(w['service'], w['datacentre']) for w in waiting} == {
        ('counter', 'accra')
    }
    assert {w['kind'] for w in waiting} == {'safe', 'unsafe'}
    held = sum(w['held'] for w in waiting)
    assert held == len(_lines_of('request.held')) > 0
    refused = sum(sum(w['refused'].values()) for w in waiting)
    resets = [ln for ln in _lines_of('flow.reset') if 'kind' in ln]
    assert refused == len(resets) + len(_lines_of('flow.not_placed')) > 0
    placed = [ln for ln in _lines_of('flow.placed') if not ln['copy']]
    assert sum(s['openings'] for s in report['spread']) == len(placed)


def test_constraint_changes_when_all_upstreams_restart():
    """Guards against an operator who adds slots when cold starts bind."""
    report = json.loads(_load(RECORDED, '--output', 'json').stdout)
    counts = [s['count_by_constraint'] for s in report['seconds']]
    assert list(counts[0]) == ['slots']
    assert any(c.get('cold starts', 0) > c.get('slots', 0) for c in counts)


def test_lines_that_were_left_out_are_counted_and_named():
    """Guards against counts that look complete but are not."""
    left_out = {
        'time': 1.0, 'process': 'b', 'event': 'log.left_out', 'at': 1.0,
        'flow.reset': 40, 'flow.placed': 2,
    }  # fmt: skip
    reset = {
        'time': 1.2, 'process': 'b', 'event': 'flow.reset', 'flow': 'f',
        'why': 'no route', 'service': '', 'kind': '',
    }  # fmt: skip
    text = '\n'.join(map(json.dumps, (left_out, reset)))
    output = _load(text=text).stdout
    assert '42 lines were left out' in output
    assert 'flow.reset: 40' in output
    report = json.loads(_load('--output', 'json', text=text).stdout)
    assert report['left_out'] == 42
    resets = [e for e in report['events'] if e['event'] == 'flow.reset']
    assert resets == [{'event': 'flow.reset', 'lines': 1, 'left_out': 40}]
    assert 'left out' not in _load(text=json.dumps(reset)).stdout


@pytest.mark.parametrize(
    ('counts', 'idle', 'over_mean'),
    [((3, 1), 0, 1.5), ((4,), 1, 2.0), ((2, 2), 0, 1.0)],
)
def test_busiest_agent_over_mean(counts, idle, over_mean):
    """Guards against a mean that forgets agents without openings."""
    lines = [
        Line(
            0.0, f'a{number}', 'process.started',
            {'ip': f'10.0.0.{number}', 'service': 's', 'datacentre': 'd'},
        )
        for number in range(len(counts) + idle)
    ]  # fmt: skip
    lines += [
        Line(
            1.0, 'b', 'flow.placed',
            {'agent': f'10.0.0.{number}', 'service': 's', 'datacentre': 'd',
             'kind': 'safe', 'waited_ms': 0, 'copy': 0},
        )
        for number, count in enumerate(counts)
        for _ in range(count)
    ]  # fmt: skip
    (spread,) = report_load(lines).spreads
    assert spread.agents == len(counts) + idle
    assert spread.over_mean == over_mean


def test_lines_of_older_processes_are_read():
    """Guards against a failure on lines without service, kind and place."""
    line = {
        'time': 1.0, 'process': 'b', 'event': 'flow.placed', 'flow': 'f',
        'agent': '10.0.0.1', 'waited_ms': 70,
    }  # fmt: skip
    result = _load(text=json.dumps(line))
    assert result.exit_code == Exit.OK
    assert '10.0.0.1' in result.stdout
    empty = _load(text='no line')
    assert empty.exit_code == Exit.NOT_FOUND
    assert 'logs of all balancers and agents' in empty.stderr


def test_explain_shows_a_held_request_with_its_figures():
    """Guards against held requests that ``explain`` leaves out."""
    held = _lines_of('request.held')[0]
    result = CliRunner().invoke(
        main, ['explain', held['request'], RECORDED, '--output', 'json']
    )
    inputs = {ln['event']: ln['inputs'] for ln in json.loads(result.stdout)}
    assert {'held', 'slots', 'passed', 'work_ms'} <= inputs[
        'request.held'
    ].keys()
    assert 'held_ms' in inputs['request.released']
