"""What every store of tables must do: one suite for the embedded store and for the registry."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sqlite3
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from sockets import until

from corallanding.lab.registry import Registry
from corallanding.registry.controller_lease import OwnershipTimings
from corallanding.registry.etcd import EtcdConnection
from corallanding.registry.table_store import TableStore, TableStoreConfig
from corallanding.registry.watch_messages import WatchLimits
from corallanding.store import SqliteStore

Tables = dict[int, dict[int, float]]


class Embedded:
    """The embedded store: each opening is a start of a controller on the same file."""

    def __init__(self, tmp: Path) -> None:
        self.path = tmp / "s.db"
        self.stores: list[SqliteStore] = []
        self.found: Tables = {}

    async def open(self) -> int:
        store = SqliteStore(self.path)
        if self.stores and self.stores[-1].lock_fd is not None:
            os.close(self.stores[-1].lock_fd)  # the lock is lost, and the former start does not know
            self.stores[-1].lock_fd = None
        self.found = store.open().tables
        self.stores.append(store)
        return len(self.stores) - 1

    async def write(self, opening: int, tables: Tables) -> None:
        entries = [(table, host, weight) for table, row in tables.items() for host, weight in row.items()]
        self.stores[opening].write(1, entries, list(tables))

    async def read(self) -> Tables:
        return {t: row for t, row in self.stores[-1].read_contents(0).tables.items() if row}

    async def block(self, is_blocked: bool) -> None:
        if is_blocked:
            self.lock = sqlite3.connect(self.path, isolation_level=None)
            self.lock.execute("begin immediate")
        else:
            self.lock.execute("rollback")

    async def close(self) -> None:
        for store in self.stores:
            store.close()


class Seat:
    """Receives the slices that one controller owns, with their tables."""

    def __init__(self) -> None:
        self.held: Tables = {}

    def on_slice_granted(self, slice_number: int, weights: dict[int, float]) -> None:
        self.held[slice_number] = weights

    def on_slice_revoked(self, slice_number: int) -> None:
        self.held.pop(slice_number, None)

    def on_failure(self, text: str) -> None: ...


class Shared:
    """The registry: each opening is a controller of its own; the former is suspended, and its lease expires."""

    def __init__(self, tmp: Path) -> None:
        self.registry = Registry()
        self.keepers: list[TableStore] = []
        self.found: Tables = {}

    async def open(self) -> int:
        if not self.keepers:
            await self.registry.start()
        for former in self.keepers:
            for task in list(former.tasks):
                task.cancel()
        seat = Seat()
        me = len(self.keepers)
        config = TableStoreConfig(
            "/t/",
            me,
            range(4),
            OwnershipTimings(lease_ttl_ms=1000.0, settle_ms=50.0),
            WatchLimits(min_backoff_ms=20.0, max_backoff_ms=100.0, max_full_reads_per_minute=600.0),
        )
        keeper = TableStore(
            config,
            lambda: EtcdConnection(f"127.0.0.1:{self.registry.port}", 400.0),
            seat,
            lambda: time.monotonic() * 1000.0,
            random.Random(me).random,
        )
        self.keepers.append(keeper)
        keeper.start()
        await until(lambda: len(seat.held) == 4, 10)
        self.found = {t: row for t, row in seat.held.items() if row}
        return me

    async def write(self, opening: int, tables: Tables) -> None:
        await self.keepers[opening].write(tables)

    async def read(self) -> Tables:
        keys = self.registry.store.keys.items()
        rows = {int(k.split(b"/")[-1]): json.loads(v.value) for k, v in keys if b"tables" in k}
        return {t: {int(h): w for h, w in row.items()} for t, row in rows.items() if row}

    async def block(self, is_blocked: bool) -> None:
        self.registry.store.faults.down = is_blocked

    async def close(self) -> None:
        for keeper in self.keepers:
            await keeper.stop()
        await self.registry.stop()


FIRST: Tables = {0: {10: 1.0, 11: 0.5}, 1: {10: 1.0}, 2: {12: 1.0}}


async def written_tables_are_given_back(store: Any) -> None:
    opening = await store.open()
    await store.write(opening, FIRST)
    assert await store.read() == FIRST
    await store.open()
    assert store.found == FIRST


async def a_table_is_replaced_as_a_whole(store: Any) -> None:
    opening = await store.open()
    await store.write(opening, FIRST)
    await store.write(opening, {0: {12: 1.0}, 2: {}})
    assert await store.read() == {0: {12: 1.0}, 1: {10: 1.0}}


async def a_repeated_write_is_harmless(store: Any) -> None:
    opening = await store.open()
    for _ in range(3):
        await store.write(opening, FIRST)
    assert await store.read() == FIRST


async def a_former_controller_writes_nothing(store: Any) -> None:
    former = await store.open()
    await store.write(former, FIRST)
    await store.open()
    with pytest.raises(Exception, match=r"charge|taken|held"):
        await store.write(former, {0: {66: 1.0}, 1: {66: 1.0}})
    assert await store.read() == FIRST


async def a_failed_write_changes_nothing(store: Any) -> None:
    opening = await store.open()
    await store.write(opening, FIRST)
    await store.block(True)
    with pytest.raises(Exception, match=r"locked|UNAVAILABLE|reached"):
        await store.write(opening, {0: {66: 1.0}, 1: {66: 1.0}})
    await store.block(False)
    assert await store.read() == FIRST
    await store.write(opening, {1: {13: 1.0}})
    assert (await store.read())[1] == {13: 1.0}


SUITE: list[Callable[[Any], Awaitable[None]]] = [
    written_tables_are_given_back,
    a_table_is_replaced_as_a_whole,
    a_repeated_write_is_harmless,
    a_former_controller_writes_nothing,
    a_failed_write_changes_nothing,
]


@pytest.mark.parametrize("kind", [Embedded, Shared])
@pytest.mark.parametrize("case", SUITE, ids=lambda c: c.__name__)
def test_store_when_used_as_the_suite_demands_then_conforms(
    case: Callable[[Any], Awaitable[None]], kind: Any, tmp_path: Path
) -> None:
    async def scene() -> None:
        async with asyncio.timeout(30):
            store = kind(tmp_path)
            try:
                await case(store)
            finally:
                await store.close()

    asyncio.run(scene())
