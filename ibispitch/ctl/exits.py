"""Exit codes of ``ibispitchctl``."""

import enum

from ibispitch.admin.client import ClientFault
from ibispitch.admin.errors import ApiFault
from ibispitch.catalogue.errors import EditFault


class Exit(enum.IntEnum):
    """Exit codes, which docs/ctl.md lists as well."""

    OK = 0
    #: Interrupted, or an error in ibispitchctl itself.
    FAILED = 1
    #: Invalid options or settings.
    USAGE = 2
    #: The entry is invalid or conflicts with another entry.
    INVALID = 3
    NOT_FOUND = 4
    #: Another edit was made first.
    CONFLICT = 5
    #: The token does not permit the edit.
    FORBIDDEN = 6
    #: The store did not answer; the edit was not made.
    STORE = 7
    #: It is not known whether the edit was made.
    OUTCOME_UNKNOWN = 8
    #: No balancer answered.
    UNREACHABLE = 9


EXIT_BY_FAULT: dict[str, Exit] = {
    EditFault.INVALID.value: Exit.INVALID,
    EditFault.ADDRESS_IN_USE.value: Exit.INVALID,
    EditFault.NUMBER_COLLISION.value: Exit.INVALID,
    EditFault.MALFORMED_DOCUMENT.value: Exit.INVALID,
    EditFault.FORBIDDEN.value: Exit.FORBIDDEN,
    EditFault.NOT_FOUND.value: Exit.NOT_FOUND,
    EditFault.CONFLICT.value: Exit.CONFLICT,
    EditFault.STORE_UNAVAILABLE.value: Exit.STORE,
    EditFault.STORE_REJECTED.value: Exit.STORE,
    EditFault.OUTCOME_UNKNOWN.value: Exit.OUTCOME_UNKNOWN,
    ApiFault.BAD_REQUEST.value: Exit.INVALID,
    ApiFault.TOO_LARGE.value: Exit.INVALID,
    ApiFault.UNAUTHENTICATED.value: Exit.FORBIDDEN,
    ApiFault.WRITES_DISABLED.value: Exit.FORBIDDEN,
    ApiFault.NO_SUCH_PATH.value: Exit.UNREACHABLE,
    ApiFault.METHOD_NOT_ALLOWED.value: Exit.UNREACHABLE,
    ClientFault.UNREACHABLE.value: Exit.UNREACHABLE,
    ClientFault.MALFORMED.value: Exit.UNREACHABLE,
}
