"""Tests that repeated handovers between controller processes keep connections and lose no messages."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import pytest
from sockets import until
from typer.testing import CliRunner

from corallanding.cli.main import app
from corallanding.controller import recorder
from tests.upgrade.support import HOSTS, ControllerEnvironment, run_scenario

pytestmark = pytest.mark.processes


def test_handover_when_done_ten_times_then_every_connection_is_kept(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ControllerEnvironment(tmp_path) as environment:
            for n in range(10):
                if n:
                    assert (await environment.upgrade()).startswith("ok: handed over")
                else:
                    command = ["-m", "corallanding.cli.main", "upgrade", "--config", str(environment.path)]
                    cli = await asyncio.create_subprocess_exec(sys.executable, *command, stdout=subprocess.PIPE)
                    assert (await cli.communicate())[0].startswith(b"ok: handed over to process ")
                await environment.check_drain_reaches_proxies(n % HOSTS)
                environment.host_list.put(n % HOSTS, state="up")
            assert [proxy.join_count for proxy in environment.proxies] == [1, 1], "no proxy reconnected"
            await until(lambda: environment.count_running_processes() == 1)
            assert len(environment.log_entries("handed over")) == 10
            assert len(environment.log_entries("ready")) == 11
            assert [entry["start_number"] for entry in environment.log_entries("ready")] == list(range(1, 12))
            # Each proxy knows which start its messages are from, in case that process crashes while its store fails.
            await until(lambda: all(proxy.start_numbers == list(range(1, 12)) for proxy in environment.proxies))
            # Eleven processes write one recording, which a single assigner can replay from its beginning.
            os.killpg(environment.process.pid, signal.SIGKILL)
            replay = CliRunner().invoke(app, ["replay", str(tmp_path / "s.rec")])
            assert replay.exit_code == 0, replay.output
            assert "no difference" in replay.output, replay.output
            assert len(recorder.read_recording(tmp_path / "s.rec").steps) > 40

    run_scenario(scenario())


def test_handover_when_a_message_is_half_sent_then_the_new_process_sends_the_rest(tmp_path: Path) -> None:
    """With a low sending rate, messages to sixty proxies are always partly sent when the controller is handed over.

    A proxy that missed the rest of a message would keep a drained host, since no later message removes it.
    """
    slow_channel = "channel {\n  rate_lines_per_s = 4000\n  queue_most_lines = 40000\n}\n"

    async def scenario() -> None:
        async with ControllerEnvironment(tmp_path, extra_config=slow_channel, proxy_count=60) as environment:
            change_count = 0
            for _ in range(3):
                handover = asyncio.create_task(environment.upgrade())
                while not handover.done():
                    environment.host_list.put(change_count % HOSTS, state="draining")
                    environment.host_list.put((change_count - 3) % HOSTS, state="up")
                    change_count += 1
                    await asyncio.sleep(0.1)
                assert (await handover).startswith("ok: handed over")
                for _ in range(100):
                    seen = {json.dumps(proxy.sorted_tables()) for proxy in environment.proxies}
                    if len(seen) == 1:
                        break
                    await asyncio.sleep(0.1)
                assert len(seen) == 1, seen
            assert [proxy.join_count for proxy in environment.proxies] == [1] * 60

    run_scenario(scenario())


def test_upgrades_when_one_of_several_fails_then_the_remaining_ones_are_not_upgraded(tmp_path: Path) -> None:
    async def scenario() -> None:
        for name in ("a", "b", "c"):
            (tmp_path / name).mkdir()
        async with (
            ControllerEnvironment(tmp_path / "a") as first,
            ControllerEnvironment(tmp_path / "b") as second,
            ControllerEnvironment(tmp_path / "c") as third,
        ):
            command = [sys.executable, "-m", "corallanding.cli.main", "upgrade"]

            async def run_upgrade(*environments: ControllerEnvironment) -> tuple[int, str]:
                options = [option for environment in environments for option in ("--config", str(environment.path))]
                process = await asyncio.create_subprocess_exec(
                    *command, *options, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
                )
                out = (await process.communicate())[0].decode()
                return process.returncode or 0, out

            code, out = await run_upgrade(first, second)
            assert code == 0, out
            assert out.count("ok: handed over") == 2, out
            (second.folder / "c").unlink()  # the second controller is unreachable
            code, out = await run_upgrade(first, second, third)
            assert code == 1, out
            assert out.count("ok: handed over") == 1, out
            assert f"not upgraded: {third.path}" in out, out
            assert len(third.log_entries("ready")) == 1
            assert len(first.log_entries("ready")) == 3

    run_scenario(scenario())


def test_upgrade_when_a_lease_is_needed_then_it_waits_and_reports_the_waiting_time(tmp_path: Path) -> None:
    """With a `task "upgrade"`, a handover needs its lease; that of the previous process has to expire first."""
    extra_config = (
        'task "upgrade" {\n  work_most_ms = 600\n}\ntasks {\n  lease_ms = 1500\n}\nbudgets {\n  office_ms = 200\n}\n'
    )

    async def scenario() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer_socket:
            peer_socket.bind(("127.0.0.1", 0))
            port = peer_socket.getsockname()[1]
        async with ControllerEnvironment(tmp_path, extra_config=extra_config) as environment:
            text = environment.path.read_text().replace(
                "steward {\n", f'steward {{\n  peer_listen = "127.0.0.1:{port}"\n', 1
            )
            environment.path.write_text(text)
            assert (await environment.upgrade()).startswith("ok after "), (
                "the only controller is elected, then requests the lease"
            )
            await until(lambda: len(environment.log_entries("ready")) == 2, 10)
            started_at = time.monotonic()
            answer = await environment.upgrade()
            assert answer.startswith("ok after "), answer
            assert float(answer.split()[2]) >= 0.3, answer
            assert time.monotonic() - started_at >= 0.3
            for _ in range(100):
                with suppress(OSError):  # the old process may have accepted the connection before it exited
                    page = json.loads((await environment.get_page("/stewards")).split("\r\n\r\n")[1])
                    if page["tasks"]["dealer"] == 0:
                        break
                await asyncio.sleep(0.05)
            assert page["tasks"]["dealer"] == 0
            assert page["stewards"] == {"0": "alive"}
            entries = environment.log_entries("task")
            assert [entry["change"] for entry in entries if entry["task"] == "upgrade"].count("taken up") == 2
            await environment.check_drain_reaches_proxies(2)

    run_scenario(scenario())
