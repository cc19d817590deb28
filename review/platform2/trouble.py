"""What happens to hosts in several cases: a lost zone, replaced hosts, and the lists that tell of it."""

from __future__ import annotations

import asyncio
import time

from .world import World

LIST_PERIOD_S = 0.4  # the site's discovery has 0.39 to 1.3 s
LISTED_AFTER_S = 0.5  # the site's discovery adds a host after 0.22 to 2.5 s
ZONE_LOST_S = 5.0


class Changes:
    """Changes of hosts, sent as one list a period."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.changed: list[str] = []
        world.spawn(self._send_lists())

    async def _send_lists(self) -> None:
        while True:
            await asyncio.sleep(LIST_PERIOD_S)
            if self.changed:
                self.world.publish(*self.changed)
                self.changed.clear()

    async def lose_zone(self) -> None:
        """Let all hosts of the first zone die, and start them again."""
        zone = self.world.zones[0]
        hosts = [host for host in self.world.hosts.values() if host.zone == zone]
        self.world.record.add(f"zone {zone} is lost: {len(hosts)} hosts")
        for host in hosts:
            host.die()
        await asyncio.sleep(ZONE_LOST_S)
        for host in hosts:
            host.born_ms = time.time() * 1000.0
            await host.start()
        self.world.record.add(f"zone {zone} is back, cold")
        await asyncio.sleep(LISTED_AFTER_S)
        self.changed += [host.name for host in hosts]

    def other_hosts(self) -> list[str]:
        """Return the hosts outside the first zone, in random order."""
        names = [name for name, host in self.world.hosts.items() if host.zone != self.world.zones[0]]
        self.world.random.shuffle(names)
        return names

    async def replace(self, names: list[str], end_s: float) -> None:
        """Let hosts drain, end them after `end_s`, and start replacements in their zones, under new ids."""
        hosts = [self.world.hosts[name] for name in names]
        for host in hosts:
            host.health = "terminating"
        self.changed += names
        await asyncio.sleep(end_s)
        for host in hosts:
            host.health = "terminated"
            host.die()
        self.changed += names
        replacements = [await self.world.new_host(zone=host.zone) for host in hosts]
        await asyncio.sleep(LISTED_AFTER_S)
        self.changed += [host.name for host in replacements]
