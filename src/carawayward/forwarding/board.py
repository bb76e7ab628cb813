"""The state that this entry VM holds for forwarded routes (a blackboard).

Each controller writes its own part; the request path reads it.
"""

import enum
import secrets

import attrs
import trio

from carawayward import buffers as buffers_module
from carawayward.forwarding import body_room as body_room_module
from carawayward.forwarding import message_types
from carawayward.forwarding import settings
from carawayward.forwarding import stop_deadline as stop_deadline_module
from carawayward.forwarding import table as table_module

NEVER = float("-inf")
# Safety margin by which the lease on keys is shortened. Covers clock error and
# the time between the check and the request's arrival at its endpoint.
KEY_LEASE_MARGIN_MS = 500.0


@attrs.frozen
class ColdReport:
    """How long an endpoint would stay cold, reported at ``at_ms``, in ms.

    ``remaining_ms`` is None if unknown.
    """

    at_ms: float
    remaining_ms: float | None


class State(enum.StrEnum):
    """The lifecycle state of this entry VM."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@attrs.define(kw_only=True)
class ForwardingBoard:
    """The shared state of one daemon; times in ms on the boot clock.

    ``table_as_of_ms`` is the latest time at which ``table`` is known to have
    been the newest revision. ``generation`` is incremented by each change to
    ``endpoints``. ``store_failing`` is set from a failed read of the table to
    the next successful one. ``cold_reports`` has an entry for each endpoint
    that may be cold. ``limited`` holds the endpoints that limit how many
    requests they accept, ``resting_until`` the times before which endpoints
    want no request from this entry VM. ``evacuated`` holds the failure domains
    whose endpoints get no requests. ``refusing`` is set during a shutdown,
    once the load balancer has had time to stop sending new connections;
    ``stop_deadline`` is when all replies have to be sent.
    ``link_mbps`` is the rate of this entry VM's link, 0 if it is not known.
    ``open_relays`` are requests that this entry VM sends for its peers.
    ``orders_at_start`` are the services with an order in the first listing.
    ``declared`` is set, and replaced, by each change to ``table`` or
    ``orders``.
    """

    name: str
    failure_domain: str
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(4))
    bounds: settings.Bounds = attrs.field(factory=settings.Bounds)
    link_mbps: float = 0.0
    state: State = State.STARTING
    refusing: bool = False
    stop_deadline: stop_deadline_module.StopDeadline = attrs.field(
        factory=stop_deadline_module.StopDeadline
    )
    buffers: buffers_module.BufferAccount = attrs.field(
        factory=buffers_module.BufferAccount
    )
    body_room: body_room_module.BodyRoom = attrs.field(
        factory=body_room_module.BodyRoom
    )
    table: table_module.RoutingTable | None = None
    table_as_of_ms: float = NEVER
    store_failing: bool = False
    endpoints: dict[str, message_types.EndpointEntry] = attrs.field(
        factory=dict
    )
    endpoints_known: bool = False
    generation: int = 0
    orders: dict[str, message_types.RolloutOrder] = attrs.field(factory=dict)
    orders_at_start: set[str] = attrs.field(factory=set)
    cold_reports: dict[str, ColdReport] = attrs.field(factory=dict)
    limited: set[message_types.Process] = attrs.field(factory=set)
    resting_until: dict[message_types.Process, float] = attrs.field(
        factory=dict
    )
    evacuated: set[str] = attrs.field(factory=set)
    open_requests: int = 0
    open_relays: int = 0
    declared: trio.Event = attrs.field(factory=trio.Event, eq=False)

    def notify_declared(self) -> None:
        """Wake the tasks that wait for another table or roll-out order."""
        declared, self.declared = self.declared, trio.Event()
        declared.set()

    def is_listed(self, process: message_types.Process) -> bool:
        """Whether this process of an endpoint is the one that is listed."""
        entry = self.endpoints.get(process[0])
        return entry is not None and entry.process == process

    def compute_table_age_ms(self, boot_ms: float) -> int | None:
        """How long ago the table was known to be current; None if never."""
        if self.table is None or self.table_as_of_ms == NEVER:
            return None
        return round(boot_ms - self.table_as_of_ms)

    def is_key_lease_valid(self, boot_ms: float) -> bool:
        """Whether the keys of the current table may still be accepted.

        A revoked key has to stop working within a bounded time, even on an
        entry VM that cannot read the store. Such an entry VM stops trusting
        its table before that time is over.
        """
        if not self.bounds.keys_fail_closed:
            return True
        age_ms = boot_ms - self.table_as_of_ms
        return age_ms < self.bounds.key_lease_ms - KEY_LEASE_MARGIN_MS
