"""An agent that falls silent late, answers twice, in part, without end or in no HTTP. Each order is forced."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from forced_order import FOR_EVER, Side, busy, play, turns, until

from corallanding.discovery.long_poll import UNCHANGED_PAUSE_SECONDS
from tests.discovery.support import asked, poll, polling_client


def half(side: Side) -> None:
    side.say(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123")


@pytest.mark.parametrize("said", [lambda side: None, half, lambda side: side.say(b"HTTP/1.1 200 OK\r\nCont")])
def test_request_when_no_complete_answer_comes_then_it_is_sent_on_a_new_connection(said: Any) -> None:
    async def scene() -> None:
        async with polling_client(poll_wait_ms=0.0, answer_timeout_ms=30.0) as (stand, listener, client, side):
            said(side)
            again = await asked(stand, poll(0, 0))
            await side.gone()
            client.answer_timeout_ms = FOR_EVER
            side.say(b"456789")
            again.answer(b"7")
            await until(lambda: listener.version == 7)
            assert listener.bodies == [b"7"]

    play(scene)


def test_answer_when_received_as_its_timeout_passes_then_it_is_used() -> None:
    async def scene() -> None:
        async with polling_client(poll_wait_ms=0.0, answer_timeout_ms=100.0) as (_, _, client, side):
            busy(lambda: side.now(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7"), 0.2)
            assert await side.question() == poll(7, 0)
            assert client.poll_count == 2

    play(scene)


@pytest.mark.parametrize("head", [b"Content-Length: 1\r\n", b"Content-Length: 1\r\nConnection: close\r\n"])
def test_answer_when_the_connection_closes_right_after_then_it_is_used(head: bytes) -> None:
    async def scene() -> None:
        async with polling_client() as (stand, listener, _, side):
            side.answer(b"7", head)
            side.close()
            await asked(stand, poll(7))
            assert listener.bodies == [b"7"]

    play(scene)


@pytest.mark.parametrize(("end", "bodies"), [(Side.close, [b"17"]), (Side.reset, [])])
def test_body_when_it_has_no_length_then_it_ends_with_the_connection(end: Any, bodies: list[bytes]) -> None:
    async def scene() -> None:
        async with polling_client() as (stand, listener, client, side):
            side.say(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n1")
            await turns()
            side.say(b"7")
            await until(lambda: client.connection is None or bytes(client.connection.body) == b"17")
            end(side)
            await asked(stand, poll(17 if bodies else 0))
            assert listener.bodies == bodies

    play(scene)


def test_answer_when_cut_by_the_end_of_the_connection_then_it_is_not_used() -> None:
    async def scene() -> None:
        async with polling_client() as (stand, listener, _, side):
            half(side)
            side.close()
            await asked(stand, poll(0))
            assert not listener.bodies

    play(scene)


@pytest.mark.parametrize("one_write", [True, False])
def test_answer_when_unrequested_then_it_does_not_count_for_the_next_request(one_write: bool) -> None:
    async def scene() -> None:
        async with polling_client() as (stand, listener, client, side):
            answers = [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body for body in (b"7", b"3")]
            if one_write:
                side.say(*answers)
            else:
                client.watch(False)  # no question is open when it comes
                side.say(answers[0])
                await until(lambda: listener.version == 7)
                side.say(answers[1])
                await side.gone()
                client.watch(True)
            await asked(stand, poll(7))
            assert listener.bodies == [b"7"]

    play(scene)


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\xff",
        b"SMTP ready\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 503 Unavailable\r\nContent-Length: 1\r\n\r\n9",
    ],
)
def test_answer_when_invalid_then_it_is_logged_and_requested_again(raw: bytes) -> None:
    async def scene() -> None:
        said = list[str]()
        async with polling_client() as (stand, listener, client, side):
            client.on_warning = said.append
            side.say(raw)
            if b"503" not in raw:
                side = await stand.next()
            assert await side.question() == poll(0)
            assert said
            assert not listener.bodies

    play(scene)


def test_client_when_polls_are_not_held_then_requests_are_paced() -> None:
    async def scene() -> None:
        async with polling_client() as (_, listener, client, side):
            begun = asyncio.get_running_loop().time()
            for _ in range(5):
                side.answer(b"0")
                assert await side.question() == poll(0)
            assert (
                asyncio.get_running_loop().time() - begun > 4.9 * UNCHANGED_PAUSE_SECONDS
            )  # the clock is of whole milliseconds
            side.answer(b"1")  # news is no reason to rest
            await until(lambda: listener.version == 1)
            assert client.retry_timer is None

    play(scene)


def test_answer_when_it_never_ends_then_the_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        said = list[str]()
        async with polling_client() as (stand, _, client, side):
            client.on_warning = said.append
            side.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"10000\r\n" + b"7" * 65_536 + b"\r\n")
            while not said:
                side.say(b"10000\r\n" + b"7" * 65_536 + b"\r\n")
                await asyncio.sleep(0)
            assert "over" in said[0]
            await asked(stand, poll(0))

    play(scene)
