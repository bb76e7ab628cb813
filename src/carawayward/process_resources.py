"""What the process may take of its machine, by its settings and limits."""

import resource

from carawayward import buffers
from carawayward.decisions import resource_limits
from carawayward import settings as settings_module


def make_account(
    resources: settings_module.Resources,
) -> buffers.BufferAccount:
    """Make the account of the bytes that clients and endpoints fill."""
    return buffers.BufferAccount(
        resource_limits.compute_buffered_bytes(resources.memory_mb)
    )


def find_connection_limits(
    resources: settings_module.Resources,
) -> resource_limits.ConnectionLimits:
    """Divide the descriptors of the settings, or of the process if fewer.

    A small memory allows fewer connections.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = resource_limits.MAX_DESCRIPTORS
    if resources.descriptors:
        limit = min(limit, resources.descriptors)
    return resource_limits.divide_descriptors(limit, resources.memory_mb)
