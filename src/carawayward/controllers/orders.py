"""Orders endpoints into the state that the document declares.

An order describes a state, not a step, and carries the document's revision as
fencing number. It can therefore be sent twice, by two entry VMs, or again
after its answer was lost. Two cases remain:

- An entry VM that is paused between its last check and the send resumes with
  an outdated order. An endpoint that checks fencing numbers refuses it. One
  that does not accepts it, and stays in the old state until its responsible
  entry VM next reads that state, ``INTERVAL_MS`` later, and has it load again.
- An entry VM that is cut off from the log does not know of a newer document.
  It sends no orders while it is cut off.
"""

import attrs
import trio

from carawayward import blackboard as blackboard_module
from carawayward import clock as clock_module
from carawayward.decisions import orders
from carawayward import declaration
from carawayward import errors
from carawayward import events
from carawayward.gateway import order_client
from carawayward.services import weights as weights_module
from carawayward import settings as settings_module

INTERVAL_MS = 3_000.0
# An order is not sent if the state on which it is based was read longer ago
# than this: the process was paused, or the endpoint was slow to answer.
MAX_STATE_AGE_MS = 3_500.0
# Shorter where the endpoint does not refuse outdated orders.
MAX_UNFENCED_STATE_AGE_MS = 1_000.0
SILENT_AFTER_MS = 10_000.0
ALIVE_WITHIN_MS = 60_000.0
# Concurrent loads allowed while the weight store has not given a limit; it can
# always serve one.
DEFAULT_LOADS = 1
UNLIMITED_LOADS = 1_000


@attrs.define
class OrdersController:
    """Sends orders to the endpoints that this entry VM is responsible for.

    ``max_loads`` limits how many endpoints load weights at the same time.
    """

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    client: order_client.OrderClient
    weights: weights_module.WeightStore | None
    max_loads: int = DEFAULT_LOADS

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
    ) -> "OrdersController":
        """Make the controller; without a weight store only pool caps hold."""
        url = settings.platform.weights
        store = weights_module.WeightStore.from_config(url) if url else None
        return cls(board, clock, order_client.OrderClient(), store)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start comparing endpoints with the document and sending orders."""
        nursery.start_soon(self._order_forever)

    async def close(self) -> None:
        """Close connections; the nursery ends the task."""
        if self.weights is not None:
            await self.weights.close()

    async def _order_forever(self) -> None:
        while True:
            await self.clock.sleep(INTERVAL_MS)
            config = self.board.config
            if config is None or not config.declaration.pools:
                continue
            await self._update_max_loads()
            await self.send_due_orders()

    async def _update_max_loads(self) -> None:
        if self.weights is None:
            self.max_loads = UNLIMITED_LOADS
            return
        try:
            self.max_loads = await self.weights.fetch_limit()
        except errors.PlatformUnavailable:
            self.max_loads = min(self.max_loads, DEFAULT_LOADS)

    def may_send_orders(self) -> bool:
        """Whether this entry VM knows the newest document."""
        return self.board.is_fresh(self.clock.now_ms())

    async def send_due_orders(self) -> None:
        """Order every endpoint of this entry VM that is out of date."""
        config = self.board.config
        if config is None or not self.may_send_orders():
            return
        remaining_loads = self.max_loads
        async with trio.open_nursery() as nursery:
            for pool in config.declaration.pools:
                order = orders.make_order(
                    config.revision, pool, list_withdrawn(config)
                )
                members = self._list_members(pool.name)
                chosen, silent_names = orders.choose_changing(
                    pool, order, self._make_statuses(members), remaining_loads
                )
                remaining_loads -= len(chosen)
                if silent_names:
                    events.log_event(
                        events.Event.ORDERS_HELD,
                        pool=pool.name,
                        silent=silent_names,
                    )
                for endpoint in members:
                    if self._is_responsible(endpoint):
                        nursery.start_soon(
                            self.order_endpoint,
                            endpoint,
                            order,
                            endpoint.name in chosen,
                            pool.checks_fencing,
                        )

    def _list_members(self, pool: str) -> list[blackboard_module.Endpoint]:
        return [
            endpoint
            for endpoint in self.board.endpoints.values()
            if endpoint.pool == pool and not endpoint.leaving
        ]

    def _make_statuses(
        self, members: list[blackboard_module.Endpoint]
    ) -> list[orders.EndpointStatus]:
        now = self.clock.now_ms()
        return [
            orders.EndpointStatus(
                name=endpoint.name,
                versions=endpoint.versions,
                silent=now - endpoint.reported_ms > SILENT_AFTER_MS,
            )
            for endpoint in members
        ]

    def _is_responsible(self, endpoint: blackboard_module.Endpoint) -> bool:
        now = self.clock.now_ms()
        own_domain = self.board.failure_domain
        names = [
            vm.name
            for vm in self.board.entry_vms.values()
            if vm.failure_domain == endpoint.failure_domain
            and not vm.leaving
            and now - vm.last_heard_ms < ALIVE_WITHIN_MS
        ]
        if own_domain == endpoint.failure_domain:
            names.append(self.board.name)
        return orders.choose_sender(endpoint.name, names) == self.board.name

    async def order_endpoint(
        self,
        endpoint: blackboard_module.Endpoint,
        order: orders.Order,
        may_change: bool,
        is_fenced: bool,
    ) -> None:
        """Read an endpoint's state, and send the order if it is behind."""
        read_ms = self.clock.now_ms()
        try:
            current = await self.client.fetch(endpoint)
            if not orders.is_due(order, current, may_change):
                return
            until_ms = read_ms + (
                MAX_STATE_AGE_MS if is_fenced else MAX_UNFENCED_STATE_AGE_MS
            )
            accepted = await self.client.send(
                endpoint, order, lambda: self._is_still_valid(order, until_ms)
            )
        except errors.EndpointError:
            # The order may have been accepted and its answer lost; the next
            # round reads the state again before it sends anything.
            return
        event = events.Event
        events.log_event(
            event.ORDER_SENT if accepted else event.ORDER_REFUSED,
            endpoint=endpoint.name,
            fencing=order.fencing,
            versions=order.versions,
        )

    def _is_still_valid(self, order: orders.Order, until_ms: float) -> bool:
        """Check again right before the first byte is sent, after any pause."""
        config = self.board.config
        if config is None or config.revision != order.fencing:
            return False
        if self.clock.now_ms() > until_ms:
            return False
        return self.may_send_orders()


def list_withdrawn(config: blackboard_module.ConfigInForce) -> set[str]:
    """Versions that no endpoint needs any more."""
    withdrawn = declaration.VersionState.WITHDRAWN
    return {v.name for v in config.versions.values() if v.state is withdrawn}
