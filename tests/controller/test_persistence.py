"""A controller whose store temporarily cannot be written."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

from sockets import Running, until

from corallanding import interface as api
from corallanding.wire import frames
from tests.controller.support import ROWS, run_scenario, send_heartbeats


def test_store_when_it_cannot_write_then_orders_are_still_sent_and_recovered_after_a_restart(tmp_path: Path) -> None:
    async def scenario() -> None:
        lock = sqlite3.connect(tmp_path / "s.db", isolation_level=None)
        async with Running(tmp_path) as running:
            running.steward.host_sources.on_host_rows(True, 1, ROWS)
            peer = await running.join_proxy(1)
            heartbeats = asyncio.create_task(send_heartbeats(peer))
            running.apply_actions(api.SetWeight(0, 10, 1.0))
            await peer.wait_for_frame(frames.Orders)
            await asyncio.sleep(0.1)
            running.steward.host_sources.save()
            lock.execute("begin immediate")
            running.apply_actions(api.SetWeight(0, 11, 1.0), api.SetWeight(0, 10, 0.0))
            order = await peer.wait_for_frame(frames.Orders, lambda frame: frame.seq == 2)
            assert order.lines == [(0, 11, 1.0), (0, 10, 0.0)], "a drain is sent although the store cannot be written"
            status, body = await running.send_http_request(
                "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            assert status == 503
            assert b"locked" in body
            # The controller stops before the store can be written again: only the proxy has the latest table.
            running.steward.engine.unsaved_tables.clear()
            running.steward.host_sources.is_unsaved = False
            heartbeats.cancel()
        lock.execute("rollback")
        async with Running(tmp_path) as running:
            peer = await running.connect_proxy()
            peer.send_hello(1, is_fresh=False, start_number=1, seq=2)
            await peer.wait_for_frame(frames.HeldTablesRequest)
            peer.send(frames.HeldTables(1, 2, [(0, [(11, 1.0)])]))
            tables = await peer.wait_for_frame(frames.Tables)
            assert tables.tables[0] == (0, [(11, 1.0)])
            await until(
                lambda: sqlite3.connect(tmp_path / "s.db").execute("select * from line").fetchall() == [(0, 11, 1.0)]
            )

    run_scenario(scenario())


def test_store_when_it_can_be_written_again_then_it_gets_all_tables(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Running(tmp_path) as running:
            await running.join_proxy(1)
            lock = sqlite3.connect(tmp_path / "s.db", isolation_level=None)
            lock.execute("begin immediate")
            for host in (10, 11, 12):
                running.apply_actions(api.SetWeight(0, host, 1.0))
                await asyncio.sleep(0.03)
            assert running.steward.persistence.error_count > 0
            lock.execute("rollback")
            await until(lambda: running.steward.persistence.error_count == 0)
            rows = lock.execute("select host from line order by host").fetchall()
            assert rows == [(10,), (11,), (12,)]
            assert running.steward.engine.unsaved_tables == {}

    run_scenario(scenario())
