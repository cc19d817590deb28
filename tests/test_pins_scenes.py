"""Hard cases of runs, each a scene by name."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import pytest
from test_pins import any_tally_counts, no_fences, no_promise

from corallanding.lab.stewards.runs import RunWorld
from corallanding.lab.stewards.walk import TASKS, Walk
from corallanding.quorum_records.limits import RecordLimits
from corallanding.quorum_records.messages import Accept, AcceptReply
from corallanding.quorum_records.proposer import Proposer
from corallanding.quorum_records.replica import Replica
from corallanding.version_pinning.messages import RunCountQuery, RunStatus
from corallanding.version_pinning.releases import ReleaseCoordinator


class Scripted(Walk):
    """Words go in order, all that `passes`; the rest stay where they are."""

    def __init__(self) -> None:
        super().__init__(0)
        self.passes: Callable[[int, int, Any], bool] = lambda a, b, word: True
        self.leases[0].held, self.leases[1].held = {RUN_TASK}, {RELEASE_TASK}
        for lease in self.leases.values():
            lease.holder.fence = 5 + lease.me
        self.pump(20)

    def pump(self, rounds: int) -> None:
        for _ in range(rounds):
            for n in self.keepers:
                self.now += 10.0
                self.tick_at(n)
            for _ in range(200):
                at = next((k for k, x in enumerate(self.bag) if self.passes(*x)), None)
                if at is None:
                    break
                self.hand(*self.bag.pop(at))

    def tick_at(self, n: int) -> None:
        self.pins[n].wanted_set = self.goal
        self.carry(n, self.fleets[n].tick(self.now, self.pins[n].tick(self.now)))


RELEASE_TASK, RUN_TASK = TASKS.number("release"), TASKS.number("runs", 0)


def closing(seen_by: set[int], counted: set[int]) -> Scripted:
    """A run that has begun in set 1 at one keeper of three; then set 1 closes, which `seen_by` take in, and the holder
    of the release hears the tallies of `counted`; last, the words of the run's beginning arrive at the others."""
    w = Scripted()
    w.ask(0, 99)
    assert not w.told, "its copies are on their way"
    run = lambda a, b, word: isinstance(word, Accept) and word.first  # noqa: E731
    held, w.bag = [x for x in w.bag if run(*x)], [x for x in w.bag if not run(*x)]
    assert held
    w.goal = 2
    w.passes = lambda a, b, word: (
        not run(a, b, word)
        and not (isinstance(word, Accept) and b not in seen_by)
        and not (isinstance(word, RunCountQuery) and b not in counted)
    )
    w.pump(60)
    w.bag += held
    w.passes = lambda a, b, word: run(a, b, word) or isinstance(word, AcceptReply)
    w.pump(3)
    w.ask(0, 99)
    w.pump(6)
    return w


def test_what_was_counted_as_nothing_stays_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    w = closing({0, 1, 2}, {1, 2})
    assert 1 in w.gone and not w.broken, "set 1 is retired, and the late words of the run are refused"
    monkeypatch.setattr(ReleaseCoordinator, "may_accept", lambda self, value, begins: True)
    assert closing({0, 1, 2}, {1, 2}).broken == ["run 99: set 1 is retired"], "keepers that take what is closed"


def test_a_tally_of_a_keeper_that_still_takes_beginnings_counts_for_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    w = closing({0, 1}, {1, 2})
    assert 1 not in w.gone and not w.broken, "keeper 2 may yet take the run in: nobody retires its set"
    any_tally_counts(monkeypatch)
    assert closing({0, 1}, {1, 2}).broken == ["run 99: set 1 is retired"], "a tally of any register"


def test_an_earlier_holder_that_wakes_is_refused_where_a_later_one_has_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first of two holders has written to one keeper; the second reads from the two others, and writes; then the
    words of the first arrive there."""

    def scene() -> list[bool]:
        shelves = {k: Replica(RecordLimits()) for k in range(3)}
        rounds = itertools.count(1)
        first, second = (Proposer(life, 7, (0, 1, 2), RecordLimits(), life, rounds.__next__) for life in (1, 2))

        def deliver(words: list[Any], to: set[int]) -> list[Any]:
            late = []
            for s in words:
                writer = first if s.word.life == 1 else second
                if s.to not in to:
                    late.append(s)
                elif isinstance(s.word, Accept):
                    writer.copied(0.0, s.to, shelves[s.to].copy(0.0, s.word))
                else:
                    assert not writer.page(0.0, s.to, shelves[s.to].fetch(0.0, s.word))
            return late

        deliver(first.tick(0.0), {0, 1, 2})
        first.write(0.0, 99, 1, 0.0)
        late = deliver(first.tick(0.0), {0})
        deliver(second.tick(0.0), {1, 2})
        assert second.open
        assert second.get(99) is None
        second.write(0.0, 99, 2, 0.0)
        copies = second.tick(0.0)
        deliver(late, {1, 2})
        deliver(copies, {1, 2})
        return [w.rows[99].decided for w in (first, second)]

    assert scene() == [False, True]
    for plant in (no_fences, no_promise):
        with monkeypatch.context() as patch:
            plant(patch)
            assert scene() == [True, True], "both told: the mistake shows"


# ---- hard cases by name ------------------------------------------------------------------------------------


def settled(w: RunWorld) -> RunWorld:
    w.run(4_000.0)
    assert any(row[3] == RunStatus.PINNED for row in w.told)
    return w


def test_two_first_steps_at_once_through_two_halves_of_a_cut_get_one_pin_or_not_now() -> None:
    w = settled(RunWorld(3, 5, 5))
    w.part({0, 1})
    key = 12_345
    for n in range(5):
        p, pins = w.processes[n], w.pins[n]
        number = pins.request_run(p.clock(w.now), key)
        w.asked[n, pins.queries.life, number] = (key, w.now)
        w.carry(n, p, w.fleets[n].push(p.clock(w.now)))
    w.run(w.now + 3_000.0)
    rows = [row for row in w.told if row[1] == key]
    assert len(rows) == 5
    assert len({row[4] for row in rows if row[3] == RunStatus.PINNED}) == 1, "whoever is told one is told the same"
    assert {row[3] for row in rows if row[2] in (0, 1)} <= {RunStatus.UNAVAILABLE, RunStatus.PINNED}
    w.heal()
    w.run(w.now + 2_000.0)
    w.ask(key)
    w.run(w.now + 1_500.0)
    assert not w.split()


def test_all_restarted_at_once_keep_their_runs_by_their_files() -> None:
    w = settled(RunWorld(5, 5, 5))
    before = {row[1]: row[4] for row in w.told if row[3] == RunStatus.PINNED}
    w.goal = 2
    for n in range(5):
        w.kill(n)
    for n in range(5):
        w.start(n)
    w.run(w.now + 2_500.0)
    w.strong[1] = 0.0  # nothing serves set 1 any more: what begins now begins in set 2
    w.run(w.now + 1_000.0)
    for key in list(before)[-10:]:
        w.ask(key)
    w.run(w.now + 1_000.0)
    after = {row[1]: row[4] for row in w.told[-60:] if row[3] == RunStatus.PINNED and row[1] in before}
    assert after
    assert all(before[key] == number for key, number in after.items())


def test_stewards_that_start_one_after_the_other_all_count_in_the_end() -> None:
    """The earlier ones' first questions are lost: they are said again, and the answers to them are good."""
    w = RunWorld(1, 5, 5)
    for n in range(1, 5):
        w.kill(n)
    for n in range(1, 5):
        w.run(1_000.0 * n)
        w.start(n)
    w.run(7_000.0)
    assert [f.records.catch.ready for f in w.fleets.values()] == [True] * 5
    assert [f.page()["waits_for"] for f in w.fleets.values()] == [[]] * 5


def test_a_steward_that_was_away_through_a_retirement_brings_nothing_back() -> None:
    w = settled(RunWorld(7, 5, 5))
    w.stop(4)
    w.goal = 2
    w.run(w.now + 16_000.0)
    assert 1 in w.retired_at
    w.wake(4)
    w.goal = 1
    w.run(w.now + 3_000.0)
    assert not w.revived()
    assert all(p.releases.register.current_set == 2 for p in w.pins.values() if p.releases.register)
    assert any("set 1 is retired" in p.releases.obstacle for p in w.pins.values())


def test_a_flood_of_one_client_is_refused_and_pushes_out_no_run() -> None:
    w = settled(RunWorld(9, 3, 3, groups=1))
    running = [row[1] for row in w.told if row[3] == RunStatus.PINNED][-5:]
    n, p = next((n, p) for n, p in w.processes.items() if w.pins[n].records.held.get(w.pins[n].workflow_runs.groups[0]))
    pins, flood = w.pins[n], []
    for k in range(400):
        flood.append(pins.request_run(p.clock(w.now), 10**9 + k, "one client"))
        w.asked[n, pins.queries.life, flood[-1]] = (10**9 + k, w.now)
    w.carry(n, p, w.fleets[n].push(p.clock(w.now)))
    w.run(w.now + 300.0)
    ends = [row[3] for row in w.told if row[1] >= 10**9 and row[1] < 10**9 + 400]
    assert ends.count(RunStatus.REJECTED) >= 300
    assert 0 < ends.count(RunStatus.PINNED) <= 80
    for key in running:
        w.ask(key)
    w.run(w.now + 300.0)
    assert {row[3] for row in w.told[-5:]} <= {RunStatus.PINNED, RunStatus.OVER}


def test_a_full_shelf_refuses_new_runs_by_name_and_keeps_those_it_has() -> None:
    w = settled(RunWorld(11, 3, 3))
    for pins in w.pins.values():
        pins.records.shelf.terms = type(pins.records.shelf.terms)(most=pins.records.shelf.count)
    count = len(w.told)
    for k in range(20):
        w.ask(10**9 + k)
    w.run(w.now + 1_200.0)
    new = [row for row in w.told[count:] if 10**9 <= row[1] < 10**9 + 20]
    assert new
    assert {row[3] for row in new} <= {RunStatus.REJECTED, RunStatus.UNAVAILABLE}
    assert any(row[3] == RunStatus.REJECTED for row in new)


def test_a_run_that_never_ends_is_over_by_age_and_keeps_no_set_alive() -> None:
    w = RunWorld(13, 3, 3, per_s=0.0)
    w.run(4_000.0)
    key = 777
    w.ask(key)
    w.run(w.now + 500.0)
    w.goal = 2
    for _ in range(16):
        w.run(w.now + 500.0)
        w.ask(key)
    rows = [row for row in w.told if row[1] == key]
    assert rows[0][3] == RunStatus.PINNED
    assert rows[-1][3] == RunStatus.OVER
    assert not w.split()
    w.run(w.now + 2_000.0)
    assert 1 in w.retired_at
