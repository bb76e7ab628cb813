"""Messages of peers, other than load reports, whose values are odd."""

import contextlib
import random
import typing

import cbor2
import hypothesis
from hypothesis import strategies

from carawayward.forwarding import attempt as attempt_module
from carawayward.forwarding import change_log
from carawayward.forwarding import chunk_transfer
from carawayward.forwarding import freshness_messages
from carawayward.forwarding import load_report_messages
from carawayward.forwarding import relay_messages
from tests.common import odd_json

ODD: strategies.SearchStrategy[typing.Any] = (
    odd_json.ANY_JSON
    | strategies.binary(max_size=4)
    | strategies.sampled_from([2**64 - 1, 2**60, 1e308, -(2**64), 513])
)
GOOD = relay_messages.RelayedRequest(
    endpoint="e",
    born=7,
    service="desk",
    request_id="r",
    customer="c",
    key="k",
    remaining_ms=100.0,
    silence_ms=50,
    forwarded=attempt_module.ForwardedRequest(
        method=b"GET", target=b"/", headers=[(b"a", b"b")], body=b"x"
    ),
)
KINDS: dict[str, tuple[type, ...]] = {
    "endpoint": (str,),
    "born": (int, type(None)),
    "service": (str,),
    "request_id": (str,),
    "customer": (str,),
    "key": (str,),
    "remaining_ms": (float,),
    "silence_ms": (int, type(None)),
}


def encode(value):
    """Encode a value; surrogates and huge numbers of some have no CBOR."""
    try:
        return cbor2.dumps(value)
    except (cbor2.CBOREncodeError, ValueError, OverflowError):
        hypothesis.reject()


@hypothesis.settings(max_examples=300)
@hypothesis.given(strategies.integers(0, 10), ODD)
def test_odd_field_of_a_relayed_request_is_refused_or_of_its_type(place, odd):
    """Guards against a request that fails only once it has been sent on."""
    data = GOOD.to_bytes()
    (length,) = relay_messages.FIELDS_LENGTH.unpack_from(data)
    begin = relay_messages.FIELDS_LENGTH.size
    fields = cbor2.loads(data[begin : begin + length])
    fields[place] = odd
    encoded = encode(fields)
    data = relay_messages.FIELDS_LENGTH.pack(len(encoded)) + encoded
    with contextlib.suppress(*relay_messages.DECODE_ERRORS):
        found = relay_messages.RelayedRequest.from_bytes(data)
        for name, kinds in KINDS.items():
            assert isinstance(getattr(found, name), kinds)
        assert 0.0 <= found.remaining_ms <= relay_messages.MAX_TIME_MS
        for header in found.forwarded.headers:
            assert [type(each) for each in header] == [bytes, bytes]


@hypothesis.given(ODD, strategies.binary(max_size=20))
def test_odd_bytes_for_a_relayed_request_are_refused(odd, raw):
    """Guards against an exception that ends the request of another kind."""
    for data in (raw, encode(odd), encode([odd, odd])):
        for read in (
            relay_messages.RelayedRequest.from_bytes,
            relay_messages.ProbeRequest.from_bytes,
            relay_messages.decode_probe_reply,
            load_report_messages.Sender.from_bytes,
        ):
            with contextlib.suppress(*relay_messages.DECODE_ERRORS):
                read(data)


PARTS = freshness_messages.split_change(
    1,
    "keys",
    0,
    change_log.Change(0, "a", random.Random(1).randbytes(5_000)),
    range(freshness_messages.MAX_CHUNKS),
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 8), ODD), max_size=4
    )
)
def test_odd_chunks_do_not_keep_the_next_change_from_coming(drawn):
    """Guards against a transfer that no good chunk ends."""
    fetcher = chunk_transfer.ChunkFetcher()
    now_ms = 1_000.0
    for place, odd in drawn:
        fields = cbor2.loads(PARTS[0].to_bytes())
        fields[place] = odd
        now_ms += 1.0
        with contextlib.suppress(*load_report_messages.DECODE_ERRORS):
            decoded = load_report_messages.decode(encode(fields))
            chunk = freshness_messages.Chunk.from_fields(decoded)
            if chunk.topic == "keys" and chunk.start <= 0 <= chunk.offset:
                fetcher.receive("p", chunk, now_ms)
    now_ms += chunk_transfer.MAX_STALL_MS + 1.0
    found = []
    # A delegate sends all chunks again if they did not match.
    for part in PARTS * 2:
        with contextlib.suppress(freshness_messages.UnreadableRecord):
            found.append(fetcher.receive("p", part, now_ms))
    changes = [each for each in found if isinstance(each, change_log.Change)]
    assert changes and changes[-1].key == "a"
