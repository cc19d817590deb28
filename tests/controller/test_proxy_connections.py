"""Connections of proxies on real sockets: joins, orders, acks, and misbehaving proxies."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

import pytest
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.wire import frames
from tests.controller.support import ROWS, run_scenario, send_heartbeats


def test_order_when_published_then_proxies_receive_it_and_the_ack_reaches_the_assigner(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Running(tmp_path) as running:
            running.steward.host_sources.on_host_rows(True, 1, ROWS)
            first, second = await running.join_proxy(1), await running.join_proxy(2)
            running.apply_actions(api.SetWeight(0, 10, 1.0), api.PublishVersion(5))
            for peer in (first, second):
                order = await peer.wait_for_frame(frames.Orders)
                assert order.lines == [(0, 10, 1.0)]
                assert order.version == 5
                assert order.addresses == {10: "127.0.0.1:10"}
            second.send(frames.Ack(5))
            await until(lambda: any(isinstance(e, api.VersionAcked) for e in running.module.told))
            [acked] = [e for e in running.module.told if isinstance(e, api.VersionAcked)]
            assert (acked.proxy, acked.version) == (2, 5)
            assert acked.latency_ms > 0
            db = sqlite3.connect(tmp_path / "s.db")
            assert db.execute("select * from line").fetchall() == [(0, 10, 1.0)]

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\xff" * 64, "oversized"),  # the length field exceeds `frame_most_bytes`
        (b"\x00\x00\x00\x05hello", "malformed"),  # five bytes that are not a frame
        (frames.encode(frames.Heartbeat()), "out-of-place"),  # the first frame must be a hello
        (frames.encode(frames.Hello(77, 1, "x")), "unknown-version"),
        (frames.encode(frames.Hello(1, 1, "x", zone=9)), "malformed"),  # there is no zone 9
        (frames.encode(frames.Hello(1, 60000, "x")), "full"),  # proxy numbers are below `forwarders.most`, here 8
        # No version was sent that could be acknowledged.
        (frames.encode(frames.Hello(1, 1, "x")) + frames.encode(frames.Ack(3)), "out-of-place"),
        # The controller has not requested the proxy's tables.
        (frames.encode(frames.Hello(1, 1, "x")) + frames.encode(frames.HeldTables(1, 1, [])), "out-of-place"),
        (b"", "no-hello"),  # nothing arrives within `hello_within_ms`
    ],
)
def test_connection_when_it_breaks_the_protocol_then_only_it_is_closed_with_a_reason(
    tmp_path: Path, data: bytes, code: str
) -> None:
    async def scenario() -> None:
        async with Running(tmp_path) as running:
            other = await running.join_proxy(2)
            peer = await running.connect_proxy()
            peer.writer.write(data)
            heartbeats = asyncio.create_task(send_heartbeats(other))
            assert await peer.wait_close_code() == code
            running.apply_actions(api.SetWeight(1, 10, 1.0))
            assert (await other.wait_for_frame(frames.Orders)).lines == [(1, 10, 1.0)]
            heartbeats.cancel()
            metrics_text = running.steward.metrics.exposition().decode()
            assert f'corallanding_links_closed_total{{reason="{code}"}} 1.0' in metrics_text

    run_scenario(scenario())


def test_proxy_number_when_in_use_then_the_process_that_uses_it_keeps_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Running(tmp_path) as running:
            first = await running.join_proxy(1, session="old")
            heartbeats = asyncio.create_task(send_heartbeats(first))
            second = await running.connect_proxy()
            second.send_hello(1, session="new")
            assert await second.wait_close_code() == "number-in-use"
            heartbeats.cancel()  # as if the old process hung: after the silence timeout, its number is free
            await first.wait_close_code()
            again = await running.join_proxy(1, session="new")
            assert not again.is_closed

    run_scenario(scenario())


def test_ack_when_sent_on_a_replaced_connection_then_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Running(tmp_path) as running:
            old = await running.join_proxy(1)
            running.apply_actions(api.SetWeight(0, 10, 1.0), api.PublishVersion(5))
            await old.wait_for_frame(frames.Orders)
            new = await running.join_proxy(1)  # the same process on a new connection, which replaces the old one
            old.send(frames.Ack(5))
            assert await old.wait_close_code() == "superseded"
            new.send(frames.Heartbeat(1.0))
            await asyncio.sleep(0.05)
            assert not [e for e in running.module.told if isinstance(e, api.VersionAcked)]
            new.send(frames.Ack(5))  # version 5 was sent on the old connection only: the new one awaits no ack
            assert await new.wait_close_code() == "out-of-place"
            event_names = [
                type(e).__name__ for e in running.module.told if isinstance(e, api.ProxyJoined | api.ProxyLeft)
            ]
            assert event_names[:3] == ["ProxyJoined", "ProxyLeft", "ProxyJoined"]

    run_scenario(scenario())


def test_proxy_when_it_does_not_read_then_it_is_closed_and_others_continue(tmp_path: Path) -> None:
    async def scenario() -> None:
        # The channel's own limits are out of reach, so that the socket buffer (64 KiB) fills first.
        channel_settings = "channel {\n  queue_most_lines = 1e8\n  rate_lines_per_s = 1e9\n}\n"
        async with Running(tmp_path, channel_settings) as running:
            # `slow` sends heartbeats but reads nothing.
            slow, good = await running.join_proxy(1), await running.join_proxy(2)
            heartbeats = asyncio.create_task(send_heartbeats(slow, good))

            async def drain() -> None:
                while True:
                    await good.reader.read(1 << 20)

            drain_task = asyncio.create_task(drain())
            for _ in range(400):  # at most; each step sends 500 hosts in each of the 4 tables
                running.apply_actions(
                    *[api.SetWeight(table % 4, h, 1.0) for table in range(4) for h in range(100, 600)]
                )
                await asyncio.sleep(0.004)
                if 1 not in running.steward.connections.proxies:
                    break
            assert 1 not in running.steward.connections.proxies
            assert 2 in running.steward.connections.proxies
            assert 'reason="not-reading"} 1.0' in running.steward.metrics.exposition().decode()
            heartbeats.cancel()
            drain_task.cancel()
            rejoined = await running.join_proxy(1)
            tables = next(frame for frame in rejoined.received if isinstance(frame, frames.Tables))
            assert len(tables.tables[0][1]) == 500, "a proxy that reconnects receives all entries"

    run_scenario(scenario())


def test_channel_when_full_then_the_connection_is_closed_and_the_queue_stays_bounded(tmp_path: Path) -> None:
    async def scenario() -> None:
        channel_settings = "channel {\n  queue_most_lines = 60\n  rate_lines_per_s = 10\n}\n"
        async with Running(tmp_path, channel_settings) as running:
            first = await running.join_proxy(1)
            # 6 messages of 20 lines each within 0.12 s: the channel sends about one line in that time, and holds 60.
            for index in range(6):
                running.apply_actions(*[api.SetWeight(index % 4, h, 1.0) for h in range(20)])
                await asyncio.sleep(0.02)
            assert await first.wait_close_code() == "overrun"
            assert running.steward.channel.max_queued_lines <= 60
            assert running.steward.channel.queued_lines == 0

    run_scenario(scenario())


def test_joins_when_many_arrive_at_once_then_admitted_at_the_configured_rate(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Running(tmp_path, config=CONFIG.replace("most = 8", "most = 60\n  reads_per_s = 40")) as running:
            peers = [await running.connect_proxy() for _ in range(40)]
            for number, peer in enumerate(peers):
                peer.send_hello(number)
            await asyncio.sleep(0.1)  # the burst is 0.25 s of joins, so about 10 + 4 have joined
            early_count = len(running.steward.engine.proxy_zones)
            heartbeats = asyncio.create_task(send_heartbeats(*peers))
            await until(lambda: len(running.steward.engine.proxy_zones) == 40)
            heartbeats.cancel()
            assert 10 <= early_count < 30

    run_scenario(scenario())
