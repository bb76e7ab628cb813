"""Client of the platform's store, which implements ``KeyedLog``."""

import base64
import functools
import json
import math
import re
import struct
import typing
import urllib.parse

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
from carawayward import record_isolation

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
# What one answer may hold. Each value or record takes many times the memory
# of its bytes, the shortest the most.
MAX_VALUES = 200_000
# What the pages of a listing may take in memory together, and what a record
# takes besides its bytes. Whether pages end is up to the store.
MAX_LISTING_BYTES = 16 * 1_048_576
RECORD_OVERHEAD_BYTES = 256
# Incremented each time the store is restored from a backup.
ERA_HEADER = b"store-era"
ERA_PATTERN = re.compile(rb"[0-9]{1,9}")

Read = typing.TypeVar("Read")


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
        after: str | None = None
        size = 0
        while True:
            path = f"/api/log-newest?topic={self.topic}&part={PARTITION}"
            if after is not None:
                path += f"&after={quote_key(after)}"
            answer = await self.store.call("GET", path)
            page = parse_body(answer, ListingPage.from_body)
            size += len(answer.content)
            size += len(page.items) * RECORD_OVERHEAD_BYTES
            if size > MAX_LISTING_BYTES:
                raise errors.PlatformUnavailable("store", "listing too long")
            if end is None:
                end = positions.make_position(answer.era, page.end)
            elif positions.get_era(end) != answer.era:
                # The previous pages are of another era: start again.
                records, end, after = [], None, None
                continue
            records += decode_items(page, answer.era, self.topic)
            if not page.has_more or not page.items:
                return keyed_log.Batch(records, end)
            if page.last_key == after:
                raise errors.PlatformUnavailable(
                    "store", "a page of the listing is followed by itself"
                )
            after = page.last_key

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
            raise keyed_log.HistoryLost(parse_first(answer))
        if answer.status != 200 or len(answer.content) < 16:
            raise errors.PlatformUnavailable(
                "store", f"status {answer.status}"
            )
        end, _ = struct.unpack_from(">QQ", answer.content)
        if offset > end:
            # No record of this topic has made this the position to read from.
            raise keyed_log.HistoryLost()
        records = decode_records(answer.content[16:], start)
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
            found = parse_body(answer, read_end, status=412)
            raise keyed_log.Conflict(
                positions.make_position(answer.era, found)
            )
        position = positions.make_position(
            answer.era, parse_body(answer, read_end)
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


def parse_body(
    answer: Answer,
    read: typing.Callable[[typing.Any], Read],
    status: int = 200,
) -> Read:
    """Return what ``read`` makes of the answer's body, which is JSON.

    Raises PlatformUnavailable if the answer has another status, or whatever
    is wrong with its body.
    """
    if answer.status != status:
        raise errors.PlatformUnavailable("store", f"status {answer.status}")
    try:
        if answer.content.count(b",") >= MAX_VALUES:
            raise ValueError("too many values")
        return read(json.loads(answer.content))
    except Exception as cause:
        raise errors.PlatformUnavailable(
            "store", f"unreadable body ({type(cause).__name__})"
        ) from cause


def quote_key(key: str) -> str:
    """Quote a key for a query."""
    return urllib.parse.quote(key, errors="replace")


def read_end(body: dict) -> int:
    """The end of a topic, in the body of an answer."""
    return int(body["end"])


def parse_first(answer: Answer) -> int | None:
    """The first offset that a topic still has; None if it is not readable."""
    try:
        first = parse_body(answer, lambda body: int(body["first"]), 410)
    except errors.PlatformUnavailable:
        return None
    return positions.make_position(answer.era, first)


@attrs.frozen
class ListingPage:
    """A page of a list of the latest records, in the order of their keys.

    ``last_key`` is where the next page continues; empty if there is none.
    """

    items: list
    end: int
    has_more: bool
    last_key: str

    @classmethod
    def from_body(cls, body: dict) -> "ListingPage":
        """Convert a decoded body, whose items are not looked into."""
        items = list(body["items"])
        has_more = bool(body["hasMore"])
        # Only a page that others follow needs a key that can be read.
        last_key = str(items[-1]["key"]) if items and has_more else ""
        return cls(items, read_end(body), has_more, last_key)


def decode_item(item: dict, era: int) -> keyed_log.Record:
    """Decode an entry of a list of latest records; values are in base64.

    Raises an exception if it is malformed.
    """
    value = base64.b64decode(item["value"])
    position = positions.make_position(era, int(item["offset"]))
    # Like ``decode_record``, replaces what cannot be encoded as UTF-8.
    key = item["key"].encode("utf-8", "replace").decode()
    return keyed_log.Record(key, value or None, position)


def decode_items(
    page: ListingPage, era: int, topic: str
) -> list[keyed_log.Record]:
    """Decode the entries of a page; malformed ones are logged and omitted."""
    decoded = (
        record_isolation.isolate(
            functools.partial(decode_item, item, era), None, topic=topic
        )
        for item in page.items
    )
    return [record for record in decoded if record is not None]


def split_records(content: bytes) -> typing.Iterator[bytes]:
    """Split records, each preceded by its length in four bytes."""
    position = 0
    while position + 4 <= len(content):
        (length,) = struct.unpack_from(">I", content, position)
        position += 4
        yield content[position : position + length]
        position += length


def decode_records(content: bytes, start: int) -> list[keyed_log.Record]:
    """Decode the records from position ``start`` on.

    Raises PlatformUnavailable if there are too many.
    """
    records: list[keyed_log.Record] = []
    for raw in split_records(content):
        if len(records) >= MAX_VALUES:
            raise errors.PlatformUnavailable("store", "too many records")
        records.append(decode_record(raw, start + len(records)))
    return records


def decode_record(raw: bytes, offset: int) -> keyed_log.Record:
    """Decode a record of a keyed topic: length of the key, key, value.

    One that is shorter than its key names none.
    """
    size = raw[0] if raw else 0
    if len(raw) <= size:
        return keyed_log.Record("", None, offset)
    key = raw[1 : 1 + size].decode("utf-8", "replace")
    return keyed_log.Record(key, raw[1 + size :] or None, offset)


def encode_record(record: keyed_log.Record) -> bytes:
    """Encode a record, preceded by its length; see ``decode_record``."""
    key = record.key.encode()
    raw = bytes((len(key),)) + key + (record.value or b"")
    return struct.pack(">I", len(raw)) + raw
