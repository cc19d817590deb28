"""Every order of events in a small world: two holders, a divider, two rights; words are lost, late or swapped."""

from __future__ import annotations

import copy
from typing import Any

import pytest
import test_quota

from corallanding.quota import Budget, QuotaAllocator, QuotaClient, QuotaLimits

# A grant of two steps and a use of one and a half: a few steps see grants end, and uses that would outlast them.
TERMS = QuotaLimits(lease_ms=50.0, vote_lease_ms=100.0, max_clock_drift=0.0)
BUDGET = Budget("moves", 2, 0, 2, 150.0)
STEP = 100.0
DEEP = 8


class Small:
    def __init__(self) -> None:
        self.now = 0.0
        self.divider = QuotaAllocator(TERMS, {BUDGET.id: BUDGET})
        self.divider.begin_term(-1e6)
        self.holders = [QuotaClient(1, TERMS, -1e6), QuotaClient(2, TERMS, -1e6)]
        self.wants: list[tuple[int, Any]] = []
        self.gives: list[tuple[int, Any]] = []
        self.ends: list[float] = []

    def in_use(self) -> int:
        return sum(end > self.now for end in self.ends)

    def moves(self) -> list[tuple[str, int]]:
        """What can happen next. A word that is never delivered is lost: it needs no move of its own."""
        out: list[tuple[str, int]] = [("time", 0)]
        out += [("ask", n) for n in range(2) if len(self.wants) < 2]
        out += [("want", k) for k in range(len(self.wants))]
        out += [("give", k) for k in range(len(self.gives))]
        return out + [("use", n) for n in range(2)]

    def play(self, move: tuple[str, int]) -> bool:
        """False if nothing came of it."""
        kind, n = move
        match kind:
            case "time":
                self.now += STEP
                # What was said two leases ago is looked at as lost: it is refused anyhow.
                self.ends = [e for e in self.ends if e > self.now]
            case "ask":
                h = self.holders[n]
                if not h.accounts:
                    h.record_unmet(self.now, BUDGET, 0, 2)
                for a in h.accounts.values():
                    a.requested_at_ms = float("-inf")
                words = h.due_requests(self.now)
                self.wants += [(n, w) for w in words]
                return bool(words)
            case "want":
                who, word = self.wants.pop(n)
                self.gives.append((who, self.divider.on_request(self.now, who, word)))
            case "give":
                who, word = self.gives.pop(n)
                self.holders[who].on_grant(self.now, word)
            case "use":
                free = self.holders[n].available(self.now, BUDGET)
                if not free:
                    return False
                assert self.holders[n].acquire(self.now, BUDGET, 0, free)
                self.ends += [self.now + BUDGET.hold_ms] * free
        return True

    def key(self) -> str:
        """Two worlds of one key go on alike."""
        books = [
            (who, life.round, life.wanted, life.reported_at_ms, sorted(life.grants))
            for book in self.divider.ledgers.values()
            for who, life in sorted(book.items())
        ]
        holders = [
            (
                h.round,
                [
                    (a.granted, a.expires_at_ms, a.round, list(a.uses), list(a.unmet), a.peak, a.peak_at_ms)
                    for a in h.accounts.values()
                ],
                sorted((r, w[0]) for r, w in h.pending.items()),
            )
            for h in self.holders
        ]
        return repr((self.now, books, holders, self.wants, self.gives, sorted(self.ends)))


def explore(deep: int, start: Small) -> tuple[int, int]:
    """Worlds seen, and the most that was in use in any of them."""
    seen, most = {start.key()}, 0
    layer = [start]
    for _ in range(deep):
        after: list[Small] = []
        for world in layer:
            for move in world.moves():
                new = copy.deepcopy(world)
                if not new.play(move):
                    continue
                most = max(most, new.in_use())
                if most > BUDGET.capacity:
                    return len(seen), most
                if (key := new.key()) not in seen:
                    seen.add(key)
                    after.append(new)
        layer = after
    return len(seen), most


def after(*moves: tuple[str, int]) -> Small:
    s = Small()
    for move in moves:
        assert s.play(move), move
    return s


ASKED = (("ask", 0), ("want", 0))  # the first holder's answer is on its way
BOTH = (*ASKED, ("give", 0), ("ask", 1), ("want", 0))  # it has both rights, and the second wants some
# Its first answer is late; a second one, for fewer rights, was taken up, and the divider has heard so.
LATE = (*ASKED, ("ask", 1), ("want", 0), ("ask", 0), ("want", 0), ("give", 2), ("ask", 0), ("want", 0))
STARTS = {"asked": ASKED, "both": BOTH, "late": LATE}


@pytest.mark.parametrize("start", STARTS)
def test_no_order_of_events_uses_more_than_the_whole(start: str) -> None:
    worlds, most = explore(DEEP - 1, after(*STARTS[start]))
    assert most == BUDGET.capacity, "both rights are used in some order, and never three"
    assert worlds > 2_000


FOUND = {
    test_quota.counted_from_the_answer: "asked",
    test_quota.uses_outlast_the_grant: "asked",
    test_quota.answers_in_any_order: "late",
    test_quota.lent_again_by_the_new_figure: "both",
}


@pytest.mark.parametrize("mistake", FOUND, ids=lambda f: f.__name__)
def test_the_small_world_finds_mistakes(mistake: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    assert explore(DEEP, after(*STARTS[FOUND[mistake]]))[1] > BUDGET.capacity
