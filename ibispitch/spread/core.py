"""Rumour mongering and anti-entropy over a replicated map."""

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

RUMOUR_PEERS = 3
RUMOUR_INTERVAL_S = 1.0
DIGEST_INTERVAL_S = 1.0

#: Sustained and burst bytes of rumours. A burst of changes then takes
#: longer to spread instead of exceeding 4 KB/s of control traffic.
RUMOUR_BYTES_PER_S = 2400.0
RUMOUR_BURST_BYTES = 7200.0

#: A datagram with its frame stays below every usual MTU.
MAX_DATAGRAM_BYTES = 1200
MAX_DATAGRAM_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - FRAME_OVERHEAD_BYTES
#: Room for the tag and the array headers of a list message.
LIST_OVERHEAD_BYTES = 40
#: Repairs of more datagrams than this go by a stream.
MAX_REPAIR_DATAGRAMS = 2
#: Messages in streams are kept well below the limit of 1 MB.
MAX_STREAM_MESSAGE_BYTES = 256 * 1024

#: Tombstones outlive the longest partition that is expected.
TOMBSTONE_S = 24 * 3600.0


class SendDatagram(NamedTuple):
    """Send a message to a peer in one datagram."""

    to: Any
    message: Any


class SendStream(NamedTuple):
    """Send messages to a peer over a TCP stream."""

    to: Any
    messages: list


class ItemChanged(NamedTuple):
    """The map holds a new version of an item."""

    item: Item


class ItemDropped(NamedTuple):
    """The tombstone of an item has expired."""

    item: Item


Effect = SendDatagram | SendStream | ItemChanged | ItemDropped


def _split(parts: Iterable, limit: int) -> list[list]:
    """Split parts of a message into lists of at most ``limit`` bytes."""
    lists: list[list] = []
    size = limit
    for part in parts:
        part_size = len(msgspec.msgpack.encode(part))
        if size + part_size > limit - LIST_OVERHEAD_BYTES:
            lists.append([])
            size = 0
        lists[-1].append(part)
        size += part_size
    return lists


def _as_bulk(effect: Effect) -> Effect:
    if not isinstance(effect, SendStream):
        return effect
    messages = [
        SpreadItems(message.items, True) for message in effect.messages
    ]
    return SendStream(effect.to, messages)


class _ByteBudget:
    """Token bucket over the bytes of rumours."""

    def __init__(self):
        self._tokens = RUMOUR_BURST_BYTES
        self._at: float | None = None

    def refill(self, now: float) -> None:
        if self._at is not None:
            earned = max(0.0, now - self._at) * RUMOUR_BYTES_PER_S
            self._tokens = min(RUMOUR_BURST_BYTES, self._tokens + earned)
        self._at = now

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
        self._map = ItemMap()
        self._peers: list = []
        #: How often each rumour was sent, by key.
        self._sends_by_key: dict[str, int] = {}
        self._retired_at_by_key: dict[str, float] = {}
        self._budget = _ByteBudget()
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
        """All items by key, tombstones included; not to be changed."""
        return self._map.by_key

    @property
    def root(self) -> int:
        """Hash of all items that are not retired."""
        return self._map.root

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
        """Put an item into the map.

        :param key: name of the item.
        :param version: nothing happens unless it is greater than the
            version in the map.
        :param value: opaque bytes.
        :param retired: see :class:`Item`.
        :param rumour: whether to send the item to peers; without it only
            digests spread it.
        :returns: effects to carry out.
        """
        item = Item(key, tuple(version), value, retired)
        return self._accept(item, rumour)

    def tick(self, now: float) -> list[Effect]:
        """Send what is due.

        A new rumour is sent at the next tick, so that an edit crosses the
        fleet in a few ticks; it is repeated once a second.

        :param now: monotonic time in seconds.
        :returns: effects to carry out.
        """
        if math.isinf(self._now):
            # Tombstones published before the first tick have no time yet.
            self._retired_at_by_key = dict.fromkeys(
                self._retired_at_by_key, now
            )
        self._now = now
        self._budget.refill(now)
        effects = self._rumours(now)
        if now >= self._digest_due and self._peers:
            self._digest_due = now + DIGEST_INTERVAL_S
            peer = self._rng.choice(self._peers)
            effects.append(SendDatagram(peer, SpreadDigest(self._map.root)))
            effects += self._drop_tombstones(now)
        return effects

    def on_message(
        self, sender: Any, message: Any, now: float
    ) -> list[Effect]:
        """Handle a message of another peer.

        :param sender: identifier of the peer.
        :param message: one of ``SPREAD_MESSAGES``.
        :param now: monotonic time in seconds.
        :returns: effects to carry out.
        """
        self._now = now
        return self._handlers[type(message)](sender, message)

    def start_exchange(self, peer: Any) -> list[Effect]:
        """Start an exchange of digests with one peer at once."""
        return [SendDatagram(peer, SpreadDigest(self._map.root))]

    def _accept(self, item: Item, rumour: bool) -> list[Effect]:
        if not self._map.put(item):
            return []
        self._sends_by_key.pop(item.key, None)
        if rumour:
            self._sends_by_key[item.key] = 0
        self._retired_at_by_key.pop(item.key, None)
        if item.retired:
            self._retired_at_by_key[item.key] = self._now
        return [ItemChanged(item)]

    def _drop_tombstones(self, now: float) -> list[Effect]:
        expired = [
            key
            for key, at in self._retired_at_by_key.items()
            if now - at > TOMBSTONE_S
        ]
        effects: list[Effect] = []
        for key in expired:
            del self._retired_at_by_key[key]
            self._sends_by_key.pop(key, None)
            effects.append(ItemDropped(self._map.by_key[key]))
            self._map.drop(key)
        return effects

    def _max_sends(self) -> int:
        return 3 * math.ceil(math.log2(len(self._peers) + 2))

    def _rumours(self, now: float) -> list[Effect]:
        repeat = now >= self._rumours_due
        keys = sorted(
            (sends, key)
            for key, sends in self._sends_by_key.items()
            if repeat or sends == 0
        )
        if not keys or not self._peers:
            return []
        count = min(RUMOUR_PEERS, len(self._peers))
        batch, message_list = self._pack_rumours([key for _, key in keys])
        size = sum(len(encode_message(m)) for m in message_list)
        if not self._budget.spend(count * size):
            return []
        if repeat:
            self._rumours_due = now + RUMOUR_INTERVAL_S
        for key in batch:
            self._sends_by_key[key] += count
            if self._sends_by_key[key] + count > self._max_sends():
                del self._sends_by_key[key]
        return [
            SendDatagram(peer, message)
            for peer in self._rng.sample(self._peers, count)
            for message in message_list
        ]

    def _pack_rumours(self, keys: list[str]) -> tuple[list[str], list]:
        """Choose rumours for one datagram of items or one of offers."""
        room = MAX_DATAGRAM_MESSAGE_BYTES - LIST_OVERHEAD_BYTES
        batch, items, offers = [], [], []
        for key in keys:
            item = self._map.by_key[key]
            if self._is_large(item):
                part, parts = self._map.version_by_key[key], offers
            else:
                part, parts = item, items
            room -= len(msgspec.msgpack.encode(part))
            if room < 0:
                break
            batch.append(key)
            parts.append(part)
        messages: list = [SpreadItems(items)] if items else []
        if offers:
            messages.append(SpreadOffer(offers))
        return batch, messages

    @staticmethod
    def _is_large(item: Item) -> bool:
        limit = MAX_DATAGRAM_MESSAGE_BYTES - LIST_OVERHEAD_BYTES
        return len(msgspec.msgpack.encode(item)) > limit

    def _send(self, peer: Any, make: Callable, parts: list) -> list[Effect]:
        """Send parts of a message by datagrams, or by a stream if long."""
        if not parts:
            return []
        lists = _split(parts, MAX_DATAGRAM_MESSAGE_BYTES)
        fits = all(
            len(encode_message(make(part))) <= MAX_DATAGRAM_MESSAGE_BYTES
            for part in lists[: MAX_REPAIR_DATAGRAMS + 1]
        )
        if fits and len(lists) <= MAX_REPAIR_DATAGRAMS:
            return [SendDatagram(peer, make(part)) for part in lists]
        lists = _split(parts, MAX_STREAM_MESSAGE_BYTES)
        return [SendStream(peer, [make(part) for part in lists])]

    def _send_items(self, peer: Any, keys: Iterable[str]) -> list[Effect]:
        items = [
            self._map.by_key[key] for key in keys if key in self._map.by_key
        ]
        effects = self._send(peer, SpreadItems, items)
        if len(items) == 1:
            return effects
        return [_as_bulk(effect) for effect in effects]

    def _on_items(self, sender: Any, message: SpreadItems) -> list[Effect]:
        changes = [
            effect
            for item in message.items
            for effect in self._accept(item, not message.is_bulk)
        ]
        # Digests leave tombstones out, so a sender that has missed one
        # would otherwise keep the older version until it asks by itself.
        missed = [item.key for item in message.items if self._is_buried(item)]
        return changes + self._send_items(sender, missed)

    def _is_buried(self, item: Item) -> bool:
        held = self._map.by_key[item.key]
        return held.retired and is_newer(
            self._map.version_by_key[item.key], item_version(item)
        )

    def _on_offer(self, sender: Any, message: SpreadOffer) -> list[Effect]:
        known = self._map.version_by_key
        keys = [
            version.key
            for version in message.versions
            if is_newer(version, known.get(version.key))
        ]
        return self._send(sender, SpreadWant, keys)

    def _on_want(self, sender: Any, message: SpreadWant) -> list[Effect]:
        return self._send_items(sender, message.keys)

    def _on_digest(self, sender: Any, message: SpreadDigest) -> list[Effect]:
        if message.root == self._map.root:
            return []
        return [SendDatagram(sender, SpreadBuckets(self._map.hashes()))]

    def _on_buckets(self, sender: Any, message: SpreadBuckets) -> list[Effect]:
        try:
            buckets = self._map.differing(message.hashes)
        except struct.error:
            return []
        if not buckets:
            return []
        versions = self._map.versions(buckets)
        whole = SpreadVersions(buckets, versions)
        size = len(encode_message(whole))
        if size <= MAX_DATAGRAM_MESSAGE_BYTES:
            return [SendDatagram(sender, whole)]
        messages = [
            SpreadVersions([bucket], self._map.versions([bucket]))
            for bucket in buckets
        ]
        return [SendStream(sender, messages)]

    def _on_versions(
        self, sender: Any, message: SpreadVersions
    ) -> list[Effect]:
        theirs = {version.key: version for version in message.versions}
        ours = self._map.version_by_key
        wanted = [
            key
            for key, version in theirs.items()
            if is_newer(version, ours.get(key))
        ]
        buckets = [b for b in message.buckets if 0 <= b < BUCKETS]
        lacking = [
            key
            for key in self._map.keys(buckets)
            if self._is_lacking(key, theirs)
        ]
        return self._send_items(sender, lacking) + self._send(
            sender, SpreadWant, wanted
        )

    def _is_lacking(self, key: str, theirs: dict) -> bool:
        """Tell whether a peer that listed ``theirs`` needs our item.

        A tombstone is needed only by a peer that has an older version.
        """
        if key not in theirs:
            return not self._map.by_key[key].retired
        return is_newer(self._map.version_by_key[key], theirs[key])
