"""Every order of events with one task, two holders and an allocator. Messages are lost, late, reordered or repeated."""

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
from tests.lease.support_exploration import apply_moves, explore

# A lease lasts three steps and an action one and a half: leases expire, and actions would outlast them, in a few steps.
SHORT_LEASES = LeaseTimings(lease_ms=300.0, vote_lease_ms=200.0, max_clock_drift=0.0)
TASKS = TaskCatalog({"sweep": TaskSpec("sweep", max_work_ms=150.0)})
STEP_MS = 100.0


class SmallLeaseWorld:
    """Two holders. Each action begins, and its write reaches the fenced resource at any later time."""

    def __init__(self) -> None:
        self.now_ms, self.last_incarnation = 0.0, 10
        self.allocator = ShardAllocator(SHORT_LEASES, TASKS, 9, max_token=1 << 60)
        self.allocator.begin_term(-1e6, 1, 1 << 20)
        self.holders = [LeaseHolder(number + 1, SHORT_LEASES, TASKS, -1e6) for number in range(2)]
        self.messages: list[tuple[int, Any]] = []  # in flight: (holder number, message)
        self.started_actions: list[tuple[int, int]] = []  # not yet written: (holder number, fencing token)
        self.action_ends_ms: dict[tuple[int, int], float] = {}  # latest end by (number, incarnation)
        self.fenced_resource, self.highest_written_token = FencedResource(1), 0
        self.violation = ""

    def moves(self) -> list[tuple[str, int]]:
        moves: list[tuple[str, int]] = [("advance_time", 0)]
        if len(self.messages) < 3:
            moves += [("request", 0), ("request", 1)]
        moves += [(kind, index) for kind in ("deliver", "deliver_copy") for index in range(len(self.messages))]
        moves += [("begin_action", number) for number in range(2)] if len(self.started_actions) < 2 else []
        moves += [("write", index) for index in range(len(self.started_actions))]
        return [*moves, ("restart_holder", 0)] if self.last_incarnation < 11 else moves

    def apply(self, move: tuple[str, int]) -> bool:
        """Apply a move and return whether it had an effect."""
        kind, number = move
        if kind == "advance_time":
            self.now_ms += STEP_MS
            return True
        handlers = {
            "request": self.apply_request,
            "deliver": self.apply_delivery,
            "deliver_copy": self.apply_repeated_delivery,
            "begin_action": self.apply_begin_action,
            "write": self.apply_write,
            "restart_holder": self.apply_restart,
        }
        return handlers[kind](number)

    def apply_request(self, number: int) -> bool:
        self.holders[number].last_request_at_ms = float("-inf")
        request = self.holders[number].next_request(self.now_ms, 9, 1)
        if request is None:
            return False
        self.messages.append((number, request))
        return True

    def apply_delivery(self, index: int) -> bool:
        self.deliver(*self.messages.pop(index))
        return True

    def apply_repeated_delivery(self, index: int) -> bool:
        return self.deliver(*self.messages[index])

    def deliver(self, number: int, message: Any) -> bool:
        """Deliver a message; return False if it is a request that was not answered."""
        if isinstance(message, LeaseRequest):
            grant = self.allocator.on_request(self.now_ms, number, message)
            if grant:
                self.messages.append((number, grant))
            return grant is not None
        assert isinstance(message, LeaseGrant)
        self.holders[number].on_grant(self.now_ms, message)
        return True

    def apply_begin_action(self, number: int) -> bool:
        holder = self.holders[number]
        token = holder.begin_action(self.now_ms, 0)
        if not token:
            return False
        process = (number, holder.incarnation)
        if any(end_ms > self.now_ms for other, end_ms in self.action_ends_ms.items() if other != process):
            self.violation = "two processes act at the same time"
        self.action_ends_ms[process] = self.now_ms + 150.0
        self.started_actions.append((number, token))
        return True

    def apply_write(self, index: int) -> bool:
        _, token = self.started_actions.pop(index)
        if self.fenced_resource.accept(0, token):
            if token < self.highest_written_token:
                self.violation = "a write under a lower token was accepted"
            self.highest_written_token = max(self.highest_written_token, token)
        return True

    def apply_restart(self, number: int) -> bool:
        self.last_incarnation += 1
        self.holders[0] = LeaseHolder(self.last_incarnation, SHORT_LEASES, TASKS, self.now_ms)
        return True

    def state_key(self) -> str:
        """Return a key that is equal for worlds with the same future behaviour."""
        allocator_state = [
            (
                process,
                leases.last_round,
                leases.wanted_shards,
                leases.requested_at_ms,
                leases.fencing_token,
                sorted(leases.grants),
            )
            for process, leases in sorted(self.allocator.leases.items())
        ]
        holders = [
            (
                holder.incarnation,
                holder.shards,
                holder.fencing_token,
                holder.leased_until,
                holder.applied_round,
                holder.round,
                sorted(holder.requested_at_ms.items()),
                sorted(holder.busy_until_ms.items()),
            )
            for holder in self.holders
        ]
        action_ends_ms = sorted(
            (process, end_ms) for process, end_ms in self.action_ends_ms.items() if end_ms > self.now_ms
        )
        return repr(
            (
                self.now_ms,
                allocator_state,
                self.allocator.last_token,
                holders,
                self.messages,
                self.started_actions,
                action_ends_ms,
                self.fenced_resource.highest_tokens,
            )
        )


HELD = (("request", 0), ("deliver", 0), ("deliver", 0))  # the first holder has the lease
TWO_STEPS_LATER = (("advance_time", 0), ("advance_time", 0))
STARTS: dict[str, tuple[tuple[str, int], ...]] = {
    "held": HELD,
    "first grant late, second applied": (
        ("request", 0),
        ("deliver", 0),
        ("request", 0),
        ("deliver", 1),
        ("deliver", 1),
    ),
    "granted late": (
        ("request", 0),
        ("deliver", 0),
        *TWO_STEPS_LATER,
        ("deliver", 0),
        ("advance_time", 0),
        ("request", 1),
    ),
    "near expiry": (*HELD, *TWO_STEPS_LATER, ("request", 1)),
    "restarted": (*HELD, ("begin_action", 0), ("restart_holder", 0), ("request", 0)),
    "stopped before writing": (
        *HELD,
        ("begin_action", 0),
        *TWO_STEPS_LATER,
        ("advance_time", 0),
        ("request", 1),
        ("deliver", 0),
        ("deliver", 0),
    ),
}


@pytest.mark.parametrize("start", STARTS)
def test_lease_when_events_occur_in_any_order_then_two_processes_never_act_at_once(start: str) -> None:
    world_count, violation = explore(5, apply_moves(SmallLeaseWorld(), *STARTS[start]))
    assert not violation, (world_count, violation)
    assert world_count > 500, (world_count, violation)


START_BY_MISTAKE: dict[Callable[..., None], str] = {
    mistakes.lease_starts_at_the_reply: "granted late",
    mistakes.actions_outlast_the_lease: "near expiry",
    mistakes.previous_process_forgotten: "restarted",
    mistakes.resource_accepts_any_token: "stopped before writing",
}


@pytest.mark.parametrize("mistake", START_BY_MISTAKE, ids=lambda mistake: mistake.__name__)
def test_planted_mistake_when_lease_orders_are_explored_then_is_found(
    mistake: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    mistake(monkeypatch)
    assert explore(5, apply_moves(SmallLeaseWorld(), *STARTS[START_BY_MISTAKE[mistake]]))[1]


class RandomWalk(RuleBasedStateMachine):
    """Long random walks in the same world, drawn and shrunk by hypothesis."""

    def __init__(self) -> None:
        super().__init__()
        self.world = SmallLeaseWorld()

    @rule(data=st.data())
    def move(self, data: st.DataObject) -> None:
        kinds: dict[str, list[tuple[str, int]]] = {}
        for move in self.world.moves():
            kinds.setdefault(move[0], []).append(move)
        kind = data.draw(st.sampled_from(sorted(kinds)))
        self.world.apply(data.draw(st.sampled_from(kinds[kind])))

    @invariant()
    def one_holder(self) -> None:
        assert not self.world.violation, self.world.violation


TestRandomWalk = RandomWalk.TestCase
TestRandomWalk.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
