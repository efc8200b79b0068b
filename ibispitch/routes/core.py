"""The routes that a process believes in, and how fresh they are."""

import msgspec

from ibispitch.routes.model import RouteIndex
from ibispitch.routes.model import RouteTable
from ibispitch.routes.model import same_content
from ibispitch.routes.source import Change
from ibispitch.routes.source import DatacentreChange


class RoutesCore:
    """Keeps the newest route table, never an older one.

    The revision of a table is one up to which it holds all changes, so that
    tables from the store and from other processes can be compared.
    """

    def __init__(self):
        self.index: RouteIndex | None = None
        #: Time at which the store last confirmed the table.
        self.confirmed_at = float('-inf')

    @property
    def revision(self) -> int:
        """Revision of the table, 0 if there is none."""
        return self.index.revision if self.index else 0

    def replace_if_newer(self, table: RouteTable) -> bool:
        """Take in a whole table.

        :returns: whether its content replaced the former one.
        """
        if table.revision <= self.revision:
            return False
        former = self.index.table if self.index else None
        if former is not None and table.version < former.version:
            return False
        self.index = RouteIndex(table)
        return not same_content(former, table)

    def apply(self, changes: tuple[Change, ...]) -> bool:
        """Take in changes in the order of their revisions.

        :returns: whether the table has changed.
        """
        if self.index is None:
            return False
        former = self.index.table
        table = former
        for change in changes:
            if change.revision > table.revision:
                table = _changed(table, change)
        if table is former:
            return False
        self.index = RouteIndex(table)
        return True

    def record_confirmation(self, revision: int, at: float) -> None:
        """Note that the table was the newest one at a time.

        :param revision: revision of the table that was confirmed.
        :param at: time in seconds.
        """
        if revision == self.revision:
            self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return the time since the table was confirmed."""
        return now - self.confirmed_at


def _changed(table: RouteTable, change: Change) -> RouteTable:
    if isinstance(change, DatacentreChange):
        name = frozenset((change.datacentre,))
        out = table.out | name if change.is_out else table.out - name
        return msgspec.structs.replace(
            table, revision=change.revision, out=out
        )
    if change.table.version < table.version:
        return table
    return msgspec.structs.replace(
        change.table, revision=change.revision, out=table.out
    )
