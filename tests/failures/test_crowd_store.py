"""Answers of the store that never end, or hold far more than they should.

Each test runs the process of an entry VM within the memory of the smallest
machines, before a store that begins to answer so once it is ready.
"""

import base64
import itertools
import json
import struct

from nose2.tools import params
import trio

from tests.common import crowds
from tests.standins import raw_http

PLAYED_S = 4.0
PAGE_ITEMS = 400
VALUE = base64.b64encode(b"x" * 1_500).decode()
MANY = 2_600_000
# A route without keys, whose lease may end meanwhile.
ORDINARY = "/open/short"


def make_page(number: int) -> bytes:
    """A page of a listing that is followed by another."""
    keys = (f"key-{number:09}-{index:03}" for index in range(PAGE_ITEMS))
    items = [{"key": key, "value": VALUE, "offset": 1} for key in keys]
    return json.dumps({"items": items, "hasMore": True, "end": 1}).encode()


def make_values(value: bytes) -> bytes:
    """A page whose values take far more memory than bytes."""
    items = value + (b"," + value) * MANY
    return b'{"end":1,"hasMore":false,"items":[' + items + b"]}"


def play(call, make_body) -> int:
    """Have the store answer one kind of call so; check an entry VM.

    Returns how many of them it made.
    """
    numbers = itertools.count()

    async def main():
        async with crowds.open_site() as site:

            async def override(name, exchange):
                if name == call:
                    await answer(exchange, make_body(next(numbers)))
                elif call == "log-newest" and name == "log-read":
                    await exchange.answer(410, {}, b'{"first":9}')
                else:
                    return False
                return True

            site.running.store.override = override
            await trio.sleep(PLAYED_S)
            await site.check(path=ORDINARY)
            return next(numbers)

    calls = trio.run(main)
    assert calls > 0
    return calls


async def answer(exchange: raw_http.Exchange, body: bytes) -> None:
    """Answer without a length, which would allow a choice beforehand."""
    head = raw_http.make_head(200, {})
    await exchange.stream.send_all(head + body)
    await exchange.stream.aclose()


def test_listing_whose_pages_never_end_is_given_up():
    """Guards against all pages in memory, for as long as they come."""
    play("log-newest", make_page)


@params(b"{}", b'{"a":1}', b"[]", b"1.5")
def test_listing_of_too_many_values_is_not_decoded(value):
    """Guards against values that take far more memory than their bytes."""
    body = make_values(value)[:8_000_000]
    play("log-newest", lambda number: body)


def test_read_of_too_many_records_is_not_decoded():
    """Guards against records that take far more memory than their bytes."""
    body = struct.pack(">QQ", 10, 0) + bytes(8_000_000)
    play("log-read", lambda number: body)
