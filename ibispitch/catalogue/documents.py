"""Documents of the catalogue in the store."""

import enum
from typing import Annotated

import msgspec

from ibispitch.ids import parse_address

#: Number of edit ids in a document. They show whether an edit was made when
#: the answer to its write was lost.
MAX_EDIT_IDS = 16

Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=64, pattern=r'^[a-z0-9.-]+$')
]
Rate = Annotated[float, msgspec.Meta(gt=0)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a service, summed over all its upstreams.

    :param flows: greatest number of open flows, ``None`` for no limit.
    :param requests_per_s: greatest rate of requests of the owner.
    :param class_requests_per_s: greatest rate of requests of the class.
    :param deadline_max_ms: longest deadline that a request may have.
    """

    flows: Annotated[int, msgspec.Meta(ge=1)] | None = None
    requests_per_s: Rate | None = None
    class_requests_per_s: Rate | None = None
    deadline_max_ms: Annotated[int, msgspec.Meta(ge=1, le=3600000)] = 60000


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Entry of a service in the catalogue.

    :param service: unique name of the service.
    :param owner: name of the owner of the entry.
    :param class_name: class of the service, a label of its metrics.
    :param addresses: UDP addresses ``ip:port`` that callers send to.
    :param protocol: protocol of the callers, ``coap`` or ``datagram``;
        selects the gate of the agents.
    :param limits: see :class:`Limits`.
    :param ramp_s: seconds until a cold upstream gets its full load.
    :param idle_timeout_s: seconds without packets after which a flow ends.
    """

    service: Name
    owner: Name
    class_name: Name = msgspec.field(name='class')
    addresses: list[str]
    protocol: Name = 'coap'
    limits: Limits = Limits()
    ramp_s: Seconds = 10.0
    idle_timeout_s: Seconds = 600.0


class DatacentreState(enum.Enum):
    """Whether a data centre is in or out of service."""

    IN = 'in'
    OUT = 'out'


class Datacentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of a data centre that an operator has set."""

    name: Name
    state: DatacentreState


class Edit(msgspec.Struct, frozen=True):
    """Identity, author and time of an edit.

    :param edit_id: unique id.
    :param operator: name of the person or token.
    :param time: UTC in the format of ISO 8601, from the clock of the host that
        made the edit. It is only for display; no decision depends on it.
    """

    edit_id: str
    operator: str
    time: str

    def __str__(self):
        return f'edit {self.edit_id} by {self.operator} at {self.time}'


class EntryDocument(msgspec.Struct, frozen=True):
    """Value of ``entries/<service>`` in the store.

    :param entry: the entry, ``None`` after its removal.
    :param edit: the edit that wrote this document.
    :param edit_ids: ids of the last edits, ending with this one; at most
        :data:`MAX_EDIT_IDS`.
    """

    edit: Edit
    edit_ids: list[str]
    entry: Entry | None = None


class DatacentreDocument(msgspec.Struct, frozen=True):
    """Value of ``datacentres/<name>`` in the store.

    See :class:`EntryDocument` for ``edit`` and ``edit_ids``.
    """

    edit: Edit
    edit_ids: list[str]
    datacentre: Datacentre


Document = EntryDocument | DatacentreDocument

#: Type of the documents by the first part of their key.
document_type_by_kind: dict[str, type[Document]] = {
    'entries': EntryDocument,
    'datacentres': DatacentreDocument,
}


class DocumentError(ValueError):
    """A value in the store is not a valid document of its key."""


def cluster_prefix(cluster: str) -> str:
    """Return the prefix of all keys of an installation."""
    return f'ibispitch/{cluster}/'


def entry_key(service: str) -> str:
    """Return the key of an entry without the cluster prefix."""
    return f'entries/{service}'


def datacentre_key(name: str) -> str:
    """Return the key of a data centre without the cluster prefix."""
    return f'datacentres/{name}'


def split_key(key: str) -> tuple[str, str]:
    """Return kind and name of a key, with or without the cluster prefix.

    >>> split_key('ibispitch/default/entries/returns')
    ('entries', 'returns')
    """
    kind, _, name = key.rpartition('/')
    return kind.rpartition('/')[2], name


def parse_document(key: str, value: bytes) -> Document:
    """Parse a value from the store.

    :param key: key of an entry or a data centre.
    :param value: the value.
    :returns: the document.
    :raises DocumentError: if the value is not a document of this key.
    """
    kind, name = split_key(key)
    try:
        document = msgspec.json.decode(value, type=document_type_by_kind[kind])
    except (KeyError, msgspec.DecodeError, RecursionError) as error:
        raise DocumentError(f'{key}: {error}') from error
    if isinstance(document, DatacentreDocument):
        found = document.datacentre.name
    else:
        found = document.entry.service if document.entry else name
        _check_addresses(key, document.entry)
    if found != name:
        raise DocumentError(f'{key}: the document is that of {found!r}')
    return document


def _check_addresses(key: str, entry: Entry | None) -> None:
    try:
        for address in entry.addresses if entry else ():
            parse_address(address)
    except ValueError as error:
        raise DocumentError(f'{key}: {error}') from error
