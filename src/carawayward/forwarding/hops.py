"""Headers as they go on to the next connection."""

from carawayward.forwarding import message_types

# Headers that concern one connection only (RFC 9110, 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


def drop_connection_headers(
    headers: message_types.Headers,
) -> message_types.Headers:
    """Headers without those that concern one connection only."""
    named = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(each.strip().lower() for each in value.split(b","))
    return [pair for pair in headers if pair[0].lower() not in named]


def keep_headers(headers: message_types.Headers) -> message_types.Headers:
    """An endpoint's headers as they go to the caller."""
    return [
        pair
        for pair in drop_connection_headers(headers)
        if pair[0].lower() != b"content-length"
    ]
