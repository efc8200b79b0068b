"""Errors of the wire formats."""

import enum


class WireFault(enum.Enum):
    """Why a datagram or message was not accepted; used as metric label."""

    TRUNCATED = 'truncated'
    BAD_MAC = 'bad_mac'
    BAD_MAGIC = 'bad_magic'
    BAD_VERSION = 'bad_version'
    BAD_KIND = 'bad_kind'
    BAD_MESSAGE = 'bad_message'
    UNKNOWN_TAG = 'unknown_tag'
    OVERSIZED = 'oversized'


class WireError(Exception):
    """A datagram or message that is not accepted.

    :param fault: the kind of fault.
    :param detail: what was seen, and the remedy where there is one.
    """

    def __init__(self, fault: WireFault, detail: str):
        super().__init__(f'{fault.value}: {detail}')
        self.fault = fault
