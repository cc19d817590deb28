"""The listening address on sockets, with every order of events forced by the test."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from forced_order import block_loop, run_async, until, yield_to_loop
from platform_samples import host_report, slice_report

from corallanding.collector import server as server_module
from corallanding.collector.session import HEARTBEAT_ANSWER, REJECT
from corallanding.resp import encode
from tests.collector.support import HEARTBEAT, IDENTIFICATION, read_all, server_harness


@pytest.fixture
def short_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "IDENTIFICATION_TIMEOUT_MS", server_module.IDENTIFICATION_TIMEOUT_MS / 20.0)


def test_collector_when_received_at_its_timeout_then_it_is_accepted(short_timeout: None) -> None:
    """A step on a small share of a core blocks the event loop for longer than the identification timeout."""

    async def scenario() -> None:
        async with server_harness() as harness:
            peer = await harness.connect()
            await until(lambda: harness.server.unidentified)
            block_loop(lambda: peer.send_at_once(IDENTIFICATION, encode(host_report())), 0.1)
            await until(lambda: harness.events)
            assert not harness.server.close_reasons
            assert 0 in harness.server.collectors
            peer.close()

    run_async(scenario)


def test_unidentified_connection_when_it_never_identifies_itself_then_it_is_rejected(short_timeout: None) -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            harness.server.set_ready()
            for message in (b"", HEARTBEAT[:5], IDENTIFICATION[:9]):
                assert await read_all(await harness.connect(message)) == REJECT
            peer = await harness.connect(HEARTBEAT)
            for _ in range(3):
                assert await peer.reader.readexactly(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
                peer.send(HEARTBEAT)
            assert (await read_all(peer)).endswith(REJECT)

    run_async(scenario)


def test_heartbeat_when_requested_before_ready_then_it_is_answered_once_ready(short_timeout: None) -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            peer, silent = await harness.connect(HEARTBEAT), await harness.connect()
            assert await read_all(silent) == REJECT
            assert len(harness.server.unidentified) == 1
            harness.server.set_ready()
            assert await read_all(peer) == HEARTBEAT_ANSWER + REJECT

    run_async(scenario)


def test_collector_when_hundreds_are_unidentified_then_it_can_identify_itself(short_timeout: None) -> None:
    async def scenario() -> None:
        async with server_harness(max_unidentified=8) as harness:
            collector = await harness.connect(IDENTIFICATION)
            await until(lambda: harness.server.collectors.get(0))
            flood = [await harness.connect(b"") for _ in range(300)]
            late = await harness.connect(IDENTIFICATION, encode(slice_report()))
            await until(lambda: harness.events)
            for peer in flood:
                assert await read_all(peer) == REJECT
            collector.send(encode(slice_report()))
            await until(lambda: len(harness.events) == 2)
            late.close()

    run_async(scenario)


def test_heartbeat_when_hundreds_are_unidentified_then_its_requester_is_not_rejected() -> None:
    async def scenario() -> None:
        async with server_harness(max_unidentified=8) as harness:
            waiting = await harness.connect(HEARTBEAT)
            await until(lambda: any(connection.pending_heartbeats for connection in harness.server.unidentified))
            flood = [await harness.connect(b"") for _ in range(100)]
            await until(lambda: sum(harness.server.close_reasons.values()) == 93)
            harness.server.set_ready()
            assert await waiting.reader.readexactly(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
            assert len(flood) == 100

    run_async(scenario)


def test_messages_when_received_in_pieces_or_many_at_once_then_they_are_all_parsed() -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            raw = IDENTIFICATION + encode(host_report()) + encode(slice_report())
            bytewise = await harness.connect()
            for byte in raw:
                bytewise.send(bytes([byte]))
                await yield_to_loop(1)
            await until(lambda: len(harness.events) == 2)
            await harness.connect(raw + encode(slice_report()) * 200)
            await until(lambda: len(harness.events) == 2 + 2 + 200)
            assert not harness.server.close_reasons
            assert not harness.server.intake.rejected

    run_async(scenario)


def test_unidentified_connection_when_it_sends_without_end_then_it_is_closed() -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            peer = await harness.connect(b"*1\r\n$9999\r\n")
            with contextlib.suppress(ConnectionError):
                while not peer.writer.transport.is_closing():
                    peer.send(b"x" * 4_096)
                    await asyncio.sleep(0)
            await peer.wait_closed()
            assert harness.server.close_reasons

    run_async(scenario)


def test_unidentified_connection_when_it_half_closes_then_it_is_closed() -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            harness.server.set_ready()
            peer = await harness.connect(HEARTBEAT)
            peer.writer.write_eof()
            assert await read_all(peer) == HEARTBEAT_ANSWER
            await until(lambda: not harness.server.unidentified)

    run_async(scenario)


def test_collector_when_it_reconnects_before_the_old_connection_ends_then_it_is_accepted() -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            first = await harness.connect(IDENTIFICATION, encode(host_report())[:-4])
            await until(lambda: harness.server.collectors.get(0))
            second = await harness.connect(IDENTIFICATION, encode(host_report()))
            await until(lambda: len(harness.events) == 1)
            first.reset()
            await until(lambda: len(harness.server.collectors[0]) == 1)
            second.send(encode(slice_report()))
            await until(lambda: len(harness.events) == 2)
            half_open = [
                await harness.connect(IDENTIFICATION) for _ in range(6)
            ]  # the oldest are closed without an answer
            await second.wait_closed()
            await until(lambda: harness.server.close_reasons["replaced by a newer collector of its zone"] == 3)
            assert len(harness.server.collectors[0]) == 4
            assert len(half_open) == 6

    run_async(scenario)


def test_report_when_its_host_or_slice_was_just_removed_then_only_it_is_rejected() -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            peer = await harness.connect(
                IDENTIFICATION, encode(slice_report(shard=4)), encode(host_report(endpoint="s-77"))
            )
            peer.send(encode(slice_report()))
            await until(lambda: harness.events)
            assert dict(harness.server.intake.rejected) == {"shard not owned": 1, "endpoint unknown": 1}
            assert not harness.server.close_reasons

    run_async(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n:3\r\n",
        b"*99999999999\r\n",
        b"*1\r\n$1048577\r\n",
        encode(["attach"]),
        encode(host_report()),
        encode(["telemetry", "locality", "z"]),
        encode(["telemetry", "zone", "a"]),
        b"*1\r\n$2\r\n\xff\xfe\r\n",
        b"+OK\r\n",
        b"*1\r\n*1\r\n$1\r\na\r\n",
    ],
)
def test_message_when_no_collector_sends_it_then_it_is_rejected_and_others_are_unaffected(raw: bytes) -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            collector = await harness.connect(IDENTIFICATION)
            assert await read_all(await harness.connect(raw)) == REJECT
            collector.send(encode(slice_report()))
            await until(lambda: harness.events)

    run_async(scenario)
