"""Keeps the newest configuration in force, from the log and from peers."""

import functools
import random
import typing

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.controllers import publishing
from carawayward import declaration
from carawayward import errors
from carawayward import events
from carawayward.peers import hub as hub_module
from carawayward.protocol import config_log
from carawayward.protocol import freshness
from carawayward import record_isolation
from carawayward.services import log as log_module

STREAM = config_log.STREAM
# Re-exported for the modules that call them here.
publish = publishing.publish
read_state = publishing.read_state
RETRY_MS = 500.0
MAX_READ_RECORDS = 500
SNAPSHOT_CHECK_MS = 1_000.0
SYNC_TIMEOUT_MS = 1_000.0
# While the log answers, a revision that a peer announces is fetched from the
# peer only if the log has not delivered it by then: fetching the document
# twice would cost most of the byte budget.
LOG_GRACE_MS = 1_500.0
# Nodes that find a snapshot due wait for a random part of this time, so that
# one of them appends it and the others see it.
SNAPSHOT_JITTER_MS = 2_000.0
SNAPSHOT_JITTER_PER_NODE_MS = 50.0
WATCH_INTERVAL_MS = 500.0
SUSPENSION_GAP_MS = 2_000.0


@attrs.define
class ConfigurationController:
    """Reads the tail of the log, syncs with peers, and renews snapshots.

    ``copy`` is the newest snapshot received from a peer. A reader that starts
    after records were dropped from the log uses it to validate publishes that
    it could not validate by the log alone.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    log: log_module.LogClient
    hub: hub_module.PeerHub
    retention_ms: float = 86_400_000.0
    state: config_log.ConfigState | None = None
    copy: config_log.Snapshot | None = None
    reachable: bool = False
    oldest: int = 1
    snapshot_offset: int = 0
    snapshot_at_ms: float | None = None
    _random: typing.Callable[[], float] = random.random
    _round: int = 0
    _fetching: bool = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Start reading the log and exchanging revisions with peers."""
        self.hub.handle("config.sync", self._handle_sync)
        self.hub.handle("config.news", self._handle_news)
        nursery.start_soon(self._read_forever)
        nursery.start_soon(self._sync_with_peers)
        nursery.start_soon(self._maintain_snapshot)
        nursery.start_soon(self._watch_freshness)

    async def close(self) -> None:
        """Nothing to release; the nursery ends the tasks."""

    async def _read_forever(self) -> None:
        first = True
        while True:
            try:
                await self._read_once()
            except errors.PlatformUnavailable as fault:
                if self.reachable or first:
                    events.log_event(
                        events.Event.PLATFORM_DOWN, detail=str(fault)
                    )
                self.reachable = first = False
                await self.clock.sleep(RETRY_MS)
                continue
            if not self.reachable and not first:
                events.log_event(events.Event.PLATFORM_BACK, of="log")
            self.reachable, first = True, False

    async def _read_once(self) -> None:
        state = self.state
        offset = state.read_to + 1 if state else 1
        wait_ms = 0
        if self.reachable:
            wait_ms = int(freshness.compute_poll_wait_ms(self.board.lease_ms))
        sent_ms = self.clock.now_ms()
        batch = await self.log.read(STREAM, offset, wait_ms, MAX_READ_RECORDS)
        if state is None or batch.oldest > state.read_to + 1:
            state = self._restart(batch)
        for item in batch.records:
            state = record_isolation.isolate(
                functools.partial(self._apply_item, state, item),
                config_log.skip_record(state, item.offset),
                stream=STREAM,
                offset=item.offset,
            )
        self.state = state
        self.oldest = batch.oldest
        if not state.known:
            return
        if len(batch.records) < MAX_READ_RECORDS:
            self.board.current_as_of_ms = freshness.apply_read(
                self.board.current_as_of_ms, sent_ms
            )
        if state.document is not None:
            await self._adopt(state.revision, state.document)

    def _restart(self, batch: log_module.Batch) -> config_log.ConfigState:
        """Start from the oldest record, at first or after falling behind.

        A VM that was paused for longer than the retention finds that the
        records after its position have been dropped. The configuration that it
        had stays in force, since revisions only rise, and new publishes are
        validated only by a later snapshot.
        """
        if self.state is not None:
            events.log_event(
                events.Event.CONFIG_BEHIND,
                read_to=self.state.read_to,
                oldest=batch.oldest,
            )
        state = config_log.start_reading(batch.oldest)
        if self.copy is not None:
            state = config_log.apply_peer_copy(state, self.copy)
        if batch.records:
            self.snapshot_at_ms = batch.records[0].at_ms
        return state

    def _apply_item(
        self, state: config_log.ConfigState, item: log_module.LogRecord
    ) -> config_log.ConfigState:
        record = config_log.decode(item.data)
        if record is None:
            return config_log.skip_record(state, item.offset)
        after = config_log.apply_record(state, item.offset, record)
        if isinstance(record, config_log.Snapshot):
            self.snapshot_offset = item.offset
            self.snapshot_at_ms = item.at_ms
        refused = isinstance(record, config_log.Publish) and (
            after.known and after.revision != item.offset
        )
        if refused:
            events.log_event(events.Event.CONFIG_REFUSED, offset=item.offset)
        return after

    async def _adopt(self, revision: int, document: dict) -> None:
        """Put a newer revision in force and tell peers; never an older one."""
        current = self.board.config
        if current is not None and current.revision >= revision:
            return
        self.board.config = blackboard_module.ConfigInForce.from_config(
            revision, document
        )
        self.board.config_since_ms = self.clock.now_ms()
        events.log_event(events.Event.CONFIG_IN_FORCE, revision=revision)
        await self.hub.notify_all("config.news", {"revision": revision})

    async def _sync_with_peers(self) -> None:
        """Ask one peer per round for its revision and how current it is.

        Always a single peer, so that the load does not grow with faults.
        """
        while True:
            interval_ms = freshness.compute_query_interval_ms(
                self.board.lease_ms
            )
            await self.clock.sleep(interval_ms)
            peers = sorted(self.hub.links)
            if peers:
                self._round += 1
                await self._sync(peers[self._round % len(peers)])

    async def _sync(self, peer: str) -> None:
        asked_ms = self.clock.now_ms()
        own = self.board.config.revision if self.board.config else 0
        try:
            answer = await self.hub.call(
                peer, "config.sync", {"revision": own}, SYNC_TIMEOUT_MS
            )
        except errors.PeerUnavailable:
            return
        if not isinstance(answer, dict):
            return
        if answer.get("copy") is not None:
            await self._apply_peer_copy(peer, answer["copy"])
        if answer["age_ms"] is None or self.board.config is None:
            return
        self.board.current_as_of_ms = freshness.apply_attestation(
            self.board.current_as_of_ms,
            asked_ms,
            self.board.config.revision,
            freshness.Attestation(
                revision=int(answer["revision"]),
                age_ms=float(answer["age_ms"]),
            ),
        )

    async def _handle_sync(self, peer: str, body: typing.Any) -> dict:
        config = self.board.config
        own = config.revision if config else 0
        age_ms = self.clock.now_ms() - self.board.current_as_of_ms
        answer: dict[str, typing.Any] = {
            "revision": own,
            "age_ms": age_ms if age_ms < self.board.lease_ms else None,
        }
        if config is not None and own > int(body["revision"]):
            copy = config_log.Snapshot(
                revision=own,
                document=config.document,
                digest=declaration.digest_document(config.document),
                as_of=self._get_as_of(own),
            )
            answer["copy"] = config_log.encode(copy)
        return answer

    def _get_as_of(self, revision: int) -> int:
        """The offset up to which a revision is known to be the newest.

        A node that has read the log beyond the revision reports how far it has
        read; one that received the revision from a peer knows only that it was
        in force at its own offset.
        """
        state = self.state
        if state is not None and state.known and state.revision == revision:
            return max(state.read_to, revision)
        return revision

    async def _apply_peer_copy(self, peer: str, data: object) -> None:
        copy = config_log.decode(data)
        if not isinstance(copy, config_log.Snapshot):
            return
        state = self.state
        digest = declaration.digest_document(copy.document)
        invalid = digest != copy.digest or (
            state is not None and config_log.contradicts(state, copy.revision)
        )
        if invalid:
            events.log_event(events.Event.CONFIG_REFUSED, peer=peer)
            return
        if self.copy is None or copy.as_of > self.copy.as_of:
            self.copy = copy
        if state is not None:
            self.state = state = config_log.apply_peer_copy(state, copy)
        try:
            await self._adopt(copy.revision, copy.document)
            if state is not None and state.known and state.document:
                await self._adopt(state.revision, state.document)
        except errors.DeclarationError as fault:
            events.log_event(
                events.Event.CONFIG_REFUSED, peer=peer, detail=str(fault)
            )

    async def _handle_news(self, peer: str, body: typing.Any) -> None:
        revision = int(body["revision"])
        if self._has_revision(revision) or self._fetching:
            return
        self._fetching = True
        try:
            if self.reachable:
                with trio.move_on_after(LOG_GRACE_MS / 1000):
                    while not self._has_revision(revision):
                        await self.clock.sleep(20.0)
            if not self._has_revision(revision):
                await self._sync(peer)
        finally:
            self._fetching = False

    def _has_revision(self, revision: int) -> bool:
        config = self.board.config
        return config is not None and config.revision >= revision

    async def _maintain_snapshot(self) -> None:
        """Append the configuration again before the log drops its record."""
        jitter = self._random()
        while True:
            await self.clock.sleep(SNAPSHOT_CHECK_MS)
            if not self._is_snapshot_due(jitter):
                continue
            nodes = 1 + len(self.board.entry_vms)
            max_delay_ms = max(
                SNAPSHOT_JITTER_MS, nodes * SNAPSHOT_JITTER_PER_NODE_MS
            )
            await self.clock.sleep(self._random() * max_delay_ms)
            if self._is_snapshot_due(jitter):
                await self._append_snapshot()

    def _is_snapshot_due(self, jitter: float) -> bool:
        state = self.state
        if state is None or not self.reachable or self.snapshot_at_ms is None:
            return False
        return config_log.is_snapshot_due(
            state.read_to,
            self.oldest,
            self.snapshot_offset,
            self.clock.wall_ms() - self.snapshot_at_ms,
            self.retention_ms,
            jitter,
        )

    async def _append_snapshot(self) -> None:
        state = self.state
        snapshot = config_log.make_snapshot(state) if state else None
        if snapshot is None:
            return
        try:
            offset = await self.log.append(
                STREAM, [config_log.encode(snapshot)]
            )
        except errors.PlatformUnavailable:
            # The snapshot may be in the log all the same: then the reader
            # finds it, or the next round appends another. Duplicates are
            # harmless.
            return
        self.snapshot_offset = max(self.snapshot_offset, offset)
        self.snapshot_at_ms = self.clock.wall_ms()
        events.log_event(events.Event.SNAPSHOT_APPENDED, offset=offset)

    async def _watch_freshness(self) -> None:
        """Log when the freshness lease expires or is renewed.

        While a VM is suspended its monotonic clock stands still, so an hour
        later ``current_as_of_ms`` would still look recent. The wall clock
        reveals the gap once the VM runs again.
        """
        fresh = True
        while True:
            before = self._compute_clock_difference()
            await self.clock.sleep(WATCH_INTERVAL_MS)
            if self._compute_clock_difference() - before > SUSPENSION_GAP_MS:
                self.board.current_as_of_ms = freshness.NEVER
            now = self.board.is_fresh(self.clock.now_ms())
            if now != fresh and self.board.config is not None:
                event = events.Event.FRESHNESS_LOST
                if now:
                    event = events.Event.FRESHNESS_BACK
                events.log_event(event)
                fresh = now

    def _compute_clock_difference(self) -> float:
        return self.clock.wall_ms() - self.clock.now_ms()
