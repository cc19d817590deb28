"""New addresses and the end of the platform's steward, each order forced."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from forced_order import FOR_EVER, Dials, Side, Stand, nobody, play, turns, until
from platform_samples import attach, entry, list_entry, owner

from corallanding import interface as api
from corallanding.resp import encode
from tests.platform.support import life, moved
from tests.relay.support import PING, RESULT, taken


def test_stop_when_called_then_no_step_call_or_connection_begins(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path, FOR_EVER) as it, Stand() as other:
            await it.serve()
            said = await it.calling()
            dials, steps = Dials(), it.service.inbox.step_count
            it.service.stop()
            it.service.stop()
            await it.news.gone()
            await it.poll.gone()
            moved(it, other, other)
            due = it.service.decisions.due_at_ms
            it.service.on_events([api.ProxyLeft(0)])
            await turns()
            assert it.service.decisions.due_at_ms == due
            assert not it.running.done(), "the call in flight may end"
            it.call.say(taken(said["id"], len(said["params"]["ops"])))
            await it.running
            assert it.service.inbox.step_count == steps
            assert not dials.count

    play(scene)


def test_stop_when_not_ready_then_no_heartbeat_is_answered(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it:
            side = Side(*await asyncio.open_connection(*it.listens()))
            side.say(encode(["hb"]))
            await until(lambda: it.service.server and it.service.server.unidentified)
            it.service.stop()
            it.service.set_ready()  # its timer, in the same turn of the loop
            side.writer.write_eof()
            assert await side.reader.read() == b""

    play(scene)


def test_stop_when_a_call_is_in_flight_then_it_is_complete_and_no_other_begins(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path, FOR_EVER) as it:
            await it.serve()
            said = await it.calling()
            it.news.tell(owner(3), entry(3, 1))
            it.service.stop()
            await turns()
            assert not it.running.done()
            it.call.say(taken(said["id"], len(said["params"]["ops"])))
            await it.running
            assert await it.call.reader.read() == b""

    play(scene)


def test_stop_when_the_relay_never_answers_then_it_waits_for_the_timeout_only(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it:
            await it.serve()
            await it.calling()
            it.service.stop()
            await it.running

    play(scene)


def test_reload_when_nothing_changed_or_the_file_is_invalid_then_connections_stay(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it:
            await it.serve()
            dials = Dials()
            it.service.reload()
            whole = it.path.read_bytes()
            for content in (whole[:90], b"", b"[" * 5_000, b"\xff", whole.replace(b"discovery", b"discovers")):
                it.path.write_bytes(content)
                it.service.reload()
            it.path.unlink()
            it.service.reload()
            await turns()
            assert not dials.count
            assert it.service.subscription.current
            assert it.service.discovery.connection

    play(scene)


@pytest.mark.parametrize("which", ["relay", "agent"])
def test_reload_when_one_address_changed_then_only_it_is_connected(tmp_path: Path, which: str) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it, Stand() as new:
            await it.serve()
            dials = Dials()
            moved(it, **{which: new})
            side = await new.next()
            if which == "agent":
                await side.question()
                await it.poll.gone()
            else:
                assert (await side.line())["method"] == "relay.watch"
                side.say(RESULT)
                side.tell(attach(0), owner(2), entry(2, 1), PING)
                await it.news.gone()
            assert set(dials.count) == {new.where}

    play(scene)


def test_reload_when_an_address_changes_twice_then_the_last_one_counts(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it, Stand() as wrong, Stand() as right:
            await it.serve()
            dials = Dials()
            dials.early(wrong.where)
            moved(it, wrong, wrong)
            await until(lambda: dials.count.get(wrong.where) == 2)
            moved(it, right, right)
            dials.let(wrong.where)
            firsts = set()
            for _ in range(2):
                side = await right.next()
                firsts.add((await side.reader.readline()).split()[0])
            assert len(firsts) == 2
            assert b"GET" in firsts
            await turns()
            for side in wrong.sides:
                await side.gone()

    play(scene)


def test_reload_when_nobody_listens_at_the_new_addresses_then_the_old_ones_go_on(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it:
            await it.serve()
            dials, empty = Dials(), await nobody()
            moved(it, agent=empty)
            await until(lambda: dials.over.get(empty))
            it.poll.answer(msgspec.json.encode({"seq": 2, "whole": False, "hosts": [list_entry("s-1", "terminating")]}))
            assert "index=2" in await it.poll.question()
            moved(it, relay=empty)
            await until(lambda: dials.over[empty] >= 3)
            it.news.tell(attach(1))
            await until(lambda: 1 in it.service.relay_view.proxies)

    play(scene)
