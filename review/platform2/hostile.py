"""The scenario of the cases with bad clients: hosts drain while the clients are connected."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from .world import World

CLIENTS = Path(__file__).with_name("bad_clients.py")
SECONDS = 20.0
DRAINED = 2
END_S = 4.8  # from a host's drain to its end: the site's deploy has 4.8 to 5.9 s


async def heartbeats(world: World) -> None:
    """Ask for a sign of life twice a second, and write down how long each answer took."""
    while True:
        took_s = await world.stewards[0].heartbeat(30.0)
        world.record.add(f"heartbeat answered after {took_s if took_s is None else round(took_s, 2)} s")
        await asyncio.sleep(0.5)


async def bad_clients(world: World, count: int, kind: str) -> None:
    """Run the bad clients, and write down when they are closed."""
    world.record.add(f"{count} bad clients connect and send {kind}")
    words = [str(CLIENTS), str(world.stewards[0].port), str(count), str(SECONDS), kind]
    process = await asyncio.create_subprocess_exec(sys.executable, "-B", *words, stdout=asyncio.subprocess.PIPE)
    try:
        assert process.stdout
        async for line in process.stdout:
            world.record.add(f"bad client {line.decode().strip()}")
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def drain_beside(world: World, count: int, kind: str) -> None:
    """Let hosts drain, one after the other, while `count` bad clients are connected."""
    world.spawn(heartbeats(world))
    await asyncio.sleep(5.0)
    clients = world.spawn(bad_clients(world, count, kind)) if count else None
    await asyncio.sleep(0.2)
    for name in list(world.hosts)[:DRAINED]:
        world.drain(name)
        asyncio.get_running_loop().call_later(END_S, world.end_host, name)
        await asyncio.sleep(2.0)
    await asyncio.sleep(20.0)
    if clients:
        await clients
