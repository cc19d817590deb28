"""Hosts from the registry: disconnections, compaction, lagging members, restores, Consul."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any

import pytest
from sockets import until

from corallanding.config.sources import RegistryBlock
from corallanding.lab.registry import Registry
from corallanding.registry.source import host_row, make_source
from corallanding.registry.watch_messages import KeyValue
from tests.registry.support import (
    PREFIX,
    SourceOwner,
    host_value,
    is_current,
    run_scenario,
    start_source,
    stored_states,
)


@pytest.mark.parametrize("kind", ["etcd", "consul"])
def test_source_when_keys_change_then_every_change_arrives_once_and_in_order(kind: str) -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        for number in range(7):  # more than two pages
            await registry.put(f"{PREFIX}{number}", host_value(number))
        source = start_source(registry, owner, kind=kind)
        await until(lambda: is_current(registry, owner))
        assert [is_full for is_full, _, _ in owner.history] == [True]
        for number in range(12):
            await registry.put(f"{PREFIX}{number % 5}", host_value(number % 5, weight=1.0 + number))
            await registry.put("/elsewhere", number)
            await asyncio.sleep(0.02)
        await registry.put(f"{PREFIX}6", None)
        await until(lambda: is_current(registry, owner))
        versions = [version for _, version, _ in owner.history]
        assert versions == sorted(set(versions))
        assert owner.history[-1][2][0] == "up11.0"
        for is_full, version, states in owner.history:
            assert states == stored_states(registry, version), (is_full, version)
        if kind == "etcd":
            assert len(owner.history) == 14
            assert registry.store.calls["Range"] == 3, "three pages of one full read, then only the watch"
        source.stop()

    run_scenario(scenario)


def test_source_when_the_registry_compacts_while_disconnected_then_one_correct_change_set_is_reported() -> None:
    """The last seen revision is compacted during an outage in which hosts drain, are removed and are added."""

    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        for number in range(6):
            await registry.put(f"{PREFIX}{number}", host_value(number))
        source = start_source(registry, owner)
        await until(lambda: is_current(registry, owner))
        reported_before = len(owner.history)
        await registry.stop()
        registry.store.put(f"{PREFIX}1".encode(), json.dumps(host_value(1, state="draining")).encode())
        registry.store.put(f"{PREFIX}2".encode(), None)
        registry.store.put(f"{PREFIX}3".encode(), None)
        registry.store.put(f"{PREFIX}3".encode(), json.dumps(host_value(3, weight=3.0)).encode())
        registry.store.put(f"{PREFIX}9".encode(), json.dumps(host_value(9)).encode())
        registry.store.compact(registry.store.revision)
        await registry.start()
        await until(lambda: is_current(registry, owner))
        after = owner.history[reported_before:]
        assert len(after) == 1, "one report"
        assert not after[0][0], "as changes"
        assert any("compacted away" in text for text in owner.failures)
        await registry.put(f"{PREFIX}4", host_value(4, state="draining"))
        await until(lambda: is_current(registry, owner))
        source.stop()

    run_scenario(scenario)


def test_source_when_disconnected_without_compaction_then_the_watch_resumes_without_a_read() -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        for number in range(4):
            await registry.put(f"{PREFIX}{number}", host_value(number))
        source = start_source(registry, owner)
        await until(lambda: is_current(registry, owner))
        reads_before = registry.store.calls["Range"]
        await registry.stop()
        for step in range(5):
            registry.store.put(f"{PREFIX}1".encode(), json.dumps(host_value(1, weight=2.0 + step)).encode())
        registry.store.faults.fragment = 2
        await registry.start()
        await until(lambda: is_current(registry, owner))
        assert registry.store.calls["Range"] == reads_before
        assert [states[1] for _, _, states in owner.history][-5:] == [f"up{2.0 + step}" for step in range(5)]
        source.stop()

    run_scenario(scenario)


def test_source_when_a_member_lags_then_its_response_reverts_nothing() -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        await registry.put(f"{PREFIX}1", host_value(1))
        source = start_source(registry, owner)
        await until(lambda: is_current(registry, owner))
        for step in range(4):
            await registry.put(f"{PREFIX}1", host_value(1, weight=5.0 + step))
        await until(lambda: is_current(registry, owner))
        reported_before = len(owner.history)
        await registry.stop()
        for number in (2, 3):
            registry.store.put(f"{PREFIX}{number}".encode(), json.dumps(host_value(number)).encode())
        registry.store.compact(registry.store.revision)
        registry.store.faults.lag = 4
        await registry.start()
        await until(lambda: any("is known" in text for text in owner.failures))
        assert len(owner.history) == reported_before
        registry.store.faults.lag = 0
        await until(lambda: is_current(registry, owner))
        source.stop()

    run_scenario(scenario)


def test_source_when_the_registry_is_restored_then_it_lists_again_and_reports_it() -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        for number in range(3):
            await registry.put(f"{PREFIX}{number}", host_value(number))
        source = start_source(registry, owner)
        await until(lambda: is_current(registry, owner))
        backup_revision = registry.store.revision - 1
        await registry.stop()
        registry.store.restore(backup_revision)
        await registry.start()
        await until(lambda: is_current(registry, owner))
        assert sorted(owner.history[-1][2]) == [0, 1]
        assert any("another cluster" in text for text in owner.failures)
        source.stop()

    run_scenario(scenario)


def test_source_when_a_member_loses_its_leader_then_another_member_is_used() -> None:
    """A watch of a leaderless member stays open without events, as a source without the leader check shows."""

    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        second = Registry(of=registry)
        await second.start()
        await registry.put(f"{PREFIX}1", host_value(1))
        unchecked_owner = SourceOwner()
        unchecked_source = make_source(
            RegistryBlock(address=f"127.0.0.1:{registry.port}"),
            unchecked_owner,
            lambda: time.monotonic() * 1000.0,
            random.Random(1).random,
        )
        original_connect = unchecked_source.watcher.connect

        def connect_without_leader_check() -> Any:
            connection = original_connect()
            connection.watch_metadata = ()
            return connection

        unchecked_source.watcher.connect = connect_without_leader_check
        unchecked_source.start()
        source = start_source(registry, owner, others=[f"127.0.0.1:{second.port}"])
        await until(lambda: is_current(registry, owner) and is_current(registry, unchecked_owner))
        registry.faults.leaderless = True
        await second.put(f"{PREFIX}1", host_value(1, state="draining"))
        await until(lambda: is_current(registry, owner))
        await asyncio.sleep(0.3)
        assert unchecked_owner.history[-1][2] == {1: "up1.0"}, "the injected fault has no effect"
        assert not unchecked_owner.failures, "the injected fault has no effect"
        assert any("no leader" in text for text in owner.failures)
        source.stop()
        unchecked_source.stop()
        await second.stop()

    run_scenario(scenario)


def test_source_when_a_value_does_not_parse_then_that_host_alone_keeps_its_entry() -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        for number in (1, 2):
            await registry.put(f"{PREFIX}{number}", host_value(number))
        source = start_source(registry, owner)
        await until(lambda: is_current(registry, owner))
        await registry.put(f"{PREFIX}1", b"{not json")
        await registry.put(f"{PREFIX}2", host_value(2, weight=2.0))
        await until(lambda: owner.view.entries[2].weight == 2.0)
        assert owner.view.entries[1].state == "up"
        source.stop()

    run_scenario(scenario)
    assert host_row(b"/h/", KeyValue(b"/h/x", b"{}", 1)) is None
    assert host_row(b"/h/", KeyValue(b"/h/5", None, 1)) == {
        "host": 5,
        "state": "removed",
    }
    assert host_row(b"/h/", KeyValue(b"/h/5", b'{"host": 6}', 1)) == {"host": 5, "state": "unreadable"}


def test_source_when_fifty_reconnect_then_they_resume_without_reads() -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        for number in range(3):
            await registry.put(f"{PREFIX}{number}", host_value(number))
        owners = [SourceOwner() for _ in range(50)]
        sources = [start_source(registry, each) for each in owners]
        await until(lambda: all(is_current(registry, each) for each in owners), 20)
        await registry.stop()
        registry.store.calls.clear()
        registry.store.put(f"{PREFIX}1".encode(), json.dumps(host_value(1, state="draining")).encode())
        await registry.start()
        await until(lambda: all(is_current(registry, each) for each in owners), 20)
        assert registry.store.calls.get("Range", 0) == 0, registry.store.calls
        assert registry.store.calls["Watch"] <= 100, registry.store.calls
        for source in sources:
            source.stop()

    run_scenario(scenario)
