"""What goes wrong, when, and to whom. Each kind is one function of the running lab; `docs/scenarios.md` lists them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from .clients import Hot
from .host_faults import HostFaults
from .peers import PeerFaults
from .reporter import Way
from .scenario import Fault, Scenario
from .stage import Stage
from .trace import clock, wall

UNTIL_TIMEOUT_MS = 60_000.0  # the longest extension of a fault by its `until`
FLOOD_EXTENSION_S = 1.0


def hots(s: Scenario, slices: list[int]) -> list[Hot]:
    """Faults that are drawn into the arrivals. slices: numbers in an order drawn by the run's seed."""
    out = []
    for f in s.fault:
        at, length = f.at_s * 1000.0, f.for_s * 1000.0
        if f.kind == "hot_key":
            count = max(1, int(f.extra))
            out.append(Hot(at, length, share=f.size if f.size < 1 else f.part, slices=tuple(slices[:count])))
        elif f.kind == "heavy_tail":
            out.append(Hot(at, length, heavy=f.size, heavy_share=f.extra if f.extra < 1 else 0.02))
        elif f.kind == "grow":
            out.append(Hot(at, s.seconds * 1000.0, more=max(1.0, f.size)))
    return out


class Faults(HostFaults, PeerFaults):
    def __init__(self, lab: Stage) -> None:
        self.lab, self.observer = lab, lab.trace.observer("faults")
        self.draws_by_fault: dict[int, int] = {}
        self.pending_kills = sum(f.kind == "steward_kill" for f in lab.scenario.fault)

    def forwarders(self, f: Fault) -> list[int]:
        return self.numbers(f, len(self.lab.forwarders))

    def zone(self, f: Fault) -> int:
        zones = len(self.lab.scenario.zones)
        return f.on[0] % zones if f.on else zones - 1

    async def play(self, f: Fault, begun: float) -> None:
        await asyncio.sleep(max(0.0, begun + f.at_s * 1000.0 - clock()) / 1000.0)
        self.observer.record("fault", f.kind, "on", f.for_s)
        acts: Callable[[Fault], Awaitable[None]] = getattr(self, f.kind)
        await acts(f)
        self.pending_kills -= f.kind == "steward_kill"
        self.observer.record("fault", f.kind, "off", f.for_s)

    # ---- ways ------------------------------------------------------------------------------------------

    async def zone_cut(self, f: Fault) -> None:
        zone = self.zone(f)
        self.lab.net.cut.add(zone)
        await self.wait(f)
        self.lab.net.cut.discard(zone)

    async def one_sided(self, f: Fault) -> None:
        zone = self.zone(f)
        self.lab.net.unreachable.add(zone)
        await self.wait(f)
        self.lab.net.unreachable.discard(zone)

    async def slow_link(self, f: Fault) -> None:
        zone = self.zone(f)
        delay = f.size * 100.0 if f.size < 10 else f.size
        self.lab.net.slow[zone] = (delay, min(f.extra, 0.5) if f.extra < 1 else 0.0)
        await self.wait(f)
        self.lab.net.slow.pop(zone, None)

    async def zone_loss(self, f: Fault) -> None:
        zone = self.zone(f)
        struck = [h for h in self.lab.hosts.values() if h.zone == zone and h.up]
        with_forwarders = f.size > 0.5 and len(self.lab.scenario.zones) > 1
        gone = [x for x in self.lab.forwarders if x.zone == zone] if with_forwarders else []
        for h in struck:
            h.kill()
            self.lab.registry(h, "removed")
        for x in gone:
            x.restart(True)
        await self.wait(f)
        for h in struck:
            await self.lab.bring_up(h)
        for x in gone:
            x.restart(False)

    # ---- forwarders and stewards -----------------------------------------------------------------------

    async def counter_down(self, f: Fault) -> None:
        struck = [self.lab.forwarders[k] for k in self.forwarders(f)]
        for x in struck:
            x.cut_off = True
            x.links.cut()
        await self.wait(f)
        for x in struck:
            x.cut_off = False

    async def balancer_roll(self, f: Fault) -> None:
        numbers = self.forwarders(f)
        batch = max(1, round(len(self.lab.forwarders) * min(f.size, 1.0)))
        for k in range(0, len(numbers), batch):
            struck = [self.lab.forwarders[n] for n in numbers[k : k + batch]]
            for x in struck:
                x.restart(True)
            await asyncio.sleep(min(f.extra, 5.0))
            for x in struck:
                x.restart(False)
            await asyncio.sleep(max(0.2, f.for_s * batch / len(numbers) - f.extra))

    async def balancer_stall(self, f: Fault) -> None:
        end, stall = clock() + f.for_s * 1000.0, f.size / 1000.0 if f.size > 20 else f.size
        if f.how == "steward":
            while clock() < end:
                await self.lab.freeze_steward(stall)
                await asyncio.sleep(max(f.extra, 0.2))
            return
        struck = [self.lab.forwarders[k] for k in self.forwarders(f)]
        while clock() < end:
            for x in struck:
                x.stall(True)
            await asyncio.sleep(stall)
            for x in struck:
                x.stall(False)
            await asyncio.sleep(max(f.extra, 0.2))

    async def steward_kill(self, f: Fault) -> None:
        """how "mid-move": once one forwarder has got lines that others have not, or after three seconds."""
        before = {x.number: x.seq for x in self.lab.forwarders}
        end = clock() + 3_000.0 if f.how == "mid-move" else 0.0
        while clock() < end:
            ahead = [x.seq > before[x.number] for x in self.lab.forwarders if x.joined]
            if any(ahead) and not all(ahead):
                break
            if all(ahead):
                before = {x.number: x.seq for x in self.lab.forwarders}
            await asyncio.sleep(0.002)
        which = f.on[0] % self.lab.scenario.stewards if f.on else 0
        died = await self.lab.kill_steward(which)
        await self.wait(f)
        if died:  # else another fault has killed it, and starts it again
            await self.lab.start_steward(which)

    async def upgrade(self, f: Fault) -> None:
        """size handovers to a new process, spread evenly over the time."""
        for k in range(max(1, round(f.size))):
            if k:
                await asyncio.sleep(f.for_s / f.size)
            await self.lab.upgrade_steward()

    async def store_down(self, f: Fault) -> None:
        """The store's file cannot be written: another process holds its write lock for the time."""
        await self.lab.hold_store(f.for_s)

    # ---- the list --------------------------------------------------------------------------------------

    async def roster_down(self, f: Fault) -> None:
        await self.lab.roster.fail(True)
        await self.wait(f)
        await self.lab.roster.fail(False)

    async def wrong_list(self, f: Fault) -> None:
        roster, end = self.lab.roster, clock() + f.for_s * 1000.0
        struck = {h.number for h in self.some(f)}
        if f.how == "stale":
            roster.frozen = {h: dict(r) for h, r in roster.rows.items()}
        elif f.how == "ghost":
            for k in range(max(1, int(f.size))):
                number = 1_000_000 + k
                row = {"state": "up", "address": "127.0.0.1:1", "zone": 0, "started": wall()}
                roster.ghosts[number] = {"host": number, **row}
        else:
            roster.dropped = set(roster.rows) if f.how == "empty" else struck
        roster.changed()
        while clock() < end:
            await asyncio.sleep(min(max(f.extra, 0.2), max(0.01, (end - clock()) / 1000.0)))
            if f.how == "blink":
                roster.dropped = set() if roster.dropped else struck
                roster.changed()
        roster.dropped, roster.ghosts, roster.frozen = set(), {}, None
        roster.changed()

    # ---- load reports -----------------------------------------------------------------------------------

    def extended(self, f: Fault, deadline: float) -> bool:
        """Whether a fault goes on past its own length, until the deadline at the latest: a kill of the steward is still
        to come or to be recovered from, or its present life has not counted every end of reports in `until`."""
        if not f.until or clock() >= deadline:
            return False
        return self.pending_kills > 0 or not self.lab.reports_counted(f.until)

    async def reporting(self, f: Fault, **how: object) -> None:
        """Hosts report in another way for a while."""
        struck = [h.number for h in self.some(f)]
        if self.lab.reports is None:
            return
        for n in struck:
            self.lab.reports.ways[n] = Way(**how)  # type: ignore[arg-type]
        await self.wait(f)
        deadline = clock() + UNTIL_TIMEOUT_MS
        while self.extended(f, deadline):
            await asyncio.sleep(0.1)
        for n in struck:
            self.lab.reports.ways.pop(n, None)

    async def report_silent(self, f: Fault) -> None:
        await self.reporting(f, silent=True)

    async def report_lying(self, f: Fault) -> None:
        """how "idle" or "busy"; it says so whatever its load."""
        await self.reporting(f, says=0.01 if f.how != "busy" else max(f.size, 0.5))

    async def report_stale(self, f: Fault) -> None:
        """What it says is `size` seconds old, in figures and clocks; it is busy there, by its size of old."""
        await self.reporting(f, late=f.size * 1000.0, says=f.extra)

    async def report_skew(self, f: Fault) -> None:
        """Wall clocks off by up to `size` seconds either way."""
        await self.reporting(f, skew=f.size * 1000.0)

    async def report_loss(self, f: Fault) -> None:
        await self.reporting(f, loss=min(f.size, 1.0))

    async def report_flood(self, f: Fault) -> None:
        """`size` times the usual volume of reports, from a process of its own, by the struck hosts and by strangers."""
        if self.lab.reports is None:
            return
        struck = [h.number for h in self.some(f)]
        await self.lab.reports.flood(struck, f.size, f.for_s)
        deadline = clock() + UNTIL_TIMEOUT_MS
        while self.extended(f, deadline):
            await self.lab.reports.flood(struck, f.size, FLOOD_EXTENSION_S)

    # ---- in the arrivals -------------------------------------------------------------------------------

    async def hot_key(self, f: Fault) -> None:
        await self.wait(f)

    async def heavy_tail(self, f: Fault) -> None:
        await self.wait(f)

    async def give_up(self, f: Fault) -> None:
        self.lab.clients.patience = 1.0 / max(f.size, 1.0)
        await self.wait(f)
        self.lab.clients.patience = 1.0
