"""Faults of hosts: crashes, drains, replacement, resizing of the fleet, hangs, slowness and lost responses."""

from __future__ import annotations

import asyncio

from .drawn import FaultTargets
from .host import Host, set_paused
from .scenario import Fault
from .trace import clock


class HostFaults(FaultTargets):
    """Faults of hosts. `on` names hosts; without it the share `part` of the hosts that are up is drawn."""

    def target_hosts(self, f: Fault, share: float | None = None) -> list[Host]:
        """Return the hosts that a fault applies to: those named, or a drawn share of those that are up."""
        up = [h for h in self.lab.hosts.values() if h.up and not h.draining]
        if f.on:
            return [h for h in up if h.number in f.on]
        count = max(1, round(len(up) * (f.part if share is None else share)))
        return [up[i] for i in self.draw_order(f, len(up))[:count]]

    async def wait(self, f: Fault) -> None:
        """Wait for the duration of a fault."""
        await asyncio.sleep(f.for_s)

    async def crash(self, f: Fault) -> None:
        """Kill hosts; start them again at the end."""
        struck = self.target_hosts(f)
        for h in struck:
            h.kill()
            self.lab.registry(h, "removed")
        await self.wait(f)
        for h in struck:
            await self.lab.bring_up(h)

    async def release(self, f: Fault) -> None:
        """Roll out release number `size`.

        how "hosts": hosts started from now on serve it; else it becomes current at all controllers by configuration.
        """
        if f.how == "hosts":
            self.lab.host_fleet.serving = int(f.size)
        else:
            self.lab.set_current_release(int(f.size))

    async def upgrade_hosts(self, f: Fault) -> None:
        """Restart hosts one after the other at the same address, serving release `size`."""
        struck = self.target_hosts(f)
        self.lab.host_fleet.serving = int(f.size)
        for h in struck:
            h.kill()
            await asyncio.sleep(min(f.extra, 5.0) / 4.0)
            await self.lab.bring_up(h)
            await asyncio.sleep(f.for_s / len(struck))

    async def retire(self, hosts: list[Host], drain_s: float, successors: bool) -> None:
        """Drain hosts for some seconds, then kill them; with `successors`, start as many new ones first."""
        for h in hosts:
            self.lab.registry(h, "draining")
        if successors:
            for h in hosts:
                await self.lab.add_host(h.zone, h.spec)
        await asyncio.sleep(drain_s)
        for h in hosts:
            h.draining = True
            h.kill()
            self.lab.registry(h, "removed")

    async def deploy(self, f: Fault) -> None:
        """Replace hosts in batches. size: share per batch; extra: seconds of draining."""
        old_hosts = self.target_hosts(f, f.part)
        batch = max(1, round(len(old_hosts) * min(f.size, 1.0)))
        batches = [old_hosts[k : k + batch] for k in range(0, len(old_hosts), batch)]
        gap = max(0.0, f.for_s / len(batches) - f.extra)
        for hosts in batches:
            await self.retire([h for h in hosts if h.up], f.extra, successors=True)
            await asyncio.sleep(gap)

    async def preempt(self, f: Fault) -> None:
        """Replace hosts at once after `extra` seconds of draining."""
        await self.retire(self.target_hosts(f), f.extra, successors=True)

    async def drain(self, f: Fault) -> None:
        """Drain hosts over the fault's duration without replacement."""
        await self.retire(self.target_hosts(f), f.for_s, successors=False)

    async def shrink(self, f: Fault) -> None:
        """Divide the number of hosts by `size`."""
        await self.retire(self.target_hosts(f, 1.0 - 1.0 / max(f.size, 1.0)), f.for_s, successors=False)

    async def grow(self, f: Fault) -> None:
        """Multiply the number of hosts by `size`."""
        up = [h for h in self.lab.hosts.values() if h.up]
        for k in range(round(len(up) * (max(f.size, 1.0) - 1.0))):
            await self.lab.add_host(up[k % len(up)].zone, up[k % len(up)].spec)

    async def hang(self, f: Fault) -> None:
        """Let hosts accept requests without responding."""
        struck = self.target_hosts(f)
        for h in struck:
            h.hung = True
        await self.wait(f)
        for h in struck:
            h.hung = False

    async def slow(self, f: Fault) -> None:
        """Make hosts slower by the factor `size`."""
        struck = self.target_hosts(f)
        for h in struck:
            h.slowness = max(1.0, f.size)
        await self.wait(f)
        for h in struck:
            h.slowness = 1.0

    async def neighbour(self, f: Fault) -> None:
        """Take the share `size` of the hosts' speed, on and off every `extra` seconds, as a noisy neighbour does."""
        struck, end = self.target_hosts(f), clock() + f.for_s * 1000.0
        while clock() < end:
            for h in struck:
                h.taken_share = 0.0 if h.taken_share else min(f.size, 0.95)
            await asyncio.sleep(min(max(f.extra, 0.1), 5.0))
        for h in struck:
            h.taken_share = 0.0

    async def pauses(self, f: Fault) -> None:
        """Pause hosts for `size` ms at intervals of `extra` seconds, as garbage collection does."""
        struck, end = self.target_hosts(f), clock() + f.for_s * 1000.0
        while clock() < end:
            for is_paused in (True, False):
                for h in struck:
                    set_paused(h, is_paused)
                await asyncio.sleep(f.size / 1000.0 if is_paused else max(f.extra, 0.05))

    async def answer_lost(self, f: Fault) -> None:
        """Lose the share `size` of the hosts' responses."""
        struck = self.target_hosts(f)
        for h in struck:
            self.lab.net.answers_lost[h.number] = min(f.size, 1.0)
        await self.wait(f)
        for h in struck:
            self.lab.net.answers_lost.pop(h.number, None)
