"""Following one prefix of a registry: read it at a revision, watch from the next, through breaks and compactions.

Sans-I/O: what the registry says goes in, what is to be asked and what changed comes out. Every change is handed
out once, in the order of revisions, and a view is never set back: an answer from the past is refused, and asked
for again. Only a registry of another cluster id (restored from a backup) is started over with, and that is said.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .watch_messages import (
    Disconnect,
    Key,
    KeyValue,
    ListPage,
    LogMessage,
    ResponseHeader,
    StartWatch,
    ViewChange,
    WatchAction,
    WatchLimits,
)


@dataclass
class WatchState:
    """chance(): a number in [0, 1), from the owner's seed, to spread those that come back at once."""

    limits: WatchLimits
    random: Callable[[], float]
    view: dict[Key, KeyValue] = field(default_factory=dict)
    revision: int = 0  # all changes up to here were handed out
    cluster_id: int = 0
    phase: str = "down"  # "down", "listing" or "watching"
    failed_attempts: int = 0
    listed: dict[Key, KeyValue] = field(default_factory=dict)
    listed_revision: int = 0
    fragments: list[KeyValue] = field(default_factory=list)
    read_tokens: float = 0.0
    read_tokens_at_ms: float = 0.0

    def __post_init__(self) -> None:
        self.read_tokens = max(1.0, self.limits.max_full_reads_per_minute / 2)

    # ---- connection ------------------------------------------------------------------------------------

    def on_connected(self, now: float) -> list[WatchAction]:
        """A way to the registry is there: go on where it broke, or read all."""
        self.fragments = []
        if self.revision:
            self.phase = "watching"
            return [StartWatch(self.revision + 1)]
        return self.start_listing(now)

    def on_disconnected(self, now: float, why: str) -> list[WatchAction]:
        """The way is gone, or was given up. Nothing of a half-read page or fragment is used."""
        self.phase, self.listed, self.fragments = "down", {}, []
        # Full jitter: fifty that lost the same registry must not come back together.
        most = min(self.limits.max_backoff_ms, self.limits.min_backoff_ms * 2 ** min(self.failed_attempts, 20))
        self.failed_attempts += 1
        return [Disconnect(most * (0.1 + 0.9 * self.random()), why)]

    def start_listing(self, now: float) -> list[WatchAction]:
        """A full read, if the budget allows it now; else later."""
        rate = self.limits.max_full_reads_per_minute / 60_000.0
        self.read_tokens = min(
            max(1.0, self.limits.max_full_reads_per_minute / 2),
            self.read_tokens + (now - self.read_tokens_at_ms) * rate,
        )
        self.read_tokens_at_ms = now
        if self.read_tokens < 1.0:
            self.phase = "down"
            return [Disconnect((1.0 - self.read_tokens) / rate, "full reads are bounded")]
        self.read_tokens -= 1.0
        self.phase, self.listed, self.listed_revision = "listing", {}, 0
        return [ListPage()]

    def check_cluster(self, now: float, header: ResponseHeader) -> list[WatchAction] | None:
        """Checks who answers. None: go on. Else what to do instead of using the answer."""
        if not self.cluster_id:
            self.cluster_id = header.cluster_id
        if header.cluster_id != self.cluster_id:
            say = LogMessage(f"another cluster ({header.cluster_id:x} after {self.cluster_id:x}): starting over")
            self.cluster_id, self.revision = header.cluster_id, 0
            self.phase, self.fragments = "listing", []
            return [say, *self.start_listing(now)]
        return None

    # ---- a full read -----------------------------------------------------------------------------------

    def on_page(self, now: float, header: ResponseHeader, rows: Sequence[KeyValue], more: bool) -> list[WatchAction]:
        """A page of a full read has come."""
        if self.phase != "listing":
            return []
        if instead := self.check_cluster(now, header):
            return instead
        if header.revision < max(self.revision, self.listed_revision):
            # A member that lags behind: what it says would undo what is known.
            return self.on_disconnected(now, f"answer of revision {header.revision}, {self.revision} is known")
        if not self.listed_revision:
            self.listed_revision = header.revision  # all pages are read at the first one's revision
        for row in rows:
            self.listed[row.key] = row
        if len(self.listed) > self.limits.max_keys:
            return self.on_disconnected(now, f"more than {self.limits.max_keys} keys")
        if more and rows:
            return [ListPage(rows[-1].key, self.listed_revision)]
        self.failed_attempts = 0
        new, self.listed = self.listed, {}
        at = self.listed_revision
        changed = [r for r in new.values() if self.view.get(r.key) != r]
        changed += [KeyValue(k, None, at) for k in self.view if k not in new]
        self.view, self.revision, self.phase = new, at, "watching"
        delta = [ViewChange(tuple(sorted(changed, key=lambda r: (r.revision, r.key))), at, True)] if changed else []
        return [*delta, StartWatch(at + 1)]

    def on_page_compacted(self, now: float) -> list[WatchAction]:
        """The revision that a page was asked at is compacted away meanwhile: read again from the start."""
        return self.start_listing(now) if self.phase == "listing" else []

    # ---- a watch ---------------------------------------------------------------------------------------

    def on_changes(
        self, now: float, header: ResponseHeader, rows: Sequence[KeyValue], fragment: bool = False
    ) -> list[WatchAction]:
        """Changes have come, in order; `fragment`: more of the same answer follow."""
        if self.phase != "watching":
            return []
        if instead := self.check_cluster(now, header):
            return instead
        self.failed_attempts = 0
        self.fragments += rows
        if fragment:
            if len(self.fragments) > self.limits.max_fragmented_changes:
                return self.on_disconnected(
                    now, f"more than {self.limits.max_fragmented_changes} changes in one answer"
                )
            return []
        rows, self.fragments = self.fragments, []
        out: list[WatchAction] = []
        at = 0
        for row in rows:
            if row.revision < at:
                return [*out, *self.on_disconnected(now, f"revision {row.revision} after {at}: out of order")]
            at = row.revision
        steps: dict[int, dict[Key, KeyValue]] = {}
        for row in rows:
            if row.revision > self.revision:  # else it was handed out before the way broke
                steps.setdefault(row.revision, {})[row.key] = row
        for revision, changed in steps.items():
            real = []
            for row in changed.values():
                if row.value is not None:
                    self.view[row.key] = row
                    real.append(row)
                elif self.view.pop(row.key, None):
                    real.append(row)
            self.revision = revision
            if len(self.view) > self.limits.max_keys:
                return [*out, *self.on_disconnected(now, f"more than {self.limits.max_keys} keys")]
            if real:
                out.append(ViewChange(tuple(real), revision, False))
        return out

    def on_progress(self, now: float, header: ResponseHeader) -> list[WatchAction]:
        """All changes up to the header's revision were sent: a resume may begin after it."""
        if self.phase != "watching":
            return []
        if instead := self.check_cluster(now, header):
            return instead
        self.failed_attempts = 0
        if not self.fragments and header.revision > self.revision:
            self.revision = header.revision
        return []

    def on_watch_created(self, now: float, header: ResponseHeader) -> list[WatchAction]:
        """The watch stands. A member that has not even our revision will send nothing of the past: it may stay."""
        if self.phase != "watching":
            return []
        return self.check_cluster(now, header) or []

    def on_watch_cancelled(
        self, now: float, header: ResponseHeader | None, compacted: int, why: str
    ) -> list[WatchAction]:
        """The registry ended the watch. compacted: the oldest revision that it still has, 0 if that is not why."""
        if self.phase != "watching":
            return []
        self.fragments = []
        if header and (instead := self.check_cluster(now, header)):
            return instead
        if compacted > self.revision:
            return [
                LogMessage(f"revision {self.revision} is compacted away ({compacted}): full read"),
                *self.start_listing(now),
            ]
        return self.on_disconnected(now, f"watch cancelled: {why}")
