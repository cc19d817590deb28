"""A search over `WatchState`: any order of disconnections, compactions, lagging members, repeats and restores."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from corallanding.registry.watch_messages import (
    Disconnect,
    ListPage,
    ResponseHeader,
    StartWatch,
    ViewChange,
    WatchLimits,
)
from corallanding.registry.watch_state import WatchState
from tests.registry.watch_model import WatchMachine

SEARCH = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=[HealthCheck.filter_too_much, HealthCheck.too_slow],
)
WatchMachine.TestCase.settings = SEARCH
TestWatchMachine = WatchMachine.TestCase


class SkipsOneRevision(WatchState):
    """Injected fault: resumes one revision too late."""

    def on_connected(self, now_ms: float) -> list[Any]:
        actions = super().on_connected(now_ms)
        return [StartWatch(a.revision + 1) if isinstance(a, StartWatch) else a for a in actions]


class TrustsLaggingMembers(WatchState):
    """Injected fault: accepts a list from a lagging member."""

    def on_page(self, now_ms: float, header: ResponseHeader, page: Any, *, has_more: bool) -> list[Any]:
        self.revision = min(self.revision, header.revision)
        return super().on_page(now_ms, header, page, has_more=has_more)


class ForgetsFragments(WatchState):
    """Injected fault: reports the first fragment of a response as a complete one."""

    def on_changes(
        self, now_ms: float, header: ResponseHeader, changes: Any, *, is_fragment: bool = False
    ) -> list[Any]:
        return super().on_changes(now_ms, header, changes, is_fragment=False)


class IgnoresDeletions(WatchState):
    """Injected fault: ignores the deletions that a full read finds."""

    def on_page(self, now_ms: float, header: ResponseHeader, page: Any, *, has_more: bool) -> list[Any]:
        actions = super().on_page(now_ms, header, page, has_more=has_more)
        return [self.without_deletions(a) if isinstance(a, ViewChange) else a for a in actions]

    @staticmethod
    def without_deletions(view_change: ViewChange) -> ViewChange:
        remaining = tuple(change for change in view_change.changes if change.value is not None)
        return ViewChange(remaining, view_change.revision, is_full_read=True)


@pytest.mark.parametrize("faulty_class", [SkipsOneRevision, IgnoresDeletions])
def test_search_when_a_fault_is_injected_then_it_finds_it(faulty_class: type[WatchState]) -> None:
    machine = type("FaultyMachine", (WatchMachine,), {"watch_class": faulty_class})
    search_settings = settings(
        SEARCH, max_examples=2000, database=None, derandomize=True, phases=[Phase.generate], report_multiple_bugs=False
    )
    with pytest.raises((AssertionError, KeyError)):
        run_state_machine_as_test(machine, settings=search_settings)


@pytest.mark.parametrize("watch_class", [WatchState, TrustsLaggingMembers])
def test_watch_when_a_lagging_member_lists_after_a_compaction_then_nothing_is_reverted(
    watch_class: type[WatchState],
) -> None:
    """Scripted, as the search finds this case only rarely; the class with the injected fault must fail."""
    machine = type("ScriptedMachine", (WatchMachine,), {"watch_class": watch_class})()
    machine.connect()
    machine.answer_list(0)
    machine.answer_watch()
    for key in (b"a", b"b"):
        machine.change({key: True})
        machine.deliver(4, 0, 0)
    machine.disconnect()
    for _ in range(3):
        machine.change({b"a": True})
    machine.registry.compacted_revision = machine.registry.revision
    machine.now_ms += 5_000.0
    machine.connect()
    machine.answer_watch()
    machine.registry.compacted_revision = 0  # the responding member has not seen the compaction yet
    if watch_class is WatchState:
        machine.answer_list(5)
        machine.teardown()
    else:
        with pytest.raises(AssertionError):
            machine.answer_list(5)


@pytest.mark.parametrize("watch_class", [WatchState, ForgetsFragments])
def test_watch_when_a_response_is_fragmented_within_a_revision_then_the_revision_is_reported_completely(
    watch_class: type[WatchState],
) -> None:
    """Scripted, as the search finds this case with some seeds only; the class with the injected fault must fail."""
    machine = type("ScriptedMachine", (WatchMachine,), {"watch_class": watch_class})()
    machine.connect()
    machine.answer_list(0)
    machine.answer_watch()
    machine.change({b"a": True, b"b": True, b"c": True})
    if watch_class is WatchState:
        machine.deliver(1, 1, 0)
        machine.teardown()
    else:
        with pytest.raises(AssertionError, match="a revision was reported completely and once"):
            machine.deliver(1, 1, 0)


def test_watches_when_fifty_reconnect_then_they_are_spread_and_full_reads_are_limited() -> None:
    backoffs_ms = []
    for seed in range(50):
        watch = WatchState(WatchLimits(), random.Random(seed).random)
        watch.on_connected(0.0)
        for _ in range(5):
            [disconnect] = watch.on_disconnected("gone")
        assert isinstance(disconnect, Disconnect)
        backoffs_ms.append(disconnect.retry_after_ms)
    assert max(backoffs_ms) - min(backoffs_ms) > 1000
    assert max(backoffs_ms) <= 1600
    watch = WatchState(WatchLimits(max_full_reads_per_minute=6.0), lambda: 0.5)
    reads = 0
    now_ms = 0.0
    while now_ms < 60_000.0:
        actions = watch.on_connected(now_ms)
        reads += isinstance(actions[0], ListPage)
        now_ms += 100.0
    assert reads <= 3 + 6
