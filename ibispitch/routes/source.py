"""What the reader of routes needs from a store."""

from typing import NamedTuple
from typing import Protocol

from ibispitch.ids import DatacentreName
from ibispitch.routes.model import RouteTable


class SourceError(Exception):
    """The store did not answer, or not with what was asked for."""


class HistoryLostError(SourceError):
    """The store no longer has the changes since a revision."""


class RoutesChange(NamedTuple):
    """New routes; the revision and data centres of the table are not set."""

    revision: int
    table: RouteTable


class DatacentreChange(NamedTuple):
    """A data centre that was taken out of service or returned."""

    revision: int
    datacentre: DatacentreName
    is_out: bool


Change = RoutesChange | DatacentreChange


class Changes(NamedTuple):
    """Changes in order, and the revision up to which they are complete."""

    revision: int
    changes: tuple[Change, ...]


class RouteSource(Protocol):
    """Reads routes and the data centres that are out."""

    async def read(self) -> RouteTable:
        """Return the whole table at the store's present revision.

        :raises SourceError: if there is no answer or no table.
        """

    async def wait(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision.

        :param after: the last revision that is known.
        :param wait_s: time to wait for a change.
        :raises HistoryLostError: if the table has to be read anew.
        :raises SourceError: if there is no answer.
        """
