"""Checks of an entry before it is written to the store."""

from collections.abc import Callable
from collections.abc import Iterable
import ipaddress
import math
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.errors import EditError
from ibispitch.catalogue.errors import EditFault
from ibispitch.ids import Address
from ibispitch.ids import parse_address
from ibispitch.ids import ServiceNumber

#: Protocols for which agents have a gate, the part of an agent that
#: handles the protocol of the callers.
PROTOCOLS = frozenset({'coap', 'datagram'})
#: An entry of this size has about 3,000 addresses. The store accepts up to
#: 1 MB, but every balancer keeps and sends each document.
MAX_DOCUMENT_BYTES = 65536
BROADCAST = ipaddress.IPv4Address('255.255.255.255')


def parse_entry(document: Any) -> Result[Entry, EditError]:
    """Convert a JSON object to an entry and check it.

    :param document: the decoded JSON object.
    :returns: ``Ok`` of the entry or ``Error`` of an ``INVALID`` edit error.
    """
    try:
        entry = msgspec.convert(document, Entry)
    except (msgspec.ValidationError, RecursionError) as error:
        return Error(_invalid(str(error), 'correct the entry'))
    return check_entry(entry)


def check_entry(entry: Entry) -> Result[Entry, EditError]:
    """Check an entry by itself, not against other entries.

    :param entry: the entry.
    :returns: ``Ok`` of the entry or ``Error`` of the first problem.
    """
    problem = next(_problems(entry), None)
    return Ok(entry) if problem is None else Error(_invalid(*problem))


def check_unique(
    entry: Entry,
    others: Iterable[Entry],
    number_of: Callable[[str], ServiceNumber],
) -> Result[Entry, EditError]:
    """Check an entry against the other entries of the catalogue.

    :param entry: the entry.
    :param others: all entries; the one of the same service is skipped.
    :param number_of: returns the number of a service.
    :returns: ``Ok`` of the entry or ``Error`` of the first problem.
    """
    own_addresses = {parse_address(address) for address in entry.addresses}
    for other in others:
        if other.service == entry.service:
            continue
        if number_of(other.service) == number_of(entry.service):
            return Error(
                EditError(
                    EditFault.NUMBER_COLLISION,
                    f'{entry.service} has the same service number as '
                    f'{other.service}',
                    'choose another service name',
                )
            )
        shared_addresses = own_addresses.intersection(
            map(parse_address, other.addresses)
        )
        if shared_addresses:
            return Error(
                EditError(
                    EditFault.ADDRESS_IN_USE,
                    f'{min(shared_addresses)} is an address of'
                    f' {other.service}',
                    'choose another address, or remove it there first',
                )
            )
    return Ok(entry)


def _invalid(message: str, remedy: str) -> EditError:
    return EditError(EditFault.INVALID, message, remedy)


def _problems(entry: Entry):
    """Yield (message, remedy) for each problem of an entry."""
    if entry.service in ('.', '..'):
        yield (
            f'service name {entry.service!r} cannot be used in a URL path',
            'choose another name',
        )
    if entry.protocol not in PROTOCOLS:
        yield (
            f'protocol {entry.protocol!r} is unknown',
            f'use {" or ".join(sorted(PROTOCOLS))}',
        )
    yield from _address_problems(entry)
    yield from _limit_problems(entry)
    size = len(msgspec.json.encode(entry))
    if size > MAX_DOCUMENT_BYTES:
        yield (
            f'the entry has {size} bytes, the limit is {MAX_DOCUMENT_BYTES}',
            'split it into several services',
        )


def _address_problems(entry: Entry):
    if not entry.addresses:
        yield 'the entry has no address', 'add at least one ip:port'
    seen: set[Address] = set()
    for text in entry.addresses:
        try:
            address = parse_address(text)
        except ValueError as error:
            yield str(error), 'write an IPv4 address and a port'
            continue
        ip = ipaddress.IPv4Address(address.ip)
        if ip.is_unspecified or ip.is_multicast or ip == BROADCAST:
            yield (
                f'{text} is not the address of a host',
                'use a unicast address',
            )
        if address in seen:
            yield f'{text} is listed twice', 'remove one of the two'
        seen.add(address)


def _limit_problems(entry: Entry):
    limits = entry.limits
    value_by_key = {
        'limits.requests_per_s': limits.requests_per_s,
        'limits.class_requests_per_s': limits.class_requests_per_s,
        'ramp_s': entry.ramp_s,
        'idle_timeout_s': entry.idle_timeout_s,
    }
    for key, value in value_by_key.items():
        # JSON has no infinity and no NaN: they would be stored as null, which
        # means that there is no limit.
        if value is not None and not math.isfinite(value):
            yield f'{key} is {value}', 'write a finite number'
    if (
        limits.requests_per_s is not None
        and limits.class_requests_per_s is not None
        and limits.requests_per_s > limits.class_requests_per_s
    ):
        yield (
            f'requests_per_s {limits.requests_per_s:g} is above '
            f'class_requests_per_s {limits.class_requests_per_s:g} and can '
            'never be reached',
            'lower the first or raise the second',
        )
