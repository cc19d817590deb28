"""Streams of load reports: which of them are closed, and which keep their place."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from corallanding.load_reports.envelope import ReportHeader, encode_binary
from corallanding.load_reports.intake import LoadReportIntake
from corallanding.load_reports.receivers import StreamReceiver
from tests.load_reports.support import orca
from tests.sockets import until

LISTED_HOST = 7
SETTINGS: dict[str, Any] = {
    "sender_rate": 1_000.0,
    "sender_burst": 1_000.0,
    "processes_most": 4,
    "reports_per_s": 1_000.0,
    "tick_ms": 10.0,
    "streams_most": 2,
    "key": "",
}


def framed(data: bytes) -> bytes:
    """Return a report as it is sent on a stream."""
    return len(data).to_bytes(2, "big") + data


def report(seq: int) -> bytes:
    """Return a valid report of the listed host."""
    return framed(encode_binary(ReportHeader(LISTED_HOST, 0, 0, seq, 1.0, 1.0), orca(application_utilization=0.5)))


@contextlib.asynccontextmanager
async def running_intake() -> AsyncIterator[tuple[LoadReportIntake, int]]:
    """Accept streams of an intake; yield it with its port."""
    intake = LoadReportIntake(SETTINGS)
    intake.shedder.set_hosts([LISTED_HOST])
    server = await asyncio.get_running_loop().create_server(lambda: StreamReceiver(intake), "127.0.0.1", 0)
    try:
        yield intake, server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def is_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether the stream ends within a moment."""
    with contextlib.suppress(ConnectionResetError, TimeoutError):
        async with asyncio.timeout(1.0):
            return not await reader.read()
        return False
    return reader.at_eof() or reader.exception() is not None


def test_streams_when_silent_ones_fill_the_limit_then_a_host_that_reports_keeps_its_place() -> None:
    """Guards against silent connections that take all places, for good."""

    async def scenario() -> None:
        async with running_intake() as (intake, port):
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
            await until(lambda: len(intake.streams) == 2)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(report(1))
            await until(lambda: intake.shedder.counts.arrived == 1)
            assert await is_closed(silent[0][0])
            silent += [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
            await until(lambda: intake.rejected_streams == 6)
            writer.write(report(2))
            await until(lambda: intake.shedder.counts.arrived == 2)
            assert not reader.at_eof()
            assert len(intake.streams) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("length", [0, 49, 4_097])
def test_stream_when_a_length_is_impossible_then_it_is_closed_before_any_report_is_read(length: int) -> None:
    """Guards against reports of two bytes that each cost as much as a real one."""

    async def scenario() -> None:
        async with running_intake() as (intake, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(length.to_bytes(2, "big") * 1_000)
            assert await is_closed(reader)
            assert intake.shedder.counts.arrived == 0
            assert intake.shedder.counts.invalid == 1

    asyncio.run(scenario())


def test_reports_when_one_is_nested_too_deeply_then_the_others_of_its_interval_are_sent_on() -> None:
    """Guards against one unsound report that loses those of all other hosts which are processed with it."""

    async def scenario() -> None:
        async with running_intake() as (intake, _):
            sent: list[list[Any]] = []
            intake.send = sent.append  # type: ignore[method-assign]
            intake.shedder.set_hosts([LISTED_HOST, LISTED_HOST + 1])
            nested = b'{"cpu_utilization": ' + b"[" * 1_900 + b"]" * 1_900 + b"}"
            unsound = encode_binary(ReportHeader(LISTED_HOST + 1, 0, 0, 1, 1.0, 1.0), nested, is_json=True)
            assert intake.on_report(unsound, None)
            assert intake.on_report(report(1)[2:], None)
            intake.process_waiting()
            await until(lambda: sent)
            assert [row[1] for row in sent[0][1]] == [LISTED_HOST]
            intake.ended.set_result(None)

    asyncio.run(scenario())
