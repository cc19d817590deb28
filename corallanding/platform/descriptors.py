"""How many descriptors connections of peers that have not identified themselves may use."""

from __future__ import annotations

import resource

from .config import Config

RESERVED_DESCRIPTORS = 64  # descriptors for event loop, log, relay, discovery and health checks
MIN_UNIDENTIFIED = 16
MAX_UNIDENTIFIED = 256


def max_unidentified(config: Config) -> int:
    """Return the largest number of such connections, by the configured limit or that of the process."""
    max_sockets = config.max_sockets or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return max(MIN_UNIDENTIFIED, min(MAX_UNIDENTIFIED, max_sockets - 2 * RESERVED_DESCRIPTORS))
