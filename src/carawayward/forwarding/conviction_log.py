"""Keeps what is refused for crashing endpoints in the platform's store.

That is requests, by content, and parts of prompts. Entry VMs tell each other,
but what all of them know is lost when all are restarted; the same requests
would crash as many endpoints again.
"""

import functools
import typing

import attrs
import cbor2
import trio

from carawayward import clock as clock_module
from carawayward.decisions import suspicion
from carawayward import errors
from carawayward.forwarding import call_causes
from carawayward.forwarding import keyed_log
from carawayward.forwarding import suspects as suspects_module
from carawayward import plain_cbor
from carawayward import record_isolation
from carawayward import supervision

RETRY_MS = 500.0
# Tells keys of parts from those of requests.
PART_PREFIX = "part-"


@attrs.frozen
class Conviction:
    """The crashes of what is refused; ``wall_ms`` is that of the newest.

    That is a request, by its content, or any with all of the ``parts``.
    """

    wall_ms: int
    endpoints: tuple[str, ...]
    content: str = ""
    parts: frozenset[str] = frozenset()

    @property
    def key(self) -> str:
        """Its key in the topic."""
        return make_key(self.parts) if self.parts else self.content

    def to_record(self) -> keyed_log.Record:
        """Encode it as a record of the topic."""
        numbers = [int(each) for each in self.endpoints]
        fields: list = [self.wall_ms, numbers]
        if self.parts:
            fields.append([bytes.fromhex(each) for each in sorted(self.parts)])
        return keyed_log.Record(self.key, cbor2.dumps(fields))

    @classmethod
    def from_record(cls, record: keyed_log.Record) -> "Conviction":
        """Decode a record; raises an exception if it is malformed."""
        wall_ms, numbers, *rest = plain_cbor.loads(record.value or b"")
        endpoints = tuple(f"{each:d}" for each in numbers)
        if not record.key.startswith(PART_PREFIX):
            content = bytes.fromhex(record.key).hex()
            return cls(int(wall_ms), endpoints, content=content)
        (parts,) = rest
        return cls(
            int(wall_ms),
            endpoints,
            parts=frozenset(each.hex() for each in parts),
        )


def make_key(parts: frozenset[str]) -> str:
    """The key of a record for requests with all these parts."""
    names = (part.encode() for part in sorted(parts))
    return PART_PREFIX + suspicion.digest_content(*names)


@attrs.define(eq=False)
class ConvictionLog:
    """Reads what is refused once at the start, and adds to it.

    Ages are taken from the time of day, as nothing else outlasts a restart.
    ``stored`` are the sets of parts that have a record, which is removed when
    it no longer holds. ``unwritten`` are contents and sets of parts.
    ``count_call`` is called before each call to the store.
    """

    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    suspects: suspects_module.SuspectRequests
    count_call: typing.Callable[[call_causes.Cause], None] = lambda cause: None
    unwritten: list[str | frozenset[str]] = attrs.field(factory=list)
    stored: set[frozenset[str]] = attrs.field(factory=set)
    _added: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start reading the topic and writing to it."""
        self.suspects.on_convicted = self.add
        self.suspects.parts.on_convicted = self.add
        self.suspects.parts.on_cleared = self.add
        nursery.start_soon(supervision.run_with_restarts, self._run, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def add(self, subject: str | frozenset[str]) -> None:
        """Write soon what is refused, or no longer.

        That is a request, by its content, or any with all of these parts.
        """
        self.unwritten.append(subject)
        self._added.set()

    async def _run(self) -> None:
        await self._read()
        while True:
            await self._added.wait()
            self._added = trio.Event()
            subjects, self.unwritten = self.unwritten, []
            records = [self._make_record(each) for each in subjects]
            await self._append([each for each in records if each])

    def _make_record(
        self, subject: str | frozenset[str]
    ) -> keyed_log.Record | None:
        """Describe what is refused; remove the record of what no longer is."""
        if isinstance(subject, str):
            conviction = self._describe_request(subject)
            return conviction.to_record() if conviction else None
        conviction = self._describe_parts(subject)
        if conviction is not None:
            self.stored.add(subject)
            return conviction.to_record()
        if subject not in self.stored:
            return None
        self.stored.discard(subject)
        return keyed_log.Record(make_key(subject), None)

    async def _read(self) -> None:
        batch = await self._call(
            call_causes.Cause.START, self.topic.read_newest
        )
        expired = [
            keyed_log.Record(record.key, None)
            for record in batch.records
            if record_isolation.isolate(
                functools.partial(self._apply_record, record),
                False,
                key=record.key,
                offset=record.offset,
            )
        ]
        await self._append(expired)

    def _apply_record(self, record: keyed_log.Record) -> bool:
        """Refuse what a record says; return whether it has expired."""
        conviction = Conviction.from_record(record)
        age_ms = self.clock.wall_ms() - conviction.wall_ms
        # One from far in the future would be as new after each restart.
        if abs(age_ms) > suspicion.RECORD_TTL_MS:
            return True
        self._apply(conviction, max(0, age_ms))
        return False

    def _apply(self, conviction: Conviction, age_ms: int) -> None:
        """Refuse what a record says."""
        if conviction.parts:
            self.stored.add(conviction.parts)
            ages_ms = dict.fromkeys(conviction.endpoints, age_ms)
            self.suspects.parts.add_conviction(conviction.parts, ages_ms)
            return
        for endpoint in conviction.endpoints:
            self.suspects.add_crash(conviction.content, endpoint, age_ms)

    def _describe_request(self, content: str) -> Conviction | None:
        """Describe a refused request; None if it no longer is."""
        crashes = self.suspects.list_crashes(content)
        if not crashes:
            return None
        age_ms = int(self.clock.boot_ms()) - crashes[-1].seen_ms
        return Conviction(
            self.clock.wall_ms() - age_ms,
            tuple(crash.endpoint for crash in crashes),
            content=content,
        )

    def _describe_parts(self, parts: frozenset[str]) -> Conviction | None:
        """Describe refused parts; None if they no longer are."""
        convicted = self.suspects.parts.convicted
        part = next((p for p in parts if convicted.get(p) == parts), None)
        if part is None:
            return None
        ages_ms = self.suspects.parts.find_crash_ages(part)
        return Conviction(
            self.clock.wall_ms() - min(ages_ms.values()),
            tuple(ages_ms),
            parts=parts,
        )

    async def _append(self, records: list[keyed_log.Record]) -> None:
        if records:
            await self._call(
                call_causes.Cause.WRITE, lambda: self.topic.append(records)
            )

    async def _call(
        self,
        cause: call_causes.Cause,
        call: typing.Callable[[], typing.Awaitable[typing.Any]],
    ) -> typing.Any:
        """Call the store until it answers."""
        while True:
            self.count_call(cause)
            try:
                return await call()
            except errors.PlatformUnavailable:
                await self.clock.sleep(RETRY_MS)
