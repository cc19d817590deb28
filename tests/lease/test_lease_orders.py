"""Every order of events with one task, two holders and an allocator. Messages are lost, late, swapped or repeated."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corallanding.lease.fenced_resource import FencedResource
from corallanding.lease.lease_holder import LeaseHolder
from corallanding.lease.limits import LeaseTimings
from corallanding.lease.messages import LeaseGrant, LeaseRequest
from corallanding.lease.shard_allocator import ShardAllocator
from corallanding.lease.tasks import TaskCatalog, TaskSpec
from tests.lease import support_mistakes as mistakes
from tests.lease.support_exploration import after, explore

# A lease of three steps and an act of one and a half: a few steps see leases end, and acts that would outlast them.
TERMS = LeaseTimings(lease_ms=300.0, vote_lease_ms=200.0, max_clock_drift=0.0)
TASKS = TaskCatalog({"sweep": TaskSpec("sweep", max_work_ms=150.0)})
STEP = 100.0


class SmallLeaseWorld:
    """Two holders; each act is looked at, then written at the place, at any time after."""

    def __init__(self) -> None:
        self.now, self.incarnations = 0.0, 10
        self.allocator = ShardAllocator(TERMS, TASKS, 9, max_token=1 << 60)
        self.allocator.begin_term(-1e6, 1, 1 << 20)
        self.holders = [LeaseHolder(n + 1, TERMS, TASKS, -1e6) for n in range(2)]
        self.messages: list[tuple[int, Any]] = []  # on their way: whose, what
        self.looks: list[tuple[int, int]] = []  # acts begun and not written: whose, fence
        self.ends: dict[tuple[int, int], float] = {}  # (steward, life): when its act has ended at the longest
        self.place, self.highest = FencedResource(1), 0
        self.wrong = ""

    def moves(self) -> list[tuple[str, int]]:
        out: list[tuple[str, int]] = [("time", 0)]
        if len(self.messages) < 3:
            out += [("ask", 0), ("ask", 1)]
        out += [(kind, k) for kind in ("word", "again") for k in range(len(self.messages))]
        out += [("look", n) for n in range(2)] if len(self.looks) < 2 else []
        out += [("write", k) for k in range(len(self.looks))]
        return [*out, ("start", 0)] if self.incarnations < 11 else out

    def play(self, move: tuple[str, int]) -> bool:
        """False if nothing came of it."""
        kind, number = move
        if kind == "time":
            self.now += STEP
            return True
        plays = {
            "ask": self.play_request,
            "word": self.play_message,
            "again": self.play_repeated_message,
            "look": self.play_begin,
            "write": self.play_write,
            "start": self.play_start,
        }
        return plays[kind](number)

    def play_request(self, number: int) -> bool:
        self.holders[number].last_request_at_ms = float("-inf")
        request = self.holders[number].next_request(self.now, 9, 1)
        if request is None:
            return False
        self.messages.append((number, request))
        return True

    def play_message(self, number: int) -> bool:
        self.deliver(*self.messages.pop(number))
        return True

    def play_repeated_message(self, number: int) -> bool:
        return self.deliver(*self.messages[number])

    def deliver(self, who: int, message: Any) -> bool:
        """False if a request got no answer."""
        if isinstance(message, LeaseRequest):
            grant = self.allocator.on_request(self.now, who, message)
            if grant:
                self.messages.append((who, grant))
            return grant is not None
        assert isinstance(message, LeaseGrant)
        self.holders[who].on_grant(self.now, message)
        return True

    def play_begin(self, number: int) -> bool:
        holder = self.holders[number]
        token = holder.begin_action(self.now, 0)
        if not token:
            return False
        process = (number, holder.incarnation)
        if any(end > self.now for other, end in self.ends.items() if other != process):
            self.wrong = "two act at one instant"
        self.ends[process] = self.now + 150.0
        self.looks.append((number, token))
        return True

    def play_write(self, number: int) -> bool:
        _, token = self.looks.pop(number)
        if self.place.accept(0, token):
            if token < self.highest:
                self.wrong = "an act behind a later one was taken"
            self.highest = max(self.highest, token)
        return True

    def play_start(self, number: int) -> bool:
        self.incarnations += 1
        self.holders[0] = LeaseHolder(self.incarnations, TERMS, TASKS, self.now)
        return True

    def key(self) -> str:
        """Two worlds of one key go on alike."""
        book = [
            (w, x.last_round, x.wanted_shards, x.requested_at_ms, x.fencing_token, sorted(x.grants))
            for w, x in sorted(self.allocator.leases.items())
        ]
        holders = [
            (
                h.incarnation,
                h.shards,
                h.fencing_token,
                h.leased_until,
                h.applied_round,
                h.round,
                sorted(h.requested_at_ms.items()),
                sorted(h.busy_until_ms.items()),
            )
            for h in self.holders
        ]
        ends = sorted((w, e) for w, e in self.ends.items() if e > self.now)
        return repr(
            (
                self.now,
                book,
                self.allocator.last_token,
                holders,
                self.messages,
                self.looks,
                ends,
                self.place.highest_tokens,
            )
        )


HELD = (("ask", 0), ("word", 0), ("word", 0))  # the first holds it
LATER = (("time", 0), ("time", 0))
STARTS: dict[str, tuple[tuple[str, int], ...]] = {
    "held": HELD,
    "a first answer late, a second taken up": (("ask", 0), ("word", 0), ("ask", 0), ("word", 1), ("word", 1)),
    "answered late": (("ask", 0), ("word", 0), *LATER, ("word", 0), ("time", 0), ("ask", 1)),
    "near its end": (*HELD, *LATER, ("ask", 1)),
    "started anew": (*HELD, ("look", 0), ("start", 0), ("ask", 0)),
    "looked and stopped": (*HELD, ("look", 0), *LATER, ("time", 0), ("ask", 1), ("word", 0), ("word", 0)),
}


@pytest.mark.parametrize("start", STARTS)
def test_lease_when_events_come_in_any_order_then_two_never_act_at_once(start: str) -> None:
    worlds, wrong = explore(5, after(SmallLeaseWorld(), *STARTS[start]))
    assert not wrong, (worlds, wrong)
    assert worlds > 500, (worlds, wrong)


FOUND: dict[Callable[..., None], str] = {
    mistakes.lease_counted_from_the_answer: "answered late",
    mistakes.actions_outlast_the_lease: "near its end",
    mistakes.former_process_forgotten: "started anew",
    mistakes.resource_accepts_any_token: "looked and stopped",
}


@pytest.mark.parametrize("mistake", FOUND, ids=lambda f: f.__name__)
def test_planted_mistake_when_lease_orders_are_explored_then_is_found(
    mistake: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    mistake(monkeypatch)
    assert explore(5, after(SmallLeaseWorld(), *STARTS[FOUND[mistake]]))[1]


class RandomWalk(RuleBasedStateMachine):
    """The same world by long walks that hypothesis draws and makes shorter."""

    def __init__(self) -> None:
        super().__init__()
        self.world = SmallLeaseWorld()

    @rule(data=st.data())
    def move(self, data: st.DataObject) -> None:
        kinds: dict[str, list[tuple[str, int]]] = {}
        for move in self.world.moves():
            kinds.setdefault(move[0], []).append(move)
        kind = data.draw(st.sampled_from(sorted(kinds)))
        self.world.play(data.draw(st.sampled_from(kinds[kind])))

    @invariant()
    def one_holder(self) -> None:
        assert not self.world.wrong, self.world.wrong


TestRandomWalk = RandomWalk.TestCase
TestRandomWalk.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
