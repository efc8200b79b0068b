"""Errors of store calls."""

import enum


class StoreFault(enum.Enum):
    """Kind of a store error; used as metric label."""

    #: No endpoint was reached, or the connection of a read or watch broke.
    UNAVAILABLE = 'unavailable'
    #: No answer to a call that was sent; a write may have taken effect.
    TIMEOUT = 'timeout'
    #: The store refused the call; a write did not take effect.
    REJECTED = 'rejected'
    #: The answer is not of the expected form; a write may have taken effect.
    MALFORMED = 'malformed'
    #: The requested revision is no longer in the store's history.
    COMPACTED = 'compacted'


class StoreError(Exception):
    """A store call without a usable answer.

    :param fault: the kind.
    :param detail: what was seen, and the remedy where there is one.
    :param may_have_taken_effect: whether the call is a write that the store
        may have carried out.
    :param compact_revision: least revision that is still available, for
        ``COMPACTED`` when the store names it.
    """

    def __init__(
        self,
        fault: StoreFault,
        detail: str,
        *,
        may_have_taken_effect: bool = False,
        compact_revision: int = 0,
    ):
        super().__init__(f'store {fault.value}: {detail}')
        self.fault = fault
        self.may_have_taken_effect = may_have_taken_effect
        self.compact_revision = compact_revision
