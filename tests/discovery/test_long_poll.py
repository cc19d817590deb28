"""Events between two steps of the discovery client: address changes, shutdown and failures.

Guards against polls on the wrong connection, connections that are never closed, and polling that stops after a failure.
Each order of events is forced.
"""

from __future__ import annotations

import asyncio
from typing import Any

from forced_order import ConnectionAttempts, StandInServer, run_async, until, unused_address, yield_to_loop

from tests.discovery.support import RecordingReceiver, accept_request, make_client, poll_path, polling_client


def test_client_when_the_old_address_connects_after_the_new_one_then_it_is_not_used() -> None:
    async def scenario() -> None:
        attempts, receiver = ConnectionAttempts(), RecordingReceiver()
        async with StandInServer() as old, StandInServer() as new:
            attempts.hold_before_connect(old.address)
            client = make_client(old, receiver)
            client.start()
            await until(lambda: attempts.started.get(old.address))
            client.set_address(new.address)
            new_peer = await new.next_connection()
            await yield_to_loop()
            attempts.release(old.address)
            assert await new_peer.read_request_path() == poll_path(0)
            await yield_to_loop()
            assert client.connection
            assert client.connection.transport.get_extra_info("peername") == new.address
            for peer in old.connections:
                await peer.wait_closed()
            client.stop()
            await new_peer.wait_closed()

    run_async(scenario)


def test_client_when_the_address_is_changed_back_then_the_old_connection_stays() -> None:
    async def scenario() -> None:
        attempts, receiver = ConnectionAttempts(), RecordingReceiver()
        async with StandInServer() as old, StandInServer() as new:
            client = make_client(old, receiver)
            client.start()
            peer = await accept_request(old, poll_path(0))
            attempts.hold_before_connect(new.address)
            client.set_address(new.address)
            await until(lambda: attempts.started.get(new.address))
            client.set_address(old.address)
            next_peer = await accept_request(old, poll_path(0))
            attempts.release(new.address)
            await peer.wait_closed()
            for peer_of_new in new.connections:
                await peer_of_new.wait_closed()
            next_peer.send_answer(b"3")
            assert await next_peer.read_request_path() == poll_path(3)
            client.stop()

    run_async(scenario)


def test_client_when_the_new_address_is_unreachable_then_the_old_connection_is_used() -> None:
    async def scenario() -> None:
        attempts, receiver = ConnectionAttempts(), RecordingReceiver()
        closed_address = await unused_address()
        async with StandInServer() as old:
            client = make_client(old, receiver)
            client.start()
            peer = await accept_request(old, poll_path(0))
            client.set_address(closed_address)
            for version in (1, 2):
                await until(lambda version=version: attempts.ended.get(closed_address, 0) >= version)
                await yield_to_loop()
                peer.send_answer(b"%d" % version)
                assert await peer.read_request_path() == poll_path(version)
            await until(lambda: attempts.started[closed_address] == 3)
            assert not receiver.failures
            client.stop()

    run_async(scenario)


def test_fetch_when_the_address_changes_then_it_is_sent_again_and_no_failure_is_reported() -> None:
    async def scenario() -> None:
        receiver = RecordingReceiver()
        async with StandInServer() as old, StandInServer() as new:
            client = make_client(old, receiver, on_request=True)
            client.start()
            client.fetch()
            peer = await accept_request(old, "/v1/servers")
            client.set_address(new.address)
            new_peer = await accept_request(new, "/v1/servers")
            await peer.wait_closed()
            new_peer.send_answer(b"5")
            await until(lambda: receiver.version == 5)
            assert not receiver.failures
            client.stop()

    run_async(scenario)


def test_client_when_stopped_then_it_opens_no_connection() -> None:
    async def scenario() -> None:
        attempts, receiver = ConnectionAttempts(), RecordingReceiver()
        async with StandInServer() as old, StandInServer() as new:
            attempts.hold_before_connect(old.address)
            client = make_client(old, receiver)
            client.start()
            await until(lambda: attempts.started.get(old.address))
            client.stop()
            client.set_address(new.address)
            client.fetch()
            attempts.release(old.address)
            await yield_to_loop()
            assert new.address not in attempts.started
            assert client.connection is None
            for peer in old.connections:
                await peer.wait_closed()

    run_async(scenario)


# ---- receivers that raise exceptions, and requests that fail ----------------------------------------------


def test_poll_when_the_receiver_raises_then_polling_continues() -> None:
    async def scenario() -> None:
        receiver = RecordingReceiver(error_count=2)
        exceptions: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: exceptions.append(context))
        async with StandInServer() as server:
            client = make_client(server, receiver)
            client.start()
            for _ in range(3):
                (await accept_request(server, poll_path(0))).send_answer(b"4")
            await until(lambda: receiver.version == 4)
            assert len(exceptions) == 2, "each exception is reported to the event loop"
            client.stop()

    run_async(scenario)


def test_fetch_when_requests_fail_then_it_is_repeated() -> None:
    async def scenario() -> None:
        async with polling_client() as (server, _, client, peer):
            client.fetch()
            peer.send_answer(b"1")
            assert await peer.read_request_path() == "/v1/servers"
            peer.reset()
            peer = await accept_request(server, "/v1/servers")
            peer.send_answer(b"2")
            assert await peer.read_request_path() == poll_path(2)

    run_async(scenario)


def test_watch_when_repeated_during_a_failing_request_then_one_failure_is_reported() -> None:
    async def scenario() -> None:
        receiver = RecordingReceiver()
        async with StandInServer() as server:
            client = make_client(server, receiver, on_request=True)
            client.start()
            client.watch(True)
            peer = await accept_request(server, poll_path(0))
            client.watch(True)
            peer.reset()
            await until(lambda: receiver.failures)
            assert len(receiver.failures) == 1
            await yield_to_loop()
            assert server.accepted.empty(), (
                "one failure report for each `watch`; the receiver decides whether to request again"
            )
            client.watch(True)
            await accept_request(server, poll_path(0))
            client.stop()

    run_async(scenario)
