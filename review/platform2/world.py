"""A day: hosts, proxies, discovery and relay as stand-ins, real stewards, and the judge of the rules."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .discovery import Agent
from .hosts import Host
from .judge import FIRST_MS, SLACK_MS, ColdWork, Judge, Record, Waits
from .proxies import Proxy
from .relay import Relay
from .settings import ZONES, Site
from .steward import Steward

INTAKE_TICK_S = 0.05
TOLD_AT_LATEST_S = 6.0  # "counts as told 6 s later at the latest, whether or not it arrived"

ReportKey = tuple[str, str | int, str]
"""The kind of a report, and its zone and host or its slice and class."""


@dataclass
class WaitingReport:
    """The sums of a report that waits, due at `at`; `latency` is the sum of the good attempts, in ms."""

    at: float
    total: float = 0.0
    errors: float = 0.0
    latency: float = 0.0
    intervals: int = 0


class World:
    """A day on loopback. `start` begins it, `stop` ends all processes that it started."""

    def __init__(self, site: Site, seed: int = 1, record: Path | None = None) -> None:
        self.site = site
        self.seed = seed
        self.random = random.Random(seed)
        self.zones = ZONES
        self.record = Record(record)
        self.now = self.record.now
        self.judge = Judge(self.record)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.is_over = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.hosts: dict[str, Host] = {}
        self.ever_listed: set[str] = set()
        self.numbers = itertools.count()
        self.store: dict[int, dict[str, float]] = {}
        self.charge: dict[int, int] = {}
        self.charge_since: dict[int, float] = {}
        self.proxies = [Proxy(self, number, self.zones[number % len(ZONES)]) for number in range(site.proxies)]
        self.waits = [Waits() for _ in range(site.stewards)]
        self.told_leaving: list[dict[str, float]] = [{} for _ in range(site.stewards)]
        self.told_up: list[dict[str, dict[str, Any]]] = [{} for _ in range(site.stewards)]
        self.relays = [Relay(self, me) for me in range(site.stewards)]
        self.agents = [self._agent(me) for me in range(site.stewards)]
        self.stewards: list[Steward] = []
        self.rows: list[dict[tuple[str, str], list[float]]] = [{} for _ in range(site.stewards)]
        self.slice_rows: list[dict[tuple[int, str], Counter[str]]] = [{} for _ in range(site.stewards)]
        self.outbox: list[dict[ReportKey, WaitingReport]] = [{} for _ in range(site.stewards)]
        self.cold_work: dict[str, ColdWork] = {}
        self.refused = 0
        self.sends = 0
        self.good = 0
        self.bad = 0
        self.weights: list[float] = []
        self.slowest = 1.0  # speed of the slowest channel of the day: "the times in the other rules grow" by it

    def _agent(self, me: int) -> Agent:
        return Agent(lambda entries, is_whole: self.on_told(me, entries, is_whole))

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work until the end of the day."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # ---- start and end -----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start stand-ins and stewards; proxies join once the stewards answer."""
        site = self.site
        for _ in range(site.hosts):
            await self.new_host(born_ms=0.0)
        names = list(self.hosts)
        shares = [self.random.lognormvariate(0.0, 0.6) for _ in range(site.slices)]
        self.weights = list(itertools.accumulate(shares))
        for number in range(site.slices):
            self.store[number] = {names[number % len(names)]: 1.0}
            self.charge[number] = number % site.stewards
            self.charge_since[number] = 0.0
        for me in range(site.stewards):
            await self.relays[me].listen()
            await self.agents[me].listen()
            for host in self.hosts.values():
                self.agents[me].entries[host.name] = host.entry()
                self.told_up[me][host.name] = host.entry()
            self.spawn(self.relays[me].ping())
            self.spawn(self._send_reports(me))
        for proxy in self.proxies:
            proxy.tables = {number: dict(table) for number, table in self.store.items()}
        self.stewards = [Steward(self, me) for me in range(site.stewards)]
        await asyncio.gather(*(steward.start(self.agents[steward.me].whole()) for steward in self.stewards))
        await self.begin()

    async def begin(self) -> None:
        """Let the run begin: proxies join and clients come."""
        self.record.add("the run begins")
        for steward in self.stewards:
            self.relays[steward.me].has_begun = True
            await steward.connect_collectors()
        for proxy in self.proxies:
            for steward in self.stewards:
                proxy.join(steward.me)
            self.spawn(proxy.send_requests())
        self.spawn(self._watch_tables())
        self.spawn(self._gather_reports())

    async def stop(self) -> None:
        """End all processes and connections."""
        self.is_over = True
        processes = [steward.process for steward in self.stewards if steward.process]
        for steward in self.stewards:
            steward.kill()
        for process in processes:
            await process.wait()
        for task in list(self.tasks):
            task.cancel()
        for host in self.hosts.values():
            host.die()
        for server in [server for part in (*self.relays, *self.agents) for server in part.servers]:
            server.close()
        await asyncio.sleep(0.05)
        self.record.add(self.judge.summary())
        if self.record.file:
            self.record.file.close()
        self.temporary.cleanup()

    # ---- hosts and lists ---------------------------------------------------------------------------------------

    def host(self, name: str) -> Host:
        """Return a host by its name."""
        return self.hosts[name]

    async def new_host(self, born_ms: float | None = None, zone: str | None = None) -> Host:
        """Start a new host under a new id."""
        number = next(self.numbers)
        name = f"s-{random.Random(f'{self.seed}:host:{number}').getrandbits(32):08x}"
        host = Host(
            name,
            zone or self.zones[number % len(self.zones)],
            number // 4,
            time.time() * 1000.0 if born_ms is None else born_ms,
        )
        host.cold_from = self.site.cold_from
        host.cold_ms = self.site.cold
        await host.start()
        self.hosts[name] = host
        self.ever_listed.add(name)
        return host

    def publish(self, *names: str, stewards: list[int] | None = None) -> None:
        """Send the present entries of hosts to the agents as one new version of the list."""
        entries = [self.hosts[name].entry() for name in names]
        shown = " ".join(f"{entry['host']}={entry['health']}" for entry in entries)
        for me in stewards if stewards is not None else range(self.site.stewards):
            self.record.add(f"list to n{me}: {shown}")
            delay_s = self.site.spread / 1000.0 if self.site.stewards > 1 else 0.0
            asyncio.get_running_loop().call_later(
                self.random.uniform(0.0, delay_s), self.agents[me].take, [dict(entry) for entry in entries]
            )
            asyncio.get_running_loop().call_later(TOLD_AT_LATEST_S, self._count_as_told, me, names)

    def _count_as_told(self, me: int, names: tuple[str, ...]) -> None:
        """Count leaving hosts as told, whether or not the steward has asked."""
        for name in names:
            if self.hosts[name].health != "in_service" and name not in self.told_leaving[me]:
                self.record.add(f"{name} counts as told to n{me}")
                self.told_leaving[me][name] = self.now()
                self.told_up[me].pop(name, None)

    def on_told(self, me: int, entries: list[dict[str, Any]], is_whole: bool) -> None:
        """Take note that discovery has written entries to a steward."""
        now = self.now()
        if is_whole:
            listed = {entry["host"] for entry in entries}
            for name in self.hosts:
                if name not in listed:
                    self.told_leaving[me].setdefault(name, now)
                    self.told_up[me].pop(name, None)
        for entry in entries:
            if entry["health"] == "in_service":
                self.told_leaving[me].pop(entry["host"], None)
                self.told_up[me][entry["host"]] = entry
            else:
                self.told_leaving[me].setdefault(entry["host"], now)
                self.told_up[me].pop(entry["host"], None)

    def drain(self, name: str) -> None:
        """Let a host drain, and tell it."""
        self.hosts[name].health = "terminating"
        self.publish(name)

    def end_host(self, name: str) -> None:
        """End a drained host, and tell it."""
        self.hosts[name].health = "terminated"
        self.hosts[name].die()
        self.publish(name)

    # ---- stewards ----------------------------------------------------------------------------------------------

    async def restart_steward(self, me: int, number: signal.Signals, away_s: float, redial_s: float = 0.4) -> None:
        """End a steward and start it again; proxies come back after it answers."""
        steward = self.stewards[me]
        known = self.agents[me].whole()
        process = steward.process
        steward.kill(number)
        for proxy in self.proxies:
            proxy.leave(me)
        if process:
            try:
                await asyncio.wait_for(process.wait(), 0.7)
            except TimeoutError:
                process.kill()
                await process.wait()
        self.relays[me].lose_queue()
        self.relays[me].drop_all()
        self.told_leaving[me].clear()
        self.on_told(me, known["hosts"], True)
        given = None
        if self.site.stewards > 1:
            given = self.spawn(self._take_over(me))
        await asyncio.sleep(away_s)
        await steward.start(known)
        if given:
            given.cancel()
            self._give_back(me)
        await steward.connect_collectors()
        for proxy in self.proxies:
            asyncio.get_running_loop().call_later(redial_s * (0.5 + self.random.random()), proxy.join, me)

    async def _take_over(self, me: int) -> None:
        await asyncio.sleep(self.site.takeover / 1000.0)
        others = [steward.me for steward in self.stewards if steward.me != me and steward.process]
        for position, number in enumerate([n for n in self.charge if n % self.site.stewards == me]):
            if others:
                self.give(number, others[position % len(others)])

    def _give_back(self, me: int) -> None:
        for number in self.charge:
            if number % self.site.stewards == me and self.charge[number] != me:
                self.give(number, me)

    def give(self, number: int, me: int) -> None:
        """Place a slice in another steward's charge."""
        former = self.charge[number]
        if former == me:
            return
        self.charge[number] = me
        self.charge_since[number] = self.now()
        self.relays[former].tell("owner", {"shard": number, "set": False})
        self.relays[me].tell("owner", {"shard": number, "set": True})
        for host, weight in self.store[number].items():
            self.relays[me].tell("entry", {"shard": number, "endpoint": host, "w": weight})
        for proxy in self.proxies:
            proxy.bare_since.pop(number, None)
            asyncio.get_running_loop().call_later(
                self.site.sync / 1000.0, proxy.read_store, me, proxy.epoch[me], number
            )

    def standing(self, me: int) -> list[tuple[str, dict[str, Any]]]:
        """Return what stands: joined proxies, the steward's slices, and their lines."""
        rate = round(self.site.rate / self.site.proxies, 2)
        news: list[tuple[str, dict[str, Any]]] = [
            ("attach", {"node": proxy.number, "locality": proxy.zone, "w": rate, "cold": False})
            for proxy in self.proxies
            if proxy.joined.get(me) is not None
        ]
        for number, owner in self.charge.items():
            if owner == me:
                news.append(("owner", {"shard": number, "set": True}))
                news += [
                    ("entry", {"shard": number, "endpoint": host, "w": weight})
                    for host, weight in self.store[number].items()
                ]
        return news

    # ---- requests and reports ----------------------------------------------------------------------------------

    def draw_slice(self, source: random.Random) -> int:
        """Draw the slice of a request."""
        return bisect.bisect(self.weights, source.random() * self.weights[-1])

    def usage(self, slice_: int, kind: str) -> Counter[str]:
        """Return the counts of a slice and class that will be reported next."""
        return self.slice_rows[self.charge[slice_]].setdefault((slice_, kind), Counter())

    def count_attempt(self, zone: str, slice_: int, host: Host, outcome: tuple[bool, float]) -> None:
        """Count an attempt for the next reports."""
        is_good, latency_s = outcome
        row = self.rows[self.charge[slice_]].setdefault((zone, host.name), [0.0, 0.0, 0.0])
        row[0] += 1
        if is_good:
            row[2] += latency_s * 1000.0
            self.good += 1
        else:
            row[1] += 1
            self.bad += 1

    async def _gather_reports(self) -> None:
        while True:
            await asyncio.sleep(self.site.report_every / 1000.0)
            for me in range(self.site.stewards):
                self._gather(me)

    def _gather(self, me: int) -> None:
        """Close an interval: its sums are due a little later, and add to those of the same pair that still wait."""
        at = self.now() + self.random.uniform(260.0, 1_000.0)
        sums: dict[ReportKey, list[float]] = {("upstream_stats", *key): row for key, row in self.rows[me].items()}
        for key, counts in self.slice_rows[me].items():
            sums["range_stats", *key] = [counts["total"], counts["errors"], 0.0]
        self.rows[me] = {}
        self.slice_rows[me] = {}
        for key, row in sums.items():
            waiting = self.outbox[me].setdefault(key, WaitingReport(at))
            waiting.total += row[0]
            waiting.errors += row[1]
            waiting.latency += row[2]
            waiting.intervals += 1

    async def _send_reports(self, me: int) -> None:
        """Send the reports that are due, the oldest first, at the site's rate."""
        most = int(self.site.intake_per_s * INTAKE_TICK_S)
        while True:
            await asyncio.sleep(INTAKE_TICK_S)
            now = self.now()
            due = [key for key, row in itertools.islice(self.outbox[me].items(), most) if row.at <= now]
            for key in due:
                self._send_report(me, key, self.outbox[me].pop(key))

    def _send_report(self, me: int, key: ReportKey, row: WaitingReport) -> None:
        kind, first, second = key
        words = ["total", f"{row.total:.0f}", "errors", f"{row.errors:.0f}"]
        interval = ["interval", f"{self.site.report_every * row.intervals:.1f}"]
        if kind == "upstream_stats":
            mean = row.latency / max(1.0, row.total - row.errors)
            head = [kind, "locality", str(first), "endpoint", str(second)]
            self.stewards[me].report(str(first), [*head, *words, "rtt", f"{mean:.1f}", *interval])
        else:
            zone = self.zones[int(first) % len(self.zones)]
            self.stewards[me].report(zone, [kind, "shard", str(first), "route", str(second), *words, *interval])

    # ---- the judge ---------------------------------------------------------------------------------------------

    def _limits_begin(self, me: int) -> float | None:
        steward = self.stewards[me]
        return None if steward.ready_at is None else steward.ready_at + FIRST_MS

    def judge_send(self, proxy: Proxy, slice_: int, host: Host) -> None:
        """Judge rule 3 for a request that a proxy sends."""
        self.sends += 1
        me = self.charge[slice_]
        told = self.told_leaving[me].get(host.name)
        joined = proxy.joined.get(me)
        begin = self._limits_begin(me)
        if told is None or joined is None or begin is None:
            return
        since = max(told, joined, self.charge_since[slice_], begin)
        over = self.waits[me].elapsed(since, self.now()) - self.site.drain_grace / self.slowest - SLACK_MS
        if over > 0.0:
            text = f"proxy {proxy.number} sends slice {slice_} to {host.name}, told to n{me} at {told / 1000.0:.3f} s"
            self.judge.breach("drain", f"{text}: {over:.0f} ms late", over)

    def judge_cold(self, host: Host, work_ms: float) -> None:
        """Watch rule 4 for work that a cold host gets. The text only: who knew what is not looked at."""
        share = host.share()
        if share >= 1.0:
            return
        tracker = self.cold_work.setdefault(host.name, ColdWork())
        sent = tracker.add(self.now(), work_ms, self.site.fall)
        limit = self.site.fall_multiple * share * 4 * self.site.fall * 1.1
        if sent > limit:
            self.judge.breach("cold?", f"{host.name} at {share:.2f} got {sent:.0f} of {limit:.0f} ms of work")

    async def _watch_tables(self) -> None:
        """Judge rule 1 for every joined proxy and slice, all the time."""
        while True:
            await asyncio.sleep(0.1)
            now = self.now()
            for me in range(self.site.stewards):
                begin = self._limits_begin(me)
                if begin is not None and now > begin and self._lists_a_warm_host(me):
                    self._judge_lines(me, begin, now)
                else:
                    self._forget_lines(me)

    def _forget_lines(self, me: int) -> None:
        for proxy in self.proxies:
            for number in [number for number in proxy.bare_since if self.charge[number] == me]:
                del proxy.bare_since[number]

    def _lists_a_warm_host(self, me: int) -> bool:
        unix_ms = time.time() * 1000.0
        return any(unix_ms - entry["born_ms"] > self.site.cold for entry in self.told_up[me].values())

    def _judge_lines(self, me: int, begin: float, now: float) -> None:
        for proxy in self.proxies:
            joined = proxy.joined.get(me)
            for number, owner in self.charge.items():
                if owner != me:
                    continue
                if joined is None or proxy.lines(number):
                    proxy.bare_since.pop(number, None)
                    proxy.bare_told.discard(number)
                    continue
                since = proxy.bare_since.setdefault(number, max(now, begin, joined))
                over = self.waits[me].elapsed(since, now) - self.site.bare / self.slowest - SLACK_MS
                if over > 0.0 and number not in proxy.bare_told:
                    proxy.bare_told.add(number)
                    self.judge.breach("lost", f"proxy {proxy.number} has no line for slice {number}", over)
                elif over > 0.0:
                    self.judge.worst["lost"] = max(self.judge.worst["lost"], over)
