"""Answers of the relay that are repeated, fragmented, late, invalid or missing.

Guards against a call that is lost, sent again needlessly, or confirmed by the answer to another call. Each order of
events is forced.
"""

from __future__ import annotations

import msgspec
import pytest
from forced_order import LONG_TIMEOUT_MS, block_loop, run_async, until, yield_to_loop

from corallanding.relay.line_protocol import MAX_LINE_BYTES
from tests.relay.support import open_call, receive_call, taken


def test_answer_when_repeated_then_the_next_call_is_not_affected() -> None:
    async def scenario() -> None:
        async with open_call() as (_, caller, peer):
            first = await receive_call(peer, 1)
            peer.send(taken(first))
            await until(lambda: caller.confirmed)
            caller.send_order(2)
            second = await receive_call(peer, 2)
            peer.send(taken(first))
            await yield_to_loop()
            peer.send(taken(second), taken(second))
            await until(lambda: len(caller.confirmed) == 2)
            caller.send_order(3)
            peer.send(taken(await receive_call(peer, 3)))
            await until(lambda: len(caller.confirmed) == 3)
            assert caller.calls.counts["unknown"] == 0

    run_async(scenario)


def test_answer_when_fragmented_then_it_is_used_unless_it_is_incomplete() -> None:
    async def scenario() -> None:
        async with open_call() as (server, caller, peer):
            for byte in msgspec.json.encode(taken(await receive_call(peer, 1))) + b"\n":
                peer.send(bytes([byte]))
                await yield_to_loop(2)
            await until(lambda: caller.confirmed)
            caller.client.answer_timeout_ms = 30.0
            caller.send_order(2)
            peer.send(msgspec.json.encode(taken(await receive_call(peer, 2)))[:-3])
            next_peer = await server.next_connection()
            await peer.wait_closed()
            caller.client.answer_timeout_ms = LONG_TIMEOUT_MS
            next_peer.send(taken(await receive_call(next_peer, 2)))
            await until(lambda: len(caller.confirmed) == 2)
            assert caller.calls.counts["unknown"] == 1

    run_async(scenario)


def test_call_answer_when_received_at_its_timeout_then_it_counts() -> None:
    async def scenario() -> None:
        async with open_call(answer_timeout_ms=60.0) as (_, caller, peer):
            answer = msgspec.json.encode(taken(await receive_call(peer, 1))) + b"\n"
            block_loop(lambda: peer.send_at_once(answer), 0.1)
            await until(lambda: caller.confirmed)
            assert caller.calls.counts["unknown"] == 0

    run_async(scenario)


@pytest.mark.parametrize(
    "closing", ["closed after the answer", "closed as the call is written", "reset under the call"]
)
def test_call_when_the_connection_closes_at_any_point_then_it_is_carried_out(closing: str) -> None:
    async def scenario() -> None:
        async with open_call() as (server, caller, peer):
            peer.send(taken(await receive_call(peer, 1)))
            await until(lambda: caller.confirmed)
            if closing != "reset under the call":
                peer.close()
            if closing == "closed after the answer":
                await until(lambda: caller.client.connection is None)
            caller.send_order(2)
            if closing == "reset under the call":
                await receive_call(peer, 2)
                peer.reset()
            next_peer = await server.next_connection()
            next_peer.send(taken(await receive_call(next_peer, 2)))
            await until(lambda: len(caller.confirmed) == 2)
            assert caller.calls.counts["unknown"] == (0 if closing == "closed after the answer" else 1)

    run_async(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        b"}\n",
        b"[1]\n",
        b"null\n",
        b'{"id":1}x\n',
        b"[" * 5_000 + b"\n",
        b'{"id":"1"}\n',
        b"\xff\n",
        b'{"id":1,"result":{"taken":1.0}}\n',
        b'{"id":-4,"result":{"taken":1}}\n',
    ],
)
def test_call_when_the_answer_is_invalid_then_it_is_sent_again_once(raw: bytes) -> None:
    async def scenario() -> None:
        async with open_call() as (server, caller, peer):
            await receive_call(peer, 1)
            peer.send(raw)
            next_peer = await server.next_connection()
            next_peer.send(taken(await receive_call(next_peer, 1)))
            await until(lambda: caller.confirmed)
            assert caller.calls.counts["unknown"] == 1

    run_async(scenario)


def test_call_answer_when_its_line_is_too_long_then_the_connection_is_closed() -> None:
    async def scenario() -> None:
        async with open_call() as (server, caller, peer):
            await receive_call(peer, 1)
            for _ in range(MAX_LINE_BYTES // 65_536 + 1):
                peer.send(b"7" * 65_536)
            next_peer = await server.next_connection()
            next_peer.send(taken(await receive_call(next_peer, 1)))
            await until(lambda: caller.confirmed)

    run_async(scenario)
