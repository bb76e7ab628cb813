"""Client of the platform's store, which implements ``KeyedLog``."""

import base64
import json
import math
import re
import struct
import typing

import attrs
import httpcore
import trio

from carawayward import errors
from carawayward import events
from carawayward.forwarding import keyed_log
from carawayward.forwarding import message_types
from carawayward.forwarding import positions
from carawayward.gateway import connections
from carawayward import http_client as http

# Calls usually take a few ms, and up to 0.7 s on a slow store. A call without
# the head of an answer after this time, or whose body brings no byte for as
# long, is on a dead connection.
CALL_TIMEOUT_MS = 1_000.0
PARTITION = 0
# Where the first record of a read begins: after the end of the log, its first
# offset and the record's length.
FIRST_RECORD_AT = 20
# Long polls are idle for seconds. This bounds, in ms, how long a connection
# whose other side no longer responds can block one.
UNRESPONSIVE_TIMEOUT_MS = 3_000
# Incremented each time the store is restored from a backup.
ERA_HEADER = b"store-era"
ERA_PATTERN = re.compile(rb"[0-9]{1,9}")


@attrs.frozen
class Answer:
    """An answer of the store, and the era of its data."""

    status: int
    content: bytes
    era: int


@attrs.define(eq=False)
class Store:
    """HTTP client of the store at one address.

    ``era`` is the highest era of any answer; 0 if none carried one.
    """

    address: str
    era: int = 0
    pool: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: connections.make_pool(8, 8, UNRESPONSIVE_TIMEOUT_MS)
    )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        wait_ms: float = 0.0,
        check: http.CheckBody = http.accept_body,
    ) -> Answer:
        """Make one call; raise PlatformUnavailable without a usable answer.

        ``check`` is given the declared length of the body and its first bytes;
        if it raises, the rest is not read.
        """
        mark = http.SentMark()
        received = bytearray()
        try:
            with trio.fail_after(
                (CALL_TIMEOUT_MS + wait_ms) / 1000
            ) as timeout:
                async with self.pool.stream(
                    method,
                    f"http://{self.address}{path}",
                    content=body,
                    extensions={"trace": mark.trace},
                ) as response:
                    await http.read_body(
                        response, received, timeout, CALL_TIMEOUT_MS, check
                    )
        except http.CALL_FAILURES as cause:
            # When one connection has lost an answer, the idle ones are likely
            # dead too, and each would cost a call its timeout.
            await http.drop_idle(self.pool)
            raise errors.PlatformUnavailable(
                "store",
                f"no answer ({type(cause).__name__}) after {len(received)}"
                " bytes of its body",
                mark.sent,
            ) from cause
        if response.status in (429, 503):
            raise errors.PlatformUnavailable(
                "store", f"status {response.status}", sent=False
            )
        era = parse_era(response.headers)
        self._record_era(era)
        return Answer(response.status, bytes(received), era)

    def _record_era(self, era: int) -> None:
        """Record the era of an answer; raise PlatformUnavailable if it is old.

        An answer of an earlier era comes from a part of the store that lags
        behind the restore; the data of that era have been lost.
        """
        if era < self.era:
            raise errors.PlatformUnavailable(
                "store", f"answer of era {era} after one of era {self.era}"
            )
        if era > self.era:
            events.log_event(
                events.Event.STORE_ERA_CHANGED, old=self.era, new=era
            )
            self.era = era

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


@attrs.frozen(eq=False)
class KeyedTopic:
    """A topic of the store that keeps the latest record of each key."""

    store: Store
    topic: str

    async def read_newest(self) -> keyed_log.Batch:
        """Read the latest record of every key.

        The topic may grow while its pages are read: reading on from the end
        given by the first page returns what the later pages missed.
        """
        records: list[keyed_log.Record] = []
        end: int | None = None
        after = ""
        while True:
            answer = await self.store.call(
                "GET",
                f"/api/log-newest?topic={self.topic}&part={PARTITION}{after}",
            )
            body = parse_json(answer)
            if end is None:
                end = positions.make_position(answer.era, int(body["end"]))
            elif positions.get_era(end) != answer.era:
                # The previous pages are of another era: start again.
                return await self.read_newest()
            records += [
                decode_item(item, answer.era) for item in body["items"]
            ]
            if not body["hasMore"] or not body["items"]:
                return keyed_log.Batch(records, end)
            after = f"&after={body['items'][-1]['key']}"

    async def read(
        self, start: int, wait_ms: float, listing_bytes: float = math.inf
    ) -> keyed_log.Batch:
        """Read records from ``start`` on; wait up to ``wait_ms`` for one."""
        offset = positions.get_offset(start)

        def check(length: int | None, begin: bytes) -> None:
            if length is None or len(begin) < FIRST_RECORD_AT:
                return
            end, _, first_bytes = struct.unpack_from(">QQI", begin)
            # An answer has a limited length: others may have to follow it.
            total_bytes = max(length, (end - offset) * first_bytes)
            if end - offset > 1 and total_bytes > listing_bytes:
                raise keyed_log.ListingShorter()

        answer = await self.store.call(
            "GET",
            f"/api/log-read?topic={self.topic}&part={PARTITION}&from={offset}"
            f"&waitMs={int(wait_ms)}",
            wait_ms=wait_ms,
            check=check,
        )
        if answer.era != positions.get_era(start):
            raise keyed_log.EraChanged()
        if answer.status == 410:
            raise keyed_log.HistoryLost()
        if answer.status != 200 or len(answer.content) < 16:
            raise errors.PlatformUnavailable(
                "store", f"status {answer.status}"
            )
        end, _ = struct.unpack_from(">QQ", answer.content)
        records = [
            decode_record(raw, start + index)
            for index, raw in enumerate(split_records(answer.content[16:]))
        ]
        position = start + len(records)
        complete = positions.get_offset(position) >= end
        return keyed_log.Batch(records, position, complete)

    async def append(
        self,
        records: typing.Sequence[keyed_log.Record],
        end: int | None = None,
    ) -> int:
        """Append all records or none; return the new end."""
        condition = ""
        if end is not None:
            if positions.get_era(end) < self.store.era:
                # The offset belongs to an era whose data were lost.
                raise keyed_log.Conflict(
                    positions.make_position(self.store.era, 0)
                )
            condition = f"&at={positions.get_offset(end)}"
        body = b"".join(encode_record(record) for record in records)
        answer = await self.store.call(
            "POST",
            f"/api/log-append?topic={self.topic}&part={PARTITION}{condition}",
            body,
        )
        if answer.status == 412:
            found = int(json.loads(answer.content)["end"])
            raise keyed_log.Conflict(
                positions.make_position(answer.era, found)
            )
        position = positions.make_position(
            answer.era, int(parse_json(answer)["end"])
        )
        if end is not None and not positions.is_same_era(end, position):
            # The condition held by chance, in an era that was not read yet.
            raise keyed_log.Conflict(position)
        return position


def parse_era(headers: message_types.Headers) -> int:
    """The era of an answer; 0 without the header.

    Raises PlatformUnavailable if it is not a whole number: such an answer
    could be of an earlier era and must not be used.
    """
    for name, value in headers:
        if name.lower() == ERA_HEADER:
            if not ERA_PATTERN.fullmatch(value):
                raise errors.PlatformUnavailable(
                    "store", f"era header is not a whole number: {value!r}"
                )
            return int(value)
    return 0


def parse_json(answer: Answer) -> typing.Any:
    """Decode a 200 answer's body; raise PlatformUnavailable for others."""
    if answer.status != 200:
        raise errors.PlatformUnavailable("store", f"status {answer.status}")
    try:
        return json.loads(answer.content)
    except ValueError as cause:
        raise errors.PlatformUnavailable(
            "store", "response body is not JSON"
        ) from cause


def decode_item(item: dict, era: int) -> keyed_log.Record:
    """Decode an entry of a list of latest records; values are in base64."""
    value = base64.b64decode(item["value"])
    position = positions.make_position(era, int(item["offset"]))
    return keyed_log.Record(item["key"], value or None, position)


def split_records(content: bytes) -> typing.Iterator[bytes]:
    """Split records, each preceded by its length in four bytes."""
    position = 0
    while position + 4 <= len(content):
        (length,) = struct.unpack_from(">I", content, position)
        position += 4
        yield content[position : position + length]
        position += length


def decode_record(raw: bytes, offset: int) -> keyed_log.Record:
    """Decode a record of a keyed topic: length of the key, key, value."""
    size = raw[0] if raw else 0
    key = raw[1 : 1 + size].decode("utf-8", "replace")
    return keyed_log.Record(key, raw[1 + size :] or None, offset)


def encode_record(record: keyed_log.Record) -> bytes:
    """Encode a record, preceded by its length; see ``decode_record``."""
    key = record.key.encode()
    raw = bytes((len(key),)) + key + (record.value or b"")
    return struct.pack(">I", len(raw)) + raw
