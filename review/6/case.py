"""Case 6: a few bad clients send heartbeats without end, and a host drains meanwhile."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from platform2.case import main
from platform2.settings import Site
from platform2.world import World

BAD_CLIENTS = 8
BAD_SECONDS = 20.0
CLIENTS = Path(__file__).with_name("bad_clients.py")


async def heartbeats(world: World) -> None:
    """Ask for a sign of life twice a second, and write down how long each answer took."""
    while True:
        took_s = await world.stewards[0].heartbeat(30.0)
        world.record.add(f"heartbeat answered after {took_s if took_s is None else round(took_s, 2)} s")
        await asyncio.sleep(0.5)


async def bad_clients(world: World) -> None:
    """Run the bad clients, and write down when they are closed."""
    port = str(world.stewards[0].port)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", str(CLIENTS), port, str(BAD_CLIENTS), str(BAD_SECONDS), stdout=asyncio.subprocess.PIPE
    )
    try:
        assert process.stdout
        async for line in process.stdout:
            world.record.add(f"bad client {line.decode().strip()}")
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def scenario(world: World, has_trouble: bool) -> None:
    """Let hosts drain, one after the other, while bad clients are connected."""
    world.spawn(heartbeats(world))
    await asyncio.sleep(5.0)
    clients = world.spawn(bad_clients(world)) if has_trouble else None
    if clients:
        world.record.add(f"{BAD_CLIENTS} bad clients connect")
    await asyncio.sleep(1.0)
    for name in list(world.hosts)[:2]:
        world.drain(name)
        asyncio.get_running_loop().call_later(4.8, world.end_host, name)
        await asyncio.sleep(2.0)
    await asyncio.sleep(20.0)
    if clients:
        await clients


if __name__ == "__main__":
    main(Site(), __file__, scenario, ("drain",))
