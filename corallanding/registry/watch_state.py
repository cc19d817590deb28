"""Keeps a copy of one prefix of a registry: list it at a revision, then watch from the next one. No I/O.

Answers of the registry go in; requests to it and changes of the copy come out. Every change is reported once, in the
order of revisions, over disconnections and compactions. The copy never goes back: an answer of an older revision is
refused and requested again. Only a registry with another cluster id (one restored from a backup) is listed anew, which
is logged.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
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
    WatchPhase,
)

MAX_BACKOFF_DOUBLINGS = 20
MIN_JITTER = 0.1  # the smallest fraction of a backoff that is waited
MS_PER_MINUTE = 60_000.0
WATCHING = WatchPhase.WATCHING  # asked at every change; looking a member up in its enum takes longer


@dataclass
class WatchState:
    """The copy (`view`) as of `revision`, up to which all changes were reported.

    random: returns numbers in [0, 1), by which reconnections of many clients are spread. read_tokens: how many full
    reads may begin now (a token bucket). listed, listed_revision: the pages of a full read so far.
    """

    limits: WatchLimits
    random: Callable[[], float]
    view: dict[Key, KeyValue] = field(default_factory=dict)
    revision: int = 0
    cluster_id: int = 0
    phase: WatchPhase = WatchPhase.DISCONNECTED
    failed_attempts: int = 0
    listed: dict[Key, KeyValue] = field(default_factory=dict)
    listed_revision: int = 0
    fragments: list[KeyValue] = field(default_factory=list)
    read_tokens: float = 0.0
    read_tokens_at_ms: float = 0.0

    def __post_init__(self) -> None:
        self.read_tokens = self._max_read_tokens

    # ---- the connection ----------------------------------------------------------------------------------------------

    def on_connected(self, now: float) -> list[WatchAction]:
        """Begin on a new connection: watch from where the last one ended, or list everything."""
        self.fragments = []
        if self.revision:
            self.phase = WatchPhase.WATCHING
            return [StartWatch(self.revision + 1)]
        return self._start_listing(now)

    def on_disconnected(self, reason: str) -> list[WatchAction]:
        """Note that the connection is lost or given up. Incomplete listings and fragments are discarded."""
        self.phase = WatchPhase.DISCONNECTED
        self.listed = {}
        self.fragments = []
        doublings = min(self.failed_attempts, MAX_BACKOFF_DOUBLINGS)
        backoff_ms = min(self.limits.max_backoff_ms, self.limits.min_backoff_ms * 2**doublings)
        self.failed_attempts += 1
        jitter = MIN_JITTER + (1.0 - MIN_JITTER) * self.random()
        return [Disconnect(backoff_ms * jitter, reason)]

    # ---- a full read -------------------------------------------------------------------------------------------------

    def on_page(
        self, now: float, header: ResponseHeader, page: Sequence[KeyValue], *, has_more: bool
    ) -> list[WatchAction]:
        """Take a page of a full read."""
        if self.phase is not WatchPhase.LISTING:
            return []
        if restart := self._check_cluster(now, header):
            return restart
        if header.revision < max(self.revision, self.listed_revision):
            # A member that lags behind: its answer would undo changes that are known.
            return self.on_disconnected(f"answer of revision {header.revision}, {self.revision} is known")
        if not self.listed_revision:
            self.listed_revision = header.revision  # all pages are read at the revision of the first one
        for key_value in page:
            self.listed[key_value.key] = key_value
        if len(self.listed) > self.limits.max_keys:
            return self._too_many_keys()
        if has_more and page:
            return [ListPage(page[-1].key, self.listed_revision)]
        return self._finish_listing()

    def on_page_compacted(self, now: float) -> list[WatchAction]:
        """Begin the full read again: the revision of its first page was compacted away."""
        return self._start_listing(now) if self.phase is WatchPhase.LISTING else []

    # ---- a watch -----------------------------------------------------------------------------------------------------

    def on_watch_created(self, now: float, header: ResponseHeader) -> list[WatchAction]:
        """Note that the registry serves the watch. A member that lags behind may: it sends nothing of the past."""
        if self.phase is not WATCHING:
            return []
        return self._check_cluster(now, header)

    def on_changes(
        self, now: float, header: ResponseHeader, changes: Sequence[KeyValue], *, is_fragment: bool = False
    ) -> list[WatchAction]:
        """Take changes, in order. is_fragment: more changes of the same answer follow."""
        if self.phase is not WATCHING:
            return []
        if restart := self._check_cluster(now, header):
            return restart
        self.failed_attempts = 0
        self.fragments += changes
        if not is_fragment:
            complete = self.fragments
            self.fragments = []
            return self._apply(complete)
        if len(self.fragments) > self.limits.max_fragmented_changes:
            return self.on_disconnected(f"more than {self.limits.max_fragmented_changes} changes in one answer")
        return []

    def on_progress(self, now: float, header: ResponseHeader) -> list[WatchAction]:
        """Note that all changes up to the header's revision were sent: a later watch may begin after it."""
        if self.phase is not WATCHING:
            return []
        if restart := self._check_cluster(now, header):
            return restart
        self.failed_attempts = 0
        if not self.fragments and header.revision > self.revision:
            self.revision = header.revision
        return []

    def on_watch_cancelled(
        self, now: float, header: ResponseHeader | None, compact_revision: int, reason: str
    ) -> list[WatchAction]:
        """Note that the registry ended the watch. compact_revision: the oldest one it has, 0 if that is not why."""
        if self.phase is not WATCHING:
            return []
        self.fragments = []
        if header and (restart := self._check_cluster(now, header)):
            return restart
        if compact_revision > self.revision:
            message = LogMessage(f"revision {self.revision} is compacted away ({compact_revision}): full read")
            return [message, *self._start_listing(now)]
        return self.on_disconnected(f"watch cancelled: {reason}")

    # ---- steps -------------------------------------------------------------------------------------------------------

    @property
    def _max_read_tokens(self) -> float:
        return max(1.0, self.limits.max_full_reads_per_minute / 2)

    def _start_listing(self, now: float) -> list[WatchAction]:
        """Begin a full read, or wait until the bound on full reads allows it."""
        tokens_per_ms = self.limits.max_full_reads_per_minute / MS_PER_MINUTE
        refilled = self.read_tokens + (now - self.read_tokens_at_ms) * tokens_per_ms
        self.read_tokens = min(self._max_read_tokens, refilled)
        self.read_tokens_at_ms = now
        if self.read_tokens < 1.0:
            self.phase = WatchPhase.DISCONNECTED
            return [Disconnect((1.0 - self.read_tokens) / tokens_per_ms, "full reads are bounded")]
        self.read_tokens -= 1.0
        self.phase = WatchPhase.LISTING
        self.listed = {}
        self.listed_revision = 0
        return [ListPage()]

    def _check_cluster(self, now: float, header: ResponseHeader) -> list[WatchAction]:
        """Nothing if the known cluster answered; else what to do instead of using the answer."""
        if not self.cluster_id:
            self.cluster_id = header.cluster_id
        if header.cluster_id == self.cluster_id:
            return []
        message = LogMessage(f"another cluster ({header.cluster_id:x} after {self.cluster_id:x}): starting over")
        self.cluster_id = header.cluster_id
        self.revision = 0
        self.phase = WatchPhase.LISTING
        self.fragments = []
        return [message, *self._start_listing(now)]

    def _finish_listing(self) -> list[WatchAction]:
        """Replace the view by what was listed, report the difference, and watch from there."""
        self.failed_attempts = 0
        view = self.listed
        revision = self.listed_revision
        changes = [key_value for key_value in view.values() if self.view.get(key_value.key) != key_value]
        changes += [KeyValue(key, None, revision) for key in self.view if key not in view]
        changes.sort(key=lambda change: (change.revision, change.key))
        self.listed = {}
        self.view = view
        self.revision = revision
        self.phase = WatchPhase.WATCHING
        start = StartWatch(revision + 1)
        return [ViewChange(tuple(changes), revision, is_full_read=True), start] if changes else [start]

    def _apply(self, changes: list[KeyValue]) -> list[WatchAction]:
        """Apply the changes of a whole answer, and report them revision by revision."""
        reported = self.revision
        previous = 0
        by_revision: dict[int, dict[Key, KeyValue]] = {}
        for change in changes:
            revision = change.revision
            if revision < previous:
                return self.on_disconnected(f"revision {revision} after {previous}: out of order")
            previous = revision
            if revision > reported:  # older ones were reported before the connection was lost
                by_revision.setdefault(revision, {})[change.key] = change
        actions: list[WatchAction] = []
        for revision, changes_by_key in by_revision.items():
            effective = self._store(changes_by_key.values())
            self.revision = revision
            if len(self.view) > self.limits.max_keys:
                return [*actions, *self._too_many_keys()]
            if effective:
                actions.append(ViewChange(tuple(effective), revision, is_full_read=False))
        return actions

    def _store(self, changes: Iterable[KeyValue]) -> list[KeyValue]:
        """Put changes into the view, and return them without deletions of keys that are not there."""
        effective = []
        for change in changes:
            if change.value is not None:
                self.view[change.key] = change
            elif self.view.pop(change.key, None) is None:
                continue
            effective.append(change)
        return effective

    def _too_many_keys(self) -> list[WatchAction]:
        return self.on_disconnected(f"more than {self.limits.max_keys} keys")
