"""A model of a registry, and a search over all events that can affect a watch of it."""

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
    """The changes of every revision, and the revision up to which they are compacted."""

    def __init__(self) -> None:
        self.cluster_id = 0xC1
        self.revision = 1
        self.compacted_revision = 0
        self.history: dict[int, list[KeyValue]] = {}

    def put(self, changes: dict[bytes, bytes | None]) -> None:
        """Put values in one new revision, None to delete; without effect, no revision is created."""
        present = self.state(self.revision)
        effective = {key: value for key, value in changes.items() if value is not None or key in present}
        if effective:
            self.revision += 1
            self.history[self.revision] = [KeyValue(key, value, self.revision) for key, value in effective.items()]

    def state(self, revision: int) -> dict[bytes, KeyValue]:
        """Return the keys as of a revision."""
        view: dict[bytes, KeyValue] = {}
        for changed_at in sorted(self.history):
            if changed_at <= revision:
                for change in self.history[changed_at]:
                    view.pop(change.key, None)
                    if change.value is not None:
                        view[change.key] = change
        return view

    def restore(self, revisions_back: int) -> None:
        """Restore a backup: a new cluster id, at an earlier revision."""
        self.cluster_id += 1
        self.revision -= revisions_back
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.history = {revision: changes for revision, changes in self.history.items() if revision <= self.revision}

    @property
    def last_change(self) -> int:
        """The last revision in which a key changed; 0 if none did."""
        return max(self.history, default=0)


class WatchMachine(RuleBasedStateMachine):
    """Generates events in any order, and checks every reported change against the model.

    shadow: the view that an owner derives from the reports, as of `shadow_revision`. request: the request in flight.
    next_revision: the next revision that the watch delivers, 0 without a watch. covered_revision: all revisions up to
    this one were reported or are included in a full read.
    """

    watch_class: type[WatchState] = WatchState

    def __init__(self) -> None:
        super().__init__()
        self.registry = RegistryModel()
        self.now_ms = 0.0
        self.change_number = 0
        self.watch = self.watch_class(WatchLimits(max_full_reads_per_minute=600.0, page_size=PAGE_SIZE), lambda: 0.5)
        self.shadow: dict[bytes, KeyValue] = {}
        self.shadow_revision = 0
        self.request: Any = None
        self.next_revision = 0
        self.reconnect_at_ms = 0.0
        self.log_messages: list[str] = []
        self.covered_revision = 1

    # ---- actions -----------------------------------------------------------------------------------------------------

    def perform(self, actions: list[Any]) -> None:
        """Perform the actions of the watch state."""
        for action in actions:
            match action:
                case ListPage() | StartWatch():
                    self.request = action
                    self.next_revision = 0
                case Disconnect():
                    assert 0 <= action.retry_after_ms <= MAX_BACKOFF_MS
                    self.request = None
                    self.next_revision = 0
                    self.reconnect_at_ms = self.now_ms + action.retry_after_ms
                case LogMessage():
                    self.log_messages.append(action.text)
                    if "another cluster" in action.text:
                        self.shadow_revision = 0
                        self.covered_revision = 1
                case ViewChange():
                    self.on_view_change(action)

    def on_view_change(self, view_change: ViewChange) -> None:
        """Check a reported change against the model, and apply it to the shadow."""
        is_newer = view_change.revision > self.shadow_revision
        assert is_newer or (view_change.is_full_read and view_change.revision >= self.shadow_revision)
        changes = {change.key: change for change in view_change.changes}
        assert len(changes) == len(view_change.changes)
        if not view_change.is_full_read:
            expected = {change.key: change for change in self.registry.history[view_change.revision]}
            assert changes == expected, "a revision was reported completely and once"
            missed = [
                number for number in self.registry.history if self.covered_revision < number < view_change.revision
            ]
            assert not missed, f"revisions {missed} were never reported"
        for change in view_change.changes:
            if change.value is None:
                assert change.key in self.shadow, "a key that did not exist is deleted"
                del self.shadow[change.key]
            else:
                assert self.shadow.get(change.key) != change, "the same change is reported twice"
                self.shadow[change.key] = change
        self.shadow_revision = view_change.revision
        self.covered_revision = view_change.revision
        assert self.shadow == self.registry.state(view_change.revision), "the view equals the registry at that revision"

    def header(self, lag: int = 0) -> ResponseHeader:
        """Return the header of a response by a member that lags by `lag` revisions."""
        return ResponseHeader(self.registry.cluster_id, max(1, self.registry.revision - lag))

    # ---- events ------------------------------------------------------------------------------------------------------

    @rule(keys=st.dictionaries(st.sampled_from(KEYS), st.booleans(), min_size=1, max_size=3))
    def change(self, keys: dict[bytes, bool]) -> None:
        self.change_number += 1
        self.registry.put({key: b"%d" % self.change_number if is_put else None for key, is_put in keys.items()})

    @rule(ms=st.floats(1, 3000))
    def wait(self, ms: float) -> None:
        self.now_ms += ms

    @precondition(lambda self: self.watch.phase is WatchPhase.DISCONNECTED and self.now_ms >= self.reconnect_at_ms)
    @rule()
    def connect(self) -> None:
        self.perform(self.watch.on_connected(self.now_ms))

    @precondition(lambda self: self.watch.phase is not WatchPhase.DISCONNECTED)
    @rule()
    def disconnect(self) -> None:
        self.perform(self.watch.on_disconnected("by chance"))

    @rule(remaining=st.integers(0, 3))
    def compact(self, remaining: int) -> None:
        self.registry.compacted_revision = max(self.registry.compacted_revision, self.registry.revision - remaining)

    @precondition(lambda self: isinstance(self.request, ListPage))
    @rule(lag=st.sampled_from([0, 0, 0, 1, 3]))
    def answer_list(self, lag: int) -> None:
        request = self.request
        header = self.header(lag)
        revision = request.revision or header.revision
        self.request = None
        if revision < self.registry.compacted_revision:
            self.perform(self.watch.on_page_compacted(self.now_ms))
            return
        if lag and header.revision < revision:
            header = ResponseHeader(header.cluster_id, revision)  # a member cannot list a revision that it lacks
        state = self.registry.state(revision)
        rows = [key_value for key, key_value in sorted(state.items()) if key > request.after_key]
        has_more = len(rows) > PAGE_SIZE
        self.perform(self.watch.on_page(self.now_ms, header, rows[:PAGE_SIZE], has_more=has_more))
        if self.watch.phase is WatchPhase.WATCHING:  # complete, even if no difference was reported
            self.covered_revision = max(self.covered_revision, self.watch.revision)

    @precondition(lambda self: isinstance(self.request, StartWatch))
    @rule()
    def answer_watch(self) -> None:
        revision = self.request.revision
        self.request = None
        if revision < self.registry.compacted_revision:
            compacted_revision = self.registry.compacted_revision
            self.perform(self.watch.on_watch_cancelled(self.now_ms, self.header(), compacted_revision, "compacted"))
            return
        self.next_revision = revision
        self.perform(self.watch.on_watch_created(self.now_ms, self.header()))

    @precondition(lambda self: self.next_revision)
    @rule(count=st.integers(1, 4), cut=st.integers(0, 3), repeated=st.integers(0, 2))
    def deliver(self, count: int, cut: int, repeated: int) -> None:
        """Deliver some revisions in one response, possibly in fragments, possibly with repeated ones."""
        first = max(1, self.next_revision - repeated)
        revisions = [revision for revision in sorted(self.registry.history) if revision >= first][: count + repeated]
        if not revisions:
            return
        changes = [change for revision in revisions for change in self.registry.history[revision]]
        self.next_revision = max(self.next_revision, revisions[-1] + 1)
        if 0 < cut < len(changes):
            self.perform(self.watch.on_changes(self.now_ms, self.header(), changes[:cut], is_fragment=True))
            changes = changes[cut:]
        if self.watch.phase is WatchPhase.WATCHING:
            self.perform(self.watch.on_changes(self.now_ms, self.header(), changes))

    @precondition(lambda self: self.next_revision and self.next_revision > self.registry.last_change)
    @rule()
    def report_progress(self) -> None:
        self.perform(self.watch.on_progress(self.now_ms, self.header()))
        self.covered_revision = max(self.covered_revision, self.registry.revision)

    @precondition(lambda self: self.next_revision)
    @rule()
    def cancel(self) -> None:
        self.perform(self.watch.on_watch_cancelled(self.now_ms, self.header(), 0, "the member leaves"))

    @precondition(lambda self: self.registry.revision > 3)
    @rule(revisions_back=st.integers(1, 3))
    def restore(self, revisions_back: int) -> None:
        """Restore a backup. All connections are closed."""
        self.registry.restore(revisions_back)
        if self.watch.phase is not WatchPhase.DISCONNECTED:
            self.perform(self.watch.on_disconnected("restored"))

    def teardown(self) -> None:
        """Check that the view converges to the registry once the connection is stable."""
        for _ in range(200):
            self.now_ms += 2_000.0
            if self.watch.phase is WatchPhase.DISCONNECTED:
                self.connect()
            elif isinstance(self.request, ListPage):
                self.answer_list(0)
            elif isinstance(self.request, StartWatch):
                self.answer_watch()
            elif self.next_revision <= self.registry.last_change:
                self.deliver(4, 0, 0)
            else:
                break
        assert self.watch.phase is WatchPhase.WATCHING
        assert self.next_revision
        assert self.shadow == self.watch.view == self.registry.state(self.registry.revision)
