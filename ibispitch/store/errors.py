"""Errors of store calls."""

import enum


class StoreFault(enum.Enum):
    """Kind of a store error; the value is a metric label."""

    #: No endpoint could be reached, or the connection of a read or watch
    #: failed.
    UNAVAILABLE = 'unavailable'
    #: A call that was sent got no answer; a write may have taken effect.
    TIMEOUT = 'timeout'
    #: The store refused the call; a write did not take effect.
    REJECTED = 'rejected'
    #: The answer has an unexpected format; a write may have taken effect.
    MALFORMED = 'malformed'
    #: The requested revision is no longer in the store's history.
    COMPACTED = 'compacted'


class StoreError(Exception):
    """A store call got no usable answer.

    :param fault: kind of the error.
    :param detail: what failed, and the remedy if there is one.
    :param may_have_taken_effect: whether the call is a write that the store
        may have carried out.
    :param compact_revision: lowest revision that is still available, for
        ``COMPACTED`` if the store reports it.
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
