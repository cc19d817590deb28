"""What may come between two lines of the connection for calls: dials, moves, the end. Each order is forced."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

import msgspec
import pytest
from forced_order import Dials, Side, Stand, play, turns, until

from corallanding import interface as api
from corallanding.relay.pending_calls import PendingCalls
from tests.relay.support import A, B, C, Caller, called, taken


@pytest.mark.parametrize("end", [Side.close, Side.reset])
def test_connection_when_it_breaks_at_once_then_no_call_uses_it(
    end: Callable[[Side], None],
) -> None:
    async def scene() -> None:
        dials = Dials()
        async with Stand() as stand:
            caller = Caller(stand.where)
            dials.late(stand.where)
            caller.order(1)
            side = await stand.next()
            end(side)
            await side.gone()
            await turns()
            dials.let(stand.where)
            again = await stand.next()
            again.say(taken(await called(again, 1)))
            await until(lambda: caller.stood)
            caller.link.close()

    play(scene)


def test_attempt_when_established_after_close_then_no_connection_is_left() -> None:
    async def scene() -> None:
        dials = Dials()
        async with Stand() as stand:
            caller = Caller(stand.where)
            dials.early(stand.where)
            caller.order(1)
            await until(lambda: dials.count.get(stand.where))
            caller.link.close()
            dials.let(stand.where)
            await turns()
            assert caller.link.connection is None
            for side in stand.sides:
                await side.gone()

    play(scene)


def test_attempt_when_the_address_changes_then_it_is_not_waited_for() -> None:
    async def scene() -> None:
        dials = Dials()
        async with Stand() as old, Stand() as new:
            caller = Caller(old.where)
            dials.early(old.where)
            caller.order(1)
            await until(lambda: dials.count.get(old.where))
            caller.link.set_address(new.where)
            side = await new.next()
            side.say(taken(await called(side, 1)))
            await until(lambda: caller.stood)
            caller.link.close()

    play(scene)


def test_call_when_the_address_changes_then_it_ends_at_the_old_one() -> None:
    async def scene() -> None:
        async with Stand() as old, Stand() as new:
            caller = Caller(old.where)
            caller.order(1)
            side = await old.next()
            call_id = await called(side, 1)
            caller.link.set_address(new.where)
            caller.order(2)
            await turns()
            assert new.came.empty()
            side.say(taken(call_id))
            fresh = await new.next()
            fresh.say(taken(await called(fresh, 2)))
            await side.gone()
            await until(lambda: len(caller.stood) == 2)
            caller.link.close()

    play(scene)


def test_finish_when_a_call_is_in_flight_then_no_other_begins() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            caller = Caller(stand.where)
            caller.order(1)
            side = await stand.next()
            call_id = await called(side, 1)
            caller.order(2)
            caller.link.finish()
            caller.order(3)
            assert not caller.link.finished.is_set()
            side.say(taken(call_id))
            await caller.link.finished.wait()
            assert caller.stood == [api.SetWeight(1, A, 1.0)]
            caller.link.close()
            assert await side.reader.read() == b"", "not a byte after it"

    play(scene)


def test_finish_when_no_answer_comes_then_it_waits_for_the_timeout_only() -> None:
    async def scene() -> None:
        async with Stand() as stand:
            caller = Caller(stand.where, answer_timeout_ms=30.0)
            caller.order(1)
            await called(await stand.next(), 1)
            caller.link.finish()
            await caller.link.finished.wait()
            caller.link.close()

    play(scene)


class Story:
    """A slice, as the relay has it and as the module believes it, around one call. fate: of that call. carried: whether
    the relay carried it out; while the slice is elsewhere, its other steward moves it to C."""

    def __init__(self, fate: str, carried: bool) -> None:
        self.fate, self.carried = fate, carried
        self.stored, self.ours, self.believed = {A}, True, {A}
        self.calls = PendingCalls(["lookup"])
        self.order()

    def order(self) -> None:
        """To B alone, by what the module believes."""
        if self.ours:
            self.calls.add([api.SetWeight(1, B, 1.0), *(api.SetWeight(1, h, 0.0) for h in self.believed - {B})])
            self.believed = {B}

    def send(self, carried: bool) -> None:
        call = self.calls.next_call(0.0)
        for o in call.orders if call and carried and self.ours else []:
            assert isinstance(o, api.SetWeight)
            (self.stored.add if o.weight else self.stored.discard)(o.host)

    def end(self, fate: str) -> None:
        if not (call := self.calls.in_flight):
            return
        said = {"error": {"message": "Throttling"}} if fate == "throttled" else {"result": {"taken": len(call.orders)}}
        if fate == "unknown":
            self.calls.on_outcome_unknown(0.0)
        else:
            self.calls.on_answer(0.0, msgspec.json.encode({"id": call.id, **said}))
        self.calls.not_before_ms = 0.0

    def take_away(self) -> None:
        self.ours, self.stored = False, {C}
        self.calls.forget_slice(1)

    def give(self) -> None:
        self.ours, self.believed = True, set(self.stored)

    def go_on(self) -> None:
        self.end("answered")
        while self.calls.waiting:
            self.send(True)
            self.end("answered")


@pytest.mark.parametrize(
    ("fate", "carried"), [("answered", True), ("unknown", True), ("unknown", False), ("throttled", False)]
)
def test_slice_when_lost_and_given_back_then_tables_agree(fate: str, carried: bool) -> None:
    """All interleavings of the call's life and the slice's: in the end the table is what the module believes."""
    for places in combinations(range(5), 2):
        story = Story(fate, carried)
        call = [lambda s=story: s.send(carried), lambda s=story: s.end(fate), story.order]
        charge = [story.take_away, story.give]
        for place in range(5):
            (charge if place in places else call).pop(0)()
        story.go_on()
        assert story.stored == story.believed, places
