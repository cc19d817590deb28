"""Heartbeat requests that were read get an answer or a rejection, however their connection ends."""

from __future__ import annotations

import pytest
from forced_order import run_async, until

from corallanding.collector.session import HEARTBEAT_ANSWER, REJECT
from tests.collector.support import HEARTBEAT, IDENTIFICATION, read_all, server_harness


@pytest.mark.parametrize("first_message", [b"", IDENTIFICATION])
def test_heartbeats_when_the_server_is_closed_before_it_is_ready_then_they_are_rejected(first_message: bytes) -> None:
    """Guards against requests that were read and whose connection is closed with no answer."""

    async def scenario() -> None:
        async with server_harness() as harness:
            peer = await harness.connect(first_message + HEARTBEAT * 20)
            await until(lambda: harness.server.unanswered_count)
            harness.server.close()
            assert await read_all(peer) == REJECT

    run_async(scenario)


def test_heartbeat_when_its_collector_is_replaced_before_the_answer_then_it_is_rejected() -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            first = await harness.connect(IDENTIFICATION + HEARTBEAT)
            await until(lambda: harness.server.unanswered_count)
            later = [await harness.connect(IDENTIFICATION) for _ in range(4)]
            assert await read_all(first) == REJECT
            assert len(later) == 4

    run_async(scenario)


def test_heartbeats_when_the_peer_sends_no_more_before_the_server_is_ready_then_all_are_answered() -> None:
    async def scenario() -> None:
        async with server_harness() as harness:
            peer = await harness.connect(HEARTBEAT * 20)
            peer.writer.write_eof()
            await until(lambda: any(connection.is_half_closed for connection in harness.server.unidentified))
            harness.server.set_ready()
            assert await read_all(peer) == HEARTBEAT_ANSWER * 20
            await until(lambda: not harness.server.unidentified)

    run_async(scenario)
