"""One account of all bytes that clients and endpoints make a process keep."""

import enum
import typing

import attrs
import trio

from carawayward.decisions import buffer_shedding
from carawayward.decisions import resource_limits

# A connection that holds no more than this is let in beside large ones that
# take all of the room, within as much again as a quarter of it.
SMALL_BYTES = 65_536
SMALL_ROOM_SHARE = 0.25
# Bytes of requests behind the one in hand are read ahead only while no more
# than this share is taken, so that nobody is closed or refused for them.
SPARE_SHARE = 0.5


class Part(enum.Enum):
    """What a connection holds bytes for."""

    HEAD = "head"
    BODY = "body"
    # What has been read of the endpoint's response.
    ANSWER = "answer"
    # What its caller has not accepted yet, unless it is part of the answer.
    WRITE = "write"
    # What its caller has sent behind the request in hand.
    READ_AHEAD = "read_ahead"


@attrs.define(eq=False)
class BufferAccount:
    """The bytes that all connections of a process hold.

    ``closed`` counts the connections that were closed to make room, or whose
    answers were dropped; ``read_clock`` returns the time in s.
    """

    max_bytes: int = resource_limits.DEFAULT_BUFFERED_BYTES
    held_bytes: int = 0
    holders: set["BufferShare"] = attrs.field(factory=set)
    closed: int = 0
    read_clock: typing.Callable[[], float] = trio.current_time

    def count_spare(self) -> int:
        """How many bytes can be held that nobody needs yet."""
        return max(0, int(self.max_bytes * SPARE_SHARE) - self.held_bytes)

    def make_room(self, requester: "BufferShare", added: int) -> bool:
        """Whether there is room, once others are closed if need be."""
        room = self.max_bytes - self.held_bytes
        wanted = requester.held_bytes + added
        if wanted <= SMALL_BYTES:
            room += int(self.max_bytes * SMALL_ROOM_SHARE)
        if added <= room:
            return True
        now_s = self.read_clock()
        others = [
            each
            for each in self.holders
            if each is not requester
            and not each.closing
            and not each.answer_ready
        ]
        chosen = buffer_shedding.choose_to_close(
            [each.describe(now_s) for each in others],
            attrs.evolve(requester.describe(now_s), held_bytes=wanted),
            added - room,
        )
        if chosen is None:
            return False
        for index in chosen:
            self.closed += 1
            others[index].give_up()
        return True


@attrs.define(eq=False)
class BufferShare:
    """What one connection holds, by part.

    ``close`` closes the connection. ``moved_bytes`` is what its client has
    sent and accepted; ``began_s`` and ``began_bytes`` are from when it began
    to hold any. While ``drop_answer`` is set nothing of the answer has been
    sent, and it can be dropped instead. ``answer_ready`` is set while a whole
    answer is about to be sent; room is made elsewhere then. ``closing`` is set
    once it is closed to make room, ``ended`` once it has ended.
    """

    account: BufferAccount
    close: typing.Callable[[], None] = lambda: None
    drop_answer: typing.Callable[[], None] | None = None
    answer_ready: bool = False
    held: dict[Part, int] = attrs.field(factory=dict)
    held_bytes: int = 0
    moved_bytes: int = 0
    began_s: float = 0.0
    began_bytes: int = 0
    closing: bool = False
    ended: bool = False

    def hold(self, part: Part, count: int) -> bool:
        """Hold ``count`` bytes for a part; False if there is no room.

        Less than before is always possible.
        """
        added = count - self.held.get(part, 0)
        if not added or self.ended:
            return True
        if added > 0:
            if self.closing or not self.account.make_room(self, added):
                return False
            if not self.held_bytes:
                self.began_s = self.account.read_clock()
                self.began_bytes = self.moved_bytes
                self.account.holders.add(self)
        self.held[part] = count
        self._change(added)
        return True

    def end(self) -> None:
        """Hold nothing any more, as the connection has ended.

        A call that may run only once goes on, and its answer is kept for the
        caller to look up.
        """
        self.ended = True
        self.held.clear()
        self._change(-self.held_bytes)

    def give_up(self) -> None:
        """Drop the answer, or close the connection, which frees the rest too.

        What it holds is about to be freed.
        """
        if self.drop_answer is not None and self._can_drop():
            self.hold(Part.ANSWER, 0)
            self.drop_answer()
            return
        self.closing = True
        self.account.held_bytes -= self.held_bytes
        self.close()

    def _can_drop(self) -> bool:
        """Whether it is the answer that takes room."""
        answer = self.held.get(Part.ANSWER, 0)
        rest = self.held_bytes - answer
        return answer >= buffer_shedding.MIN_SHED_BYTES and rest <= SMALL_BYTES

    def describe(self, now_s: float) -> buffer_shedding.Holding:
        """Describe what giving it up would free."""
        drops = self.drop_answer is not None and self._can_drop()
        freed = self.held.get(Part.ANSWER, 0) if drops else self.held_bytes
        age_s = now_s - self.began_s if self.held_bytes else 0.0
        moved = self.moved_bytes - self.began_bytes if self.held_bytes else 0
        return buffer_shedding.Holding(freed, moved, age_s)

    def _change(self, added: int) -> None:
        self.held_bytes += added
        if not self.closing:
            self.account.held_bytes += added
        if not self.held_bytes:
            self.account.holders.discard(self)
