"""Errors of the wire formats."""

import enum


class WireFault(enum.Enum):
    """Reason why a datagram or message was rejected; a metric label."""

    TRUNCATED = 'truncated'
    BAD_MAC = 'bad_mac'
    BAD_MAGIC = 'bad_magic'
    BAD_VERSION = 'bad_version'
    BAD_KIND = 'bad_kind'
    BAD_MESSAGE = 'bad_message'
    UNKNOWN_TAG = 'unknown_tag'
    OVERSIZED = 'oversized'


class WireError(Exception):
    """A datagram or message was rejected.

    :param fault: kind of the error.
    :param detail: what is wrong, and the remedy if there is one.
    """

    def __init__(self, fault: WireFault, detail: str):
        super().__init__(f'{fault.value}: {detail}')
        self.fault = fault
