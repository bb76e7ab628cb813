"""The port to a log that keeps the newest record of each key."""

import typing

import attrs


@attrs.frozen
class Record:
    """One record; without a value the key is dropped.

    ``offset`` is its position, as are all that this module speaks of: see
    ``positions``.
    """

    key: str
    value: bytes | None
    offset: int = 0


@attrs.frozen
class Batch:
    """Records read, and the offset to go on from.

    ``complete`` is False where the log held more than was read.
    """

    records: list[Record]
    end: int
    complete: bool = True


class HistoryLost(Exception):
    """The records asked for have left the log; read the newest instead."""


class EraChanged(HistoryLost):
    """The log is another than the one that the position is of."""


class Conflict(Exception):
    """The log did not end at the offset that an append was conditional on."""

    def __init__(self, end: int) -> None:
        super().__init__(f"the log ends at {end}; read on and decide again")
        self.end = end


class KeyedLog(typing.Protocol):
    """One topic of the platform's store.

    All calls raise PlatformUnavailable without a usable answer.
    """

    async def read_newest(self) -> Batch:
        """The newest record of every key."""

    async def read(self, start: int, wait_ms: float) -> Batch:
        """Records from ``start`` on; waits for one, raises HistoryLost."""

    async def append(
        self, records: typing.Sequence[Record], end: int | None = None
    ) -> int:
        """Append all or nothing; return the new end.

        With ``end`` it raises Conflict unless the log ends there.
        """
