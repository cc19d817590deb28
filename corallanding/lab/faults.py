"""Fault injection. Each kind of fault is the coroutine of that name in `Faults`; `docs/scenarios.md` describes them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from .clients import LoadChange
from .host_faults import HostFaults
from .peers import PeerFaults
from .reporter import ReportMode
from .scenario import Fault, Scenario
from .stage import Stage
from .trace import clock, wall

UNTIL_TIMEOUT_MS = 60_000.0  # longest extension of a fault by its `until`
FLOOD_EXTENSION_S = 1.0  # length of each further flood while a fault is extended


def planned_load_changes(s: Scenario, slices: list[int]) -> list[LoadChange]:
    """Return the changes of load that faults make in the arrivals. slices: numbers of all slices in random order."""
    changes: list[LoadChange] = []
    for f in s.fault:
        at, length = f.at_s * 1000.0, f.for_s * 1000.0
        if f.kind == "hot_key":
            count = max(1, int(f.extra))
            changes.append(LoadChange(at, length, share=f.size if f.size < 1 else f.part, slices=tuple(slices[:count])))
        elif f.kind == "heavy_tail":
            changes.append(LoadChange(at, length, heavy=f.size, heavy_share=f.extra if f.extra < 1 else 0.02))
        elif f.kind == "grow":
            changes.append(LoadChange(at, s.seconds * 1000.0, more=max(1.0, f.size)))
    return changes


class Faults(HostFaults, PeerFaults):
    def __init__(self, lab: Stage) -> None:
        self.lab, self.observer = lab, lab.trace.observer("faults")
        self.draws_by_fault: dict[int, int] = {}
        self.pending_kills = sum(f.kind == "steward_kill" for f in lab.scenario.fault)

    def proxy_numbers(self, f: Fault) -> list[int]:
        return self.numbers(f, len(self.lab.forwarders))

    def zone(self, f: Fault) -> int:
        zones = len(self.lab.scenario.zones)
        return f.on[0] % zones if f.on else zones - 1

    async def play(self, f: Fault, begun: float) -> None:
        """Wait for the start of a fault, inject it and record its begin and end. begun: start of the run in ms."""
        await asyncio.sleep(max(0.0, begun + f.at_s * 1000.0 - clock()) / 1000.0)
        self.observer.record("fault", f.kind, "on", f.for_s)
        inject: Callable[[Fault], Awaitable[None]] = getattr(self, f.kind)
        await inject(f)
        self.pending_kills -= f.kind == "steward_kill"
        self.observer.record("fault", f.kind, "off", f.for_s)

    async def zone_cut(self, f: Fault) -> None:
        zone = self.zone(f)
        self.lab.net.cut.add(zone)
        await self.wait(f)
        self.lab.net.cut.discard(zone)

    async def one_sided(self, f: Fault) -> None:
        """Drop what is sent to a zone from the others, but not what it sends."""
        zone = self.zone(f)
        self.lab.net.unreachable.add(zone)
        await self.wait(f)
        self.lab.net.unreachable.discard(zone)

    async def slow_link(self, f: Fault) -> None:
        """Delay messages of a zone; size: mean ms, or units of 100 ms if below 10; extra: share of lost packets."""
        zone = self.zone(f)
        delay = f.size * 100.0 if f.size < 10 else f.size
        self.lab.net.slow[zone] = (delay, min(f.extra, 0.5) if f.extra < 1 else 0.0)
        await self.wait(f)
        self.lab.net.slow.pop(zone, None)

    async def zone_loss(self, f: Fault) -> None:
        """Kill all hosts of a zone and, if size exceeds 0.5, its proxies."""
        zone = self.zone(f)
        struck = [h for h in self.lab.hosts.values() if h.zone == zone and h.up]
        with_forwarders = f.size > 0.5 and len(self.lab.scenario.zones) > 1
        struck_proxies = [x for x in self.lab.forwarders if x.zone == zone] if with_forwarders else []
        for h in struck:
            h.kill()
            self.lab.registry(h, "removed")
        for x in struck_proxies:
            x.restart(True)
        await self.wait(f)
        for h in struck:
            await self.lab.bring_up(h)
        for x in struck_proxies:
            x.restart(False)

    async def counter_down(self, f: Fault) -> None:
        """Disconnect proxies from their controllers; they go on with their last tables."""
        struck = [self.lab.forwarders[k] for k in self.proxy_numbers(f)]
        for x in struck:
            x.cut_off = True
            x.links.cut()
        await self.wait(f)
        for x in struck:
            x.cut_off = False

    async def balancer_roll(self, f: Fault) -> None:
        """Restart proxies in batches. size: share of all proxies per batch; extra: seconds that each batch is down."""
        numbers = self.proxy_numbers(f)
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
        """Suspend proxies, or the controller (how "steward"), for `size` s (ms if above 20), every `extra` s."""
        end, stall = clock() + f.for_s * 1000.0, f.size / 1000.0 if f.size > 20 else f.size
        if f.how == "steward":
            while clock() < end:
                await self.lab.freeze_steward(stall)
                await asyncio.sleep(max(f.extra, 0.2))
            return
        struck = [self.lab.forwarders[k] for k in self.proxy_numbers(f)]
        while clock() < end:
            for x in struck:
                x.stall(True)
            await asyncio.sleep(stall)
            for x in struck:
                x.stall(False)
            await asyncio.sleep(max(f.extra, 0.2))

    async def steward_kill(self, f: Fault) -> None:
        """how "mid-move": wait until some proxies have received a message that others have not, for 3 s at most."""
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
        was_running = await self.lab.kill_steward(which)
        await self.wait(f)
        if was_running:  # else another fault has killed it and starts it again
            await self.lab.start_steward(which)

    async def upgrade(self, f: Fault) -> None:
        """Hand the controller over to a new process `size` times, spread evenly over the fault's duration."""
        for k in range(max(1, round(f.size))):
            if k:
                await asyncio.sleep(f.for_s / f.size)
            await self.lab.upgrade_steward()

    async def store_down(self, f: Fault) -> None:
        """Make writes to the store fail: another connection holds its write lock."""
        await self.lab.hold_store(f.for_s)

    async def roster_down(self, f: Fault) -> None:
        await self.lab.roster.fail(True)
        await self.wait(f)
        await self.lab.roster.fail(False)

    async def wrong_list(self, f: Fault) -> None:
        """how "stale": the list no longer changes; "ghost": it has `size` hosts that do not exist; "empty": it has no
        hosts; "blink": some hosts disappear and return every `extra` seconds; else they are missing."""
        roster, end = self.lab.roster, clock() + f.for_s * 1000.0
        struck = {h.number for h in self.target_hosts(f)}
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

    def extended(self, f: Fault, deadline: float) -> bool:
        """Return whether a fault continues beyond its duration: until the deadline (ms) at most, while a kill of the
        controller is pending or its present incarnation has not counted every outcome of reports in `until`."""
        if not f.until or clock() >= deadline:
            return False
        return self.pending_kills > 0 or not self.lab.reports_counted(f.until)

    async def change_reports(self, f: Fault, **how: object) -> None:
        """Change how hosts report for the fault's duration. how: fields of `ReportMode`."""
        struck = [h.number for h in self.target_hosts(f)]
        if self.lab.reports is None:
            return
        for n in struck:
            self.lab.reports.report_modes[n] = ReportMode(**how)  # type: ignore[arg-type]
        await self.wait(f)
        deadline = clock() + UNTIL_TIMEOUT_MS
        while self.extended(f, deadline):
            await asyncio.sleep(0.1)
        for n in struck:
            self.lab.reports.report_modes.pop(n, None)

    async def report_silent(self, f: Fault) -> None:
        await self.change_reports(f, silent=True)

    async def report_lying(self, f: Fault) -> None:
        """Report a fixed load whatever the real one: how "idle" 0.01, how "busy" `size`, 0.5 at least."""
        await self.change_reports(f, fixed_load=0.01 if f.how != "busy" else max(f.size, 0.5))

    async def report_stale(self, f: Fault) -> None:
        """Send reports that are `size` seconds old by their clocks, with the load `extra`."""
        await self.change_reports(f, delay_ms=f.size * 1000.0, fixed_load=f.extra)

    async def report_skew(self, f: Fault) -> None:
        """Shift the wall clocks of hosts by up to `size` seconds in either direction."""
        await self.change_reports(f, clock_skew_ms=f.size * 1000.0)

    async def report_loss(self, f: Fault) -> None:
        await self.change_reports(f, loss_share=min(f.size, 1.0))

    async def report_flood(self, f: Fault) -> None:
        """Send `size` times the usual volume of reports from a separate process, by the targets and unknown hosts."""
        if self.lab.reports is None:
            return
        struck = [h.number for h in self.target_hosts(f)]
        await self.lab.reports.flood(struck, f.size, f.for_s)
        deadline = clock() + UNTIL_TIMEOUT_MS
        while self.extended(f, deadline):
            await self.lab.reports.flood(struck, f.size, FLOOD_EXTENSION_S)

    async def hot_key(self, f: Fault) -> None:
        await self.wait(f)

    async def heavy_tail(self, f: Fault) -> None:
        await self.wait(f)

    async def give_up(self, f: Fault) -> None:
        """Divide the timeouts of clients by `size`."""
        self.lab.clients.patience = 1.0 / max(f.size, 1.0)
        await self.wait(f)
        self.lab.clients.patience = 1.0
