"""The fleet emulator: its loop and streams, reproducibility, killed and frozen machines, and the audit of its runs."""

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
from corallanding.lab.fleet.loop import SimLoop, run
from corallanding.lab.fleet.machine import Machine
from corallanding.lab.fleet.steward import InMemoryStore, StoreHandle
from corallanding.lab.publishers import PUBLISHERS
from corallanding.lab.scenario import Fault, load_scenario
from corallanding.store import StoreError, StoreLockedError

TESTS_PATH = Path(__file__).parent
HARD, SABOTAGE = load_scenario(TESTS_PATH / "hard.hcl"), load_scenario(TESTS_PATH / "sabotage.hcl")
BROKEN_RULE_INDEX = {"barer": 0, "doubler": 1, "clinger": 2, "pusher": 3}


class RecordingProtocol(asyncio.Protocol):
    """Logs its calls; data with the time in ms since the start of the run."""

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


def connected_pair(loop: SimLoop, server_log: list[Any], client_log: list[Any]) -> Any:
    async def connect() -> tuple[Any, Any]:
        protocols = list[RecordingProtocol]()

        def factory() -> RecordingProtocol:
            protocols.append(RecordingProtocol(server_log, loop))
            return protocols[-1]

        listener = loop.listen(factory, "127.0.0.1", 0)
        client_transport, _ = await loop.create_connection(
            lambda: RecordingProtocol(client_log, loop), "127.0.0.1", listener.address[1]
        )
        await asyncio.sleep(0)
        return client_transport, protocols[0]

    return connect()


def test_timers_of_one_due_time_run_in_the_order_of_scheduling() -> None:
    async def work(loop: SimLoop) -> list[int]:
        ran: list[int] = []
        for index in range(50):
            loop.call_at(1000.5, ran.append, index)
        for _ in range(2_000):
            loop.call_at(1000.4, ran.append, -1).cancel()  # enough cancelled timers for the heap to be rebuilt
        await asyncio.sleep(1.0)
        assert loop.now == pytest.approx(1001.0)
        return ran

    assert run(work) == list(range(50))


def test_run_fails_when_no_callback_is_scheduled() -> None:
    async def work(loop: SimLoop) -> None:
        await loop.create_future()

    with pytest.raises(RuntimeError, match="no callback is scheduled"):
        run(work)


def test_streams_keep_order_and_latency_and_close_as_tcp_does() -> None:
    async def exchange(loop: SimLoop) -> None:
        server_log: list[Any] = []
        client_log: list[Any] = []
        client, server = await connected_pair(loop, server_log, client_log)
        client.write(b"a")
        client.write(b"b")
        await asyncio.sleep(0.01)
        assert server_log == ["made", (3.0, b"a"), (3.0, b"b")]
        server.transport.pause_reading()
        client.write(b"x" * 300_000)
        assert client_log[-1] == "pause"
        assert client.get_write_buffer_size() > 0
        await asyncio.sleep(0.01)
        assert len(server_log) == 3, "nothing is delivered while reading is paused"
        server.transport.resume_reading()
        await asyncio.sleep(0.01)
        assert len(server_log[-1][1]) == 300_000
        assert client_log[-1] == "resume"
        assert client.get_write_buffer_size() == 0
        client.write(b"last")
        client.close()
        client.write(b"never")
        await asyncio.sleep(0.01)
        assert server_log[-2][1] == b"last"
        assert server_log[-1] == client_log[-1] == "closed"
        client, server = await connected_pair(loop, server_log, client_log)
        server.transport.abort()
        await asyncio.sleep(0.01)
        assert client_log[-1] == "ConnectionResetError"
        assert server_log[-1] == "closed"
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(lambda: RecordingProtocol(client_log, loop), "127.0.0.1", 7)

    run(exchange, latency_s=0.001)


def test_frozen_machine_continues_after_unfreezing_and_killed_one_stays_stopped() -> None:
    async def work(loop: SimLoop) -> None:
        ticks: list[float] = []
        server_log: list[Any] = []
        client_log: list[Any] = []

        async def tick_forever() -> None:
            loop.listen(lambda: RecordingProtocol(server_log, loop), "127.0.0.1", 9)
            while True:
                await asyncio.sleep(0.1)
                ticks.append(round(loop.now - 1000.0, 3))

        machine = Machine()
        machine.start(loop, tick_forever())
        await asyncio.sleep(0.25)
        client, _ = await loop.create_connection(lambda: RecordingProtocol(client_log, loop), "127.0.0.1", 9)
        machine.freeze(True)
        client.write(b"sent while frozen")
        await asyncio.sleep(1.0)
        assert len(ticks) == 2 and server_log == [], "the connection is open, but not yet accepted"
        machine.freeze(False)
        await asyncio.sleep(0.15)
        assert len(ticks) == 4
        assert ticks[2] > 1.2
        assert server_log[1][1] == b"sent while frozen"
        machine.kill()
        await asyncio.sleep(1.0)
        assert len(ticks) == 4
        assert client_log[-1] == "ConnectionResetError"
        assert len(server_log) == 2
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(lambda: RecordingProtocol(client_log, loop), "127.0.0.1", 9)

    run(work, latency_s=0.001)


def test_memory_store_outlives_its_process_and_fences_earlier_handles() -> None:
    store = InMemoryStore()
    first = StoreHandle(store)
    assert first.open().start_number == 1
    first.write(7, [(0, 5, 1.0), (1, 5, 1.0), (1, 6, 0.5)])
    first.write(8, [(1, 5, 0.0)], [0])
    second = StoreHandle(store)
    contents = second.open()
    assert (contents.start_number, contents.message_number, contents.tables) == (2, 8, {1: {6: 0.5}})
    with pytest.raises(StoreLockedError):
        first.write(9, [(0, 1, 1.0)])
    store.is_down = True
    with pytest.raises(StoreError):
        second.write(1, [])


@pytest.mark.parametrize("file", [TESTS_PATH / "hard.hcl", TESTS_PATH.parent / "examples" / "three-stewards.hcl"])
def test_same_seed_gives_same_bytes_in_any_process(file: Path) -> None:
    code = (
        "import hashlib; from corallanding.lab.fleet.emulate import emulate;"
        "from corallanding.lab.scenario import load_scenario;"
        f"e = emulate(load_scenario({str(file)!r}), 3);"
        "print(hashlib.sha256(repr((e.result, e.records, e.polls, e.events)).encode()).hexdigest())"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hash_seed in ("1", "2")
    }
    emulation = emulate(load_scenario(file), 3)
    assert [r["kept"] for r in emulation.result["rules"]] == [True] * 5, emulation.result
    assert outputs == {
        hashlib.sha256(
            repr((emulation.result, emulation.records, emulation.polls, emulation.events)).encode()
        ).hexdigest()
        + "\n"
    }
    assert emulate(load_scenario(file), 4).records != emulation.records


def test_hard_scenario_keeps_the_rules_and_its_recordings_replay(tmp_path: Path) -> None:
    emulation = emulate(HARD, 1, record=str(tmp_path / "steward"))
    assert [r["kept"] for r in emulation.result["rules"]] == [True] * 5, emulation.result
    assert emulation.result["lives"] == 2
    assert emulation.result["lines_lost"] == 0
    assert emulation.result["doubles"] == 0
    for incarnation in (1, 2):
        replay = CliRunner().invoke(app, ["replay", str(tmp_path / f"steward-{incarnation}.rec")])
        assert replay.exit_code == 0 and "no difference" in replay.output, replay.output


@pytest.mark.parametrize("name", BROKEN_RULE_INDEX)
def test_audit_detects_each_saboteur_in_the_emulator(name: str) -> None:
    emulation = emulate(SABOTAGE, 1, decider=PUBLISHERS[name])
    assert emulation.result["rules"][BROKEN_RULE_INDEX[name]]["kept"] is False, emulation.result
    assert emulate(SABOTAGE, 1).result["rules"][BROKEN_RULE_INDEX[name]]["kept"] is True


def test_slices_are_owned_again_after_a_registry_outage_and_a_controller_crash() -> None:
    """Three controllers share slices through the local registry. It is unreachable for longer than a lease, and one
    controller is killed during that time: each of its slices then gets one new owner.
    """
    scenario = load_scenario(TESTS_PATH.parent / "examples" / "three-stewards.hcl")
    faults = [Fault(kind="roster_down", at_s=3, for_s=3), Fault(kind="steward_kill", at_s=4, for_s=4, on=[1])]
    emulation = emulate(scenario.model_copy(update={"fault": faults, "seconds": 16.0}), 1)
    assert [r["kept"] for r in emulation.result["rules"]] == [True] * 5, emulation.result
    assert emulation.result["lives"] == 4
    assert emulation.result["lines_lost"] == 0
    assert emulation.result["doubles"] == 0


def test_faulty_load_reports_are_rejected_and_counted_by_cause() -> None:
    """tests/reports.hcl has a flood, forged reports, a sender an hour behind, skewed clocks, lost datagrams, and a
    controller that is killed during the flood.
    """
    scenario = load_scenario(TESTS_PATH / "reports.hcl")
    emulation = emulate(scenario, 1)
    assert [r["kept"] for r in emulation.result["rules"]] == [True] * 5
    assert emulation.result["lives"] == 2
    counts = emulation.result["load_reports"]
    assert all(counts[cause] > 0 for cause in ("counted", "forged", "unknown", "doubtful", "loud")), counts
    assert emulate(scenario, 1).records == emulation.records


@pytest.mark.parametrize("down_s", [0.3, 4.0, 9.0])
def test_load_report_faults_last_until_a_restarted_controller_has_counted_them(down_s: float) -> None:
    """The controller restarts during the flood, after its planned end, and after that of the run; the last incarnation
    counts reports of every cause.
    """
    scenario = load_scenario(TESTS_PATH / "reports.hcl")
    faults = [
        fault.model_copy(update={"for_s": down_s}) if fault.kind == "steward_kill" else fault
        for fault in scenario.fault
    ]
    emulation = emulate(scenario.model_copy(update={"fault": faults}), 1)
    counts = emulation.result["load_reports"]
    assert emulation.result["lives"] == 2
    assert all(counts[cause] > 0 for cause in ("counted", "forged", "unknown", "doubtful")), counts


def test_unsupported_fault_is_rejected_by_name() -> None:
    with pytest.raises(NotEmulatedError, match="upgrade"):
        emulate(HARD.model_copy(update={"fault": [Fault(kind="upgrade", at_s=1)]}), 1)


def test_uniform_draws_depend_only_on_their_key() -> None:
    draws = [uniform(1, k, 0, 2) for k in range(20_000)]
    assert abs(sum(draws) / len(draws) - 0.5) < 0.01
    assert len(set(draws)) == len(draws)
    assert sum(a < 0.5 and b < 0.5 for a, b in itertools.pairwise(draws)) / len(draws) == pytest.approx(0.25, abs=0.01)
    assert uniform(1, 2) != uniform(2, 1)
    assert uniform(3) == uniform(3)
    weights = [(7, 1.0), (8, 3.0)]
    assert [at(weights, x) for x in (0.0, 0.24, 0.26, 0.999999)] == [7, 7, 8, 8]
