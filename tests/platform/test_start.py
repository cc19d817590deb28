"""The start of the platform's steward, each order forced."""

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
from corallanding.platform import service as node
from corallanding.resp import encode
from tests.platform.support import life, text
from tests.relay.support import PING, RESULT, taken


@pytest.mark.parametrize("resets", [1, 4])
def test_start_when_the_relay_resets_connections_then_it_tries_until_one_is_accepted(
    tmp_path: Path, resets: int
) -> None:
    async def scene() -> None:
        async with life(tmp_path) as it:
            for _ in range(2 * resets):
                (await it.relay.next()).reset()
            answered = 0
            while not it.service.server or not it.service.server.is_ready:
                side = await it.relay.next()
                said = await side.line()
                if said["method"] == "relay.watch":
                    side.say(RESULT)
                    side.tell(attach(0), owner(2), PING)
                    await until(lambda: it.service.server and it.service.server.is_ready)
                else:
                    answered += 1
                    side.say(taken(said["id"], len(said["params"]["ops"])))

    play(scene)


def test_start_when_the_relay_is_silent_then_heartbeats_are_answered_after_a_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node, "MAX_START_SECONDS", 0.05)

    async def scene() -> None:
        async with life(tmp_path) as it:
            side = Side(*await asyncio.open_connection(*it.listens()))
            side.say(encode(["hb"]))
            assert await side.reader.readexactly(len(HEARTBEAT_ANSWER)) == HEARTBEAT_ANSWER
            side.say(encode(["attach"]))
            assert await side.reader.read() == REJECT

    play(scene)


class Reading(Process):
    """A steward that reads its configuration from a pipe, as slowly as the test likes."""

    async def begin(self) -> int:
        """It has opened its configuration, and waits for it: the pipe."""
        self.path.unlink()
        os.mkfifo(self.path)
        await self.start()
        return await asyncio.to_thread(os.open, self.path, os.O_WRONLY)


def test_reload_when_signalled_during_the_start_then_the_new_configuration_is_used(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Stand() as relay, Stand() as agent, Stand() as new_relay, Stand() as new_agent:
            steward = Reading({**CONFIG_FILE, "listen": "127.0.0.1:1"}, tmp_path / "config.json")
            pipe = await steward.begin()
            old = {
                **CONFIG_FILE,
                "listen": free(),
                "discovery": text(agent.where),
                "store": {"address": text(relay.where)},
            }
            new = {**old, "discovery": text(new_agent.where), "store": {"address": text(new_relay.where)}}
            (tmp_path / "new.json").write_bytes(msgspec.json.encode(new))
            os.replace(tmp_path / "new.json", steward.path)
            steward.signal(signal.SIGHUP)
            os.write(pipe, msgspec.json.encode(old))
            os.close(pipe)
            assert "index=" in await (await new_agent.next()).question()
            assert (await (await new_relay.next()).line())["method"] in ("relay.watch", "relay.apply")
            steward.signal(signal.SIGTERM)
            code, log = await steward.end()
            assert code == 0, log
            assert "Traceback" not in log, log

    play(scene)


@pytest.mark.parametrize("sign", [signal.SIGTERM, signal.SIGINT])
def test_stop_when_signalled_at_the_start_then_it_ends_at_once(tmp_path: Path, sign: signal.Signals) -> None:
    async def scene() -> None:
        steward = Reading(dict(CONFIG_FILE), tmp_path / "config.json")
        pipe = await steward.begin()
        steward.signal(sign)
        code, log = await steward.end()
        os.close(pipe)
        assert code == -sign
        assert log == ""

    play(scene)
