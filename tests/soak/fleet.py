"""A fleet on loopback whose warming hosts fail under too much load, with a judge that knows who had learned of a start.

It extends the stand-ins of the second review (`review/platform2`) by slices in high demand, hosts that return cold, and
the complete rule on warming hosts: load counts if its proxy's last message was sent in knowledge of the host's start,
or if the controller had known of that for the drain grace.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import platform2.hosts
import platform2.steward
from platform2.hosts import CORES, WORK_S, Host
from platform2.judge import SLACK_MS
from platform2.proxies import Proxy
from platform2.relay import Op, Relay
from platform2.settings import Site
from platform2.world import World

BUDGET_SLACK = 1.1
"""Slack for chance in the budget of a warming host."""

KNOWING_SHARE = 2.0 / 3.0
"""Share of the work that must come from those who knew of the start for the rule to be broken."""

MAX_EXCERPT_SLICES = 6
FIRST_PORT = 12_000
PORTS_PER_PROCESS = 1_000
PORT_RANGES = 18  # up to 30,000, below those that the system gives out by itself


def free_port() -> int:
    """Return a port that nobody uses now, from a range that few other processes of a soak share."""
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_PROCESS
    while True:
        port = first + random.SystemRandom().randrange(PORTS_PER_PROCESS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


platform2.hosts.free_port = free_port
platform2.steward.free_port = free_port


@dataclass
class SentWork:
    """One request to a warming host: the time and whether its controller knew of the start."""

    at_ms: float
    slice: int
    controller: int
    is_knowing: bool


@dataclass
class WarmingBudget:
    """The requests to one process of a host within the window of the rule."""

    born_ms: float
    sent: deque[SentWork] = field(default_factory=deque)

    def add(self, work: SentWork, window_ms: float) -> None:
        """Add a request and forget those that are older than the window."""
        self.sent.append(work)
        while self.sent[0].at_ms < work.at_ms - window_ms:
            self.sent.popleft()

    def knowing_share(self) -> float:
        """Return the share of requests whose controller knew of the start."""
        return sum(work.is_knowing for work in self.sent) / len(self.sent)

    def describe(self) -> str:
        """Return the requests by controller, and the slices with the most of them."""
        controllers = Counter(work.controller for work in self.sent)
        slices = Counter(work.slice for work in self.sent)
        return f"by controller {dict(controllers)}, by slice {slices.most_common(MAX_EXCERPT_SLICES)}"


class SoakRelay(Relay):
    """A relay that records when the last message to each proxy was sent."""

    def _deliver(self, proxy: Any, epoch: int, ops: list[Op], sent: tuple[bool, float]) -> None:
        is_received = proxy.epoch[self.me] == epoch and proxy.joined.get(self.me) is not None
        if is_received and ops:
            proxy.last_sent_ms[self.me] = max(proxy.last_sent_ms.get(self.me, 0.0), sent[1])
        super()._deliver(proxy, epoch, ops, sent)


class SoakProxy(Proxy):
    """A proxy that tells the judge by which slice it chose a host."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        super().__init__(world, number, zone)
        self.last_sent_ms: dict[int, float] = {}

    def _pick(self, lines: dict[str, float]) -> Host:
        host = super()._pick(lines)
        self.picked = host
        return host


class SoakWorld(World):
    """A day whose warming hosts fall over. `takes_over_alone`: one controller gets all slices of one that has ended."""

    def __init__(self, site: Site, seed: int, record: Path | None = None, *, takes_over_alone: bool = True) -> None:
        super().__init__(site, seed, record)
        self.takes_over_alone = takes_over_alone
        self.proxies = [SoakProxy(self, number, proxy.zone) for number, proxy in enumerate(self.proxies)]
        self.relays = [SoakRelay(self, me) for me in range(site.stewards)]
        self.learned_ms: list[dict[tuple[str, int], float]] = [{} for _ in range(site.stewards)]
        self.budgets: dict[str, WarmingBudget] = {}
        self.highest_load: dict[str, float] = {}
        self.fallen: list[str] = []

    # ---- demand ----------------------------------------------------------------------------------------------------

    def set_demand(self, hot: dict[int, float]) -> None:
        """Give each slice of `hot` its share of all requests; the others keep theirs among themselves."""
        if not hasattr(self, "usual_weights"):
            self.usual_weights = [
                weight - previous for previous, weight in zip([0.0, *self.weights], self.weights, strict=False)
            ]
        rest = sum(weight for number, weight in enumerate(self.usual_weights) if number not in hot)
        left = 1.0 - sum(hot.values())
        total = 0.0
        self.weights = []
        for number, weight in enumerate(self.usual_weights):
            total += hot[number] if number in hot else left * weight / rest
            self.weights.append(total)
        self.record.add(f"slices in high demand: {hot}")

    def slices_at_warming_hosts(self) -> list[int]:
        """Return the slices whose stored tables name hosts that warm up only."""
        warming = {host.name for host in self.hosts.values() if host.is_alive and host.share() < 1.0}
        return [number for number, table in self.store.items() if table and warming.issuperset(table)]

    # ---- restarts of hosts ---------------------------------------------------------------------------------------

    async def restart_hosts(self, names: list[str], away_s: float, notice_s: float, listed_s: float) -> None:
        """End hosts and start them again, cold, under their names.

        The list tells of the end after `notice_s`, unless they are back before, and of the start after `listed_s`.
        """
        self.record.add(f"{len(names)} hosts end for {away_s:.1f} s: {' '.join(names)}")
        for name in names:
            self.hosts[name].die()
        if notice_s < away_s:
            await asyncio.sleep(notice_s)
            for name in names:
                self.hosts[name].health = "terminated"
            self.publish(*names)
            away_s -= notice_s
        await asyncio.sleep(away_s)
        for name in names:
            host = self.hosts[name]
            host.health = "in_service"
            host.born_ms = time.time() * 1000.0
            await host.start()
        self.record.add(f"{len(names)} hosts are back")
        await asyncio.sleep(listed_s)
        self.publish(*names)

    # ---- takeover --------------------------------------------------------------------------------------------------

    def _others(self, me: int) -> list[int]:
        others = [steward.me for steward in self.stewards if steward.me != me and steward.process]
        if self.takes_over_alone and others:
            return [random.Random(f"{self.seed}:{me}").choice(others)]
        return others

    async def _take_over(self, me: int) -> None:
        await asyncio.sleep(self.site.takeover / 1000.0)
        others = self._others(me)
        for position, number in enumerate([n for n in self.charge if n % self.site.stewards == me]):
            if others:
                self.give(number, others[position % len(others)])

    # ---- the judge of warming hosts ----------------------------------------------------------------------------------

    def on_told(self, me: int, entries: list[dict[str, Any]], is_whole: bool) -> None:
        """Record when a controller learned of the start of a host."""
        super().on_told(me, entries, is_whole)
        for entry in entries:
            self.learned_ms[me].setdefault((entry["host"], entry["born_ms"]), self.now())

    def judge_send(self, proxy: Proxy, slice_: int, host: Host) -> None:
        """Judge the rules on drains and on warming hosts for a request that a proxy sends."""
        super().judge_send(proxy, slice_, host)
        share = host.share()
        if share >= 1.0 or not host.is_alive:
            return
        budget = self.budgets.get(host.name)
        if budget is None or budget.born_ms != host.born_ms:
            budget = self.budgets[host.name] = WarmingBudget(host.born_ms)
        controller = self.charge[slice_]
        work = SentWork(self.now(), slice_, controller, self._is_knowing(proxy, controller, host))
        budget.add(work, self.site.fall)
        used = len(budget.sent) * WORK_S * 1000.0 / (self.site.fall_multiple * share * CORES * self.site.fall)
        self.highest_load[host.name] = max(self.highest_load.get(host.name, 0.0), used)
        if used > BUDGET_SLACK:
            self._fall(host, budget, share)

    def _is_knowing(self, proxy: Any, controller: int, host: Host) -> bool:
        """Return whether the load counts: the last message was sent in knowledge, or the grace has passed.

        Messages of a controller that has ended since count, as what it knew when it sent them.
        """
        learned = self.learned_ms[controller].get((host.name, int(host.born_ms)))
        if learned is None:
            return False
        if proxy.last_sent_ms.get(controller, 0.0) > learned:
            return True
        begin = self._limits_begin(controller)
        return begin is not None and self.now() > max(learned, begin) + self.site.drain_grace + SLACK_MS

    def _fall(self, host: Host, budget: WarmingBudget, share: float) -> None:
        knowing = budget.knowing_share()
        age_ms = time.time() * 1000.0 - host.born_ms
        text = (
            f"{host.name} at {share:.2f} of its capacity, {age_ms:.0f} ms old, fails under {len(budget.sent)} requests "
            f"in {self.site.fall:.0f} ms, {knowing:.2f} of them in knowledge: {budget.describe()}"
        )
        self.record.add(text)
        self.fallen.append(text)
        host.die()
        if knowing >= KNOWING_SHARE:
            self.judge.breach("failback", text)

    def judge_cold(self, host: Host, work_ms: float) -> None:
        """Do nothing: `judge_send` judges warming hosts."""
