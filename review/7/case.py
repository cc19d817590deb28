"""Case 7: a zone is lost for 5 s and returns cold, while a rolling deploy replaces hosts of the other zones."""

from __future__ import annotations

import asyncio

from platform2.case import main
from platform2.settings import Site
from platform2.trouble import Changes
from platform2.world import World

HOSTS = 60  # the site's later size is 57 to 78
PROXIES = 39  # 28 to 39 forwarders today
REPLACED = 24
GAP_S = 0.45  # between two drains: 97 in 100 of the hosts in 26 s, 18 in 100 at a time
END_S = 4.8  # from a host's drain to its end: the site's deploy has 4.8 to 5.9 s


async def scenario(world: World, has_trouble: bool) -> None:
    """Replace hosts one by one; with trouble, a zone is lost as that begins."""
    changes = Changes(world)
    await asyncio.sleep(20.0)
    names = changes.other_hosts()
    if has_trouble:
        world.spawn(changes.lose_zone())
    for name in names[:REPLACED]:
        world.spawn(changes.replace([name], END_S))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(14.0)


if __name__ == "__main__":
    main(Site(hosts=HOSTS, proxies=PROXIES, slices=5 * HOSTS, rate=330.0), __file__, scenario, ("drain",))
