"""Items of one copy of the map, with hashes for digests."""

from collections.abc import Iterable
import struct

import msgpack
import xxhash

from ibispitch.spread.messages import Item
from ibispitch.spread.messages import ItemVersion

BUCKETS = 64
_HASH_LAYOUT = struct.Struct(f'!{BUCKETS}Q')


def bucket_of(key: str) -> int:
    """Return the bucket number of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def item_hash(version: ItemVersion) -> int:
    """Return the hash of an item version that is used in digests."""
    return xxhash.xxh3_64_intdigest(
        msgpack.packb([version.key, version.version, version.value_hash])
    )


def item_version(item: Item) -> ItemVersion:
    """Return the version of an item and the hash of its value."""
    return ItemVersion(
        item.key,
        item.version,
        xxhash.xxh3_64_intdigest(item.value, seed=int(item.retired)),
    )


def is_newer(version: ItemVersion, than: ItemVersion | None) -> bool:
    """Return whether a version replaces another one of the same key.

    Values of the same version are ordered by their hash, so that all copies
    keep the same value.
    """
    if than is None:
        return True
    return (version.version, version.value_hash) > (
        than.version,
        than.value_hash,
    )


class ItemMap:
    """Items by key, and the hash of each bucket of keys.

    The hash of a bucket is the XOR of the hashes of its items that are not
    retired, so it is updated in constant time.
    """

    def __init__(self):
        self.by_key: dict[str, Item] = {}
        self.version_by_key: dict[str, ItemVersion] = {}
        self._keys_by_bucket: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._hashes = [0] * BUCKETS
        self.root = 0

    def __len__(self):
        return len(self.by_key)

    def _update_hashes(self, key: str) -> None:
        if self.by_key[key].retired:
            return
        value = item_hash(self.version_by_key[key])
        self._hashes[bucket_of(key)] ^= value
        self.root ^= value

    def put(self, item: Item) -> bool:
        """Store an item if it is newer.

        :returns: whether it was stored.
        """
        version = item_version(item)
        if not is_newer(version, self.version_by_key.get(item.key)):
            return False
        if item.key in self.by_key:
            self._update_hashes(item.key)
        self.by_key[item.key] = item
        self.version_by_key[item.key] = version
        self._keys_by_bucket[bucket_of(item.key)].add(item.key)
        self._update_hashes(item.key)
        return True

    def drop(self, key: str) -> None:
        """Remove an item."""
        self._update_hashes(key)
        del self.by_key[key]
        del self.version_by_key[key]
        self._keys_by_bucket[bucket_of(key)].discard(key)

    def hashes(self) -> bytes:
        """Return all bucket hashes."""
        return _HASH_LAYOUT.pack(*self._hashes)

    def differing(self, hashes: bytes) -> list[int]:
        """Return the buckets whose hash differs from the given one.

        :raises struct.error: if ``hashes`` has the wrong length.
        """
        return [
            bucket
            for bucket, value in enumerate(_HASH_LAYOUT.unpack(hashes))
            if value != self._hashes[bucket]
        ]

    def versions(self, buckets: Iterable[int]) -> list[ItemVersion]:
        """Return the versions of the items in some buckets, not tombstones."""
        return [
            self.version_by_key[key]
            for bucket in buckets
            for key in sorted(self._keys_by_bucket[bucket])
            if not self.by_key[key].retired
        ]

    def keys(self, buckets: Iterable[int]) -> list[str]:
        """Return the keys in some buckets, with tombstones."""
        return [
            key
            for bucket in buckets
            for key in sorted(self._keys_by_bucket[bucket])
        ]
