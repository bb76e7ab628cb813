"""What this entry VM believes of forwarded routes.

Controllers write their own part; the request path reads.
"""

import enum

import attrs

from carawayward.forwarding import facts
from carawayward.forwarding import table as table_module

NEVER = float("-inf")


class State(enum.StrEnum):
    """Where this entry VM is in its life."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@attrs.define(kw_only=True)
class ForwardingBoard:
    """The shared state of one daemon; times in ms on the boot clock.

    ``table_as_of_ms`` is the latest moment at which ``table`` is known to
    have been the newest. ``generation`` rises with each change of
    ``endpoints``. ``refusing`` is set once a stop leaves no time for new
    requests.
    """

    name: str
    failure_domain: str
    state: State = State.STARTING
    refusing: bool = False
    table: table_module.RoutingTable | None = None
    table_as_of_ms: float = NEVER
    endpoints: dict[str, facts.EndpointEntry] = attrs.field(factory=dict)
    endpoints_known: bool = False
    generation: int = 0
    orders: dict[str, facts.RolloutOrder] = attrs.field(factory=dict)
    open_requests: int = 0
