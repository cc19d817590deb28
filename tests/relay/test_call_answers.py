"""Answers of the relay that come twice, in part, late, spoilt or not at all. Each order is forced."""

from __future__ import annotations

import msgspec
import pytest
from forced_order import FOR_EVER, busy, play, turns, until

from corallanding.relay.line_protocol import MAX_LINE_BYTES
from tests.relay.support import called, open_call, taken


def test_answer_when_doubled_then_the_next_call_is_not_affected() -> None:
    async def scene() -> None:
        async with open_call() as (_, caller, side):
            first = await called(side, 1)
            side.say(taken(first))
            await until(lambda: caller.stood)
            caller.order(2)
            second = await called(side, 2)
            side.say(taken(first))
            await turns()
            side.say(taken(second), taken(second))
            await until(lambda: len(caller.stood) == 2)
            caller.order(3)
            side.say(taken(await called(side, 3)))
            await until(lambda: len(caller.stood) == 3)
            assert caller.calls.counts["unknown"] == 0

    play(scene)


def test_answer_when_in_pieces_then_it_counts_and_half_of_one_does_not() -> None:
    async def scene() -> None:
        async with open_call() as (stand, caller, side):
            for byte in msgspec.json.encode(taken(await called(side, 1))) + b"\n":
                side.say(bytes([byte]))
                await turns(2)
            await until(lambda: caller.stood)
            caller.link.answer_timeout_ms = 30.0
            caller.order(2)
            side.say(msgspec.json.encode(taken(await called(side, 2)))[:-3])
            again = await stand.next()
            await side.gone()
            caller.link.answer_timeout_ms = FOR_EVER
            again.say(taken(await called(again, 2)))
            await until(lambda: len(caller.stood) == 2)
            assert caller.calls.counts["unknown"] == 1

    play(scene)


def test_call_answer_when_received_at_its_timeout_then_it_counts() -> None:
    async def scene() -> None:
        async with open_call(answer_timeout_ms=60.0) as (_, caller, side):
            answer = msgspec.json.encode(taken(await called(side, 1))) + b"\n"
            busy(lambda: side.now(answer), 0.1)
            await until(lambda: caller.stood)
            assert caller.calls.counts["unknown"] == 0

    play(scene)


@pytest.mark.parametrize("how", ["closed after the answer", "closed as the call is written", "reset under the call"])
def test_call_when_the_connection_closes_at_any_point_then_it_is_carried_out(how: str) -> None:
    async def scene() -> None:
        async with open_call() as (stand, caller, side):
            side.say(taken(await called(side, 1)))
            await until(lambda: caller.stood)
            if how != "reset under the call":
                side.close()
            if how == "closed after the answer":
                await until(lambda: caller.link.connection is None)
            caller.order(2)
            if how == "reset under the call":
                await called(side, 2)
                side.reset()
            again = await stand.next()
            again.say(taken(await called(again, 2)))
            await until(lambda: len(caller.stood) == 2)
            assert caller.calls.counts["unknown"] == (0 if how == "closed after the answer" else 1)

    play(scene)


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
    async def scene() -> None:
        async with open_call() as (stand, caller, side):
            await called(side, 1)
            side.say(raw)
            again = await stand.next()
            again.say(taken(await called(again, 1)))
            await until(lambda: caller.stood)
            assert caller.calls.counts["unknown"] == 1

    play(scene)


def test_call_answer_when_it_never_ends_then_the_connection_is_closed() -> None:
    async def scene() -> None:
        async with open_call() as (stand, caller, side):
            await called(side, 1)
            for _ in range(MAX_LINE_BYTES // 65_536 + 1):
                side.say(b"7" * 65_536)
            again = await stand.next()
            again.say(taken(await called(again, 1)))
            await until(lambda: caller.stood)

    play(scene)
