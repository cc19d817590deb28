"""Events between two steps of the call connection: connection attempts, address changes, losses and shutdown.

Guards against calls on a dead connection, connections that are never closed, and calls sent after the shutdown began.
Each order of events is forced.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

import msgspec
import pytest
from forced_order import ConnectionAttempts, PeerConnection, StandInServer, run_async, until, yield_to_loop

from corallanding import interface as api
from corallanding.relay.pending_calls import PendingCalls
from tests.relay.support import A, B, C, RecordingCaller, receive_call, taken


@pytest.mark.parametrize("end", [PeerConnection.close, PeerConnection.reset])
def test_connection_when_it_breaks_at_once_then_no_call_uses_it(
    end: Callable[[PeerConnection], None],
) -> None:
    async def scenario() -> None:
        attempts = ConnectionAttempts()
        async with StandInServer() as server:
            caller = RecordingCaller(server.address)
            attempts.hold_after_connect(server.address)
            caller.send_order(1)
            peer = await server.next_connection()
            end(peer)
            await peer.wait_closed()
            await yield_to_loop()
            attempts.release(server.address)
            next_peer = await server.next_connection()
            next_peer.send(taken(await receive_call(next_peer, 1)))
            await until(lambda: caller.confirmed)
            caller.client.close()

    run_async(scenario)


def test_attempt_when_established_after_close_then_no_connection_is_left() -> None:
    async def scenario() -> None:
        attempts = ConnectionAttempts()
        async with StandInServer() as server:
            caller = RecordingCaller(server.address)
            attempts.hold_before_connect(server.address)
            caller.send_order(1)
            await until(lambda: attempts.started.get(server.address))
            caller.client.close()
            attempts.release(server.address)
            await yield_to_loop()
            assert caller.client.connection is None
            for peer in server.connections:
                await peer.wait_closed()

    run_async(scenario)


def test_attempt_when_the_address_changes_then_the_new_address_is_used_at_once() -> None:
    async def scenario() -> None:
        attempts = ConnectionAttempts()
        async with StandInServer() as old, StandInServer() as new:
            caller = RecordingCaller(old.address)
            attempts.hold_before_connect(old.address)
            caller.send_order(1)
            await until(lambda: attempts.started.get(old.address))
            caller.client.set_address(new.address)
            peer = await new.next_connection()
            peer.send(taken(await receive_call(peer, 1)))
            await until(lambda: caller.confirmed)
            caller.client.close()

    run_async(scenario)


def test_call_when_the_address_changes_then_it_ends_at_the_old_one() -> None:
    async def scenario() -> None:
        async with StandInServer() as old, StandInServer() as new:
            caller = RecordingCaller(old.address)
            caller.send_order(1)
            peer = await old.next_connection()
            call_id = await receive_call(peer, 1)
            caller.client.set_address(new.address)
            caller.send_order(2)
            await yield_to_loop()
            assert new.accepted.empty()
            peer.send(taken(call_id))
            new_peer = await new.next_connection()
            new_peer.send(taken(await receive_call(new_peer, 2)))
            await peer.wait_closed()
            await until(lambda: len(caller.confirmed) == 2)
            caller.client.close()

    run_async(scenario)


def test_finish_when_a_call_is_in_flight_then_no_other_begins() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            caller = RecordingCaller(server.address)
            caller.send_order(1)
            peer = await server.next_connection()
            call_id = await receive_call(peer, 1)
            caller.send_order(2)
            caller.client.finish()
            caller.send_order(3)
            assert not caller.client.finished.is_set()
            peer.send(taken(call_id))
            await caller.client.finished.wait()
            assert caller.confirmed == [api.SetWeight(1, A, 1.0)]
            caller.client.close()
            assert await peer.reader.read() == b"", "no data is sent after the last call"

    run_async(scenario)


def test_finish_when_no_answer_arrives_then_it_ends_at_the_answer_timeout() -> None:
    async def scenario() -> None:
        async with StandInServer() as server:
            caller = RecordingCaller(server.address, answer_timeout_ms=30.0)
            caller.send_order(1)
            await receive_call(await server.next_connection(), 1)
            caller.client.finish()
            await caller.client.finished.wait()
            caller.client.close()

    run_async(scenario)


class SliceScenario:
    """One slice around one call: its table as the relay stores it, and as the assigner assumes it.

    outcome: outcome of that call for the controller. is_executed: whether the relay carried the call out. While another
    controller owns the slice, that one moves it to host C.
    """

    def __init__(self, outcome: str, is_executed: bool) -> None:
        self.outcome, self.is_executed = outcome, is_executed
        self.stored, self.is_owned, self.assumed = {A}, True, {A}
        self.calls = PendingCalls(["lookup"])
        self.add_orders()

    def add_orders(self) -> None:
        """Order the move of the slice to host B alone, from the assumed table."""
        if self.is_owned:
            self.calls.add([api.SetWeight(1, B, 1.0), *(api.SetWeight(1, host, 0.0) for host in self.assumed - {B})])
            self.assumed = {B}

    def send(self, is_executed: bool) -> None:
        call = self.calls.next_call(0.0)
        for order in call.orders if call and is_executed and self.is_owned else []:
            assert isinstance(order, api.SetWeight)
            (self.stored.add if order.weight else self.stored.discard)(order.host)

    def end_call(self, outcome: str) -> None:
        if not (call := self.calls.in_flight):
            return
        answer = (
            {"error": {"message": "Throttling"}} if outcome == "throttled" else {"result": {"taken": len(call.orders)}}
        )
        if outcome == "unknown":
            self.calls.on_outcome_unknown(0.0)
        else:
            self.calls.on_answer(0.0, msgspec.json.encode({"id": call.id, **answer}))
        self.calls.not_before_ms = 0.0

    def revoke_slice(self) -> None:
        self.is_owned, self.stored = False, {C}
        self.calls.forget_slice(1)

    def assign_slice(self) -> None:
        self.is_owned, self.assumed = True, set(self.stored)

    def finish(self) -> None:
        """Send all orders that wait, each call answered."""
        self.end_call("answered")
        while self.calls.waiting:
            self.send(True)
            self.end_call("answered")


@pytest.mark.parametrize(
    ("outcome", "is_executed"), [("answered", True), ("unknown", True), ("unknown", False), ("throttled", False)]
)
def test_slice_when_lost_and_assigned_again_then_tables_agree(outcome: str, is_executed: bool) -> None:
    """In all interleavings of call and ownership changes, the stored table is finally the assumed one."""
    for positions in combinations(range(5), 2):
        scenario = SliceScenario(outcome, is_executed)
        call_steps = [
            lambda s=scenario: s.send(is_executed),
            lambda s=scenario: s.end_call(outcome),
            scenario.add_orders,
        ]
        ownership_steps = [scenario.revoke_slice, scenario.assign_slice]
        for position in range(5):
            (ownership_steps if position in positions else call_steps).pop(0)()
        scenario.finish()
        assert scenario.stored == scenario.assumed, positions
