"""A model of a registry, and a search over everything that can happen to a watch of it."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from corallanding.registry.watch_messages import (
    Disconnect,
    KeyValue,
    ListPage,
    LogMessage,
    ResponseHeader,
    StartWatch,
    ViewChange,
    WatchLimits,
    WatchPhase,
)
from corallanding.registry.watch_state import WatchState

KEYS = [b"a", b"b", b"c", b"d", b"e"]
MAX_BACKOFF_MS = 10_000
PAGE_SIZE = 2


class RegistryModel:
    """Every revision's changes, and what is compacted away."""

    def __init__(self) -> None:
        self.cluster_id = 0xC1
        self.revision = 1
        self.compacted = 0
        self.history: dict[int, list[KeyValue]] = {}

    def put(self, changes: dict[bytes, bytes | None]) -> None:
        """Change keys in one revision, if anything changes; None deletes."""
        present = self.state(self.revision)
        effective = {key: value for key, value in changes.items() if value is not None or key in present}
        if effective:
            self.revision += 1
            self.history[self.revision] = [KeyValue(key, value, self.revision) for key, value in effective.items()]

    def state(self, revision: int) -> dict[bytes, KeyValue]:
        """The keys as of a revision."""
        view: dict[bytes, KeyValue] = {}
        for changed_at in sorted(self.history):
            if changed_at <= revision:
                for change in self.history[changed_at]:
                    view.pop(change.key, None)
                    if change.value is not None:
                        view[change.key] = change
        return view

    def restore(self, revisions_back: int) -> None:
        """Go back to a backup: a new cluster, some revisions ago."""
        self.cluster_id += 1
        self.revision -= revisions_back
        self.compacted = min(self.compacted, self.revision)
        self.history = {revision: changes for revision, changes in self.history.items() if revision <= self.revision}

    @property
    def last_change(self) -> int:
        """The last revision in which a key changed; 0 for none."""
        return max(self.history, default=0)


class WatchMachine(RuleBasedStateMachine):
    """Plays any order of events, and checks every reported change against the model.

    shadow: what an owner knows from the reports, as of `shadow_revision`. request: sent to the registry and not
    answered. next_watched: the next revision of the watch, 0 without one. covered: all revisions up to here were either
    reported or covered by a full read.
    """

    kind: type[WatchState] = WatchState

    def __init__(self) -> None:
        super().__init__()
        self.registry = RegistryModel()
        self.now = 0.0
        self.change_number = 0
        self.watch = self.kind(WatchLimits(max_full_reads_per_minute=600.0, page_size=PAGE_SIZE), lambda: 0.5)
        self.shadow: dict[bytes, KeyValue] = {}
        self.shadow_revision = 0
        self.request: Any = None
        self.next_watched = 0
        self.disconnected_until = 0.0
        self.messages: list[str] = []
        self.covered = 1

    # ---- carrying out ------------------------------------------------------------------------------------------------

    def perform(self, actions: list[Any]) -> None:
        """Carry out what the watch wants."""
        for action in actions:
            match action:
                case ListPage() | StartWatch():
                    self.request = action
                    self.next_watched = 0
                case Disconnect():
                    assert 0 <= action.retry_after_ms <= MAX_BACKOFF_MS
                    self.request = None
                    self.next_watched = 0
                    self.disconnected_until = self.now + action.retry_after_ms
                case LogMessage():
                    self.messages.append(action.text)
                    if "another cluster" in action.text:
                        self.shadow_revision = 0
                        self.covered = 1
                case ViewChange():
                    self.take(action)

    def take(self, reported: ViewChange) -> None:
        """Check a reported change, and apply it to the shadow."""
        is_newer = reported.revision > self.shadow_revision
        assert is_newer or (reported.is_full_read and reported.revision >= self.shadow_revision)
        changes = {change.key: change for change in reported.changes}
        assert len(changes) == len(reported.changes)
        if not reported.is_full_read:
            expected = {change.key: change for change in self.registry.history[reported.revision]}
            assert changes == expected, "a revision was reported whole and once"
            missed = [revision for revision in self.registry.history if self.covered < revision < reported.revision]
            assert not missed, f"revisions {missed} were never reported"
        for change in reported.changes:
            if change.value is None:
                assert change.key in self.shadow, "a key that was not there is deleted"
                del self.shadow[change.key]
            else:
                assert self.shadow.get(change.key) != change, "the same change twice"
                self.shadow[change.key] = change
        self.shadow_revision = reported.revision
        self.covered = reported.revision
        assert self.shadow == self.registry.state(reported.revision), "the view was the registry's at that revision"

    def header(self, lag: int = 0) -> ResponseHeader:
        """The header of an answer by a member that is so many revisions behind."""
        return ResponseHeader(self.registry.cluster_id, max(1, self.registry.revision - lag))

    # ---- what happens ------------------------------------------------------------------------------------------------

    @rule(keys=st.dictionaries(st.sampled_from(KEYS), st.booleans(), min_size=1, max_size=3))
    def change(self, keys: dict[bytes, bool]) -> None:
        self.change_number += 1
        self.registry.put({key: b"%d" % self.change_number if is_put else None for key, is_put in keys.items()})

    @rule(ms=st.floats(1, 3000))
    def wait(self, ms: float) -> None:
        self.now += ms

    @precondition(lambda self: self.watch.phase is WatchPhase.DISCONNECTED and self.now >= self.disconnected_until)
    @rule()
    def connect(self) -> None:
        self.perform(self.watch.on_connected(self.now))

    @precondition(lambda self: self.watch.phase is not WatchPhase.DISCONNECTED)
    @rule()
    def disconnect(self) -> None:
        self.perform(self.watch.on_disconnected("by chance"))

    @rule(kept=st.integers(0, 3))
    def compact(self, kept: int) -> None:
        self.registry.compacted = max(self.registry.compacted, self.registry.revision - kept)

    @precondition(lambda self: isinstance(self.request, ListPage))
    @rule(lag=st.sampled_from([0, 0, 0, 1, 3]))
    def answer_list(self, lag: int) -> None:
        request = self.request
        header = self.header(lag)
        revision = request.revision or header.revision
        self.request = None
        if revision < self.registry.compacted:
            self.perform(self.watch.on_page_compacted(self.now))
            return
        if lag and header.revision < revision:
            header = ResponseHeader(header.cluster_id, revision)  # a member cannot answer for a revision that it lacks
        state = self.registry.state(revision)
        rows = [key_value for key, key_value in sorted(state.items()) if key > request.after_key]
        has_more = len(rows) > PAGE_SIZE
        self.perform(self.watch.on_page(self.now, header, rows[:PAGE_SIZE], has_more=has_more))
        if self.watch.phase is WatchPhase.WATCHING:  # read whole, also where nothing differed and nothing was reported
            self.covered = max(self.covered, self.watch.revision)

    @precondition(lambda self: isinstance(self.request, StartWatch))
    @rule()
    def answer_watch(self) -> None:
        revision = self.request.revision
        self.request = None
        if revision < self.registry.compacted:
            compacted = self.registry.compacted
            self.perform(self.watch.on_watch_cancelled(self.now, self.header(), compacted, "compacted"))
            return
        self.next_watched = revision
        self.perform(self.watch.on_watch_created(self.now, self.header()))

    @precondition(lambda self: self.next_watched)
    @rule(count=st.integers(1, 4), cut=st.integers(0, 3), repeated=st.integers(0, 2))
    def deliver(self, count: int, cut: int, repeated: int) -> None:
        """Some revisions in one answer, perhaps in fragments, perhaps with some that were sent before."""
        first = max(1, self.next_watched - repeated)
        revisions = [revision for revision in sorted(self.registry.history) if revision >= first][: count + repeated]
        if not revisions:
            return
        changes = [change for revision in revisions for change in self.registry.history[revision]]
        self.next_watched = max(self.next_watched, revisions[-1] + 1)
        if 0 < cut < len(changes):
            self.perform(self.watch.on_changes(self.now, self.header(), changes[:cut], is_fragment=True))
            changes = changes[cut:]
        if self.watch.phase is WatchPhase.WATCHING:
            self.perform(self.watch.on_changes(self.now, self.header(), changes))

    @precondition(lambda self: self.next_watched and self.next_watched > self.registry.last_change)
    @rule()
    def report_progress(self) -> None:
        self.perform(self.watch.on_progress(self.now, self.header()))
        self.covered = max(self.covered, self.registry.revision)

    @precondition(lambda self: self.next_watched)
    @rule()
    def cancel(self) -> None:
        self.perform(self.watch.on_watch_cancelled(self.now, self.header(), 0, "the member leaves"))

    @precondition(lambda self: self.registry.revision > 3)
    @rule(revisions_back=st.integers(1, 3))
    def restore(self, revisions_back: int) -> None:
        """Go back to a backup. Every connection ends."""
        self.registry.restore(revisions_back)
        if self.watch.phase is not WatchPhase.DISCONNECTED:
            self.perform(self.watch.on_disconnected("restored"))

    def teardown(self) -> None:
        """Whatever happened: once the connection holds, the view is the registry's, and soon."""
        for _ in range(200):
            self.now += 2_000.0
            if self.watch.phase is WatchPhase.DISCONNECTED:
                self.connect()
            elif isinstance(self.request, ListPage):
                self.answer_list(0)
            elif isinstance(self.request, StartWatch):
                self.answer_watch()
            elif self.next_watched <= self.registry.last_change:
                self.deliver(4, 0, 0)
            else:
                break
        assert self.watch.phase is WatchPhase.WATCHING
        assert self.next_watched
        assert self.shadow == self.watch.view == self.registry.state(self.registry.revision)
