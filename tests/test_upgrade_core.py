"""The handover's rules, explored: any process dies or stands still at any point, messages and clocks in any order."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from corallanding.upgrade.state_machine import PROTOCOL, HandoverCommand, Phase, Predecessor, Successor

WITHIN = 2.0


class World:
    """Both processes with what they have still to do, one pipe each way, a clock, the arbiter and the store's lock."""

    def __init__(
        self,
        old: type[Predecessor] = Predecessor,
        new: type[Successor] = Successor,
        arbiter: bool = True,
        faults: int = 1,
    ) -> None:
        self.now = 0.0
        self.kinds, self.arbiter = (old, new), arbiter
        self.side: list[Any] = [old(WITHIN), None]
        self.alive, self.asleep = [True, False], [False, False]
        self.todo: list[list[HandoverCommand]] = [[], []]
        self.wire: list[list[tuple[str, str]]] = [[], []]  # to old, to new
        self.speaks, self.store = [True, False], 0
        self.has_arbiter: int | None = None
        self.faults, self.begun = faults, False
        self.taken = False
        self.killed = 0  # by faults
        self.struck = [False, False]  # a kill is on its way

    def key(self) -> Any:
        sides = tuple((s.phase, s.deadline) if s else None for s in self.side)
        rows = (self.alive, self.asleep, self.struck, self.speaks, *self.todo, *self.wire)
        plain = (self.now, self.store, self.has_arbiter, self.faults, self.killed, self.taken, self.begun)
        return (plain, sides, *map(tuple, rows))

    def clone(self) -> World:
        w = copy.copy(self)
        w.side = [copy.copy(s) for s in self.side]
        w.alive, w.asleep, w.struck, w.speaks = [*self.alive], [*self.asleep], [*self.struck], [*self.speaks]
        w.todo, w.wire = [[*x] for x in self.todo], [[*x] for x in self.wire]
        return w

    def moves(self) -> list[tuple[str, int]]:
        out: list[tuple[str, int]] = []
        if not self.begun:
            return [("begin", 0)]
        if self.now < 8.0:
            out.append(("clock", 0))
        for me in (0, 1):
            if not self.alive[me]:
                continue
            if self.struck[me]:
                out.append(("fall", me))
            # One that is left alone, has said that it took over, or has just ended the other, may crash like any
            # steward: not of this page.
            if self.faults and all(self.alive) and not self.taken and not any(self.struck):
                out.append(("die", me))
                if not self.asleep[me]:
                    out.append(("sleep", me))
            if self.asleep[me]:
                out.append(("wake", me))
            elif self.todo[me]:
                out.append(("do", me))
            else:
                if self.wire[me]:
                    out.append(("hear", me))
                elif not self.alive[1 - me] and (me == 1 or self.side[0].phase not in (Phase.IDLE, Phase.OVER)):
                    out.append(("lost", me))
                s = self.side[me]
                if s.phase not in (Phase.IDLE, Phase.OVER, Phase.OWNER) and self.now >= s.deadline:
                    out.append(("tick", me))
        return out

    def move(self, what: str, me: int) -> None:
        s = self.side[me]
        if what == "begin":
            self.begun = True
            self.todo[0] = s.start(self.now)
        elif what == "clock":
            self.now += 1.0
        elif what == "die":
            self.faults -= 1
            self.killed += 1
            self.dies(me)
        elif what == "sleep":
            self.faults -= 1
            self.asleep[me] = True
        elif what == "fall":
            self.dies(me)
        elif what == "wake":
            self.asleep[me] = False
        elif what == "hear":
            said, detail = self.wire[me].pop(0)
            self.todo[me] += s.on_message(self.now, said, detail)
        elif what == "lost":
            self.todo[me] += s.on_peer_lost(self.now)
        elif what == "tick":
            self.todo[me] += s.on_tick(self.now)
        elif what == "do":
            self.do(me, self.todo[me].pop(0))
        assert sum(self.speaks) <= 1, "two voices"

    def dies(self, me: int) -> None:
        self.alive[me], self.speaks[me], self.todo[me], self.struck[me] = False, False, [], False
        if self.store == me:
            self.store = -1
        if self.has_arbiter == me:
            self.has_arbiter = None

    def do(self, me: int, a: HandoverCommand) -> None:
        s = self.side[me]
        match a:
            case HandoverCommand.SPAWN:
                self.alive[1], self.side[1] = True, self.kinds[1](WITHIN)
                self.todo[1] = self.side[1].start(self.now)
            case HandoverCommand.PAUSE:
                self.speaks[me] = False
            case HandoverCommand.CLOSE_STORE:
                self.store = -1
            case HandoverCommand.END_OTHER:
                if self.arbiter and self.has_arbiter not in (None, me):
                    self.todo[me] = s.on_lock_lost()
                    return
                self.has_arbiter = me
                self.wire[me] = []
                if self.alive[1 - me]:
                    self.struck[1 - me] = True  # it falls in a while; this side waits for that
                    self.todo[me].insert(0, a)
                else:
                    self.has_arbiter = None
            case HandoverCommand.RESUME:
                assert self.store in (-1, me), "the store is the other's"
                self.store, self.speaks[me] = me, True
            case HandoverCommand.LOAD:
                self.todo[me] += s.on_state_loaded(self.now, True)
            case HandoverCommand.OPEN_STORE | HandoverCommand.COLD_START:
                if self.store not in (-1, me):
                    self.todo[me] = s.on_store_opened(self.now, False)
                    return
                self.store = me
                if a is HandoverCommand.COLD_START:
                    self.speaks[me] = True
            case HandoverCommand.RUN:
                self.speaks[me] = True
            case HandoverCommand.EXIT:
                self.dies(me)
            case _:
                said = {
                    HandoverCommand.SEND_READY: "ready",
                    HandoverCommand.SEND_STATE: "state",
                    HandoverCommand.SEND_CHECKED: "checked",
                    HandoverCommand.SEND_COMMIT: "commit",
                    HandoverCommand.SEND_TAKEN: "taken",
                    HandoverCommand.SEND_FAILED: "failed",
                }[a]
                self.taken = self.taken or said == "taken"
                if self.alive[1 - me]:
                    self.wire[1 - me].append((said, str(PROTOCOL) if said == "ready" else ""))

    def settled(self) -> bool:
        """Nothing moves any more but by a fault."""
        return not [m for m in self.moves() if m[0] not in ("die", "sleep", "clock")]


def explore(**kinds: Any) -> tuple[int, int]:
    """Every order of moves, depth first over states not seen. Returns states, and settled ends."""
    seen: set[str] = set()
    stack = [World(**kinds)]
    ends = 0
    while stack:
        w = stack.pop()
        if w.key() in seen:
            continue
        seen.add(w.key())
        if w.now >= 8.0 and w.settled() and not any(w.asleep):
            ends += 1
            assert sum(w.speaks) == 1 or w.killed >= 2, f"nobody speaks: {w.key()}"
        for what, me in w.moves():
            after = w.clone()
            after.move(what, me)
            stack.append(after)
    return len(seen), ends


@pytest.mark.parametrize(("faults", "least"), [(0, 20), (1, 500), (2, 3_000)])
def test_one_voice_in_every_order_of_deaths_and_standstills(faults: int, least: int) -> None:
    states, ends = explore(faults=faults)
    assert states > least
    assert ends > 0


class Hasty(Predecessor):
    """Resumes without making sure that the other is dead."""

    def abort(self, why: str) -> list[HandoverCommand]:
        return [a for a in super().abort(why) if a is not HandoverCommand.END_OTHER]


class Timid(Successor):
    """Ends when the old one is gone."""

    def on_peer_lost(self, now: float) -> list[HandoverCommand]:
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]


@pytest.mark.parametrize(
    ("kinds", "why"),
    [
        ({"old": Hasty}, "two voices|store"),
        ({"new": Timid}, "nobody speaks"),
        ({"arbiter": False}, "nobody speaks"),
    ],
    ids=["hasty", "timid", "no arbiter"],
)
def test_the_explorer_finds_a_mistake(kinds: Any, why: str) -> None:
    with pytest.raises(AssertionError, match=why):
        explore(**kinds)


def test_a_wrong_protocol_is_refused_by_number() -> None:
    old = Predecessor(WITHIN)
    old.start(0.0)
    assert old.on_message(0.0, "ready", "7") == [HandoverCommand.END_OTHER, HandoverCommand.RESUME]
    assert "protocol 7" in old.failure
