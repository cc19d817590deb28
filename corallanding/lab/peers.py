"""Faults between stewards: their ways, and stewards that are stopped, killed, new, or go for good."""

from __future__ import annotations

import asyncio

from .drawn import FaultTargets
from .scenario import Fault
from .ways import Trouble


class PeerFaults(FaultTargets):
    """`on` names stewards; without it a part of them, drawn by the run's seed."""

    def stewards(self, f: Fault) -> list[int]:
        return self.numbers(f, self.lab.scenario.numbers)

    async def ail(self, f: Fault, trouble: Trouble, pairs: list[tuple[int, int]]) -> None:
        ways = self.lab.ways
        if ways is None:
            return  # there are no ways between stewards in this scenario: `Scenario` refuses the fault
        ways.set(pairs, trouble, True)
        await asyncio.sleep(f.for_s)
        ways.set(pairs, trouble, False)

    def around(self, f: Fault) -> list[tuple[int, int]]:
        assert self.lab.ways is not None
        some = set(self.stewards(f))
        return [(a, b) for a, b in self.lab.ways.every() if a in some or b in some]

    async def peer_cut(self, f: Fault) -> None:
        """Between `on` and the rest; how "one-way": nothing from `on` reaches the rest, but all the other way."""
        assert self.lab.ways is not None
        await self.ail(f, Trouble(cut=True), self.lab.ways.across(self.stewards(f), f.how == "one-way"))

    async def peer_loss(self, f: Fault) -> None:
        """`size`: share of the datagrams to and from `on`."""
        await self.ail(f, Trouble(loss=min(f.size, 1.0)), self.around(f))

    async def peer_slow(self, f: Fault) -> None:
        """`size`: mean ms of the delay; later ones may arrive first."""
        await self.ail(f, Trouble(mean=f.size), self.around(f))

    async def peer_repeat(self, f: Fault) -> None:
        """`size`: share that comes twice, each `extra` ms late on the mean, so that they also change order."""
        await self.ail(f, Trouble(repeat=min(f.size, 1.0), mean=max(f.extra, 1.0)), self.around(f))

    async def steward_stop(self, f: Fault) -> None:
        """Stopped and woken, as by a debugger or a machine that swaps."""
        await asyncio.gather(*(self.lab.freeze_steward(f.for_s, n) for n in self.stewards(f)))

    async def steward_restart(self, f: Fault) -> None:
        """kill -9 and a new process at once, faster than anyone notices; `for_s` is not waited for."""
        for n in self.stewards(f):
            if await self.lab.kill_steward(n):
                self.lab.spawn(self.lab.start_steward(n))

    async def steward_grow(self, f: Fault) -> None:
        """Stewards that are not there come, one after the other over `for_s`."""
        new = [n for n in self.stewards(f) if n not in self.lab.running]
        for n in new:
            await self.lab.start_steward(n)
            await asyncio.sleep(f.for_s / len(new))

    async def steward_shrink(self, f: Fault) -> None:
        """SIGTERM, for good, one after the other over `for_s`."""
        gone = self.stewards(f)
        for n in gone:
            await self.lab.end_steward(n)
            await asyncio.sleep(f.for_s / len(gone))
