"""A platform controller on the event loop of the test, with peers that the test controls."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
from forced_order import Address, PeerConnection, StandInServer, until, yield_to_loop
from platform_samples import CONFIG_FILE, attach, entry, list_entry, owner

from corallanding.platform.config import read
from corallanding.platform.service import PlatformController
from tests.relay.support import PING, WATCH_RESULT, taken


def address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


class ControllerHarness:
    """A controller on this event loop.

    `call` and `watch` are the relay's ends of its connections, `poll` is the end of the discovery agent.
    """

    def __init__(self, path: Path, relay: StandInServer, agent: StandInServer) -> None:
        self.path, self.relay, self.agent = path, relay, agent
        self.config = {
            **CONFIG_FILE,
            "known": {"seq": 1, "whole": True, "hosts": [list_entry("s-1"), list_entry("s-2")]},
        }
        self.write_config(discovery=address_text(agent.address), store={"address": address_text(relay.address)})
        # A configuration file may not contain the listening port 0.
        self.controller = PlatformController(replace(read(str(path)), listen=("127.0.0.1", 0)), str(path))

    def write_config(self, **changes: Any) -> None:
        self.config.update(changes)
        self.path.write_bytes(msgspec.json.encode(self.config))

    async def start(self) -> None:
        self.run_task = asyncio.create_task(self.controller.run())
        await yield_to_loop(2)

    def listening_address(self) -> Any:
        assert self.controller.server
        return self.controller.server.listener.socket.getsockname()

    async def next_relay_connection(self) -> tuple[PeerConnection, dict[str, Any]]:
        """Return the next connection to the relay and its first message."""
        peer = await self.relay.next_connection()
        return peer, await peer.read_message()

    async def complete_start(self) -> None:
        """Send the relay's initial state and answer the first call, which completes the start."""
        for _ in range(2):
            peer, message = await self.next_relay_connection()
            if message["method"] == "relay.watch":
                self.watch = peer
                peer.send(WATCH_RESULT)
                peer.send_notifications(attach(0), owner(2), entry(2, 1), PING)
            else:
                self.call = peer
                peer.send(taken(message["id"], len(message["params"]["ops"])))
        self.poll = await self.agent.next_connection()
        await self.poll.read_request_path()
        await until(lambda: self.controller.subscription.has_been_ready and not self.controller.calls.in_flight)

    async def start_drain(self) -> dict[str, Any]:
        """List host s-1 as draining; return the call with its drain, which is left unanswered."""
        body = msgspec.json.encode({"seq": 2, "whole": False, "hosts": [list_entry("s-1", "terminating")]})
        self.poll.send_answer(body)
        message: dict[str, Any] = {"params": {"ops": []}}
        while not any(operation.get("endpoint") == "s-1" for operation in message["params"]["ops"]):
            if message["params"]["ops"]:
                self.call.send(taken(message["id"], len(message["params"]["ops"])))
            message = await self.call.read_message()
        return message


@contextlib.asynccontextmanager
async def controller_harness(tmp_path: Path, answer_timeout_ms: float = 100.0) -> AsyncIterator[ControllerHarness]:
    async with StandInServer() as relay, StandInServer() as agent:
        harness = ControllerHarness(tmp_path / "config.json", relay, agent)
        harness.controller.call_connection.answer_timeout_ms = answer_timeout_ms
        await harness.start()
        try:
            yield harness
        finally:
            harness.controller.stop()
            await harness.run_task


def change_addresses(
    harness: ControllerHarness,
    relay: StandInServer | Address | None = None,
    agent: StandInServer | Address | None = None,
) -> None:
    """Write new addresses into the configuration file and reload it."""
    changes: dict[str, Any] = {}
    if relay:
        changes["store"] = {"address": address_text(relay.address if isinstance(relay, StandInServer) else relay)}
    if agent:
        changes["discovery"] = address_text(agent.address if isinstance(agent, StandInServer) else agent)
    harness.write_config(**changes)
    harness.controller.reload()
