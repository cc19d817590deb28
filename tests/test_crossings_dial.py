"""A dial and its connection: adopted or discarded, in every order of coming up, giving up and breaking."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from crossings import FOR_EVER, Address, Dials, Side, Stand, nobody, play, turns, until

from corallanding.connection import Dialer, Dialled


class Owner:
    def __init__(self, within: float = FOR_EVER) -> None:
        self.adopted, self.lost, self.failures = list[Dialled](), list[Dialled](), list[str]()
        self.dialer = Dialer(self.make, self.adopted.append, self.failures.append, within)

    def make(self, where: Address) -> Dialled:
        return Dialled(where, self.lost.append)

    async def has(self, count: int) -> Dialled:
        await until(lambda: len(self.adopted) == count)
        return self.adopted[-1]


def test_one_that_is_adopted_outlives_every_later_dial() -> None:
    """Its own dial may have some turns to go: cancelled then, uvloop would close the connection and tell nobody."""

    async def scene() -> None:
        async with Stand() as stand:
            o = Owner()

            def adopt(conn: Dialled) -> None:
                o.adopted.append(conn)
                if len(o.adopted) == 1:
                    o.dialer.dial(stand.where)  # the first one's task has not come round yet

            o.dialer.adopt = adopt
            o.dialer.dial(stand.where)
            await o.has(2)
            await turns()
            assert not any(conn.transport.is_closing() for conn in o.adopted)
            for conn, side in zip(o.adopted, [await stand.next(), await stand.next()], strict=True):
                side.close()
                await until(lambda conn=conn: conn in o.lost)

    play(scene)


@pytest.mark.parametrize("again", [True, False], ids=["dialled again", "cancelled"])
@pytest.mark.parametrize("wait", range(6))
def test_a_dial_given_up_at_any_turn_of_the_loop_leaves_nothing(wait: int, again: bool) -> None:
    async def scene() -> None:
        async with Stand() as stand:
            o = Owner()
            o.dialer.dial(stand.where)
            await turns(wait)
            before = len(o.adopted)
            o.dialer.dial(stand.where) if again else o.dialer.cancel()
            if again:
                await o.has(before + 1)
            await turns()
            assert len(o.adopted) == before + again
            assert not o.failures
            assert not o.lost
            assert not o.dialer.busy
            kept = [conn.transport.get_extra_info("sockname") for conn in o.adopted]
            for side in stand.sides:
                if side.writer.get_extra_info("peername") not in kept:
                    await side.gone()

    play(scene)


@pytest.mark.parametrize("end", [Side.close, Side.reset])
def test_its_end_is_told_once_and_never_after_it_was_dropped(end: Any) -> None:
    async def scene() -> None:
        async with Stand() as stand:
            o = Owner()
            for dropped in (False, True):
                o.dialer.dial(stand.where)
                conn = await o.has(1 + dropped)
                side = await stand.next()
                if dropped:
                    conn.drop()
                end(side)
                await side.gone()
                await until(lambda: len(o.lost) == 1)
                await turns()
            assert o.lost == [o.adopted[0]]

    play(scene)


def test_what_a_dial_comes_to_is_told_once_whatever_it_was() -> None:
    async def scene() -> None:
        dials, empty = Dials(), await nobody()
        o = Owner()
        o.dialer.dial(empty)
        await until(lambda: o.failures)
        assert "refused" in o.failures[0].lower()
        o.dialer.dial(("127.0.0.1", 70_000))  # no OSError
        await until(lambda: len(o.failures) == 2)
        dials.early(empty)
        o.dialer.within = 20.0
        o.dialer.dial(empty)
        await until(lambda: len(o.failures) == 3)
        dials.let(empty)
        await turns()
        assert o.failures[2] == "no connection in time"
        assert len(o.failures) == 3
        assert not o.dialer.busy

    play(scene)


def test_an_address_whose_connections_come_up_later_than_the_limit_is_reached_in_the_end() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            loop: Any = asyncio.get_running_loop()
            real = loop.create_connection

            async def slow(*what: Any) -> Any:
                await asyncio.sleep(0.06)
                return await real(*what)

            loop.create_connection = slow
            o = Owner(within=25.0)
            o.dialer.failed = lambda why: (o.failures.append(why), o.dialer.dial(stand.where))
            o.dialer.dial(stand.where)
            await o.has(1)
            assert o.failures == ["no connection in time"] * 2
            assert o.dialer.patience == 1.0
            loop.create_connection = real

    play(scene)


def test_a_connection_that_is_up_when_its_limit_passes_is_adopted() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            o = Owner(within=30.0)
            o.dialer.dial(stand.where)
            await asyncio.sleep(0)
            time.sleep(0.1)
            await o.has(1)
            assert not o.failures

    play(scene)
