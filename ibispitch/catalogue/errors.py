"""Errors of catalogue edits."""

import enum

import msgspec

from ibispitch.catalogue.documents import Edit


class EditFault(enum.Enum):
    """Kind of an edit error."""

    #: The entry is invalid in itself.
    INVALID = 'invalid'
    #: The token may not edit this entry or data centre.
    FORBIDDEN = 'forbidden'
    #: There is no such entry.
    NOT_FOUND = 'not_found'
    #: Another edit was made first.
    CONFLICT = 'conflict'
    #: Another entry uses the address.
    ADDRESS_IN_USE = 'address_in_use'
    #: Another service has the same service number.
    NUMBER_COLLISION = 'number_collision'
    #: The value in the store is not a catalogue document.
    MALFORMED_DOCUMENT = 'malformed_document'
    #: The store did not answer; the edit was not made.
    STORE_UNAVAILABLE = 'store_unavailable'
    #: The store refused the call; the edit was not made.
    STORE_REJECTED = 'store_rejected'
    #: The store became unavailable during the write; the edit may have been
    #: made.
    OUTCOME_UNKNOWN = 'outcome_unknown'


class EditError(msgspec.Struct, frozen=True):
    """Reason why an edit was not accepted.

    :param fault: kind of the error.
    :param message: what is wrong.
    :param remedy: what to do about it.
    :param other: the edit that was made first, for ``CONFLICT``.
    :param edit_id: id of the edit, for ``OUTCOME_UNKNOWN``.
    """

    fault: EditFault
    message: str
    remedy: str
    other: Edit | None = None
    edit_id: str = ''

    def __str__(self):
        return f'{self.message}; {self.remedy}'
