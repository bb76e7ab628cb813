"""Assembles the components of one entry VM without starting them."""

import functools

import attrs

from carawayward import clock as clock_module
from carawayward.forwarding import admission as admission_module
from carawayward.forwarding import app as app_module
from carawayward.forwarding import board as board_module
from carawayward.forwarding import connection_shedding
from carawayward.forwarding import conviction_log
from carawayward.forwarding import crashing_parts
from carawayward.forwarding import exchange
from carawayward.forwarding import feeds
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import freshness as freshness_module
from carawayward.forwarding import load_reports
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import placing
from carawayward.forwarding import ports as ports_module
from carawayward.forwarding import readiness as readiness_module
from carawayward.forwarding import relay_client
from carawayward.forwarding import relay_server
from carawayward.forwarding import relaying
from carawayward.forwarding import rollout_rounds
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import sending
from carawayward.forwarding import service_paths
from carawayward.forwarding import settings as settings_module
from carawayward.forwarding import suspects as suspects_module
from carawayward.forwarding import work_items


@attrs.frozen
class PlacementParts:
    """The placer, and the controllers that supply its data."""

    placer: placing.Placer
    reporter: load_reports.LoadReporter
    freshness: freshness_module.FreshnessController
    rounds: rollout_rounds.RolloutRounds
    suspects: suspects_module.SuspectRequests
    paths: service_paths.ServicePaths
    relays: relay_client.RelayClient
    convictions: conviction_log.ConvictionLog
    admission: admission_module.Admission
    shedding: connection_shedding.ConnectionShedding


def make_placement(
    settings: settings_module.ForwardingSettings,
    board: board_module.ForwardingBoard,
    clock: clock_module.Clock,
    ports: ports_module.Ports,
) -> PlacementParts:
    """Create the placer and the controllers that supply its data."""
    fleet = fleet_module.Fleet(board, clock)
    reporter = load_reports.LoadReporter(
        board,
        clock,
        ports.members,
        settings.listen.peers,
        fleet.loads,
        fleet.find_cache_tokens,
    )
    fleet.cold_starts.list_members = reporter.list_domain_members
    fleet.rate_limits.list_members = reporter.list_joined_members
    fleet.rate_limits.get_names = reporter.get_engine_names
    reporter.add_topic(
        "limits",
        load_reports.Topic(
            fleet.rate_limits.describe, fleet.rate_limits.merge
        ),
    )
    fleet.room.find_domain = reporter.find_domain
    fleet.room.enabled = settings.plain_room
    reporter.add_topic(
        "in_flight",
        load_reports.Topic(fleet.room.describe, fleet.room.merge),
    )
    freshness = freshness_module.FreshnessController(board, clock, reporter)
    reporter.add_topic(
        "wide_link",
        load_reports.Topic(
            freshness.wide_links.describe, freshness.wide_links.merge
        ),
    )
    rollouts = rollouts_module.Rollouts(
        board, clock, report_soon=reporter.report_soon
    )
    reporter.add_topic(
        "rollouts", load_reports.Topic(rollouts.describe, rollouts.merge)
    )
    reporter.add_topic(
        "sessions",
        load_reports.Topic(
            rollouts.describe_sessions, rollouts.merge_sessions
        ),
    )
    rounds = rollout_rounds.RolloutRounds(
        board,
        clock,
        rollouts,
        ports.statuses,
        ports.decode_status,
        ports.encode_status,
        reporter.list_members,
    )

    metrics = metrics_module.Metrics()
    reporter.registration.count_call = functools.partial(
        feeds.count_call, metrics, feeds.MEMBERS
    )
    placer = placing.Placer(
        clock, fleet, rollouts, reporter, metrics, started_ms=clock.now_ms()
    )
    reporter.add_topic(
        "paces",
        load_reports.Topic(placer.paces.describe, placer.paces.merge),
    )
    paths = service_paths.ServicePaths(board, clock, reporter.report_soon)
    reporter.add_topic(
        "paths", load_reports.Topic(paths.describe, paths.merge)
    )
    relays = relay_client.RelayClient(board, clock, reporter, paths, metrics)
    prompt_parts = crashing_parts.CrashingParts(clock, reporter.report_soon)
    reporter.add_topic(
        "prompts",
        load_reports.Topic(prompt_parts.describe, prompt_parts.merge),
    )
    suspects = suspects_module.SuspectRequests(
        clock,
        prompt_parts,
        reporter.report_soon,
        fleet.notices.find_state,
        judge_probe=relays.judge_probe,
    )
    reporter.add_topic(
        "suspects", load_reports.Topic(suspects.describe, suspects.merge)
    )
    convictions = conviction_log.ConvictionLog(
        ports.convictions,
        clock,
        suspects,
        functools.partial(feeds.count_call, metrics, feeds.CONVICTIONS),
    )
    admission = admission_module.Admission(
        board, clock, fleet, reporter, metrics, settings.load_shedding
    )
    reporter.add_topic(
        "demand", load_reports.Topic(admission.describe, admission.merge)
    )
    shedding = connection_shedding.ConnectionShedding(
        board, clock, reporter, metrics
    )
    reporter.add_topic(
        "overload", load_reports.Topic(shedding.describe, shedding.merge)
    )
    return PlacementParts(
        placer,
        reporter,
        freshness,
        rounds,
        suspects,
        paths,
        relays,
        convictions,
        admission,
        shedding,
    )


def make_app(
    board: board_module.ForwardingBoard,
    clock: clock_module.Clock,
    ports: ports_module.Ports,
    parts: PlacementParts,
) -> app_module.ForwardingApp:
    """Create the application behind the callers' listener."""

    placer = parts.placer
    readiness = readiness_module.Readiness(board, clock, parts.reporter)

    def may_send(work: work_items.Work) -> bool:
        # A request whose run broke off may be sent again although keys have
        # lapsed since: its key was verified on arrival, and an unbroken run
        # would not have been stopped either. Without this exception 13
        # requests that had lost their first engine failed within 6 s in a
        # failure domain that was cut off.
        return (
            not work.customer
            or work.earlier_may_have_run
            or readiness.is_fresh()
        )

    sender = sending.Sender(
        clock,
        ports.dialect,
        placer,
        relaying.Relay(
            placer, parts.suspects.parts, ports.dialect.internal_headers
        ),
        may_send,
        parts.suspects,
        parts.paths,
        parts.relays,
    )
    forwarder = exchange.Forwarder(
        clock,
        ports.dialect,
        placer,
        sender,
        readiness.compute_retry_after_ms,
        placer.metrics,
        parts.suspects,
        parts.admission,
    )
    return app_module.ForwardingApp(
        board,
        clock,
        ports.dialect,
        forwarder,
        readiness,
        placer.metrics,
        parts.shedding,
    )


def make_relay_server(
    board: board_module.ForwardingBoard,
    clock: clock_module.Clock,
    ports: ports_module.Ports,
    parts: PlacementParts,
) -> relay_server.RelayServer:
    """Create the application behind the listener for peers."""

    def list_peer_hosts() -> set[str]:
        return {peer.address[0] for peer in parts.reporter.peers.values()}

    return relay_server.RelayServer(
        board,
        clock,
        ports.dialect,
        parts.placer.fleet,
        parts.paths,
        parts.placer.metrics,
        list_peer_hosts,
    )
