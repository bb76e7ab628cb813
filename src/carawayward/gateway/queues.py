"""Dispatch queues, one for each model version and each service pool.

A request waits here until an endpoint has a free slot, its time runs out or
its caller disconnects. The scheduling rules themselves are in ``decisions``.
"""

import random

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.controllers import suspects as suspects_module
from carawayward import deadlines
from carawayward.decisions import admission
from carawayward.decisions import limits
from carawayward.decisions import placement
from carawayward.decisions import queueing
from carawayward.decisions import retry
from carawayward.gateway import fleet as fleet_module

# How often endpoint membership is synchronized and all non-empty queues are
# dispatched. This catches changes that trigger no dispatch themselves, such
# as the end of an ejection.
SWEEP_INTERVAL_MS = 100.0


@attrs.define(eq=False, kw_only=True)
class Waiter:
    """A queued request; ``view`` is set once it has a slot on an endpoint.

    ``suspect`` tells whether the slot is for the trial run of a request
    that is suspected of crashing endpoints. ``find_latest_start`` takes a
    planned stop into account, which may begin while the request waits.
    """

    item: queueing.WaitingRequest
    key: int | None
    fingerprint: str = ""
    excluded: frozenset[str] = frozenset()
    event: trio.Event = attrs.field(factory=trio.Event)
    view: placement.EndpointView | None = None
    suspect: bool = False
    deadline: deadlines.Deadline = attrs.field(factory=deadlines.Deadline)
    find_latest_start: deadlines.FindTime = attrs.field(
        default=attrs.Factory(
            lambda self: lambda: self.item.latest_start_ms, takes_self=True
        )
    )


@attrs.define(eq=False, kw_only=True)
class DispatchQueue:
    """Waiting requests and learned state of one version or service pool.

    ``retry_waiters`` holds retries, which are dispatched first.
    """

    serves: fleet_module.Serves
    fair_queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    retry_waiters: list[Waiter] = attrs.field(factory=list)
    service_times: admission.ServiceTimes = attrs.field(
        factory=admission.ServiceTimes
    )
    retry_schedule: admission.RetrySchedule = attrs.field(
        factory=admission.RetrySchedule
    )
    retry_budget: retry.Budget = attrs.field(factory=retry.Budget)
    hedge_budget: retry.Budget = attrs.field(
        factory=lambda: retry.Budget(retry.HEDGE_SHARE)
    )
    ttft: retry.TtftEstimate = attrs.field(factory=retry.TtftEstimate)
    candidates: placement.Candidates = attrs.field(
        factory=lambda: placement.Candidates.from_views([])
    )
    generation: int = -1
    last_served_ms: float = 0.0

    @property
    def waiting(self) -> bool:
        """Whether any request is waiting."""
        return bool(self.retry_waiters or self.fair_queue.count)


@attrs.define(eq=False)
class DispatchQueues:
    """All dispatch queues of this entry VM.

    Queues are never removed: a request in progress keeps a reference to its
    queue, and would wait in vain if that queue were no longer dispatched.
    Their number is that of the versions and pools used since the start.
    """

    clock: clock_module.Clock
    fleet: fleet_module.Fleet
    failure_domain: str
    suspects: suspects_module.SuspectsController
    draw: placement.Draw = random.randrange
    queues: dict[str, DispatchQueue] = attrs.field(factory=dict)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the periodic sweep."""
        nursery.start_soon(self._sweep)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the task."""

    async def _sweep(self) -> None:
        while True:
            self.fleet.sync(self.clock.now_ms())
            self.dispatch_all()
            await self.clock.sleep(SWEEP_INTERVAL_MS)

    def find(self, name: str, serves: fleet_module.Serves) -> DispatchQueue:
        """Return the queue of a version or pool with current candidates.

        ``serves`` tells which endpoints are candidates of a new queue.
        """
        queue = self.queues.get(name)
        if queue is None:
            # An endpoint that was added since the last sweep may serve it.
            self.fleet.sync(self.clock.now_ms())
            queue = self.queues[name] = DispatchQueue(serves=serves)
        self.refresh_candidates(queue)
        return queue

    def refresh_candidates(self, queue: DispatchQueue) -> None:
        """Rebuild the list of candidates if membership has changed."""
        if queue.generation != self.fleet.generation:
            queue.candidates = self.fleet.find_candidates(queue.serves)
            queue.generation = self.fleet.generation

    def admit(
        self, queue: DispatchQueue, waiter: Waiter, queue_limit: int
    ) -> admission.Refusal | None:
        """Return a refusal if the request cannot be served in time."""
        slots = sum(view.limit.value for view in queue.candidates.views)
        return admission.check_admission(
            queue.fair_queue,
            waiter.item,
            self.clock.now_ms(),
            slots,
            queue_limit,
            queue.retry_schedule,
        )

    async def wait(
        self, queue: DispatchQueue, waiter: Waiter, is_retry: bool
    ) -> bool:
        """Wait for a slot; return whether one was granted.

        The result is False if none was free in time, or if the request was
        convicted meanwhile. Cancellation removes the request from the queue
        at once and releases a slot that was granted at the same moment.
        """
        if waiter.find_latest_start() < self.clock.now_ms():
            return False
        if is_retry:
            queue.retry_waiters.append(waiter)
        else:
            waiter.item.payload = waiter
            queueing.push(queue.fair_queue, waiter.item)
        self.dispatch_waiting(queue)
        try:
            if waiter.view is None:
                with waiter.deadline.limit(
                    self.clock, waiter.find_latest_start
                ):
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
        self, view: placement.EndpointView, trial: Waiter | None = None
    ) -> None:
        """Free a slot, end its trial if any, and dispatch all queues."""
        if trial is not None and trial.suspect:
            self.suspects.end_trial(trial.fingerprint, view.name)
        self.fleet.end_request(view)
        self.dispatch_all()

    def dispatch_all(self) -> None:
        """Dispatch from all queues, the least recently served one first."""
        nonempty = [queue for queue in self.queues.values() if queue.waiting]
        for queue in sorted(nonempty, key=lambda queue: queue.last_served_ms):
            self.dispatch_waiting(queue)

    def dispatch_waiting(self, queue: DispatchQueue) -> None:
        """Grant slots to a queue's requests for as long as there are any."""
        self.refresh_candidates(queue)
        while self._dispatch_one(queue):
            queue.last_served_ms = self.clock.now_ms()

    def _dispatch_one(self, queue: DispatchQueue) -> bool:
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
    ) -> placement.EndpointView | None:
        suspect, trial = False, None
        if waiter.fingerprint:
            if self.suspects.is_convicted(waiter.fingerprint):
                # A convicted request gets no trial. Wake it without a slot,
                # so that it is refused now and not at its deadline.
                waiter.event.set()
                return None
            suspect, trial = self.suspects.find_trial(
                waiter.fingerprint, queue.candidates
            )
        now_ms = self.clock.now_ms()
        view: placement.EndpointView | None = None
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
            trial_view = self.fleet.views[trial]
            if limits.has_room(trial_view.limit, trial_view.in_flight):
                view = trial_view
        if view is None:
            return None
        waiter.view, waiter.suspect = view, suspect
        if suspect:
            self.suspects.begin_trial(waiter.fingerprint, view.name)
        self.fleet.begin_request(view)
        waiter.event.set()
        return view
