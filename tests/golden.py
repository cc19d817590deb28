"""Generated days for the module: a small fleet that answers to its orders, every kind of event, all by seeds.

`play` gives a running checksum of all actions after each step; `tests/golden/days.json` holds them as the module gave
them before its turns were made to follow what changed. A day that differs names the first step that does.
"""

from __future__ import annotations

import dataclasses
import json
import random
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from corallanding import interface as api
from corallanding.interface import stored_names

KEPT = Path(__file__).parent / "golden" / "days.json"
STEPS, EVERY, BEAT = 2_400, 16, 125.0
QUOTE = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
CLAIM = api.RequestClass("claim", api.Idempotency.SIDE_EFFECTING, "all", 5000, 2, 0.2, 1500, 5000, is_write=True)
VARIANTS: list[dict[str, Any]] = [
    {},
    {"polls_host_list": True, "only_drains_bind": True},
    {"admission": "fraction", "caches_keys": True, "max_messages": 12, "message_window_ms": 10_000.0},
    {"may_check_health": False, "reports_per_second": 60.0},
    {"zone_count": 3, "propagation_ms": 600.0, "max_queued_lines": 900.0},
    {"admission": "fraction", "only_drains_bind": True, "overload_factor": 2.0, "warm_up_ms": 4000.0},
]
DAYS = [
    (seed, VARIANTS[seed % len(VARIANTS)], (6, 14, 40, 25)[seed % 4], (12, 30, 90, 160)[seed // 2 % 4])
    for seed in range(16)
]


@dataclasses.dataclass
class Machine:
    entry: api.HostEntry
    speed: float
    dead: bool = False
    hung: bool = False


def frozen_text(action: api.Action) -> str:
    """An action as text under its stored names, so that renaming a class or a field changes no golden file."""
    fields = stored_names.FIELDS[type(action)]
    values = ", ".join(f"{stored}={getattr(action, attribute)!r}" for stored, attribute in fields.items())
    return f"{stored_names.NAMES[type(action)]}({values})".replace("<RetryMode.", "<Retry.")


class Day:
    def __init__(
        self, decider: Callable[[api.Settings, int], Any], seed: int, over: dict[str, Any], hosts: int, slices: int
    ) -> None:
        self.r = random.Random(seed)
        base = {
            "request_classes": (QUOTE, CLAIM),
            "slice_count": slices,
            "proxy_count": 6,
            "max_queued_lines": 20_000.0,
            "may_check_health": True,
            "warm_up_ms": 16_000.0,
            "reports_per_second": 400.0,
        }
        self.set = api.Settings(**{**base, **over})
        self.module, self.now, self.slices = decider(self.set, seed), 100_000.0, slices
        self.fleet: dict[int, Machine] = {}
        self.tables: dict[int, dict[int, float]] = {s: {} for s in range(slices)}
        self.charge = set(range(slices))
        self.timers: list[tuple[float, int]] = []
        self.out: dict[int, list[int]] = {p: [] for p in range(6)}
        self.probes: list[int] = []
        self.cordons: set[int] = set()
        self.scale = (9.0, 16.0, 28.0)[seed % 3]  # invocations a second a host: idle, busy, more than it can
        self.demand = [self.r.paretovariate(1.3) * 3.0 for _ in range(slices)]
        self.version, self.crc, self.actions = 1, 0, 0
        for h in range(hosts):
            self.add(h, -50_000.0)
        events: list[api.Event] = [api.HostListUpdate(api.HostListKind.SAVED, 1, self.entries())]
        for s in range(slices):
            events.append(api.SliceOwnershipChange(s, True))
            if self.r.random() < 0.7:
                self.tables[s] = {self.r.randrange(hosts): 1.0}
                events += [api.StoredWeight(s, h, w) for h, w in self.tables[s].items()]
        events += [api.ProxyJoined(p, p % self.set.zone_count, 10.0, True) for p in self.out]
        self.step(events)

    def add(self, h: int, since: float) -> None:
        kind = self.r.randrange(3)
        entry = api.HostEntry(h, h % self.set.zone_count, kind, weight=(1.0, 2.0, 0.5)[kind], online_since=since)
        self.fleet[h] = Machine(entry, 150.0 * (1.0 + kind) * self.r.uniform(0.8, 1.3))

    def entries(self) -> tuple[api.HostEntry, ...]:
        return tuple(m.entry for m in self.fleet.values())

    def step(self, events: list[api.Event]) -> None:
        for a in self.module.step(self.now, events):
            self.actions += 1
            self.crc = zlib.crc32(frozen_text(a).encode(), self.crc)
            match a:
                case api.StartTimer():
                    self.timers.append((self.now + a.delay_ms, a.timer))
                case api.CheckHealth():
                    self.probes.append(a.host)
                case api.SetWeight():
                    row = self.tables[a.slice]
                    row.pop(a.host, None)
                    if a.weight > 0:
                        row[a.host] = a.weight
                case api.PublishVersion():
                    for marks in self.out.values():
                        marks.append(a.version)
                case api.Cordon():
                    (self.cordons.add if a.is_cordoned else self.cordons.discard)(a.host)

    def listed(self, *entries: api.HostEntry, form: api.HostListKind = api.HostListKind.CHANGES) -> api.HostListUpdate:
        self.version += 1
        return api.HostListUpdate(form, self.version, entries)

    def change(self, h: int, **what: Any) -> api.HostListUpdate:
        m = self.fleet[h]
        m.entry = dataclasses.replace(m.entry, **what)
        return self.listed(m.entry)

    def fault(self) -> list[api.Event]:
        r, h = self.r, self.r.choice(list(self.fleet))
        m = self.fleet[h]
        match r.randrange(16):
            case 0 | 1:
                return [self.change(h, state="draining" if m.entry.state == "up" else "up")]
            case 2:
                m.dead = True
                return []
            case 3:
                m.hung = not m.hung
                return []
            case 4 | 5:
                m.dead = m.hung = False
                return [self.change(h, state="up", online_since=self.now - r.uniform(0, 2000))]
            case 6:
                return [self.change(h, weight=r.choice((0.5, 1.0, 1.7, 3.0)))]
            case 7 if len(self.fleet) > 4:
                self.fleet.pop(h)
                return [self.listed(dataclasses.replace(m.entry, state="removed"))]
            case 8:
                new = max(self.fleet) + 1
                self.add(new, self.now - r.choice((500.0, 60_000.0)))
                return [self.listed(self.fleet[new].entry)]
            case 9:
                return [self.listed(*[e for e in self.entries() if r.random() < 0.6], form=api.HostListKind.FULL)]
            case 10:
                return [self.listed(*self.entries(), form=api.HostListKind.FULL)]
            case 11:
                return [self.listed(form=r.choice((api.HostListKind.FAILED, api.HostListKind.FULL)))]
            case 12:
                s = r.randrange(self.slices)
                if s in self.charge:
                    self.charge.discard(s)
                    return [api.SliceOwnershipChange(s, False)]
                self.charge.add(s)
                self.tables[s] = {x: r.choice((1.0, 0.5)) for x in r.sample(list(self.fleet), 2)}
                return [
                    api.SliceOwnershipChange(s, True),
                    *(api.StoredWeight(s, x, w) for x, w in self.tables[s].items()),
                ]
            case 13:
                p = r.randrange(8)
                if p in self.out and r.random() < 0.5:
                    del self.out[p]
                    return [api.ProxyLeft(p)]
                self.out[p] = []
                return [api.ProxyJoined(p, p % self.set.zone_count, 10.0, r.random() < 0.5)]
            case 14:
                wave = r.sample(list(self.fleet), len(self.fleet) // 3)
                return [self.change(x, state=r.choice(("draining", "up", "up"))) for x in wave]
            case _:
                s = r.randrange(self.slices)
                self.demand[s] *= r.choice((0.3, 3.0, 8.0))
                return [api.ProxyUsageReport(1, 0, 3, 1, 1000.0), api.PeerMessage(1, b"x"), api.TimerFired(7)]

    def sums(self) -> list[api.Event]:
        """What forwarders met in the last second: waiting by load, cold and dead hosts that do not answer."""
        load = dict.fromkeys(self.fleet, 0.0)
        met: dict[int, list[int]] = {}
        out: list[api.Event] = []
        scale = self.scale * len(self.fleet) / sum(self.demand) * self.r.choice((0.7, 1.0, 1.0, 1.6))
        for s, row in self.tables.items():
            for h in row:
                if h in load and h not in self.cordons:
                    load[h] += self.demand[s] * scale / len(row)
        for s, row in self.tables.items():
            came, lost = int(self.demand[s] * scale * self.r.uniform(0.8, 1.2)), 0
            for h in row or [-1]:
                tries, bad = came // max(1, len(row)), 0
                m = self.fleet.get(h)
                if m is None or m.dead or m.hung:
                    bad = tries
                else:
                    cap = 8000.0 / m.speed * m.entry.weight
                    cap *= 0.3 if self.now - m.entry.online_since < self.set.warm_up_ms else 1.0
                    bad = int(tries * max(0.0, 1.0 - cap * 1.5 / max(load[h], 0.01)))
                lost += bad
                pair = met.setdefault(h, [0, 0])
                pair[0], pair[1] = pair[0] + tries, pair[1] + bad
            out.append(api.SliceUsageReport(s, s % 2, came, lost, 1000.0 * self.r.choice((1.0, 1.0, 2.0))))
        for h, (tries, bad) in met.items():
            if h >= 0:
                m = self.fleet.get(h)
                over = load.get(h, 0.0) / (8000.0 / m.speed * m.entry.weight) if m else 0.0
                slow = m.speed * (1.0 + min(over, 3.0) ** 2) if m else 0.0
                out.append(
                    api.HostUsageReport(h % self.set.zone_count, h, tries, bad, slow if tries > bad else 0.0, 1000.0)
                )
        return [e for e in out if self.r.random() < 0.95]

    def run(self) -> list[int]:
        """The checksum after every `EVERY` steps."""
        r, found = self.r, []
        for n in range(STEPS):
            self.now += BEAT * r.choice((0.2, 1.0, 1.0, 1.8))
            events: list[api.Event] = [api.TimerFired(h) for at, h in sorted(self.timers) if at <= self.now]
            self.timers = [x for x in self.timers if x[0] > self.now]
            for h in self.probes:
                m = self.fleet.get(h)
                end = api.HealthCheckOutcome.OK if m and not (m.dead or m.hung) else api.HealthCheckOutcome.UNREACHABLE
                end = api.HealthCheckOutcome.TIMEOUT if m and m.hung else end
                end = r.choice(list(api.HealthCheckOutcome)) if r.random() < 0.05 else end
                events.append(api.HealthCheckResult(h, end, 3.0))
            self.probes = []
            for p, marks in self.out.items():
                if marks and r.random() < 0.8:
                    events.append(api.VersionAcked(p, marks[-1] if r.random() < 0.9 else marks[0], 5.0))
                    marks.clear()
            if n % 8 == 0:
                events += self.sums()
            # Days have calm halves, so that what an undisturbed module does is seen as well.
            if r.random() < (0.08 if n // 300 % 2 else 0.01):
                events += self.fault()
            self.step(events)
            if n % EVERY == EVERY - 1:
                found.append(self.crc)
        return found


def play(decider: Callable[[api.Settings, int], Any], seed: int) -> list[int]:
    _, over, hosts, slices = DAYS[seed]
    return Day(decider, seed, over, hosts, slices).run()


def keep(decider: Callable[[api.Settings, int], Any]) -> None:
    """Write what this module decides as the golden recording."""
    KEPT.write_text(json.dumps({seed: play(decider, seed) for seed in range(len(DAYS))}) + "\n")
