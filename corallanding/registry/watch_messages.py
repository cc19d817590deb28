"""The messages of a watch: what the registry answers, what is requested of it, and what is reported to the owner."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

Key = bytes


class WatchPhase(StrEnum):
    """What a watch is waiting for."""

    DISCONNECTED = "disconnected"
    LISTING = "listing"
    WATCHING = "watching"


@dataclass(frozen=True)
class ResponseHeader:
    """What every answer says of its sender: the cluster, and the revision at which it answered."""

    cluster_id: int
    revision: int


@dataclass(frozen=True)
class KeyValue:
    """One key as of `revision`; a value of None says that it was deleted."""

    key: Key
    value: bytes | None
    revision: int


# ---- requested of the registry -------------------------------------------------------------------------------------


@dataclass(frozen=True)
class ListPage:
    """Read a page of the prefix: keys after `after_key` (b"": from the first one), at `revision` (0: the present)."""

    after_key: Key = b""
    revision: int = 0


@dataclass(frozen=True)
class StartWatch:
    """Watch the prefix from `revision` on."""

    revision: int


@dataclass(frozen=True)
class Disconnect:
    """Close the connection, and open another after `retry_after_ms`."""

    retry_after_ms: float
    reason: str


# ---- reported to the owner -----------------------------------------------------------------------------------------


@dataclass(frozen=True)
class ViewChange:
    """What changed in one step: in one revision or, with `is_full_read`, since the view before a full read."""

    changes: tuple[KeyValue, ...]
    revision: int
    is_full_read: bool


@dataclass(frozen=True)
class LogMessage:
    """Something that operators should know."""

    text: str


WatchRequest = ListPage | StartWatch | Disconnect
WatchAction = WatchRequest | ViewChange | LogMessage


@dataclass(frozen=True)
class WatchLimits:
    """Bounds of a watch. The backoff between connections doubles from the minimum to the maximum, with jitter."""

    min_backoff_ms: float = 100.0
    max_backoff_ms: float = 10_000.0
    max_full_reads_per_minute: float = 6.0
    page_size: int = 1_000
    max_keys: int = 1_000_000
    max_fragmented_changes: int = 1_000_000
