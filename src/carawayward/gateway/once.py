"""Requests that may not be repeated run at most once.

A ticket may be run only by the incarnation that issued it, and a key that
its caller made only by the incarnation whose claim came first in the log.
Either way that incarnation's book decides, in memory, before the first byte
goes out. A lease would not do: a holder that is paused between its check and
its send outlives any lease, and some endpoints ignore fencing tokens.
"""

import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward.controllers import claims as claims_module
from carawayward import declaration
from carawayward import errors
from carawayward import events
from carawayward.gateway import handover
from carawayward.gateway import lifecycle as lifecycle_module
from carawayward.gateway import replies
from carawayward.gateway import requests
from carawayward.gateway import verdicts
from carawayward import outcomes
from carawayward.peers import hub as hub_module
from carawayward.protocol import claims
from carawayward.protocol import tickets
from carawayward.protocol import tokens
from carawayward import settings as settings_module
from carawayward import supervision

TICKET_LIFE_MS = 120_000
RELAY_MARGIN_MS = 2_000
RETRY_AFTER_MS = 1_000
FORGET_INTERVAL_MS = 5_000.0

RunService = typing.Callable[
    [declaration.Customer, requests.ServiceCall],
    typing.Awaitable[outcomes.Outcome],
]


@attrs.frozen
class Job:
    """A checked call and the right that it is presented under."""

    customer: declaration.Customer
    call: requests.ServiceCall
    operation: declaration.Operation
    pool: str
    right: str
    expires_ms: int


@attrs.define
class Running:
    """A run under way; ``outcome`` stands once ``done`` is set."""

    outcome: outcomes.Outcome = outcomes.Unknown(
        outcomes.Reason.ENDPOINT_SILENT,
        "the run was cut off; look before you send it again",
    )
    done: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class OnceGate:
    """Lets each right through once, here or at its holder.

    ``run_service`` checks and runs a call that a peer relays. Runs belong
    to the gate and not to the call that began them: a caller or a peer
    link that goes away must not leave a run half known.
    """

    lifecycle: lifecycle_module.Lifecycle
    hub: hub_module.PeerHub
    signer: tokens.Signer
    claims: claims_module.ClaimsController
    rules: tickets.Rules = attrs.field(factory=tickets.Rules)
    run_service: RunService | None = None
    book: tickets.Book = attrs.field(factory=tickets.Book)
    _running: dict[str, Running] = attrs.field(factory=dict)
    _nursery: trio.Nursery | None = None

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        lifecycle: lifecycle_module.Lifecycle,
        hub: hub_module.PeerHub,
        signer: tokens.Signer,
        claims_controller: claims_module.ClaimsController,
    ) -> "OnceGate":
        """Make the gate with the times that all nodes share."""
        rules = tickets.Rules(skew_ms=settings.agreed.clock_skew_ms)
        return cls(lifecycle, hub, signer, claims_controller, rules)

    @property
    def board(self) -> blackboard_module.Blackboard:
        """What this entry VM believes."""
        return self.lifecycle.board

    @property
    def self_id(self) -> tuple[str, str]:
        """This node's name and incarnation."""
        return self.board.name, self.board.incarnation

    def listen(self, run_service: RunService) -> None:
        """Take calls that peers relay to this holder."""
        self.run_service = run_service

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to take relayed calls and leaving nodes' rights."""
        self._nursery = nursery
        self.hub.handle("service.run", self._run_relayed)
        handover.listen(self.hub, self.board, self.book)
        nursery.start_soon(self._forget_old)

    async def close(self) -> None:
        """Hand all rights to one heir."""
        await handover.hand_over(
            self.hub,
            self.board,
            self.book,
            self.self_id,
            self.lifecycle.clock.wall_ms(),
        )

    def is_running(self, key: tuple[str, str]) -> bool:
        """Whether a run under (customer, request key) is under way here."""
        return f"key {key[0]} {key[1]}" in self._running

    def find_outcome(self, key: tuple[str, str]) -> outcomes.Outcome | None:
        """The kept outcome of a run under (customer, request key)."""
        use = self.book.uses.get(f"key {key[0]} {key[1]}")
        return use.outcome if use is not None else None

    def issue(self, customer: declaration.Customer) -> tuple[str, int]:
        """Return a new ticket and when it expires (wall clock, ms)."""
        ticket = tokens.issue_ticket(
            customer.name,
            self.board.name,
            self.board.incarnation,
            self.lifecycle.clock.wall_ms() + TICKET_LIFE_MS,
        )
        return self.signer.sign(ticket), ticket.expires_ms

    async def run(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        operation: declaration.Operation,
        pool: str,
    ) -> outcomes.Outcome:
        """Run a call that may not be repeated, or say what became of it.

        The time within which it may be sent counts from here: a node that
        is paused anywhere on the way, before its mark too, wakes too late.
        """
        if call.arrived_ms is None:
            arrived_ms = self.lifecycle.clock.wall_ms()
            call = attrs.evolve(call, arrived_ms=arrived_ms)
        may_send = self._bound_dispatch(call)
        call = attrs.evolve(call, may_send=may_send)
        if call.ticket:
            return await self._run_ticket(customer, call, operation, pool)
        if call.made_ms is not None:
            return await self._run_keyed(customer, call, operation, pool)
        raise errors.BadRequest(
            "Carawayward-Ticket",
            "nothing",
            "this call may not be repeated: take a ticket first, or send "
            "Idempotency-Key with Carawayward-Key-Made-At",
        )

    async def _run_ticket(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        operation: declaration.Operation,
        pool: str,
    ) -> outcomes.Outcome:
        ticket = self.signer.read_ticket(call.ticket)
        if ticket.customer != customer.name:
            raise errors.InvalidToken("the ticket is another customer's")
        issuer = (ticket.issuer, ticket.incarnation)
        if not tickets.holds(self.book, issuer, self.self_id):
            return await self._relay(customer, call, issuer)
        call = attrs.evolve(call, request_key=ticket.ticket_id)
        right = f"ticket {ticket.ticket_id}"
        return await self._present(
            Job(customer, call, operation, pool, right, ticket.expires_ms)
        )

    async def _run_keyed(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        operation: declaration.Operation,
        pool: str,
    ) -> outcomes.Outcome:
        assert call.made_ms is not None
        key = (customer.name, call.request_key)
        result = await self.claims.acquire(
            key, call.made_ms, self._find_timeout(call)
        )
        match result:
            case claims_module.HeldBy(holder):
                if not tickets.holds(self.book, holder, self.self_id):
                    return await self._relay(customer, call, holder)
            case claims_module.Expired(verdict):
                return verdicts.explain_expired(verdict)
            case claims_module.NoClaim():
                return verdicts.explain_no_claim(call)
        window_ms = self.claims.rules.window_ms
        right = f"key {key[0]} {key[1]}"
        expires_ms = call.made_ms + window_ms
        return await self._present(
            Job(customer, call, operation, pool, right, expires_ms)
        )

    async def _present(self, job: Job) -> outcomes.Outcome:
        wall_ms = self.lifecycle.clock.wall_ms()
        decision = tickets.present(
            self.book, job.right, job.expires_ms, wall_ms, self.rules
        )
        match decision:
            case tickets.Run():
                self._begin(job)
                return await self._wait(job)
            case tickets.Wait():
                return await self._wait(job)
            case tickets.Relay(to):
                return await self._relay(job.customer, job.call, to)
            case tickets.Replay(outcome) | tickets.Refuse(outcome):
                return outcome

    def _begin(self, job: Job) -> None:
        """Mark the right used, with no await since it was presented."""
        assert self._nursery is not None
        tickets.mark_used(self.book, job.right, job.expires_ms)
        self._running[job.right] = Running()
        self._nursery.start_soon(self._run, job)

    def _bound_dispatch(
        self, call: requests.ServiceCall
    ) -> typing.Callable[[], bool]:
        """What is asked right before the first byte of a call.

        Counted from the call's arrival, here and at the entry VM that
        relayed it: a process may be paused anywhere in between.
        """
        clock = self.lifecycle.clock
        rules = self.claims.rules
        limit, skew = rules.dispatch_within_ms, rules.skew_ms
        here_ms, there_ms = clock.now_ms(), call.arrived_ms or 0

        def may_send() -> bool:
            return claims.may_dispatch(
                here_ms, clock.now_ms(), limit
            ) and claims.may_dispatch(
                there_ms - skew, clock.wall_ms(), limit + 2 * skew
            )

        return may_send

    async def _run(self, job: Job) -> None:
        """Run a marked right; no fault may leave this task.

        Whatever looks after the daemon's tasks starts one that failed again,
        and this one may have sent its call already.
        """
        running = self._running[job.right]
        try:
            running.outcome = await self.lifecycle.call_service(
                job.customer, job.call, job.operation, job.pool
            )
        except Exception as fault:
            events.log_event(
                events.Event.FAULT,
                task="a run that may not be repeated",
                detail=supervision.describe_fault(fault),
            )
        finally:
            tickets.end_use(self.book, job.right, running.outcome)
            del self._running[job.right]
            running.done.set()

    async def _wait(self, job: Job) -> outcomes.Outcome:
        """Wait for the run's outcome, not beyond this call's deadline."""
        running = self._running.get(job.right)
        if running is not None:
            with trio.move_on_after(self._find_timeout(job.call) / 1000):
                await running.done.wait()
                return running.outcome
        return outcomes.Unknown(
            outcomes.Reason.IN_PROGRESS,
            "the first run is still under way; ask again under the same key",
            RETRY_AFTER_MS,
        )

    def _find_timeout(self, call: requests.ServiceCall) -> float:
        limits = self.lifecycle.settings.limits
        most = limits.service_timeout_ms + RELAY_MARGIN_MS
        return min(call.deadline_ms or most, most)

    async def _relay(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        holder: tuple[str, str],
    ) -> outcomes.Outcome:
        """Hand a call to the right's holder; nobody else may run it."""
        name, incarnation = handover.follow_heirs(self.board.heirs, holder)
        try:
            link = await self.hub.get_link(name, self._find_timeout(call))
        except errors.PeerUnavailable:
            return verdicts.make_lost("cannot be reached")
        if link.incarnation != incarnation:
            return verdicts.make_lost("is gone")
        body = {
            "customer": customer.name,
            "call": attrs.asdict(
                call, filter=lambda field, _: field.name != "may_send"
            ),
        }
        timeout_ms = self._find_timeout(call) + RELAY_MARGIN_MS
        try:
            answer = await self.hub.call(name, "service.run", body, timeout_ms)
        except errors.PeerUnavailable:
            answer = None
        if answer is None:
            return verdicts.make_lost("gave no answer")
        return replies.restore(answer)

    async def _run_relayed(self, peer: str, body: typing.Any) -> dict | None:
        config = self.board.config
        customer = config.customers.get(body["customer"]) if config else None
        if customer is None:
            return None
        call = requests.ServiceCall(**body["call"])
        try:
            assert self.run_service is not None
            outcome = await self.run_service(customer, call)
        except (errors.InvalidToken, errors.BadRequest):
            return None
        return replies.describe(outcome)

    async def _forget_old(self) -> None:
        while True:
            await self.lifecycle.clock.sleep(FORGET_INTERVAL_MS)
            wall_ms = self.lifecycle.clock.wall_ms()
            tickets.forget_old(self.book, wall_ms, self.rules)
            longest_ms = max(TICKET_LIFE_MS, self.claims.rules.window_ms)
            tickets.forget_issuers(self.book, wall_ms, longest_ms, self.rules)
