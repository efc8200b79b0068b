"""The current routes of a process, and the age of their confirmation.

The order of tables answers a store that comes back from a copy some seconds
old: its revisions go back and are given out again, and the operator's last
writes are missing until they are written again. Meanwhile no process may
return to an older configuration, nor use a data centre that was taken out.
"""

import msgspec

from ibispitch.ids import DatacentreName
from ibispitch.routes.model import has_same_content
from ibispitch.routes.model import RouteIndex
from ibispitch.routes.model import RouteTable
from ibispitch.routes.position import NO_POSITION
from ibispitch.routes.position import TablePosition
from ibispitch.routes.source import Change
from ibispitch.routes.source import DatacentreChange

#: Time for which a data centre stays out although the entry of it is missing
#: in a store that came back from a copy. The operator writes it again within
#: this time if it still applies.
HELD_OUT_S = 10.0


def merge_tables(one: RouteTable, other: RouteTable) -> RouteTable:
    """Return the table that contains what both tables contain.

    The operator's versions never fall, so the configuration is that of the
    greater version. The data centres that are out are those of the later
    position; those that were out in an earlier era are held out.
    """
    older, newer = sorted((one, other), key=lambda table: table.position)
    configuration = newer if newer.version >= older.version else older
    held_out = newer.held_out | older.held_out
    if newer.era != older.era:
        held_out |= older.out
    return msgspec.structs.replace(
        configuration, era=newer.era, revision=newer.revision,
        out=newer.out, held_out=held_out - newer.out,
    )  # fmt: skip


class RoutesCore:
    """Keeps the newest route table; nothing in it returns to an older state.

    A table contains all changes up to its position, so tables from the store
    and from other processes can be merged.
    """

    def __init__(self):
        self.index: RouteIndex | None = None
        #: Time at which the store last confirmed the table.
        self.confirmed_at = float('-inf')
        #: Time until which data centres are held out in the current era.
        self._held_until = float('-inf')
        #: Data centres that are no longer held out in the current era.
        self._released: frozenset[DatacentreName] = frozenset()

    @property
    def position(self) -> TablePosition:
        """Position of the table, the lowest one if there is none."""
        return self.index.position if self.index else NO_POSITION

    @property
    def version(self) -> int:
        """Version of the operator's configuration, 0 if there is none."""
        return self.index.table.version if self.index else 0

    def is_newer(self, position: TablePosition, version: int) -> bool:
        """Return whether a table would add something to this one."""
        return position > self.position or version > self.version

    def merge(self, table: RouteTable, now: float) -> bool:
        """Add what a table contains.

        :param table: from the store or another process.
        :param now: time in seconds.
        :returns: whether the content or the era has changed.
        """
        former = self.index.table if self.index else None
        if former is None:
            self._held_until = now + HELD_OUT_S
        else:
            table = merge_tables(former, table)
            if table.era != former.era:
                self._held_until = now + HELD_OUT_S
                self._released = frozenset()
        held_out = table.held_out - self._released
        table = msgspec.structs.replace(table, held_out=held_out)
        if table == former:
            return False
        self.index = RouteIndex(table)
        return (
            former is None
            or former.era != table.era
            or not has_same_content(former, table)
        )

    def apply(self, changes: tuple[Change, ...]) -> bool:
        """Apply changes of the current era in the order of their revisions.

        Changes that the table contains already are ignored.

        :returns: whether the table changed.
        """
        if self.index is None:
            return False
        former = self.index.table
        table = former
        for change in changes:
            if change.revision > table.revision:
                table = self._apply_change(table, change)
        if table is former:
            return False
        self.index = RouteIndex(table)
        return True

    def _apply_change(self, table: RouteTable, change: Change) -> RouteTable:
        if isinstance(change, DatacentreChange):
            name = frozenset((change.datacentre,))
            out = table.out | name if change.is_out else table.out - name
            self._released |= name
            return msgspec.structs.replace(
                table, revision=change.revision, out=out,
                held_out=table.held_out - name,
            )  # fmt: skip
        if change.table.version < table.version:
            return table
        return msgspec.structs.replace(
            change.table, era=table.era, revision=change.revision,
            out=table.out, held_out=table.held_out,
        )  # fmt: skip

    def record_confirmation(self, position: TablePosition, at: float) -> bool:
        """Record that the table was the newest one at a time.

        :param position: position of the table that was confirmed.
        :param at: time of the confirmation in seconds.
        :returns: whether the table changed: data centres that the operator
            has not taken out again are no longer held out.
        """
        if position != self.position or self.index is None:
            return False
        self.confirmed_at = max(self.confirmed_at, at)
        table = self.index.table
        if not table.held_out or self.confirmed_at < self._held_until:
            return False
        self._released |= table.held_out
        self.index = RouteIndex(
            msgspec.structs.replace(table, held_out=frozenset())
        )
        return True

    def age_s(self, now: float) -> float:
        """Return the time since the store last confirmed the table."""
        return now - self.confirmed_at
