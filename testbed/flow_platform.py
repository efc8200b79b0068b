"""Parts of the simulated platform that all its deployments share.

Settings files, the operator's entries in the store, and the routers, which
pick one of the balancers in the rotation by hash modulo.
"""

from collections.abc import Iterable
import json
from typing import Any
from typing import NamedTuple
import zlib

from ibispitch.ids import Address
from ibispitch.platform.http import Response
from testbed.memory_store import MemoryStore

PACKET_PORT, PEER_PORT, READY_PORT = 8172, 7720, 8167
HEARTBEAT_PORT, OUTBOUND_PORT, UPSTREAM_PORT = 8166, 8162, 8165
HEARTBEAT_INTERVAL_S = 0.8
RESTART_DELAY_S = 0.6
#: The routers probe readiness twice a second and take a balancer out of the
#: rotation after two failed probes.
PROBE_INTERVAL_S = 0.5
MISSES_UNTIL_OUT = 2
#: Source and destination address in the header of a packet.
ADDRESS_FIELDS = slice(14, 26)


class RequestKind(NamedTuple):
    """Requests to one destination and their objectives.

    :ivar kind: ``safe`` if requests are idempotent, otherwise ``unsafe``.
    """

    kind: str
    service: str
    destination: Address
    objective_s: float
    deadline_s: float
    priority: int = 1


#: Address of the store in the settings; nothing listens there.
STORE = Address('10.200.0.1', 8169)
FEED = RequestKind('safe', 'counter', Address('198.18.0.1', 443), 0.1, 1.5, 2)
QUOTE = RequestKind(
    'unsafe', 'counter', Address('198.18.0.1', 8080), 0.12, 2.0
)


def heartbeat_of(host, upstream) -> dict[str, Any]:
    """Return the body of the next heartbeat of an upstream on a host."""
    return upstream.heartbeat() | {
        'service': host.service, 'zone': host.datacentre,
        'address': f'{host.ip}:{UPSTREAM_PORT}', 'version': 'v1',
    }  # fmt: skip


def settings_text(
    name: str,
    ip: str,
    datacentre: str,
    seeds: Iterable[str],
    service: str | None = None,
    is_first_start: bool = True,
    store: Address = STORE,
    link_mbps: float = 0.0,
) -> str:
    """Return the text of a settings file as the platform writes it.

    :param seeds: IP addresses of the seed processes.
    :param service: service of the upstream, for agents.
    :param link_mbps: capacity of the host's link, 0 to leave it out.
    """
    lines = {
        'node_name': name, 'ip': ip, 'zone': datacentre,
        'listen.datagram_addr': f'{ip}:{PACKET_PORT}',
        'listen.ready': f'{ip}:{READY_PORT}',
        'listen.control': f'{ip}:{HEARTBEAT_PORT}',
        'internal_ports': f'{PEER_PORT},7735',
        'seeds': ','.join(f'{seed}:{HEARTBEAT_PORT}' for seed in seeds),
        'bootstrap': 'true' if is_first_start else 'false',
        'heartbeat_ms': round(HEARTBEAT_INTERVAL_S * 1000),
        'platform.address': str(store),
        'bounds.config_ms': 3000, 'bounds.evacuate_ms': 5000,
        'bounds.stability_ms': 4000, 'bounds.grace_s': 6,
        'bounds.cold_factor': 1.5, 'bounds.cold_slack': 5,
    }  # fmt: skip
    if link_mbps:
        lines['limits.link_mbps'] = link_mbps
    if service is not None:
        lines |= {
            'listen.outbound': f'{ip}:{OUTBOUND_PORT}',
            'app': f'{ip}:{UPSTREAM_PORT}', 'service': service,
        }  # fmt: skip
    return '\n'.join(f'{key}={value}' for key, value in lines.items())


def configuration(
    version: int,
    kinds: Iterable[RequestKind],
    cold_openings_per_s: float = 0.0,
) -> bytes:
    """Return an operator's configuration with a route for each kind."""
    kinds = tuple(kinds)
    routes = [
        {
            'name': f'r-{index}', 'hostname': kind.destination.ip,
            'prefix': f'/{kind.destination.port}/',
            'service': kind.service, 'type': kind.kind,
            'aim_ms': kind.objective_s * 1000,
            'timeout_ms': kind.deadline_s * 1000,
            'priority': kind.priority,
        }
        for index, kind in enumerate(kinds)
    ]  # fmt: skip
    services = [
        {
            'name': name, 'health_path': '/healthz', 'cold_start_s': 2.0,
            'cold_per_s': cold_openings_per_s,
        }
        for name in sorted({kind.service for kind in kinds})
    ]  # fmt: skip
    document = {
        'version': version, 'routes': routes, 'services': services,
        'limits': {'idle_timeout_ms': 15000},
    }  # fmt: skip
    return json.dumps(document).encode()


class PlatformStandIn:
    """Simulated operator and routers of a deployment.

    :ivar balancers: hosts with ``name``, ``datacentre`` and ``is_ready``.
    """

    def __init__(self):
        self.store = MemoryStore()
        self.cold_openings_per_s = 0.0
        self.balancers: list[Any] = []
        self._misses_by_name: dict[str, int] = {}

    def configure(self, version: int, kinds: Iterable[RequestKind]) -> None:
        """Write a configuration with a route for each kind to the store."""
        document = configuration(version, kinds, self.cold_openings_per_s)
        self.store.write('op/config', document)

    def take_out(self, datacentre: str, is_out: bool = True) -> None:
        """Take a data centre out of service, or return it."""
        key = f'op/evacuate/{datacentre}'
        self.store.write(key, b'{}' if is_out else None)

    def record_probe(self, host: Any, response: Response | None) -> None:
        """Record the answer to a readiness probe, ``None`` without one."""
        has_answered_ready = response is not None and response.status == 200
        misses = self._misses_by_name.get(host.name, MISSES_UNTIL_OUT)
        misses = 0 if has_answered_ready else misses + 1
        self._misses_by_name[host.name] = misses
        host.is_ready = misses < MISSES_UNTIL_OUT

    def choose_balancer(self, datacentre: str, raw: bytes) -> Any:
        """Return the balancer to which the routers send a packet.

        If fewer than half of a data centre's balancers are in the rotation,
        all of them are used.

        :param datacentre: the caller's data centre.
        """
        near = [h for h in self.balancers if h.datacentre == datacentre]
        ready = [h for h in near if h.is_ready]
        hosts = ready if ready and 2 * len(ready) >= len(near) else near
        return hosts[zlib.crc32(raw[ADDRESS_FIELDS]) % len(hosts)]
