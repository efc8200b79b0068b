"""Positions of route tables in the history of the store."""

from typing import NamedTuple

_REVISION_BITS = 48
_MAX_REVISION = (1 << _REVISION_BITS) - 1
_ERA_MASK = 0xFFFF


class TablePosition(NamedTuple):
    """Position in the history of the store; positions are ordered.

    A store that comes back from a copy continues from the copy's revision,
    so a revision can name two states. The era tells them apart.

    :param era: number from 1 that rises each time the store comes back from a
        copy; 0 if the store does not say. A table without an era is older
        than any with one.
    :param revision: revision of the store within the era.
    """

    era: int
    revision: int

    def pack(self) -> int:
        """Return the position as an unsigned 64-bit number.

        >>> TablePosition.unpack(TablePosition(3, 41).pack())
        TablePosition(era=3, revision=41)
        """
        era = self.era & _ERA_MASK
        return era << _REVISION_BITS | self.revision & _MAX_REVISION

    @classmethod
    def unpack(cls, packed: int) -> 'TablePosition':
        """Return the position that :meth:`pack` packed."""
        return cls(packed >> _REVISION_BITS, packed & _MAX_REVISION)


NO_POSITION = TablePosition(0, 0)
