"""A platform controller on the test's event loop, with peers that the test drives."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
from forced_order import Address, Side, Stand, turns, until
from platform_samples import CONFIG_FILE, attach, entry, list_entry, owner

from corallanding.platform import service as node
from corallanding.platform.config import read
from tests.relay.support import PING, RESULT, taken


def text(where: Address) -> str:
    return f"{where[0]}:{where[1]}"


class Life:
    """A steward in this loop. `call` and `news` are the relay's ends of its connections, `poll` the agent's."""

    def __init__(self, path: Path, relay: Stand, agent: Stand) -> None:
        self.path, self.relay, self.agent = path, relay, agent
        self.config = {
            **CONFIG_FILE,
            "known": {"seq": 1, "whole": True, "hosts": [list_entry("s-1"), list_entry("s-2")]},
        }
        self.write(discovery=text(agent.where), store={"address": text(relay.where)})
        # A listening port of 0 is none that a file may name.
        self.service = node.PlatformController(replace(read(str(path)), listen=("127.0.0.1", 0)), str(path))

    def write(self, **changes: Any) -> None:
        self.config.update(changes)
        self.path.write_bytes(msgspec.json.encode(self.config))

    async def begin(self) -> None:
        self.running = asyncio.create_task(self.service.run())
        await turns(2)

    def listens(self) -> Any:
        assert self.service.server
        return self.service.server.listener.socket.getsockname()

    async def came(self) -> tuple[Side, dict[str, Any]]:
        """The next connection at the relay, and its first line."""
        side = await self.relay.next()
        return side, await side.line()

    async def serve(self) -> None:
        """What stands is said, the first call is answered; it is in service then."""
        for _ in range(2):
            side, said = await self.came()
            if said["method"] == "relay.watch":
                self.news = side
                side.say(RESULT)
                side.tell(attach(0), owner(2), entry(2, 1), PING)
            else:
                self.call = side
                side.say(taken(said["id"], len(said["params"]["ops"])))
        self.poll = await self.agent.next()
        await self.poll.question()
        await until(lambda: self.service.subscription.has_been_ready and not self.service.calls.in_flight)

    async def calling(self) -> dict[str, Any]:
        """A drain is listed: the call that tells it, which stays open."""
        body = msgspec.json.encode({"seq": 2, "whole": False, "hosts": [list_entry("s-1", "terminating")]})
        self.poll.answer(body)
        said: dict[str, Any] = {"params": {"ops": []}}
        while not any(o.get("endpoint") == "s-1" for o in said["params"]["ops"]):
            if said["params"]["ops"]:
                self.call.say(taken(said["id"], len(said["params"]["ops"])))
            said = await self.call.line()
        return said


@contextlib.asynccontextmanager
async def life(tmp_path: Path, answer_within: float = 100.0) -> AsyncIterator[Life]:
    async with Stand() as relay, Stand() as agent:
        one = Life(tmp_path / "config.json", relay, agent)
        one.service.call_connection.answer_timeout_ms = answer_within
        await one.begin()
        try:
            yield one
        finally:
            one.service.stop()
            await one.running


def moved(it: Life, relay: Stand | Address | None = None, agent: Stand | Address | None = None) -> None:
    changes: dict[str, Any] = {}
    if relay:
        changes["store"] = {"address": text(relay.where if isinstance(relay, Stand) else relay)}
    if agent:
        changes["discovery"] = text(agent.where if isinstance(agent, Stand) else agent)
    it.write(**changes)
    it.service.reload()
