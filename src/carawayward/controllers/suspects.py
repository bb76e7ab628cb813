"""Shares records of crashes among entry VMs, at a limited rate.

New records are sent to linked peers at once, and each peer forwards those that
were new to it. In addition the records of one suspect go to one peer each
second, in rotation, so that an entry VM that was replaced or cut off catches
up. The amount sent per second does not grow with the number of failures.
"""

import collections
import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.decisions import placement
from carawayward.decisions import suspicion
from carawayward import events
from carawayward.peers import hub as hub_module

# At most 16 records of fifty bytes, ten times a second: a crash with 32 of
# this entry VM's requests in flight is sent before the first trial.
RECORDS_PER_MESSAGE = 16
MIN_SEND_INTERVAL_MS = 100.0
RESYNC_INTERVAL_MS = 1_000.0
MAX_UNSENT = 1_000


@attrs.define(eq=False)
class SuspectsController:
    """Keeps the records of suspects, and sends new ones to peers.

    ``running_trials`` counts the suspects that are running, by endpoint;
    ``suspended`` counts, by fingerprint, the reasons to hold back further runs
    of a request.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    records: suspicion.SuspectRecords = attrs.field(
        factory=suspicion.SuspectRecords
    )
    running_trials: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    suspended: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    unsent: collections.deque[list] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_UNSENT)
    )
    unsent_added: trio.Event = attrs.field(factory=trio.Event)
    resync_count: int = 0
    plan: dict[str, suspicion.Trial] = attrs.field(factory=dict)
    plan_inputs: tuple[int, placement.Candidates | None] = (-1, None)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start receiving records from peers and sending them."""
        self.hub.handle("suspects", self._handle_records)
        nursery.start_soon(self._send_new)
        nursery.start_soon(self._resync)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    def is_convicted(self, fingerprint: str) -> bool:
        """Whether a request is refused without running it."""
        wall_ms = self.clock.wall_ms()
        return suspicion.is_convicted(self.records, fingerprint, wall_ms)

    def may_have_run(self, fingerprint: str, request_key: str) -> bool:
        """Whether the request with this key was in flight during a crash."""
        digest = suspicion.digest_request(request_key)
        return suspicion.may_have_run(self.records, fingerprint, digest)

    def find_trial(
        self, fingerprint: str, candidates: placement.Candidates
    ) -> tuple[bool, str | None]:
        """Whether a request is a suspect, and the endpoint it may run on now.

        While a run of the same request is on trial, or it is not clear yet
        whether it crashed its endpoint, another run would go to the next
        endpoint and might crash that one too.
        """
        if self.suspended[fingerprint]:
            return True, None
        wall_ms = self.clock.wall_ms()
        if not suspicion.is_suspect(self.records, fingerprint, wall_ms):
            return False, None
        trial = self._get_plan(candidates, wall_ms).get(fingerprint)
        if trial is None or wall_ms < trial.from_ms:
            return True, None
        return True, None if self.running_trials[
            trial.endpoint
        ] else trial.endpoint

    def _get_plan(
        self, candidates: placement.Candidates, wall_ms: int
    ) -> dict[str, suspicion.Trial]:
        """The plan of trials, recomputed when a record or endpoint changes."""
        state = (self.records.changes, candidates)
        if self.plan_inputs != state:

            def walk_ring(fingerprint: str) -> typing.Iterator[str]:
                key = placement.hash_key(fingerprint)
                limit = len(candidates.views)
                for view in placement.walk_ring(candidates, key, limit):
                    yield view.name

            self.plan = suspicion.plan_trials(self.records, walk_ring, wall_ms)
            self.plan_inputs = state
        return self.plan

    def begin_trial(self, fingerprint: str, endpoint: str) -> None:
        """Record that a suspect runs; no other may start on that endpoint."""
        self.running_trials[endpoint] += 1
        self.suspend_runs(fingerprint)

    def end_trial(self, fingerprint: str, endpoint: str) -> None:
        """Record that a suspect's run has ended and its result is known."""
        self.running_trials[endpoint] -= 1
        self.resume_runs(fingerprint)

    def suspend_runs(self, fingerprint: str) -> None:
        """Hold back further runs of a request until more is known."""
        self.suspended[fingerprint] += 1

    def resume_runs(self, fingerprint: str) -> None:
        """Let the request run again, as a suspect or not."""
        self.suspended[fingerprint] -= 1
        if not self.suspended[fingerprint]:
            del self.suspended[fingerprint]

    def record_crash(
        self, fingerprint: str, endpoint: str, request_key: str
    ) -> None:
        """Record that a request was in flight on an endpoint that crashed."""
        crash = suspicion.Crash(
            fingerprint,
            endpoint,
            self.clock.wall_ms(),
            suspicion.digest_request(request_key),
        )
        self._merge_crash(crash)

    def record_answer(self, fingerprint: str) -> None:
        """Record a complete answer, which clears a suspect."""
        self._merge_clearance(fingerprint, self.clock.wall_ms())

    def _merge_crash(self, crash: suspicion.Crash) -> None:
        before = self.is_convicted(crash.fingerprint)
        if not suspicion.record_crash(self.records, crash):
            return
        convicting = not before and self.is_convicted(crash.fingerprint)
        self._queue_row(["crash", *attrs.astuple(crash)], urgent=convicting)
        if convicting:
            events.log_event(
                events.Event.REQUEST_CONVICTED, fingerprint=crash.fingerprint
            )

    def _merge_clearance(self, fingerprint: str, wall_ms: int) -> None:
        if suspicion.record_answer(self.records, fingerprint, wall_ms):
            self._queue_row(["answer", fingerprint, wall_ms])
            events.log_event(
                events.Event.REQUEST_CLEARED, fingerprint=fingerprint
            )

    def _queue_row(self, row: list, urgent: bool = False) -> None:
        """Queue a record for peers; a conviction goes first."""
        if urgent:
            self.unsent.appendleft(row)
        else:
            self.unsent.append(row)
        self.unsent_added.set()

    async def _send_new(self) -> None:
        while True:
            await self.unsent_added.wait()
            count = min(len(self.unsent), RECORDS_PER_MESSAGE)
            rows = [self.unsent.popleft() for _ in range(count)]
            if not self.unsent:
                self.unsent_added = trio.Event()
            await self.hub.notify_all("suspects", rows)
            await self.clock.sleep(MIN_SEND_INTERVAL_MS)

    async def _resync(self) -> None:
        while True:
            await self.clock.sleep(RESYNC_INTERVAL_MS)
            suspicion.drop_expired(self.records, self.clock.wall_ms())
            peers = sorted(self.hub.links)
            rows = self._choose_resync_rows()
            if peers and rows:
                peer = peers[self.resync_count % len(peers)]
                await self.hub.notify(peer, "suspects", rows)

    def _choose_resync_rows(self) -> list[list]:
        """The records of the next suspect, in rotation."""
        names = list(self.records.crashes)
        if not names:
            return []
        self.resync_count += 1
        name = names[self.resync_count % len(names)]
        rows = [
            ["crash", *attrs.astuple(crash)]
            for crash in self.records.crashes[name][-RECORDS_PER_MESSAGE:]
        ]
        if name in self.records.cleared:
            rows.append(["answer", name, self.records.cleared[name]])
        return rows

    async def _handle_records(self, peer: str, body: typing.Any) -> None:
        for row in body[: RECORDS_PER_MESSAGE + 1]:
            match row:
                case [
                    "crash",
                    str() as fingerprint,
                    str() as endpoint,
                    int() as seen_ms,
                    str() as request,
                ]:
                    self._merge_crash(
                        suspicion.Crash(
                            fingerprint, endpoint, seen_ms, request
                        )
                    )
                case ["answer", str() as fingerprint, int() as wall_ms]:
                    self._merge_clearance(fingerprint, wall_ms)
