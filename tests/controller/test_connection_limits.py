"""Misbehaving connections are limited or closed, and do not delay other proxies."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

from sockets import CONFIG, RawProxyConnection, Running, until

from corallanding import interface as api
from corallanding.wire import frames


def test_connections_when_many_send_no_hello_then_the_oldest_are_closed(tmp_path: Path) -> None:
    async def scenario() -> None:
        config = CONFIG.replace("hello_within_ms = 300", "hello_within_ms = 5000\n  strangers_most = 5")
        async with Running(tmp_path, config=config) as running, asyncio.timeout(20):
            silent = [await running.connect_proxy() for _ in range(40)]
            proxy = await running.join_proxy(1)
            assert len(running.steward.connections.unidentified) <= 5
            assert len(running.steward.connections.links) <= 6
            running.apply_actions(api.SetWeight(0, 10, 1.0))
            assert (await proxy.wait_for_frame(frames.Orders)).lines == [(0, 10, 1.0)]
            assert await silent[0].wait_close_code() == "no-hello"

    asyncio.run(scenario())


def test_proxy_when_it_never_acks_then_closed(tmp_path: Path) -> None:
    async def scenario() -> None:
        config = CONFIG.replace("silence_ms = 600", "silence_ms = 5000\n  ack_within_ms = 300")
        async with Running(tmp_path, config=config) as running, asyncio.timeout(20):
            good, bad = await running.join_proxy(1), await running.join_proxy(2)
            running.apply_actions(api.SetWeight(0, 10, 1.0), api.PublishVersion(1))
            for peer in (good, bad):
                await peer.wait_for_frame(frames.Orders)
            good.send(frames.Ack(1))
            assert await bad.wait_close_code() == "no-acks"
            assert 1 in running.steward.connections.proxies
            assert 2 not in running.steward.connections.proxies

    asyncio.run(scenario())


def test_proxy_when_it_floods_then_only_its_connection_is_closed(tmp_path: Path) -> None:
    async def scenario() -> None:
        config = CONFIG.replace("frame_most_bytes = 4096", "frame_most_bytes = 4096\n  bytes_per_s = 20000")
        async with Running(tmp_path, config=config) as running, asyncio.timeout(20):
            good, bad = await running.join_proxy(1), await running.join_proxy(2)
            report = frames.encode(frames.UsageReport(1000.0, [(10, 5, 0, 200.0)] * 200))
            for _ in range(30):
                bad.writer.write(report)
            assert await bad.wait_close_code() == "protocol"
            running.apply_actions(api.SetWeight(0, 10, 1.0))
            assert (await good.wait_for_frame(frames.Orders)).lines == [(0, 10, 1.0)]

    asyncio.run(scenario())


def test_reads_when_sent_in_a_loop_then_answered_at_growing_intervals(tmp_path: Path) -> None:
    async def scenario() -> None:
        config = CONFIG.replace("beat_ms = 100", "beat_ms = 100\n  again_ms = 100\n  again_most_ms = 400")
        async with Running(tmp_path, config=config) as running, asyncio.timeout(20):
            started_at = time.monotonic()  # before the join, because the intervals start at its answer
            bad = await running.join_proxy(2)
            for number in range(2, 5):
                while sum(isinstance(f, frames.Tables) for f in bad.received) < number:
                    bad.send(frames.TablesRequest())
                    data = await bad.reader.read(65536)
                    assert data, "closed"
                    bad.received += bad.frame_reader.feed(data)
            assert time.monotonic() - started_at >= 0.1 + 0.2 + 0.4 - 0.02

    asyncio.run(scenario())


def test_proxy_when_it_reads_slowly_then_closed_and_others_are_not_delayed(tmp_path: Path) -> None:
    """Orders to a slow proxy wait in the channel, not in its socket's buffer; once its queue is full it is closed."""

    async def scenario() -> None:
        config = CONFIG.replace("silence_ms = 600", "silence_ms = 10000")
        config += "channel {\n  queue_most_lines = 60000\n  rate_lines_per_s = 10000000\n}\n"
        async with Running(tmp_path, config=config) as running:
            async with asyncio.timeout(25):
                good = await running.join_proxy(1)
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", running.proxy_port))
                bad = RawProxyConnection(*await asyncio.open_connection(sock=sock, limit=16))
                bad.send_hello(2)
                await until(lambda: 2 in running.steward.engine.proxy_zones)
                bad.reader._transport.pause_reading()  # type: ignore[attr-defined]
                number = 0
                while 2 in running.steward.engine.proxy_zones:
                    number += 1
                    running.apply_actions(
                        *(api.SetWeight(s, 1000 + h, 1.0) for s in range(4) for h in range(2500)),
                        api.PublishVersion(number),
                    )
                    order = await good.wait_for_frame(
                        frames.Orders, lambda frame, number=number: frame.version == number
                    )
                    good.send(frames.Ack(order.version))
                    good.received.clear()
                assert number > 3
                running.apply_actions(api.SetWeight(0, 9, 1.0), api.PublishVersion(number + 1))
                await good.wait_for_frame(frames.Orders, lambda frame: frame.version == number + 1)

    asyncio.run(scenario())


def test_bytes_of_incomplete_frames_when_their_connection_ends_then_the_metric_no_longer_counts_them(
    tmp_path: Path,
) -> None:
    """Guards against a metric that keeps its last value until another proxy sends something."""

    async def scenario() -> None:
        async with Running(tmp_path) as running, asyncio.timeout(20):
            name = "corallanding_partial_frame_bytes"
            metrics = running.steward.context.metrics
            peer = await running.connect_proxy()
            peer.writer.write((100).to_bytes(4, "big") + b"part")
            await until(lambda: metrics.registry.get_sample_value(name) == 8)
            peer.writer.close()
            await until(lambda: metrics.registry.get_sample_value(name) == 0)

    asyncio.run(scenario())
