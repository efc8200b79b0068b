"""Settings file of the platform.

It has lines of the form ``a.b=value``, which are decoded into
:class:`NodeSettings`. Keys that are not needed are ignored.
"""

from collections.abc import Callable
from collections.abc import Mapping
import os
from pathlib import Path
from typing import Any
from typing import NamedTuple

from ibispitch.decoding import MAX_NUMBER
from ibispitch.gate.core import ColdLimits
from ibispitch.ids import Address
from ibispitch.ids import DatacentreName
from ibispitch.ids import parse_address
from ibispitch.ids import ServiceName

SETTINGS_PATH_VARIABLE = 'IBISPITCH_BOOT'
DEFAULT_SETTINGS_PATH = '/etc/ibispitch/settings.conf'
EXIT_SETTINGS = 2


class SettingsError(Exception):
    """A setting is missing or malformed."""


class Bounds(NamedTuple):
    """Bounds that the platform's operators set.

    :param configuration_s: time within which new routes must be in force.
    :param stability_s: time after a disruption in which a process does not
        have to keep the other bounds.
    :param stop_s: time between the signal to stop and the kill.
    :param cold: limits of new flows for cold upstreams.
    """

    configuration_s: float
    stability_s: float
    stop_s: float
    cold: ColdLimits


class NodeSettings(NamedTuple):
    """Settings of a process and its host.

    :param packet_address: address for callers' packets. Callers have the
        same port.
    :param peer_address: address for frames and status messages.
    :param readiness_address: address for the platform's readiness checks.
    :param heartbeat_address: address for heartbeats of upstreams, if the
        process serves them.
    :param upstream_reply_address: address to which the upstream sends its
        packets.
    :param upstream_address: address at which the upstream receives packets.
    :param link_mbps: capacity of the host's link in Mbit/s.
    :param seed_ips: hosts that may know other hosts.
    :param is_first_start: whether the whole fleet starts for the first time.
    """

    name: str
    ip: str
    datacentre: DatacentreName
    packet_address: Address
    peer_address: Address
    readiness_address: Address
    heartbeat_address: Address | None
    upstream_reply_address: Address | None
    upstream_address: Address | None
    service: ServiceName
    store_address: Address
    seed_ips: tuple[str, ...]
    is_first_start: bool
    heartbeat_s: float
    link_mbps: float
    bounds: Bounds


def load_settings() -> NodeSettings:
    """Read the settings file that the environment variable names.

    :raises SettingsError: if it cannot be read or lacks a setting.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH)
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{path}: {error}; set {SETTINGS_PATH_VARIABLE} to a readable file'
        ) from error
    try:
        return parse_settings(text)
    except SettingsError as error:
        raise SettingsError(f'{path}: {error}') from error


def parse_settings(text: str) -> NodeSettings:
    """Decode the text of a settings file.

    :raises SettingsError: if a setting is missing or malformed.
    """
    values = dict(
        line.strip().split('=', 1)
        for line in text.splitlines()
        if '=' in line and not line.lstrip().startswith('#')
    )
    read = _SettingReader(values)
    ip = read('ip', str)
    return NodeSettings(
        name=read('node_name', str),
        ip=ip,
        datacentre=DatacentreName(read('zone', str)),
        packet_address=read('listen.datagram_addr', parse_address),
        peer_address=Address(ip, read('internal_ports', _parse_first_port)),
        readiness_address=read('listen.ready', parse_address),
        heartbeat_address=read('listen.control', parse_address, None),
        upstream_reply_address=read('listen.outbound', parse_address, None),
        upstream_address=read('app', parse_address, None),
        service=ServiceName(read('service', str, '')),
        store_address=read('platform.address', parse_address),
        seed_ips=read('seeds', _parse_ips, ()),
        is_first_start=read('bootstrap', _parse_flag, False),
        heartbeat_s=read('heartbeat_ms', _parse_milliseconds),
        link_mbps=read('limits.link_mbps', _parse_quantity, 0.0),
        bounds=Bounds(
            configuration_s=read('bounds.config_ms', _parse_milliseconds),
            stability_s=read('bounds.stability_ms', _parse_milliseconds, 0.0),
            stop_s=read('bounds.grace_s', _parse_quantity),
            cold=ColdLimits(
                read('bounds.cold_factor', _parse_quantity, 1.0),
                read('bounds.cold_slack', _parse_quantity, 0.0),
            ),
        ),
    )


class _Required:
    """Default of settings that are required."""


class _SettingReader:
    """Decodes single settings; errors name the setting."""

    def __init__(self, values: Mapping[str, str]):
        self._values = values

    def __call__(
        self,
        key: str,
        parse: Callable[[str], Any],
        default: Any = _Required,
    ) -> Any:
        text = self._values.get(key, '').strip()
        if not text:
            if default is _Required:
                raise SettingsError(f'{key} is missing; add {key}=VALUE')
            return default
        try:
            return parse(text)
        except ValueError as error:
            raise SettingsError(
                f'{key}={text} is malformed ({error}); correct the value'
            ) from error


def _parse_first_port(text: str) -> int:
    port = int(text.split(',')[0])
    if not 0 < port < 1 << 16:
        raise ValueError('not a port from 1 to 65535')
    return port


def _parse_ips(text: str) -> tuple[str, ...]:
    return tuple(
        parse_address(part).ip for part in text.split(',') if part.strip()
    )


def _parse_flag(text: str) -> bool:
    if text not in ('true', 'false'):
        raise ValueError('neither true nor false')
    return text == 'true'


def _parse_milliseconds(text: str) -> float:
    return _parse_quantity(text) / 1000


def _parse_quantity(text: str) -> float:
    value = float(text)
    if not 0.0 <= value <= MAX_NUMBER:
        raise ValueError('not a number from 0')
    return value
