"""The recent changes of a topic, as an entry VM passes them on to others."""

import itertools
import typing

import attrs

from carawayward.forwarding import keyed_log
from carawayward.forwarding import positions

# Number of removed keys that are kept; older removals cannot be passed on.
MAX_REMOVED = 1_000
# A list of records has their values in base64.
LISTING_FACTOR = 4.0 / 3.0
# What was on its way when an answer is given up for a list.
LISTING_COST_BYTES = 65_536


@attrs.frozen
class Change:
    """The newest record of a key; a value of None means it was removed."""

    offset: int
    key: str
    value: bytes | None


@attrs.define(eq=False)
class ChangeLog:
    """The newest record of each key, with the offset at which it was written.

    Superseded records are dropped, so that a burst of changes to one key
    costs no more than a single change. ``list_since`` covers positions from
    ``floor`` on; removals before that are not known. Both dicts are in the
    order of offsets. ``_listed`` caches lists since the last change: most
    clients of a delegate are at the same position.
    """

    floor: int = 0
    newest: dict[str, Change] = attrs.field(factory=dict)
    removed: dict[str, Change] = attrs.field(factory=dict)
    _listed: dict[int, list[Change]] = attrs.field(factory=dict)
    _newest_bytes: int = 0

    def replace(
        self,
        records: typing.Iterable[keyed_log.Record],
        start: int | None,
        end: int,
    ) -> None:
        """Replace all records by the newest of every key, read up to ``end``.

        ``start`` is the position read up to before. Keys that are missing
        now have been removed since then. If ``start`` is None, belongs to
        another era or is behind ``end``, removals cannot be derived and
        are forgotten.
        """
        self._listed.clear()
        known = self.newest
        self.newest = {
            each.key: Change(each.offset, each.key, each.value)
            for each in sorted(records, key=lambda each: each.offset)
        }
        self._newest_bytes = sum(map(_get_size, self.newest.values()))
        if (
            start is None
            or start > end
            or not positions.is_same_era(start, end)
        ):
            self.floor = end
            self.removed.clear()
            return
        for key in known.keys() - self.newest.keys():
            self._record_removal(key, start)

    def apply(self, record: keyed_log.Record) -> None:
        """Add one record."""
        self._listed.clear()
        known = self.newest.pop(record.key, None)
        if known is not None:
            self._newest_bytes -= _get_size(known)
        if record.value is None:
            self._record_removal(record.key, record.offset)
            return
        self.removed.pop(record.key, None)
        change = Change(record.offset, record.key, record.value)
        self.newest[record.key] = change
        self._newest_bytes += _get_size(change)

    def list_since(self, start: int) -> list[Change] | None:
        """List changes from ``start`` on by offset; None if some are lost."""
        if start < self.floor:
            return None
        found = self._listed.get(start)
        if found is None:
            found = [
                each
                for kept in (self.newest, self.removed)
                for each in itertools.takewhile(
                    lambda each: each.offset >= start,
                    reversed(kept.values()),
                )
            ]
            found.sort(key=lambda each: each.offset)
            self._listed[start] = found
        return found

    def estimate_listing_bytes(self) -> float:
        """What a list of the newest records costs, as bytes of an answer."""
        return LISTING_COST_BYTES + LISTING_FACTOR * self._newest_bytes

    def _record_removal(self, key: str, offset: int) -> None:
        self.removed.pop(key, None)
        self.removed[key] = Change(offset, key, None)
        while len(self.removed) > MAX_REMOVED:
            oldest = self.removed.pop(next(iter(self.removed)))
            self.floor = max(self.floor, oldest.offset + 1)


def _get_size(change: Change) -> int:
    return len(change.key) + len(change.value or b"")
