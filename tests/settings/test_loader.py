"""Settings files, and the error messages for invalid ones."""

import pytest

from ibispitch.settings.loader import load_settings
from ibispitch.settings.loader import parse_struct
from ibispitch.settings.programs import BalancerSettings

SECRET = 'ab' * 16
BASE = """{
  balancer_id: "b1", datacentre: "accra", // one process
  data_address: "127.0.0.1:1", control_address: "127.0.0.1:2",
  admin_address: "127.0.0.1:3", shared_keys: ["%s"],
  store: {endpoints: ["127.0.0.1:4"]},
  %s
}"""


def _error_text(extra, key=SECRET):
    result = parse_struct(BASE % (key, extra), 'b.json', BalancerSettings)
    assert result.is_error()
    text = str(result.error)
    assert '\n' not in text
    return text


def test_comments_are_accepted():
    """Comments must be accepted, which plain JSON parsers reject."""
    settings = parse_struct(BASE % (SECRET, ''), 'b.json', BalancerSettings).ok
    assert settings.decoded_shared_keys == [bytes.fromhex(SECRET)]


@pytest.mark.parametrize(
    ('extra', 'parts'),
    [
        ('seedz: []', ['seedz', 'unknown key']),
        ('seeds: "x"', ['seeds', "'x'", 'array']),
        ('seeds: ["x:1"]', ['seeds[0]', "'x:1'", 'IPv4']),
        ('stop_deadline_s: -1', ['stop_deadline_s', '-1', '> 0']),
        ('log: {level: "loud"}', ['log.level', "'loud'", 'debug']),
        ('metrics: {exporter: "push"}', ['metrics.endpoint', 'http://']),
        ('store: {}', ['store.endpoints', 'missing']),
        ('{', ['not JSON']),
    ],
)
def test_error_names_file_key_value_and_remedy(extra, parts):
    """An error must name the file, the key, the value and the remedy."""
    text = _error_text(extra)
    assert text.startswith('b.json: ')
    assert all(part in text for part in parts), text


def test_secrets_are_not_shown():
    """Error messages are logged and must not contain secrets."""
    assert 'cd' * 5 not in _error_text('', key='cd' * 5)
    token = 'hunter2'
    assert token not in _error_text(f'tokens: [{{token: "{token}"}}]')


def test_unreadable_file(tmp_path):
    """A missing or truncated file must give an error, not a traceback."""
    assert load_settings(tmp_path / 'none.json', BalancerSettings).is_error()
    truncated = tmp_path / 'truncated.json'
    truncated.write_bytes(b'{"balancer_id": "b\xff')
    assert load_settings(truncated, BalancerSettings).is_error()
