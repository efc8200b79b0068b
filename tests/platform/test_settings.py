"""Settings of the platform: types, and errors that name the remedy."""

import os
import subprocess
import sys

import pytest

from ibispitch.ids import Address
from ibispitch.platform.settings import parse_settings
from ibispitch.platform.settings import SettingsError

TEXT = """
node_name=side-accra-1
ip=10.1.0.12
zone=accra
listen.datagram_addr=10.1.0.12:8172
listen.outbound=10.1.0.12:8162
listen.ready=10.1.0.12:8167
listen.control=10.1.0.12:8166
internal_ports=7720,7735
seeds=10.1.0.10:8166,10.2.0.40:8166
bootstrap=true
heartbeat_ms=1200
bounds.config_ms=3000
bounds.grace_s=6
bounds.cold_factor=1.5
bounds.cold_slack=5
app=10.1.0.12:8165
service=huvo11a
platform.address=10.200.1.7:8169
a.field.of.tomorrow=1
"""


def test_settings_are_typed():
    """Guards against settings that are decoded into wrong fields."""
    settings = parse_settings(TEXT)
    assert settings.peer_address == Address('10.1.0.12', 7720)
    assert settings.seed_ips == ('10.1.0.10', '10.2.0.40')
    assert settings.heartbeat_s == 1.2
    assert settings.is_first_start
    assert settings.bounds.cold == (1.5, 5.0)
    assert settings.upstream_address == Address('10.1.0.12', 8165)


@pytest.mark.parametrize(
    'key', ['ip', 'listen.ready', 'platform.address', 'bounds.config_ms']
)
def test_missing_setting_is_named(key):
    """Guards against a start without a required setting."""
    text = '\n'.join(
        line for line in TEXT.splitlines() if not line.startswith(f'{key}=')
    )
    with pytest.raises(SettingsError, match=f'{key} is missing; add {key}='):
        parse_settings(text)


@pytest.mark.parametrize(
    'line',
    ['heartbeat_ms=soon', 'listen.ready=10.1.0.12', 'bootstrap=maybe'],
)
def test_malformed_setting_is_named(line):
    """Guards against errors that do not name the malformed setting."""
    key = line.split('=')[0]
    with pytest.raises(SettingsError, match=f'{key}=.* is malformed'):
        parse_settings(f'{TEXT}\n{line}')


@pytest.mark.parametrize('role', ['balancer', 'agent'])
def test_program_exits_without_a_traceback(role, tmp_path):
    """Guards against a traceback instead of one line."""
    path = tmp_path / 'settings.conf'
    path.write_text('ip=10.1.0.12\n')
    result = subprocess.run(
        [sys.executable, '-m', 'ibispitch.platform', role],
        env=os.environ | {'IBISPITCH_BOOT': str(path)},
        capture_output=True, text=True, timeout=20,
    )  # fmt: skip
    assert result.returncode == 2
    assert 'node_name is missing' in result.stderr
    assert 'Traceback' not in result.stderr


def test_unknown_role():
    """Guards against a start with a misspelt role in the deploy file."""
    result = subprocess.run(
        [sys.executable, '-m', 'ibispitch.platform', 'router'],
        capture_output=True, text=True, timeout=20,
    )  # fmt: skip
    assert result.returncode == 2
    assert 'usage:' in result.stderr
