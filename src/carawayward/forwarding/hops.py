"""Selects the headers that are forwarded."""

from carawayward.forwarding import message_types

# What a peer says of a request that it was asked to relay.
RELAY_OUTCOME_HEADER = b"x-relay-outcome"
RELAY_CAUSE_HEADER = b"x-relay-cause"
# Hop-by-hop headers: they apply to a single connection (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        RELAY_OUTCOME_HEADER,
        RELAY_CAUSE_HEADER,
    )
)


# A Connection header that names these is ignored: without them a message could
# not be sent or would be another one.
FRAMING_HEADERS = frozenset((b"host", b"content-length"))


def drop_hop_by_hop_headers(
    headers: message_types.Headers,
    end_to_end: frozenset[bytes] = frozenset(),
) -> message_types.Headers:
    """Remove hop-by-hop headers, also those that Connection names.

    It cannot name the ``end_to_end`` ones.
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(each.strip().lower() for each in value.split(b","))
    dropped = HOP_BY_HOP_HEADERS | (named - FRAMING_HEADERS - end_to_end)
    return [pair for pair in headers if pair[0].lower() not in dropped]


def select_request_headers(
    headers: message_types.Headers, body: bytes, end_to_end: frozenset[bytes]
) -> message_types.Headers:
    """Select the headers of a caller's request that an endpoint gets.

    The body is sent with its length, also if it came in chunks. What is added
    for the endpoint has to be added afterwards, or the caller could name it
    in its Connection header.
    """
    selected = drop_hop_by_hop_headers(headers, end_to_end)
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" in names and b"content-length" not in names:
        selected.append((b"content-length", b"%d" % len(body)))
    return selected


def select_response_headers(
    headers: message_types.Headers, internal: frozenset[bytes]
) -> message_types.Headers:
    """Select the headers of an endpoint's response that the caller gets.

    Content-Length is left out, since the reply is framed anew, and so are the
    ``internal`` headers.
    """
    return [
        pair
        for pair in drop_hop_by_hop_headers(headers)
        if pair[0].lower() != b"content-length"
        and pair[0].lower() not in internal
    ]
