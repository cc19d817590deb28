"""What may come between two lines of the connection with news, each order forced."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from forced_order import FOR_EVER, Dials, Side, Stand, busy, play, turns, until
from platform_samples import HOSTS, attach, entry, owner

from corallanding import interface as api
from corallanding.relay.notifications import InvalidNotificationError, parse_notification
from tests.relay.support import PING, RESULT, Watcher, joined, standing, watched


@pytest.mark.parametrize("end", [Side.close, Side.reset])
def test_watch_when_it_breaks_at_once_then_it_is_requested_again(
    end: Callable[[Side], None],
) -> None:
    async def scene() -> None:
        dials = Dials()
        async with Stand() as stand:
            w = Watcher(stand.where)
            dials.late(stand.where)
            w.link.start()
            side = await stand.next()
            end(side)
            await side.gone()
            await turns()
            dials.let(stand.where)
            await standing(w, stand, attach(3))
            assert w.told() == [joined(3)]
            w.link.close()

    play(scene)


def test_watch_when_established_after_close_then_no_connection_is_left() -> None:
    async def scene() -> None:
        dials = Dials()
        async with Stand() as stand:
            w = Watcher(stand.where)
            dials.early(stand.where)
            w.link.start()
            await until(lambda: dials.count.get(stand.where))
            w.link.close()
            dials.let(stand.where)
            await turns()
            assert w.link.candidate is None
            for side in stand.sides:
                await side.gone()

    play(scene)


def test_watch_when_the_address_changes_then_an_attempt_at_the_old_one_is_not_waited_for() -> None:
    async def scene() -> None:
        dials = Dials()
        async with Stand() as old, Stand() as new:
            w = Watcher(old.where)
            dials.early(old.where)
            w.link.start()
            await until(lambda: dials.count.get(old.where))
            w.link.set_address(new.where)
            await standing(w, new, attach(3))
            dials.let(old.where)
            await turns()
            for side in old.sides:
                await side.gone()
            assert w.told() == [joined(3)]
            w.link.close()

    play(scene)


def test_watch_when_it_breaks_in_the_initial_state_then_no_event_is_delivered() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            w = Watcher(stand.where)
            w.link.start()
            side = await watched(stand)
            side.say(RESULT)
            side.tell(attach(3), owner(2))
            await until(
                lambda: w.link.candidate and w.link.candidate.initial_state and w.link.candidate.initial_state.tables
            )
            side.reset()
            await standing(w, stand, attach(4))
            assert w.told() == [joined(4)]
            w.link.close()

    play(scene)


@pytest.mark.parametrize("first", [[("tell", PING)], [("tell", PING), ("say", RESULT), ("say", RESULT)]])
def test_ping_when_before_the_result_then_the_initial_state_is_not_complete(first: list[tuple[str, Any]]) -> None:
    async def scene() -> None:
        async with Stand() as stand:
            w = Watcher(stand.where)
            w.link.start()
            side = await watched(stand)
            for how, what in first:
                getattr(side, how)(what)
            await turns()
            assert not w.link.has_been_ready
            assert not w.events
            side.say(RESULT)
            side.tell(attach(3), PING)
            await until(lambda: w.link.has_been_ready)
            assert w.told() == [joined(3)]
            w.link.close()

    play(scene)


def test_watch_when_it_breaks_after_the_initial_state_then_the_difference_is_delivered() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            w = Watcher(stand.where)
            w.link.start()
            side = await standing(w, stand, attach(3), attach(4), owner(2), entry(2, 1))
            side.reset()
            await until(lambda: w.link.current is None)
            w.told()
            # 3 left and came back within the gap, 4 left for good, the slice's line changed.
            await standing(w, stand, attach(3), owner(2), entry(2, 0))
            assert w.told() == [api.ProxyLeft(4), api.SliceOwnershipChange(2, True), api.StoredWeight(2, HOSTS[0], 1.0)]
            assert w.gaps == 1
            w.link.close()

    play(scene)


def test_slice_when_its_entries_come_in_several_reads_then_they_are_delivered_together() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            w = Watcher(stand.where, entries_quiet_ms=FOR_EVER)
            w.link.start()
            side = await standing(w, stand, attach(3))
            w.told()
            side.tell(owner(2))
            await until(lambda: w.news.incomplete_slices)
            side.tell(entry(2, 1))
            await until(lambda: w.news.incomplete_slices[2])
            assert not w.events
            w.link.deliver_slices()
            assert w.told() == [api.SliceOwnershipChange(2, True), api.StoredWeight(2, HOSTS[1], 1.0)]
            side.tell(entry(2, 0))
            await until(lambda: w.events)
            assert w.told() == [api.StoredWeight(2, HOSTS[0], 1.0)]
            w.link.close()

    play(scene)


def test_slice_when_entries_of_others_never_cease_then_it_is_delivered() -> None:
    async def scene() -> None:
        w, now, due = Watcher(("127.0.0.1", 1), entries_quiet_ms=30.0), 0.0, list[float]()

        class Timers:
            def call_later(self, s: float, call: Callable[[], None]) -> asyncio.TimerHandle:
                due.append(now + s * 1000.0)
                return asyncio.get_running_loop().call_later(FOR_EVER, call)

        w.link.clock, w.link.loop = lambda: now, Timers()  # type: ignore[assignment]
        for _ in range(20):
            w.link.on_entries()
            now += 20.0
        assert due[:3] == [30.0, 50.0, 70.0]
        assert due[-1] == now - 20.0, "the last ones are due at once"
        w.link.close()

    play(scene)


def test_watch_when_the_address_changes_then_the_old_one_counts_until_the_new_state_is_complete() -> None:
    async def scene() -> None:
        async with Stand() as old, Stand() as new:
            w = Watcher(old.where)
            w.link.start()
            first = await standing(w, old, attach(3), owner(2), entry(2, 1))
            w.told()
            w.link.set_address(new.where)
            second = await watched(new)
            second.say(RESULT)
            second.tell(attach(3), attach(5), owner(2), entry(2, 1))
            first.tell(attach(4), owner(2, False))
            await until(lambda: len(w.events) == 2)
            assert w.told() == [joined(4), api.SliceOwnershipChange(2, False)], "the old one goes on"
            second.tell(PING)
            await until(lambda: w.link.current and w.link.current.address == new.where)
            assert w.told() == [
                api.ProxyLeft(4),
                joined(5),
                api.SliceOwnershipChange(2, True),
                api.StoredWeight(2, HOSTS[1], 1.0),
            ]
            first.tell(attach(6))  # it tells last, to nobody
            await first.gone()
            second.tell(attach(7))
            await until(lambda: w.events)
            assert w.told() == [joined(7)]
            w.link.close()

    play(scene)


def test_watch_when_the_relay_is_silent_then_it_is_opened_again() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            w = Watcher(stand.where, silence_timeout_ms=40.0)
            w.link.start()
            mute = await watched(stand)
            side = await watched(stand)
            await mute.gone()
            w.link.timings = replace(w.link.timings, silence_timeout_ms=FOR_EVER)
            side.say(RESULT)
            side.tell(attach(3), PING)
            await until(lambda: w.events)
            w.link.close()

    play(scene)


def test_watch_when_a_line_is_received_as_the_silence_ends_then_it_stays_open() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            w = Watcher(stand.where, silence_timeout_ms=80.0)
            w.link.start()
            side = await standing(w, stand, attach(3))
            assert w.link.current
            first = w.link.current.last_received_ms
            busy(lambda: side.now(b'{"method":"ping"}\n'), 0.2)
            await until(lambda: w.link.current is None or w.link.current.last_received_ms > first)
            assert w.link.current
            assert not w.on_failure
            w.link.close()

    play(scene)


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
def test_line_when_invalid_then_it_is_logged_and_the_connection_stays(line: bytes) -> None:
    with pytest.raises(InvalidNotificationError):
        parse_notification(line)

    async def scene() -> None:
        async with Stand() as stand:
            w = Watcher(stand.where)
            w.link.start()
            side = await standing(w, stand, attach(3))
            w.told()
            side.say(line + b"\n")
            side.tell(attach(4))
            await until(lambda: w.events)
            assert w.told() == [joined(4)]
            assert len(w.on_failure) == 1
            assert len(stand.sides) == 1
            w.link.close()

    play(scene)
