"""Errors of catalogue edits."""

import enum

import msgspec

from ibispitch.catalogue.documents import Edit


class EditFault(enum.Enum):
    """Kind of an edit error."""

    #: The entry itself is impossible.
    INVALID = 'invalid'
    #: The token may not edit this entry or data centre.
    FORBIDDEN = 'forbidden'
    #: There is no such entry.
    NOT_FOUND = 'not_found'
    #: Another edit came first.
    CONFLICT = 'conflict'
    #: Another entry uses the address.
    ADDRESS_IN_USE = 'address_in_use'
    #: The number of the service is that of another entry.
    NUMBER_COLLISION = 'number_collision'
    #: The value in the store is not a catalogue document.
    MALFORMED_DOCUMENT = 'malformed_document'
    #: The store did not answer; the edit was not made.
    STORE_UNAVAILABLE = 'store_unavailable'
    #: The store refused the call; the edit was not made.
    STORE_REJECTED = 'store_rejected'
    #: The store was lost during the write; the edit may have been made.
    OUTCOME_UNKNOWN = 'outcome_unknown'


class EditError(msgspec.Struct, frozen=True):
    """Why an edit is not accepted.

    :param fault: the kind.
    :param message: what was found.
    :param remedy: what to do.
    :param other: the edit that came first, for ``CONFLICT``.
    :param edit_id: id of the edit, for ``OUTCOME_UNKNOWN``.
    """

    fault: EditFault
    message: str
    remedy: str
    other: Edit | None = None
    edit_id: str = ''

    def __str__(self):
        return f'{self.message}; {self.remedy}'
