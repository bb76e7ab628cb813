"""Publishes a document to the log, and finds out whether it took effect."""

import functools
import secrets

import attrs
import trio

from carawayward import declaration
from carawayward import errors
from carawayward.protocol import config_log
from carawayward import record_isolation
from carawayward.services import log as log_module

MAX_ATTEMPTS = 3
RETRY_S = 1.0


@attrs.define
class Publisher:
    """Reads the log and publishes one document.

    An append that gets no answer is not simply repeated: the log is read from
    the last known offset on, to look for the publish's own id.
    """

    log: log_module.LogClient
    publish_id: str = attrs.field(factory=lambda: secrets.token_hex(12))
    state: config_log.ConfigState | None = None
    outcome: config_log.PublishResult = config_log.PublishResult()

    async def read_to_tail(self) -> config_log.ConfigState:
        """Read the log up to its tail and return the state."""
        while True:
            offset = self.state.read_to + 1 if self.state else 1
            batch = await self.log.read(config_log.STREAM, offset)
            if self.state is None or batch.oldest > offset:
                self.state = config_log.start_reading(batch.oldest)
            if not batch.records:
                return self.state
            for item in batch.records:
                self.state, self.outcome = record_isolation.isolate(
                    functools.partial(self._apply_item, self.state, item),
                    self._skip_item(self.state, item),
                    stream=config_log.STREAM,
                    offset=item.offset,
                )

    def _apply_item(
        self, state: config_log.ConfigState, item: log_module.LogRecord
    ) -> tuple[config_log.ConfigState, config_log.PublishResult]:
        record = config_log.decode(item.data)
        if record is None:
            return self._skip_item(state, item)
        return config_log.track_publish(
            state, item.offset, record, self.publish_id, self.outcome
        )

    def _skip_item(
        self, state: config_log.ConfigState, item: log_module.LogRecord
    ) -> tuple[config_log.ConfigState, config_log.PublishResult]:
        return config_log.skip_record(state, item.offset), self.outcome

    async def publish(self, document: dict, base: int, operator: str) -> int:
        """Append until the outcome is known; return the revision."""
        record = config_log.Publish(
            publish_id=self.publish_id,
            base_revision=base,
            document=document,
            digest=declaration.digest_document(document),
            operator=operator,
        )
        state = await self.read_to_tail()
        if not state.known:
            raise errors.ConfigurationForgotten()
        if state.revision != base:
            raise errors.PublishConflict(base, state.revision)
        sent = False
        for attempt in range(MAX_ATTEMPTS):
            try:
                await self.log.append(
                    config_log.STREAM, [config_log.encode(record)]
                )
                sent = True
            except errors.PlatformUnavailable as fault:
                sent = sent or fault.sent
                if not sent and attempt == MAX_ATTEMPTS - 1:
                    raise
                await trio.sleep(RETRY_S)
            revision = await self._find_outcome(base, sent)
            if revision is not None:
                return revision
        raise errors.PublishUnknown(self.publish_id, state.read_to)

    async def _find_outcome(self, base: int, sent: bool) -> int | None:
        """Return the revision if it took effect, None if not in the log."""
        try:
            state = await self.read_to_tail()
        except errors.PlatformUnavailable as fault:
            if not sent:
                return None
            raise errors.PublishUnknown(
                self.publish_id, self.state.read_to if self.state else 0
            ) from fault
        if self.outcome.revision is not None:
            return self.outcome.revision
        if self.outcome.refused or state.revision != base:
            raise errors.PublishConflict(base, state.revision)
        return None


async def publish(
    log: log_module.LogClient, document: dict, base: int, operator: str
) -> int:
    """Publish a document and return its revision.

    Raises PublishConflict when another publish took effect first,
    PublishUnknown when the outcome cannot be determined, and DeclarationError
    when the document is not valid.
    """
    declaration.Declaration.from_config(document)
    return await Publisher(log).publish(document, base, operator)


async def read_state(log: log_module.LogClient) -> config_log.ConfigState:
    """Read the whole log and return the current state.

    Raises ConfigurationForgotten when the log does not hold enough to know it.
    """
    state = await Publisher(log).read_to_tail()
    if not state.known:
        raise errors.ConfigurationForgotten()
    return state
