"""What every keeper of tables must do: one suite for the embedded store and for the registry."""

from __future__ import annotations

import asyncio
import random
import sqlite3
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from sockets import until

from corallanding.lab.registry import Registry
from corallanding.registry.etcd import Etcd
from corallanding.registry.slice_ownership import Terms
from corallanding.registry.table_store import Keeper
from corallanding.registry.watch_state import Limits
from corallanding.store import SqliteStore

Tables = dict[int, dict[int, float]]


class Embedded:
    """Each opening is a steward's life on the same file."""

    def __init__(self, tmp: Path) -> None:
        self.path = tmp / "s.db"
        self.lives: list[SqliteStore] = []
        self.found: Tables = {}

    async def open(self) -> int:
        store = SqliteStore(self.path)
        if self.lives and self.lives[-1].lock is not None:
            import os

            os.close(self.lives[-1].lock)  # the lock is lost, and the former does not know
            self.lives[-1].lock = None
        self.found = store.open().tables
        self.lives.append(store)
        return len(self.lives) - 1

    async def write(self, life: int, tables: Tables) -> None:
        lines = [(t, h, w) for t, row in tables.items() for h, w in row.items()]
        self.lives[life].write(1, lines, list(tables))

    async def read(self) -> Tables:
        return {t: row for t, row in self.lives[-1].read(0).tables.items() if row}

    async def block(self, on: bool) -> None:
        if on:
            self.lock = sqlite3.connect(self.path, isolation_level=None)
            self.lock.execute("begin immediate")
        else:
            self.lock.execute("rollback")

    async def close(self) -> None:
        for store in self.lives:
            store.close()


class Seat:
    def __init__(self) -> None:
        self.held: Tables = {}

    def given(self, slice: int, lines: dict[int, float]) -> None:
        self.held[slice] = lines

    def taken(self, slice: int) -> None:
        self.held.pop(slice, None)

    def said(self, text: str) -> None: ...


class Shared:
    """Each opening is a steward of its own; the former stands still, and its lease runs out."""

    def __init__(self, tmp: Path) -> None:
        self.registry = Registry()
        self.keepers: list[Keeper] = []
        self.found: Tables = {}

    async def open(self) -> int:
        if not self.keepers:
            await self.registry.start()
        for k in self.keepers:
            for task in list(k.tasks):
                task.cancel()
        seat, me = Seat(), len(self.keepers)
        keeper = Keeper(
            lambda: Etcd(f"127.0.0.1:{self.registry.port}", 400.0),
            "/t/",
            me,
            range(4),
            seat,
            lambda: time.monotonic() * 1000.0,
            random.Random(me).random,
            Terms(ttl=1000.0, settle=50.0),
            Limits(wait=20.0, wait_most=100.0, reads_per_min=600.0),
        )
        self.keepers.append(keeper)
        keeper.start()
        await until(lambda: len(seat.held) == 4, 10)
        self.found = {t: row for t, row in seat.held.items() if row}
        return me

    async def write(self, life: int, tables: Tables) -> None:
        await self.keepers[life].write(tables)

    async def read(self) -> Tables:
        import json

        keys = self.registry.store.keys.items()
        rows = {int(k.split(b"/")[-1]): json.loads(v.value) for k, v in keys if b"tables" in k}
        return {t: {int(h): w for h, w in row.items()} for t, row in rows.items() if row}

    async def block(self, on: bool) -> None:
        self.registry.store.faults.down = on

    async def close(self) -> None:
        for k in self.keepers:
            await k.stop()
        await self.registry.stop()


FIRST: Tables = {0: {10: 1.0, 11: 0.5}, 1: {10: 1.0}, 2: {12: 1.0}}


async def kept_and_given_back(s: Any) -> None:
    life = await s.open()
    await s.write(life, FIRST)
    assert await s.read() == FIRST
    await s.open()
    assert s.found == FIRST


async def a_table_is_replaced_whole(s: Any) -> None:
    life = await s.open()
    await s.write(life, FIRST)
    await s.write(life, {0: {12: 1.0}, 2: {}})
    assert await s.read() == {0: {12: 1.0}, 1: {10: 1.0}}


async def the_same_again_is_harmless(s: Any) -> None:
    life = await s.open()
    for _ in range(3):
        await s.write(life, FIRST)
    assert await s.read() == FIRST


async def a_former_holder_writes_nothing(s: Any) -> None:
    old = await s.open()
    await s.write(old, FIRST)
    await s.open()
    with pytest.raises(Exception, match="charge|taken|held"):
        await s.write(old, {0: {66: 1.0}, 1: {66: 1.0}})
    assert await s.read() == FIRST


async def a_write_that_cannot_be_done_changes_nothing(s: Any) -> None:
    life = await s.open()
    await s.write(life, FIRST)
    await s.block(True)
    with pytest.raises(Exception, match="locked|UNAVAILABLE|reached"):
        await s.write(life, {0: {66: 1.0}, 1: {66: 1.0}})
    await s.block(False)
    assert await s.read() == FIRST
    await s.write(life, {1: {13: 1.0}})
    assert (await s.read())[1] == {13: 1.0}


SUITE: list[Callable[[Any], Awaitable[None]]] = [
    kept_and_given_back,
    a_table_is_replaced_whole,
    the_same_again_is_harmless,
    a_former_holder_writes_nothing,
    a_write_that_cannot_be_done_changes_nothing,
]


@pytest.mark.parametrize("kind", [Embedded, Shared])
@pytest.mark.parametrize("case", SUITE, ids=lambda c: c.__name__)
def test_conformance(case: Callable[[Any], Awaitable[None]], kind: Any, tmp_path: Path) -> None:
    async def scene() -> None:
        async with asyncio.timeout(30):
            store = kind(tmp_path)
            try:
                await case(store)
            finally:
                await store.close()

    asyncio.run(scene())
