"""Puts together what keeps the routing table and the endpoints up to date.

Each topic is followed by a feed, which reads the store or takes what a
neighbour has read, and folded into the blackboard by a reader of its own.
"""

import functools

from carawayward import clock as clock_module
from carawayward.decisions import lapses
from carawayward.decisions import store_polls
from carawayward.forwarding import board as board_module
from carawayward.forwarding import declarations
from carawayward.forwarding import feed
from carawayward.forwarding import freshness as freshness_module
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import ports as ports_module
from carawayward.forwarding import registry
from carawayward.forwarding import rollout_rounds
from carawayward.forwarding import settings as settings_module
from carawayward.forwarding import store_contact

# The topics, by the names that logs and datagrams have.
DECLARATIONS = "declarations"
ENDPOINTS = "endpoints"
STATUSES = "statuses"
# How old what a delegate attests of the statuses may be; below the time after
# which no session tries a new version (``rollout_state.MAX_STATUS_AGE_MS``).
STATUSES_MAX_AGE_MS = 2_800.0
STATUSES_POLL_MS = 1_000.0
# Polls while entries are missing wait at least so long, should the clocks of
# poll and wait differ by a little.
LEAST_MISSING_POLL_MS = 20.0


def make_feeds(
    settings: settings_module.ForwardingSettings,
    board: board_module.ForwardingBoard,
    clock: clock_module.Clock,
    ports: ports_module.Ports,
    freshness: freshness_module.FreshnessController,
    rounds: rollout_rounds.RolloutRounds,
    metrics: metrics_module.Metrics,
) -> list[feed.TopicFeed]:
    """The feeds of routing table, endpoints and statuses of roll-outs."""
    contact = store_contact.StoreContact(clock)
    made = [
        make_table_feed(board, contact, ports, freshness, rounds),
        make_endpoints_feed(settings, board, contact, ports, freshness),
        make_statuses_feed(contact, ports, freshness, rounds),
    ]
    for each in made:
        each.count_call = functools.partial(count_call, metrics, each.name)
    return made


def count_call(
    metrics: metrics_module.Metrics, topic: str, cause: feed.Cause
) -> None:
    """Count a call of the store by topic and cause."""
    metrics.count("store_calls", topic=topic, cause=cause.value)


def make_table_feed(
    board: board_module.ForwardingBoard,
    contact: store_contact.StoreContact,
    ports: ports_module.Ports,
    freshness: freshness_module.FreshnessController,
    rounds: rollout_rounds.RolloutRounds,
) -> feed.TopicFeed:
    """The feed of the routing table and the roll-out orders."""
    reader = declarations.DeclarationReader(
        board, ports.decode_declaration, contact.clock
    )

    def find_lease() -> float:
        return board.bounds.key_lease_ms - board_module.LEASE_MARGIN_MS

    def find_apply() -> float:
        return min(board.bounds.apply_ms, board.bounds.evacuate_ms)

    def get_poll_wait() -> float:
        return store_polls.compute_table_poll_ms(find_lease(), find_apply())

    def get_max_age() -> float:
        return store_polls.compute_max_table_age(find_lease(), find_apply())

    def begin_era() -> None:
        reader.begin_era()
        # Their feed is idle while no roll-out runs.
        rounds.begin_era()
        freshness.reporter.registration.begin_era()

    def record_store(failing: bool) -> None:
        board.store_failing = failing

    made = feed.TopicFeed(
        DECLARATIONS,
        ports.declarations,
        contact.clock,
        contact,
        reader.replace,
        reader.apply,
        reader.prove,
        get_poll_wait=get_poll_wait,
        record_failing=record_store,
        has_delegate=functools.partial(freshness.has_delegate, DECLARATIONS),
        get_max_age=get_max_age,
        push_updates=functools.partial(freshness.push_updates, DECLARATIONS),
        begin_era=begin_era,
    )
    freshness.add_topic(made.name, made)
    return made


def make_endpoints_feed(
    settings: settings_module.ForwardingSettings,
    board: board_module.ForwardingBoard,
    contact: store_contact.StoreContact,
    ports: ports_module.Ports,
    freshness: freshness_module.FreshnessController,
) -> feed.TopicFeed:
    """The feed of the endpoints."""
    longest_gap_ms = lapses.SAFE_HEARTBEATS * settings.heartbeat_ms

    def find_poll() -> float:
        return store_polls.compute_registry_poll_ms(
            board.bounds.drain_ms, longest_gap_ms
        )

    entries = registry.RegistryReader(
        board=board,
        contact=contact,
        decode=ports.decode_endpoint,
        heartbeat_ms=settings.heartbeat_ms,
        find_poll_ms=find_poll,
    )

    def get_poll_wait() -> float:
        if not entries.missing:
            return find_poll()
        # Only the end of a poll drops what stayed missing, so it ends when
        # the time to come back does.
        settled_in_ms = entries.find_settled_in_ms()
        return min(find_poll(), max(LEAST_MISSING_POLL_MS, settled_in_ms))

    def get_max_age() -> float:
        return store_polls.compute_max_report_age(find_poll())

    def has_delegate() -> bool:
        return freshness.has_delegate(ENDPOINTS) and not entries.missing

    made = feed.TopicFeed(
        ENDPOINTS,
        ports.endpoints,
        contact.clock,
        contact,
        entries.replace,
        entries.apply,
        entries.prove,
        get_poll_wait=get_poll_wait,
        has_delegate=has_delegate,
        get_max_age=get_max_age,
        push_updates=functools.partial(freshness.push_updates, ENDPOINTS),
        begin_era=entries.begin_era,
    )
    freshness.add_topic(made.name, made)
    return made


def make_statuses_feed(
    contact: store_contact.StoreContact,
    ports: ports_module.Ports,
    freshness: freshness_module.FreshnessController,
    rounds: rollout_rounds.RolloutRounds,
) -> feed.TopicFeed:
    """The feed of the statuses of roll-outs; idle while none runs."""
    made = feed.TopicFeed(
        STATUSES,
        ports.statuses,
        contact.clock,
        contact,
        rounds.replace,
        rounds.apply,
        rounds.prove,
        get_poll_wait=lambda: STATUSES_POLL_MS,
        is_needed=rounds.is_needed,
        has_delegate=functools.partial(freshness.has_delegate, STATUSES),
        get_max_age=lambda: STATUSES_MAX_AGE_MS,
        push_updates=functools.partial(freshness.push_updates, STATUSES),
        begin_era=rounds.begin_listing,
    )
    rounds.get_end = made.get_known_end
    rounds.request_read = functools.partial(made.announce, served=False)
    freshness.add_topic(made.name, made)
    return made
