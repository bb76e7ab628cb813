"""Orders endpoints into the state that the document wants.

Orders are states, not steps, and carry the document's revision as fencing
number; so they may be sent twice, by two entry VMs, and after their answer
was lost. What is left open, and by what it is closed:

- An entry VM that is paused between its last check and the send wakes with
  an old order. An endpoint that checks numbers refuses it. One that does
  not takes it, and holds the old state until its orderer next reads it,
  ``INTERVAL_MS`` later, and loads again.
- An entry VM that is cut off from the log knows no newer document. It
  sends no orders at all while it is.
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
# An order whose grounds were read longer ago than this is not sent: the
# process was paused, or the endpoint was slow to answer.
GROUNDS_MS = 3_500.0
# Where nothing refuses an old order, grounds must be younger.
GROUNDS_UNCHECKED_MS = 1_000.0
SILENT_AFTER_MS = 10_000.0
HEARD_WITHIN_MS = 60_000.0
# Loads at once while the weight store has not said; one always fits.
LOADS_UNKNOWN = 1
NO_STORE = 1_000


@attrs.define
class OrdersController:
    """Sends the orders of the endpoints that fall to this entry VM."""

    board: blackboard_module.Blackboard
    clock: clock_module.Clock
    client: order_client.OrderClient
    weights: weights_module.WeightStore | None
    loads: int = LOADS_UNKNOWN

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        board: blackboard_module.Blackboard,
        clock: clock_module.Clock,
    ) -> "OrdersController":
        """Without a weight store, only the pools' own caps hold."""
        url = settings.platform.weights
        store = weights_module.WeightStore.from_config(url) if url else None
        return cls(board, clock, order_client.OrderClient(), store)

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to compare and to order."""
        nursery.start_soon(self._keep_ordering)

    async def close(self) -> None:
        """Close connections; the nursery ends the task."""
        if self.weights is not None:
            await self.weights.close()

    async def _keep_ordering(self) -> None:
        while True:
            await self.clock.sleep(INTERVAL_MS)
            config = self.board.config
            if config is None or not config.declaration.pools:
                continue
            await self._ask_store()
            await self.send_due_orders()

    async def _ask_store(self) -> None:
        if self.weights is None:
            self.loads = NO_STORE
            return
        try:
            self.loads = await self.weights.fetch_limit()
        except errors.PlatformUnavailable:
            self.loads = min(self.loads, LOADS_UNKNOWN)

    def may_order(self) -> bool:
        """Whether this entry VM knows the document in force."""
        return self.board.is_fresh(self.clock.now_ms())

    async def send_due_orders(self) -> None:
        """Order whatever of this entry VM's part is behind."""
        config = self.board.config
        if config is None or not self.may_order():
            return
        loads_left = self.loads
        async with trio.open_nursery() as nursery:
            for pool in config.declaration.pools:
                order = orders.make_order(
                    config.revision, pool, list_withdrawn(config)
                )
                members = self._list_members(pool.name)
                chosen, held_by = orders.choose_changing(
                    pool, order, self._describe(members), loads_left
                )
                loads_left -= len(chosen)
                if held_by:
                    events.log_event(
                        events.Event.ORDERS_HELD,
                        pool=pool.name,
                        silent=held_by,
                    )
                for endpoint in members:
                    if self._is_mine(endpoint):
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

    def _describe(
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

    def _is_mine(self, endpoint: blackboard_module.Endpoint) -> bool:
        now = self.clock.now_ms()
        here = self.board.failure_domain
        names = [
            vm.name
            for vm in self.board.entry_vms.values()
            if vm.failure_domain == endpoint.failure_domain
            and not vm.leaving
            and now - vm.last_heard_ms < HEARD_WITHIN_MS
        ]
        if here == endpoint.failure_domain:
            names.append(self.board.name)
        return orders.choose_sender(endpoint.name, names) == self.board.name

    async def order_endpoint(
        self,
        endpoint: blackboard_module.Endpoint,
        order: orders.Order,
        may_change: bool,
        checked: bool,
    ) -> None:
        """Read what an endpoint holds and order it if that is behind."""
        read_ms = self.clock.now_ms()
        try:
            current = await self.client.fetch(endpoint)
            if not orders.is_due(order, current, may_change):
                return
            until_ms = read_ms + (
                GROUNDS_MS if checked else GROUNDS_UNCHECKED_MS
            )
            taken = await self.client.send(
                endpoint, order, lambda: self._still_holds(order, until_ms)
            )
        except errors.EndpointError:
            # The answer may be lost and the order taken; the next round
            # reads it again before it sends anything.
            return
        event = events.Event
        events.log_event(
            event.ORDER_SENT if taken else event.ORDER_REFUSED,
            endpoint=endpoint.name,
            fencing=order.fencing,
            versions=order.versions,
        )

    def _still_holds(self, order: orders.Order, until_ms: float) -> bool:
        """Check again right before the first byte, after any pause."""
        config = self.board.config
        if config is None or config.revision != order.fencing:
            return False
        if self.clock.now_ms() > until_ms:
            return False
        return self.may_order()


def list_withdrawn(config: blackboard_module.ConfigInForce) -> set[str]:
    """Versions that no endpoint needs any more."""
    withdrawn = declaration.VersionState.WITHDRAWN
    return {v.name for v in config.versions.values() if v.state is withdrawn}
