"""Stop and reload of the platform controller, with every order of events forced by the test."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from forced_order import FOR_EVER, Dials, Side, Stand, nobody, play, turns, until
from platform_samples import attach, entry, list_entry, owner

from corallanding import interface as api
from corallanding.resp import encode
from tests.platform.support import change_addresses, controller_harness
from tests.relay.support import PING, RESULT, taken


def test_stop_when_called_then_no_step_call_or_connection_begins(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path, FOR_EVER) as harness, Stand() as other:
            await harness.complete_start()
            call = await harness.start_drain()
            dials, steps = Dials(), harness.controller.inbox.step_count
            harness.controller.stop()
            harness.controller.stop()
            await harness.watch.gone()
            await harness.poll.gone()
            change_addresses(harness, other, other)
            due = harness.controller.decisions.due_at_ms
            harness.controller.on_events([api.ProxyLeft(0)])
            await turns()
            assert harness.controller.decisions.due_at_ms == due
            assert not harness.run_task.done(), "the call in flight may complete"
            harness.call.say(taken(call["id"], len(call["params"]["ops"])))
            await harness.run_task
            assert harness.controller.inbox.step_count == steps
            assert not dials.count

    play(scenario)


def test_stop_when_not_ready_then_no_heartbeat_is_answered(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            side = Side(*await asyncio.open_connection(*harness.listening_address()))
            side.say(encode(["hb"]))
            await until(lambda: harness.controller.server and harness.controller.server.unidentified)
            harness.controller.stop()
            harness.controller.set_ready()  # the start timer may fire in the same loop iteration
            side.writer.write_eof()
            assert await side.reader.read() == b""

    play(scenario)


def test_stop_when_a_call_is_in_flight_then_it_completes_and_no_other_begins(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path, FOR_EVER) as harness:
            await harness.complete_start()
            call = await harness.start_drain()
            harness.watch.tell(owner(3), entry(3, 1))
            harness.controller.stop()
            await turns()
            assert not harness.run_task.done()
            harness.call.say(taken(call["id"], len(call["params"]["ops"])))
            await harness.run_task
            assert await harness.call.reader.read() == b""

    play(scenario)


def test_stop_when_the_relay_never_answers_then_it_ends_after_the_answer_timeout(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            await harness.complete_start()
            await harness.start_drain()
            harness.controller.stop()
            await harness.run_task

    play(scenario)


def test_reload_when_nothing_changed_or_the_file_is_invalid_then_connections_stay(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            await harness.complete_start()
            dials = Dials()
            harness.controller.reload()
            valid = harness.path.read_bytes()
            for content in (valid[:90], b"", b"[" * 5_000, b"\xff", valid.replace(b"discovery", b"discovers")):
                harness.path.write_bytes(content)
                harness.controller.reload()
            harness.path.unlink()
            harness.controller.reload()
            await turns()
            assert not dials.count
            assert harness.controller.subscription.current
            assert harness.controller.discovery.connection

    play(scenario)


@pytest.mark.parametrize("which", ["relay", "agent"])
def test_reload_when_one_address_changes_then_only_that_one_is_connected(tmp_path: Path, which: str) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness, Stand() as new:
            await harness.complete_start()
            dials = Dials()
            change_addresses(harness, **{which: new})
            side = await new.next()
            if which == "agent":
                await side.question()
                await harness.poll.gone()
            else:
                assert (await side.line())["method"] == "relay.watch"
                side.say(RESULT)
                side.tell(attach(0), owner(2), entry(2, 1), PING)
                await harness.watch.gone()
            assert set(dials.count) == {new.where}

    play(scenario)


def test_reload_when_addresses_change_twice_then_the_last_ones_are_used(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness, Stand() as wrong, Stand() as right:
            await harness.complete_start()
            dials = Dials()
            dials.early(wrong.where)
            change_addresses(harness, wrong, wrong)
            await until(lambda: dials.count.get(wrong.where) == 2)
            change_addresses(harness, right, right)
            dials.let(wrong.where)
            first_words = set()
            for _ in range(2):
                side = await right.next()
                first_words.add((await side.reader.readline()).split()[0])
            assert len(first_words) == 2
            assert b"GET" in first_words
            await turns()
            for side in wrong.sides:
                await side.gone()

    play(scenario)


def test_reload_when_nobody_listens_at_the_new_addresses_then_the_old_connections_stay(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            await harness.complete_start()
            dials, unused = Dials(), await nobody()
            change_addresses(harness, agent=unused)
            await until(lambda: dials.over.get(unused))
            harness.poll.answer(
                msgspec.json.encode({"seq": 2, "whole": False, "hosts": [list_entry("s-1", "terminating")]})
            )
            assert "index=2" in await harness.poll.question()
            change_addresses(harness, relay=unused)
            await until(lambda: dials.over[unused] >= 3)
            harness.watch.tell(attach(1))
            await until(lambda: 1 in harness.controller.relay_view.proxies)

    play(scenario)
