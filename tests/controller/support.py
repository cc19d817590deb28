"""Helpers shared by tests of the controller."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from sockets import RawProxyConnection

from corallanding.wire import frames

ROWS = [{"host": h, "address": f"127.0.0.1:{h}", "state": "up"} for h in (10, 11, 12)]


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario, for at most 30 seconds."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(30):
            await scenario

    asyncio.run(run_with_timeout())


async def send_heartbeats(*peers: RawProxyConnection) -> None:
    """Send heartbeats on connections until cancelled."""
    while True:
        for peer in peers:
            peer.send(frames.Heartbeat(1.0))
        await asyncio.sleep(0.05)
