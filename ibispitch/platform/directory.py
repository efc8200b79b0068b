"""The list of balancers in the platform's store."""

from typing import NamedTuple

from ibispitch.fleet.directory import decode_directory
from ibispitch.fleet.directory import encode_directory
from ibispitch.platform.store import MetadataStore

KEY = 'fleet/balancers'


class StoredDirectory(NamedTuple):
    """A list of balancers, and the era of the store that has it."""

    ips: tuple[str, ...]
    era: int


async def read_directory(store: MetadataStore) -> StoredDirectory:
    """Return the stored list; it may be seconds old.

    :raises StoreCallError: if the store did not answer.
    :raises ValueError: if there is no readable list.
    """
    listing = await store.list(KEY, may_be_stale=True)
    for item in listing.items:
        if item.key == KEY and item.value is not None:
            return StoredDirectory(decode_directory(item.value), listing.era)
    raise ValueError(f'the store has no {KEY}')


async def write_directory(store: MetadataStore, ips: tuple[str, ...]) -> None:
    """Store a list, whatever the store has.

    :raises StoreCallError: if the store did not confirm the write. It may
        have been made, which does no harm.
    """
    await store.put(KEY, encode_directory(ips))
