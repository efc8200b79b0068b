"""Identifiers and addresses that are used in all packages."""

import ipaddress
import socket
from typing import Any
from typing import NamedTuple
from typing import NewType

import xxhash

AgentId = NewType('AgentId', str)
BalancerId = NewType('BalancerId', str)
DatacentreName = NewType('DatacentreName', str)
OwnerName = NewType('OwnerName', str)
ServiceName = NewType('ServiceName', str)

#: 64-bit number that identifies a service in data-path frames.
ServiceNumber = NewType('ServiceNumber', int)

#: Caller address in network byte order: 4 bytes IPv4 address, 2 bytes port.
FlowId = NewType('FlowId', bytes)

#: Identifier of a request, chosen by the caller, 8 to 16 bytes.
RequestId = NewType('RequestId', bytes)

FLOW_ID_BYTES = 6


class Address(NamedTuple):
    """An IPv4 address and a port."""

    ip: str
    port: int

    def __str__(self):
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    :param text: an IPv4 address and a port from 1 to 65535.
    :returns: the address.
    :raises ValueError: if the text does not have this form. Host names are
        not resolved.

    >>> parse_address('127.0.0.1:5683')
    Address(ip='127.0.0.1', port=5683)
    """
    ip, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError(f'{text!r} does not have the form ip:port')
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f'port {number} is not between 1 and 65535')
    return Address(str(ipaddress.IPv4Address(ip)), number)


def is_ip(value: Any) -> bool:
    """Return whether a value is the text of an IPv4 address.

    >>> [is_ip('10.1.0.4'), is_ip('10.1.0.4:80'), is_ip(['10.1.0.4'])]
    [True, False, False]
    """
    try:
        return isinstance(value, str) and bool(ipaddress.IPv4Address(value))
    except ValueError:
        return False


def service_number(name: ServiceName) -> ServiceNumber:
    """Return the number of a service in data-path frames.

    :param name: name of the service.
    :returns: the 64-bit XXH3 hash of the name.
    """
    return ServiceNumber(xxhash.xxh3_64_intdigest(name.encode()))


def flow_id(address: tuple[str, int]) -> FlowId:
    """Return the flow id of a caller address.

    >>> flow_id(('127.0.0.1', 256)).hex()
    '7f0000010100'
    """
    return FlowId(socket.inet_aton(address[0]) + address[1].to_bytes(2, 'big'))


def flow_address(flow: FlowId) -> Address:
    """Return the caller address of a flow id.

    >>> flow_address(flow_id(('127.0.0.1', 256)))
    Address(ip='127.0.0.1', port=256)
    """
    return Address(
        socket.inet_ntoa(flow[:4]), int.from_bytes(flow[4:6], 'big')
    )
