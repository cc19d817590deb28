"""What several tests of the controller share."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from sockets import Peer

from corallanding.wire import frames

ROWS = [{"host": h, "address": f"127.0.0.1:{h}", "state": "up"} for h in (10, 11, 12)]


def play(scene: Coroutine[Any, Any, None]) -> None:
    """Run a scene, for half a minute at most."""

    async def bounded() -> None:
        async with asyncio.timeout(30):
            await scene

    asyncio.run(bounded())


async def send_heartbeats(*peers: Peer) -> None:
    """Keep connections alive until cancelled."""
    while True:
        for peer in peers:
            peer.say(frames.Heartbeat(1.0))
        await asyncio.sleep(0.05)
