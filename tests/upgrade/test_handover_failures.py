"""A handover that fails at any point leaves exactly one process that controls."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from sockets import CONFIG, until

from corallanding.store import SqliteStore
from corallanding.upgrade.state_machine import HandoverCommand
from tests.upgrade.support import Scene, play

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("whose", ["new", "both"])
def test_handover_when_the_disk_is_full_then_one_process_controls(tmp_path: Path, whose: str) -> None:
    """Limits on file sizes stand for the disk: every write of that process fails, its log's too. The new one cannot
    open the store; the old one may not be able to open it again, and goes on without."""

    async def scene() -> None:
        async with Scene(tmp_path, more="record {\n}\n") as running:
            command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(running.path)]
            if whose == "new":
                answer = await running.upgrade("sh", "-c", 'ulimit -f 0; exec "$@"', "sh", *command)
            else:
                limits = resource.prlimit(running.process.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(running.process.pid, resource.RLIMIT_FSIZE, (0, limits[1]))
                answer = await running.upgrade()
            assert answer.startswith("failed: "), answer
            assert "s.db" in answer, answer
            await running.drains(1)
            assert running.running() == 1
            assert await running.is_healthy() == (whose == "new")
            if whose == "both":
                assert (await running.upgrade()).startswith("failed: ")
                await running.drains(2)
                assert running.running() == 1
                resource.prlimit(running.process.pid, resource.RLIMIT_FSIZE, limits)
                await until(lambda: running.entries("the store is open again"), 5)
                assert running.entries("log lines lost")[0]["lost"] > 0
                await running.drains(3)
                assert await running.is_healthy()
            assert (await running.upgrade()).startswith("ok: handed over")
            await running.drains(4)
            await until(lambda: running.running() == 1)
            # What the store holds in the end is what forwarders hold.
            os.killpg(running.process.pid, signal.SIGKILL)
            store = SqliteStore(tmp_path / "s.db")
            await asyncio.sleep(0.1)
            tables = store.open().tables
            store.close()
            assert {t: set(rows) for t, rows in tables.items()} == running.forwarders[0].tables

    play(scene())


TEST_POINTS = [
    "old before pause",
    "old before send state",
    "old before close store",
    "old before send commit",
    "old before exit",
    "new before send ready",
    "new before load",
    "new before send checked",
    "new before open store",
    "new before run",
    "new before send taken",
]


def test_handover_when_a_process_dies_or_stands_still_at_any_step_then_one_controls(tmp_path: Path) -> None:
    """The kill-point table of docs/upgrade.md: every step, both sides, killed and stopped, side by side."""
    rows: dict[str, str] = {}

    async def one(halt: str, gate: asyncio.Semaphore) -> None:
        folder = tmp_path / halt.replace(":", "-").replace(" ", "-")
        folder.mkdir()
        async with gate, Scene(folder, halt) as running:
            answer = await running.upgrade()
            await running.drains(1)
            await running.drains(2)
            await until(lambda: running.running() == 1, 8.0)
            links = max(f.links for f in running.forwarders)
            rows[halt] = f"{answer.split(':')[0] or 'cut off'}; links joined anew: {links - 1}"

    async def all_of_them() -> None:
        gate = asyncio.Semaphore(6)
        await asyncio.gather(*(one(f"{how}:{point}", gate) for how in ("kill", "stop") for point in TEST_POINTS))

    play(all_of_them())
    assert len(rows) == 2 * len(TEST_POINTS)
    for halt, what in sorted(rows.items()):
        print(f"| {halt} | {what} |")
    # A new process that dies or stands still before it was told to speak costs nothing at all.
    quiet = [p for p in TEST_POINTS if p.startswith("new") and p not in ("new before run", "new before send taken")]
    assert all(rows[f"{how}:{p}"] == "failed; links joined anew: 0" for how in ("kill", "stop") for p in quiet)
    assert {p.split(" before ")[1] for p in TEST_POINTS} <= {d.value for d in HandoverCommand}


def test_control_path_when_it_is_a_file_then_refused_and_the_file_is_kept(tmp_path: Path) -> None:
    (tmp_path / "c").write_text("precious")
    text = (CONFIG % (tmp_path / "s.db")).replace("steward {\n", f'steward {{\n  control = "{tmp_path}/c"\n')
    (tmp_path / "s.hcl").write_text(text)
    command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(tmp_path / "s.hcl")]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 5
    assert "is no socket" in done.stdout + done.stderr
    assert (tmp_path / "c").read_text() == "precious"


def test_upgrade_when_there_is_no_control_socket_then_says_so(tmp_path: Path) -> None:
    (tmp_path / "s.hcl").write_text(CONFIG % (tmp_path / "s.db"))
    command = [sys.executable, "-m", "corallanding.cli.main", "upgrade", "--config", str(tmp_path / "s.hcl")]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    assert "steward.control is not set" in done.stderr


@pytest.mark.parametrize("fault", ["configuration", "program", "settings"])
def test_handover_when_the_new_process_cannot_start_then_the_old_one_goes_on(tmp_path: Path, fault: str) -> None:
    async def scene() -> None:
        async with Scene(tmp_path) as running:
            good = running.path.read_text()
            if fault == "configuration":
                running.path.write_text(good + "nonsense {\n}\n")
                answer = await running.upgrade()
            elif fault == "program":
                answer = await running.upgrade(sys.executable, "-c", "import sys; sys.exit(9)")
            else:
                # Not a fault: other settings share no state. The listeners go over, forwarders join anew.
                running.path.write_text(good.replace("every_ms", "every_ms") + "reports {\n  every_ms = 700\n}\n")
                answer = await running.upgrade()
            if fault == "settings":
                assert answer.startswith("ok: handed over")
                assert running.entries("state not used; proxies will join again")
                await until(lambda: all(f.links == 2 for f in running.forwarders))
            else:
                assert answer.startswith("failed: the new process ended")
                assert [f.links for f in running.forwarders] == [1, 1]
            await running.drains(1)
            running.path.write_text(good)
            if fault != "settings":
                assert (await running.upgrade()).startswith("ok: handed over")
                await running.drains(2)
                assert [f.links for f in running.forwarders] == [1, 1]

    play(scene())
