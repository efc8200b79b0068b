"""Settings of the balancer, the agent and the command-line tool."""

from typing import Annotated

import msgspec

from ibispitch.ids import Address
from ibispitch.ids import parse_address
from ibispitch.settings.loader import SettingValueError

Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=64, pattern=r'^[a-z0-9.-]+$')
]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


def _check_address(key: str, text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        raise SettingValueError(
            key, f'{error}; write an IPv4 address and a port'
        ) from error


def _check_shared_keys(keys: list[str]) -> None:
    for index, key in enumerate(keys):
        try:
            raw = bytes.fromhex(key)
        except ValueError:
            raw = b''
        if not 16 <= len(raw) <= 32:
            raise SettingValueError(
                f'shared_keys[{index}]', 'write 32 to 64 hexadecimal digits'
            )


class LogSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Destination and level of log lines.

    :param file: path of the log file, ``-`` for standard error.
    :param level: lowest severity that is written.
    """

    file: str = '-'
    level: str = 'info'

    def __post_init__(self):
        if self.level not in ('debug', 'info', 'warning', 'error'):
            raise SettingValueError(
                'level', 'use debug, info, warning or error'
            )


class MetricsSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Export of metrics.

    :param exporter: ``scrape`` serves ``/metrics`` on the administration
        address, ``push`` sends OTLP over HTTP to ``endpoint``, ``none``
        exports nothing.
    :param endpoint: URL of the OTLP receiver, ``http://ip:port/v1/metrics``.
    :param interval_s: seconds between two pushes.
    """

    exporter: str = 'scrape'
    endpoint: str = ''
    interval_s: Seconds = 10.0

    def __post_init__(self):
        if self.exporter not in ('scrape', 'push', 'none'):
            raise SettingValueError('exporter', 'use scrape, push or none')
        if self.exporter == 'push' and not self.endpoint.startswith('http'):
            raise SettingValueError(
                'endpoint', 'write http://ip:port/v1/metrics for push'
            )


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Access to the store.

    :param endpoints: addresses of the store, each ``ip:port``.
    :param cluster: name of this installation, part of all its keys.
    :param timeout_s: time limit of a call in seconds.
    """

    endpoints: list[str]
    cluster: Name = 'default'
    timeout_s: Seconds = 2.0

    def __post_init__(self):
        if not self.endpoints:
            raise SettingValueError('endpoints', 'add at least one ip:port')
        for index, endpoint in enumerate(self.endpoints):
            _check_address(f'endpoints[{index}]', endpoint)


class TokenSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A bearer token of the administration API.

    :param token: the secret, at least 16 characters.
    :param operator: whether the token allows edits of every entry and data
        centre.
    :param owners: owners whose entries may be edited with the token.
    :param name: name that is recorded with each edit; by default the owners.
    """

    token: Annotated[str, msgspec.Meta(min_length=16)]
    operator: bool = False
    owners: list[Name] = []
    name: str = ''


class BalancerSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of ``ibispitch-balancer``.

    :param balancer_id: unique name of this balancer.
    :param datacentre: data centre of this host.
    :param data_address: UDP address that agents send answers to.
    :param control_address: UDP and TCP address for gossip and leases.
    :param admin_address: TCP address of the administration API.
    :param service_bind: ``address`` binds the addresses of the catalogue
        entries, ``host`` binds their ports on the IP of ``data_address``.
    :param seeds: control addresses of other balancers.
    :param shared_keys: hexadecimal keys; the first one signs, all are
        accepted.
    :param store: the store.
    :param tokens: tokens of the administration API.
    :param stop_deadline_s: longest duration of a graceful stop in seconds.
    """

    balancer_id: Name
    datacentre: Name
    data_address: str
    control_address: str
    admin_address: str
    service_bind: str = 'address'
    seeds: list[str] = []
    shared_keys: list[str]
    store: StoreSettings
    tokens: list[TokenSettings] = []
    stop_deadline_s: Seconds = 30.0
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()

    def __post_init__(self):
        for key in ('data_address', 'control_address', 'admin_address'):
            _check_address(key, getattr(self, key))
        for index, seed in enumerate(self.seeds):
            _check_address(f'seeds[{index}]', seed)
        if self.service_bind not in ('address', 'host'):
            raise SettingValueError('service_bind', 'use address or host')
        _check_shared_keys(self.shared_keys)

    @property
    def decoded_shared_keys(self) -> list[bytes]:
        """The shared keys, decoded."""
        return [bytes.fromhex(key) for key in self.shared_keys]

    @property
    def parsed_data_address(self) -> Address:
        """The parsed data address."""
        return parse_address(self.data_address)


class AgentSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of ``ibispitch-agent``.

    :param agent_id: unique name of this agent and its upstream.
    :param datacentre: data centre of this host.
    :param service: service of the upstream, the name of a catalogue entry.
    :param data_address: UDP address that balancers and agents send to.
    :param control_address: TCP address to which the successor process on
        this host connects for the handover.
    :param admin_address: TCP address that serves state and metrics.
    :param upstream_address: UDP address of the upstream.
    :param slots: number of requests that the upstream runs at the same time.
    :param connections: number of flows that the upstream can keep open.
    :param seeds: control addresses of balancers.
    :param shared_keys: hexadecimal keys; the first one signs, all are
        accepted.
    :param store: the store, read for more seeds if no seed answers.
    :param stop_deadline_s: longest duration of a graceful stop in seconds.
    """

    agent_id: Name
    datacentre: Name
    service: Name
    data_address: str
    control_address: str
    admin_address: str
    upstream_address: str
    slots: Count = 5
    connections: Count = 2000
    seeds: list[str] = []
    shared_keys: list[str]
    store: StoreSettings
    stop_deadline_s: Seconds = 60.0
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()

    def __post_init__(self):
        for key in (
            'data_address',
            'control_address',
            'admin_address',
            'upstream_address',
        ):
            _check_address(key, getattr(self, key))
        for index, seed in enumerate(self.seeds):
            _check_address(f'seeds[{index}]', seed)
        _check_shared_keys(self.shared_keys)

    @property
    def decoded_shared_keys(self) -> list[bytes]:
        """The shared keys, decoded."""
        return [bytes.fromhex(key) for key in self.shared_keys]

    @property
    def parsed_data_address(self) -> Address:
        """The parsed data address."""
        return parse_address(self.data_address)


class ControlSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings of ``ibispitchctl``.

    :param store: the store to which edits are written.
    :param admin_endpoints: administration addresses of balancers, tried in
        this order for state.
    :param token: bearer token for the administration API.
    :param operator: name that is recorded with each edit.
    """

    store: StoreSettings
    admin_endpoints: list[str] = []
    token: str = ''
    operator: str = 'operator'

    def __post_init__(self):
        for index, endpoint in enumerate(self.admin_endpoints):
            _check_address(f'admin_endpoints[{index}]', endpoint)
