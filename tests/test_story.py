"""Tests that log lines lead from a failed request to the cause."""

import json
from pathlib import Path

from click.testing import CliRunner
import pytest

from ibispitch.ctl.program import main
from ibispitch.story import read_lines
from ibispitch.story import related_lines
from testbed.stories import run_story
from testbed.stories import SCRIPT_BY_NAME

STORIES = Path(__file__).parent.parent / 'docs/stories'
CAUSE_BY_STORY = {
    'frozen': ('fleet.agent', 'state', 'SILENT'),
    'ended': ('flow.reset', 'why', 'upstream ended'),
    'refused': ('flow.reset', 'why', 'cannot be served in time'),
    'overload': ('request.held', 'slots', 1),
}
FLOW_BY_STORY = {
    'frozen': '100.64.0.1:1024',
    'ended': '100.64.0.1:1024',
    'refused': '100.64.0.5:1025',
    'overload': '100.64.0.21:1031',
}


@pytest.mark.parametrize('name', SCRIPT_BY_NAME)
def test_committed_lines_explain(name):
    """The committed log lines of the page must show the cause."""
    texts = (STORIES / f'{name}.jsonl').read_text().splitlines()
    lines = related_lines(read_lines(texts), FLOW_BY_STORY[name])
    event, key, value = CAUSE_BY_STORY[name]
    assert any(
        line.event == event and line.inputs.get(key) == value for line in lines
    )
    assert lines == sorted(lines, key=lambda line: line.time)


@pytest.mark.parametrize('name', SCRIPT_BY_NAME)
def test_lines_of_present_code_explain(name):
    """The log lines of the present code must show the cause."""
    story = run_story(name)
    lines = read_lines(json.dumps(line) for line in story.lines)
    event, key, value = CAUSE_BY_STORY[name]
    assert any(
        line.event == event and line.inputs.get(key) == value
        for line in related_lines(lines, story.flow)
    )


def test_command():
    """The command must work without settings and without a store."""
    path = str(STORIES / 'frozen.jsonl')
    result = CliRunner().invoke(main, ['explain', '0000000000000001', path])
    assert result.exit_code == 0
    assert 'request.passed' in result.output
    as_json = CliRunner().invoke(
        main, ['--output', 'json', 'explain', '100.64.0.1:1024', path]
    )
    events = [line['event'] for line in json.loads(as_json.output)]
    assert 'flow.placed' in events
    missing = CliRunner().invoke(main, ['explain', 'nobody', path])
    assert missing.exit_code == 4
    assert 'logs of all balancers and agents' in missing.output
