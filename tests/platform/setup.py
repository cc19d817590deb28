"""A platform controller as a program, with stand-ins for its peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from platform_samples import CONFIG_FILE, list_entry
from platform_standins import (
    TEST_TIMEOUT_SECONDS,
    ControllerProcess,
    StandInDiscovery,
    StandInHosts,
    StandInRelay,
    free_address,
)

from corallanding.resp import encode


class PlatformSetup:
    """A controller process and its stand-in peers. `dial` is the address of all hosts."""

    def __init__(
        self,
        relay: StandInRelay,
        agent: StandInDiscovery,
        hosts: StandInHosts,
        dial: str,
        controller: ControllerProcess,
    ) -> None:
        self.relay, self.agent, self.hosts, self.dial, self.controller = relay, agent, hosts, dial, controller

    async def check_heartbeat(self) -> None:
        """Assert that the controller answers a heartbeat."""
        reader, writer = await self.controller.connect()
        writer.write(encode(["hb"]))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert await reader.readexactly(len(encode(["hb_ok"]))) == encode(["hb_ok"])
        writer.close()

    def has_valid_tables(self) -> bool:
        """Return whether every slice has a host, and only hosts in service."""
        in_service = {host for host, entry in self.agent.hosts.items() if entry["health"] == "in_service"}
        return all(rows and set(rows) <= in_service for rows in self.relay.tables.values())

    def host_entry(self, host: str, health: str = "in_service") -> dict[str, Any]:
        """Return the host list entry of a host."""
        return list_entry(host, health, dial=self.dial)


@contextlib.asynccontextmanager
async def running_platform(
    folder: Path, command: list[str] | None = None, environment: dict[str, str] | None = None
) -> AsyncIterator[PlatformSetup]:
    """Start a controller, with `command` or as the platform does, and wait for a heartbeat; end all at the end.

    `environment` is added to that of the test.
    """
    relay, hosts = StandInRelay(), StandInHosts()
    dial = await hosts.open()
    rows = [list_entry(f"s-{n}", dial=dial) for n in range(6)]
    agent = StandInDiscovery(rows)
    relay.tables = {n: {f"s-{n % 6}": 1.0} for n in range(12)}
    relay.proxies = {0, 1}
    config = {
        **CONFIG_FILE,
        "listen": free_address(),
        "discovery": await agent.open(),
        "store": {"address": await relay.open()},
        "known": {"seq": 1, "whole": True, "hosts": rows},
    }
    controller = ControllerProcess(config, folder / "config.json")
    controller.command = command or controller.command
    controller.environment = environment or {}
    await controller.start()
    try:
        setup = PlatformSetup(relay, agent, hosts, dial, controller)
        await setup.check_heartbeat()
        yield setup
    finally:
        if controller.process.returncode is None:
            controller.process.kill()
            await controller.process.wait()
        for server in (relay, agent, hosts):
            server.close()
