"""Keeps a copy of one prefix of a registry: list it at a revision, then watch from the next one. No I/O.

The input is the registry's responses; the output is requests to it and changes of the copy. Every change is reported
once, in revision order, across disconnections and compactions. The copy never goes back to an older revision: a
response of an older one is rejected and requested again. Only if the cluster id changes (a registry restored from a
backup) is everything listed again, which is logged.
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
MIN_JITTER = 0.1  # smallest fraction of a backoff
MS_PER_MINUTE = 60_000.0
WATCHING = WatchPhase.WATCHING  # used for every change; a global is faster than an enum attribute


@dataclass
class WatchState:
    """The copy (`view`) as of `revision`, up to which all changes were reported.

    random: returns numbers in [0, 1) for the jitter that spreads the reconnections of many clients. read_tokens: how
    many full reads may start now (a token bucket). listed, listed_revision: the keys of the current full read so far,
    and its revision.
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

    def on_connected(self, now_ms: float) -> list[WatchAction]:
        """Start on a new connection: watch from the last known revision, or list everything."""
        self.fragments = []
        if self.revision:
            self.phase = WatchPhase.WATCHING
            return [StartWatch(self.revision + 1)]
        return self._start_listing(now_ms)

    def on_disconnected(self, reason: str) -> list[WatchAction]:
        """Back off after a lost or abandoned connection. Incomplete listings and fragments are discarded."""
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
        self, now_ms: float, header: ResponseHeader, page: Sequence[KeyValue], *, has_more: bool
    ) -> list[WatchAction]:
        """Handle a page of a full read."""
        if self.phase is not WatchPhase.LISTING:
            return []
        if restart := self._check_cluster(now_ms, header):
            return restart
        if header.revision < max(self.revision, self.listed_revision):
            # The response of a lagging member would undo changes that were already reported.
            return self.on_disconnected(
                f"stale response of revision {header.revision}; revision {self.revision} is known"
            )
        if not self.listed_revision:
            self.listed_revision = header.revision  # all pages are read at the revision of the first one
        for key_value in page:
            self.listed[key_value.key] = key_value
        if len(self.listed) > self.limits.max_keys:
            return self._too_many_keys()
        if has_more and page:
            return [ListPage(page[-1].key, self.listed_revision)]
        return self._finish_listing()

    def on_page_compacted(self, now_ms: float) -> list[WatchAction]:
        """Restart the full read: the revision of its first page was compacted."""
        return self._start_listing(now_ms) if self.phase is WatchPhase.LISTING else []

    # ---- a watch -----------------------------------------------------------------------------------------------------

    def on_watch_created(self, now_ms: float, header: ResponseHeader) -> list[WatchAction]:
        """Handle the creation of the watch. A lagging member may serve it: a watch sends no older changes."""
        if self.phase is not WATCHING:
            return []
        return self._check_cluster(now_ms, header)

    def on_changes(
        self, now_ms: float, header: ResponseHeader, changes: Sequence[KeyValue], *, is_fragment: bool = False
    ) -> list[WatchAction]:
        """Handle changes, in revision order. is_fragment: more changes of the same response follow."""
        if self.phase is not WATCHING:
            return []
        if restart := self._check_cluster(now_ms, header):
            return restart
        self.failed_attempts = 0
        self.fragments += changes
        if not is_fragment:
            complete = self.fragments
            self.fragments = []
            return self._apply_changes(complete)
        if len(self.fragments) > self.limits.max_fragmented_changes:
            return self.on_disconnected(f"more than {self.limits.max_fragmented_changes} changes in one response")
        return []

    def on_progress(self, now_ms: float, header: ResponseHeader) -> list[WatchAction]:
        """Record that all changes up to the header's revision were sent: a later watch may start after it."""
        if self.phase is not WATCHING:
            return []
        if restart := self._check_cluster(now_ms, header):
            return restart
        self.failed_attempts = 0
        if not self.fragments and header.revision > self.revision:
            self.revision = header.revision
        return []

    def on_watch_cancelled(
        self, now_ms: float, header: ResponseHeader | None, compact_revision: int, reason: str
    ) -> list[WatchAction]:
        """Handle the end of the watch. compact_revision: the oldest available, 0 if compaction is not the reason."""
        if self.phase is not WATCHING:
            return []
        self.fragments = []
        if header and (restart := self._check_cluster(now_ms, header)):
            return restart
        if compact_revision > self.revision:
            message = LogMessage(f"revision {self.revision} is compacted away (oldest: {compact_revision}): full read")
            return [message, *self._start_listing(now_ms)]
        return self.on_disconnected(f"watch cancelled: {reason}")

    # ---- helpers -----------------------------------------------------------------------------------------------------

    @property
    def _max_read_tokens(self) -> float:
        return max(1.0, self.limits.max_full_reads_per_minute / 2)

    def _start_listing(self, now_ms: float) -> list[WatchAction]:
        """Start a full read, or wait until the rate limit of full reads allows it."""
        tokens_per_ms = self.limits.max_full_reads_per_minute / MS_PER_MINUTE
        refilled = self.read_tokens + (now_ms - self.read_tokens_at_ms) * tokens_per_ms
        self.read_tokens = min(self._max_read_tokens, refilled)
        self.read_tokens_at_ms = now_ms
        if self.read_tokens < 1.0:
            self.phase = WatchPhase.DISCONNECTED
            return [Disconnect((1.0 - self.read_tokens) / tokens_per_ms, "rate limit of full reads reached")]
        self.read_tokens -= 1.0
        self.phase = WatchPhase.LISTING
        self.listed = {}
        self.listed_revision = 0
        return [ListPage()]

    def _check_cluster(self, now_ms: float, header: ResponseHeader) -> list[WatchAction]:
        """Return [] for a response of the known cluster; otherwise discard the response and return a new full read."""
        if not self.cluster_id:
            self.cluster_id = header.cluster_id
        if header.cluster_id == self.cluster_id:
            return []
        message = LogMessage(
            f"another cluster responded ({header.cluster_id:x}, before {self.cluster_id:x}): full read"
        )
        self.cluster_id = header.cluster_id
        self.revision = 0
        self.phase = WatchPhase.LISTING
        self.fragments = []
        return [message, *self._start_listing(now_ms)]

    def _finish_listing(self) -> list[WatchAction]:
        """Replace the view by the listed keys, report the difference, and watch from the next revision."""
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

    def _apply_changes(self, changes: list[KeyValue]) -> list[WatchAction]:
        """Apply the changes of a complete response, and report them revision by revision."""
        reported_revision = self.revision
        previous_revision = 0
        by_revision: dict[int, dict[Key, KeyValue]] = {}
        for change in changes:
            revision = change.revision
            if revision < previous_revision:
                return self.on_disconnected(f"revision {revision} after {previous_revision}: out of order")
            previous_revision = revision
            if revision > reported_revision:  # older ones were already reported
                by_revision.setdefault(revision, {})[change.key] = change
        actions: list[WatchAction] = []
        for revision, changes_by_key in by_revision.items():
            effective = self._apply_to_view(changes_by_key.values())
            self.revision = revision
            if len(self.view) > self.limits.max_keys:
                return [*actions, *self._too_many_keys()]
            if effective:
                actions.append(ViewChange(tuple(effective), revision, is_full_read=False))
        return actions

    def _apply_to_view(self, changes: Iterable[KeyValue]) -> list[KeyValue]:
        """Apply changes to the view, and return them without deletions of missing keys."""
        effective = []
        for change in changes:
            if change.value is not None:
                self.view[change.key] = change
            elif self.view.pop(change.key, None) is None:
                continue
            effective.append(change)
        return effective

    def _too_many_keys(self) -> list[WatchAction]:
        return self.on_disconnected(f"the prefix has more than {self.limits.max_keys} keys")
