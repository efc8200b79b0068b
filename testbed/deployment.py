"""Deployments of separate processes on loopback, with an IP per host."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
import secrets
from typing import NamedTuple

from ibispitch.ids import Address
from testbed.supervisor import Supervisor

STORE_PORT = 2379
DATA_PORT = 7000
CONTROL_PORT = 7001
ADMIN_PORT = 7002
UPSTREAM_PORT = 6000
OPERATOR_TOKEN = 'operator-token-for-tests'


class ServiceShape(NamedTuple):
    """A service of a deployment.

    :param port: UDP port to which callers send.
    :param upstreams: number of upstreams, spread over the data centres.
    :param slots: requests that an upstream runs at the same time.
    """

    name: str
    owner: str
    class_name: str
    port: int
    upstreams: int
    slots: int


class Shape(NamedTuple):
    """Data centres and services of a deployment."""

    datacentres: tuple[str, ...]
    services: tuple[ServiceShape, ...]


OMAHEKE = Shape(
    ('khomas-1', 'khomas-2', 'khomas-3'),
    (
        ServiceShape('returns', 'omaheke', 'interactive', 5683, 7, 5),
        ServiceShape('scan-intake', 'omaheke', 'upload', 5684, 3, 5),
    ),
)
ASANTE = Shape(
    ('accra', 'kumasi', 'tema', 'cape-coast'),
    (
        ServiceShape('bench', 'asante', 'interactive', 5683, 7, 1),
        ServiceShape('page-intake', 'asante', 'upload', 5684, 4, 1),
    ),
)


@dataclass(frozen=True)
class UpstreamHost:
    """A host with an upstream and its agent."""

    name: str
    ip: str
    datacentre: str
    service: ServiceShape

    @property
    def upstream(self) -> Address:
        """Address of the upstream."""
        return Address(self.ip, UPSTREAM_PORT)


class Deployment:
    """Settings and processes of one deployment.

    :param shape: data centres and services.
    :param folder: folder for settings files and logs.
    :param network: second octet of all addresses, different for
        deployments that run at the same time.
    :param balancers: number of balancers.
    :param ramp_s: ramp of the upstreams after a start, in seconds.
    """

    def __init__(
        self,
        shape: Shape,
        folder: Path,
        network: int,
        balancers: int = 3,
        ramp_s: float = 2.0,
    ):
        self.shape = shape
        self.supervisor = Supervisor(folder)
        self.ramp_s = ramp_s
        self._network = network
        self.shared_key = secrets.token_hex(16)
        self.balancer_ips = {
            f'balancer-{index}': f'127.{network}.2.{index + 1}'
            for index in range(balancers)
        }
        self._next_balancer_index = balancers
        self.store_address = Address(f'127.{network}.1.1', STORE_PORT)
        #: Addresses of relays to the store, by the balancers that use them.
        self.store_by_balancer: dict[str, Address] = {}
        self.hosts = list(self._upstream_hosts())

    def _upstream_hosts(self) -> Iterator[UpstreamHost]:
        for number, service in enumerate(self.shape.services):
            for index in range(service.upstreams):
                datacentres = self.shape.datacentres
                yield UpstreamHost(
                    f'{service.name}-{index}',
                    f'127.{self._network}.{10 + number}.{index + 1}',
                    datacentres[index % len(datacentres)],
                    service,
                )

    def service_address(self, service: ServiceShape) -> Address:
        """Return the address to which callers of a service send."""
        number = self.shape.services.index(service)
        return Address(f'127.{self._network}.9.{number + 1}', service.port)

    def entries(self) -> list[dict]:
        """Return the catalogue entries of the deployment."""
        return [
            {
                'service': service.name,
                'owner': service.owner,
                'class': service.class_name,
                'addresses': [str(self.service_address(service))],
                'ramp_s': self.ramp_s,
            }
            for service in self.shape.services
        ]

    def _common_settings(self) -> dict:
        return {
            'shared_keys': [self.shared_key],
            'seeds': [
                f'{ip}:{CONTROL_PORT}' for ip in self.balancer_ips.values()
            ],
            'store': self.store_settings(),
            'log': {'level': 'info'},
        }

    def store_settings(self) -> dict:
        """Return the settings with which a program reaches the store."""
        return {'endpoints': [str(self.store_address)], 'timeout_s': 1.0}

    @staticmethod
    def _address_settings(ip: str) -> dict:
        return {
            'data_address': f'{ip}:{DATA_PORT}',
            'control_address': f'{ip}:{CONTROL_PORT}',
            'admin_address': f'{ip}:{ADMIN_PORT}',
        }

    def add_balancer(self) -> str:
        """Assign a name and an address to a further balancer.

        :returns: its name; the balancer is not started.
        """
        index, self._next_balancer_index = (
            self._next_balancer_index,
            self._next_balancer_index + 1,
        )
        name = f'balancer-{index}'
        self.balancer_ips[name] = f'127.{self._network}.2.{index + 1}'
        return name

    def relay_address(self, name: str) -> Address:
        """Return the address for a relay from a balancer to the store."""
        last = self.balancer_ips[name].rsplit('.', 1)[1]
        return Address(f'127.{self._network}.3.{last}', STORE_PORT)

    def start_store(self) -> None:
        """Start the stand-in store."""
        self.supervisor.start(
            'store', 'testbed.store', '--address', str(self.store_address)
        )

    def start_balancer(self, name: str) -> None:
        """Start a balancer."""
        datacentres = self.shape.datacentres
        index = list(self.balancer_ips).index(name)
        common = self._common_settings()
        if name in self.store_by_balancer:
            endpoint = str(self.store_by_balancer[name])
            common['store'] = common['store'] | {'endpoints': [endpoint]}
        settings = {
            'balancer_id': name,
            'datacentre': datacentres[index % len(datacentres)],
            'service_bind': 'host',
            'tokens': [{'token': OPERATOR_TOKEN, 'operator': True}],
            'stop_deadline_s': 5,
            **self._address_settings(self.balancer_ips[name]),
            **common,
        }
        self.supervisor.start_program(name, 'ibispitch.balancer', settings)

    def start_upstream(self, host: UpstreamHost, *arguments: str) -> None:
        """Start the stand-in upstream of a host."""
        self.supervisor.start(
            f'upstream-{host.name}',
            'testbed.upstream',
            '--address',
            str(host.upstream),
            '--slots',
            str(host.service.slots),
            '--ramp-s',
            str(self.ramp_s),
            '--audit',
            str(self.supervisor.folder / f'{host.name}.audit'),
            *arguments,
        )

    def start_agent(self, host: UpstreamHost) -> None:
        """Start the agent of a host."""
        settings = {
            'agent_id': host.name,
            'datacentre': host.datacentre,
            'service': host.service.name,
            'upstream_address': str(host.upstream),
            'slots': host.service.slots,
            'stop_deadline_s': 5,
            **self._address_settings(host.ip),
            **self._common_settings(),
        }
        self.supervisor.start_program(
            f'agent-{host.name}', 'ibispitch.agent', settings
        )

    def start(self) -> None:
        """Start all processes except the store."""
        for name in self.balancer_ips:
            self.start_balancer(name)
        for host in self.hosts:
            self.start_upstream(host)
            self.start_agent(host)

    def ctl_settings(self) -> dict:
        """Return settings for ``ibispitchctl``."""
        return {
            'store': self.store_settings(),
            'admin_endpoints': [
                f'{ip}:{ADMIN_PORT}' for ip in self.balancer_ips.values()
            ],
            'token': OPERATOR_TOKEN,
        }

    def stop(self) -> None:
        """Stop all processes."""
        self.supervisor.stop_all()
