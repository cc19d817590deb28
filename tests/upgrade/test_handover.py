"""Controllers handed over between processes keep their connections, also several in a row."""

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
from tests.upgrade.support import HOSTS, Scene, play

pytestmark = pytest.mark.processes


def test_handover_when_done_ten_times_then_every_connection_is_kept(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Scene(tmp_path) as running:
            for n in range(10):
                if n:
                    assert (await running.upgrade()).startswith("ok: handed over")
                else:
                    command = ["-m", "corallanding.cli.main", "upgrade", "--config", str(running.path)]
                    cli = await asyncio.create_subprocess_exec(sys.executable, *command, stdout=subprocess.PIPE)
                    assert (await cli.communicate())[0].startswith(b"ok: handed over to process ")
                await running.drains(n % HOSTS)
                running.roster.put(n % HOSTS, state="up")
            assert [f.links for f in running.forwarders] == [1, 1], "no link was ever joined anew"
            await until(lambda: running.running() == 1)
            assert len(running.entries("handed over")) == 10
            assert len(running.entries("ready")) == 11
            assert [w["start_number"] for w in running.entries("ready")] == list(range(1, 12))
            # Each forwarder knows whose messages it holds, should that one die with a failing store.
            await until(lambda: all(f.start_numbers == list(range(1, 12)) for f in running.forwarders))
            # Eleven processes, one recording: one module runs through it from its beginning.
            os.killpg(running.process.pid, signal.SIGKILL)
            replay = CliRunner().invoke(app, ["replay", str(tmp_path / "s.rec")])
            assert replay.exit_code == 0, replay.output
            assert "no difference" in replay.output, replay.output
            assert len(recorder.read_recording(tmp_path / "s.rec").steps) > 40

    play(scene())


def test_handover_when_a_message_is_half_sent_then_the_new_process_sends_the_rest(tmp_path: Path) -> None:
    """The line is slow: an order is always on its way to sixty links while the steward is handed over. A link that
    lacked it would keep a host that nobody names again: no later order takes it away."""
    slow = "channel {\n  rate_lines_per_s = 4000\n  queue_most_lines = 40000\n}\n"

    async def scene() -> None:
        async with Scene(tmp_path, more=slow, count=60) as running:
            changes = 0
            for _ in range(3):
                handover = asyncio.create_task(running.upgrade())
                while not handover.done():
                    running.roster.put(changes % HOSTS, state="draining")
                    running.roster.put((changes - 3) % HOSTS, state="up")
                    changes += 1
                    await asyncio.sleep(0.1)
                assert (await handover).startswith("ok: handed over")
                for _ in range(100):
                    seen = {json.dumps(f.sorted_tables()) for f in running.forwarders}
                    if len(seen) == 1:
                        break
                    await asyncio.sleep(0.1)
                assert len(seen) == 1, seen
            assert [f.links for f in running.forwarders] == [1] * 60

    play(scene())


def test_upgrades_when_one_of_several_fails_then_the_others_are_not_touched(tmp_path: Path) -> None:
    async def scene() -> None:
        for name in ("a", "b", "c"):
            (tmp_path / name).mkdir()
        async with Scene(tmp_path / "a") as first, Scene(tmp_path / "b") as second, Scene(tmp_path / "c") as third:
            base = [sys.executable, "-m", "corallanding.cli.main", "upgrade"]

            async def cli(*scenes: Scene) -> tuple[int, str]:
                options = [option for scene in scenes for option in ("--config", str(scene.path))]
                p = await asyncio.create_subprocess_exec(
                    *base, *options, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
                )
                out = (await p.communicate())[0].decode()
                return p.returncode or 0, out

            code, out = await cli(first, second)
            assert code == 0, out
            assert out.count("ok: handed over") == 2, out
            (second.folder / "c").unlink()  # the second cannot be reached any more
            code, out = await cli(first, second, third)
            assert code == 1, out
            assert out.count("ok: handed over") == 1, out
            assert f"not touched: {third.path}" in out, out
            assert len(third.entries("ready")) == 1
            assert len(first.entries("ready")) == 3

    play(scene())


def test_upgrades_when_a_lease_is_needed_then_wait_and_report_how_long(tmp_path: Path) -> None:
    """Where `task "upgrade"` stands, a handover needs the fleet's lease for it; the process before lets it run out."""
    more = 'task "upgrade" {\n  work_most_ms = 600\n}\ntasks {\n  lease_ms = 1500\n}\nbudgets {\n  office_ms = 200\n}\n'

    async def scene() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            port = other.getsockname()[1]
        async with Scene(tmp_path, more=more) as running:
            text = running.path.read_text().replace(
                "steward {\n", f'steward {{\n  peer_listen = "127.0.0.1:{port}"\n', 1
            )
            running.path.write_text(text)
            assert (await running.upgrade()).startswith("ok after "), "the first one elects itself, then asks"
            await until(lambda: len(running.entries("ready")) == 2, 10)
            begun = time.monotonic()
            answer = await running.upgrade()
            assert answer.startswith("ok after "), answer
            assert float(answer.split()[2]) >= 0.3, answer
            assert time.monotonic() - begun >= 0.3
            for _ in range(100):
                with suppress(OSError):  # the old process may still have been the one that took the connection
                    page = json.loads((await running.page("/stewards")).split("\r\n\r\n")[1])
                    if page["tasks"]["dealer"] == 0:
                        break
                await asyncio.sleep(0.05)
            assert page["tasks"]["dealer"] == 0
            assert page["stewards"] == {"0": "alive"}
            assert [w["change"] for w in running.entries("task") if w["task"] == "upgrade"].count("taken up") == 2
            await running.drains(2)

    play(scene())
