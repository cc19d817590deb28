"""Controllers share slices through the stand-in registry: shutdowns, crashes, suspension, lost connections."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable

import pytest
from sockets import until

from corallanding.lab.registry import Registry
from corallanding.registry.controller_lease import OwnershipTimings
from corallanding.registry.errors import FencedError, RegistryUnavailableError
from corallanding.registry.etcd import EtcdConnection
from corallanding.registry.table_store import TableStore, TableStoreConfig
from corallanding.registry.watch_messages import WatchLimits

SLICES = 12
TIMINGS = OwnershipTimings(lease_ttl_ms=1000.0, safety_margin=0.25, settle_ms=150.0)
WATCH_LIMITS = WatchLimits(min_backoff_ms=20.0, max_backoff_ms=200.0, max_full_reads_per_minute=600.0)
TIMEOUT_MS = 500.0

Weights = dict[int, float]


class OwnedSlices:
    """Records the notifications of a table store."""

    def __init__(self) -> None:
        self.tables: dict[int, Weights] = {}
        self.failures: list[str] = []

    def on_slice_granted(self, slice_id: int, weights: Weights) -> None:
        self.tables[slice_id] = weights

    def on_slice_revoked(self, slice_id: int) -> None:
        self.tables.pop(slice_id, None)

    def on_failure(self, text: str) -> None:
        self.failures.append(text)


def clock_ms() -> float:
    return time.monotonic() * 1000.0


def make_store(registry: Registry, controller: int, owned: OwnedSlices) -> TableStore:
    config = TableStoreConfig("/corallanding/", controller, range(SLICES), TIMINGS, WATCH_LIMITS)

    def connect() -> EtcdConnection:
        return EtcdConnection(f"127.0.0.1:{registry.port}", TIMEOUT_MS)

    return TableStore(config, connect, owned, clock_ms, random.Random(controller).random)


class Controllers:
    """Several controllers that share slices through one registry."""

    def __init__(self, registry: Registry, count: int) -> None:
        self.owned = [OwnedSlices() for _ in range(count)]
        self.stores = [make_store(registry, number, owned) for number, owned in enumerate(self.owned)]

    async def __aenter__(self) -> Controllers:
        for store in self.stores:
            store.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        for store in self.stores:
            await store.stop()

    def is_shared(self, numbers: set[int]) -> bool:
        """Return whether every slice has exactly one owner, and exactly the controllers of `numbers` own some."""
        slices = [slice_id for owned in self.owned for slice_id in owned.tables]
        owners = {number for number, owned in enumerate(self.owned) if owned.tables}
        return sorted(slices) == list(range(SLICES)) and owners == numbers


def run_scenario(scenario: Callable[[Registry, Controllers], Awaitable[None]], count: int = 3) -> None:
    """Run a scenario once the slices are shared among `count` controllers."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(40):
            registry = Registry()
            await registry.start()
            try:
                async with Controllers(registry, count) as controllers:
                    await until(lambda: controllers.is_shared(set(range(count))), 15)
                    await scenario(registry, controllers)
            finally:
                await registry.stop()

    asyncio.run(run_with_timeout())


def test_store_when_a_controller_leaves_then_its_slices_are_handed_over_with_their_tables() -> None:
    async def scenario(registry: Registry, controllers: Controllers) -> None:
        owned_before = sorted(controllers.owned[0].tables)
        await controllers.stores[0].write({slice_id: {100 + slice_id: 1.0} for slice_id in owned_before})
        controllers.stores[0].start_leaving()
        await until(lambda: controllers.stores[0].is_drained and controllers.is_shared({1, 2}))
        for slice_id in owned_before:
            owner = next(owned for owned in controllers.owned if slice_id in owned.tables)
            assert owner.tables[slice_id] == {100 + slice_id: 1.0}
        with pytest.raises(FencedError):
            await controllers.stores[0].write({owned_before[0]: {1: 1.0}})

    run_scenario(scenario)


def test_store_when_a_controller_crashes_then_its_slices_are_claimed_after_its_lease() -> None:
    async def scenario(registry: Registry, controllers: Controllers) -> None:
        await controllers.stores[1].stop()
        controllers.owned[1].tables.clear()
        crashed_at_ms = clock_ms()
        await until(lambda: controllers.is_shared({0, 2}))
        assert clock_ms() - crashed_at_ms > TIMINGS.lease_ttl_ms * 0.4

    run_scenario(scenario)


def test_write_when_suspended_past_the_lease_then_nothing_is_written() -> None:
    async def scenario(registry: Registry, controllers: Controllers) -> None:
        suspended = controllers.stores[2]
        owned_before = sorted(controllers.owned[2].tables)
        for task in list(suspended.tasks):
            task.cancel()  # no tick, no watch, no keep-alive
        others = controllers.owned[:2]
        await until(lambda: all(any(slice_id in owned.tables for owned in others) for slice_id in owned_before))
        keys_before = dict(registry.store.keys)
        with pytest.raises(FencedError):
            await suspended.write({slice_id: {666: 1.0} for slice_id in owned_before})
        # Even if its clock shows a valid lease, the registry's transaction rejects the write.
        suspended.ownership.lease.valid_until_ms = clock_ms() + 1e9
        suspended.watcher.connection = EtcdConnection(f"127.0.0.1:{registry.port}", TIMEOUT_MS)
        with pytest.raises(FencedError, match=f"{len(owned_before)} slices"):
            await suspended.write({slice_id: {666: 1.0} for slice_id in owned_before})
        tables = {key: value for key, value in registry.store.keys.items() if b"tables" in key}
        assert tables == {key: value for key, value in keys_before.items() if b"tables" in key}

    run_scenario(scenario)


def test_store_when_disconnected_then_its_lease_is_invalid_before_slices_can_move() -> None:
    async def scenario(registry: Registry, controllers: Controllers) -> None:
        await registry.stop()
        for store in controllers.stores:
            await until(lambda store=store: not store.ownership.has_valid_lease(clock_ms()))  # type: ignore[misc]
        await until(lambda: not any(owned.tables for owned in controllers.owned))
        assert all("registry" in " ".join(owned.failures) for owned in controllers.owned)
        await registry.start()
        await until(lambda: controllers.is_shared({0, 1, 2}), 15)

    run_scenario(scenario)


def test_store_when_the_registry_changes_its_leader_then_no_slice_is_lost_or_owned_twice() -> None:
    """The leader applies claims and fails before it responds; after a time without leader, leases are granted again."""

    async def scenario(registry: Registry, controllers: Controllers) -> None:
        owned_twice: list[int] = []

        def record_slices_owned_twice() -> bool:
            acted_for = [
                slice_id
                for store, owned in zip(controllers.stores, controllers.owned, strict=True)
                if store.ownership.has_valid_lease(clock_ms())
                for slice_id in owned.tables
            ]
            owned_twice.extend(slice_id for slice_id in acted_for if acted_for.count(slice_id) > 1)
            return True

        await controllers.stores[0].write({slice_id: {7: 1.0} for slice_id in controllers.owned[0].tables})
        registry.faults.unanswered = 3  # three of the next claims are applied, but get no response
        controllers.stores[1].start_leaving()
        await until(lambda: record_slices_owned_twice() and registry.faults.unanswered == 0)
        registry.faults.leaderless = True
        with pytest.raises((FencedError, RegistryUnavailableError)):
            await controllers.stores[0].write({slice_id: {8: 1.0} for slice_id in controllers.owned[0].tables})
        for _ in range(40):
            record_slices_owned_twice()
            await asyncio.sleep(0.01)
        registry.faults.leaderless = False
        registry.store.elect(asyncio.get_running_loop().time())
        await until(lambda: record_slices_owned_twice() and controllers.is_shared({0, 2}), 15)
        assert not owned_twice
        await controllers.stores[2].write({slice_id: {9: 1.0} for slice_id in controllers.owned[2].tables})

    run_scenario(scenario)


def test_write_when_large_then_it_is_sent_in_batches_within_the_registry_limits() -> None:
    async def scenario(registry: Registry, controllers: Controllers) -> None:
        store = controllers.stores[0]
        store.ownership.slices = range(250)
        await until(lambda: len(controllers.owned[0].tables) == 250, 15)
        calls = registry.store.calls["Txn"]
        await store.write({slice_id: dict.fromkeys(range(3), 1.0) for slice_id in range(250)})
        assert registry.store.calls["Txn"] - calls == 3
        stored = json.loads(registry.store.keys[b"/corallanding/tables/249"].value)
        assert stored == {"0": 1.0, "1": 1.0, "2": 1.0}

    run_scenario(scenario, count=1)
