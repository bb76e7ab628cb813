"""Assembles the feeds for the routing table, the endpoints and roll-outs.

Each topic is followed by a feed, which reads the store or receives what
another entry VM has read, and has a reader that applies the records to the
blackboard.
"""

import functools

from carawayward import clock as clock_module
from carawayward.decisions import lapses
from carawayward.decisions import store_polls
from carawayward.forwarding import board as board_module
from carawayward.forwarding import call_causes
from carawayward.forwarding import declarations
from carawayward.forwarding import feed
from carawayward.forwarding import freshness as freshness_module
from carawayward.forwarding import metrics as metrics_module
from carawayward.forwarding import ports as ports_module
from carawayward.forwarding import registry
from carawayward.forwarding import rollout_rounds
from carawayward.forwarding import settings as settings_module
from carawayward.forwarding import store_outages

# Names of the topics in logs and datagrams.
DECLARATIONS = "declarations"
ENDPOINTS = "endpoints"
STATUSES = "statuses"
MEMBERS = "members"
CONVICTIONS = "convictions"
# Maximum age of a delegate's attestation of the statuses. Less than the time
# after which no session tries a new version
# (``rollout_state.MAX_STATUS_AGE_MS``).
STATUSES_MAX_AGE_MS = 2_800.0
STATUSES_POLL_MS = 1_000.0
# Minimum wait of a poll while entries are missing, in case the clocks of the
# poll and of the grace period differ slightly.
MIN_MISSING_POLL_MS = 20.0


def make_feeds(
    settings: settings_module.ForwardingSettings,
    board: board_module.ForwardingBoard,
    clock: clock_module.Clock,
    ports: ports_module.Ports,
    freshness: freshness_module.FreshnessController,
    rounds: rollout_rounds.RolloutRounds,
    metrics: metrics_module.Metrics,
) -> list[feed.TopicFeed]:
    """Make the feeds of the routing table, endpoints and roll-out statuses."""

    def get_retry_ms() -> float:
        domain = freshness.reporter.list_domain_members(board.failure_domain)
        return store_polls.compute_retry_ms(
            board.name, domain or (), freshness.wide_links.list_names()
        )

    outages = store_outages.OutageTracker(clock, get_retry_ms)
    table = make_table_feed(board, outages, ports, freshness, rounds)
    endpoints = make_endpoints_feed(settings, board, outages, ports, freshness)
    begin_table_era = table.begin_era

    def begin_era() -> None:
        begin_table_era()
        # The endpoints of a restored store are looked at without delay.
        endpoints.end_gap()

    table.begin_era = begin_era
    statuses = make_statuses_feed(outages, ports, freshness, rounds)
    topic_feeds = [table, endpoints, statuses]
    for each in topic_feeds:
        each.count_call = functools.partial(count_call, metrics, each.name)
        each.compute_delegate_left_ms = functools.partial(
            freshness.compute_delegate_left_ms, each.name
        )
        freshness.on_new_client.append(each.check_delegate)
    return topic_feeds


def count_call(
    metrics: metrics_module.Metrics, topic: str, cause: call_causes.Cause
) -> None:
    """Count a call to the store by topic and cause."""
    metrics.count("store_calls", topic=topic, cause=cause.value)


def make_table_feed(
    board: board_module.ForwardingBoard,
    outages: store_outages.OutageTracker,
    ports: ports_module.Ports,
    freshness: freshness_module.FreshnessController,
    rounds: rollout_rounds.RolloutRounds,
) -> feed.TopicFeed:
    """Make the feed of the routing table, roll-out orders and evacuations."""
    reader = declarations.DeclarationReader(
        board, ports.decode_declaration, outages.clock
    )

    def compute_usable_lease() -> float:
        return board.bounds.key_lease_ms - board_module.KEY_LEASE_MARGIN_MS

    def get_apply_bound() -> float:
        return min(board.bounds.apply_ms, board.bounds.evacuate_ms)

    def get_poll_wait() -> float:
        return store_polls.compute_table_poll_ms(
            compute_usable_lease(), get_apply_bound()
        )

    def get_max_age() -> float:
        return store_polls.compute_max_table_age(
            compute_usable_lease(), get_apply_bound()
        )

    def begin_era() -> None:
        reader.begin_era()
        # The feed of the statuses is idle while no roll-out is running, and
        # would not notice the new era.
        rounds.begin_era()
        freshness.reporter.registration.begin_era()

    def record_store_failing(failing: bool) -> None:
        board.store_failing = failing
        if not failing:
            # Others choose their delegates among those that reach the store.
            freshness.reporter.report_soon()

    topic_feed = feed.TopicFeed(
        DECLARATIONS,
        ports.declarations,
        outages.clock,
        outages,
        reader.replace,
        reader.apply,
        reader.mark_current,
        get_poll_wait=get_poll_wait,
        record_failing=record_store_failing,
        has_delegate=functools.partial(freshness.has_delegate, DECLARATIONS),
        get_max_age=get_max_age,
        push_updates=functools.partial(freshness.push_updates, DECLARATIONS),
        begin_era=begin_era,
        needs_earlier=reader.needs_earlier,
        apply_earlier=reader.apply_earlier,
    )
    freshness.add_topic(topic_feed.name, topic_feed)
    return topic_feed


def make_endpoints_feed(
    settings: settings_module.ForwardingSettings,
    board: board_module.ForwardingBoard,
    outages: store_outages.OutageTracker,
    ports: ports_module.Ports,
    freshness: freshness_module.FreshnessController,
) -> feed.TopicFeed:
    """Make the feed of the endpoints."""
    longest_gap_ms = lapses.SAFE_HEARTBEATS * settings.heartbeat_ms

    def compute_poll_wait() -> float:
        return store_polls.compute_registry_poll_ms(
            board.bounds.drain_ms, longest_gap_ms
        )

    endpoint_reader = registry.RegistryReader(
        board=board,
        outages=outages,
        decode=ports.decode_endpoint,
        heartbeat_ms=settings.heartbeat_ms,
        get_poll_wait_ms=compute_poll_wait,
    )

    def get_poll_wait() -> float:
        if not endpoint_reader.missing:
            return compute_poll_wait()
        # Entries that stay missing are dropped only at the end of a poll, so
        # the poll is limited to end when the grace period does.
        renewal_wait_ms = endpoint_reader.compute_renewal_wait_ms()
        return min(
            compute_poll_wait(), max(MIN_MISSING_POLL_MS, renewal_wait_ms)
        )

    def get_call_gap() -> float:
        if endpoint_reader.compute_renewal_wait_ms() > 0.0:
            # Entries that expired in an outage are about to be back.
            return store_polls.MIN_CALL_GAP_MS
        return store_polls.compute_registry_gap_ms(
            compute_poll_wait(), settings.heartbeat_ms
        )

    def get_max_age() -> float:
        return store_polls.compute_max_report_age(compute_poll_wait())

    def has_delegate() -> bool:
        return (
            freshness.has_delegate(ENDPOINTS) and not endpoint_reader.missing
        )

    topic_feed = feed.TopicFeed(
        ENDPOINTS,
        ports.endpoints,
        outages.clock,
        outages,
        endpoint_reader.replace,
        endpoint_reader.apply,
        endpoint_reader.mark_current,
        get_poll_wait=get_poll_wait,
        get_call_gap=get_call_gap,
        has_delegate=has_delegate,
        get_max_age=get_max_age,
        push_updates=functools.partial(freshness.push_updates, ENDPOINTS),
        begin_era=endpoint_reader.begin_era,
    )
    freshness.add_topic(topic_feed.name, topic_feed)
    return topic_feed


def make_statuses_feed(
    outages: store_outages.OutageTracker,
    ports: ports_module.Ports,
    freshness: freshness_module.FreshnessController,
    rounds: rollout_rounds.RolloutRounds,
) -> feed.TopicFeed:
    """Make the feed of roll-out statuses; idle while none is running."""
    topic_feed = feed.TopicFeed(
        STATUSES,
        ports.statuses,
        outages.clock,
        outages,
        rounds.replace,
        rounds.apply,
        rounds.mark_current,
        get_poll_wait=lambda: STATUSES_POLL_MS,
        is_needed=rounds.is_needed,
        wait_until_needed=rounds.wait_until_needed,
        has_delegate=functools.partial(freshness.has_delegate, STATUSES),
        get_max_age=lambda: STATUSES_MAX_AGE_MS,
        push_updates=functools.partial(freshness.push_updates, STATUSES),
        begin_era=rounds.begin_listing,
    )
    rounds.get_end = topic_feed.get_known_end
    rounds.request_read = functools.partial(
        topic_feed.notify_position, served=False
    )
    freshness.add_topic(topic_feed.name, topic_feed)
    return topic_feed
