"""Faults between controllers: their links, and controllers that are suspended, restarted, added or removed."""

from __future__ import annotations

import asyncio

from .drawn import FaultTargets
from .scenario import Fault
from .ways import LinkFault


class PeerFaults(FaultTargets):
    """Faults of controllers. `on` names controllers; without it the share `part` of them is drawn."""

    def controller_numbers(self, f: Fault) -> list[int]:
        """Return the numbers of the controllers that a fault applies to."""
        return self.numbers(f, self.lab.scenario.numbers)

    async def apply_link_fault(self, f: Fault, link_fault: LinkFault, pairs: list[tuple[int, int]]) -> None:
        """Apply a fault to links between controllers for the fault's duration."""
        relay = self.lab.peer_relay
        if relay is None:
            return  # no links between controllers in this scenario: `Scenario` rejects the fault
        relay.set(pairs, link_fault, True)
        await asyncio.sleep(f.for_s)
        relay.set(pairs, link_fault, False)

    def links_of(self, f: Fault) -> list[tuple[int, int]]:
        """Return the links from and to the fault's controllers."""
        assert self.lab.peer_relay is not None
        targets = set(self.controller_numbers(f))
        return [(a, b) for a, b in self.lab.peer_relay.all_links() if a in targets or b in targets]

    async def peer_cut(self, f: Fault) -> None:
        """Partition `on` from the rest; how "one-way": only messages from `on` to the rest are dropped."""
        assert self.lab.peer_relay is not None
        await self.apply_link_fault(
            f, LinkFault(cut=True), self.lab.peer_relay.links_across(self.controller_numbers(f), f.how == "one-way")
        )

    async def peer_loss(self, f: Fault) -> None:
        """Lose the share `size` of the datagrams to and from `on`."""
        await self.apply_link_fault(f, LinkFault(loss=min(f.size, 1.0)), self.links_of(f))

    async def peer_slow(self, f: Fault) -> None:
        """Delay datagrams by `size` ms on average; they may be reordered."""
        await self.apply_link_fault(f, LinkFault(mean=f.size), self.links_of(f))

    async def peer_repeat(self, f: Fault) -> None:
        """Duplicate the share `size` of datagrams; delay and so reorder all by `extra` ms on average."""
        await self.apply_link_fault(f, LinkFault(repeat=min(f.size, 1.0), mean=max(f.extra, 1.0)), self.links_of(f))

    async def steward_stop(self, f: Fault) -> None:
        """Suspend and resume controllers, as a debugger or a machine that swaps does."""
        await asyncio.gather(*(self.lab.freeze_steward(f.for_s, n) for n in self.controller_numbers(f)))

    async def steward_restart(self, f: Fault) -> None:
        """Kill controllers and start new processes at once, before others detect the failure; ignores `for_s`."""
        for n in self.controller_numbers(f):
            if await self.lab.kill_steward(n):
                self.lab.spawn(self.lab.start_steward(n))

    async def steward_grow(self, f: Fault) -> None:
        """Start controllers that are not running yet, one after the other over `for_s`."""
        new = [n for n in self.controller_numbers(f) if n not in self.lab.running]
        for n in new:
            await self.lab.start_steward(n)
            await asyncio.sleep(f.for_s / len(new))

    async def steward_shrink(self, f: Fault) -> None:
        """Shut controllers down for good with SIGTERM, one after the other over `for_s`."""
        numbers = self.controller_numbers(f)
        for n in numbers:
            await self.lab.end_steward(n)
            await asyncio.sleep(f.for_s / len(numbers))
