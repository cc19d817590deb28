"""Case 7: a zone is lost for 5 s and returns cold, while a rolling deploy replaces hosts of the other zones."""

from __future__ import annotations

import asyncio
import time

from platform2.case import main
from platform2.settings import Site
from platform2.world import World

HOSTS = 60  # the site's later size is 57 to 78, with 95 to 128 forwarders for all stewards
LOST_S = 5.0
BACK_IN_LIST_S = 0.5  # the site's discovery adds a host after 0.22 to 2.5 s
LIST_PERIOD_S = 0.4  # the site's discovery has 0.39 to 1.3 s
REPLACED = 18
GAP_S = 0.6  # between two drains: 97 in 100 of the hosts in 35 s, 13 in 100 at a time
END_S = 4.8  # from a host's drain to its end: the site's deploy has 4.8 to 5.9 s


async def send_lists(world: World, changed: list[str]) -> None:
    """Send what has changed as one list a period."""
    while True:
        await asyncio.sleep(LIST_PERIOD_S)
        if changed:
            world.publish(*changed)
            changed.clear()


async def lose_zone(world: World, changed: list[str]) -> None:
    """Let all hosts of one zone die, and start them again."""
    hosts = [host for host in world.hosts.values() if host.zone == world.zones[0]]
    world.record.add(f"zone {world.zones[0]} is lost: {len(hosts)} hosts")
    for host in hosts:
        host.die()
    await asyncio.sleep(LOST_S)
    for host in hosts:
        host.born_ms = time.time() * 1000.0
        await host.start()
    world.record.add(f"zone {world.zones[0]} is back, cold")
    await asyncio.sleep(BACK_IN_LIST_S)
    changed += [host.name for host in hosts]


async def replace(world: World, name: str, changed: list[str]) -> None:
    """Let a host drain and end, and start its replacement in the same zone, under a new id."""
    world.hosts[name].health = "terminating"
    changed.append(name)
    await asyncio.sleep(END_S)
    world.hosts[name].health = "terminated"
    world.hosts[name].die()
    changed.append(name)
    replacement = await world.new_host(zone=world.hosts[name].zone)
    await asyncio.sleep(BACK_IN_LIST_S)
    changed.append(replacement.name)


async def scenario(world: World, has_trouble: bool) -> None:
    """Replace hosts one by one; with trouble, a zone is lost as that begins."""
    changed: list[str] = []
    world.spawn(send_lists(world, changed))
    await asyncio.sleep(20.0)
    names = [name for name, host in world.hosts.items() if host.zone != world.zones[0]]
    world.random.shuffle(names)
    if has_trouble:
        world.spawn(lose_zone(world, changed))
    for name in names[:REPLACED]:
        world.spawn(replace(world, name, changed))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(14.0)


if __name__ == "__main__":
    main(Site(hosts=HOSTS, proxies=39, slices=5 * HOSTS, rate=240.0), __file__, scenario, ("drain",))
