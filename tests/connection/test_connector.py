"""Connection attempts that are established, cancelled and broken in every order."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from forced_order import (
    LONG_TIMEOUT_MS,
    Address,
    ConnectionAttempts,
    PeerConnection,
    StandInServer,
    run_async,
    until,
    unused_address,
    yield_to_loop,
)

from corallanding.connection import Connector, OutboundConnection

SLOW_CONNECTION_MS = 60.0  # time until a connection to the slow address is established


class Owner:
    """Records what a connector reports."""

    def __init__(self, timeout_ms: float = LONG_TIMEOUT_MS) -> None:
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
    """The task of the first attempt may not have finished when the second one begins.

    If it were cancelled then, uvloop would close the connection without notifying its owner.
    """

    async def scenario() -> None:
        async with StandInServer() as server:
            owner = Owner()

            def adopt(connection: OutboundConnection) -> None:
                owner.adopted.append(connection)
                if len(owner.adopted) == 1:
                    owner.connector.connect(server.address)  # the task of the first attempt has not finished yet

            owner.connector.on_connected = adopt
            owner.connector.connect(server.address)
            await owner.wait_adopted(2)
            await yield_to_loop()
            assert not any(connection.transport.is_closing() for connection in owner.adopted)
            for connection, peer in zip(
                owner.adopted, [await server.next_connection(), await server.next_connection()], strict=True
            ):
                peer.close()
                await until(lambda connection=connection: connection in owner.lost)

    run_async(scenario)


@pytest.mark.parametrize("reconnects", [True, False], ids=["connects again", "cancelled"])
@pytest.mark.parametrize("wait", range(6))
def test_attempt_when_cancelled_at_any_loop_iteration_then_nothing_is_left_open(wait: int, reconnects: bool) -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            owner = Owner()
            owner.connector.connect(server.address)
            await yield_to_loop(wait)
            before = len(owner.adopted)
            owner.connector.connect(server.address) if reconnects else owner.connector.cancel()
            if reconnects:
                await owner.wait_adopted(before + 1)
            await yield_to_loop()
            assert len(owner.adopted) == before + reconnects
            assert not owner.failures
            assert not owner.lost
            assert not owner.connector.is_connecting
            adopted = [connection.transport.get_extra_info("sockname") for connection in owner.adopted]
            for peer in server.connections:
                if peer.writer.get_extra_info("peername") not in adopted:
                    await peer.wait_closed()

    run_async(scenario)


@pytest.mark.parametrize("end", [PeerConnection.close, PeerConnection.reset])
def test_connection_when_it_ends_then_its_owner_is_notified_once_unless_it_was_discarded(end: Any) -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            owner = Owner()
            for is_discarded in (False, True):
                owner.connector.connect(server.address)
                connection = await owner.wait_adopted(1 + is_discarded)
                peer = await server.next_connection()
                if is_discarded:
                    connection.discard()
                end(peer)
                await peer.wait_closed()
                await until(lambda: len(owner.lost) == 1)
                await yield_to_loop()
            assert owner.lost == [owner.adopted[0]]

    run_async(scenario)


def test_attempt_when_it_fails_in_any_way_then_the_failure_is_reported_once() -> None:
    async def scenario() -> None:
        attempts, unused = ConnectionAttempts(), await unused_address()
        owner = Owner()
        owner.connector.connect(unused)
        await until(lambda: owner.failures)
        assert "refused" in owner.failures[0].lower()
        owner.connector.connect(("127.0.0.1", 70_000))  # raises another exception than OSError
        await until(lambda: len(owner.failures) == 2)
        attempts.hold_before_connect(unused)
        owner.connector.timeout_ms = 20.0
        owner.connector.connect(unused)
        await until(lambda: len(owner.failures) == 3)
        attempts.release(unused)
        await yield_to_loop()
        assert owner.failures[2] == "connection attempt timed out"
        assert len(owner.failures) == 3
        assert not owner.connector.is_connecting

    run_async(scenario)


def test_connector_when_connections_are_established_after_the_limit_then_a_later_attempt_succeeds() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            loop: Any = asyncio.get_running_loop()
            create_connection = loop.create_connection

            async def create_slowly(*arguments: Any) -> Any:
                if owner.connector.timeout_ms * owner.connector.timeout_factor < SLOW_CONNECTION_MS:
                    await asyncio.Event().wait()  # established after the limit: cancelled before
                return await create_connection(*arguments)

            loop.create_connection = create_slowly
            owner = Owner(timeout_ms=25.0)
            owner.connector.on_failed = lambda reason: (
                owner.failures.append(reason),
                owner.connector.connect(server.address),
            )
            owner.connector.connect(server.address)
            await owner.wait_adopted(1)
            assert owner.failures == ["connection attempt timed out"] * 2
            assert owner.connector.timeout_factor == 1.0
            loop.create_connection = create_connection

    run_async(scenario)


def test_connection_when_established_at_its_time_limit_then_it_is_adopted() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            owner = Owner(timeout_ms=30.0)
            owner.connector.connect(server.address)
            await asyncio.sleep(0)
            time.sleep(0.1)  # noqa: ASYNC251 - the event loop is to be blocked
            await owner.wait_adopted(1)
            assert not owner.failures

    run_async(scenario)
