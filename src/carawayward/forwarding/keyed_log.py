"""The interface to a log that keeps the newest record of each key."""

import math
import typing

import attrs


@attrs.frozen
class Record:
    """One record; a value of None removes the key.

    All offsets in this module, such as ``offset``, are positions as defined
    in ``positions``.
    """

    key: str
    value: bytes | None
    offset: int = 0


@attrs.frozen
class Batch:
    """Records read, and the offset from which to continue.

    ``complete`` is False if the log held more records than were read.
    """

    records: list[Record]
    end: int
    complete: bool = True


class HistoryLost(Exception):
    """The requested records are no longer in the log; use ``read_newest``.

    ``first`` is the offset of the first one that is; None if it is unknown.
    """

    def __init__(self, first: int | None = None) -> None:
        super().__init__("the records have expired; list the newest ones")
        self.first = first


class ListingShorter(Exception):
    """The records wanted are longer than the newest ones; list those."""


class EraChanged(HistoryLost):
    """The position belongs to a former era of the log."""


class Conflict(Exception):
    """A conditional append was rejected: the log ends at another offset."""

    def __init__(self, end: int) -> None:
        super().__init__(
            f"conditional append rejected: the log ends at {end};"
            " read the new records and retry"
        )
        self.end = end


class KeyedLog(typing.Protocol):
    """One topic of the platform's store.

    All calls raise PlatformUnavailable if there is no usable answer.
    """

    async def read_newest(self) -> Batch:
        """Read the newest record of every key."""

    async def read(
        self, start: int, wait_ms: float, listing_bytes: float = math.inf
    ) -> Batch:
        """Read records from ``start`` on, waiting up to ``wait_ms`` for one.

        Raises HistoryLost if the records from ``start`` on are unavailable,
        and ListingShorter if there are several, longer than ``listing_bytes``
        together, which is how long the answer of ``read_newest`` would be.
        """

    async def append(
        self, records: typing.Sequence[Record], end: int | None = None
    ) -> int:
        """Append all records or none; return the new end of the log.

        If ``end`` is given, raises Conflict unless the log ends there.
        """
