"""The file with the settings of the decisions under overload."""

import os
from pathlib import Path
import subprocess
import sys
import tomllib
from typing import get_args
from typing import get_type_hints

from msgspec import Meta
import pytest

from ibispitch.settings.documents import SettingsFileError
from ibispitch.settings.overload import ALL_OFF
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload_file import load_overload_settings
from ibispitch.settings.overload_file import parse_overload_settings
from ibispitch.story import read_lines
from testbed.flow_platform import settings_text

ROOT = Path(__file__).parents[2]
FILE = ROOT / 'deploy/overload.json5'


def _run(*arguments):
    return subprocess.run(
        [sys.executable, '-m', 'ibispitch.platform', *arguments],
        cwd=ROOT, capture_output=True, text=True, timeout=30,
        env=os.environ | {'IBISPITCH_BOOT': '/nonexistent'}, check=False,
    )  # fmt: skip


def test_defaults_and_values():
    """Guards against keys that are read but don't reach the settings."""
    assert parse_overload_settings('{}', 'o.json5') == ALL_OFF
    text = """{
      // comment
      scheduling: {mode: 'on', work_margin: 2, held_requests: 7},
      gate: {room_per_slot: 3},
    }"""
    settings = parse_overload_settings(text, 'o.json5')
    assert settings.scheduling == ALL_OFF.scheduling._replace(
        mode=Mode.ON, work_margin=2.0, held_requests=7
    )
    assert settings.gate == ALL_OFF.gate._replace(room_per_slot=3)
    assert settings.retries == ALL_OFF.retries


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        ('{schedulling: {}}', ['schedulling', 'unknown key']),
        ('{scheduling: {mod: "on"}}', ['scheduling.mod', 'unknown key']),
        ('{scheduling: {mode: "maybe"}}', ['scheduling.mode', "'maybe'"]),
        ('{scheduling: {work_margin: 0.5}}', ['work_margin', '>= 1']),
        ('{scheduling: {work_margin: "2"}}', ['work_margin', 'float']),
        ('{scheduling: {held_bytes: 1.5}}', ['held_bytes', 'int']),
        ('{gate: {room_per_slot: 0}}', ['gate.room_per_slot', '>= 1']),
        ('{gate: {room_per_slot: 101}}', ['gate.room_per_slot', '<= 100']),
        ('{scheduling: {min_share: 1.1}}', ['min_share', '<= 1']),
        # A section of an earlier version.
        ('{sharing: {mode: "off"}}', ['sharing', 'unknown key']),
        ('{scheduling', ['not JSON']),
    ],
)
def test_error_names_file_key_and_remedy(text, parts):
    """Guards against errors that leave the operator to search the cause."""
    with pytest.raises(SettingsFileError) as caught:
        parse_overload_settings(text, 'o.json5')
    message = str(caught.value)
    assert message.startswith('o.json5: ')
    assert all(part in message for part in parts), message


def test_each_figure_has_a_range():
    """Guards against a new figure that accepts any value."""
    for name, section in get_type_hints(OverloadSettings).items():
        hints = get_type_hints(section, include_extras=True)
        for key in hints.keys() - {'mode'}:
            ranges = [a for a in get_args(hints[key]) if isinstance(a, Meta)]
            assert len(ranges) == 1, f'{name}.{key}'
            assert ranges[0].ge is not None, f'{name}.{key}'
            assert ranges[0].le is not None, f'{name}.{key}'


def test_deployed_file_is_read_by_both_roles():
    """Guards against a deployment without the settings, or with bad ones."""
    settings = load_overload_settings(FILE)
    modes = {key: part.mode for key, part in settings._asdict().items()}
    assert set(modes.values()) == {Mode.AUTO}
    roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
    option = f'--overload-settings {FILE.relative_to(ROOT)}'
    assert all(option in role['run'] for role in roles.values())


@pytest.mark.parametrize('role', ['agent', 'balancer'])
def test_process_exits_on_an_invalid_file(role, tmp_path):
    """Guards against a process that serves with other settings than given."""
    path = tmp_path / 'o.json5'
    path.write_text('{gate: {room_per_slot: -1}}')
    for arguments in (
        ['--overload-settings', path], [f'--overload-settings={path}']
    ):  # fmt: skip
        result = _run(role, *arguments)
        assert result.returncode == 2
        assert f'{path}: gate.room_per_slot: -1: ' in result.stderr
    result = _run(role, '--overload-settings', tmp_path / 'none.json5')
    assert result.returncode == 2
    assert 'none.json5' in result.stderr
    assert 'Traceback' not in result.stderr


def test_unknown_options_are_refused():
    """Guards against a misspelt option that leaves all components off."""
    for arguments in (['--overload', 'x'], ['--overload-settings']):
        result = _run('agent', *arguments)
        assert result.returncode == 2
        assert result.stderr.startswith('usage: ')


def test_platform_programs_need_only_the_deployed_libraries():
    """Guards against an import that fails on the platform at the start.

    The platform installs the libraries of deploy/requirements.txt only.
    """
    code = (
        'import sys\n'
        'sys.modules["expression"] = sys.modules["click"] = None\n'
        'import ibispitch.platform.agent, ibispitch.platform.balancer\n'
        'assert "pyjson5" not in sys.modules\n'
        'from ibispitch.settings.overload_file import *\n'
        'load_overload_settings("deploy/overload.json5")\n'
    )
    subprocess.run([sys.executable, '-c', code], cwd=ROOT, check=True)
    lock = (ROOT / 'requirements.lock').read_text().split()
    wanted = (ROOT / 'deploy/requirements.txt').read_text()
    assert 'pyjson5' in wanted
    assert next(ln for ln in lock if ln.startswith('pyjson5=')) in wanted


def test_modes_are_logged_at_the_start(tmp_path):
    """Guards against a process that doesn't say which parts are active."""
    path = tmp_path / 'settings.conf'
    path.write_text(settings_text('e1', '127.0.0.1', 'dc1', []))
    code = (
        'from ibispitch.platform.node import run_node\n'
        'from ibispitch.settings.overload_file import *\n'
        'async def work(node):\n'
        '    assert node.overload.scheduling.mode.value == "auto"\n'
        'run_node(work, load_overload_settings("deploy/overload.json5"))\n'
    )
    result = subprocess.run(
        [sys.executable, '-c', code], cwd=ROOT, check=True,
        capture_output=True, text=True, timeout=30,
        env=os.environ | {'IBISPITCH_BOOT': str(path)},
    )  # fmt: skip
    lines = read_lines(result.stdout.splitlines())
    modes = next(ln.inputs for ln in lines if ln.event == 'overload.settings')
    assert modes == {
        'scheduling': 'auto', 'gate': 'auto', 'retries': 'auto',
    }  # fmt: skip
