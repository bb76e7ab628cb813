"""What an application may know and ask of its caller's connection."""

import typing

import attrs

from carawayward import buffers
from carawayward import closes

# The key of a request's state with the link to its connection.
LINK = "caller_link"


@attrs.define(eq=False)
class CallerLink:
    """A caller's connection, as the application sees it.

    ``closed_for`` is why the listener has closed it. ``lost`` is set once
    something could not be sent. ``share`` is what it holds of the buffered
    bytes; the endpoint's kernel buffers hold ``unread_bytes`` more while a
    write waits. ``abort`` closes the connection.
    """

    share: buffers.BufferShare = attrs.field(
        factory=lambda: buffers.BufferShare(buffers.BufferAccount())
    )
    abort: typing.Callable[[closes.CloseReason], None] = lambda reason: None
    unread_bytes: int = 0
    closed_for: closes.CloseReason | None = None
    lost: bool = False

    def explain_loss(self, otherwise: str) -> str:
        """Say why the connection has ended; ``otherwise`` by its caller."""
        if self.closed_for is None:
            return otherwise
        return closes.EXPLANATIONS[self.closed_for]


def find_link(scope: typing.Mapping[str, typing.Any]) -> CallerLink:
    """Find the link to a request's connection; one of its own if none."""
    link = scope.get("state", {}).get(LINK)
    return CallerLink() if link is None else link
