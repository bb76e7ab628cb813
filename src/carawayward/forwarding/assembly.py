"""Puts the parts of one entry VM together; nothing runs yet."""

import functools

import attrs

from carawayward import clock as clock_module
from carawayward.decisions import extra_runs
from carawayward.decisions import lapses
from carawayward.forwarding import app as app_module
from carawayward.forwarding import board as board_module
from carawayward.forwarding import declarations
from carawayward.forwarding import exchange
from carawayward.forwarding import feed
from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import hints as hints_module
from carawayward.forwarding import measures as measures_module
from carawayward.forwarding import placing
from carawayward.forwarding import ports as ports_module
from carawayward.forwarding import proofs as proofs_module
from carawayward.forwarding import registry
from carawayward.forwarding import relaying
from carawayward.forwarding import rollout_rounds
from carawayward.forwarding import rollouts as rollouts_module
from carawayward.forwarding import settings as settings_module
from carawayward.forwarding import standing as standing_module
from carawayward.forwarding import store_contact
from carawayward.forwarding import work_items

# The topics of the store, by the names that logs and datagrams have.
DECLARATIONS = "declarations"
ENDPOINTS = "endpoints"
STATUSES = "statuses"
# Part of the time for which a leaving endpoint may still get work that a poll
# on the endpoints may wait. The store may leave polls in the dark while it
# drops its history; then only the end of a poll brings the news.
DRAIN_PART = 0.55
# However often endpoints renew their entries, polls wait for so long.
LEAST_REGISTRY_POLL_MS = 500.0
# Polls while entries are missing wait at least so long, should the clocks of
# poll and wait differ by a little.
LEAST_MISSING_POLL_MS = 20.0
# Part of the time within which a configuration has to be in force that a poll
# on the table may wait. Who relies on a reader that lost the store just before
# a change finds the reader's proof too old a poll and half a second after it,
# and reads the change.
APPLY_PART = 0.5
# A question later than usual, and the way of its answer.
PROOF_SLACK_MS = 100.0
# Part of the lease on keys from which on an entry VM reads the store itself,
# though another reads it for this one: time for two calls that fail.
OWN_PART = 0.8


def find_registry_poll(drain_ms: float, heartbeat_ms: float) -> float:
    """How long a poll on the endpoints may wait, in ms.

    Besides the time for draining: an entry VM whose reader has gone reads for
    itself half a second after a poll of the reader's at the latest. If that
    looked like an outage in which entries run out, endpoints that left
    meanwhile would be waited for, and get work beyond their time.
    """
    lapse_ms = lapses.SAFE_HEARTBEATS * heartbeat_ms
    unlike_lapse_ms = lapse_ms - proofs_module.ASK_MS - 3.0 * PROOF_SLACK_MS
    return min(
        DRAIN_PART * drain_ms, max(LEAST_REGISTRY_POLL_MS, unlike_lapse_ms)
    )


def find_oldest_proof(poll_ms: float) -> float:
    """How old a proof may be that comes from a reader with the store, in ms.

    It is as of the sending of a poll: one before the last when it is told,
    and as old as until the next question when that is answered. A reader
    that has lost the store goes on telling what it had proved, until the poll
    under way counts as failed; its proof then is older than this.
    """
    return 2.0 * poll_ms + proofs_module.ASK_MS + PROOF_SLACK_MS


def make_feeds(
    settings: settings_module.ForwardingSettings,
    board: board_module.ForwardingBoard,
    clock: clock_module.Clock,
    ports: ports_module.Ports,
    proofs: proofs_module.ProofsController,
) -> list[feed.TopicFeed]:
    """What keeps the routing table and the endpoints up to date."""
    reader = declarations.DeclarationReader(board, ports.decode_declaration)
    contact = store_contact.StoreContact(clock)

    def find_endpoints_poll() -> float:
        return find_registry_poll(board.bounds.drain_ms, settings.heartbeat_ms)

    entries = registry.RegistryReader(
        board=board,
        contact=contact,
        decode=ports.decode_endpoint,
        heartbeat_ms=settings.heartbeat_ms,
        find_poll_ms=find_endpoints_poll,
    )

    def find_table_wait() -> float:
        lease_ms = board.bounds.key_lease_ms - board_module.LEASE_MARGIN_MS
        apply_ms = APPLY_PART * board.bounds.apply_ms
        return min(apply_ms, feed.find_poll_ms(lease_ms))

    def find_endpoints_wait() -> float:
        poll_ms = find_endpoints_poll()
        if not entries.missing:
            return poll_ms
        # Only the end of a poll drops what stayed missing, so it ends when
        # the time to come back does.
        settled_in_ms = entries.find_settled_in_ms()
        return min(poll_ms, max(LEAST_MISSING_POLL_MS, settled_in_ms))

    def note_store(failing: bool) -> None:
        board.store_failing = failing

    def find_table_own() -> float:
        lease_ms = board.bounds.key_lease_ms - board_module.LEASE_MARGIN_MS
        return min(OWN_PART * lease_ms, find_oldest_proof(find_table_wait()))

    def find_endpoints_own() -> float:
        return find_oldest_proof(find_endpoints_poll())

    def relies_on_entries() -> bool:
        return proofs.relies(ENDPOINTS) and not entries.missing

    table_feed = feed.TopicFeed(
        DECLARATIONS,
        ports.declarations,
        clock,
        contact,
        reader.replace,
        reader.apply,
        reader.prove,
        find_wait=find_table_wait,
        note_failing=note_store,
        relies=functools.partial(proofs.relies, DECLARATIONS),
        find_own_ms=find_table_own,
        note_news=proofs.tell_news,
    )
    endpoints_feed = feed.TopicFeed(
        ENDPOINTS,
        ports.endpoints,
        clock,
        contact,
        entries.replace,
        entries.apply,
        entries.prove,
        find_wait=find_endpoints_wait,
        relies=relies_on_entries,
        find_own_ms=find_endpoints_own,
        note_news=proofs.tell_news,
    )
    proofs.add_topic(
        table_feed.name,
        proofs_module.Topic(table_feed.describe, table_feed.take_proof),
    )
    # Endpoints come and go by the dozen, and an entry is a few hundred bytes;
    # a table is too long for a datagram.
    proofs.add_topic(
        endpoints_feed.name,
        proofs_module.Topic(
            endpoints_feed.describe,
            endpoints_feed.take_proof,
            endpoints_feed.list_since,
            endpoints_feed.take_entries,
        ),
    )
    return [table_feed, endpoints_feed]


@attrs.frozen
class Placing:
    """Placement, and the controllers that it learns from."""

    placer: placing.Placer
    hints: hints_module.HintsController
    proofs: proofs_module.ProofsController
    rounds: rollout_rounds.RolloutRounds


def make_placing(
    settings: settings_module.ForwardingSettings,
    board: board_module.ForwardingBoard,
    clock: clock_module.Clock,
    ports: ports_module.Ports,
) -> Placing:
    """Placement, and the controllers that it learns from."""
    fleet = fleet_module.Fleet(board, clock)
    hints = hints_module.HintsController(
        board,
        clock,
        ports.members,
        settings.listen.peers,
        fleet.loads,
        fleet.find_memory,
    )
    proofs = proofs_module.ProofsController(board, clock, hints)
    rollouts = rollouts_module.Rollouts(board, clock)
    hints.add_topic(
        "rollouts", hints_module.Topic(rollouts.describe, rollouts.take)
    )
    rounds = rollout_rounds.RolloutRounds(
        board,
        clock,
        rollouts,
        ports.statuses,
        ports.decode_status,
        ports.encode_status,
        functools.partial(proofs.relies, STATUSES),
    )
    proofs.add_topic(
        STATUSES, proofs_module.Topic(rounds.describe, rounds.take_proof)
    )

    def make_budget() -> extra_runs.ExtraRuns:
        return extra_runs.ExtraRuns(
            board.bounds.retry_window_ms,
            board.bounds.retry_ratio,
            board.bounds.retry_slack,
        )

    measures = measures_module.Measures()
    placer = placing.Placer(
        clock, fleet, rollouts, hints, measures, make_budget
    )
    return Placing(placer, hints, proofs, rounds)


def make_app(
    board: board_module.ForwardingBoard,
    clock: clock_module.Clock,
    ports: ports_module.Ports,
    placer: placing.Placer,
) -> app_module.ForwardingApp:
    """The application behind the callers' listener."""

    standing = standing_module.Standing(board, clock, placer.hints)

    def may_send(work: work_items.Work) -> bool:
        # A run that broke off goes on though keys have lapsed since: its key
        # was proved when the request came, and as long as the run had lasted
        # nothing would have stopped it either. In a cut failure domain 13
        # requests failed in 6 s that had lost their first engine to the cut.
        return not work.customer or work.ran or standing.is_fresh()

    forwarder = exchange.Forwarder(
        clock,
        ports.dialect,
        placer,
        relaying.Relay(placer),
        may_send,
        standing.find_come_back_ms,
        placer.measures,
    )
    return app_module.ForwardingApp(
        board, clock, ports.dialect, forwarder, standing, placer.measures
    )
