"""Stand-in for the platform's store: keyed topics with offsets, and faults.

It follows the published protocol, with a single partition per topic.
"""

import base64
import json
import struct
import typing
import urllib.parse

import attrs
import trio

from tests.standins import raw_http

READ_ONLY = ("keyed.op", "keyed.servers")
# A read answers with no more than this, but with one record at least.
MAX_READ_BYTES = 1_024 * 1_024


@attrs.define(eq=False)
class Topic:
    """Records from offset ``first`` on, and the latest of each key."""

    first: int = 0
    records: list[bytes] = attrs.field(factory=list)
    newest: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)
    appended: trio.Event = attrs.field(factory=trio.Event)

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, raw: bytes) -> None:
        """Append a record: length of the key, key, value."""
        key = raw[1 : 1 + raw[0]].decode()
        value = raw[1 + raw[0] :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(raw)
        self.appended.set()
        self.appended = trio.Event()

    def drop_history(self) -> None:
        """Drop the history; the latest records are kept."""
        self.first = self.end
        self.records = []


Override = typing.Callable[[str, raw_http.Exchange], typing.Awaitable[bool]]


@attrs.define(eq=False)
class Store:
    """The store and the faults that a test has switched on.

    ``error_status`` is sent in reply to every call. ``silent`` leaves calls
    without a reply and lists their topics in ``unanswered``.
    ``dropping_append_answers`` applies appends, then resets the connection.
    With ``delaying_polls`` long polls return no record before they time out.
    ``era`` is sent in all replies, None in none. Calls take ``delay_ms``
    longer. ``override`` is given each call first, with the name of the call,
    and returns whether it has answered it.
    """

    topics: dict[str, Topic] = attrs.field(factory=dict)
    error_status: int = 0
    silent: bool = False
    dropping_append_answers: bool = False
    delaying_polls: bool = False
    delay_ms: float = 0.0
    calls: int = 0
    unanswered: list[str] = attrs.field(factory=list)
    era: int | None = None
    saved_topics: dict[str, Topic] = attrs.field(factory=dict)
    override: Override | None = None

    def save_copy(self) -> None:
        """Save a copy of all data, for ``restore_copy``."""
        self.saved_topics = {
            name: attrs.evolve(
                topic,
                records=list(topic.records),
                newest=dict(topic.newest),
                appended=trio.Event(),
            )
            for name, topic in self.topics.items()
        }

    def restore_copy(self) -> None:
        """Restore the copy in a new era; pending polls are answered."""
        before = list(self.topics.values())
        self.topics = self.saved_topics
        self.save_copy()
        self.era = (self.era or 0) + 1
        for topic in before:
            topic.appended.set()

    def topic(self, name: str) -> Topic:
        """A topic; created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write as operators and servers do; None removes the key."""
        raw = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append(bytes((len(key),)) + key.encode() + raw)

    async def handle(self, exchange: raw_http.Exchange) -> None:
        """Answer one call."""
        self.calls += 1
        if self.era is not None:
            exchange.fixed_headers = {"Store-Era": str(self.era)}
        target = urllib.parse.urlsplit(exchange.request.target)
        query = dict(urllib.parse.parse_qsl(target.query))
        if self.silent:
            self.unanswered.append(query["topic"])
            await trio.sleep_forever()
        if self.delay_ms:
            await trio.sleep(self.delay_ms / 1000)
        if self.error_status:
            await exchange.answer(self.error_status)
            return
        topic = self.topic(query["topic"])
        name = target.path.rpartition("/")[2]
        if self.override and await self.override(name, exchange):
            return
        match name:
            case "log-newest":
                await self._answer_newest(exchange, topic)
            case "log-read":
                await self._answer_read(exchange, topic, query)
            case "log-append":
                await self._answer_append(exchange, topic, query)
            case _:
                await exchange.answer(404)

    async def _answer_newest(
        self, exchange: raw_http.Exchange, topic: Topic
    ) -> None:
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        body = {"items": items, "hasMore": False, "end": topic.end}
        await exchange.answer(200, body=json.dumps(body).encode())

    async def _answer_read(
        self, exchange: raw_http.Exchange, topic: Topic, query: dict[str, str]
    ) -> None:
        start = int(query["from"])
        era = self.era
        if start == topic.end:
            with trio.move_on_after(int(query.get("waitMs", 0)) / 1000):
                await topic.appended.wait()
                while self.delaying_polls:
                    await trio.sleep(0.01)
        if self.era != era:
            await exchange.reset()
            return
        if not topic.first <= start <= topic.end:
            body = json.dumps({"first": topic.first}).encode()
            await exchange.answer(410, body=body)
            return
        records: list[bytes] = []
        size = 0
        for raw in topic.records[start - topic.first :]:
            size += len(raw)
            if records and size > MAX_READ_BYTES:
                break
            records.append(raw)
        body = struct.pack(">QQ", topic.end, topic.first) + b"".join(
            struct.pack(">I", len(raw)) + raw for raw in records
        )
        await exchange.answer(200, body=body)

    async def _answer_append(
        self, exchange: raw_http.Exchange, topic: Topic, query: dict[str, str]
    ) -> None:
        if query["topic"] in READ_ONLY:
            await exchange.answer(403)
            return
        if "at" in query and int(query["at"]) != topic.end:
            body = json.dumps({"end": topic.end}).encode()
            await exchange.answer(412, body=body)
            return
        offset, content = topic.end, exchange.request.body
        while content:
            (length,) = struct.unpack_from(">I", content)
            topic.append(content[4 : 4 + length])
            content = content[4 + length :]
        if self.dropping_append_answers:
            await exchange.reset()
            return
        body = json.dumps({"offset": offset, "end": topic.end}).encode()
        await exchange.answer(200, body=body)
