"""What this entry VM believes of forwarded routes.

Controllers write their own part; the request path reads.
"""

import enum
import secrets

import attrs

from carawayward.forwarding import message_types
from carawayward.forwarding import settings
from carawayward.forwarding import table as table_module

NEVER = float("-inf")
# What a lease on keys is shortened by: the time between the check and the
# arrival of the request at its endpoint, and the clock's own error.
LEASE_MARGIN_MS = 500.0


@attrs.frozen
class ColdReport:
    """How long an endpoint was to be cold at ``at_ms``; None if unknown."""

    at_ms: float
    remaining_ms: float | None


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
    ``endpoints``. ``store_failing`` is set from a failed call for the table
    to the next that succeeds. ``cold_reports`` are of the endpoints that may
    be cold, ``evacuated`` are failure domains whose endpoints get nothing.
    ``refusing`` is set once a stop leaves no time
    for new requests.
    """

    name: str
    failure_domain: str
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(4))
    bounds: settings.Bounds = attrs.field(factory=settings.Bounds)
    state: State = State.STARTING
    refusing: bool = False
    table: table_module.RoutingTable | None = None
    table_as_of_ms: float = NEVER
    store_failing: bool = False
    endpoints: dict[str, message_types.EndpointEntry] = attrs.field(
        factory=dict
    )
    endpoints_known: bool = False
    generation: int = 0
    orders: dict[str, message_types.RolloutOrder] = attrs.field(factory=dict)
    cold_reports: dict[str, ColdReport] = attrs.field(factory=dict)
    evacuated: set[str] = attrs.field(factory=set)
    open_requests: int = 0

    def is_fresh(self, boot_ms: float) -> bool:
        """Whether the table's keys may still be relied on.

        A key that was taken away has to stop working within a bound also on
        an entry VM that cannot read the store: it stops trusting its table
        before that.
        """
        if not self.bounds.keys_fail_closed:
            return True
        age_ms = boot_ms - self.table_as_of_ms
        return age_ms < self.bounds.key_lease_ms - LEASE_MARGIN_MS
