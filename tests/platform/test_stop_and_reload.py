"""Stop and reload of the platform controller, with every order of events forced by the test."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from forced_order import (
    LONG_TIMEOUT_MS,
    ConnectionAttempts,
    PeerConnection,
    StandInServer,
    run_async,
    until,
    unused_address,
    yield_to_loop,
)
from platform_samples import attach, entry, list_entry, owner

from corallanding import interface as api
from corallanding.collector.session import REJECT
from corallanding.resp import encode
from tests.platform.support import change_addresses, controller_harness
from tests.relay.support import PING, WATCH_RESULT, taken


def test_stop_when_called_then_no_step_call_or_connection_begins(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path, LONG_TIMEOUT_MS) as harness, StandInServer() as other:
            await harness.complete_start()
            call = await harness.start_drain()
            attempts, steps = ConnectionAttempts(), harness.controller.inbox.step_count
            harness.controller.stop()
            harness.controller.stop()
            await harness.watch.wait_closed()
            await harness.poll.wait_closed()
            change_addresses(harness, other, other)
            due = harness.controller.decisions.due_at_ms
            harness.controller.on_events([api.ProxyLeft(0)])
            await yield_to_loop()
            assert harness.controller.decisions.due_at_ms == due
            assert not harness.run_task.done(), "the call in flight may complete"
            harness.call.send(taken(call["id"], len(call["params"]["ops"])))
            await harness.run_task
            assert harness.controller.inbox.step_count == steps
            assert not attempts.started

    run_async(scenario)


def test_stop_when_not_ready_then_heartbeats_are_rejected(tmp_path: Path) -> None:
    """Guards against a request that is read and closed with no answer, and against a positive one after the stop."""

    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            peer = PeerConnection(*await asyncio.open_connection(*harness.listening_address()))
            peer.send(encode(["hb"]))
            await until(lambda: harness.controller.server and harness.controller.server.unidentified)
            harness.controller.stop()
            harness.controller.set_ready()  # the start timer may fire in the same loop iteration
            peer.writer.write_eof()
            assert await peer.reader.read() == REJECT

    run_async(scenario)


def test_stop_when_a_call_is_in_flight_then_it_completes_and_no_other_begins(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path, LONG_TIMEOUT_MS) as harness:
            await harness.complete_start()
            call = await harness.start_drain()
            harness.watch.send_notifications(owner(3), entry(3, 1))
            harness.controller.stop()
            await yield_to_loop()
            assert not harness.run_task.done()
            harness.call.send(taken(call["id"], len(call["params"]["ops"])))
            await harness.run_task
            assert await harness.call.reader.read() == b""

    run_async(scenario)


def test_stop_when_the_relay_never_answers_then_it_ends_after_the_answer_timeout(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            await harness.complete_start()
            await harness.start_drain()
            harness.controller.stop()
            await harness.run_task

    run_async(scenario)


def test_reload_when_nothing_changed_or_the_file_is_invalid_then_connections_stay(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            await harness.complete_start()
            attempts = ConnectionAttempts()
            harness.controller.reload()
            valid = harness.path.read_bytes()
            for content in (valid[:90], b"", b"[" * 5_000, b"\xff", valid.replace(b"discovery", b"discovers")):
                harness.path.write_bytes(content)
                harness.controller.reload()
            harness.path.unlink()
            harness.controller.reload()
            await yield_to_loop()
            assert not attempts.started
            assert harness.controller.subscription.current
            assert harness.controller.discovery.connection

    run_async(scenario)


@pytest.mark.parametrize("which", ["relay", "agent"])
def test_reload_when_one_address_changes_then_only_that_one_is_connected(tmp_path: Path, which: str) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness, StandInServer() as new:
            await harness.complete_start()
            attempts = ConnectionAttempts()
            change_addresses(harness, **{which: new})
            peer = await new.next_connection()
            if which == "agent":
                await peer.read_request_path()
                await harness.poll.wait_closed()
            else:
                assert (await peer.read_message())["method"] == "relay.watch"
                peer.send(WATCH_RESULT)
                peer.send_notifications(attach(0), owner(2), entry(2, 1), PING)
                await harness.watch.wait_closed()
            assert set(attempts.started) == {new.address}

    run_async(scenario)


def test_reload_when_addresses_change_twice_then_the_last_ones_are_used(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness, StandInServer() as wrong, StandInServer() as right:
            await harness.complete_start()
            attempts = ConnectionAttempts()
            attempts.hold_before_connect(wrong.address)
            change_addresses(harness, wrong, wrong)
            await until(lambda: attempts.started.get(wrong.address) == 2)
            change_addresses(harness, right, right)
            attempts.release(wrong.address)
            first_words = set()
            for _ in range(2):
                peer = await right.next_connection()
                first_words.add((await peer.reader.readline()).split()[0])
            assert len(first_words) == 2
            assert b"GET" in first_words
            await yield_to_loop()
            for peer in wrong.connections:
                await peer.wait_closed()

    run_async(scenario)


def test_reload_when_nobody_listens_at_the_new_addresses_then_the_old_connections_stay(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            await harness.complete_start()
            attempts, unused = ConnectionAttempts(), await unused_address()
            change_addresses(harness, agent=unused)
            await until(lambda: attempts.ended.get(unused))
            harness.poll.send_answer(
                msgspec.json.encode({"seq": 2, "whole": False, "hosts": [list_entry("s-1", "terminating")]})
            )
            assert "index=2" in await harness.poll.read_request_path()
            change_addresses(harness, relay=unused)
            await until(lambda: attempts.ended[unused] >= 3)
            harness.watch.send_notifications(attach(1))
            await until(lambda: 1 in harness.controller.relay_view.proxies)

    run_async(scenario)
