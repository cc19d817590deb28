"""What may come between two lines of the listening address, each order forced."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from forced_order import Side, busy, play, turns, until
from platform_samples import host_report, intake, slice_report

from corallanding.collector import server as at
from corallanding.collector.server import CollectorServer
from corallanding.collector.session import HEARTBEAT_ANSWER, REJECT
from corallanding.resp import encode

JOIN = encode(["telemetry", "locality", "a"])
HB = encode(["hb"])
Said = Callable[[Side], None]


class Open:
    """A door in this loop, and connections to it."""

    def __init__(self, strangers: int = 16) -> None:
        self.events: list[Any] = []
        self.door = CollectorServer(("127.0.0.1", 0), intake({3}), strangers, self.events.extend, lambda text: None)

    async def come(self, *said: bytes) -> Side:
        side = Side(*await asyncio.open_connection(*self.door.listener.socket.getsockname()))
        side.say(*said)
        return side


@contextlib.asynccontextmanager
async def opened(**more: Any) -> AsyncIterator[Open]:
    o = Open(**more)
    try:
        yield o
    finally:
        o.door.close()


async def told(side: Side) -> bytes:
    """All that comes to the end of the connection."""
    return await side.reader.read()


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(at, "IDENTIFICATION_TIMEOUT_MS", at.IDENTIFICATION_TIMEOUT_MS / 20.0)


def test_collector_when_received_at_its_timeout_then_it_is_accepted(quick: None) -> None:
    """The loop was busy for longer than a stranger has: a step on a small share of a core."""

    async def scene() -> None:
        async with opened() as o:
            side = await o.come()
            await until(lambda: o.door.unidentified)
            busy(lambda: side.now(JOIN, encode(host_report())), 0.1)
            await until(lambda: o.events)
            assert not o.door.close_reasons
            assert 0 in o.door.collectors
            side.close()

    play(scene)


def test_unidentified_connection_when_it_never_joins_then_it_is_rejected(quick: None) -> None:
    async def scene() -> None:
        async with opened() as o:
            o.door.set_ready()
            for said in (b"", HB[:5], JOIN[:9]):
                assert await told(await o.come(said)) == REJECT
            side = await o.come(HB)
            for _ in range(3):
                assert await side.reader.readexactly(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
                side.say(HB)
            assert (await told(side)).endswith(REJECT)

    play(scene)


def test_heartbeat_when_requested_before_ready_then_it_is_answered_once_ready(quick: None) -> None:
    async def scene() -> None:
        async with opened() as o:
            side, mute = await o.come(HB), await o.come()
            assert await told(mute) == REJECT
            assert len(o.door.unidentified) == 1
            o.door.set_ready()
            assert await told(side) == HEARTBEAT_ANSWER + REJECT

    play(scene)


def test_collector_when_hundreds_are_unidentified_then_it_can_join(quick: None) -> None:
    async def scene() -> None:
        async with opened(strangers=8) as o:
            collector = await o.come(JOIN)
            await until(lambda: o.door.collectors.get(0))
            flood = [await o.come(b"") for _ in range(300)]
            late = await o.come(JOIN, encode(slice_report()))
            await until(lambda: o.events)
            for side in flood:
                assert await told(side) == REJECT
            collector.say(encode(slice_report()))
            await until(lambda: len(o.events) == 2)
            late.close()

    play(scene)


def test_heartbeat_when_hundreds_are_unidentified_then_its_requester_is_not_rejected() -> None:
    async def scene() -> None:
        async with opened(strangers=8) as o:
            waits = await o.come(HB)
            await until(lambda: any(link.pending_heartbeats for link in o.door.unidentified))
            flood = [await o.come(b"") for _ in range(100)]
            await until(lambda: sum(o.door.close_reasons.values()) == 93)
            o.door.set_ready()
            assert await waits.reader.readexactly(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
            assert len(flood) == 100

    play(scene)


def test_messages_when_in_pieces_or_many_at_once_then_they_are_the_same() -> None:
    async def scene() -> None:
        async with opened() as o:
            raw = JOIN + encode(host_report()) + encode(slice_report())
            bytewise = await o.come()
            for byte in raw:
                bytewise.say(bytes([byte]))
                await turns(1)
            await until(lambda: len(o.events) == 2)
            await o.come(raw + encode(slice_report()) * 200)
            await until(lambda: len(o.events) == 2 + 2 + 200)
            assert not o.door.close_reasons
            assert not o.door.intake.rejected

    play(scene)


def test_unidentified_connection_when_it_sends_without_end_then_it_is_closed() -> None:
    async def scene() -> None:
        async with opened() as o:
            side = await o.come(b"*1\r\n$9999\r\n")
            with contextlib.suppress(ConnectionError):
                while not side.writer.transport.is_closing():
                    side.say(b"x" * 4_096)
                    await asyncio.sleep(0)
            await side.gone()
            assert o.door.close_reasons

    play(scene)


def test_unidentified_connection_when_it_half_closes_then_it_is_closed() -> None:
    async def scene() -> None:
        async with opened() as o:
            o.door.set_ready()
            side = await o.come(HB)
            side.writer.write_eof()
            assert await told(side) == HEARTBEAT_ANSWER
            await until(lambda: not o.door.unidentified)

    play(scene)


def test_collector_when_it_reconnects_before_the_old_connection_ends_then_it_is_accepted() -> None:
    async def scene() -> None:
        async with opened() as o:
            first = await o.come(JOIN, encode(host_report())[:-4])
            await until(lambda: o.door.collectors.get(0))
            second = await o.come(JOIN, encode(host_report()))
            await until(lambda: len(o.events) == 1)
            first.reset()
            await until(lambda: len(o.door.collectors[0]) == 1)
            second.say(encode(slice_report()))
            await until(lambda: len(o.events) == 2)
            piled = [await o.come(JOIN) for _ in range(6)]  # half-open ones: the oldest go, unspoken to
            await second.gone()
            await until(lambda: o.door.close_reasons["replaced by a newer collector of its zone"] == 3)
            assert len(o.door.collectors[0]) == 4
            assert len(piled) == 6

    play(scene)


def test_report_when_its_host_or_slice_has_just_gone_then_only_it_is_rejected() -> None:
    async def scene() -> None:
        async with opened() as o:
            side = await o.come(JOIN, encode(slice_report(shard=4)), encode(host_report(endpoint="s-77")))
            side.say(encode(slice_report()))
            await until(lambda: o.events)
            assert dict(o.door.intake.rejected) == {"shard not owned": 1, "endpoint unknown": 1}
            assert not o.door.close_reasons

    play(scene)


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
def test_message_when_no_collector_sends_it_then_it_is_rejected_and_disturbs_nobody(raw: bytes) -> None:
    async def scene() -> None:
        async with opened() as o:
            collector = await o.come(JOIN)
            assert await told(await o.come(raw)) == REJECT
            collector.say(encode(slice_report()))
            await until(lambda: o.events)

    play(scene)
