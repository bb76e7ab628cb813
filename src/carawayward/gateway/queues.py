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

    item: queueing.Item
    key: int | None
    fingerprint: str = ""
    excluded: frozenset[str] = frozenset()
    event: trio.Event = attrs.field(factory=trio.Event)
    view: placement.View | None = None
    suspect: bool = False


@attrs.define(eq=False, kw_only=True)
class DispatchQueue:
    """The state of one queue; ``side`` holds retries, which go first."""

    serves: fleet_module.Serves
    fair_queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    retry_waiters: list[Waiter] = attrs.field(factory=list)
    times: admission.WorkTimes = attrs.field(factory=admission.WorkTimes)
    promises: admission.Promises = attrs.field(factory=admission.Promises)
    retry_budget: retry.Budget = attrs.field(factory=retry.Budget)
    hedge_budget: retry.Budget = attrs.field(
        factory=lambda: retry.Budget(retry.HEDGE_SHARE)
    )
    first_text: retry.FirstText = attrs.field(factory=retry.FirstText)
    candidates: placement.Candidates = attrs.field(
        factory=lambda: placement.Candidates.from_views([])
    )
    generation: int = -1
    served_ms: float = 0.0

    @property
    def waiting(self) -> bool:
        """Whether any request waits."""
        return bool(self.retry_waiters or self.fair_queue.count)


@attrs.define(eq=False)
class DispatchQueues:
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
    queues: dict[str, DispatchQueue] = attrs.field(factory=dict)

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

    def find(self, name: str, serves: fleet_module.Serves) -> DispatchQueue:
        """The lane of a version or pool, with its candidates up to date."""
        queue = self.queues.get(name)
        if queue is None:
            # What was learned since the last tick may serve it.
            self.fleet.sync(self.clock.now_ms())
            queue = self.queues[name] = DispatchQueue(serves=serves)
        self.refresh(queue)
        return queue

    def refresh(self, queue: DispatchQueue) -> None:
        """Make the list of candidates anew if membership has changed."""
        if queue.generation != self.fleet.generation:
            queue.candidates = self.fleet.find_candidates(queue.serves)
            queue.generation = self.fleet.generation

    def admit(
        self, queue: DispatchQueue, waiter: Waiter, places: int
    ) -> admission.Refusal | None:
        """Refuse a request that cannot be served in time, or None."""
        slots = sum(view.limit.value for view in queue.candidates.views)
        return admission.decide(
            queue.fair_queue,
            waiter.item,
            self.clock.now_ms(),
            slots,
            places,
            queue.promises,
        )

    async def wait(
        self, queue: DispatchQueue, waiter: Waiter, aside: bool
    ) -> bool:
        """Wait for a slot; False when none came in time, or may any more.

        A caller that leaves frees its place at once, and a slot that was
        granted in the same moment is handed on.
        """
        if aside:
            queue.retry_waiters.append(waiter)
        else:
            waiter.item.payload = waiter
            queueing.push(queue.fair_queue, waiter.item)
        self.pump(queue)
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
            queueing.remove(queue.fair_queue, waiter.item)
            if waiter in queue.retry_waiters:
                queue.retry_waiters.remove(waiter)
        return waiter.view is not None

    def release(
        self, view: placement.View, trial: Waiter | None = None
    ) -> None:
        """Free a slot, end its trial, and give it to whoever waits."""
        if trial is not None and trial.suspect:
            self.suspects.end_trial(trial.fingerprint, view.name)
        self.fleet.vacate(view)
        self.pump_all()

    def pump_all(self) -> None:
        """Start what can be started, the lane served longest ago first."""
        busy = [queue for queue in self.queues.values() if queue.waiting]
        for queue in sorted(busy, key=lambda queue: queue.served_ms):
            self.pump(queue)

    def pump(self, queue: DispatchQueue) -> None:
        """Start what can be started in one lane."""
        self.refresh(queue)
        while self._start_one(queue):
            queue.served_ms = self.clock.now_ms()

    def _start_one(self, queue: DispatchQueue) -> bool:
        for waiter in queue.retry_waiters:
            if self._place(queue, waiter) is not None:
                queue.retry_waiters.remove(waiter)
                return True
        for item in queueing.list_heads(queue.fair_queue):
            if self._place(queue, item.payload) is not None:
                queueing.take(queue.fair_queue, item)
                return True
        return False

    def _place(
        self, queue: DispatchQueue, waiter: Waiter
    ) -> placement.View | None:
        suspect, trial = False, None
        if waiter.fingerprint:
            if self.suspects.is_convicted(waiter.fingerprint):
                # Its trial will not come: it is refused now rather than
                # held until its deadline.
                waiter.event.set()
                return None
            suspect, trial = self.suspects.find_trial(
                waiter.fingerprint, queue.candidates
            )
        now_ms = self.clock.now_ms()
        view: placement.View | None = None
        if not suspect:
            view = placement.choose(
                queue.candidates,
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
