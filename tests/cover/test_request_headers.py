"""The headers of a request that an endpoint gets, whatever a caller sends."""

import hypothesis
from hypothesis import strategies

from carawayward.forwarding import hops
from carawayward.forwarding import message_types
from carawayward.platform import headers as platform_headers

DISPATCH = message_types.DispatchMetadata(
    instance="i-1",
    remaining_ms=900.0,
    customer="ikeja",
    model="small",
    last_event=3,
    urgency=1,
)
SENT = [
    (b"Host", b"swap.example"),
    (b"Content-Length", b"4"),
    (b"Carawayward-Attempt-Id", b"1f"),
    (b"Carawayward-Key", b"secret"),
    (b"Carawayward-Tenant", b"lekki"),
    (b"Carawayward-Token-Count", b"10,5"),
    (b"Carawayward-Prefix-Hash", b"aa:10"),
    (b"Carawayward-Pin-Ms", b"5"),
    (b"Session", b"s-1"),
    (b"X-Hop", b"1"),
]
NAMES = [name.decode() for name, _ in SENT] + [
    *("Carawayward-Deadline-Ms", "Carawayward-Expect-Instance", "close"),
    *("Carawayward-Model", "Last-Event-Id", "Carawayward-Request-Priority"),
]


@strategies.composite
def connection_values(draw):
    """Options of a Connection header, in any case and spacing."""
    names = draw(strategies.lists(strategies.sampled_from(NAMES), max_size=5))
    space = strategies.sampled_from(["", " ", "\t", "  "])
    case = strategies.sampled_from([str.lower, str.upper, str.title])
    options = [
        draw(space) + draw(case)(name) + draw(space) + "," for name in names
    ]
    return "".join(options).encode()


def make_sent(values):
    """The headers that an endpoint gets, by their names in lower case."""
    sent = SENT + [(b"Connection", value) for value in values]
    dialect = platform_headers.DIALECT
    selected = hops.select_request_headers(
        sent, b"body", dialect.end_to_end_headers
    )
    written = dialect.write_request(selected, DISPATCH)
    return sorted((name.lower(), value) for name, value in written)


@hypothesis.given(strategies.lists(connection_values(), max_size=3))
@hypothesis.settings(deadline=None)
def test_connection_header_takes_nothing_of_the_system_off_a_request(values):
    """A client named Carawayward-Tenant in it, and ran without a tenant."""
    named = any(b"x-hop" in value.lower() for value in values)
    expected = make_sent([])
    if named:
        expected.remove((b"x-hop", b"1"))
    assert make_sent(values) == expected
