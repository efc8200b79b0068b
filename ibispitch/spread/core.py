"""Rumour mongering and anti-entropy for a replicated map."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
import random
import struct
from typing import Any
from typing import NamedTuple

import msgspec

from ibispitch.spread.itemmap import BUCKETS
from ibispitch.spread.itemmap import is_newer
from ibispitch.spread.itemmap import item_version
from ibispitch.spread.itemmap import ItemMap
from ibispitch.spread.messages import Item
from ibispitch.spread.messages import SpreadBuckets
from ibispitch.spread.messages import SpreadDigest
from ibispitch.spread.messages import SpreadItems
from ibispitch.spread.messages import SpreadOffer
from ibispitch.spread.messages import SpreadVersions
from ibispitch.spread.messages import SpreadWant
from ibispitch.wire.frames import FRAME_OVERHEAD_BYTES
from ibispitch.wire.messages import encode_message

PEERS_PER_RUMOUR = 3
RUMOUR_INTERVAL_S = 1.0
DIGEST_INTERVAL_S = 1.0

#: Sustained and burst limits of rumours. Because of them, a burst of changes
#: takes longer to spread instead of exceeding 4 KB/s of control traffic.
RUMOUR_BYTES_PER_S = 2400.0
RUMOUR_BURST_BYTES = 7200.0

#: A datagram with its frame header is smaller than any common MTU.
MAX_DATAGRAM_BYTES = 1200
MAX_DATAGRAM_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - FRAME_OVERHEAD_BYTES
#: Upper bound for the tag and the array headers of a message with a list.
LIST_OVERHEAD_BYTES = 40
#: A reply that needs more datagrams than this is sent over a stream.
MAX_DATAGRAMS_PER_REPLY = 2
#: Well below the message limit of 1 MB.
MAX_STREAM_MESSAGE_BYTES = 256 * 1024

#: Longer than any partition that is expected.
TOMBSTONE_LIFETIME_S = 24 * 3600.0


class SendDatagram(NamedTuple):
    """Send a message to a peer in one datagram."""

    to: Any
    message: Any


class SendStream(NamedTuple):
    """Send messages to a peer over a TCP stream."""

    to: Any
    messages: list


class ItemChanged(NamedTuple):
    """A new version of an item was stored in the map."""

    item: Item


class ItemDropped(NamedTuple):
    """A tombstone has expired and was removed from the map."""

    item: Item


Effect = SendDatagram | SendStream | ItemChanged | ItemDropped


def _split_into_chunks(parts: Iterable, limit: int) -> list[list]:
    """Split a list of a message into chunks of at most ``limit`` bytes."""
    chunks: list[list] = []
    size = limit
    for part in parts:
        part_size = len(msgspec.msgpack.encode(part))
        if size + part_size > limit - LIST_OVERHEAD_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(part)
        size += part_size
    return chunks


def _mark_bulk(effect: Effect) -> Effect:
    if not isinstance(effect, SendStream):
        return effect
    messages = [
        SpreadItems(message.items, True) for message in effect.messages
    ]
    return SendStream(effect.to, messages)


class _RumourBudget:
    """Token bucket that limits the bytes sent as rumours."""

    def __init__(self):
        self._tokens = RUMOUR_BURST_BYTES
        self._refilled_at: float | None = None

    def refill(self, now: float) -> None:
        if self._refilled_at is not None:
            added = max(0.0, now - self._refilled_at) * RUMOUR_BYTES_PER_S
            self._tokens = min(RUMOUR_BURST_BYTES, self._tokens + added)
        self._refilled_at = now

    def spend(self, amount: int) -> bool:
        if amount > self._tokens:
            return False
        self._tokens -= amount
        return True


class SpreadCore:
    """One copy of the replicated map.

    :param self_id: identifier of this peer.
    :param rng: source of the choice of peers.

    >>> core = SpreadCore('b1', random.Random(1))
    >>> core.set_peers(['b1', 'b2'])
    >>> core.publish('entries/bench', (7,), b'value')
    [ItemChanged(item=Item(key='entries/bench', version=(7,), \
value=b'value', retired=False))]
    >>> core.publish('entries/bench', (6,), b'older')
    []
    >>> [type(effect.message).__name__ for effect in core.tick(0.0)]
    ['SpreadItems', 'SpreadDigest']
    """

    def __init__(self, self_id: Any, rng: random.Random):
        self._self_id = self_id
        self._rng = rng
        self._item_map = ItemMap()
        self._peers: list = []
        #: Number of times that each rumour was sent, by key.
        self._sends_by_key: dict[str, int] = {}
        self._retired_at_by_key: dict[str, float] = {}
        self._rumour_budget = _RumourBudget()
        self._now = -math.inf
        self._rumours_due = -math.inf
        self._digest_due = -math.inf
        self._handlers: dict[type, Callable] = {
            SpreadItems: self._on_items,
            SpreadOffer: self._on_offer,
            SpreadWant: self._on_want,
            SpreadDigest: self._on_digest,
            SpreadBuckets: self._on_buckets,
            SpreadVersions: self._on_versions,
        }

    @property
    def items(self) -> dict[str, Item]:
        """All items by key, with tombstones; must not be changed."""
        return self._item_map.by_key

    @property
    def root(self) -> int:
        """Hash of all items that are not retired."""
        return self._item_map.root

    def set_peers(self, ids: Iterable) -> None:
        """Set the peers that rumours and digests are sent to."""
        self._peers = [peer for peer in ids if peer != self._self_id]

    def publish(
        self,
        key: str,
        version: Sequence[int],
        value: bytes,
        *,
        retired: bool = False,
        rumour: bool = True,
    ) -> list[Effect]:
        """Store an item if its version is newer than the known one.

        :param key: name of the item.
        :param version: version of the item; ignored unless it is greater
            than the version in the map.
        :param value: opaque bytes.
        :param retired: see :class:`Item`.
        :param rumour: whether to send the item to peers; if not, peers get
            it only after an exchange of digests.
        :returns: effects to carry out.
        """
        item = Item(key, tuple(version), value, retired)
        return self._put(item, rumour)

    def tick(self, now: float) -> list[Effect]:
        """Send rumours and digests that are due.

        A new rumour is sent at the next tick, so that an edit reaches the
        whole fleet within a few ticks, and repeated once a second.

        :param now: monotonic time in seconds.
        :returns: effects to carry out.
        """
        if math.isinf(self._now):
            # Tombstones that were published before the first tick count
            # from now.
            self._retired_at_by_key = dict.fromkeys(
                self._retired_at_by_key, now
            )
        self._now = now
        self._rumour_budget.refill(now)
        effects = self._rumour_messages(now)
        if now >= self._digest_due and self._peers:
            self._digest_due = now + DIGEST_INTERVAL_S
            peer = self._rng.choice(self._peers)
            effects.append(
                SendDatagram(peer, SpreadDigest(self._item_map.root))
            )
            effects += self._drop_expired_tombstones(now)
        return effects

    def on_message(
        self, sender: Any, message: Any, now: float
    ) -> list[Effect]:
        """Handle a message from a peer.

        :param sender: identifier of the peer.
        :param message: one of ``SPREAD_MESSAGES``.
        :param now: monotonic time in seconds.
        :returns: effects to carry out.
        """
        self._now = now
        return self._handlers[type(message)](sender, message)

    def start_exchange(self, peer: Any) -> list[Effect]:
        """Start an exchange of digests with one peer immediately."""
        return [SendDatagram(peer, SpreadDigest(self._item_map.root))]

    def _put(self, item: Item, rumour: bool) -> list[Effect]:
        if not self._item_map.put(item):
            return []
        self._sends_by_key.pop(item.key, None)
        if rumour:
            self._sends_by_key[item.key] = 0
        self._retired_at_by_key.pop(item.key, None)
        if item.retired:
            self._retired_at_by_key[item.key] = self._now
        return [ItemChanged(item)]

    def _drop_expired_tombstones(self, now: float) -> list[Effect]:
        expired = [
            key
            for key, at in self._retired_at_by_key.items()
            if now - at > TOMBSTONE_LIFETIME_S
        ]
        effects: list[Effect] = []
        for key in expired:
            del self._retired_at_by_key[key]
            self._sends_by_key.pop(key, None)
            effects.append(ItemDropped(self._item_map.by_key[key]))
            self._item_map.drop(key)
        return effects

    def _max_sends(self) -> int:
        return 3 * math.ceil(math.log2(len(self._peers) + 2))

    def _rumour_messages(self, now: float) -> list[Effect]:
        repeat = now >= self._rumours_due
        keys = sorted(
            (sends, key)
            for key, sends in self._sends_by_key.items()
            if repeat or sends == 0
        )
        if not keys or not self._peers:
            return []
        count = min(PEERS_PER_RUMOUR, len(self._peers))
        packed_keys, messages = self._pack_rumours([key for _, key in keys])
        size = sum(len(encode_message(m)) for m in messages)
        if not self._rumour_budget.spend(count * size):
            return []
        if repeat:
            self._rumours_due = now + RUMOUR_INTERVAL_S
        for key in packed_keys:
            self._sends_by_key[key] += count
            if self._sends_by_key[key] + count > self._max_sends():
                del self._sends_by_key[key]
        return [
            SendDatagram(peer, message)
            for peer in self._rng.sample(self._peers, count)
            for message in messages
        ]

    def _pack_rumours(self, keys: list[str]) -> tuple[list[str], list]:
        """Choose rumours that fit into one datagram.

        Items that are too large for a datagram are offered by their version.

        :returns: the keys of the chosen rumours and the messages.
        """
        free_bytes = MAX_DATAGRAM_MESSAGE_BYTES - LIST_OVERHEAD_BYTES
        packed_keys, items, offers = [], [], []
        for key in keys:
            item = self._item_map.by_key[key]
            if self._is_large(item):
                part, parts = self._item_map.version_by_key[key], offers
            else:
                part, parts = item, items
            free_bytes -= len(msgspec.msgpack.encode(part))
            if free_bytes < 0:
                break
            packed_keys.append(key)
            parts.append(part)
        messages: list = [SpreadItems(items)] if items else []
        if offers:
            messages.append(SpreadOffer(offers))
        return packed_keys, messages

    @staticmethod
    def _is_large(item: Item) -> bool:
        limit = MAX_DATAGRAM_MESSAGE_BYTES - LIST_OVERHEAD_BYTES
        return len(msgspec.msgpack.encode(item)) > limit

    def _replies(
        self, peer: Any, message_type: Callable, parts: list
    ) -> list[Effect]:
        """Send a list to a peer in datagrams, or over a stream if long."""
        if not parts:
            return []
        chunks = _split_into_chunks(parts, MAX_DATAGRAM_MESSAGE_BYTES)
        fits = all(
            len(encode_message(message_type(part)))
            <= MAX_DATAGRAM_MESSAGE_BYTES
            for part in chunks[: MAX_DATAGRAMS_PER_REPLY + 1]
        )
        if fits and len(chunks) <= MAX_DATAGRAMS_PER_REPLY:
            return [SendDatagram(peer, message_type(part)) for part in chunks]
        chunks = _split_into_chunks(parts, MAX_STREAM_MESSAGE_BYTES)
        return [SendStream(peer, [message_type(part) for part in chunks])]

    def _item_replies(self, peer: Any, keys: Iterable[str]) -> list[Effect]:
        items = [
            self._item_map.by_key[key]
            for key in keys
            if key in self._item_map.by_key
        ]
        effects = self._replies(peer, SpreadItems, items)
        if len(items) == 1:
            return effects
        return [_mark_bulk(effect) for effect in effects]

    def _on_items(self, sender: Any, message: SpreadItems) -> list[Effect]:
        changes = [
            effect
            for item in message.items
            for effect in self._put(item, not message.is_bulk)
        ]
        # Digests do not contain tombstones, so a sender that has missed one
        # would otherwise keep the older version until it starts an exchange
        # itself.
        outdated_keys = [
            item.key
            for item in message.items
            if self._has_newer_tombstone(item)
        ]
        return changes + self._item_replies(sender, outdated_keys)

    def _has_newer_tombstone(self, item: Item) -> bool:
        own = self._item_map.by_key[item.key]
        return own.retired and is_newer(
            self._item_map.version_by_key[item.key], item_version(item)
        )

    def _on_offer(self, sender: Any, message: SpreadOffer) -> list[Effect]:
        own_version_by_key = self._item_map.version_by_key
        keys = [
            version.key
            for version in message.versions
            if is_newer(version, own_version_by_key.get(version.key))
        ]
        return self._replies(sender, SpreadWant, keys)

    def _on_want(self, sender: Any, message: SpreadWant) -> list[Effect]:
        return self._item_replies(sender, message.keys)

    def _on_digest(self, sender: Any, message: SpreadDigest) -> list[Effect]:
        if message.root == self._item_map.root:
            return []
        return [SendDatagram(sender, SpreadBuckets(self._item_map.hashes()))]

    def _on_buckets(self, sender: Any, message: SpreadBuckets) -> list[Effect]:
        try:
            buckets = self._item_map.differing(message.hashes)
        except struct.error:
            return []
        if not buckets:
            return []
        versions = self._item_map.versions(buckets)
        reply = SpreadVersions(buckets, versions)
        size = len(encode_message(reply))
        if size <= MAX_DATAGRAM_MESSAGE_BYTES:
            return [SendDatagram(sender, reply)]
        messages = [
            SpreadVersions([bucket], self._item_map.versions([bucket]))
            for bucket in buckets
        ]
        return [SendStream(sender, messages)]

    def _on_versions(
        self, sender: Any, message: SpreadVersions
    ) -> list[Effect]:
        their_version_by_key = {
            version.key: version for version in message.versions
        }
        own_version_by_key = self._item_map.version_by_key
        wanted = [
            key
            for key, version in their_version_by_key.items()
            if is_newer(version, own_version_by_key.get(key))
        ]
        buckets = [b for b in message.buckets if 0 <= b < BUCKETS]
        missing = [
            key
            for key in self._item_map.keys(buckets)
            if self._is_missing(key, their_version_by_key)
        ]
        return self._item_replies(sender, missing) + self._replies(
            sender, SpreadWant, wanted
        )

    def _is_missing(self, key: str, their_version_by_key: dict) -> bool:
        """Return whether a peer with these versions needs the item here.

        Only a peer that has an older version needs a tombstone.
        """
        if key not in their_version_by_key:
            return not self._item_map.by_key[key].retired
        return is_newer(
            self._item_map.version_by_key[key], their_version_by_key[key]
        )
