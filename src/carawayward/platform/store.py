"""The platform's store: its calls, as the product's ``KeyedLog``."""

import base64
import json
import struct
import typing

import attrs
import httpcore
import trio

from carawayward import errors
from carawayward.forwarding import keyed_log
from carawayward.gateway import connections
from carawayward import http_client as http

# An answer usually takes some ms; a store that is slow takes up to 0.7 s. A
# call without an answer after this has met a silent connection.
CALL_TIMEOUT_MS = 1_000.0
PART = 0
# Long polls carry nothing for seconds; a connection whose other side has
# gone silent for good must not hold one up for longer than this, in ms.
SILENCE_MS = 3_000


@attrs.define(eq=False)
class Store:
    """Calls of the store at one address."""

    address: str
    pool: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: connections.make_pool(8, 8, SILENCE_MS)
    )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        wait_ms: float = 0.0,
    ) -> tuple[int, bytes]:
        """Make one call; raise PlatformUnavailable without an answer."""
        mark = http.SentMark()
        try:
            with trio.fail_after((CALL_TIMEOUT_MS + wait_ms) / 1000):
                response = await self.pool.request(
                    method,
                    f"http://{self.address}{path}",
                    content=body,
                    extensions={"trace": mark.trace},
                )
        except http.CALL_FAILURES as cause:
            # A connection on which an answer was lost brings no other.
            await http.drop_idle(self.pool)
            raise errors.PlatformUnavailable(
                "store", f"no answer ({type(cause).__name__})", mark.sent
            ) from cause
        if response.status in (429, 503):
            raise errors.PlatformUnavailable(
                "store", f"status {response.status}", sent=False
            )
        return response.status, response.content

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


@attrs.frozen(eq=False)
class KeyedTopic:
    """One topic of the store that keeps the newest record of each key."""

    store: Store
    topic: str

    async def read_newest(self) -> keyed_log.Batch:
        """The newest record of every key.

        Pages are read one after the other while the topic grows: reading
        on from the first page's end brings what a later page has missed.
        """
        records: list[keyed_log.Record] = []
        end: int | None = None
        after = ""
        while True:
            status, content = await self.store.call(
                "GET",
                f"/api/log-newest?topic={self.topic}&part={PART}{after}",
            )
            body = parse_json(status, content)
            if end is None:
                end = int(body["end"])
            records += [read_item(item) for item in body["items"]]
            if not body["hasMore"] or not body["items"]:
                return keyed_log.Batch(records, end)
            after = f"&after={body['items'][-1]['key']}"

    async def read(self, start: int, wait_ms: float) -> keyed_log.Batch:
        """Records from ``start`` on."""
        status, content = await self.store.call(
            "GET",
            f"/api/log-read?topic={self.topic}&part={PART}&from={start}"
            f"&waitMs={int(wait_ms)}",
            wait_ms=wait_ms,
        )
        if status == 410:
            raise keyed_log.HistoryLost()
        if status != 200 or len(content) < 16:
            raise errors.PlatformUnavailable("store", f"status {status}")
        end, _ = struct.unpack_from(">QQ", content)
        records = [
            read_record(raw, start + index)
            for index, raw in enumerate(split_records(content[16:]))
        ]
        position = start + len(records)
        return keyed_log.Batch(records, position, position >= end)

    async def append(
        self,
        records: typing.Sequence[keyed_log.Record],
        end: int | None = None,
    ) -> int:
        """Append all or nothing; return the new end."""
        condition = "" if end is None else f"&at={end}"
        body = b"".join(write_record(record) for record in records)
        status, content = await self.store.call(
            "POST",
            f"/api/log-append?topic={self.topic}&part={PART}{condition}",
            body,
        )
        if status == 412:
            raise keyed_log.Conflict(int(json.loads(content)["end"]))
        return int(parse_json(status, content)["end"])


def parse_json(status: int, content: bytes) -> typing.Any:
    """The body of a good answer; raise PlatformUnavailable for others."""
    if status != 200:
        raise errors.PlatformUnavailable("store", f"status {status}")
    try:
        return json.loads(content)
    except ValueError as cause:
        raise errors.PlatformUnavailable("store", "no JSON") from cause


def read_item(item: dict) -> keyed_log.Record:
    """An entry of a list of newest records; values are in base64."""
    value = base64.b64decode(item["value"])
    return keyed_log.Record(item["key"], value or None, int(item["offset"]))


def split_records(content: bytes) -> typing.Iterator[bytes]:
    """Records, each behind its length in four bytes."""
    position = 0
    while position + 4 <= len(content):
        (length,) = struct.unpack_from(">I", content, position)
        position += 4
        yield content[position : position + length]
        position += length


def read_record(raw: bytes, offset: int) -> keyed_log.Record:
    """A record of a keyed topic: length of the key, key, value."""
    size = raw[0] if raw else 0
    key = raw[1 : 1 + size].decode("utf-8", "replace")
    return keyed_log.Record(key, raw[1 + size :] or None, offset)


def write_record(record: keyed_log.Record) -> bytes:
    """The reverse of ``read_record``, behind its length."""
    key = record.key.encode()
    raw = bytes((len(key),)) + key + (record.value or b"")
    return struct.pack(">I", len(raw)) + raw
