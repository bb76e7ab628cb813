"""Queues before the endpoints: one lane for each version and each pool.

A request waits here until an endpoint has room for it, its time runs out or
its caller leaves; the decisions themselves are in ``decisions``.
"""

import random

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.controllers import suspects as suspects_module
from carawayward.decisions import admission
from carawayward.decisions import limits
from carawayward.decisions import placement
from carawayward.decisions import queueing
from carawayward.decisions import retry
from carawayward.gateway import fleet as fleet_module

# How often membership is looked at and lanes with waiting work are gone
# through without a cause of their own, such as an ejection that ran out.
TICK_MS = 100.0


@attrs.define(eq=False, kw_only=True)
class Waiter:
    """A request in a lane; ``view`` is set when it may start.

    ``suspect`` tells whether it starts as a suspect's trial.
    """

    item: queueing.WaitingRequest
    key: int | None
    fingerprint: str = ""
    excluded: frozenset[str] = frozenset()
    event: trio.Event = attrs.field(factory=trio.Event)
    view: placement.EndpointView | None = None
    suspect: bool = False


@attrs.define(eq=False, kw_only=True)
class Lane:
    """The state of one queue; ``side`` holds retries, which go first."""

    serves: fleet_module.Serves
    queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    side: list[Waiter] = attrs.field(factory=list)
    times: admission.ServiceTimes = attrs.field(factory=admission.ServiceTimes)
    promises: admission.RetrySchedule = attrs.field(
        factory=admission.RetrySchedule
    )
    retries: retry.Budget = attrs.field(factory=retry.Budget)
    hedges: retry.Budget = attrs.field(
        factory=lambda: retry.Budget(retry.HEDGE_SHARE)
    )
    first_text: retry.TtftEstimate = attrs.field(factory=retry.TtftEstimate)
    candidates: placement.Candidates = attrs.field(
        factory=lambda: placement.Candidates.from_views([])
    )
    generation: int = -1
    served_ms: float = 0.0

    @property
    def waiting(self) -> bool:
        """Whether any request waits."""
        return bool(self.side or self.queue.count)


@attrs.define(eq=False)
class Lanes:
    """All lanes of this entry VM.

    Lanes are not dropped: a request on its way holds its lane, and one that
    is no longer gone through would keep it waiting. There are as many as
    versions and pools have been declared since the start.
    """

    clock: clock_module.Clock
    fleet: fleet_module.Fleet
    failure_domain: str
    suspects: suspects_module.SuspectsController
    draw: placement.Draw = random.randrange
    lanes: dict[str, Lane] = attrs.field(factory=dict)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to look at the lanes now and then."""
        nursery.start_soon(self._tick)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    async def _tick(self) -> None:
        while True:
            self.fleet.sync(self.clock.now_ms())
            self.pump_all()
            await self.clock.sleep(TICK_MS)

    def find(self, name: str, serves: fleet_module.Serves) -> Lane:
        """The lane of a version or pool, with its candidates up to date."""
        lane = self.lanes.get(name)
        if lane is None:
            # What was learned since the last tick may serve it.
            self.fleet.sync(self.clock.now_ms())
            lane = self.lanes[name] = Lane(serves=serves)
        self.refresh(lane)
        return lane

    def refresh(self, lane: Lane) -> None:
        """Make the list of candidates anew if membership has changed."""
        if lane.generation != self.fleet.generation:
            lane.candidates = self.fleet.find_candidates(lane.serves)
            lane.generation = self.fleet.generation

    def admit(
        self, lane: Lane, waiter: Waiter, places: int
    ) -> admission.Refusal | None:
        """Refuse a request that cannot be served in time, or None."""
        slots = sum(view.limit.value for view in lane.candidates.views)
        return admission.check_admission(
            lane.queue,
            waiter.item,
            self.clock.now_ms(),
            slots,
            places,
            lane.promises,
        )

    async def wait(self, lane: Lane, waiter: Waiter, aside: bool) -> bool:
        """Wait for a slot; False when none came in time, or may any more.

        A caller that leaves frees its place at once, and a slot that was
        granted in the same moment is handed on.
        """
        if aside:
            lane.side.append(waiter)
        else:
            waiter.item.payload = waiter
            queueing.push(lane.queue, waiter.item)
        self.pump(lane)
        patience_ms = waiter.item.latest_start_ms - self.clock.now_ms()
        try:
            if waiter.view is None:
                with trio.move_on_after(max(0.0, patience_ms) / 1000):
                    await waiter.event.wait()
        except BaseException:
            if waiter.view is not None:
                self.release(waiter.view, waiter)
            raise
        finally:
            queueing.remove(lane.queue, waiter.item)
            if waiter in lane.side:
                lane.side.remove(waiter)
        return waiter.view is not None

    def release(
        self, view: placement.EndpointView, trial: Waiter | None = None
    ) -> None:
        """Free a slot, end its trial, and give it to whoever waits."""
        if trial is not None and trial.suspect:
            self.suspects.end_trial(trial.fingerprint, view.name)
        self.fleet.vacate(view)
        self.pump_all()

    def pump_all(self) -> None:
        """Start what can be started, the lane served longest ago first."""
        busy = [lane for lane in self.lanes.values() if lane.waiting]
        for lane in sorted(busy, key=lambda lane: lane.served_ms):
            self.pump(lane)

    def pump(self, lane: Lane) -> None:
        """Start what can be started in one lane."""
        self.refresh(lane)
        while self._start_one(lane):
            lane.served_ms = self.clock.now_ms()

    def _start_one(self, lane: Lane) -> bool:
        for waiter in lane.side:
            if self._place(lane, waiter) is not None:
                lane.side.remove(waiter)
                return True
        for item in queueing.list_heads(lane.queue):
            if self._place(lane, item.payload) is not None:
                queueing.take(lane.queue, item)
                return True
        return False

    def _place(
        self, lane: Lane, waiter: Waiter
    ) -> placement.EndpointView | None:
        suspect, trial = False, None
        if waiter.fingerprint:
            if self.suspects.is_convicted(waiter.fingerprint):
                # Its trial will not come: it is refused now rather than
                # held until its deadline.
                waiter.event.set()
                return None
            suspect, trial = self.suspects.find_trial(
                waiter.fingerprint, lane.candidates
            )
        now_ms = self.clock.now_ms()
        view: placement.EndpointView | None = None
        if not suspect:
            view = placement.choose(
                lane.candidates,
                waiter.key,
                self.failure_domain,
                now_ms,
                self.draw,
                waiter.excluded,
            )
        elif trial is not None:
            home = self.fleet.views[trial]
            if limits.has_room(home.limit, home.in_flight):
                view = home
        if view is None:
            return None
        waiter.view, waiter.suspect = view, suspect
        if suspect:
            self.suspects.begin_trial(waiter.fingerprint, view.name)
        self.fleet.occupy(view)
        waiter.event.set()
        return view
