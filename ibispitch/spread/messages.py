"""Messages between the copies of the replicated map."""

import msgspec

from ibispitch.wire.messages import control_message


class Item(msgspec.Struct, array_like=True, frozen=True):
    """One version of one key.

    :param key: name of the item.
    :param version: compared element by element; the greater one wins.
    :param value: opaque bytes.
    :param retired: whether the item is a tombstone. Tombstones replace
        older versions, but are left out of digests and dropped after
        :data:`ibispitch.spread.core.TOMBSTONE_S`.
    """

    key: str
    version: tuple[int, ...]
    value: bytes
    retired: bool = False


class ItemVersion(msgspec.Struct, array_like=True, frozen=True):
    """Version of a key without its value.

    :param value_hash: decides between items of the same version; covers
        the value and whether the item is retired.
    """

    key: str
    version: tuple[int, ...]
    value_hash: int


@control_message('spread.items')
class SpreadItems(msgspec.Struct, array_like=True, frozen=True):
    """Items that are new, or that the receiver lacks.

    :param is_bulk: whether the items are a long repair. The receiver leaves
        their spread to digests, since most peers have them already.
    """

    items: list[Item]
    is_bulk: bool = False


@control_message('spread.offer')
class SpreadOffer(msgspec.Struct, array_like=True, frozen=True):
    """Versions of new items that are too large for a datagram."""

    versions: list[ItemVersion]


@control_message('spread.want')
class SpreadWant(msgspec.Struct, array_like=True, frozen=True):
    """Keys whose items the sender lacks."""

    keys: list[str]


@control_message('spread.digest')
class SpreadDigest(msgspec.Struct, array_like=True, frozen=True):
    """Hash of all items that are not retired."""

    root: int


@control_message('spread.buckets')
class SpreadBuckets(msgspec.Struct, array_like=True, frozen=True):
    """Hash of each bucket, 8 bytes each in network order."""

    hashes: bytes


@control_message('spread.versions')
class SpreadVersions(msgspec.Struct, array_like=True, frozen=True):
    """All versions in some buckets.

    :param buckets: numbers of the buckets that are listed completely.
    """

    buckets: list[int]
    versions: list[ItemVersion]


SPREAD_MESSAGES = (
    SpreadItems,
    SpreadOffer,
    SpreadWant,
    SpreadDigest,
    SpreadBuckets,
    SpreadVersions,
)
