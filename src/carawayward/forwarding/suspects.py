"""Remembers requests that crash endpoints, on all entry VMs.

Load reports carry the crashes, so that a request that has crashed endpoints
behind one entry VM is refused by the others too.
"""

import collections
import itertools
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import prompt_crashes
from carawayward.decisions import suspicion
from carawayward import events
from carawayward.forwarding import crashing_parts
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import message_types
from carawayward.forwarding import notices
from carawayward.forwarding import report_values
from carawayward.forwarding import work_items
from carawayward import settings as settings_module

# A process that has ended refuses connections within a round trip. Silence is
# no proof of a crash: a network partition looks the same.
PROBE_TIMEOUT_MS = 250.0
# All runs of a process that has crashed break off within this time.
PROBE_VALID_MS = 1_000.0
# A probe does not notice a crash if something else accepts connections at the
# address, if the endpoint is back sooner, or if it crashes after the run was
# given up. Its next process is listed, or its entry expires, within this time.
ENDED_WITHIN_MS = 10_000.0
MAX_UNANSWERED_RUNS = 500
# An endpoint that has crashed gets requests until its entry expires, which
# takes longer during an outage of the store.
SILENT_KEPT_MS = 60_000.0
REVIEW_INTERVAL_MS = 100.0
# How long a crash is reported by who saw it, and by others; an answer after it
# as long as by others. A request that is refused is always reported.
REPORTED_MS = 10_000.0
RELAYED_MS = 3_000.0
MAX_SUSPECTS_PER_REPORT = 8
# Those before the last answer too: a peer may have noticed one after it.
MAX_CRASHES_PER_SUSPECT = 6


async def refuses_connections(address: str) -> bool:
    """Whether no process listens on an address of a host that is up."""
    probe = trio.socket.socket()
    with probe, trio.move_on_after(PROBE_TIMEOUT_MS / 1000):
        try:
            await probe.connect(settings_module.split_address(address))
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False


async def trust_own_probe(
    entry: message_types.EndpointEntry, refused: bool
) -> bool:
    """Judge by this entry VM's probe, as if there were no other entry VM."""
    return refused


@attrs.frozen
class UnansweredRun:
    """A run that ended without a whole response ``at_ms``, and where.

    ``parts`` are the shared parts of its prompt. ``answer_ms`` is how long the
    response had gone on, None if it had not begun.
    """

    fingerprint: str
    parts: tuple[str, ...]
    answer_ms: float | None
    entry: message_types.EndpointEntry
    at_ms: int


@attrs.define(eq=False)
class SuspectRequests:
    """Crashes by the content of the requests that were in flight.

    A request is refused after ``suspicion.CRASHES_WITHOUT_TRIALS`` crashes
    since its last answer, one more if another request shares them.
    ``report_soon`` is called when there is something new to report,
    ``on_convicted`` with the fingerprint of a request that is refused from now
    on, if this entry VM saw one of its crashes itself; those are
    ``seen_here``. ``judge_probe`` tells from this entry VM's probe, and by
    asking others, whether an endpoint refuses connections: under a partition
    of this entry VM all do, or none.
    ``find_state`` tells whether an endpoint's process has ended
    since one of the ``unanswered_runs``. ``silent_since_ms`` is when a process
    first broke off a run since its last response. ``reported_ms`` has the
    suspects to report, the next one last, and when each has changed. Times are
    in ms on the boot clock; reports have ages.
    """

    clock: clock_module.Clock
    parts: crashing_parts.CrashingParts
    report_soon: typing.Callable[[], None]
    find_state: typing.Callable[
        [message_types.EndpointEntry], notices.ProcessState
    ]
    probe: typing.Callable[[str], typing.Awaitable[bool]] = refuses_connections
    judge_probe: typing.Callable[
        [message_types.EndpointEntry, bool], typing.Awaitable[bool]
    ] = trust_own_probe
    on_convicted: typing.Callable[[str], None] = lambda fingerprint: None
    records: suspicion.SuspectRecords = attrs.field(
        factory=suspicion.SuspectRecords
    )
    crashed_ms: dict[message_types.Process, int] = attrs.field(factory=dict)
    reported_ms: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    silent_since_ms: dict[message_types.Process, int] = attrs.field(
        factory=dict
    )
    unanswered_runs: collections.deque[UnansweredRun] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_UNANSWERED_RUNS)
    )
    seen_here: set[str] = attrs.field(factory=set)
    reviewed_ms: int = 0
    dropped_ms: int = 0

    def is_convicted(self, work: work_items.Work) -> bool:
        """Whether a request has crashed too many endpoints to be sent."""
        self._review_unanswered_runs()
        if self.records.crashes and self._is_convicted(work.fingerprint):
            return True
        return self.parts.is_refused(work)

    def compute_retry_after_ms(self, work: work_items.Work) -> float:
        """Return for how long a request is refused."""
        crashes = self.list_crashes(work.fingerprint)
        needed = crashes[-suspicion.CRASHES_WITHOUT_TRIALS :]
        left_ms = 0.0
        if len(needed) == suspicion.CRASHES_WITHOUT_TRIALS:
            expires_ms = needed[0].seen_ms + suspicion.RECORD_TTL_MS
            left_ms = float(expires_ms - self._now_ms())
        return max(left_ms, self.parts.compute_retry_after_ms(work))

    def record_response(self, entry: message_types.EndpointEntry) -> None:
        """Record that an endpoint's process has answered a request."""
        self.silent_since_ms.pop(entry.process, None)

    async def record_broken_run(
        self,
        work: work_items.Work,
        entry: message_types.EndpointEntry,
        took_ms: float,
    ) -> bool:
        """Record a run that broke off after ``took_ms``.

        Returns whether its endpoint is known to have crashed. If it is not, it
        may become known later. One that had broken off other runs before this
        one began may have been down: the request is no suspect then.
        """
        self.silent_since_ms.setdefault(entry.process, self._now_ms())
        # The caller may leave during the probe.
        run = self._add_run(work, entry, took_ms)
        if not await self._is_refused(entry, work.progress.relayed):
            return False
        # The request may have had an answer during the probe.
        if run in self.unanswered_runs:
            self._record_crash(run, "connection refused")
        return True

    def record_abandoned_run(
        self,
        work: work_items.Work,
        entry: message_types.EndpointEntry,
        took_ms: float,
    ) -> None:
        """Record a run that was given up after ``took_ms``.

        Its endpoint may crash later, or may have fallen silent with its host.
        """
        self._add_run(work, entry, took_ms)

    def _add_run(
        self,
        work: work_items.Work,
        entry: message_types.EndpointEntry,
        took_ms: float,
    ) -> UnansweredRun:
        """Keep a run unless its endpoint may have been down at its start."""
        now_ms = self._now_ms()
        answer = work.progress.answer
        run = UnansweredRun(
            work.fingerprint,
            work.shared_parts,
            None if answer is None else answer.duration_ms,
            entry,
            now_ms,
        )
        silent_ms = self.silent_since_ms.get(entry.process, now_ms)
        if now_ms - took_ms <= silent_ms:
            self.unanswered_runs.append(run)
        return run

    async def _is_refused(
        self, entry: message_types.EndpointEntry, relayed: bool
    ) -> bool:
        """Whether an endpoint refuses connections; probes it once.

        If a peer has ``relayed`` the run, only peers are asked: it may have
        broken off with that peer, and this entry VM has lost its own path.
        """
        now_ms = self._now_ms()
        self.crashed_ms = {
            process: at_ms
            for process, at_ms in self.crashed_ms.items()
            if now_ms - at_ms < PROBE_VALID_MS
        }
        if entry.process in self.crashed_ms:
            return True
        refused = not relayed and await self.probe(entry.address)
        return await self.judge_probe(entry, refused)

    def _review_unanswered_runs(self) -> None:
        """Record the crashes of endpoints that have ended since."""
        now_ms = self._now_ms()
        if now_ms - self.reviewed_ms < REVIEW_INTERVAL_MS:
            return
        self.reviewed_ms = now_ms
        for _ in range(len(self.unanswered_runs)):
            run = self.unanswered_runs.popleft()
            match self.find_state(run.entry):
                case notices.ProcessState.ENDED:
                    self._record_crash(run, "process ended")
                case notices.ProcessState.RUNNING:
                    if now_ms - run.at_ms < ENDED_WITHIN_MS:
                        self.unanswered_runs.append(run)

    def _record_crash(self, run: UnansweredRun, evidence: str) -> None:
        """Record a crash at the time when the run ended."""
        if run.entry.process not in self.crashed_ms:
            self.crashed_ms[run.entry.process] = self._now_ms()
            events.log_event(
                events.Event.ENDPOINT_CRASHED,
                endpoint=run.entry.name,
                evidence=evidence,
            )
        events.log_event(
            events.Event.RUN_CRASHED,
            endpoint=run.entry.name,
            content=run.fingerprint,
            parts=run.parts,
            answer_ms=None if run.answer_ms is None else round(run.answer_ms),
        )
        name = f"{run.entry.name}/{run.entry.born}"
        number = str(load_report_messages.hash_name(name))
        age_ms = self._now_ms() - run.at_ms
        self.seen_here.add(run.fingerprint)
        self.add_crash(run.fingerprint, number, age_ms)
        self.report_soon()
        if (run.answer_ms or 0.0) < crashing_parts.ANSWER_SOUND_MS:
            self.parts.record_crash(run.fingerprint, run.parts, number, age_ms)

    def record_answer(self, work: work_items.Work) -> None:
        """Record a complete answer, which clears a suspect.

        Its runs without a response before no longer count, also if their
        endpoints turn out to have crashed.
        """
        if self.unanswered_runs:
            self.unanswered_runs = collections.deque(
                (
                    run
                    for run in self.unanswered_runs
                    if run.fingerprint != work.fingerprint
                ),
                MAX_UNANSWERED_RUNS,
            )
        if self.records.crashes:
            self._add_answer(work.fingerprint, self._now_ms())
        self.parts.record_answer(work)

    def describe(self) -> list:
        """What this entry VM reports: some suspects always, others in turn.

        Each has the ages of its crashes by endpoint, and of its last answer.
        """
        now_ms = self._now_ms()
        self._review_unanswered_runs()
        self._forget(now_ms)
        reported = self._list_newest_repeated()
        others = (
            fingerprint
            for fingerprint in reversed(self.reported_ms)
            if fingerprint not in reported
        )
        left = MAX_SUSPECTS_PER_REPORT - len(reported)
        for fingerprint in list(itertools.islice(others, left)):
            reported.append(fingerprint)
            # The others come first in the next report.
            self.reported_ms.move_to_end(fingerprint, last=False)
        return [self._describe_suspect(each, now_ms) for each in reported]

    def _list_newest_repeated(self) -> list[str]:
        """List the suspects with several crashes that have changed last.

        They are part of each report, as one of them is to blame: hundreds with
        one crash may have been in flight beside it, and other failure domains
        get few of the reports.
        """
        newest = sorted(
            (
                fingerprint
                for fingerprint in self.reported_ms
                if len(self.records.crashes.get(fingerprint, ())) > 1
            ),
            key=self.reported_ms.__getitem__,
            reverse=True,
        )
        repeated = (
            fingerprint
            for fingerprint in newest
            if len(self.list_crashes(fingerprint)) > 1
        )
        return list(itertools.islice(repeated, MAX_SUSPECTS_PER_REPORT // 2))

    def _forget(self, now_ms: int) -> None:
        """Forget what need not be reported, and records that have expired."""
        if now_ms - self.dropped_ms >= REPORTED_MS:
            self.dropped_ms = now_ms
            self.silent_since_ms = {
                process: at_ms
                for process, at_ms in self.silent_since_ms.items()
                if now_ms - at_ms < SILENT_KEPT_MS
            }
            suspicion.drop_expired(self.records, now_ms)
            self.seen_here &= self.records.crashes.keys()
        for fingerprint, changed_ms in list(self.reported_ms.items()):
            if not self._is_reported(fingerprint, now_ms - changed_ms):
                del self.reported_ms[fingerprint]

    def _is_reported(self, fingerprint: str, age_ms: int) -> bool:
        """Whether a suspect that changed ``age_ms`` ago is reported."""
        if fingerprint not in self.records.crashes:
            return False
        if age_ms < RELAYED_MS or self._is_convicted(fingerprint):
            return True
        return (
            age_ms < REPORTED_MS
            and fingerprint in self.seen_here
            and bool(self.list_crashes(fingerprint))
        )

    def _describe_suspect(self, fingerprint: str, now_ms: int) -> list:
        cleared_ms = self.records.cleared.get(fingerprint)
        crashes = sorted(
            self.records.crashes[fingerprint], key=lambda each: -each.seen_ms
        )
        return [
            bytes.fromhex(fingerprint),
            [
                [int(crash.endpoint), now_ms - crash.seen_ms]
                for crash in crashes[:MAX_CRASHES_PER_SUSPECT]
            ],
            None if cleared_ms is None else now_ms - cleared_ms,
        ]

    def merge(self, peer: str, value: typing.Any, ttl_ms: float) -> None:
        """Merge the suspects that a peer reports.

        Raises ValueError or TypeError if they are malformed.
        """
        now_ms = self._now_ms()
        for digest, crashes, answer_age_ms in value:
            fingerprint = report_values.check_digest(digest)
            ages_ms = report_values.check_crashes(crashes)
            for endpoint, age_ms in ages_ms.items():
                self.add_crash(fingerprint, endpoint, age_ms)
            if answer_age_ms is None:
                continue
            answered_ms = now_ms - report_values.check_count(answer_age_ms)
            # Each report makes the answer seem later by the time it takes.
            known = self.records.crashes.get(fingerprint, ())
            if not prompt_crashes.is_same_answer(
                self.records.cleared.get(fingerprint),
                answered_ms,
                (crash.seen_ms for crash in known),
            ):
                self._add_answer(fingerprint, answered_ms)

    def add_crash(self, fingerprint: str, endpoint: str, age_ms: int) -> None:
        """Add a crash that was seen ``age_ms`` ago.

        Of several reports of the same crash the earliest counts, so that all
        entry VMs agree whether an answer came after it.
        """
        seen_ms = self._now_ms() - age_ms
        known = self.records.crashes.get(fingerprint, [])
        for index, crash in enumerate(known):
            if crash.endpoint == endpoint:
                if seen_ms < crash.seen_ms:
                    known[index] = attrs.evolve(crash, seen_ms=seen_ms)
                return
        before = self._is_convicted(fingerprint)
        crash = suspicion.Crash(fingerprint, endpoint, seen_ms, "")
        suspicion.record_crash(self.records, crash)
        if not before and self._is_convicted(fingerprint):
            events.log_event(
                events.Event.REQUEST_CONVICTED, content=fingerprint
            )
            if fingerprint in self.seen_here:
                self.on_convicted(fingerprint)
            self.report_soon()
        self._mark_changed(fingerprint)

    def _add_answer(self, fingerprint: str, answered_ms: int) -> None:
        if fingerprint not in self.records.crashes:
            return
        suspect = bool(self.list_crashes(fingerprint))
        if not suspicion.record_answer(self.records, fingerprint, answered_ms):
            return
        if suspect and not self.list_crashes(fingerprint):
            events.log_event(events.Event.REQUEST_CLEARED, content=fingerprint)
            self._mark_changed(fingerprint)
            self.report_soon()

    def list_crashes(self, fingerprint: str) -> list[suspicion.Crash]:
        """Return the crashes that count against a request, oldest first."""
        return suspicion.list_distinct_crashes(
            self.records, fingerprint, self._now_ms()
        )

    def _is_convicted(self, fingerprint: str) -> bool:
        return suspicion.is_convicted_without_trials(
            self.records, fingerprint, self._now_ms()
        )

    def _mark_changed(self, fingerprint: str) -> None:
        """Report a suspect before those that have changed earlier."""
        self.reported_ms[fingerprint] = self._now_ms()
        self.reported_ms.move_to_end(fingerprint)

    def _now_ms(self) -> int:
        return int(self.clock.boot_ms())
