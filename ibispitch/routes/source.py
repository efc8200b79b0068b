"""Interface of the store for the reader of routes."""

import enum
from typing import NamedTuple
from typing import Protocol

from ibispitch.ids import DatacentreName
from ibispitch.routes.model import RouteTable


class RoutesOrigin(enum.Enum):
    """Where a process has got a change of its routes from."""

    STORE = 'store'
    #: A process of the same data centre.
    NEAR = 'near'
    #: A process of another data centre.
    FAR = 'far'


class SourceError(Exception):
    """The store did not answer, or its answer is not usable."""


class HistoryLostError(SourceError):
    """The store no longer has the changes since a revision."""


class RoutesChange(NamedTuple):
    """New routes; revision and data centres of the table are not set."""

    revision: int
    table: RouteTable


class DatacentreChange(NamedTuple):
    """A data centre was taken out of service or returned to it."""

    revision: int
    datacentre: DatacentreName
    is_out: bool


Change = RoutesChange | DatacentreChange


class Changes(NamedTuple):
    """Changes in their order, complete up to a revision.

    :param era: era of the store, 0 if it reports none.
    """

    revision: int
    changes: tuple[Change, ...]
    era: int = 0


class RouteSource(Protocol):
    """Reads routes and the data centres that are out of service."""

    async def read(self) -> RouteTable:
        """Return the whole table at the store's current position.

        :raises SourceError: if there is no answer or no table in it.
        """

    async def wait(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision.

        :param after: the last revision that is known.
        :param wait_s: time to wait for a change.
        :raises HistoryLostError: if the changes are no longer available; read
            the whole table again.
        :raises SourceError: if there is no answer.
        """
