"""Charge of slices: every order of a small world is tried, and no slice has two writers or two voices."""

from __future__ import annotations

import pickle
from typing import Any

import pytest

from corallanding.registry.ownership_actions import (
    AnnounceMember,
    ClaimSlice,
    GrantLease,
    KeepAlive,
    OwnershipChange,
    ReleaseSlice,
)
from corallanding.registry.slice_ownership import OwnershipTimings, SliceOwnership, preferred_owner

TERMS = OwnershipTimings(lease_ttl_ms=4.0, safety_margin=0.25, max_pending_claims=1, settle_ms=1.0)


class Broken(AssertionError):
    pass


class World:
    """Two stewards, a registry with leases, one clock; messages wait in order on each way until delivered."""

    def __init__(self, slices: int = 1, fenced: bool = True, careless: bool = False) -> None:
        self.now, self.revision, self.fenced, self.careless = 0, 1, fenced, careless
        self.stewards = [SliceOwnership(m, range(slices), TERMS, is_connected=True) for m in (0, 1)]
        self.asleep = [False, False]
        self.up: list[list[Any]] = [[], []]  # to the registry
        self.down: list[list[Any]] = [[], []]  # to the stewards
        self.leases: dict[int, tuple[int, float]] = {}  # lease: (steward, ends)
        self.charge: dict[int, tuple[int, int, int]] = {}  # slice: (holder, create, lease)
        self.members: dict[int, tuple[int, bool]] = {}  # steward: (lease, leaving)
        self.writers: dict[int, int] = {}  # slice: who wrote last

    def act(self, me: int, actions: list[Any]) -> None:
        self.up[me] += [a for a in actions if not isinstance(a, OwnershipChange)]

    # ---- moves of the world ----------------------------------------------------------------------------

    def moves(self) -> list[tuple[str, int]]:
        out: list[tuple[str, int]] = [("clock", 0)] if self.now < 12 else []
        for me in (0, 1):
            if not self.asleep[me]:
                out.append(("tick", me))
                out += [("hear", me)] if self.down[me] else []
                out += [("write", me)] if self.stewards[me].fencing_tokens else []
            out += [("arrive", me)] if self.up[me] else []
            out.append(("wake" if self.asleep[me] else "sleep", me))
        return out

    def move(self, what: str, me: int) -> None:
        s, now = self.stewards[me], float(self.now)
        if what == "clock":
            self.now += 1
            for lease, (_, ends) in list(self.leases.items()):
                if self.now >= ends:
                    self.end(lease)
        elif what == "tick":
            self.act(me, s.tick(now))
        elif what in ("sleep", "wake"):
            self.asleep[me] = what == "sleep"
        elif what == "hear":
            kind, *args = self.down[me].pop(0)
            self.act(me, getattr(s, kind)(*([now] if kind != "on_released" else []), *args) or [])
        elif what == "write":
            for slice, fence in s.fencing_tokens.items():
                # What a steward does before every write: asks its own clock. A careless one does not.
                if self.careless or s.has_valid_lease(now):
                    self.up[me].append(("write", slice, fence))
        elif what == "arrive":
            self.arrive(me, self.up[me].pop(0))
        self.check()

    def tell(self, me: int, *what: Any) -> None:
        self.down[me].append(what)

    def watchers(self, *what: Any) -> None:
        for me in (0, 1):
            self.tell(me, *what)

    def end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for slice, (_, create, bound) in list(self.charge.items()):
            if bound == lease:
                del self.charge[slice]
                self.watchers("on_owner_observed", slice, None, create)
        for m, (bound, _) in list(self.members.items()):
            if bound == lease:
                del self.members[m]
                self.watchers("on_member_observed", m, False)

    def arrive(self, me: int, asked: Any) -> None:
        self.revision += 1
        match asked:
            case GrantLease():
                self.leases[self.revision] = (me, self.now + TERMS.lease_ttl_ms)
                self.tell(me, "on_lease_granted", self.revision)
            case KeepAlive(lease):
                alive = lease in self.leases
                if alive:
                    self.leases[lease] = (me, self.now + TERMS.lease_ttl_ms)
                self.tell(me, "on_lease_renewed", TERMS.lease_ttl_ms if alive else 0.0)
            case AnnounceMember(lease, leaving) if lease in self.leases:
                self.members[me] = (lease, leaving)
                self.watchers("on_member_observed", me, True, leaving)
            case ClaimSlice(slice, lease):
                if slice in self.charge or lease not in self.leases:
                    self.tell(me, "on_claim_result", slice, lease, 0)
                else:
                    self.charge[slice] = (me, self.revision, lease)
                    self.tell(me, "on_claim_result", slice, lease, self.revision)
                    self.watchers("on_owner_observed", slice, me, self.revision)
            case ReleaseSlice(slice, fence):
                if slice in self.charge and self.charge[slice][1] == fence:
                    del self.charge[slice]
                    self.watchers("on_owner_observed", slice, None, fence)
                self.tell(me, "on_released", slice)
            case ("write", slice, fence):
                held = self.charge.get(slice)
                if self.fenced and (held is None or held[1] != fence):
                    return  # the transaction's compare fails
                if held is None or held[:2] != (me, fence):
                    raise Broken(f"steward {me} wrote slice {slice} under fence {fence}; the charge is {held}")

    def check(self) -> None:
        """By their own clocks, no two stewards may speak for one slice at the same instant."""
        now = float(self.now)
        voices = [
            {s for s in c.fencing_tokens if self.careless or c.has_valid_lease(now)} if not self.asleep[m] else set()
            for m, c in enumerate(self.stewards)
        ]
        if both := voices[0] & voices[1]:
            raise Broken(f"both stewards speak for {both} at {now}")

    def key(self) -> bytes:
        c = [
            (
                s.lease_id,
                s.lease_valid_until_ms,
                s.lease_requested_at_ms,
                sorted(s.members.items()),
                s.members_changed_at_ms,
                sorted(s.fencing_tokens.items()),
                sorted(s.observed_owners.items()),
                sorted(s.pending_claims),
                sorted(s.pending_releases),
            )
            for s in self.stewards
        ]
        return pickle.dumps(
            (
                self.now,
                c,
                self.asleep,
                self.up,
                self.down,
                sorted(self.leases.items()),
                sorted(self.charge.items()),
                sorted(self.members.items()),
            )
        )


def settled(**how: Any) -> World:
    """A world in which steward 1 holds what it may, played to there in the usual order."""
    w = World(**how)
    for _ in range(6):
        for me in (0, 1):
            w.move("tick", me)
            while w.up[me]:
                w.move("arrive", me)
        for me in (0, 1):
            while w.down[me]:
                w.move("hear", me)
        if w.now < 2:
            w.move("clock", 0)
    return w


def explore(first: World, most: int) -> int:
    """Breadth first over all moves; returns how many states were seen. Raises `Broken` with the way there."""
    seen = {first.key()}
    edge = [(pickle.dumps(first), ())]
    while edge and len(seen) < most:
        later = []
        for raw, way in edge:
            for m in pickle.loads(raw).moves():
                w = pickle.loads(raw)
                try:
                    w.move(*m)
                except Broken as fault:
                    raise Broken(f"{fault}; after {[*way, m]}") from None
                k = w.key()
                if k not in seen:
                    seen.add(k)
                    later.append((pickle.dumps(w), (*way, m)))
                    if len(seen) >= most:
                        return len(seen)
        edge = later
    return len(seen)


def test_small_worlds_have_one_writer_and_one_voice_a_slice() -> None:
    assert explore(settled(slices=3), 8_000) == 8_000
    assert explore(World(slices=1), 8_000) == 8_000


def test_the_explorer_finds_a_skipped_fence() -> None:
    """A write that is on its way while its writer's lease ends reaches the registry after the next claim."""
    with pytest.raises(Broken, match="wrote slice"):
        explore(settled(slices=1, fenced=False), 200_000)


def test_the_explorer_finds_a_steward_that_does_not_ask_its_clock() -> None:
    w = settled(slices=1, careless=True)
    holder = 0 if w.stewards[0].fencing_tokens else 1
    w.move("sleep", holder)  # it sleeps, and its lease is about to end: the rest is searched
    run(w, 2, skip=(holder,))
    with pytest.raises(Broken, match="both stewards speak"):
        explore(w, 100_000)


# ---- scenes ----------------------------------------------------------------------------------------------


def held(w: World) -> list[list[int]]:
    return [sorted(s.fencing_tokens) for s in w.stewards]


def run(w: World, turns: int, skip: tuple[int, ...] = ()) -> None:
    for _ in range(turns):
        w.now += 1
        for lease, (_, ends) in list(w.leases.items()):
            if w.now >= ends:
                w.end(lease)
        for me in (0, 1):
            if me not in skip:
                w.act(me, w.stewards[me].tick(float(w.now)))
                while w.up[me]:
                    w.arrive(me, w.up[me].pop(0))
        for me in (0, 1):
            while w.down[me] and me not in skip:
                w.move("hear", me)
        w.check()


def test_slices_are_shared_and_go_over_in_a_planned_end() -> None:
    w = World(slices=8)
    run(w, 20)
    both = held(w)
    assert sorted(both[0] + both[1]) == list(range(8))
    assert both[0]
    assert both[1]
    w.act(0, w.stewards[0].start_leaving(float(w.now)))
    run(w, 20)
    assert held(w) == [[], list(range(8))]
    assert w.stewards[0].is_drained


def test_a_steward_that_sleeps_past_its_lease_wakes_up_with_nothing() -> None:
    w = World(slices=4)
    run(w, 20)
    mine = held(w)[0]
    run(w, 12, skip=(0,))
    assert held(w)[1] == [0, 1, 2, 3], "the other took over"
    sleeper = w.stewards[0]
    assert mine and not sleeper.has_valid_lease(float(w.now)), "by its own clock, before it hears anything"
    run(w, 30)
    both = held(w)
    assert sorted(both[0] + both[1]) == [0, 1, 2, 3]
    assert both[0] == mine


def test_cut_off_it_takes_nothing_new_and_stops_in_time() -> None:
    w = World(slices=4)
    run(w, 20)
    s = w.stewards[0]
    s.on_connection_change(False)
    out = [a for t in range(10) for a in s.tick(float(w.now + t))]
    assert all(isinstance(a, OwnershipChange) and not a.is_owned for a in out)
    assert not s.fencing_tokens


def test_a_claim_whose_answer_came_too_late_goes_back() -> None:
    w = World(slices=1)
    run(w, 20)
    me = preferred_owner(0, (0, 1))
    assert me is not None
    s = w.stewards[me]
    fence = s.fencing_tokens.pop(0)  # as if the answer had been lost
    out = s.tick(float(w.now))
    assert ReleaseSlice(0, fence) in out


def test_a_release_that_the_registry_lost_is_sent_again() -> None:
    """Found by a change of the leader: keys stood under a living lease, and nobody could take the slices. The word
    of leaving is lost as well."""
    w = World(slices=4)
    run(w, 20)
    mine = held(w)[0]
    out = w.stewards[0].start_leaving(float(w.now)) + w.stewards[0].tick(float(w.now))
    assert [a.slice for a in out if isinstance(a, ReleaseSlice)] == mine
    for s in mine:
        w.stewards[0].on_released(s)  # the way broke; none of them reached the registry
    assert mine
    assert not w.stewards[0].is_drained
    run(w, 20)
    assert held(w)[1] == [0, 1, 2, 3]
