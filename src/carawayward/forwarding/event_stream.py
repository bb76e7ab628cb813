"""Splits a stream of server-sent events into complete events.

Only complete events are relayed: an endpoint may fail in the middle of one,
and the rest of the stream may then come from another endpoint.
"""

import re

import attrs

# Engines' events are some hundred bytes. A longer one than this is malformed;
# buffering it would use up the memory of the entry VM. Other bytes that bring
# no event, such as empty lines and comments, are limited to as many.
MAX_EVENT_BYTES = 1_048_576
# The end of an event, with all empty lines that follow it and all complete
# events that have neither an id nor data, such as comments. To split off each
# of these would take many times as long as to find their end.
EVENT_END = re.compile(
    rb"\r?\n(?:\r?\n)+(?:(?:(?!id|data)[^\r\n]+\r?\n)+(?:\r?\n)+)*"
)
# As many bytes of a longer one may be at the end of what was searched.
MAX_PARTIAL_END = 3
FIELDS = re.compile(rb"(?:^|[\r\n])(id|data)(?::([^\r\n]*))?(?=[\r\n])")
# Longer numbers than this count no events, and would be slow to convert.
MAX_ID_DIGITS = 18


class MalformedStream(Exception):
    """The endpoint's response is not a valid stream of events."""


@attrs.frozen
class ServerEvent:
    """One event as received; ``number`` is its id if that is an integer.

    ``has_data`` is False for comments and empty lines.
    """

    raw: bytes
    number: int | None
    has_data: bool


@attrs.define
class EventSplitter:
    """Buffers bytes until an event is complete.

    ``searched`` bytes of ``pending`` hold no end of an event.
    """

    pending: bytearray = attrs.field(factory=bytearray)
    searched: int = 0

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add received bytes; return the events that they complete.

        Raises MalformedStream if the next event is too large.
        """
        self.pending += data
        events = []
        begin = 0
        with memoryview(self.pending) as view:
            for end in EVENT_END.finditer(view, self.searched):
                events.append(parse_event(bytes(view[begin : end.end()])))
                begin = end.end()
                # It refers to the view, which cannot be released before.
                del end
        del self.pending[:begin]
        self.searched = max(0, len(self.pending) - MAX_PARTIAL_END)
        if len(self.pending) > MAX_EVENT_BYTES:
            raise MalformedStream("event too large")
        return events

    def take_rest(self) -> bytes | None:
        """Take the empty lines after the last event; None if it is cut off."""
        rest = bytes(self.pending)
        return None if rest.strip(b"\r\n") else rest


def parse_event(raw: bytes) -> ServerEvent:
    """Parse the id of an event, and whether it has any data."""
    number, has_id, has_data = None, False, False
    if b"data" not in raw and b"id" not in raw:
        return ServerEvent(raw, None, False)
    for field in FIELDS.finditer(raw):
        if field[1] == b"data":
            has_data = True
        elif not has_id:
            has_id = True
            text = (field[2] or b"").strip()
            if text.isdigit() and len(text) <= MAX_ID_DIGITS:
                number = int(text)
        if has_id and has_data:
            break
    return ServerEvent(raw, number, has_data)
