"""Splits a stream of server-sent events into complete events.

Only complete events are relayed: an endpoint may fail in the middle of one,
and the rest of the stream may then come from another endpoint.
"""

import attrs

# Engines' events are some hundred bytes. A longer one than this is malformed;
# buffering it would use up the memory of the entry VM.
MAX_EVENT_BYTES = 1_048_576


class MalformedStream(Exception):
    """The endpoint's response is not a valid stream of events."""


@attrs.frozen
class ServerEvent:
    """One event as received; ``number`` is its id if that is an integer."""

    raw: bytes
    number: int | None


@attrs.define
class EventSplitter:
    """Buffers bytes until an event is complete."""

    pending: bytes = b""

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add received bytes; return the events that they complete."""
        self.pending += data
        events = []
        while True:
            end = self._find_end()
            if end < 0:
                break
            raw, self.pending = self.pending[:end], self.pending[end:]
            events.append(ServerEvent(raw, parse_event_id(raw)))
        if len(self.pending) > MAX_EVENT_BYTES:
            raise MalformedStream("event too large")
        return events

    def _find_end(self) -> int:
        ends = [
            self.pending.find(delimiter) + len(delimiter)
            for delimiter in (b"\n\n", b"\r\n\r\n")
            if delimiter in self.pending
        ]
        return min(ends, default=-1)


def parse_event_id(raw: bytes) -> int | None:
    """Parse an event's id; None if it has none or it is not a number."""
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
