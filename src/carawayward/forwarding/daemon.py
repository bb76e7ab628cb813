"""The process of an entry VM that serves forwarded routes."""

import contextlib
import gc
import signal
import typing

import attrs
import trio

from carawayward import clock as clock_module
from carawayward.decisions import resource_limits
from carawayward import errors
from carawayward import events
from carawayward.forwarding import app as app_module
from carawayward.forwarding import assembly
from carawayward.forwarding import board as board_module
from carawayward.forwarding import drain as drain_module
from carawayward.forwarding import feed
from carawayward.forwarding import feeds as feeds_module
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import ports as ports_module
from carawayward.forwarding import relay_server as relay_server_module
from carawayward.forwarding import replies
from carawayward.forwarding import settings as settings_module
from carawayward import http_server
from carawayward import listening
from carawayward import process_resources
from carawayward import process_signals
from carawayward import settings as node_settings

# Time-out for closing the listeners, when only idle connections are left.
LISTENERS_CLOSE_S = 0.3
METRICS_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]
POLL_MS = 20.0
# The idle time-out of callers' connections before a routing table sets one.
DEFAULT_IDLE_MS = 60_000
# An entry VM without endpoints would refuse every request. It waits this long
# for the first endpoints before it reports ready regardless.
ENDPOINTS_WAIT_MS = 3_000.0


class Controller(typing.Protocol):
    """A component that the daemon starts and closes."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the controller's tasks."""

    async def close(self) -> None:
        """Finish work that must not be lost."""


@attrs.define(eq=False)
class ForwardingDaemon:
    """The process of one entry VM."""

    settings: settings_module.ForwardingSettings
    board: board_module.ForwardingBoard
    clock: clock_module.Clock
    ports: ports_module.Ports
    controllers: list[Controller]
    app: app_module.ForwardingApp
    relay_server: relay_server_module.RelayServer
    read_bounds: typing.Callable[[], settings_module.Bounds]
    write_logs: typing.Callable[[], typing.Awaitable[None]] = (
        trio.sleep_forever
    )
    take_early_reload: typing.Callable[[], bool] = lambda: False
    callers: listening.ListenerConfig = attrs.field(init=False)
    connection_limits: resource_limits.ConnectionLimits = attrs.field(
        init=False
    )
    drain: drain_module.Drain = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.connection_limits = process_resources.find_connection_limits(
            self.settings.resources
        )
        self.callers = self._make_listener(
            self.settings.listen.callers, self.connection_limits.callers
        )
        self.callers.accept_policy = self.app.shedding
        self.drain = drain_module.Drain(self.board, self.clock, self.callers)

    @classmethod
    def from_config(
        cls,
        settings: settings_module.ForwardingSettings,
        ports: ports_module.Ports,
        read_bounds: typing.Callable[[], settings_module.Bounds] | None = None,
    ) -> "ForwardingDaemon":
        """Assemble the components without starting them.

        ``read_bounds`` rereads the settings on SIGHUP; it raises
        SettingsError.
        """
        clock = clock_module.Clock()
        board = board_module.ForwardingBoard(
            name=settings.name,
            failure_domain=settings.failure_domain,
            bounds=settings.bounds,
            link_mbps=settings.link_mbps,
            buffers=process_resources.make_account(settings.resources),
        )
        parts = assembly.make_placement(settings, board, clock, ports)
        feeds = feeds_module.make_feeds(
            settings,
            board,
            clock,
            ports,
            parts.freshness,
            parts.rounds,
            parts.placer.metrics,
        )
        return cls(
            settings=settings,
            board=board,
            clock=clock,
            ports=ports,
            controllers=[
                *feeds,
                parts.rounds,
                parts.reporter,
                parts.convictions,
                parts.paths,
                parts.freshness,
            ],
            app=assembly.make_app(board, clock, ports, parts),
            relay_server=assembly.make_relay_server(
                board, clock, ports, parts
            ),
            read_bounds=read_bounds or (lambda: settings.bounds),
        )

    async def run(self) -> None:
        """Serve until a signal requests a planned stop."""
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._handle_signals, stop)
            await self.serve(stop)
            nursery.cancel_scope.cancel()

    async def serve(self, stop: trio.Event) -> None:
        """Serve until ``stop`` is set, then drain and shut down."""
        events.log_event(
            events.Event.NODE_STARTED,
            node=self.board.name,
            incarnation=self.board.incarnation,
        )
        async with trio.open_nursery() as nursery:
            for each in self.controllers:
                await each.start(nursery)
            nursery.start_soon(self.write_logs)
            nursery.start_soon(self.app.run)
            ended = trio.Event()
            async with trio.open_nursery() as serving:
                self._start_serving(serving, ended)
                nursery.start_soon(self._follow_limits)
                nursery.start_soon(self._become_ready)
                await stop.wait()
                await self.drain.run()
                ended.set()
                serving.cancel_scope.deadline = max(
                    trio.current_time() + LISTENERS_CLOSE_S,
                    self.drain.progress.closing_deadline_s,
                )
            nursery.cancel_scope.cancel()
        for each in self.controllers:
            await each.close()
        await self.ports.close()
        events.log_event(events.Event.NODE_STOPPED, node=self.board.name)

    async def _handle_signals(self, stop: trio.Event) -> None:
        """Stop on SIGTERM or SIGINT, reload the settings on SIGHUP.

        Without a handler SIGHUP would terminate the process.
        """
        with process_signals.open_receiver(
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGHUP,
            record=self.drain.progress.record_signal,
        ) as signals:
            if self.take_early_reload():
                self.reload()
            async for each in signals:
                if each != signal.SIGHUP:
                    stop.set()
                    continue
                self.reload()

    def reload(self) -> None:
        """Reload the bounds; keep them if the settings are invalid."""
        try:
            self.board.bounds = self.read_bounds()
        except errors.SettingsError as fault:
            events.log_event(events.Event.SETTINGS_REFUSED, detail=str(fault))
            return
        events.log_event(events.Event.SETTINGS_READ, node=self.board.name)

    def _make_listener(
        self, address: str, max_connections: int
    ) -> listening.ListenerConfig:
        limits = node_settings.Limits(idle_connection_ms=DEFAULT_IDLE_MS)
        config = listening.make_config(
            address, limits, None, 300, self.board.buffers
        )
        config.max_connections = max_connections
        return config

    def _start_serving(self, nursery: trio.Nursery, stop: trio.Event) -> None:
        listen, limits = self.settings.listen, self.connection_limits
        nursery.start_soon(
            http_server.serve,
            self.app,
            self.callers,
            self.drain.progress.stop_accepting,
        )
        self.drain.progress.listeners.append(self.callers)
        for app, address, max_connections in (
            (self._answer_readiness, listen.readiness, limits.others),
            (self._answer_metrics, listen.metrics, limits.others),
            (self.relay_server, listen.peers, limits.peers),
        ):
            if not address:
                continue
            config = self._make_listener(address, max_connections)
            nursery.start_soon(http_server.serve, app, config, stop)
            self.drain.progress.listeners.append(config)

    async def _follow_limits(self) -> None:
        """Keep the listeners' limits at those of the routing table."""
        while True:
            declared = self.board.declared
            if self.board.table is not None:
                limits = self.board.table.limits
                for config in self.drain.progress.listeners:
                    config.set_idle_timeout(limits.idle_ms)
                self.callers.set_header_limit(limits.header_bytes)
            await declared.wait()

    async def _become_ready(self) -> None:
        with trio.move_on_after(ENDPOINTS_WAIT_MS / 1000):
            while (
                self.board.table is None
                or not self.board.endpoints
                or not self._are_versions_known()
            ):
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

    def _are_versions_known(self) -> bool:
        rollouts = self.app.forwarder.rollouts
        return all(map(rollouts.is_history_known, self.board.orders_at_start))

    async def _answer_readiness(
        self, scope: dict, receive: typing.Any, send: typing.Any
    ) -> None:
        ready = self.app.readiness.is_ready()
        reply = app_module.make_reply(scope, send)
        with contextlib.suppress(replies.ReplyLost):
            await replies.refuse(reply, 200 if ready else 503, None)

    async def _answer_metrics(
        self, scope: dict, receive: typing.Any, send: typing.Any
    ) -> None:
        gauges = metrics_module.collect_gauges(
            self.board, self.clock.boot_ms()
        )
        for each in self.controllers:
            if isinstance(each, feed.TopicFeed):
                gauges |= each.collect_gauges()
        gauges |= self.app.forwarder.placer.collect_gauges()
        gauges["connections_waiting"] = self.callers.count_waiting()
        gauges["buffered_bytes"] = self.board.buffers.held_bytes
        for reason, count in self.callers.closes.closed.items():
            name = metrics_module.format_series(
                "connections_closed", reason=reason.value
            )
            gauges[name] = count
        gauges["services_unreachable"] = len(
            self.app.forwarder.sender.paths.list_lost()
        )
        gauges["refused_parts"] = len(
            set(self.app.forwarder.suspects.parts.convicted.values())
        )
        page = metrics_module.render_page(self.app.metrics, gauges)
        reply = app_module.make_reply(scope, send)
        with contextlib.suppress(replies.ReplyLost):
            await replies.send_response(reply, 200, METRICS_HEADERS, page)
