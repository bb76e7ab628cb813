"""Says why no endpoint takes a request, and when callers may come back."""

from carawayward.forwarding import fleet as fleet_module
from carawayward.forwarding import replies

# Retry-After while it is unknown when an endpoint will be free: a new endpoint
# is known from the registry within about a second.
DEFAULT_RETRY_AFTER_MS = 1_000.0
# Retries reach other entry VMs, for which an endpoint may be available sooner.
MAX_RETRY_AFTER_MS = 5_000.0


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
