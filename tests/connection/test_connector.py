"""A connection attempt: adopted or discarded, in every order of being established, cancelled and broken."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from forced_order import FOR_EVER, Address, Dials, Side, Stand, nobody, play, turns, until

from corallanding.connection import Connector, OutboundConnection

SLOW_CONNECTION_MS = 60.0  # until a connection of the slow address would be established


class Owner:
    """Keeps what a connector reports."""

    def __init__(self, timeout_ms: float = FOR_EVER) -> None:
        self.adopted: list[OutboundConnection] = []
        self.lost: list[OutboundConnection] = []
        self.failures: list[str] = []
        self.connector = Connector(self.create, self.adopted.append, self.failures.append, timeout_ms)

    def create(self, address: Address) -> OutboundConnection:
        return OutboundConnection(address, self.lost.append)

    async def wait_adopted(self, count: int) -> OutboundConnection:
        await until(lambda: len(self.adopted) == count)
        return self.adopted[-1]


def test_connection_when_another_attempt_begins_after_adoption_then_it_stays_open() -> None:
    """Its own dial may have some turns to go: cancelled then, uvloop would close the connection and tell nobody."""

    async def scene() -> None:
        async with Stand() as stand:
            owner = Owner()

            def adopt(conn: OutboundConnection) -> None:
                owner.adopted.append(conn)
                if len(owner.adopted) == 1:
                    owner.connector.connect(stand.where)  # the first one's task has not come round yet

            owner.connector.on_connected = adopt
            owner.connector.connect(stand.where)
            await owner.wait_adopted(2)
            await turns()
            assert not any(conn.transport.is_closing() for conn in owner.adopted)
            for conn, side in zip(owner.adopted, [await stand.next(), await stand.next()], strict=True):
                side.close()
                await until(lambda conn=conn: conn in owner.lost)

    play(scene)


@pytest.mark.parametrize("again", [True, False], ids=["connects again", "cancelled"])
@pytest.mark.parametrize("wait", range(6))
def test_attempt_when_cancelled_at_any_loop_iteration_then_nothing_is_left_open(wait: int, again: bool) -> None:
    async def scene() -> None:
        async with Stand() as stand:
            owner = Owner()
            owner.connector.connect(stand.where)
            await turns(wait)
            before = len(owner.adopted)
            owner.connector.connect(stand.where) if again else owner.connector.cancel()
            if again:
                await owner.wait_adopted(before + 1)
            await turns()
            assert len(owner.adopted) == before + again
            assert not owner.failures
            assert not owner.lost
            assert not owner.connector.is_connecting
            kept = [conn.transport.get_extra_info("sockname") for conn in owner.adopted]
            for side in stand.sides:
                if side.writer.get_extra_info("peername") not in kept:
                    await side.gone()

    play(scene)


@pytest.mark.parametrize("end", [Side.close, Side.reset])
def test_connection_when_it_ends_then_its_owner_is_told_once_unless_it_was_discarded(end: Any) -> None:
    async def scene() -> None:
        async with Stand() as stand:
            owner = Owner()
            for dropped in (False, True):
                owner.connector.connect(stand.where)
                conn = await owner.wait_adopted(1 + dropped)
                side = await stand.next()
                if dropped:
                    conn.discard()
                end(side)
                await side.gone()
                await until(lambda: len(owner.lost) == 1)
                await turns()
            assert owner.lost == [owner.adopted[0]]

    play(scene)


def test_attempt_when_it_fails_in_any_way_then_the_failure_is_reported_once() -> None:
    async def scene() -> None:
        dials, empty = Dials(), await nobody()
        owner = Owner()
        owner.connector.connect(empty)
        await until(lambda: owner.failures)
        assert "refused" in owner.failures[0].lower()
        owner.connector.connect(("127.0.0.1", 70_000))  # no OSError
        await until(lambda: len(owner.failures) == 2)
        dials.early(empty)
        owner.connector.timeout_ms = 20.0
        owner.connector.connect(empty)
        await until(lambda: len(owner.failures) == 3)
        dials.let(empty)
        await turns()
        assert owner.failures[2] == "connection attempt timed out"
        assert len(owner.failures) == 3
        assert not owner.connector.is_connecting

    play(scene)


def test_connector_when_connections_come_up_after_the_limit_then_it_succeeds_in_the_end() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            loop: Any = asyncio.get_running_loop()
            real = loop.create_connection

            async def slow(*what: Any) -> Any:
                if owner.connector.timeout_ms * owner.connector.timeout_factor < SLOW_CONNECTION_MS:
                    await asyncio.Event().wait()  # it would come up after the limit: cancelled before
                return await real(*what)

            loop.create_connection = slow
            owner = Owner(timeout_ms=25.0)
            owner.connector.on_failed = lambda why: (owner.failures.append(why), owner.connector.connect(stand.where))
            owner.connector.connect(stand.where)
            await owner.wait_adopted(1)
            assert owner.failures == ["connection attempt timed out"] * 2
            assert owner.connector.timeout_factor == 1.0
            loop.create_connection = real

    play(scene)


def test_connection_when_established_as_its_limit_passes_then_it_is_adopted() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            owner = Owner(timeout_ms=30.0)
            owner.connector.connect(stand.where)
            await asyncio.sleep(0)
            time.sleep(0.1)  # noqa: ASYNC251 - the event loop is to be blocked
            await owner.wait_adopted(1)
            assert not owner.failures

    play(scene)
