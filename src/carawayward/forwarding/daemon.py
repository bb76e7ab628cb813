"""Puts the parts of forwarded routes together, starts and stops them."""

import gc
import secrets
import signal
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import extra_runs
from carawayward import events
from carawayward.forwarding import app as app_module
from carawayward.forwarding import board as board_module
from carawayward.forwarding import declarations as declarations_module
from carawayward.forwarding import exchange
from carawayward.forwarding import facts
from carawayward.forwarding import feed
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import hints as hints_module
from carawayward.forwarding import keyed_log
from carawayward.forwarding import registry
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import settings as settings_module
from carawayward import http_server
from carawayward import listening
from carawayward import settings as node_settings

# What a lease is shortened by: the time between the check and the arrival
# of the request at its endpoint, and the clock's own error.
LEASE_MARGIN_MS = 500.0
# A balancer that asks once a second and takes two misses sends no new
# connections after this.
UNREADY_MS = 2_200.0
# Streams still open this long before the process is killed are broken off,
# so that their callers see it and the process ends by itself.
LAST_CUT_MS = 600.0
POLL_MS = 20.0
READY_WAIT_MS = 3_000.0


class Controller(typing.Protocol):
    """What the daemon starts and closes."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin the controller's tasks."""

    async def close(self) -> None:
        """Finish what must not be lost."""


@attrs.frozen(kw_only=True)
class Ports:
    """What a deployment brings: topics, decoders and headers."""

    declarations: keyed_log.KeyedLog
    endpoints: keyed_log.KeyedLog
    members: keyed_log.KeyedLog
    evidence: keyed_log.KeyedLog
    statuses: keyed_log.KeyedLog
    decode_declaration: typing.Callable[
        [keyed_log.Record], declarations_module.Decoded
    ]
    decode_status: typing.Callable[
        [keyed_log.Record], facts.RolloutStatus | None
    ]
    encode_status: typing.Callable[[facts.RolloutStatus], keyed_log.Record]
    decode_endpoint: registry.Decode
    dialect: facts.Dialect
    close: typing.Callable[[], typing.Awaitable[None]]


@attrs.define(eq=False)
class ForwardingDaemon:
    """One entry VM's process."""

    settings: settings_module.ForwardingSettings
    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    ports: Ports
    controllers: list[Controller]
    app: app_module.ForwardingApp

    @classmethod
    def from_config(
        cls, settings: settings_module.ForwardingSettings, ports: Ports
    ) -> "ForwardingDaemon":
        """Put the parts together; nothing runs yet."""
        clock = clock_module.Clock()
        board = board_module.ForwardingBoard(
            name=settings.name, failure_domain=settings.failure_domain
        )
        reader = declarations_module.DeclarationReader(
            board, ports.decode_declaration
        )
        entries = registry.RegistryReader(board, clock, ports.decode_endpoint)
        feeds = [
            feed.TopicFeed(
                "declarations",
                ports.declarations,
                clock,
                reader.replace,
                reader.apply,
                reader.prove,
            ),
            feed.TopicFeed(
                "endpoints",
                ports.endpoints,
                clock,
                entries.replace,
                entries.apply,
                entries.prove,
                entries.note_return,
            ),
        ]
        bounds = settings.bounds

        def is_fresh() -> bool:
            if not bounds.keys_fail_closed:
                return True
            age_ms = clock.boot_ms() - board.table_as_of_ms
            return age_ms < bounds.key_lease_ms - LEASE_MARGIN_MS

        def may_send(work: exchange.Work) -> bool:
            return not work.customer or is_fresh()

        incarnation = secrets.token_hex(4)
        fleet = fleet_module.Fleet(board, clock)
        hints = hints_module.HintsController(
            board,
            clock,
            ports.members,
            settings.listen.peers,
            incarnation,
            fleet.loads,
            fleet.find_memory,
            fleet.note_sent,
        )
        rollouts = rollouts_module.RolloutsController(
            board,
            clock,
            ports.evidence,
            ports.statuses,
            ports.decode_status,
            ports.encode_status,
            bounds.session_ms,
            incarnation,
        )
        fleet.find_split = rollouts.find_split
        forwarder = exchange.Forwarder(
            clock,
            ports.dialect,
            fleet,
            may_send,
            rollouts,
            hints,
            lambda: extra_runs.ExtraRuns(
                bounds.retry_window_ms, bounds.retry_ratio, bounds.retry_slack
            ),
        )
        app = app_module.ForwardingApp(
            board, clock, ports.dialect, forwarder, is_fresh
        )
        return cls(
            settings, board, clock, ports, [*feeds, rollouts, hints], app
        )

    async def run(self) -> None:
        """Serve until a signal asks for a planned stop."""
        events.log_event(events.Event.NODE_STARTED, node=self.board.name)
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with trio.open_nursery() as nursery:
                for each in self.controllers:
                    await each.start(nursery)
                stop = trio.Event()
                async with trio.open_nursery() as serving:
                    self._start_serving(serving, stop)
                    nursery.start_soon(self._become_ready)
                    await anext(signals)
                    await self._leave()
                    stop.set()
                    serving.cancel_scope.deadline = trio.current_time() + 0.3
                nursery.cancel_scope.cancel()
        for each in self.controllers:
            await each.close()
        await self.ports.close()
        events.log_event(events.Event.NODE_STOPPED, node=self.board.name)

    def _start_serving(self, nursery: trio.Nursery, stop: trio.Event) -> None:
        listen = self.settings.listen
        limits = node_settings.Limits(idle_connection_ms=60_000)
        for app, address in (
            (self.app, listen.callers),
            (self._answer_readiness, listen.readiness),
        ):
            config = listening.make_config(address, limits, None, 300)
            nursery.start_soon(http_server.serve, app, config, stop)

    async def _become_ready(self) -> None:
        with trio.move_on_after(READY_WAIT_MS / 1000):
            while self.board.table is None or not self.board.endpoints:
                await self.clock.sleep(POLL_MS)
        while self.board.table is None:
            await self.clock.sleep(POLL_MS)
        if self.board.state is board_module.State.STARTING:
            self.board.state = board_module.State.READY
            events.log_event(
                events.Event.NODE_READY, revision=self.board.table.revision
            )
        gc.collect()
        gc.freeze()

    async def _answer_readiness(
        self, scope: dict, receive: typing.Any, send: typing.Any
    ) -> None:
        ready = self.board.state is board_module.State.READY
        reply = app_module.AsgiReply(send, lambda: False)
        await exchange.refuse(reply, 200 if ready else 503, None)

    async def _leave(self) -> None:
        """Wait out the balancer, then until nothing is being served."""
        self.board.state = board_module.State.LEAVING
        events.log_event(
            events.Event.NODE_LEAVING, open=self.board.open_requests
        )
        last_s = (self.settings.bounds.grace_ms - LAST_CUT_MS) / 1000
        with trio.move_on_after(last_s):
            await self.clock.sleep(UNREADY_MS)
            self.board.refusing = True
            while self.board.open_requests:
                await self.clock.sleep(POLL_MS)
