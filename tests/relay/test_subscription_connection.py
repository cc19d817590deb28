"""Events between two steps of the watch connection: losses, address changes, silence and invalid lines.

Guards against events from an incomplete initial state or an old connection, slices delivered without their entries, and
a watch that is not reopened. Each order of events is forced.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from forced_order import (
    LONG_TIMEOUT_MS,
    ConnectionAttempts,
    PeerConnection,
    StandInServer,
    block_loop,
    run_async,
    until,
    yield_to_loop,
)
from platform_samples import HOSTS, attach, entry, owner

from corallanding import interface as api
from corallanding.relay.notifications import InvalidNotificationError, parse_notification
from tests.relay.support import PING, WATCH_RESULT, RecordingWatch, accept_watch, proxy_joined, send_initial_state


@pytest.mark.parametrize("end", [PeerConnection.close, PeerConnection.reset])
def test_watch_when_it_breaks_at_once_then_it_is_requested_again(
    end: Callable[[PeerConnection], None],
) -> None:
    async def scenario() -> None:
        attempts = ConnectionAttempts()
        async with StandInServer() as server:
            watch = RecordingWatch(server.address)
            attempts.hold_after_connect(server.address)
            watch.client.start()
            peer = await server.next_connection()
            end(peer)
            await peer.wait_closed()
            await yield_to_loop()
            attempts.release(server.address)
            await send_initial_state(watch, server, attach(3))
            assert watch.take_events() == [proxy_joined(3)]
            watch.client.close()

    run_async(scenario)


def test_watch_when_established_after_close_then_no_connection_is_left() -> None:
    async def scenario() -> None:
        attempts = ConnectionAttempts()
        async with StandInServer() as server:
            watch = RecordingWatch(server.address)
            attempts.hold_before_connect(server.address)
            watch.client.start()
            await until(lambda: attempts.started.get(server.address))
            watch.client.close()
            attempts.release(server.address)
            await yield_to_loop()
            assert watch.client.candidate is None
            for peer in server.connections:
                await peer.wait_closed()

    run_async(scenario)


def test_watch_when_the_address_changes_during_an_attempt_then_the_new_address_is_used_at_once() -> None:
    async def scenario() -> None:
        attempts = ConnectionAttempts()
        async with StandInServer() as old, StandInServer() as new:
            watch = RecordingWatch(old.address)
            attempts.hold_before_connect(old.address)
            watch.client.start()
            await until(lambda: attempts.started.get(old.address))
            watch.client.set_address(new.address)
            await send_initial_state(watch, new, attach(3))
            attempts.release(old.address)
            await yield_to_loop()
            for peer in old.connections:
                await peer.wait_closed()
            assert watch.take_events() == [proxy_joined(3)]
            watch.client.close()

    run_async(scenario)


def test_watch_when_it_breaks_in_the_initial_state_then_no_event_is_delivered() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            watch = RecordingWatch(server.address)
            watch.client.start()
            peer = await accept_watch(server)
            peer.send(WATCH_RESULT)
            peer.send_notifications(attach(3), owner(2))
            await until(
                lambda: (
                    watch.client.candidate
                    and watch.client.candidate.initial_state
                    and watch.client.candidate.initial_state.tables
                )
            )
            peer.reset()
            await send_initial_state(watch, server, attach(4))
            assert watch.take_events() == [proxy_joined(4)]
            watch.client.close()

    run_async(scenario)


@pytest.mark.parametrize(
    "first",
    [[("send_notifications", PING)], [("send_notifications", PING), ("send", WATCH_RESULT), ("send", WATCH_RESULT)]],
)
def test_ping_when_before_the_result_then_the_initial_state_is_not_complete(first: list[tuple[str, Any]]) -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            watch = RecordingWatch(server.address)
            watch.client.start()
            peer = await accept_watch(server)
            for method, message in first:
                getattr(peer, method)(message)
            await yield_to_loop()
            assert not watch.client.has_been_ready
            assert not watch.events
            peer.send(WATCH_RESULT)
            peer.send_notifications(attach(3), PING)
            await until(lambda: watch.client.has_been_ready)
            assert watch.take_events() == [proxy_joined(3)]
            watch.client.close()

    run_async(scenario)


def test_watch_when_it_breaks_after_the_initial_state_then_the_difference_is_delivered() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            watch = RecordingWatch(server.address)
            watch.client.start()
            peer = await send_initial_state(watch, server, attach(3), attach(4), owner(2), entry(2, 1))
            peer.reset()
            await until(lambda: watch.client.current is None)
            watch.take_events()
            # During the interruption proxy 3 left and joined again, proxy 4 left, and the table of slice 2 changed.
            await send_initial_state(watch, server, attach(3), owner(2), entry(2, 0))
            assert watch.take_events() == [
                api.ProxyLeft(4),
                api.SliceOwnershipChange(2, True),
                api.StoredWeight(2, HOSTS[0], 1.0),
            ]
            assert watch.resume_count == 1
            watch.client.close()

    run_async(scenario)


def test_slice_when_its_entries_arrive_in_several_reads_then_they_are_delivered_together() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            watch = RecordingWatch(server.address, entries_quiet_ms=LONG_TIMEOUT_MS)
            watch.client.start()
            peer = await send_initial_state(watch, server, attach(3))
            watch.take_events()
            peer.send_notifications(owner(2))
            await until(lambda: watch.view.incomplete_slices)
            peer.send_notifications(entry(2, 1))
            await until(lambda: watch.view.incomplete_slices[2])
            assert not watch.events
            watch.client.deliver_slices()
            assert watch.take_events() == [api.SliceOwnershipChange(2, True), api.StoredWeight(2, HOSTS[1], 1.0)]
            peer.send_notifications(entry(2, 0))
            await until(lambda: watch.events)
            assert watch.take_events() == [api.StoredWeight(2, HOSTS[0], 1.0)]
            watch.client.close()

    run_async(scenario)


def test_slice_when_entries_of_other_slices_keep_arriving_then_it_is_delivered() -> None:
    async def scenario() -> None:
        watch, now, due = RecordingWatch(("127.0.0.1", 1), entries_quiet_ms=30.0), 0.0, list[float]()

        class RecordingLoop:
            def call_later(self, seconds: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
                due.append(now + seconds * 1000.0)
                return asyncio.get_running_loop().call_later(LONG_TIMEOUT_MS, callback)

        watch.client.clock, watch.client.loop = lambda: now, RecordingLoop()  # type: ignore[assignment]
        for _ in range(20):
            watch.client.on_entries()
            now += 20.0
        assert due[:3] == [30.0, 50.0, 70.0]
        assert due[-1] == now - 20.0, "at the end of the maximum wait, slices are delivered at once"
        watch.client.close()

    run_async(scenario)


def test_watch_when_the_address_changes_then_the_old_connection_is_used_until_the_new_state_is_complete() -> None:
    async def scenario() -> None:
        async with StandInServer() as old, StandInServer() as new:
            watch = RecordingWatch(old.address)
            watch.client.start()
            first = await send_initial_state(watch, old, attach(3), owner(2), entry(2, 1))
            watch.take_events()
            watch.client.set_address(new.address)
            second = await accept_watch(new)
            second.send(WATCH_RESULT)
            second.send_notifications(attach(3), attach(5), owner(2), entry(2, 1))
            first.send_notifications(attach(4), owner(2, False))
            await until(lambda: len(watch.events) == 2)
            assert watch.take_events() == [proxy_joined(4), api.SliceOwnershipChange(2, False)], (
                "events of the old connection are still delivered"
            )
            second.send_notifications(PING)
            await until(lambda: watch.client.current and watch.client.current.address == new.address)
            assert watch.take_events() == [
                api.ProxyLeft(4),
                proxy_joined(5),
                api.SliceOwnershipChange(2, True),
                api.StoredWeight(2, HOSTS[1], 1.0),
            ]
            first.send_notifications(attach(6))  # ignored, since the old connection is discarded
            await first.wait_closed()
            second.send_notifications(attach(7))
            await until(lambda: watch.events)
            assert watch.take_events() == [proxy_joined(7)]
            watch.client.close()

    run_async(scenario)


def test_watch_when_the_relay_is_silent_then_it_is_opened_again() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            watch = RecordingWatch(server.address, silence_timeout_ms=40.0)
            watch.client.start()
            silent_peer = await accept_watch(server)
            peer = await accept_watch(server)
            await silent_peer.wait_closed()
            watch.client.timings = replace(watch.client.timings, silence_timeout_ms=LONG_TIMEOUT_MS)
            peer.send(WATCH_RESULT)
            peer.send_notifications(attach(3), PING)
            await until(lambda: watch.events)
            watch.client.close()

    run_async(scenario)


def test_watch_when_a_line_is_received_as_the_silence_ends_then_it_stays_open() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            watch = RecordingWatch(server.address, silence_timeout_ms=80.0)
            watch.client.start()
            peer = await send_initial_state(watch, server, attach(3))
            assert watch.client.current
            received_before_ms = watch.client.current.last_received_ms
            block_loop(lambda: peer.send_at_once(b'{"method":"ping"}\n'), 0.2)
            await until(
                lambda: watch.client.current is None or watch.client.current.last_received_ms > received_before_ms
            )
            assert watch.client.current
            assert not watch.warnings
            watch.client.close()

    run_async(scenario)


@pytest.mark.parametrize(
    "line",
    [
        b"[" * 5_000,
        b'{"method":"attach","params":' + b"[" * 5_000,
        b"{",
        b'{"method":7}',
        b'{"method":"attach","params":[]}',
        b"\xff",
    ],
)
def test_line_when_invalid_then_it_is_logged_and_the_connection_stays_open(line: bytes) -> None:
    with pytest.raises(InvalidNotificationError):
        parse_notification(line)

    async def scenario() -> None:
        async with StandInServer() as server:
            watch = RecordingWatch(server.address)
            watch.client.start()
            peer = await send_initial_state(watch, server, attach(3))
            watch.take_events()
            peer.send(line + b"\n")
            peer.send_notifications(attach(4))
            await until(lambda: watch.events)
            assert watch.take_events() == [proxy_joined(4)]
            assert len(watch.warnings) == 1
            assert len(server.connections) == 1
            watch.client.close()

    run_async(scenario)
