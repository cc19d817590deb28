"""Thresholds shared by several components of the assigner. `docs/design.md` explains what each guards against."""

FAILURE_MEMORY_MS = 6_000.0
"""How long a host that was found failing stays ineligible after its last recorded failure."""

SUSPECT_FAILURES = 4
"""Consecutive failed attempts, without an answered one in between, that make a host suspect."""

OVERLOAD_RATIO = 0.5
"""Latency ratio (see `host_health.latency_ratio`) above which a host counts as overloaded."""

CALM_RATIO = OVERLOAD_RATIO / 2
"""Latency ratio below which a host, or the fleet's median host, shows no sign of overload ("calm")."""

OUTLIER_FACTOR = 2.0
"""A latency ratio above this multiple of the fleet's median points to the host itself, not to a shared cause."""

MAX_UTILIZATION = 1.1
"""A host is assigned slices up to this multiple of its fair load."""

SHED_UTILIZATION = 1.5
"""A host above this multiple of its fair load sheds slices before its answers miss the latency objective."""

MAX_SLICES_PER_WINDOW = 3
"""Maximum number of slices that a host takes within one window.

It bounds all slices of a warming host, and those that other hosts take from owners that are still usable.
"""

HOT_SLICE_SHARE = 0.5
"""An overloaded host shares a slice above this share of its fair load with replicas instead of moving it."""
