"""Two complete controllers share slices through the stand-in registry; checks the tables at their proxies."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from sockets import CONFIG, RawProxyConnection, Running, until

from corallanding.assignment import Assigner
from corallanding.lab.registry import Registry
from corallanding.wire import frames

BLOCK = """registry {
  address = "127.0.0.1:%d"
  wait_ms = 20
  charge = true
  lease_ms = 1000
}
probe {
  allowed = false
}
"""
SLICES = 8


class ProxyTables:
    """A proxy connected to one controller; applies the received tables in order."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[int, float]] = {}
        self.withdrawn: set[int] = set()

    async def listen(self, peer: RawProxyConnection) -> None:
        handled_frames = 0
        while True:
            data = await peer.reader.read(65536)
            if not data:
                return
            peer.received += peer.frame_reader.feed(data)
            for frame in peer.received[handled_frames:]:
                handled_frames += 1
                self.on_frame(peer, frame)

    def on_frame(self, peer: RawProxyConnection, frame: Any) -> None:
        if isinstance(frame, frames.Tables):
            for slice_id, lines in frame.tables:
                self.tables[slice_id] = dict(lines)
                self.withdrawn.discard(slice_id)
        elif isinstance(frame, frames.Orders):
            self.apply_orders(frame)
            if frame.version >= 0:
                peer.send(frames.Ack(frame.version))
        elif isinstance(frame, frames.Heartbeat):
            peer.send(frames.Heartbeat(1.0))

    def apply_orders(self, orders: Any) -> None:
        for slice_id, host, weight in orders.lines:
            assert slice_id not in self.withdrawn, f"slice {slice_id} was withdrawn, and set again"
            table = self.tables.setdefault(slice_id, {})
            table[host] = weight
            if not weight:
                del table[host]
        for slice_id in orders.withdrawn_slices:
            self.tables.pop(slice_id, None)
            self.withdrawn.add(slice_id)


def are_complete(proxies: list[ProxyTables], numbers: set[int]) -> bool:
    """Return whether every slice has a table from exactly one of the `numbers`, each of which sent some."""
    slices = [slice_id for number in numbers for slice_id, lines in proxies[number].tables.items() if lines]
    return sorted(slices) == list(range(SLICES)) and all(proxies[number].tables for number in numbers)


def make_controller(tmp_path: Path, registry: Registry, number: int) -> Running:
    directory = tmp_path / str(number)
    directory.mkdir()
    text = CONFIG.replace('roster {\n  address = "127.0.0.1:1"\n}\n', BLOCK % registry.port)
    text = text.replace("steward {", f"steward {{\n  number = {number}\n  stewards = 2")
    text = text.replace("count = 4", f"count = {SLICES}").replace("%", "%%").replace('"%%s"', '"%s"')
    return Running(directory, decider=Assigner, config=text)


async def check_registry_outage(registry: Registry, controllers: list[Running], proxies: list[ProxyTables]) -> None:
    """Stop the registry for less than the lease time: tables stay in effect, and a known drain is still sent."""
    await registry.stop()
    drain = {"host": 0, "state": "draining", "address": "127.0.0.1:9000"}
    controllers[0].steward.host_sources.on_host_rows(False, 10_000, [drain])
    tables = proxies[0].tables
    draining_slices = {slice_id for slice_id, table in tables.items() if set(table) == {0}}
    await until(lambda: all(0 not in tables.get(slice_id, {}) for slice_id in draining_slices), 3)
    assert all(tables.get(slice_id) for slice_id in draining_slices) or not draining_slices
    await registry.start()
    await until(lambda: are_complete(proxies, {0, 1}), 20)


async def share_and_hand_over(tmp_path: Path) -> None:
    registry = Registry()
    await registry.start()
    for host in range(4):
        await registry.put(f"/corallanding/hosts/{host}", {"address": f"127.0.0.1:{9000 + host}", "state": "up"})
    controllers = [make_controller(tmp_path, registry, number) for number in (0, 1)]
    proxies = [ProxyTables(), ProxyTables()]
    tasks = []
    async with controllers[0], controllers[1]:
        for controller, proxy in zip(controllers, proxies, strict=True):
            peer = await controller.connect_proxy()
            peer.send_hello(1)
            tasks.append(asyncio.create_task(proxy.listen(peer)))
        await until(lambda: are_complete(proxies, {0, 1}), 15)
        stored = {
            key: json.loads(stored_value.value)
            for key, stored_value in registry.store.keys.items()
            if b"tables/" in key
        }
        assert len(stored) == SLICES, "tables are stored in the registry"
        tables_before = {slice_id: dict(table) for proxy in proxies for slice_id, table in proxy.tables.items()}
        await check_registry_outage(registry, controllers, proxies)

        # A planned shutdown: all slices move to the other controller, with their tables.
        await controllers[0].steward.retire()
        await until(lambda: are_complete(proxies, {1}), 15)
        unchanged = sum(proxies[1].tables[slice_id] == tables_before[slice_id] for slice_id in range(SLICES))
        assert unchanged >= SLICES // 2, "a slice is handed over with its table, not assigned again"
    for task in tasks:
        task.cancel()
    await registry.stop()


def test_controllers_when_the_registry_fails_or_one_leaves_then_every_slice_keeps_its_table(tmp_path: Path) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(60):
            await share_and_hand_over(tmp_path)

    asyncio.run(run_with_timeout())
