"""What goes wrong with hosts: they die, drain, are replaced, grow, hang, slow down, answer in vain."""

from __future__ import annotations

import asyncio

from .drawn import FaultTargets
from .host import Host, release
from .scenario import Fault
from .trace import clock


class HostFaults(FaultTargets):
    """`on` names hosts; without it a part of those that are up, drawn by the run's seed."""

    def some(self, f: Fault, share: float | None = None) -> list[Host]:
        """The hosts that a fault strikes: named, or a share of those up, drawn by the run's seed."""
        up = [h for h in self.lab.hosts.values() if h.up and not h.draining]
        if f.on:
            return [h for h in up if h.number in f.on]
        count = max(1, round(len(up) * (f.part if share is None else share)))
        return [up[i] for i in self.draw_order(f, len(up))[:count]]

    async def wait(self, f: Fault) -> None:
        await asyncio.sleep(f.for_s)

    async def crash(self, f: Fault) -> None:
        struck = self.some(f)
        for h in struck:
            h.kill()
            self.lab.registry(h, "removed")
        await self.wait(f)
        for h in struck:
            await self.lab.bring_up(h)

    async def release(self, f: Fault) -> None:
        """size: number of a set. how "hosts": hosts that are new from here on serve it; "current": it is to be current
        at all stewards, by their configuration."""
        if f.how == "hosts":
            self.lab.kept.serving = int(f.size)
        else:
            self.lab.want(int(f.size))

    async def upgrade_hosts(self, f: Fault) -> None:
        """In place, under the same address: killed and started anew, serving set `size`, one after the other."""
        struck = self.some(f)
        self.lab.kept.serving = int(f.size)
        for h in struck:
            h.kill()
            await asyncio.sleep(min(f.extra, 5.0) / 4.0)
            await self.lab.bring_up(h)
            await asyncio.sleep(f.for_s / len(struck))

    async def retire(self, hosts: list[Host], drain_s: float, successors: bool) -> None:
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
        old = self.some(f, f.part)
        batch = max(1, round(len(old) * min(f.size, 1.0)))
        batches = [old[k : k + batch] for k in range(0, len(old), batch)]
        gap = max(0.0, f.for_s / len(batches) - f.extra)
        for hosts in batches:
            await self.retire([h for h in hosts if h.up], f.extra, successors=True)
            await asyncio.sleep(gap)

    async def preempt(self, f: Fault) -> None:
        await self.retire(self.some(f), f.extra, successors=True)

    async def drain(self, f: Fault) -> None:
        await self.retire(self.some(f), f.for_s, successors=False)

    async def shrink(self, f: Fault) -> None:
        await self.retire(self.some(f, 1.0 - 1.0 / max(f.size, 1.0)), f.for_s, successors=False)

    async def grow(self, f: Fault) -> None:
        up = [h for h in self.lab.hosts.values() if h.up]
        for k in range(round(len(up) * (max(f.size, 1.0) - 1.0))):
            await self.lab.add_host(up[k % len(up)].zone, up[k % len(up)].spec)

    async def hang(self, f: Fault) -> None:
        struck = self.some(f)
        for h in struck:
            h.hung = True
        await self.wait(f)
        for h in struck:
            h.hung = False

    async def slow(self, f: Fault) -> None:
        struck = self.some(f)
        for h in struck:
            h.slowness = max(1.0, f.size)
        await self.wait(f)
        for h in struck:
            h.slowness = 1.0

    async def neighbour(self, f: Fault) -> None:
        struck, end = self.some(f), clock() + f.for_s * 1000.0
        while clock() < end:
            for h in struck:
                h.taken_share = 0.0 if h.taken_share else min(f.size, 0.95)
            await asyncio.sleep(min(max(f.extra, 0.1), 5.0))
        for h in struck:
            h.taken_share = 0.0

    async def pauses(self, f: Fault) -> None:
        struck, end = self.some(f), clock() + f.for_s * 1000.0
        while clock() < end:
            for on in (True, False):
                for h in struck:
                    release(h, on)
                await asyncio.sleep(f.size / 1000.0 if on else max(f.extra, 0.05))

    async def answer_lost(self, f: Fault) -> None:
        struck = self.some(f)
        for h in struck:
            self.lab.net.answers_lost[h.number] = min(f.size, 1.0)
        await self.wait(f)
        for h in struck:
            self.lab.net.answers_lost.pop(h.number, None)
