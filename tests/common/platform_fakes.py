"""In-memory fakes of the log, the ratings service and the links.

They run in virtual time and have the faults of the real ones: lost answers,
outages, delays.
"""

import hashlib
import typing

import attrs

from carawayward import clock as clock_module
from carawayward import errors
from carawayward.services import log as log_module
from carawayward.services import ratings as ratings_module


def hash_fraction(*parts: object) -> float:
    """Return a number in [0, 1) that depends only on the arguments."""
    text = " ".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.sha256(text).digest()[:7]) / 2.0**56


@attrs.define
class FakeLog:
    """The platform's log; while ``down`` it refuses every call.

    ``lose_answers`` is the number of appends that will take effect without an
    answer.
    """

    clock: clock_module.ManualClock
    records: list[log_module.LogRecord] = attrs.field(factory=list)
    down: bool = False
    lose_answers: int = 0
    oldest: int = 1

    async def append(self, stream: str, records: list) -> int:
        """Append records; the answer may be lost."""
        if self.down:
            raise errors.PlatformUnavailable("log", "down", sent=False)
        first = len(self.records) + 1
        for data in records:
            offset = len(self.records) + 1
            self.records.append(
                log_module.LogRecord(offset, self.clock.wall_ms(), data)
            )
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.PlatformUnavailable("log", "answer lost")
        return first

    async def read(
        self, stream: str, offset: int, wait_ms: int = 0
    ) -> log_module.Batch:
        """Read from an offset, without waiting."""
        if self.down:
            raise errors.PlatformUnavailable("log", "down", sent=False)
        start = max(offset, self.oldest)
        found = self.records[start - 1 :]
        return log_module.Batch(found, start + len(found), self.oldest)


@attrs.define
class FakeRatings:
    """The ratings service, with the faults of tests/standins/ratings.py."""

    clock: clock_module.ManualClock
    rate_answer: typing.Callable[[dict], bool]
    delay_ms: float = 0.0
    loss_rate: float = 0.0
    down: bool = False
    mailboxes: dict[str, list[tuple[float, str, bool]]] = attrs.field(
        factory=dict
    )

    async def send(self, mailbox: str, answers: list[dict]) -> None:
        """Accept answers to be rated."""
        if self.down:
            raise errors.PlatformUnavailable("ratings", "down")
        due = self.clock.now_ms() + self.delay_ms
        pending = self.mailboxes.setdefault(mailbox, [])
        for answer in answers:
            if hash_fraction(answer["id"], "lose") >= self.loss_rate:
                pending.append((due, answer["id"], self.rate_answer(answer)))

    async def collect(
        self, mailbox: str, offset: int
    ) -> tuple[list[ratings_module.Rating], int]:
        """Return the ratings that are due."""
        if self.down:
            raise errors.PlatformUnavailable("ratings", "down")
        found = []
        for due, answer_id, good in self.mailboxes.get(mailbox, [])[
            offset - 1 :
        ]:
            if due > self.clock.now_ms():
                break
            found.append(ratings_module.Rating(answer_id, good))
        return found, offset + len(found)


@attrs.define
class FakeHub:
    """Links to a few peers; messages are delivered at the end of the tick."""

    name: str
    peers: list[str]
    queue: list[tuple[str, str, str, typing.Any]]
    handlers: dict[str, typing.Callable] = attrs.field(factory=dict)

    def handle(self, kind: str, handler: typing.Callable) -> None:
        """Register the handler of a kind of messages."""
        self.handlers[kind] = handler

    async def notify_all(self, kind: str, body: typing.Any) -> None:
        """Queue a message to each linked peer."""
        self.queue += [(self.name, peer, kind, body) for peer in self.peers]
