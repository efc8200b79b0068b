"""Catalogue state of one process."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from ibispitch.catalogue.documents import DatacentreDocument
from ibispitch.catalogue.documents import DatacentreState
from ibispitch.catalogue.documents import Document
from ibispitch.catalogue.documents import document_type_by_kind
from ibispitch.catalogue.documents import DocumentError
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.documents import entry_key
from ibispitch.catalogue.documents import EntryDocument
from ibispitch.catalogue.documents import parse_document
from ibispitch.catalogue.documents import split_key
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName


class VersionedDocument(NamedTuple):
    """A document and its version, the ``mod_revision`` of its key."""

    version: int
    document: Document


class CatalogueState:
    """The documents in force: the greatest accepted version of each.

    Versions of a key never decrease: an older value that arrives late, from
    the store or from another balancer, is ignored. A value that does not
    parse is counted and ignored, so that the last valid document stays in
    force.
    """

    def __init__(self):
        self._by_key: dict[str, VersionedDocument] = {}
        #: Number of values that did not parse, by key.
        self.malformed: Counter[str] = Counter()

    def apply(self, key: str, mod_revision: int, value: bytes) -> bool:
        """Accept a value if it is newer than the known one.

        :param key: key in the store, with or without the cluster prefix;
            ignored if it is not the key of a document.
        :param mod_revision: version of the value.
        :param value: the value; after a removal, a document without an entry.
        :returns: whether the value was accepted.
        """
        kind, name = split_key(key)
        if kind not in document_type_by_kind:
            return False
        short_key = f'{kind}/{name}'
        if mod_revision <= self.version(short_key):
            return False
        try:
            document = parse_document(short_key, value)
        except DocumentError:
            self.malformed[short_key] += 1
            return False
        self._by_key[short_key] = VersionedDocument(mod_revision, document)
        return True

    def version(self, key: str) -> int:
        """Return the accepted version of a key, 0 if there is none."""
        known = self._by_key.get('/'.join(split_key(key)))
        return known.version if known else 0

    def versions(self) -> dict[str, int]:
        """Return the accepted versions by key, with removed entries."""
        return {
            key: known.version for key, known in sorted(self._by_key.items())
        }

    def document(self, key: str) -> Document | None:
        """Return the document that is in force for a key."""
        known = self._by_key.get('/'.join(split_key(key)))
        return known.document if known else None

    def entry(self, service: ServiceName) -> Entry | None:
        """Return the entry of a service, ``None`` if absent or removed."""
        document = self.document(entry_key(service))
        return document.entry if isinstance(document, EntryDocument) else None

    def entries(self) -> dict[ServiceName, Entry]:
        """Return the entries that are in force, by service."""
        return {
            ServiceName(document.entry.service): document.entry
            for document in self._documents()
            if isinstance(document, EntryDocument) and document.entry
        }

    def datacentres(self) -> dict[DatacentreName, DatacentreState]:
        """Return the state of each data centre that has a document."""
        return {
            DatacentreName(document.datacentre.name): document.datacentre.state
            for document in self._documents()
            if isinstance(document, DatacentreDocument)
        }

    @property
    def datacentres_out(self) -> frozenset[DatacentreName]:
        """Data centres that are out of service."""
        return frozenset(
            name
            for name, state in self.datacentres().items()
            if state is DatacentreState.OUT
        )

    def _documents(self) -> Iterable[Document]:
        return (known.document for _, known in sorted(self._by_key.items()))
