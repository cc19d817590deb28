"""Start of the platform controller, with every order of events forced by the test."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import msgspec
import pytest
from forced_order import PeerConnection, StandInServer, run_async, until
from platform_samples import CONFIG_FILE, attach, owner
from platform_standins import ControllerProcess, free_address

from corallanding.collector.session import HEARTBEAT_ANSWER, REJECT
from corallanding.platform import service
from corallanding.resp import encode
from tests.platform.support import address_text, controller_harness
from tests.relay.support import PING, WATCH_RESULT, taken


@pytest.mark.parametrize("resets", [1, 4])
def test_start_when_the_relay_resets_connections_then_it_retries_until_one_is_accepted(
    tmp_path: Path, resets: int
) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            for _ in range(2 * resets):
                (await harness.relay.next_connection()).reset()
            answered_calls = 0
            while not harness.controller.server or not harness.controller.server.is_ready:
                peer = await harness.relay.next_connection()
                message = await peer.read_message()
                if message["method"] == "relay.watch":
                    peer.send(WATCH_RESULT)
                    peer.send_notifications(attach(0), owner(2), PING)
                    await until(lambda: harness.controller.server and harness.controller.server.is_ready)
                else:
                    answered_calls += 1
                    peer.send(taken(message["id"], len(message["params"]["ops"])))

    run_async(scenario)


def test_start_when_the_relay_is_silent_then_heartbeats_are_answered_after_the_maximum_start_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "MAX_START_SECONDS", 0.05)

    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            peer = PeerConnection(*await asyncio.open_connection(*harness.listening_address()))
            peer.send(encode(["hb"]))
            assert await peer.reader.readexactly(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
            peer.send(encode(["attach"]))
            assert await peer.reader.read() == REJECT

    run_async(scenario)


class PipeConfiguredProcess(ControllerProcess):
    """A controller that reads its configuration from a pipe, so that the test controls when it is received."""

    async def start_reading(self) -> int:
        """Start the program and return the write end of the pipe, once the program has opened its read end."""
        self.path.unlink()
        os.mkfifo(self.path)
        await self.start()
        return await asyncio.to_thread(os.open, self.path, os.O_WRONLY)


def test_reload_when_signalled_during_the_start_then_the_new_configuration_is_used(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            StandInServer() as relay,
            StandInServer() as agent,
            StandInServer() as new_relay,
            StandInServer() as new_agent,
        ):
            process = PipeConfiguredProcess({**CONFIG_FILE, "listen": "127.0.0.1:1"}, tmp_path / "config.json")
            pipe = await process.start_reading()
            old = {
                **CONFIG_FILE,
                "listen": free_address(),
                "discovery": address_text(agent.address),
                "store": {"address": address_text(relay.address)},
            }
            new = {
                **old,
                "discovery": address_text(new_agent.address),
                "store": {"address": address_text(new_relay.address)},
            }
            (tmp_path / "new.json").write_bytes(msgspec.json.encode(new))
            os.replace(tmp_path / "new.json", process.path)
            process.send_signal(signal.SIGHUP)
            os.write(pipe, msgspec.json.encode(old))
            os.close(pipe)
            assert "index=" in await (await new_agent.next_connection()).read_request_path()
            assert (await (await new_relay.next_connection()).read_message())["method"] in (
                "relay.watch",
                "relay.apply",
            )
            process.send_signal(signal.SIGTERM)
            code, log = await process.wait_exit()
            assert code == 0, log
            assert "Traceback" not in log, log

    run_async(scenario)


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGINT])
def test_stop_when_signalled_during_the_start_then_it_ends_at_once(tmp_path: Path, stop_signal: signal.Signals) -> None:
    async def scenario() -> None:
        process = PipeConfiguredProcess(dict(CONFIG_FILE), tmp_path / "config.json")
        pipe = await process.start_reading()
        process.send_signal(stop_signal)
        code, log = await process.wait_exit()
        os.close(pipe)
        assert code == -stop_signal
        assert log == ""

    run_async(scenario)
