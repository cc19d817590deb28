"""The emulator: its loop and streams, the same bytes for the same seed, the daemon killed and frozen, the audit's
verdict on days that are simulated."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from corallanding.cli.main import app
from corallanding.lab.chance import at, uniform
from corallanding.lab.fleet.emulate import NotEmulatedError, emulate
from corallanding.lab.fleet.loop import Machine, SimLoop, run
from corallanding.lab.fleet.steward import StoreHandle, InMemoryStore
from corallanding.lab.publishers import PUBLISHERS
from corallanding.lab.scenario import Fault, load_scenario
from corallanding.store import StoreError, StoreLockedError

HERE = Path(__file__).parent
HARD, SABOTAGE = load_scenario(HERE / "hard.hcl"), load_scenario(HERE / "sabotage.hcl")
BREAKS = {"barer": 0, "doubler": 1, "clinger": 2, "pusher": 3}


class Ear(asyncio.Protocol):
    def __init__(self, log: list[Any], loop: SimLoop) -> None:
        self.log, self.loop = log, loop

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.log.append("made")

    def data_received(self, data: bytes) -> None:
        self.log.append((round((self.loop.now - 1000.0) * 1000.0, 3), data))

    def pause_writing(self) -> None:
        self.log.append("pause")

    def resume_writing(self) -> None:
        self.log.append("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.log.append(type(exc).__name__ if exc else "closed")


def pair(loop: SimLoop, server: list[Any], client: list[Any]) -> Any:
    async def connect() -> tuple[Any, Any]:
        ears = list[Ear]()

        def factory() -> Ear:
            ears.append(Ear(server, loop))
            return ears[-1]

        listening = loop.listen(factory, "127.0.0.1", 0)
        transport, _ = await loop.create_connection(lambda: Ear(client, loop), "127.0.0.1", listening.address[1])
        await asyncio.sleep(0)
        return transport, ears[0]

    return connect()


def test_what_falls_due_together_runs_in_the_order_it_was_asked_for() -> None:
    async def work(loop: SimLoop) -> list[int]:
        ran: list[int] = []
        for k in range(50):
            loop.call_at(1000.5, ran.append, k)
        for _ in range(2_000):
            loop.call_at(1000.4, ran.append, -1).cancel()  # swept in between
        await asyncio.sleep(1.0)
        assert loop.now == pytest.approx(1001.0)
        return ran

    assert run(work) == list(range(50))


def test_a_loop_with_nothing_left_says_so() -> None:
    async def work(loop: SimLoop) -> None:
        await loop.create_future()

    with pytest.raises(RuntimeError, match="no callback is scheduled"):
        run(work)


def test_streams_keep_their_order_take_their_time_and_end_as_tcp_does() -> None:
    async def work(loop: SimLoop) -> None:
        far: list[Any] = []
        near: list[Any] = []
        one, other = await pair(loop, far, near)
        one.write(b"a")
        one.write(b"b")
        await asyncio.sleep(0.01)
        assert far == ["made", (3.0, b"a"), (3.0, b"b")]
        other.transport.pause_reading()
        one.write(b"x" * 300_000)
        assert near[-1] == "pause"
        assert one.get_write_buffer_size() > 0
        await asyncio.sleep(0.01)
        assert len(far) == 3, "nothing is read meanwhile"
        other.transport.resume_reading()
        await asyncio.sleep(0.01)
        assert len(far[-1][1]) == 300_000
        assert near[-1] == "resume"
        assert one.get_write_buffer_size() == 0
        one.write(b"last")
        one.close()
        one.write(b"never")
        await asyncio.sleep(0.01)
        assert far[-2][1] == b"last"
        assert far[-1] == near[-1] == "closed"
        one, other = await pair(loop, far, near)
        other.transport.abort()
        await asyncio.sleep(0.01)
        assert near[-1] == "ConnectionResetError"
        assert far[-1] == "closed"
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(lambda: Ear(near, loop), "127.0.0.1", 7)

    run(work, latency=0.001)


def test_a_machine_that_is_frozen_goes_on_later_and_a_dead_one_never() -> None:
    async def work(loop: SimLoop) -> None:
        ticks: list[float] = []
        far: list[Any] = []
        near: list[Any] = []

        async def life() -> None:
            loop.listen(lambda: Ear(far, loop), "127.0.0.1", 9)
            while True:
                await asyncio.sleep(0.1)
                ticks.append(round(loop.now - 1000.0, 3))

        machine = Machine()
        machine.start(loop, life())
        await asyncio.sleep(0.25)
        one, _ = await loop.create_connection(lambda: Ear(near, loop), "127.0.0.1", 9)
        machine.freeze(True)
        one.write(b"while it stands still")
        await asyncio.sleep(1.0)
        assert len(ticks) == 2 and far == [], "the connection stands, nobody has taken it"
        machine.freeze(False)
        await asyncio.sleep(0.15)
        assert len(ticks) == 4
        assert ticks[2] > 1.2
        assert far[1][1] == b"while it stands still"
        machine.kill()
        await asyncio.sleep(1.0)
        assert len(ticks) == 4
        assert near[-1] == "ConnectionResetError"
        assert len(far) == 2
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(lambda: Ear(near, loop), "127.0.0.1", 9)

    run(work, latency=0.001)


def test_the_store_in_memory_outlives_its_process_and_fences_it() -> None:
    memory = InMemoryStore()
    first = StoreHandle(memory)
    assert first.open().start_number == 1
    first.write(7, [(0, 5, 1.0), (1, 5, 1.0), (1, 6, 0.5)])
    first.write(8, [(1, 5, 0.0)], [0])
    second = StoreHandle(memory)
    contents = second.open()
    assert (contents.start_number, contents.message_number, contents.tables) == (2, 8, {1: {6: 0.5}})
    with pytest.raises(StoreLockedError):
        first.write(9, [(0, 1, 1.0)])
    memory.is_down = True
    with pytest.raises(StoreError):
        second.write(1, [])


@pytest.mark.parametrize("file", [HERE / "hard.hcl", HERE.parent / "examples" / "three-stewards.hcl"])
def test_the_same_seed_gives_the_same_bytes_in_any_process(file: Path) -> None:
    code = (
        "import hashlib; from corallanding.lab.fleet.emulate import emulate;"
        "from corallanding.lab.scenario import load_scenario;"
        f"e = emulate(load_scenario({str(file)!r}), 3);"
        "print(hashlib.sha256(repr((e.result, e.records, e.polls, e.events)).encode()).hexdigest())"
    )
    said = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": n},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for n in ("1", "2")
    }
    e = emulate(load_scenario(file), 3)
    assert [r["kept"] for r in e.result["rules"]] == [True] * 5, e.result
    assert said == {hashlib.sha256(repr((e.result, e.records, e.polls, e.events)).encode()).hexdigest() + "\n"}
    assert emulate(load_scenario(file), 4).records != e.records


def test_a_hard_day_keeps_the_rules_and_its_recordings_replay(tmp_path: Path) -> None:
    e = emulate(HARD, 1, record=str(tmp_path / "steward"))
    assert [r["kept"] for r in e.result["rules"]] == [True] * 5, e.result
    assert e.result["lives"] == 2
    assert e.result["lines_lost"] == 0
    assert e.result["doubles"] == 0
    for life in (1, 2):
        told = CliRunner().invoke(app, ["replay", str(tmp_path / f"steward-{life}.rec")])
        assert told.exit_code == 0 and "no difference" in told.output, told.output


@pytest.mark.parametrize("name", BREAKS)
def test_the_audit_catches_each_saboteur_here_too(name: str) -> None:
    e = emulate(SABOTAGE, 1, decider=PUBLISHERS[name])
    assert e.result["rules"][BREAKS[name]]["kept"] is False, e.result
    assert emulate(SABOTAGE, 1).result["rules"][BREAKS[name]]["kept"] is True


def test_a_registry_that_breaks_is_met_as_on_sockets() -> None:
    """Three stewards share slices through the stand-in's own handlers; the registry is away for longer than a lease,
    and one steward dies meanwhile: its slices are spoken for again, by one."""
    day = load_scenario(HERE.parent / "examples" / "three-stewards.hcl")
    faults = [Fault(kind="roster_down", at_s=3, for_s=3), Fault(kind="steward_kill", at_s=4, for_s=4, on=[1])]
    e = emulate(day.model_copy(update={"fault": faults, "seconds": 16.0}), 1)
    assert [r["kept"] for r in e.result["rules"]] == [True] * 5, e.result
    assert e.result["lives"] == 4
    assert e.result["lines_lost"] == 0
    assert e.result["doubles"] == 0


def test_load_reports_in_trouble_are_emulated_with_their_intake() -> None:
    """tests/reports.hcl: a flood, a liar, an hour-old sender, skewed clocks, losses, kill -9 in mid-flood."""
    day = load_scenario(HERE / "reports.hcl")
    e = emulate(day, 1)
    assert [r["kept"] for r in e.result["rules"]] == [True] * 5
    assert e.result["lives"] == 2
    counts = e.result["load_reports"]
    assert all(counts[end] > 0 for end in ("counted", "forged", "unknown", "doubtful", "loud")), counts
    assert emulate(day, 1).records == e.records


@pytest.mark.parametrize("down_s", [0.3, 4.0, 9.0])
def test_faults_of_load_reports_last_until_a_steward_that_is_back_late_has_counted_them(down_s: float) -> None:
    """The steward is back in mid-flood, after the flood's own time, and after the run's: its last life counts all."""
    day = load_scenario(HERE / "reports.hcl")
    faults = [f.model_copy(update={"for_s": down_s}) if f.kind == "steward_kill" else f for f in day.fault]
    e = emulate(day.model_copy(update={"fault": faults}), 1)
    counts = e.result["load_reports"]
    assert e.result["lives"] == 2
    assert all(counts[end] > 0 for end in ("counted", "forged", "unknown", "doubtful")), counts


def test_what_is_not_emulated_is_refused_by_name() -> None:
    with pytest.raises(NotEmulatedError, match="upgrade"):
        emulate(HARD.model_copy(update={"fault": [Fault(kind="upgrade", at_s=1)]}), 1)


def test_chance_goes_by_its_key() -> None:
    draws = [uniform(1, k, 0, 2) for k in range(20_000)]
    assert abs(sum(draws) / len(draws) - 0.5) < 0.01
    assert len(set(draws)) == len(draws)
    assert sum(a < 0.5 and b < 0.5 for a, b in itertools.pairwise(draws)) / len(draws) == pytest.approx(0.25, abs=0.01)
    assert uniform(1, 2) != uniform(2, 1)
    assert uniform(3) == uniform(3)
    lines = [(7, 1.0), (8, 3.0)]
    assert [at(lines, x) for x in (0.0, 0.24, 0.26, 0.999999)] == [7, 7, 8, 8]
