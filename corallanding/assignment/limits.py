"""Thresholds that more than one part of the assigner uses. `docs/design.md` says what each guards against."""

FAILURE_MEMORY_MS = 6_000.0
"""How long a host that was found failing stays ineligible after the last sign of failure."""

SUSPECT_FAILURES = 4
"""Failed attempts in a row, without an answer between, that make a host suspect."""

OVERLOAD_RATIO = 0.5
"""Latency ratio (see `host_health.latency_ratio`) above which a host counts as overloaded."""

CALM_RATIO = OVERLOAD_RATIO / 2
"""Latency ratio below which a host, or the fleet's median host, shows no sign of load."""

OUTLIER_FACTOR = 2.0
"""A latency ratio over so many times the fleet's median is the host's own trouble, not one that all share."""

MAX_UTILIZATION = 1.1
"""A host is given slices up to this multiple of its fair load."""

SHED_UTILIZATION = 1.5
"""A host above this multiple of its fair load passes slices on before its answers are late."""

MAX_SLICES_PER_WINDOW = 3
"""Slices that a host is given within one window: a warming host at most so many, others so many off live owners."""

HOT_SLICE_SHARE = 0.5
"""A slice with more than this part of a host's fair load is shared with replicas, not moved, under overload."""
