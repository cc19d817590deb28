"""Connections of proxies on real sockets: joining, orders and acks, and proxies that misbehave."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

import pytest
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.wire import frames
from tests.controller.support import ROWS, play, send_heartbeats


def test_order_when_published_then_proxies_get_it_and_the_ack_reaches_the_assigner(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            r.steward.host_sources.on_host_rows(True, 1, ROWS)
            one, two = await r.joined(1), await r.joined(2)
            r.do(api.SetWeight(0, 10, 1.0), api.PublishVersion(5))
            for peer in (one, two):
                order = await peer.until(frames.Orders)
                assert order.lines == [(0, 10, 1.0)]
                assert order.version == 5
                assert order.addresses == {10: "127.0.0.1:10"}
            two.say(frames.Ack(5))
            await until(lambda: any(isinstance(e, api.VersionAcked) for e in r.module.told))
            [acked] = [e for e in r.module.told if isinstance(e, api.VersionAcked)]
            assert (acked.proxy, acked.version) == (2, 5)
            assert acked.latency_ms > 0
            db = sqlite3.connect(tmp_path / "s.db")
            assert db.execute("select * from line").fetchall() == [(0, 10, 1.0)]

    play(scene())


@pytest.mark.parametrize(
    ("said", "code"),
    [
        (b"\xff" * 64, "oversized"),
        (b"\x00\x00\x00\x05hello", "malformed"),
        (frames.encode(frames.Heartbeat()), "out-of-place"),
        (frames.encode(frames.Hello(77, 1, "x")), "unknown-version"),
        (frames.encode(frames.Hello(1, 1, "x", zone=9)), "malformed"),
        (frames.encode(frames.Hello(1, 60000, "x")), "full"),
        (frames.encode(frames.Hello(1, 1, "x")) + frames.encode(frames.Ack(3)), "out-of-place"),
        (frames.encode(frames.Hello(1, 1, "x")) + frames.encode(frames.HeldTables(1, 1, [])), "out-of-place"),
        (b"", "no-hello"),
    ],
)
def test_connection_when_it_breaks_the_protocol_then_it_alone_is_closed_with_a_reason(
    tmp_path: Path, said: bytes, code: str
) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            other = await r.joined(2)
            peer = await r.peer()
            peer.writer.write(said)
            keep = asyncio.create_task(send_heartbeats(other))
            assert await peer.ended() == code
            r.do(api.SetWeight(1, 10, 1.0))
            assert (await other.until(frames.Orders)).lines == [(1, 10, 1.0)]
            keep.cancel()
            page = r.steward.metrics.exposition().decode()
            assert f'corallanding_links_closed_total{{reason="{code}"}} 1.0' in page

    play(scene())


def test_proxy_number_when_in_use_then_it_stays_with_the_process_that_has_it(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            first = await r.joined(1, session="old")
            keep = asyncio.create_task(send_heartbeats(first))
            second = await r.peer()
            second.hello(1, session="new")
            assert await second.ended() == "number-in-use"
            keep.cancel()  # the old process hangs: silence frees its number
            await first.ended()
            again = await r.joined(1, session="new")
            assert not again.closed

    play(scene())


def test_ack_when_on_a_former_connection_then_it_is_ignored(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            old = await r.joined(1)
            r.do(api.SetWeight(0, 10, 1.0), api.PublishVersion(5))
            await old.until(frames.Orders)
            new = await r.joined(1)  # the same process on a new connection: the old one is over
            old.say(frames.Ack(5))
            assert await old.ended() == "superseded"
            new.say(frames.Heartbeat(1.0))
            await asyncio.sleep(0.05)
            assert not [e for e in r.module.told if isinstance(e, api.VersionAcked)]
            new.say(frames.Ack(5))  # and the mark of the old connection is not out on the new one
            assert await new.ended() == "out-of-place"
            kinds = [type(e).__name__ for e in r.module.told if isinstance(e, api.ProxyJoined | api.ProxyLeft)]
            assert kinds[:3] == ["ProxyJoined", "ProxyLeft", "ProxyJoined"]

    play(scene())


def test_proxy_when_it_does_not_read_then_it_is_closed_and_others_go_on(tmp_path: Path) -> None:
    async def scene() -> None:
        big = "channel {\n  queue_most_lines = 1e8\n  rate_lines_per_s = 1e9\n}\n"
        async with Running(tmp_path, big) as r:
            slow, good = await r.joined(1), await r.joined(2)
            keep = asyncio.create_task(send_heartbeats(slow, good))

            async def drain() -> None:
                while True:
                    await good.reader.read(1 << 20)

            reading = asyncio.create_task(drain())
            for _ in range(400):
                r.do(*[api.SetWeight(k % 4, h, 1.0) for k in range(4) for h in range(100, 600)])
                await asyncio.sleep(0.004)
                if 1 not in r.steward.connections.proxies:
                    break
            assert 1 not in r.steward.connections.proxies
            assert 2 in r.steward.connections.proxies
            assert 'reason="not-reading"} 1.0' in r.steward.metrics.exposition().decode()
            keep.cancel()
            reading.cancel()
            back = await r.joined(1)
            tables = next(f for f in back.got if isinstance(f, frames.Tables))
            assert len(tables.tables[0][1]) == 500, "it has all from the store"

    play(scene())


def test_channel_when_full_then_the_connection_is_closed_and_the_queue_stays_bounded(tmp_path: Path) -> None:
    async def scene() -> None:
        slow = "channel {\n  queue_most_lines = 60\n  rate_lines_per_s = 10\n}\n"
        async with Running(tmp_path, slow) as r:
            one = await r.joined(1)
            for k in range(6):
                r.do(*[api.SetWeight(k % 4, h, 1.0) for h in range(20)])
                await asyncio.sleep(0.02)
            assert await one.ended() == "overrun"
            assert r.steward.channel.max_queued_lines <= 60
            assert r.steward.channel.queued_lines == 0

    play(scene())


def test_joins_when_many_come_at_once_then_they_are_admitted_at_the_configured_pace(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path, config=CONFIG.replace("most = 8", "most = 60\n  reads_per_s = 40")) as r:
            peers = [await r.peer() for _ in range(40)]
            for f, peer in enumerate(peers):
                peer.hello(f)
            await asyncio.sleep(0.1)
            early = len(r.steward.engine.proxy_zones)
            keep = asyncio.create_task(send_heartbeats(*peers))
            await until(lambda: len(r.steward.engine.proxy_zones) == 40)
            keep.cancel()
            assert 10 <= early < 30

    play(scene())
