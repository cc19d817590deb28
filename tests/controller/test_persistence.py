"""A controller whose store does not write for a while."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

from sockets import Running, until

from corallanding import interface as api
from corallanding.wire import frames
from tests.controller.support import ROWS, play, send_heartbeats


def test_store_when_it_cannot_write_then_orders_go_on_and_a_restart_recalls_them(tmp_path: Path) -> None:
    async def scene() -> None:
        lock = sqlite3.connect(tmp_path / "s.db", isolation_level=None)
        async with Running(tmp_path) as r:
            r.steward.host_sources.on_host_rows(True, 1, ROWS)
            one = await r.joined(1)
            keep = asyncio.create_task(send_heartbeats(one))
            r.do(api.SetWeight(0, 10, 1.0))
            await one.until(frames.Orders)
            await asyncio.sleep(0.1)
            r.steward.host_sources.save()
            lock.execute("begin immediate")
            r.do(api.SetWeight(0, 11, 1.0), api.SetWeight(0, 10, 0.0))
            order = await one.until(frames.Orders, lambda f: f.seq == 2)
            assert order.lines == [(0, 11, 1.0), (0, 10, 0.0)], "a drain does not wait for a disk"
            status, body = await r.get("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            assert status == 503
            assert b"locked" in body
            # The steward dies before the store is well again: only the forwarder knows the newest table.
            r.steward.engine.unsaved_tables.clear()
            r.steward.host_sources.is_unsaved = False
            keep.cancel()
        lock.execute("rollback")
        async with Running(tmp_path) as r:
            peer = await r.peer()
            peer.hello(1, is_fresh=False, start_number=1, seq=2)
            await peer.until(frames.HeldTablesRequest)
            peer.say(frames.HeldTables(1, 2, [(0, [(11, 1.0)])]))
            tables = await peer.until(frames.Tables)
            assert tables.tables[0] == (0, [(11, 1.0)])
            await until(
                lambda: sqlite3.connect(tmp_path / "s.db").execute("select * from line").fetchall() == [(0, 11, 1.0)]
            )

    play(scene())


def test_store_when_it_writes_again_then_it_gets_everything(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            await r.joined(1)
            lock = sqlite3.connect(tmp_path / "s.db", isolation_level=None)
            lock.execute("begin immediate")
            for host in (10, 11, 12):
                r.do(api.SetWeight(0, host, 1.0))
                await asyncio.sleep(0.03)
            assert r.steward.persistence.error_count > 0
            lock.execute("rollback")
            await until(lambda: r.steward.persistence.error_count == 0)
            rows = lock.execute("select host from line order by host").fetchall()
            assert rows == [(10,), (11,), (12,)]
            assert r.steward.engine.unsaved_tables == {}

    play(scene())
