"""Bodies of the answers of the administration API."""

import msgspec

from ibispitch.catalogue.core import CatalogueState
from ibispitch.catalogue.documents import DatacentreDocument
from ibispitch.catalogue.documents import Edit
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.documents import EntryDocument


class EntryAnswer(msgspec.Struct, frozen=True):
    """An entry in force.

    :param version: version in force; send it as ``If-Match`` with an edit.
    :param edit: the edit that made this version.
    :param edit_ids: ids of the last edits, the latest one last.
    """

    version: int
    entry: Entry
    edit: Edit
    edit_ids: list[str]


class EntriesAnswer(msgspec.Struct, frozen=True):
    """All entries in force, by service."""

    entries: dict[str, EntryAnswer]


class DatacentreAnswer(msgspec.Struct, frozen=True):
    """State of a data centre.

    :param version: version in force.
    :param state: ``in`` or ``out``.
    :param edit: the edit that made this version.
    """

    version: int
    state: str
    edit: Edit


class DatacentresAnswer(msgspec.Struct, frozen=True):
    """Data centres whose state has ever been set, by name."""

    datacentres: dict[str, DatacentreAnswer]


def entries_answer(catalogue: CatalogueState) -> EntriesAnswer:
    """Return the answer with the entries of a catalogue."""
    return EntriesAnswer(
        {
            document.entry.service: EntryAnswer(
                version, document.entry, document.edit, document.edit_ids
            )
            for key, version in catalogue.versions().items()
            if isinstance(document := catalogue.document(key), EntryDocument)
            and document.entry
        }
    )


def datacentres_answer(catalogue: CatalogueState) -> DatacentresAnswer:
    """Return the answer with the data centres of a catalogue."""
    return DatacentresAnswer(
        {
            document.datacentre.name: DatacentreAnswer(
                version, document.datacentre.state.value, document.edit
            )
            for key, version in catalogue.versions().items()
            if isinstance(
                document := catalogue.document(key), DatacentreDocument
            )
        }
    )
