"""The changes of a topic that an entry VM can pass on to others."""

import typing

import attrs

from carawayward.forwarding import keyed_log
from carawayward.forwarding import positions

# Removed keys that are remembered; older removals cannot be passed on.
MAX_REMOVED = 1_000


@attrs.frozen
class Change:
    """The newest record of a key; without a value the key was removed."""

    offset: int
    key: str
    value: bytes | None


@attrs.define(eq=False)
class ChangeLog:
    """The newest record of each key, by the offset at which it was written.

    Superseded records are left out, so that a burst of changes to one key
    costs as much as one. Who is at ``floor`` or later is brought up to date
    by ``list_since``; before it, removals are not known.
    """

    floor: int = 0
    newest: dict[str, Change] = attrs.field(factory=dict)
    removed: dict[str, Change] = attrs.field(factory=dict)

    def replace(
        self,
        records: typing.Iterable[keyed_log.Record],
        start: int | None,
        end: int,
    ) -> None:
        """Take all newest records, read up to ``end``.

        With ``start``, the position reached before, keys that are missing
        now were removed since; without it, or if it is of another era,
        nothing is known of removals.
        """
        known = self.newest
        self.newest = {
            each.key: Change(each.offset, each.key, each.value)
            for each in records
        }
        if start is None or not positions.is_same_era(start, end):
            self.floor = end
            self.removed.clear()
            return
        for key in known.keys() - self.newest.keys():
            self._remove(key, start)

    def apply(self, record: keyed_log.Record) -> None:
        """Take one record."""
        self.newest.pop(record.key, None)
        if record.value is None:
            self._remove(record.key, record.offset)
            return
        self.removed.pop(record.key, None)
        self.newest[record.key] = Change(
            record.offset, record.key, record.value
        )

    def list_since(self, start: int) -> list[Change] | None:
        """Changes from ``start`` on by offset; None if some are unknown."""
        if start < self.floor:
            return None
        found = [
            each
            for kept in (self.newest, self.removed)
            for each in kept.values()
            if each.offset >= start
        ]
        return sorted(found, key=lambda each: each.offset)

    def _remove(self, key: str, offset: int) -> None:
        self.removed.pop(key, None)
        self.removed[key] = Change(offset, key, None)
        while len(self.removed) > MAX_REMOVED:
            oldest = self.removed.pop(next(iter(self.removed)))
            self.floor = max(self.floor, oldest.offset + 1)
