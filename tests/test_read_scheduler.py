"""Reads of many connections are divided: none holds up the others, and nothing is lost or kept for a closed one."""

from __future__ import annotations

import asyncio
from typing import Any

from corallanding.read_scheduler import (
    MAX_TURN_MS,
    READ_BYTES,
    ReadScheduler,
    ScheduledConnection,
)

COST_MS = 2.0  # of one piece of data
FAILING = b"failing"
LONG_COST_MS = 3 * MAX_TURN_MS


class FakeClock:
    """A clock that only the processing of data advances."""

    def __init__(self) -> None:
        self.now_ms = 0.0

    def __call__(self) -> float:
        return self.now_ms


class FakeTransport:
    """The state of a transport: whether it reads, and whether it is closing."""

    def __init__(self) -> None:
        self.is_reading = True
        self.closing = False

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.closing = True


class RecordingConnection(ScheduledConnection):
    """A connection whose data costs time; `processed` is shared by all connections of a test."""

    def __init__(self, scheduler: ReadScheduler, clock: FakeClock, name: str, processed: list[str]) -> None:
        super().__init__(scheduler)
        self.clock = clock
        self.name = name
        self.processed = processed
        self.cost_ms = COST_MS
        self.is_known = False
        self.fake_transport = FakeTransport()
        fake: Any = self.fake_transport
        self.connection_made(fake)

    @property
    def is_identified(self) -> bool:
        return self.is_known

    def on_data(self, data: bytes) -> None:
        self.clock.now_ms += self.cost_ms
        if data == FAILING:
            raise ValueError(data)
        self.processed.append(f"{self.name}:{data.decode()}")

    def receive(self, text: str) -> None:
        """Let the transport read these bytes."""
        data = text.encode()
        buffer = self.get_buffer(-1)
        buffer[: len(data)] = data
        self.buffer_updated(len(data))


class Harness:
    """A scheduler on the loop of the test, and its connections by name."""

    def __init__(self, names: str) -> None:
        self.clock = FakeClock()
        self.scheduler = ReadScheduler(self.clock)
        self.processed: list[str] = []
        self.connections = {
            name: RecordingConnection(self.scheduler, self.clock, name, self.processed) for name in names
        }

    def receive(self, name: str, text: str) -> None:
        self.connections[name].receive(text)

    def is_reading(self, name: str) -> bool:
        return self.connections[name].fake_transport.is_reading


async def pass_time() -> None:
    """Let scheduled turns run; pauses are in real time, and a few ms long."""
    await asyncio.sleep(0.2)


def test_data_when_there_is_time_then_it_is_processed_at_once() -> None:
    async def scenario() -> None:
        harness = Harness("ab")
        harness.receive("a", "1")
        harness.receive("b", "1")
        assert harness.processed == ["a:1", "b:1"]
        assert harness.is_reading("a")
        assert harness.scheduler.wait_count == 0

    asyncio.run(scenario())


def test_data_when_the_time_of_an_iteration_is_used_up_then_it_waits_with_reading_paused() -> None:
    """Guards against one connection whose data is all processed before any other is read."""

    async def scenario() -> None:
        harness = Harness("ab")
        for number in range(3):
            harness.receive("a", str(number))
        harness.receive("a", "3")
        harness.receive("b", "0")
        assert harness.processed == ["a:0", "a:1", "a:2"]
        assert not harness.is_reading("a")
        assert not harness.is_reading("b")
        await pass_time()
        assert harness.processed[3:] == ["a:3", "b:0"]
        assert harness.is_reading("a")
        assert harness.is_reading("b")

    asyncio.run(scenario())


def test_turns_when_unidentified_peers_flood_then_identified_ones_are_served_first_in_each() -> None:
    """Guards against hundreds of strangers that hold up a peer which has identified itself."""

    async def scenario() -> None:
        harness = Harness("sabcdefgh")
        harness.connections["s"].cost_ms = LONG_COST_MS
        harness.connections["h"].is_known = True
        harness.receive("s", "0")  # uses up the time
        for name in "abcdefgh":
            harness.receive(name, "0")
        await pass_time()
        assert harness.processed[:2] == ["s:0", "h:0"]
        assert sorted(harness.processed) == sorted(f"{name}:0" for name in "sabcdefgh")

    asyncio.run(scenario())


def test_connection_when_it_closes_while_its_data_waits_then_the_data_is_dropped() -> None:
    """Guards against requests of a client that has left, which are processed afterwards."""

    async def scenario() -> None:
        harness = Harness("sa")
        harness.connections["s"].cost_ms = LONG_COST_MS
        harness.receive("s", "0")
        harness.receive("a", "0")
        harness.connections["a"].fake_transport.closing = True
        await pass_time()
        assert harness.processed == ["s:0"]

    asyncio.run(scenario())


def test_reading_when_suspended_then_what_was_received_is_processed_and_nothing_resumes_it() -> None:
    """Guards against a handover that loses data which was read, or reads on after its state was taken."""

    async def scenario() -> None:
        harness = Harness("sa")
        harness.connections["s"].cost_ms = LONG_COST_MS
        harness.receive("s", "0")
        harness.receive("a", "0")
        harness.connections["a"].suspend_reading()
        assert harness.processed == ["s:0", "a:0"]
        await pass_time()
        assert not harness.is_reading("a")
        harness.connections["a"].resume_reading()
        assert harness.is_reading("a")

    asyncio.run(scenario())


def test_data_when_processing_it_fails_then_only_its_connection_ends() -> None:
    """Guards against an error in one connection's data after which no other connection is served."""

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: None)
        harness = Harness("sabc")
        harness.connections["s"].cost_ms = LONG_COST_MS
        harness.receive("s", "0")
        harness.receive("a", FAILING.decode())
        harness.receive("b", "0")
        harness.receive("c", "0")
        await pass_time()
        assert harness.processed == ["s:0", "b:0", "c:0"]
        assert harness.connections["a"].fake_transport.closing
        harness.receive("b", "1")
        assert harness.processed[-1] == "b:1"

    asyncio.run(scenario())


def test_buffer_when_one_read_is_larger_then_it_is_split_by_the_transport() -> None:
    async def scenario() -> None:
        harness = Harness("a")
        assert len(harness.connections["a"].get_buffer(1 << 20)) == READ_BYTES

    asyncio.run(scenario())
