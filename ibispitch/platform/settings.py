"""Settings file of the platform.

Lines of the form ``a.b=value``. They are read once into
:class:`NodeSettings`; keys that are not needed are ignored.
"""

from collections.abc import Callable
from collections.abc import Mapping
import os
from pathlib import Path
from typing import Any
from typing import NamedTuple

from ibispitch.gate.core import ColdLimits
from ibispitch.ids import Address
from ibispitch.ids import DatacentreName
from ibispitch.ids import parse_address
from ibispitch.ids import ServiceName

PATH_VARIABLE = 'IBISPITCH_BOOT'
DEFAULT_PATH = '/etc/ibispitch/settings.conf'
EXIT_SETTINGS = 2


class SettingsError(Exception):
    """A setting that is missing or malformed."""


class Bounds(NamedTuple):
    """Bounds that the operators of the platform state.

    :param configuration_s: time after which new routes are in force.
    :param stability_s: time after a disruption in which the platform does
        not expect a process to keep the other bounds.
    :param stop_s: time between the signal to stop and the kill.
    """

    configuration_s: float
    stability_s: float
    stop_s: float
    cold: ColdLimits


class NodeSettings(NamedTuple):
    """What a process needs to know of its host.

    :param packets: address for packets; callers are reached at its port.
    :param peers: address for frames and status messages.
    :param heartbeats: address for heartbeats, if the process serves them.
    :param from_upstream: address to which the upstream sends its packets.
    :param upstream: address at which the upstream takes packets.
    :param link_mbps: what the host's link bears, in Mbit/s.
    :param seed_ips: hosts that may know others.
    :param is_first_start: whether the whole fleet starts for the first time.
    """

    name: str
    ip: str
    datacentre: DatacentreName
    packets: Address
    peers: Address
    readiness: Address
    heartbeats: Address | None
    from_upstream: Address | None
    upstream: Address | None
    service: ServiceName
    store: Address
    seed_ips: tuple[str, ...]
    is_first_start: bool
    heartbeat_s: float
    link_mbps: float
    bounds: Bounds


def load_settings() -> NodeSettings:
    """Read the settings file that the environment names.

    :raises SettingsError: if it cannot be read or lacks a setting.
    """
    path = os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{path}: {error}; set {PATH_VARIABLE} to a readable file'
        ) from error
    try:
        return parse_settings(text)
    except SettingsError as error:
        raise SettingsError(f'{path}: {error}') from error


def parse_settings(text: str) -> NodeSettings:
    """Return the typed form of the settings.

    :raises SettingsError: if a setting is missing or malformed.
    """
    values = dict(
        line.strip().split('=', 1)
        for line in text.splitlines()
        if '=' in line and not line.lstrip().startswith('#')
    )
    read = _Reader(values)
    ip = read('ip', str)
    return NodeSettings(
        name=read('node_name', str),
        ip=ip,
        datacentre=DatacentreName(read('zone', str)),
        packets=read('listen.datagram_addr', parse_address),
        peers=Address(ip, read('internal_ports', _first_port)),
        readiness=read('listen.ready', parse_address),
        heartbeats=read('listen.control', parse_address, None),
        from_upstream=read('listen.outbound', parse_address, None),
        upstream=read('app', parse_address, None),
        service=ServiceName(read('service', str, '')),
        store=read('platform.address', parse_address),
        seed_ips=read('seeds', _ips, ()),
        is_first_start=read('bootstrap', _flag, False),
        heartbeat_s=read('heartbeat_ms', _milliseconds),
        link_mbps=read('limits.link_mbps', float, 0.0),
        bounds=Bounds(
            configuration_s=read('bounds.config_ms', _milliseconds),
            stability_s=read('bounds.stability_ms', _milliseconds, 0.0),
            stop_s=read('bounds.grace_s', float),
            cold=ColdLimits(
                read('bounds.cold_factor', float, 1.0),
                read('bounds.cold_slack', float, 0.0),
            ),
        ),
    )


class _Required:
    """Marks a setting without a default."""


class _Reader:
    """Reads single settings, with errors that name them."""

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


def _first_port(text: str) -> int:
    return int(text.split(',')[0])


def _ips(text: str) -> tuple[str, ...]:
    return tuple(
        parse_address(part).ip for part in text.split(',') if part.strip()
    )


def _flag(text: str) -> bool:
    if text not in ('true', 'false'):
        raise ValueError('neither true nor false')
    return text == 'true'


def _milliseconds(text: str) -> float:
    return float(text) / 1000
