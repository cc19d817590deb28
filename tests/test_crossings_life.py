"""New addresses and the end of the platform's steward, each order forced."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest
from crossings import FOR_EVER, Dials, Side, Stand, nobody, play, turns, until
from crossings_life import life, moved
from crossings_relay import PING, RESULT, taken
from platform_front import attach, entry, owner
from test_platform_state import row

from corallanding import interface as api
from corallanding.resp import encode


def test_after_the_end_is_told_there_is_no_turn_no_call_and_no_dial(tmp_path: Path) -> None:
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


def test_one_that_ends_before_it_is_ready_gives_no_sign_of_life(tmp_path: Path) -> None:
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


def test_a_call_in_flight_at_the_end_is_whole_and_what_waits_behind_it_never_begins(tmp_path: Path) -> None:
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


def test_a_relay_that_never_answers_holds_up_the_end_for_its_time_only(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it:
            await it.serve()
            await it.calling()
            it.service.stop()
            await it.running

    play(scene)


def test_the_same_addresses_or_a_file_half_written_move_nothing(tmp_path: Path) -> None:
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
def test_only_what_changed_is_dialled(tmp_path: Path, which: str) -> None:
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


def test_changed_twice_within_a_dial_the_last_address_counts(tmp_path: Path) -> None:
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


def test_where_nobody_listens_the_old_addresses_go_on(tmp_path: Path) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it:
            await it.serve()
            dials, empty = Dials(), await nobody()
            moved(it, agent=empty)
            await until(lambda: dials.over.get(empty))
            it.poll.answer(msgspec.json.encode({"seq": 2, "whole": False, "hosts": [row("s-1", "terminating")]}))
            assert "index=2" in await it.poll.question()
            moved(it, relay=empty)
            await until(lambda: dials.over[empty] >= 3)
            it.news.tell(attach(1))
            await until(lambda: 1 in it.service.relay_view.proxies)

    play(scene)
