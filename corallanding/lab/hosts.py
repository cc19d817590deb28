"""The hosts of a run, and their entries in the host list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import numpy as np

from .host import Host, HostSpec
from .roster import Roster
from .scenario import Scenario
from .trace import Trace, wall


class Hosts:
    """All hosts of a run.

    zones: zone of each host, shared with the proxies. serving: release that hosts started from now on serve; 0: they
    report no versions. roster: returns the host list at each use, because the emulator replaces it later.
    """

    def __init__(self, scenario: Scenario, trace: Trace, roster: Callable[[], Roster]) -> None:
        self.scenario, self.trace, self.roster = scenario, trace, roster
        self.hosts: dict[int, Host] = {}
        self.zones: dict[int, int] = {}
        self.serving = scenario.pins.current if scenario.pins else 0

    def spec(self, kind: int) -> HostSpec:
        """Return the capacity of the scenario's kind number `kind`."""
        k, r = list(self.scenario.host.values())[kind], self.scenario.rules
        return HostSpec(
            k.cores,
            k.speed,
            k.waiting_room,
            r.cold_ms,
            r.cold_from,
            k.warm_gain,
            overload_window_ms=r.fall_ms,
            max_overload_ratio=r.fall_multiple,
        )

    async def first(self) -> None:
        """Start the initial hosts: of each kind its share, spread over the zones in turn."""
        s = self.scenario
        shares = np.array([k.share for k in s.host.values()])
        counts = np.floor(shares / shares.sum() * s.fleet.hosts).astype(int)
        counts[0] += s.fleet.hosts - counts.sum()
        kinds = [k for k, n in enumerate(counts) for _ in range(n)]
        for number, kind in enumerate(kinds):
            await self.add(number % len(s.zones), self.spec(kind), False, None)

    async def add(self, zone: int, spec: HostSpec, cold: bool, number: int | None) -> Host:
        """Start a new host; without `number` it gets the next one."""
        number = len(self.hosts) if number is None else number
        h = self.hosts[number] = Host(number, zone, spec, self.trace)
        self.zones[number] = zone
        await self.bring_up(h, cold)
        return h

    async def bring_up(self, h: Host, cold: bool) -> None:
        """Start a host and list it as up, unless it has crashed by overload: then it stays down."""
        if h.crashed_by_overload:
            return
        versions = self.versions(self.serving)
        h.versions = {n: [versions[name]] for n, name in enumerate(self.scenario.operation) if name in versions}
        await h.start(cold, wall())
        self.tell(h, "up", 0.0 if not cold else self.scenario.roster.add_ms)

    def tell(self, h: Host, state: str, late: float | None = None) -> None:
        """Change a host's entry in the host list after `late` ms; None: after the scenario's delay for removals."""
        late = self.scenario.roster.notice_ms if late is None else late
        kind = list(self.scenario.host).index(self.kind_of(h)) if self.kind_of(h) else 0
        row = {
            "state": state,
            "address": h.address,
            "zone": h.zone,
            "kind": kind,
            "cell": h.zone,
            "weight": 1.0,
            "started": h.started,
        }
        if h.versions:
            row["versions"] = {name: h.versions[n] for n, name in enumerate(self.scenario.operation)}
        if late <= 0:
            self.roster().put(h.number, **row)
        else:
            asyncio.get_running_loop().call_later(late / 1000.0, lambda: self.roster().put(h.number, **row))

    def versions(self, number: int) -> dict[str, int]:
        """Return the versions of a release, by request class."""
        return next((dict(r.versions) for r in self.scenario.release.values() if r.number == number), {})

    def kind_of(self, h: Host) -> str:
        """Return the name of a host's kind, as far as cores and speed tell it; else an empty string."""
        for name, k in self.scenario.host.items():
            if (k.cores, k.speed) == (h.spec.cores, h.spec.speed):
                return name
        return ""
