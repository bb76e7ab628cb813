"""Keeps the requests that are refused in the platform's store.

Entry VMs tell each other, but what all of them know is lost when all are
restarted; the request would crash as many endpoints again.
"""

import typing

import attrs
import cbor2
import trio

from carawayward import clock as clock_module
from carawayward.decisions import suspicion
from carawayward import errors
from carawayward import events
from carawayward.forwarding import keyed_log
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import suspects as suspects_module
from carawayward import supervision

RETRY_MS = 500.0


@attrs.frozen
class Conviction:
    """The crashes of a refused request; ``wall_ms`` is that of the newest."""

    fingerprint: str
    wall_ms: int
    endpoints: tuple[str, ...]

    def to_record(self) -> keyed_log.Record:
        """Encode it as a record of the topic."""
        numbers = [int(each) for each in self.endpoints]
        value = cbor2.dumps([self.wall_ms, numbers])
        return keyed_log.Record(self.fingerprint, value)

    @classmethod
    def from_record(cls, record: keyed_log.Record) -> "Conviction":
        """Decode a record; raises one of DECODE_ERRORS."""
        wall_ms, numbers = cbor2.loads(record.value or b"")
        return cls(
            bytes.fromhex(record.key).hex(),
            int(wall_ms),
            tuple(str(int(each)) for each in numbers),
        )


@attrs.define(eq=False)
class ConvictionLog:
    """Reads the refused requests once at the start, and adds new ones.

    Ages are taken from the time of day, as nothing else outlasts a restart.
    """

    topic: keyed_log.KeyedLog
    clock: clock_module.Clock
    suspects: suspects_module.SuspectRequests
    unwritten: list[str] = attrs.field(factory=list)
    _added: trio.Event = attrs.field(factory=trio.Event)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start reading the topic and writing to it."""
        self.suspects.on_convicted = self.add
        nursery.start_soon(supervision.run_with_restarts, self._run, ())

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    def add(self, fingerprint: str) -> None:
        """Write a refused request soon."""
        self.unwritten.append(fingerprint)
        self._added.set()

    async def _run(self) -> None:
        await self._read()
        while True:
            await self._added.wait()
            self._added = trio.Event()
            fingerprints, self.unwritten = self.unwritten, []
            found = [self._describe(each) for each in fingerprints]
            await self._append([each.to_record() for each in found if each])

    async def _read(self) -> None:
        batch = await self._call(self.topic.read_newest)
        expired = []
        for record in batch.records:
            try:
                conviction = Conviction.from_record(record)
            except load_report_messages.DECODE_ERRORS as fault:
                events.log_event(
                    events.Event.ENTRY_UNREADABLE,
                    key=record.key,
                    offset=record.offset,
                    fault=type(fault).__name__,
                )
                continue
            age_ms = max(0, self.clock.wall_ms() - conviction.wall_ms)
            if age_ms > suspicion.RECORD_TTL_MS:
                expired.append(keyed_log.Record(record.key, None))
            for endpoint in conviction.endpoints:
                self.suspects.add_crash(
                    conviction.fingerprint, endpoint, age_ms
                )
        await self._append(expired)

    def _describe(self, fingerprint: str) -> Conviction | None:
        """Describe a refused request; None if it no longer is."""
        crashes = self.suspects.list_crashes(fingerprint)
        if not crashes:
            return None
        age_ms = int(self.clock.boot_ms()) - crashes[-1].seen_ms
        return Conviction(
            fingerprint,
            self.clock.wall_ms() - age_ms,
            tuple(crash.endpoint for crash in crashes),
        )

    async def _append(self, records: list[keyed_log.Record]) -> None:
        if records:
            await self._call(lambda: self.topic.append(records))

    async def _call(
        self, call: typing.Callable[[], typing.Awaitable[typing.Any]]
    ) -> typing.Any:
        """Call the store until it answers."""
        while True:
            try:
                return await call()
            except errors.PlatformUnavailable:
                await self.clock.sleep(RETRY_MS)
