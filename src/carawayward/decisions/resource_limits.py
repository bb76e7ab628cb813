"""Divides a machine's memory and descriptors among the uses of a process.

Load: more connections or buffered bytes than the machine bears. Prevented
failure: none is left for endpoints, the store, peers and files.
"""

import attrs

# The rest is for the process itself and for what its objects take besides.
BUFFERED_SHARE = 0.2
DEFAULT_BUFFERED_BYTES = 32 * 1_048_576
MAX_BUFFERED_BYTES = 256 * 1_048_576
# Connections of callers, with what the kernel receives on each before it is
# read.
CONNECTIONS_SHARE = 0.3
CONNECTION_BYTES = 65_536
# Kept back for the store, files, and the listeners of readiness and metrics.
RESERVED_SHARE = 0.1
MIN_RESERVED = 24
# Connections of peers; each request on one takes a second descriptor.
PEERS_SHARE = 0.1
MAX_PEER_CONNECTIONS = 200
MAX_OTHER_CONNECTIONS = 16
# Where the process has no limit.
MAX_DESCRIPTORS = 65_536


@attrs.frozen
class ConnectionLimits:
    """How many connections listeners accept.

    ``callers`` and ``peers`` leave an endpoint's descriptor for each;
    ``others`` is for each listener of readiness or metrics.
    """

    callers: int
    peers: int
    others: int = MAX_OTHER_CONNECTIONS


def compute_buffered_bytes(memory_mb: float) -> int:
    """How many bytes clients and endpoints may fill; 0 MB is not known."""
    if not memory_mb:
        return DEFAULT_BUFFERED_BYTES
    share = int(memory_mb * 1e6 * BUFFERED_SHARE)
    return min(share, MAX_BUFFERED_BYTES)


def divide_descriptors(
    descriptors: int, memory_mb: float = 0.0
) -> ConnectionLimits:
    """Divide the descriptors of a process; 0 MB is not known."""
    descriptors = min(descriptors, MAX_DESCRIPTORS)
    reserved = max(MIN_RESERVED, int(descriptors * RESERVED_SHARE))
    peers = min(MAX_PEER_CONNECTIONS, int(descriptors * PEERS_SHARE))
    callers = (descriptors - reserved - 2 * peers) // 2
    if memory_mb:
        share = memory_mb * 1e6 * CONNECTIONS_SHARE
        callers = min(callers, int(share / CONNECTION_BYTES))
    return ConnectionLimits(callers=max(1, callers), peers=max(1, peers))
