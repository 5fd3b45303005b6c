"""Order of readings within the history of the store.

A store may be restored from a copy: later writes are lost, and their revision numbers
are assigned again. Each restore starts an era, so readings are ordered by era first.
Only this module compares them.
"""

import dataclasses
import enum


class PositionOrder(enum.StrEnum):
    """How a reading relates to the newest known one.

    :cvar OVERTAKEN: it shows an earlier state and is ignored.
    :cvar CURRENT: it is as new as the known one, or newer.
    :cvar RETURNED: the store has been restored from a copy since.
    """

    OVERTAKEN = "overtaken"
    CURRENT = "current"
    RETURNED = "returned"


@dataclasses.dataclass(frozen=True)
class Position:
    """Position of a reading in the history of the store.

    :param int era: how often the store has been restored from a copy.
    :param int revision: its revision in that era; -1 for none known.
    """

    era: int = 0
    revision: int = -1


def compare(reading, known):
    """Return how a reading relates to the newest known one.

    :param Position reading: position of the reading.
    :param Position known: position of the newest accepted reading.
    :rtype: PositionOrder

    >>> str(compare(Position(1, 104), Position(0, 110)))
    'returned'
    >>> str(compare(Position(0, 111), Position(1, 104)))
    'overtaken'
    >>> str(compare(Position(1, 105), Position(1, 104)))
    'current'
    """
    if reading.era > known.era:
        return PositionOrder.RETURNED
    if reading.era < known.era or reading.revision < known.revision:
        return PositionOrder.OVERTAKEN
    return PositionOrder.CURRENT
