"""Bounds the memory that the bodies of open requests take together."""

import attrs

from carawayward import buffers

MAX_BODY_BYTES = 16 * 1_048_576
# Requests with bodies up to this length are accepted beside large ones that
# take all of the room, within as much again as a quarter of it.
SMALL_BODY_BYTES = 65_536
SMALL_BODY_ROOM_BYTES = MAX_BODY_BYTES // 4
# A body is copied when it is complete, and to be relayed by a peer.
COPIES = 2


@attrs.define(eq=False)
class BodyRoom:
    """How many bytes of bodies are kept."""

    kept_bytes: int = 0


@attrs.define(eq=False)
class KeptBody:
    """The room that one request's body takes, of its connection's share."""

    room: BodyRoom
    share: buffers.BufferShare
    taken_bytes: int = 0

    def grow(self, length: int) -> bool:
        """Take room for a body of ``length``; False if there is too little."""
        limit = MAX_BODY_BYTES
        if length <= SMALL_BODY_BYTES:
            limit += SMALL_BODY_ROOM_BYTES
        added = max(0, length - self.taken_bytes)
        if added and self.room.kept_bytes + added > limit:
            return False
        if added and not self.share.hold(buffers.Part.BODY, COPIES * length):
            return False
        self.taken_bytes += added
        self.room.kept_bytes += added
        return True

    def release(self) -> None:
        """Give the room back."""
        self.room.kept_bytes -= self.taken_bytes
        self.taken_bytes = 0
        self.share.hold(buffers.Part.BODY, 0)
