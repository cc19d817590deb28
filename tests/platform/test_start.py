"""Start of the platform controller, with every order of events forced by the test."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import msgspec
import pytest
from forced_order import Side, Stand, play, until
from platform_samples import CONFIG_FILE, attach, owner
from platform_standins import Process, free

from corallanding.collector.session import HEARTBEAT_ANSWER, REJECT
from corallanding.platform import service
from corallanding.resp import encode
from tests.platform.support import address_text, controller_harness
from tests.relay.support import PING, RESULT, taken


@pytest.mark.parametrize("resets", [1, 4])
def test_start_when_the_relay_resets_connections_then_it_retries_until_one_is_accepted(
    tmp_path: Path, resets: int
) -> None:
    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            for _ in range(2 * resets):
                (await harness.relay.next()).reset()
            answered_calls = 0
            while not harness.controller.server or not harness.controller.server.is_ready:
                side = await harness.relay.next()
                message = await side.line()
                if message["method"] == "relay.watch":
                    side.say(RESULT)
                    side.tell(attach(0), owner(2), PING)
                    await until(lambda: harness.controller.server and harness.controller.server.is_ready)
                else:
                    answered_calls += 1
                    side.say(taken(message["id"], len(message["params"]["ops"])))

    play(scenario)


def test_start_when_the_relay_is_silent_then_heartbeats_are_answered_after_the_maximum_start_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "MAX_START_SECONDS", 0.05)

    async def scenario() -> None:
        async with controller_harness(tmp_path) as harness:
            side = Side(*await asyncio.open_connection(*harness.listening_address()))
            side.say(encode(["hb"]))
            assert await side.reader.readexactly(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
            side.say(encode(["attach"]))
            assert await side.reader.read() == REJECT

    play(scenario)


class PipeConfiguredProcess(Process):
    """A controller that reads its configuration from a pipe, so that the test controls when it is received."""

    async def start_reading(self) -> int:
        """Start the program and return the write end of the pipe, once the program has opened its read end."""
        self.path.unlink()
        os.mkfifo(self.path)
        await self.start()
        return await asyncio.to_thread(os.open, self.path, os.O_WRONLY)


def test_reload_when_signalled_during_the_start_then_the_new_configuration_is_used(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Stand() as relay, Stand() as agent, Stand() as new_relay, Stand() as new_agent:
            process = PipeConfiguredProcess({**CONFIG_FILE, "listen": "127.0.0.1:1"}, tmp_path / "config.json")
            pipe = await process.start_reading()
            old = {
                **CONFIG_FILE,
                "listen": free(),
                "discovery": address_text(agent.where),
                "store": {"address": address_text(relay.where)},
            }
            new = {
                **old,
                "discovery": address_text(new_agent.where),
                "store": {"address": address_text(new_relay.where)},
            }
            (tmp_path / "new.json").write_bytes(msgspec.json.encode(new))
            os.replace(tmp_path / "new.json", process.path)
            process.signal(signal.SIGHUP)
            os.write(pipe, msgspec.json.encode(old))
            os.close(pipe)
            assert "index=" in await (await new_agent.next()).question()
            assert (await (await new_relay.next()).line())["method"] in ("relay.watch", "relay.apply")
            process.signal(signal.SIGTERM)
            code, log = await process.end()
            assert code == 0, log
            assert "Traceback" not in log, log

    play(scenario)


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGINT])
def test_stop_when_signalled_during_the_start_then_it_ends_at_once(tmp_path: Path, stop_signal: signal.Signals) -> None:
    async def scenario() -> None:
        process = PipeConfiguredProcess(dict(CONFIG_FILE), tmp_path / "config.json")
        pipe = await process.start_reading()
        process.signal(stop_signal)
        code, log = await process.end()
        os.close(pipe)
        assert code == -stop_signal
        assert log == ""

    play(scenario)
