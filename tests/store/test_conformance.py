"""Conformance suite for stores of tables: the embedded store and the registry."""

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


class EmbeddedStoreAdapter:
    """The embedded store; each `open` is a start of a controller on the same file."""

    def __init__(self, directory: Path) -> None:
        self.path = directory / "s.db"
        self.stores: list[SqliteStore] = []
        self.loaded_tables: Tables = {}

    async def open(self) -> int:
        store = SqliteStore(self.path)
        if self.stores and self.stores[-1].lock_fd is not None:
            os.close(self.stores[-1].lock_fd)  # the previous start loses its lock without noticing
            self.stores[-1].lock_fd = None
        self.loaded_tables = store.open().tables
        self.stores.append(store)
        return len(self.stores) - 1

    async def write(self, controller: int, tables: Tables) -> None:
        entries = [(table, host, weight) for table, row in tables.items() for host, weight in row.items()]
        self.stores[controller].write(1, entries, list(tables))

    async def read(self) -> Tables:
        return {table: row for table, row in self.stores[-1].read_contents(0).tables.items() if row}

    async def block(self, is_blocked: bool) -> None:
        if is_blocked:
            self.lock = sqlite3.connect(self.path, isolation_level=None)
            self.lock.execute("begin immediate")
        else:
            self.lock.execute("rollback")

    async def close(self) -> None:
        for store in self.stores:
            store.close()


class RecordingOwner:
    """Records the slices that one controller owns, with their tables."""

    def __init__(self) -> None:
        self.tables: Tables = {}

    def on_slice_granted(self, slice_number: int, weights: dict[int, float]) -> None:
        self.tables[slice_number] = weights

    def on_slice_revoked(self, slice_number: int) -> None:
        self.tables.pop(slice_number, None)

    def on_failure(self, text: str) -> None: ...


class RegistryAdapter:
    """The registry; each `open` is a new controller, while the previous one is suspended and its lease expires."""

    def __init__(self, directory: Path) -> None:
        self.registry = Registry()
        self.stores: list[TableStore] = []
        self.loaded_tables: Tables = {}

    async def open(self) -> int:
        if not self.stores:
            await self.registry.start()
        for previous in self.stores:
            for task in list(previous.tasks):
                task.cancel()
        owner = RecordingOwner()
        number = len(self.stores)
        config = TableStoreConfig(
            "/t/",
            number,
            range(4),
            OwnershipTimings(lease_ttl_ms=1000.0, settle_ms=50.0),
            WatchLimits(min_backoff_ms=20.0, max_backoff_ms=100.0, max_full_reads_per_minute=600.0),
        )
        store = TableStore(
            config,
            lambda: EtcdConnection(f"127.0.0.1:{self.registry.port}", 400.0),
            owner,
            lambda: time.monotonic() * 1000.0,
            random.Random(number).random,
        )
        self.stores.append(store)
        store.start()
        await until(lambda: len(owner.tables) == 4, 10)
        self.loaded_tables = {table: row for table, row in owner.tables.items() if row}
        return number

    async def write(self, controller: int, tables: Tables) -> None:
        await self.stores[controller].write(tables)

    async def read(self) -> Tables:
        items = self.registry.store.keys.items()
        rows = {int(key.split(b"/")[-1]): json.loads(entry.value) for key, entry in items if b"tables" in key}
        return {table: {int(host): weight for host, weight in row.items()} for table, row in rows.items() if row}

    async def block(self, is_blocked: bool) -> None:
        self.registry.store.faults.down = is_blocked

    async def close(self) -> None:
        for store in self.stores:
            await store.stop()
        await self.registry.stop()


INITIAL_TABLES: Tables = {0: {10: 1.0, 11: 0.5}, 1: {10: 1.0}, 2: {12: 1.0}}


async def written_tables_are_returned_by_the_next_open(store: Any) -> None:
    controller = await store.open()
    await store.write(controller, INITIAL_TABLES)
    assert await store.read() == INITIAL_TABLES
    await store.open()
    assert store.loaded_tables == INITIAL_TABLES


async def a_write_replaces_complete_tables(store: Any) -> None:
    controller = await store.open()
    await store.write(controller, INITIAL_TABLES)
    await store.write(controller, {0: {12: 1.0}, 2: {}})
    assert await store.read() == {0: {12: 1.0}, 1: {10: 1.0}}


async def a_repeated_write_changes_nothing(store: Any) -> None:
    controller = await store.open()
    for _ in range(3):
        await store.write(controller, INITIAL_TABLES)
    assert await store.read() == INITIAL_TABLES


async def a_superseded_controller_cannot_write(store: Any) -> None:
    superseded = await store.open()
    await store.write(superseded, INITIAL_TABLES)
    await store.open()
    with pytest.raises(Exception, match=r"lost the ownership|taken|held"):
        await store.write(superseded, {0: {66: 1.0}, 1: {66: 1.0}})
    assert await store.read() == INITIAL_TABLES


async def a_failed_write_changes_nothing(store: Any) -> None:
    controller = await store.open()
    await store.write(controller, INITIAL_TABLES)
    await store.block(True)
    with pytest.raises(Exception, match=r"locked|UNAVAILABLE|not connected"):
        await store.write(controller, {0: {66: 1.0}, 1: {66: 1.0}})
    await store.block(False)
    assert await store.read() == INITIAL_TABLES
    await store.write(controller, {1: {13: 1.0}})
    assert (await store.read())[1] == {13: 1.0}


SUITE: list[Callable[[Any], Awaitable[None]]] = [
    written_tables_are_returned_by_the_next_open,
    a_write_replaces_complete_tables,
    a_repeated_write_changes_nothing,
    a_superseded_controller_cannot_write,
    a_failed_write_changes_nothing,
]


@pytest.mark.parametrize("adapter", [EmbeddedStoreAdapter, RegistryAdapter])
@pytest.mark.parametrize("case", SUITE, ids=lambda case: case.__name__)
def test_store_when_used_through_the_interface_then_it_conforms(
    case: Callable[[Any], Awaitable[None]], adapter: Any, tmp_path: Path
) -> None:
    async def run_case() -> None:
        async with asyncio.timeout(30):
            store = adapter(tmp_path)
            try:
                await case(store)
            finally:
                await store.close()

    asyncio.run(run_case())
