"""The messages of a watch: the registry's responses, the requests to it, and the reports to the owner of the watch."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

Key = bytes


class WatchPhase(StrEnum):
    """The state of a watch: without connection, in a full read, or watching."""

    DISCONNECTED = "disconnected"
    LISTING = "listing"
    WATCHING = "watching"


@dataclass(frozen=True)
class ResponseHeader:
    """The sender of a response: the cluster id, and the revision of the member at that time."""

    cluster_id: int
    revision: int


@dataclass(frozen=True)
class KeyValue:
    """One key as of `revision`; a value of None means that it was deleted."""

    key: Key
    value: bytes | None
    revision: int


# ---- requests to the registry --------------------------------------------------------------------------------------


@dataclass(frozen=True)
class ListPage:
    """Read a page of the prefix: keys after `after_key` (b"": from the first one), at `revision` (0: the latest)."""

    after_key: Key = b""
    revision: int = 0


@dataclass(frozen=True)
class StartWatch:
    """Watch the prefix, starting at `revision`."""

    revision: int


@dataclass(frozen=True)
class Disconnect:
    """Close the connection, and open another after `retry_after_ms`."""

    retry_after_ms: float
    reason: str


# ---- reports to the owner ------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class ViewChange:
    """The changes of one revision or, with `is_full_read`, the differences of a full read from the previous view."""

    changes: tuple[KeyValue, ...]
    revision: int
    is_full_read: bool


@dataclass(frozen=True)
class LogMessage:
    """A log text for operators."""

    text: str


WatchRequest = ListPage | StartWatch | Disconnect
WatchAction = WatchRequest | ViewChange | LogMessage


@dataclass(frozen=True)
class WatchLimits:
    """Limits of a watch. The backoff between connections doubles from the minimum to the maximum, with jitter."""

    min_backoff_ms: float = 100.0
    max_backoff_ms: float = 10_000.0
    max_full_reads_per_minute: float = 6.0
    page_size: int = 1_000
    max_keys: int = 1_000_000
    max_fragmented_changes: int = 1_000_000
