"""Messages between copies of the replicated map."""

import msgspec

from ibispitch.wire.messages import control_message


class Item(msgspec.Struct, array_like=True, frozen=True):
    """One version of one key.

    :param key: name of the item.
    :param version: compared element by element; the item with the greater
        one is kept.
    :param value: opaque bytes.
    :param retired: whether the item is a tombstone. Tombstones replace
        older versions, but are not part of digests and are removed after
        :data:`ibispitch.spread.core.TOMBSTONE_LIFETIME_S`.
    """

    key: str
    version: tuple[int, ...]
    value: bytes
    retired: bool = False


class ItemVersion(msgspec.Struct, array_like=True, frozen=True):
    """Version of an item without its value.

    :param value_hash: hash of the value and of ``retired``; decides between
        items of the same version.
    """

    key: str
    version: tuple[int, ...]
    value_hash: int


@control_message('spread.items')
class SpreadItems(msgspec.Struct, array_like=True, frozen=True):
    """Items that are new or that the receiver does not have.

    :param is_bulk: whether the items are a repair that was too long for
        datagrams. The receiver does not send them on as rumours, since most
        peers have them already; others get them after an exchange of
        digests.
    """

    items: list[Item]
    is_bulk: bool = False


@control_message('spread.offer')
class SpreadOffer(msgspec.Struct, array_like=True, frozen=True):
    """Versions of new items that are too large for a datagram."""

    versions: list[ItemVersion]


@control_message('spread.want')
class SpreadWant(msgspec.Struct, array_like=True, frozen=True):
    """Keys of items that the sender does not have."""

    keys: list[str]


@control_message('spread.digest')
class SpreadDigest(msgspec.Struct, array_like=True, frozen=True):
    """Hash of all items that are not retired."""

    root: int


@control_message('spread.buckets')
class SpreadBuckets(msgspec.Struct, array_like=True, frozen=True):
    """Hashes of all buckets, 8 bytes each in network byte order."""

    hashes: bytes


@control_message('spread.versions')
class SpreadVersions(msgspec.Struct, array_like=True, frozen=True):
    """Versions of all items in some buckets, without tombstones.

    :param buckets: numbers of the buckets.
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
