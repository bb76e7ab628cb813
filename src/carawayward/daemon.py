"""carawaywardd, the daemon that runs on every entry VM."""

import gc
import signal
import sys
import typing

from absl import logging
import attrs
import fire
from starlette import applications
import trio

from carawayward import blackboard as blackboard_module
from carawayward import buffers
from carawayward import clock as clock_module
from carawayward import closes
from carawayward.console import pages as console_pages
from carawayward.controllers import billing
from carawayward.controllers import claims as claims_module
from carawayward.controllers import configuration
from carawayward.controllers import membership
from carawayward.controllers import orders
from carawayward.controllers import ratings
from carawayward.controllers import rollouts
from carawayward.controllers import sightings
from carawayward.controllers import suspects as suspects_module
from carawayward import errors
from carawayward import events
from carawayward.gateway import app as app_module
from carawayward.gateway import dispatch
from carawayward.gateway import endpoints as endpoints_module
from carawayward.gateway import lifecycle as lifecycle_module
from carawayward.gateway import lookups
from carawayward.gateway import middleware
from carawayward.gateway import once
from carawayward.gateway import sessions
from carawayward.gateway import streams
from carawayward import http_server
from carawayward import listening
from carawayward import metrics as metrics_module
from carawayward.peers import hub as hub_module
from carawayward import process_resources
from carawayward import process_signals
from carawayward.protocol import tokens
from carawayward.services import log as log_module
from carawayward.services import vms as vms_module
from carawayward import settings as settings_module
from carawayward import status
from carawayward import stopping
from carawayward import supervision

POLL_INTERVAL_MS = 20.0
# How long a listener that is closed waits for connections without a request.
LISTENERS_CLOSE_MS = 500
READY_WAIT_LIMIT_MS = 5_000.0


class Controller(typing.Protocol):
    """A component that the daemon starts and closes."""

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the controller's tasks."""

    async def close(self) -> None:
        """Complete or hand over work that must not be lost."""


@attrs.define
class Daemon:
    """One entry VM's process."""

    settings: settings_module.Settings
    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    hub: hub_module.PeerHub
    controllers: list[Controller]
    clients: list[typing.Any]
    api: app_module.CallersApi
    pages: status.StatusPages
    console: console_pages.Console
    account: buffers.BufferAccount
    closed: closes.CloseRecorder

    @classmethod
    def from_config(cls, settings: settings_module.Settings) -> "Daemon":
        """Create all components; nothing runs yet."""
        clock = clock_module.Clock()
        board = blackboard_module.Blackboard(
            name=settings.name,
            failure_domain=settings.failure_domain,
            lease_ms=settings.agreed.freshness_lease_ms,
        )
        log = log_module.LogClient.from_config(
            settings.platform.log, settings.name
        )
        vms = vms_module.VmList.from_config(settings.platform.vms)
        limits = settings.limits
        endpoints = endpoints_module.EndpointClient(
            streams.SilenceLimits(
                connection_ms=limits.link_silence_ms,
                engine_ms=limits.engine_silence_ms,
            ),
            limits.service_timeout_ms,
        )
        hub = hub_module.PeerHub(settings, board, clock)
        bills = billing.BillingController.from_config(
            settings, board, clock, log, hub
        )
        metrics = metrics_module.Metrics(clock)
        suspects = suspects_module.SuspectsController(board, clock, hub)
        dispatcher = dispatch.Dispatcher.from_config(
            settings, board, clock, endpoints, suspects
        )
        lifecycle = lifecycle_module.Lifecycle(
            settings,
            board,
            clock,
            dispatcher,
            bills,
            metrics,
        )
        account = process_resources.make_account(settings.resources)
        closed = closes.CloseRecorder()
        signer = tokens.Signer(tuple(settings.keys.tokens))
        claims = claims_module.ClaimsController.from_config(
            settings, board, clock, log
        )
        gate = once.OnceGate.from_config(
            settings, lifecycle, hub, signer, claims
        )
        return cls(
            settings=settings,
            board=board,
            clock=clock,
            hub=hub,
            controllers=[
                endpoints,
                hub,
                configuration.ConfigurationController(
                    board, clock, log, hub, settings.agreed.log_retention_ms
                ),
                membership.MembershipController(
                    board, clock, hub, settings.listen.peers
                ),
                sightings.SightingsController(
                    board, clock, vms, hub, endpoints
                ),
                suspects,
                dispatcher,
                bills,
                ratings.RatingsController.from_config(
                    settings, board, clock, hub
                ),
                rollouts.RolloutsController.from_config(
                    board, clock, hub, log
                ),
                orders.OrdersController.from_config(settings, board, clock),
                claims,
                gate,
                metrics_module.MetricsController(
                    metrics,
                    settings.statsd,
                    f"carawayward.{settings.name}",
                    lambda: collect_gauges(board, bills, account, closed),
                ),
            ],
            clients=[log, vms],
            api=app_module.CallersApi(
                lifecycle,
                signer,
                gate,
                sessions.Sessions(board, clock, hub, signer),
                lookups.Lookups(board, hub, gate),
            ),
            pages=status.StatusPages(
                board,
                metrics,
                clock,
                tuple(settings.keys.operators),
                lambda: collect_gauges(board, bills, account, closed),
            ),
            console=console_pages.Console.from_config(
                settings, board, clock, log
            ),
            account=account,
            closed=closed,
        )

    async def run(self) -> None:
        """Serve until a signal requests a planned stop."""
        events.log_event(
            events.Event.NODE_STARTED,
            node=self.board.name,
            incarnation=self.board.incarnation,
        )
        app = self.api.build()
        callers, operators = self._make_listeners()
        stop = stopping.PlannedStop(
            self.settings,
            self.board,
            self.clock,
            self.controllers,
            lambda: app.open_requests,
            self.api.lifecycle.deadlines,
            self.api.lookups.cut_off,
            callers,
        )
        # Operators have no deadline for their forms, which may never be whole.
        stop.progress.listeners = [callers]
        with process_signals.open_receiver(
            signal.SIGTERM, signal.SIGINT, record=stop.progress.record_signal
        ) as signals:
            async with trio.open_nursery() as nursery:
                supervisor = supervision.Supervisor(nursery)
                for controller in self.controllers:
                    await controller.start(
                        typing.cast(trio.Nursery, supervisor)
                    )
                supervisor.restarting = False
                # The objects that exist now live as long as the process.
                # Excluding them from full collections takes milliseconds
                # off the slowest requests.
                gc.collect()
                gc.freeze()
                async with trio.open_nursery() as serving:
                    serving.start_soon(
                        http_server.serve,
                        app,
                        callers,
                        stop.progress.stop_accepting,
                    )
                    serving.start_soon(
                        http_server.serve,
                        self._build_operators_app(),
                        operators,
                        stop.stop_serving,
                    )
                    nursery.start_soon(self._become_ready)
                    await anext(signals)
                    await stop.run(signals)
                    if stop.cut:
                        stopping.force_exit_later(stop.find_left_s())
                    serving.cancel_scope.deadline = (
                        stop.progress.closing_deadline_s
                    )
                nursery.cancel_scope.cancel()
        for client in self.clients:
            with trio.move_on_after(1):
                await client.close()
        events.log_event(
            events.Event.NODE_STOPPED, node=self.board.name, cut=stop.cut
        )
        if stop.cut:
            raise SystemExit(stopping.CUT_EXIT_CODE)

    def _make_listeners(
        self,
    ) -> tuple[listening.ListenerConfig, listening.ListenerConfig]:
        """Make the listeners of callers and of operators."""
        listen, tls = self.settings.listen, self.settings.tls
        connections = process_resources.find_connection_limits(
            self.settings.resources
        )
        callers, operators = (
            listening.make_config(
                address,
                self.settings.limits,
                listener_tls,
                LISTENERS_CLOSE_MS,
                self.account,
            )
            for address, listener_tls in (
                (listen.callers, tls.callers),
                (listen.operators, tls.operators),
            )
        )
        callers.max_connections = connections.callers
        operators.max_connections = connections.others
        for config in (callers, operators):
            config.closes = self.closed
        return callers, operators

    def _build_operators_app(self) -> middleware.RequestMiddleware:
        return middleware.RequestMiddleware(
            build_operators_app(self.pages, self.console), self.board
        )

    async def _become_ready(self) -> None:
        while self.board.config is None:
            await self.clock.sleep(POLL_INTERVAL_MS)
        # The load balancer sends requests as soon as this VM reports ready.
        # Before the endpoints are known, all of them would be refused;
        # before the peers are linked, state that they hold cannot be
        # queried. The wait is bounded, since refusing requests with a
        # reason is better than never becoming ready.
        with trio.move_on_after(READY_WAIT_LIMIT_MS / 1000):
            while not (
                self.board.endpoints_probed and self.hub.has_tried_seeds()
            ):
                await self.clock.sleep(POLL_INTERVAL_MS)
        if self.board.state is blackboard_module.NodeState.STARTING:
            self.board.state = blackboard_module.NodeState.READY
            events.log_event(
                events.Event.NODE_READY, revision=self.board.config.revision
            )


def build_operators_app(
    pages: status.StatusPages, console: console_pages.Console
) -> applications.Starlette:
    """Build the application behind the operators' listener."""
    return applications.Starlette(
        routes=[*pages.make_routes(), *console.make_routes()],
        exception_handlers={
            errors.NotAuthenticated: app_module.handle_not_authenticated,
            errors.BadRequest: app_module.handle_bad_request,
        },
    )


def collect_gauges(
    board: blackboard_module.Blackboard,
    bills: billing.BillingController,
    account: buffers.BufferAccount,
    closed: closes.CloseRecorder,
) -> dict[str, float]:
    """Collect the current values of the gauges."""
    counts = {
        f"connections_closed_{reason.value}": closed.closed[reason]
        for reason in closes.CloseReason
    }
    return {
        **counts,
        "buffered_bytes": account.held_bytes,
        "running": board.running,
        "bills_waiting": len(bills.waiting),
        "revision": board.config.revision if board.config else 0,
        "endpoints": len(board.endpoints),
        "entry_vms": len(board.entry_vms),
    }


def run_daemon(settings: str) -> None:
    """Run one entry VM.

    Args:
        settings: path of the YAML settings file.
    """
    try:
        checked = settings_module.Settings.from_file(settings)
    except errors.SettingsError as fault:
        print(fault, file=sys.stderr)
        raise SystemExit(2) from None
    logging.use_absl_handler()
    logging.set_verbosity(checked.log_level)
    trio.run(Daemon.from_config(checked).run)


def main() -> None:
    """Entry point of carawaywardd."""
    fire.Fire(run_daemon, name="carawaywardd")


if __name__ == "__main__":
    main()
