"""What load reports are worth: factors on listed weights. Pure; no I/O, no clock of its own.

A host's factor starts at 1 and only ever lowers its listed weight, never under `floor`: a host that says that it
is idle gets what it would get anyway, so nothing herds onto it. What a report says halves in influence each
`half_life` of its age and is nothing after `expiry`; with no report at all every factor is exactly 1.

How old a report is, is not taken on trust. A report that echoes one of this steward's recent ticks is at most as
old as that tick. Without an echo, its age is counted on the sender's own monotonic clock from the quickest report
of that process; a process whose reports were never shown to be of today, by an echo, or by the roster's start or
a wall clock that agrees, counts for nothing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from .envelope import Head, Load

Sender = tuple[int, int]


@dataclass(frozen=True)
class Policy:
    """Times in ms, shares as shares. See `docs/reports.md` for why each stands."""

    half_life: float = 5_000.0
    expiry: float = 20_000.0
    window: float = 5_000.0  # a factor moves one step in a window at most
    step: float = 0.25  # in powers of two: factors are 2^(-k * step)
    floor: float = 0.5
    busy_from: float = 0.4  # a host below this utilization is never lowered
    tolerance: float = 0.4  # powers of two over the fleet's median that are nobody's trouble
    gain: float = 0.5  # part of the difference to the fleet that is taken up in a window
    reporting_least: float = 0.5  # share of listed hosts that must have fresh reports
    changes_most: float = 0.1  # share of hosts whose factor may be lowered in a window
    stuck_after: float = 60_000.0  # one value repeated for longer fades as if it aged
    future: float = 2_000.0  # how far ahead of its quickest report a sender's clock may run
    processes_most: int = 64


class Counts(msgspec.Struct):
    """What became of reports that were read. `counted` changed what is known of their host.

    Stored names are frozen: handovers hold them, and metrics have them as values of a label."""

    counted: int = msgspec.field(name="counted", default=0)
    unlisted: int = msgspec.field(name="unlisted", default=0)  # of no host of the list, as the steward has it
    former: int = msgspec.field(name="former", default=0)  # of another process of the host than the roster lists
    repeated: int = msgspec.field(name="repeated", default=0)  # a number seen before, or older than the newest
    expired: int = msgspec.field(name="expired", default=0)
    doubtful: int = msgspec.field(name="doubtful", default=0)  # age not shown: see the module's text
    crowded: int = msgspec.field(name="crowded", default=0)  # more processes than a host may have

    def by_name(self) -> dict[str, int]:
        """Under their stored names."""
        return {name: int(count) for name, count in msgspec.to_builtins(self).items()}


class Process(msgspec.Struct):
    """One process that reports. Everything here is a minimum, maximum or newest: order does not matter."""

    started: int = msgspec.field(name="started")
    seq: int = msgspec.field(name="seq", default=-1)
    utilization: float = msgspec.field(name="utilization", default=0.0)
    uptime: float = msgspec.field(name="uptime", default=0.0)
    arrived: float = msgspec.field(name="arrived", default=0.0)
    other: float = msgspec.field(name="other", default=-math.inf)  # newest uptime at which it reported another value
    first: float = msgspec.field(name="first", default=math.inf)  # oldest uptime reported
    # Least of arrival - uptime: where its clock's zero lies on ours, at the latest.
    base: float = msgspec.field(name="base", default=math.inf)
    proven: float = msgspec.field(name="proven", default=math.inf)  # the same, from reports whose age was shown

    def age(self, now: float, policy: Policy) -> float:
        """How old its newest report is by now; infinite if that was never shown."""
        if self.proven == math.inf:
            return math.inf
        age = now - (min(self.base, self.proven) + self.uptime)
        still = self.uptime - max(self.other, self.first)  # how long it has said the same
        return max(0.0, age, now - self.arrived, age + still - policy.stuck_after)


class HostLoad(msgspec.Struct):
    since: float = msgspec.field(name="since", default=0.0)  # start of its process on our clock; 0 is long ago
    started: int = msgspec.field(name="started", default=0)  # the same as the roster has it
    warm_at: float = msgspec.field(name="warm_at", default=0.0)
    processes: dict[int, Process] = msgspec.field(name="processes", default_factory=dict)
    learnt: float = msgspec.field(name="learnt", default=0.0)  # log2 of the factor as learnt, 0 or less
    level: int = msgspec.field(name="level", default=0)  # steps below 1, as published
    tries: float = msgspec.field(name="tries", default=0.0)  # what forwarders saw, fading
    bad: float = msgspec.field(name="bad", default=0.0)
    latency: float = msgspec.field(name="latency", default=0.0)


def influence(age: float, policy: Policy) -> float:
    """1 for what is new, half after each half-life, nothing from the expiry on. Monotone."""
    return 0.0 if age >= policy.expiry else 2.0 ** (-max(0.0, age) / policy.half_life)


def middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


class Worth:
    """`listed`, `report`, `seen` tell what happened; `factors` is what follows. Times on the steward's clock."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.hosts: dict[int, HostLoad] = {}
        self.ticks: dict[bytes, float] = {}  # recent ticks of this steward, when issued
        self.counts = Counts()
        self.turned_at = -math.inf

    def listed(self, hosts: dict[int, tuple[float, int, float]]) -> None:
        """The hosts that may report: number to (start on our clock, start as the roster has it, warm from)."""
        for h in [h for h in self.hosts if h not in hosts]:
            del self.hosts[h]
        for h, (since, started, warm_at) in hosts.items():
            old = self.hosts.get(h)
            if old is None or old.started != started:  # what a former process said is nothing of this one
                self.hosts[h] = HostLoad(since, started, warm_at)

    def tick(self, now: float, nonce: bytes) -> None:
        """This steward tells senders `nonce` from now on. Ticks are known for an expiry."""
        self.ticks[nonce] = now
        for n in [n for n, at in self.ticks.items() if now - at > self.policy.expiry]:
            del self.ticks[n]

    def report(self, arrived: float, wall: float, head: Head, load: Load) -> bool:
        """One report that arrived at `arrived` (`wall` on the wall clock). True if it is the newest of its process.

        Guards against replays, clocks that are off, former processes and repeats; counts for nothing a sender
        that echoes no tick and whose start and clock both disagree with ours, though it may be honest.
        """
        p, c = self.policy, self.counts
        host = self.hosts.get(head.host)
        if host is None:
            c.unlisted += 1
            return False
        if host.started and head.started != host.started:
            c.former += 1
            return False
        process = host.processes.get(head.process)
        if process is None or process.started < head.started:
            if process is None and len(host.processes) >= p.processes_most:
                c.crowded += 1
                return False
            process = host.processes[head.process] = Process(head.started)
        elif process.started > head.started:
            c.former += 1
            return False
        self.date(arrived, wall, host, process, head)
        process.first = min(process.first, head.uptime)
        if head.seq <= process.seq:
            c.repeated += 1
            if head.seq < process.seq and load.utilization != process.utilization:
                process.other = max(process.other, head.uptime)
            return False
        if process.seq >= 0 and load.utilization != process.utilization:
            process.other = max(process.other, process.uptime)
        process.seq, process.uptime, process.arrived = head.seq, head.uptime, arrived
        process.utilization = load.utilization
        age = process.age(arrived, p)
        if age >= p.expiry:
            c.doubtful, c.expired = c.doubtful + (age == math.inf), c.expired + (age < math.inf)
            return False
        c.counted += 1
        return True

    def date(self, arrived: float, wall: float, host: HostLoad, process: Process, head: Head) -> None:
        """What a report shows of its process's clock."""
        base = arrived - head.uptime
        process.base = min(process.base, base)
        issued = self.ticks.get(head.echo)
        # What came with a tick is at most as old as the tick; else the roster's start, or the wall clock, must agree.
        known = issued is not None and arrived - issued < self.policy.half_life
        known = known or (host.started > 0 and abs(base - host.since) < self.policy.half_life)
        if known or abs(wall - head.at) < self.policy.half_life:
            process.proven = min(process.proven, base)
        # A clock cannot have run before its process: a report "from the future" would make all others look old.
        if host.started:
            process.base = max(process.base, host.since - self.policy.future)

    def seen(self, host: int, tries: int, errored: int, latency: float) -> None:
        """What forwarders met at a host, as the module is told it."""
        if h := self.hosts.get(host):
            good = tries - errored
            h.tries, h.bad = h.tries + tries, h.bad + errored
            if good > 0:
                h.latency += (latency - h.latency) * (good / (good + 6.0) if h.latency else 1.0)

    def said(self, now: float, h: HostLoad) -> tuple[float, float]:
        """A host's utilization by its processes' reports, and how much that counts (0 to 1)."""
        parts = [(influence(x.age(now, self.policy), self.policy), x.utilization) for x in h.processes.values()]
        total = sum(w for w, _ in parts)
        if not total:
            return 0.0, 0.0
        # Processes that fell silent take weight with them: a host is as known as its processes are.
        return sum(w * u for w, u in parts) / total, total / len(parts)

    def trust(self, h: HostLoad, usual: float) -> float:
        """How far "busy" is believed: whole where forwarders wait longer there than elsewhere, little where they
        are answered sooner. Guards against a host that shirks; slows what reports gain before latency shows it."""
        if not usual or h.tries < 4.0:
            return 0.5
        if h.bad / h.tries > 0.2:
            return 1.0
        return min(1.0, max(0.25, (h.latency / usual - 0.75) / 0.5))

    def turn(self, now: float) -> bool:
        """Once a window: learn from what is fresh, and move published levels. True if any factor changed."""
        p = self.policy
        if now - self.turned_at < p.window:
            return self.fade(now)
        self.turned_at = now
        changed = self.fade(now)
        said = {n: self.said(now, h) for n, h in self.hosts.items()}
        fresh = {n: u for n, (u, c) in said.items() if c > 0.0}
        if len(fresh) >= max(1.0, p.reporting_least * len(self.hosts)):
            self.learn(now, fresh, {n: c for n, (_, c) in said.items()})
        # With too few to tell what is usual nothing is learnt, and what was learnt fades with its reports.
        lowered = int(max(1.0, p.changes_most * len(self.hosts)))
        for n, h in sorted(self.hosts.items(), key=lambda item: (item[1].learnt, item[0])):
            goal = self.goal(h, said[n][1])
            if goal > h.level and lowered > 0:
                lowered -= 1
                h.level, changed = h.level + 1, True
            elif goal < h.level:
                h.level, changed = h.level - 1, True
        return changed

    def learn(self, now: float, fresh: dict[int, float], confidence: dict[int, float]) -> None:
        """A host over the fleet's median loses weight until it is there, one under it gets its own back."""
        p = self.policy
        usual = max(middle(list(fresh.values())), p.busy_from)
        wait = middle([h.latency for h in self.hosts.values() if h.latency])
        for n, u in fresh.items():
            h = self.hosts[n]
            if now < h.warm_at:
                h.learnt = 0.0  # a cold host is slow for a while: the module counts that already
                continue
            ratio = max(-1.0, min(1.0, math.log2(usual / max(u, 0.01))))
            # Slices are uneven: some hosts always carry more. What is learnt is kept in place by the same margin.
            ratio = min(0.0, ratio + p.tolerance) if ratio < 0 else ratio
            pull = p.gain * confidence[n] * (self.trust(h, wait) if ratio < 0 else 1.0)
            h.learnt = min(0.0, max(math.log2(p.floor), h.learnt + ratio * pull))
            h.tries, h.bad = h.tries / 2, h.bad / 2

    def goal(self, h: HostLoad, confidence: float) -> int:
        """The level that is wanted: whole steps, left alone until three quarters of a step are missing."""
        x = -h.learnt * confidence / self.policy.step
        return h.level if abs(x - h.level) < 0.75 else max(0, round(x))

    def fade(self, now: float) -> bool:
        """Whatever rests on reports that expired is gone at once, in the safe direction: back to what is listed."""
        changed = False
        for h in self.hosts.values():
            if (h.level or h.learnt) and self.said(now, h)[1] <= 0.0:
                changed, h.learnt, h.level = changed or h.level > 0, 0.0, 0
        return changed

    def factor(self, host: int) -> float:
        """What the listed weight of a host is multiplied by: 1 unless fresh reports say otherwise."""
        h = self.hosts.get(host)
        return max(self.policy.floor, 2.0 ** (-h.level * self.policy.step)) if h and h.level else 1.0

    def factors(self) -> dict[int, float]:
        """Only those that are not 1."""
        return {n: self.factor(n) for n, h in self.hosts.items() if h.level}
