"""Runs non-repeatable requests at most once.

A right to run such a request is either a ticket or a caller's own key. Only
the incarnation that issued a ticket may run it, and only the incarnation
whose claim of a key came first in the log may run that key. In both cases
the holder's rights table (see ``protocol.tickets``) decides, in memory,
before the first byte is sent. A lease would not be safe: a holder that is
paused between its check and its send can outlive any lease, and some
endpoints ignore fencing tokens.
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
from carawayward.gateway import once_outcomes
from carawayward.gateway import replies
from carawayward.gateway import requests
from carawayward import outcomes
from carawayward.peers import hub as hub_module
from carawayward.protocol import claims
from carawayward.protocol import tickets
from carawayward.protocol import tokens
from carawayward import settings as settings_module
from carawayward import supervision

TICKET_TTL_MS = 120_000
RELAY_MARGIN_MS = 2_000
RETRY_AFTER_MS = 1_000
PRUNE_INTERVAL_MS = 5_000.0
# Fields of a call that are not sent to other entry VMs.
LOCAL_FIELDS = frozenset(("hold", "may_send"))

RunService = typing.Callable[
    [declaration.Customer, requests.ServiceCall],
    typing.Awaitable[outcomes.Outcome],
]


@attrs.frozen
class OnceRun:
    """A validated call and the right under which it is to run."""

    customer: declaration.Customer
    call: requests.ServiceCall
    operation: declaration.Operation
    pool: str
    right: str
    expires_ms: int


@attrs.define
class ActiveRun:
    """A run under way; ``outcome`` is final once ``done`` is set."""

    outcome: outcomes.Outcome = outcomes.Unknown(
        outcomes.Reason.ENDPOINT_SILENT,
        "the run was cut off; look before you send it again",
    )
    done: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class OnceGate:
    """Runs each right at most once, on this node or at its holder.

    ``run_service`` validates and runs a call that a peer relays. Runs are
    tasks of the gate rather than of the call that started them, so that a
    caller or peer link that goes away does not lose a run's outcome.
    """

    lifecycle: lifecycle_module.Lifecycle
    hub: hub_module.PeerHub
    signer: tokens.Signer
    claims: claims_module.ClaimsController
    rules: tickets.Rules = attrs.field(factory=tickets.Rules)
    run_service: RunService | None = None
    rights: tickets.RightsTable = attrs.field(factory=tickets.RightsTable)
    _running: dict[str, ActiveRun] = attrs.field(factory=dict)
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
        """Create the gate with the clock skew that all nodes agree on."""
        rules = tickets.Rules(skew_ms=settings.agreed.clock_skew_ms)
        return cls(lifecycle, hub, signer, claims_controller, rules)

    @property
    def board(self) -> blackboard_module.Blackboard:
        """This entry VM's view of the deployment."""
        return self.lifecycle.board

    @property
    def self_id(self) -> tuple[str, str]:
        """This node's name and incarnation."""
        return self.board.name, self.board.incarnation

    def listen(self, run_service: RunService) -> None:
        """Set the function that runs calls relayed by peers."""
        self.run_service = run_service

    async def start(self, nursery: trio.Nursery) -> None:
        """Register handlers for relayed calls and for rights handed over."""
        self._nursery = nursery
        self.hub.handle("service.run", self._handle_relayed_call)
        handover.listen(self.hub, self.board, self.rights)
        nursery.start_soon(self._prune_periodically)

    async def close(self) -> None:
        """Hand all rights over to one heir."""
        await handover.hand_over(
            self.hub,
            self.board,
            self.rights,
            self.self_id,
            self.lifecycle.clock.wall_ms(),
        )

    def is_running(self, key: tuple[str, str]) -> bool:
        """Whether a run under (customer, request key) is under way here."""
        return f"key {key[0]} {key[1]}" in self._running

    def find_outcome(self, key: tuple[str, str]) -> outcomes.Outcome | None:
        """Return the kept outcome of a run under (customer, request key)."""
        use = self.rights.uses.get(f"key {key[0]} {key[1]}")
        return use.outcome if use is not None else None

    def issue(self, customer: declaration.Customer) -> tuple[str, int]:
        """Return a new ticket and when it expires (wall clock, ms)."""
        ticket = tokens.issue_ticket(
            customer.name,
            self.board.name,
            self.board.incarnation,
            self.lifecycle.clock.wall_ms() + TICKET_TTL_MS,
        )
        return self.signer.sign(ticket), ticket.expires_ms

    async def run(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        operation: declaration.Operation,
        pool: str,
    ) -> outcomes.Outcome:
        """Run a non-repeatable call, or return what became of it.

        The time limit for sending it starts here, so that a node that is
        paused at any later point, even before it marks the right used, does
        not send the call when it resumes after the limit.
        """
        if call.arrived_ms is None:
            arrived_ms = self.lifecycle.clock.wall_ms()
            call = attrs.evolve(call, arrived_ms=arrived_ms)
        may_send = self._make_send_check(call)
        call = attrs.evolve(call, may_send=may_send)
        if call.ticket:
            return await self._run_with_ticket(customer, call, operation, pool)
        if call.made_ms is not None:
            return await self._run_with_key(customer, call, operation, pool)
        raise errors.BadRequest(
            "Carawayward-Ticket",
            "nothing",
            "this call may not be repeated: take a ticket first, or send "
            "Idempotency-Key with Carawayward-Key-Made-At",
        )

    async def _run_with_ticket(
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
        if not tickets.holds(self.rights, issuer, self.self_id):
            return await self._relay_to_holder(customer, call, issuer)
        call = attrs.evolve(call, request_key=ticket.ticket_id)
        right = f"ticket {ticket.ticket_id}"
        return await self._run_or_replay(
            OnceRun(customer, call, operation, pool, right, ticket.expires_ms)
        )

    async def _run_with_key(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        operation: declaration.Operation,
        pool: str,
    ) -> outcomes.Outcome:
        assert call.made_ms is not None
        key = (customer.name, call.request_key)
        result: claims_module.Result = claims_module.NoClaim()
        with self.lifecycle.deadlines.limit():
            result = await self.claims.acquire(
                key, call.made_ms, self._compute_timeout_ms(call)
            )
        match result:
            case claims_module.HeldBy(holder):
                if not tickets.holds(self.rights, holder, self.self_id):
                    return await self._relay_to_holder(customer, call, holder)
            case claims_module.Expired(verdict):
                return once_outcomes.make_key_expired(verdict)
            case claims_module.NoClaim():
                return once_outcomes.make_no_claim(call)
        window_ms = self.claims.rules.window_ms
        right = f"key {key[0]} {key[1]}"
        expires_ms = call.made_ms + window_ms
        return await self._run_or_replay(
            OnceRun(customer, call, operation, pool, right, expires_ms)
        )

    async def _run_or_replay(self, once_run: OnceRun) -> outcomes.Outcome:
        wall_ms = self.lifecycle.clock.wall_ms()
        decision = tickets.decide(
            self.rights,
            once_run.right,
            once_run.expires_ms,
            wall_ms,
            self.rules,
        )
        match decision:
            case tickets.Run():
                self._start_run(once_run)
                return await self._wait_for_outcome(once_run)
            case tickets.Wait():
                return await self._wait_for_outcome(once_run)
            case tickets.Relay(to):
                return await self._relay_to_holder(
                    once_run.customer, once_run.call, to
                )
            case tickets.Replay(outcome) | tickets.Refuse(outcome):
                return outcome

    def _start_run(self, once_run: OnceRun) -> None:
        """Mark the right used and start the run.

        There must be no await between ``tickets.decide`` and this.
        """
        assert self._nursery is not None
        tickets.mark_used(self.rights, once_run.right, once_run.expires_ms)
        self._running[once_run.right] = ActiveRun()
        self._nursery.start_soon(self._execute, once_run)

    def _make_send_check(
        self, call: requests.ServiceCall
    ) -> typing.Callable[[], bool]:
        """Return the check made right before a call's first byte is sent.

        The limit is measured from the call's arrival both here and at the
        entry VM that relayed it, since either process may have been paused
        in between.
        """
        clock = self.lifecycle.clock
        rules = self.claims.rules
        limit, skew = rules.dispatch_within_ms, rules.skew_ms
        local_arrival_ms, first_arrival_ms = (
            clock.now_ms(),
            call.arrived_ms or 0,
        )

        def may_send() -> bool:
            return claims.may_dispatch(
                local_arrival_ms, clock.now_ms(), limit
            ) and claims.may_dispatch(
                first_arrival_ms - skew, clock.wall_ms(), limit + 2 * skew
            )

        return may_send

    async def _execute(self, once_run: OnceRun) -> None:
        """Run a right that is marked used; no exception may leave this task.

        The supervisor restarts failed tasks, and this one may already have
        sent its call.
        """
        running = self._running[once_run.right]
        try:
            running.outcome = await self.lifecycle.call_service(
                once_run.customer,
                once_run.call,
                once_run.operation,
                once_run.pool,
            )
        except Exception as fault:
            events.log_event(
                events.Event.FAULT,
                task="non-repeatable run",
                detail=supervision.describe_fault(fault),
            )
        finally:
            tickets.record_outcome(
                self.rights, once_run.right, running.outcome
            )
            del self._running[once_run.right]
            running.done.set()

    async def _wait_for_outcome(self, once_run: OnceRun) -> outcomes.Outcome:
        """Wait for the run's outcome until this call's deadline."""
        running = self._running.get(once_run.right)
        if running is not None:
            with trio.move_on_after(
                self._compute_timeout_ms(once_run.call) / 1000
            ):
                await running.done.wait()
                return running.outcome
        return outcomes.Unknown(
            outcomes.Reason.IN_PROGRESS,
            "the first run is still under way; ask again under the same key",
            RETRY_AFTER_MS,
        )

    def _compute_timeout_ms(self, call: requests.ServiceCall) -> float:
        limits = self.lifecycle.settings.limits
        max_ms = limits.service_timeout_ms + RELAY_MARGIN_MS
        return min(call.deadline_ms or max_ms, max_ms)

    async def _relay_to_holder(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        holder: tuple[str, str],
    ) -> outcomes.Outcome:
        """Relay a call to the holder of its right, which alone may run it."""
        with self.lifecycle.deadlines.limit():
            return await self._call_holder(customer, call, holder)
        return once_outcomes.make_holder_unavailable("gave no answer in time")

    async def _call_holder(
        self,
        customer: declaration.Customer,
        call: requests.ServiceCall,
        holder: tuple[str, str],
    ) -> outcomes.Outcome:
        name, incarnation = handover.follow_heirs(self.board.heirs, holder)
        try:
            link = await self.hub.get_link(
                name, self._compute_timeout_ms(call)
            )
        except errors.PeerUnavailable:
            return once_outcomes.make_holder_unavailable("cannot be reached")
        if link.incarnation != incarnation:
            return once_outcomes.make_holder_unavailable("is gone")
        body = {
            "customer": customer.name,
            "call": attrs.asdict(
                call, filter=lambda field, _: field.name not in LOCAL_FIELDS
            ),
        }
        timeout_ms = self._compute_timeout_ms(call) + RELAY_MARGIN_MS
        try:
            answer = await self.hub.call(name, "service.run", body, timeout_ms)
        except errors.PeerUnavailable:
            answer = None
        if answer is None:
            return once_outcomes.make_holder_unavailable("gave no answer")
        return replies.restore(answer)

    async def _handle_relayed_call(
        self, peer: str, body: typing.Any
    ) -> dict | None:
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

    async def _prune_periodically(self) -> None:
        while True:
            await self.lifecycle.clock.sleep(PRUNE_INTERVAL_MS)
            wall_ms = self.lifecycle.clock.wall_ms()
            tickets.drop_expired(self.rights, wall_ms, self.rules)
            max_ttl_ms = max(TICKET_TTL_MS, self.claims.rules.window_ms)
            tickets.drop_expired_issuers(
                self.rights, wall_ms, max_ttl_ms, self.rules
            )
