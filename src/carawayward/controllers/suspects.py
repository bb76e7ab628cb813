"""Shares crash facts among entry VMs, at a bounded rate.

New facts are told to linked peers at once, and each peer tells its own
further peers what was new to it. Beyond that a fixed slice of the book goes
to one peer each second, so that an entry VM that was replaced or cut off
catches up; what is sent a second does not grow with what has failed.
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

# Sixteen facts of fifty bytes at most ten times a second: a crash with 32
# of this entry VM's requests in flight is told before the first trial.
FACTS_A_MESSAGE = 16
LEAST_PAUSE_MS = 100.0
SLICE_INTERVAL_MS = 1_000.0
MOST_UNSENT = 1_000


@attrs.define(eq=False)
class SuspectsController:
    """Keeps the suspect book and tells peers what is new in it."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    book: suspicion.SuspectRecords = attrs.field(
        factory=suspicion.SuspectRecords
    )
    on_trial: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    judged: collections.Counter[str] = attrs.field(factory=collections.Counter)
    unsent: collections.deque[list] = attrs.field(
        factory=lambda: collections.deque(maxlen=MOST_UNSENT)
    )
    news: trio.Event = attrs.field(factory=trio.Event)
    slices: int = 0
    plan: dict[str, suspicion.Trial] = attrs.field(factory=dict)
    planned_for: tuple[int, placement.Candidates | None] = (-1, None)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to hear from peers and to tell them."""
        self.hub.handle("suspects", self._take_facts)
        nursery.start_soon(self._tell_news)
        nursery.start_soon(self._tell_slices)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    def is_convicted(self, fingerprint: str) -> bool:
        """Whether a request is refused without a run."""
        wall_ms = self.clock.wall_ms()
        return suspicion.is_convicted(self.book, fingerprint, wall_ms)

    def may_have_run(self, fingerprint: str, request_key: str) -> bool:
        """Whether a request of this key was in flight at a crash."""
        digest = suspicion.digest_request(request_key)
        return suspicion.may_have_run(self.book, fingerprint, digest)

    def find_trial(
        self, fingerprint: str, candidates: placement.Candidates
    ) -> tuple[bool, str | None]:
        """Whether a request is a suspect, and where it may run now.

        While one run of the same words is on trial, or it is not yet clear
        whether it crashed its endpoint, another would go to the next
        endpoint and might crash that one as well.
        """
        if self.judged[fingerprint]:
            return True, None
        wall_ms = self.clock.wall_ms()
        if not suspicion.is_suspect(self.book, fingerprint, wall_ms):
            return False, None
        trial = self._plan(candidates, wall_ms).get(fingerprint)
        if trial is None or wall_ms < trial.from_ms:
            return True, None
        return True, None if self.on_trial[trial.endpoint] else trial.endpoint

    def _plan(
        self, candidates: placement.Candidates, wall_ms: int
    ) -> dict[str, suspicion.Trial]:
        """The plan of trials, made anew when a fact or endpoint changed."""
        state = (self.book.changes, candidates)
        if self.planned_for != state:

            def walk(fingerprint: str) -> typing.Iterator[str]:
                key = placement.hash_key(fingerprint)
                most = len(candidates.views)
                for view in placement.walk_ring(candidates, key, most):
                    yield view.name

            self.plan = suspicion.plan_trials(self.book, walk, wall_ms)
            self.planned_for = state
        return self.plan

    def begin_trial(self, fingerprint: str, endpoint: str) -> None:
        """A suspect starts; no other may start on that endpoint."""
        self.on_trial[endpoint] += 1
        self.suspend_runs(fingerprint)

    def end_trial(self, fingerprint: str, endpoint: str) -> None:
        """A suspect's run has ended and been judged."""
        self.on_trial[endpoint] -= 1
        self.resume_runs(fingerprint)

    def suspend_runs(self, fingerprint: str) -> None:
        """Hold back further runs of a request until more is known."""
        self.judged[fingerprint] += 1

    def resume_runs(self, fingerprint: str) -> None:
        """Let the request go on, as a suspect or not."""
        self.judged[fingerprint] -= 1
        if not self.judged[fingerprint]:
            del self.judged[fingerprint]

    def record_crash(
        self, fingerprint: str, endpoint: str, request_key: str
    ) -> None:
        """Note that a request was in flight on an endpoint that crashed."""
        crash = suspicion.Crash(
            fingerprint,
            endpoint,
            self.clock.wall_ms(),
            suspicion.digest_request(request_key),
        )
        self._take_crash(crash)

    def record_answer(self, fingerprint: str) -> None:
        """Note a whole answer; it clears a suspect."""
        self._take_answer(fingerprint, self.clock.wall_ms())

    def _take_crash(self, crash: suspicion.Crash) -> None:
        before = self.is_convicted(crash.fingerprint)
        if not suspicion.record_crash(self.book, crash):
            return
        convicting = not before and self.is_convicted(crash.fingerprint)
        self._tell(["crash", *attrs.astuple(crash)], urgent=convicting)
        if convicting:
            events.log_event(
                events.Event.REQUEST_CONVICTED, fingerprint=crash.fingerprint
            )

    def _take_answer(self, fingerprint: str, wall_ms: int) -> None:
        if suspicion.record_answer(self.book, fingerprint, wall_ms):
            self._tell(["answer", fingerprint, wall_ms])
            events.log_event(
                events.Event.REQUEST_CLEARED, fingerprint=fingerprint
            )

    def _tell(self, fact: list, urgent: bool = False) -> None:
        """Queue a fact; a conviction goes before a batch of suspicions."""
        if urgent:
            self.unsent.appendleft(fact)
        else:
            self.unsent.append(fact)
        self.news.set()

    async def _tell_news(self) -> None:
        while True:
            await self.news.wait()
            count = min(len(self.unsent), FACTS_A_MESSAGE)
            facts = [self.unsent.popleft() for _ in range(count)]
            if not self.unsent:
                self.news = trio.Event()
            await self.hub.tell_all("suspects", facts)
            await self.clock.sleep(LEAST_PAUSE_MS)

    async def _tell_slices(self) -> None:
        while True:
            await self.clock.sleep(SLICE_INTERVAL_MS)
            suspicion.drop_expired(self.book, self.clock.wall_ms())
            peers = sorted(self.hub.links)
            facts = self._make_slice()
            if peers and facts:
                peer = peers[self.slices % len(peers)]
                await self.hub.tell(peer, "suspects", facts)

    def _make_slice(self) -> list[list]:
        """The next few of all known facts, in turn."""
        names = list(self.book.crashes)
        if not names:
            return []
        self.slices += 1
        name = names[self.slices % len(names)]
        facts = [
            ["crash", *attrs.astuple(crash)]
            for crash in self.book.crashes[name][-FACTS_A_MESSAGE:]
        ]
        if name in self.book.cleared:
            facts.append(["answer", name, self.book.cleared[name]])
        return facts

    async def _take_facts(self, peer: str, body: typing.Any) -> None:
        for fact in body[: FACTS_A_MESSAGE + 1]:
            match fact:
                case [
                    "crash",
                    str() as fingerprint,
                    str() as endpoint,
                    int() as seen_ms,
                    str() as request,
                ]:
                    self._take_crash(
                        suspicion.Crash(
                            fingerprint, endpoint, seen_ms, request
                        )
                    )
                case ["answer", str() as fingerprint, int() as wall_ms]:
                    self._take_answer(fingerprint, wall_ms)
