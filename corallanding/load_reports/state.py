"""The state of load reports, which is handed over to the successor process together with the intake's socket.

No I/O. Times are in ms on the controller's clock, which the successor continues.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

import msgspec

from .host_load import HostLoad, ReportCounts
from .load_estimator import LoadEstimator


class FeedState(msgspec.Struct):
    """The state of the feed. intake_digest: digest of the settings that the intake was started with."""

    intake_digest: str = msgspec.field(name="intake")
    process_id: int = msgspec.field(name="process")
    port: int = msgspec.field(name="port")
    partial_message: bytes = msgspec.field(name="held")
    hosts: dict[int, HostLoad] = msgspec.field(name="hosts")
    nonces: list[tuple[bytes, float]] = msgspec.field(name="ticks")
    counts: ReportCounts = msgspec.field(name="counts")
    updated_at_ms: float = msgspec.field(name="turned_at")
    intake_counts: dict[str, int] = msgspec.field(name="reported")


def settings_digest(settings: dict[str, Any]) -> str:
    """Return a digest of an intake's settings, including its key; the key itself is not handed over."""
    return hashlib.sha256(json.dumps(settings, sort_keys=True).encode()).hexdigest()


def capture_state(
    estimator: LoadEstimator,
    intake_digest: str,
    process_id: int,
    port: int,
    partial_message: bytes,
    intake_counts: dict[str, int],
) -> FeedState:
    """Return the state of the feed and of its estimator."""
    return FeedState(
        intake_digest,
        process_id,
        port,
        partial_message,
        estimator.hosts,
        list(estimator.nonces.items()),
        estimator.counts,
        estimator.updated_at_ms,
        intake_counts,
    )


def restore_state(estimator: LoadEstimator, state: FeedState) -> None:
    """Set a new estimator to the captured state."""
    estimator.hosts = dict(state.hosts)
    estimator.nonces = dict(state.nonces)
    estimator.counts = state.counts
    estimator.updated_at_ms = state.updated_at_ms
