"""Tests that exactly one process is the active controller after a handover that fails at any point."""

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
from tests.upgrade.support import ControllerEnvironment, run_scenario

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("affected", ["new", "both"])
def test_handover_when_the_disk_is_full_then_one_process_is_active(tmp_path: Path, affected: str) -> None:
    """A file size limit simulates the full disk: every write of the process fails, including those to its log.

    The new process cannot open the store. The old one may be unable to reopen it, and continues without a store.
    """

    async def scenario() -> None:
        async with ControllerEnvironment(tmp_path, extra_config="record {\n}\n") as environment:
            command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(environment.path)]
            if affected == "new":
                answer = await environment.upgrade("sh", "-c", 'ulimit -f 0; exec "$@"', "sh", *command)
            else:
                limits = resource.prlimit(environment.process.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(environment.process.pid, resource.RLIMIT_FSIZE, (0, limits[1]))
                answer = await environment.upgrade()
            assert answer.startswith("failed: "), answer
            assert "s.db" in answer, answer
            await environment.check_drain_reaches_proxies(1)
            assert environment.count_running_processes() == 1
            assert await environment.is_healthy() == (affected == "new")
            if affected == "both":
                assert (await environment.upgrade()).startswith("failed: ")
                await environment.check_drain_reaches_proxies(2)
                assert environment.count_running_processes() == 1
                resource.prlimit(environment.process.pid, resource.RLIMIT_FSIZE, limits)
                await until(lambda: environment.log_entries("the store has been reopened"), 5)
                assert environment.log_entries("log lines lost")[0]["lost"] > 0
                await environment.check_drain_reaches_proxies(3)
                assert await environment.is_healthy()
            assert (await environment.upgrade()).startswith("ok: handed over")
            await environment.check_drain_reaches_proxies(4)
            await until(lambda: environment.count_running_processes() == 1)
            # The store has the same tables as the proxies.
            os.killpg(environment.process.pid, signal.SIGKILL)
            store = SqliteStore(tmp_path / "s.db")
            await asyncio.sleep(0.1)
            tables = store.open().tables
            store.close()
            assert {table: set(hosts) for table, hosts in tables.items()} == environment.proxies[0].tables

    run_scenario(scenario())


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


def test_handover_when_a_process_is_killed_or_stopped_at_any_step_then_one_is_active(tmp_path: Path) -> None:
    """Produces the table in docs/upgrade.md: either process killed or stopped before each step, in parallel runs."""
    outcomes: dict[str, str] = {}

    async def hand_over(halt: str, semaphore: asyncio.Semaphore) -> None:
        folder = tmp_path / halt.replace(":", "-").replace(" ", "-")
        folder.mkdir()
        async with semaphore, ControllerEnvironment(folder, halt) as environment:
            answer = await environment.upgrade()
            await environment.check_drain_reaches_proxies(1)
            await environment.check_drain_reaches_proxies(2)
            await until(lambda: environment.count_running_processes() == 1, 8.0)
            join_count = max(proxy.join_count for proxy in environment.proxies)
            outcomes[halt] = f"{answer.split(':')[0] or 'cut off'}; reconnections: {join_count - 1}"

    async def hand_over_with_each_fault() -> None:
        semaphore = asyncio.Semaphore(6)
        await asyncio.gather(
            *(hand_over(f"{fault}:{point}", semaphore) for fault in ("kill", "stop") for point in TEST_POINTS)
        )

    run_scenario(hand_over_with_each_fault())
    assert len(outcomes) == 2 * len(TEST_POINTS)
    for halt, outcome in sorted(outcomes.items()):
        print(f"| {halt} | {outcome} |")
    # A new process that is killed or stopped before it becomes active causes no reconnections.
    inactive_points = [
        point
        for point in TEST_POINTS
        if point.startswith("new") and point not in ("new before run", "new before send taken")
    ]
    assert all(
        outcomes[f"{fault}:{point}"] == "failed; reconnections: 0"
        for fault in ("kill", "stop")
        for point in inactive_points
    )
    assert {point.split(" before ")[1] for point in TEST_POINTS} <= {command.value for command in HandoverCommand}


def test_control_path_when_it_is_a_file_then_it_is_rejected_and_the_file_is_kept(tmp_path: Path) -> None:
    (tmp_path / "c").write_text("precious")
    text = (CONFIG % (tmp_path / "s.db")).replace("steward {\n", f'steward {{\n  control = "{tmp_path}/c"\n')
    (tmp_path / "s.hcl").write_text(text)
    command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(tmp_path / "s.hcl")]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert completed.returncode == 5
    assert "is no socket" in completed.stdout + completed.stderr
    assert (tmp_path / "c").read_text() == "precious"


def test_upgrade_when_there_is_no_control_socket_then_the_error_says_so(tmp_path: Path) -> None:
    (tmp_path / "s.hcl").write_text(CONFIG % (tmp_path / "s.db"))
    command = [sys.executable, "-m", "corallanding.cli.main", "upgrade", "--config", str(tmp_path / "s.hcl")]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert completed.returncode == 2
    assert "steward.control is not set" in completed.stderr


@pytest.mark.parametrize("fault", ["configuration", "program", "settings"])
def test_handover_when_the_new_process_cannot_start_then_the_old_one_continues(tmp_path: Path, fault: str) -> None:
    async def scenario() -> None:
        async with ControllerEnvironment(tmp_path) as environment:
            valid_config = environment.path.read_text()
            if fault == "configuration":
                environment.path.write_text(valid_config + "nonsense {\n}\n")
                answer = await environment.upgrade()
            elif fault == "program":
                answer = await environment.upgrade(sys.executable, "-c", "import sys; sys.exit(9)")
            else:
                # Not a fault: with other settings no state is used. The listeners are handed over, proxies join again.
                environment.path.write_text(
                    valid_config.replace("every_ms", "every_ms") + "reports {\n  every_ms = 700\n}\n"
                )
                answer = await environment.upgrade()
            if fault == "settings":
                assert answer.startswith("ok: handed over")
                assert environment.log_entries("state not used; proxies will join again")
                await until(lambda: all(proxy.join_count == 2 for proxy in environment.proxies))
            else:
                assert answer.startswith("failed: the new process ended")
                assert [proxy.join_count for proxy in environment.proxies] == [1, 1]
            await environment.check_drain_reaches_proxies(1)
            environment.path.write_text(valid_config)
            if fault != "settings":
                assert (await environment.upgrade()).startswith("ok: handed over")
                await environment.check_drain_reaches_proxies(2)
                assert [proxy.join_count for proxy in environment.proxies] == [1, 1]

    run_scenario(scenario())
