"""Several stewards share slices through the stand-in registry: planned and unplanned ends, sleep, cuts, fences."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any

import pytest
from sockets import until

from corallanding.lab.registry import Registry
from corallanding.registry.errors import FencedError, RegistryUnavailableError
from corallanding.registry.etcd import EtcdConnection
from corallanding.registry.slice_ownership import OwnershipTimings
from corallanding.registry.table_store import TableStore
from corallanding.registry.watch_messages import WatchLimits

SLICES = 12
TERMS = OwnershipTimings(lease_ttl_ms=1000.0, safety_margin=0.25, settle_ms=150.0)


class Seat:
    def __init__(self) -> None:
        self.held: dict[int, dict[int, float]] = {}
        self.words: list[str] = []

    def on_slice_granted(self, slice: int, lines: dict[int, float]) -> None:
        self.held[slice] = lines

    def on_slice_revoked(self, slice: int) -> None:
        self.held.pop(slice, None)

    def on_failure(self, text: str) -> None:
        self.words.append(text)


def clock() -> float:
    return time.monotonic() * 1000.0


class Stewards:
    def __init__(self, r: Registry, count: int) -> None:
        self.seats = [Seat() for _ in range(count)]
        self.keepers = [
            TableStore(
                lambda: EtcdConnection(f"127.0.0.1:{r.port}", 500.0),
                "/corallanding/",
                me,
                range(SLICES),
                seat,
                clock,
                random.Random(me).random,
                TERMS,
                WatchLimits(min_backoff_ms=20.0, max_backoff_ms=200.0, max_full_reads_per_minute=600.0),
            )
            for me, seat in enumerate(self.seats)
        ]

    async def __aenter__(self) -> Stewards:
        for k in self.keepers:
            k.start()
        return self

    async def __aexit__(self, *why: object) -> None:
        for k in self.keepers:
            await k.stop()

    def shared(self, among: set[int]) -> bool:
        """Every slice at exactly one seat, all seats of `among` at work, and the registry agrees."""
        held = [s for seat in self.seats for s in seat.held]
        busy = {n for n, seat in enumerate(self.seats) if seat.held}
        return sorted(held) == list(range(SLICES)) and busy == among


def play(work: Any, count: int = 3) -> None:
    async def scene() -> None:
        async with asyncio.timeout(40):
            r = Registry()
            await r.start()
            try:
                async with Stewards(r, count) as s:
                    await until(lambda: s.shared(set(range(count))), 15)
                    await work(r, s)
            finally:
                await r.stop()

    asyncio.run(scene())


def test_slices_go_over_in_a_planned_end_with_their_tables() -> None:
    async def scene(r: Registry, s: Stewards) -> None:
        mine = sorted(s.seats[0].held)
        await s.keepers[0].write({slice: {100 + slice: 1.0} for slice in mine})
        s.keepers[0].start_leaving()
        await until(lambda: s.keepers[0].is_drained and s.shared({1, 2}))
        for slice in mine:
            holder = next(seat for seat in s.seats if slice in seat.held)
            assert holder.held[slice] == {100 + slice: 1.0}
        with pytest.raises(FencedError):
            await s.keepers[0].write({mine[0]: {1: 1.0}})

    play(scene)


def test_slices_of_a_dead_steward_go_over_when_its_lease_ends() -> None:
    async def scene(r: Registry, s: Stewards) -> None:
        await s.keepers[1].stop()
        s.seats[1].held.clear()
        begun = clock()
        await until(lambda: s.shared({0, 2}))
        assert clock() - begun > TERMS.lease_ttl_ms * 0.4

    play(scene)


def test_a_steward_that_slept_past_its_lease_writes_nothing() -> None:
    async def scene(r: Registry, s: Stewards) -> None:
        sleeper = s.keepers[2]
        mine = sorted(s.seats[2].held)
        for task in list(sleeper.tasks):
            task.cancel()  # it stands still: no tick, no watch, no keep-alive
        await until(lambda: all(any(x in s.seats[k].held for k in (0, 1)) for x in mine))
        before = dict(r.store.keys)
        with pytest.raises(FencedError):
            await sleeper.write({x: {666: 1.0} for x in mine})
        # Even one that believed its clock: the registry's transaction refuses it.
        sleeper.ownership.lease_valid_until_ms = clock() + 1e9
        sleeper.watcher.connection = EtcdConnection(f"127.0.0.1:{r.port}", 500.0)
        with pytest.raises(FencedError, match=f"{len(mine)} slices"):
            await sleeper.write({x: {666: 1.0} for x in mine})
        tables = {k: v for k, v in r.store.keys.items() if b"tables" in k}
        assert tables == {k: v for k, v in before.items() if b"tables" in k}

    play(scene)


def test_cut_off_a_steward_stops_speaking_before_its_slices_can_move() -> None:
    async def scene(r: Registry, s: Stewards) -> None:
        await r.stop()
        ended = [clock() for _ in s.keepers]
        for n, k in enumerate(s.keepers):
            await until(lambda k=k: not k.ownership.has_valid_lease(clock()))  # type: ignore[misc]
            ended[n] = clock()
        await until(lambda: not any(seat.held for seat in s.seats))
        assert all("registry" in " ".join(seat.words) for seat in s.seats)
        await r.start()
        await until(lambda: s.shared({0, 1, 2}), 15)

    play(scene)


def test_a_change_of_the_leader_costs_no_slice_and_doubles_none() -> None:
    """Claims applied by a leader that fell before it answered, a time without any, leases granted anew."""

    async def scene(r: Registry, s: Stewards) -> None:
        doubled: list[int] = []

        def look() -> bool:
            held = [
                x
                for k, seat in zip(s.keepers, s.seats, strict=True)
                if k.ownership.has_valid_lease(clock())
                for x in seat.held
            ]
            doubled.extend(x for x in held if held.count(x) > 1)
            return True

        await s.keepers[0].write({x: {7: 1.0} for x in s.seats[0].held})
        r.faults.unanswered = 3  # of the claims that come now, three are applied and not answered
        s.keepers[1].start_leaving()
        await until(lambda: look() and r.faults.unanswered == 0)
        r.faults.leaderless = True
        with pytest.raises((FencedError, RegistryUnavailableError)):
            await s.keepers[0].write({x: {8: 1.0} for x in s.seats[0].held})
        for _ in range(40):
            look()
            await asyncio.sleep(0.01)
        r.faults.leaderless = False
        r.store.elect(asyncio.get_running_loop().time())
        await until(lambda: look() and s.shared({0, 2}), 15)
        assert not doubled
        await s.keepers[2].write({x: {9: 1.0} for x in s.seats[2].held})

    play(scene)


def test_large_writes_go_in_batches_within_the_registry_s_limits() -> None:
    async def scene(r: Registry, s: Stewards) -> None:
        k = s.keepers[0]
        k.ownership.slices = range(250)
        await until(lambda: len(s.seats[0].held) == 250, 15)
        calls = r.store.calls["Txn"]
        await k.write({x: dict.fromkeys(range(3), 1.0) for x in range(250)})
        assert r.store.calls["Txn"] - calls == 3
        kept = json.loads(r.store.keys[b"/corallanding/tables/249"].value)
        assert kept == {"0": 1.0, "1": 1.0, "2": 1.0}

    play(scene, count=1)
