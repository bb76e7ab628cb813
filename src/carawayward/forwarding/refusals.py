"""Ends requests that no endpoint serves, and says when to come back."""

from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import hops
from carawayward.forwarding import replies
from carawayward.forwarding import work_items

# Retry-After while it is unknown when an endpoint will be free: a new endpoint
# is known from the registry within about a second.
DEFAULT_RETRY_AFTER_MS = 1_000.0
# Retries reach other entry VMs, for which an endpoint may be available sooner.
MAX_RETRY_AFTER_MS = 5_000.0
# The cause of refusals by an entry VM that stops before the request would end.
LEAVING = "leaving"


def explain_shortage(fleet: fleet_module.Fleet, service: str) -> str:
    """Return why no endpoint of a service takes a request now."""
    if fleet.compute_wait_ms(service) is None:
        return "no endpoint"
    return "endpoints rest or are limited"


def compute_retry_after_ms(fleet: fleet_module.Fleet, service: str) -> float:
    """Return when the first endpoint of a service takes a request, in ms.

    The jitter that is added to Retry-After does not bring callers back before.
    """
    wait_ms = fleet.compute_wait_ms(service)
    if wait_ms is None:
        return DEFAULT_RETRY_AFTER_MS
    return min(wait_ms / replies.RETRY_AFTER_JITTER[0], MAX_RETRY_AFTER_MS)


async def send_final_failure(
    work: work_items.Work,
    reply: replies.Reply,
    cause: str,
    retry_after_ms: float,
    internal_headers: frozenset[bytes],
) -> int:
    """Send the final reply to a request whose attempts have failed.

    If the last failed attempt has a response, that is relayed. Otherwise 503
    says that the request has not run, 502 or 504 that it may have. Returns
    the status, 0 for a reply that has begun: an unfinished body shows the
    caller that it is truncated.
    """
    if reply.started:
        return 0
    failure = work.failure
    if failure is not None and failure.head is not None:
        headers = hops.select_response_headers(
            failure.head.headers, internal_headers
        )
        status = failure.head.status
        await replies.send_response(reply, status, headers, failure.body)
    elif work.may_have_run:
        status = 504 if cause == "deadline" else 502
        await replies.send_response(reply, status, [], b"")
    else:
        status = 503
        await replies.refuse(reply, status, retry_after_ms)
    return status
