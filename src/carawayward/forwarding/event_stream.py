"""Splits a stream of server-sent events into whole events.

Only whole events are passed on: an endpoint may break off in the middle of
one, and the rest of the stream may then come from another endpoint.
"""

import attrs

# Events of engines are some hundred bytes; one that grows past this is no
# event, and keeping it would use up the memory of the entry VM.
MOST_EVENT_BYTES = 1_048_576


class MalformedStream(Exception):
    """What the endpoint sends is no stream of events."""


@attrs.frozen
class ServerEvent:
    """One event as it came, and its id if it has a whole number."""

    raw: bytes
    number: int | None


@attrs.define
class EventSplitter:
    """Collects bytes until an event is whole."""

    pending: bytes = b""

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Take bytes; return the events that are whole now."""
        self.pending += data
        found = []
        while True:
            end = self._find_end()
            if end < 0:
                break
            raw, self.pending = self.pending[:end], self.pending[end:]
            found.append(ServerEvent(raw, read_number(raw)))
        if len(self.pending) > MOST_EVENT_BYTES:
            raise MalformedStream("an event never ends")
        return found

    def _find_end(self) -> int:
        ends = [
            self.pending.find(mark) + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n")
            if mark in self.pending
        ]
        return min(ends, default=-1)


def read_number(raw: bytes) -> int | None:
    """The id of an event, None if it has none or it is no number."""
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
