"""What the state of a watch is told, what it asks of the registry, and what it reports to its owner."""

from __future__ import annotations

from dataclasses import dataclass

Key = bytes


@dataclass(frozen=True)
class ResponseHeader:
    """Every answer's: which cluster, and its revision when it answered."""

    cluster_id: int
    revision: int


@dataclass(frozen=True)
class KeyValue:
    """One key as of `revision`; value None: deleted."""

    key: Key
    value: bytes | None
    revision: int


# ---- asked of the registry ---------------------------------------------------------------------------------


@dataclass(frozen=True)
class ListPage:
    """Read a page of the prefix: keys from `after` on (exclusive, b"" is the start), at `revision` (0: now)."""

    after_key: Key = b""
    revision: int = 0


@dataclass(frozen=True)
class StartWatch:
    """Watch the prefix from `revision` on."""

    revision: int


@dataclass(frozen=True)
class Disconnect:
    """Give up the connection; `wait` ms, then connect again."""

    retry_after_ms: float
    reason: str


# ---- told to the owner -------------------------------------------------------------------------------------


@dataclass(frozen=True)
class ViewChange:
    """What changed, as one step. whole: by a full read, whose difference this is; else of one revision."""

    changes: tuple[KeyValue, ...]
    revision: int
    is_full_read: bool


@dataclass(frozen=True)
class LogMessage:
    text: str


WatchAction = ListPage | StartWatch | Disconnect | ViewChange | LogMessage


@dataclass(frozen=True)
class WatchLimits:
    """wait, wait_most: ms between tries, doubling, jittered. reads_per_min: full reads. page: keys a page."""

    min_backoff_ms: float = 100.0
    max_backoff_ms: float = 10_000.0
    max_full_reads_per_minute: float = 6.0
    page_size: int = 1_000
    max_keys: int = 1_000_000
    max_fragmented_changes: int = 1_000_000
