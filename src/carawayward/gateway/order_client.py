"""HTTP client for the orders that tell endpoints what to serve."""

import typing

import attrs

from carawayward import blackboard
from carawayward.decisions import orders
from carawayward import errors
from carawayward import http_client as http

TIMEOUT_MS = 3_000.0


@attrs.frozen
class OrderClient:
    """Reads and sends orders.

    Calls are rare, so each opens its own connection: an idle one may have
    gone silent, and an order must not wait on it.
    """

    async def fetch(self, endpoint: blackboard.Endpoint) -> orders.Order:
        """Fetch the order that an endpoint currently holds."""
        reply = await self._call(endpoint, "GET", None)
        try:
            return orders.Order(
                fencing=int(reply.body["fencing"]),
                versions=tuple(sorted(map(str, reply.body["versions"]))),
                role=str(reply.body["role"]),
            )
        except (KeyError, TypeError, ValueError) as cause:
            raise errors.EndpointError(
                endpoint.name, f"malformed order: {cause!r}", sent=True
            ) from cause

    async def send(
        self,
        endpoint: blackboard.Endpoint,
        order: orders.Order,
        may_send: typing.Callable[[], bool],
    ) -> bool:
        """Send an order; return False if its fencing number is outdated.

        ``may_send`` is called once the connection is open, right before the
        first byte is sent, so that a process which was paused until then
        sends no outdated order.

        Without an answer the order may have taken effect; the caller reads
        the endpoint's order again before it sends another.
        """
        body = attrs.asdict(order)
        reply = await self._call(endpoint, "PUT", body, may_send)
        return reply.status == 200

    async def _call(
        self,
        endpoint: blackboard.Endpoint,
        method: str,
        body: typing.Any,
        may_send: typing.Callable[[], bool] = lambda: True,
    ) -> http.Reply:
        client = http.PlatformClient(
            endpoint.name, f"http://{endpoint.address}"
        )
        try:
            reply = await client.call(
                method, "/order", body, TIMEOUT_MS, may_send
            )
        except errors.PlatformUnavailable as fault:
            raise errors.EndpointError(
                endpoint.name, str(fault), sent=fault.sent
            ) from fault
        finally:
            await client.close()
        if reply.status not in (200, 409):
            raise errors.EndpointError(
                endpoint.name, f"status {reply.status}", sent=True
            )
        return reply
