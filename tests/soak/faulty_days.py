"""Draws a day from a seed, plays it on real processes, and prints what broke.

Run: PYTHONPATH=review:. .venv/bin/python -m tests.soak.faulty_days FIRST_SEED COUNT JOBS [FOLDER]
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import subprocess
import sys
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from platform2.settings import Site
from platform2.trouble import Changes

from tests.failing_calls import environment

from .crowd import Crowd
from .fleet import SoakWorld

HOSTS = 100
STEWARDS = 5
SLICES_PER_HOST = 6
HOST_RATE = 16.0  # requests a second of a warm host
INTAKE_PER_HOST = (
    1.0  # reports a second, so that the reports of all hosts and slices take some 6 s, as in the full fleet
)
HOT_SHARE = (0.02, 0.2)  # of all requests: what 1 to 10 hosts get
REPLACED_AFTER_S = 4.5  # from a host's drain to its end: longer than the grace
DAY_S = 34.0
MAX_LAG_MS = 250.0
ENDED_BY_SIGNAL = 2


@dataclass
class Outcome:
    """What a day showed: broken rules by name, the worst share of a warming host's budget, the stand-ins' lag."""

    seed: int
    broken: dict[str, int]
    summary: str
    highest_load: float
    lag_ms: float
    totals: str


class FaultyDay:
    """One day: a fleet with hot slices, hosts that return cold, and signals to the first controller in series."""

    def __init__(self, seed: int, record: Path | None = None, host_count: int = HOSTS) -> None:
        self.seed = seed
        self.host_count = host_count
        self.random = random.Random(seed)
        load = self.random.uniform(0.45, 0.58)
        site = Site(
            stewards=STEWARDS,
            hosts=host_count,
            proxies=32,
            slices=host_count * SLICES_PER_HOST,
            rate=load * HOST_RATE * host_count,
            intake_per_s=INTAKE_PER_HOST * host_count,
            cold=self.random.uniform(6_500.0, 17_000.0),
            cold_from=self.random.uniform(0.2, 0.38),
            takeover=self.random.uniform(820.0, 2_500.0),
        )
        self.world = SoakWorld(site, seed, record, takes_over_alone=self.random.random() < 0.7)
        self.lag_ms = 0.0
        self.crowds: dict[int, Crowd] = {}
        self.crowd_size = self.random.choice([0, 0, 40])
        self.environment = self._draw_environment()

    def _draw_environment(self) -> dict[str, str]:
        """Return variables of the controllers: on half of the days calls fail, transfers are short and clocks step."""
        if self.random.random() < 0.5:
            return {}
        step_ms = self.random.choice([-3_600_000, -7_000, 7_000, 3_600_000])
        return environment(
            FAILING_SHARE=str(self.random.choice([50, 200, 1000])),
            FAILING_SEED=str(self.seed),
            SHORT_BYTES=str(self.random.choice([200, 1_000])),
            CLOCK_STEP=f"{self.random.choice([0, self.random.randrange(12_000)])}:{step_ms}",
        )

    async def play(self) -> Outcome:
        """Play the day and judge it."""
        world = self.world
        os.environ.update(self.environment)
        try:
            await world.start()
            world.record.add(f"faults of calls: {self.environment}, crowd of {self.crowd_size}")
            world.spawn(self._watch_lag())
            if self.crowd_size:
                self._gather_crowds()
            world.spawn(self._signals())
            world.spawn(self._demand())
            world.spawn(self._host_faults())
            await asyncio.sleep(DAY_S)
        finally:
            self._judge_crowds()
            self._record_logs()
            await world.stop()
            for name in self.environment:
                os.environ.pop(name, None)
        totals = f"{world.sends} sent, {world.good} good, {world.bad} failed, {world.refused} without a host"
        highest = max(world.highest_load.values(), default=0.0)
        return Outcome(self.seed, dict(world.judge.counts), world.judge.summary(), highest, self.lag_ms, totals)

    def _gather_crowds(self) -> None:
        for steward in self.world.stewards[:2]:
            crowd = self.crowds[steward.me] = Crowd(steward.port, self.seed)
            self.world.spawn(crowd.run(self.crowd_size))

    def _judge_crowds(self) -> None:
        for me, crowd in self.crowds.items():
            self.world.record.add(f"crowd at n{me}: {dict(crowd.counts)}")
            if crowd.counts["lost"] or crowd.counts["late"]:
                self.world.judge.breach("unanswered", f"requests at n{me}: {dict(crowd.counts)}")

    async def _end_controller(self, me: int, number: signal.Signals, away_s: float) -> None:
        """End a controller and start it again; one that is killed can answer nothing."""
        crowd = self.crowds.get(me)
        if crowd and number is signal.SIGKILL:
            crowd.is_killed = True
        await self.world.restart_steward(me, number, away_s)
        if crowd:
            crowd.is_killed = False

    def _record_logs(self) -> None:
        for steward in self.world.stewards:
            for line in (steward.folder / "log.txt").read_text().splitlines():
                self.world.record.add(f"log of n{steward.me}: {line}")

    async def _watch_lag(self) -> None:
        while True:
            due = self.world.now() + 10.0
            await asyncio.sleep(0.01)
            self.lag_ms = max(self.lag_ms, self.world.now() - due)

    async def _signals(self) -> None:
        """End the first controller in series: at once, with notice, at once; on some days others with it at last."""
        first_s = self.random.uniform(3.0, 7.0)
        second_s = self.random.uniform(12.0, 17.0)
        third_s = self.random.uniform(22.0, 27.0)
        await asyncio.sleep(first_s)
        await self._end_controller(0, signal.SIGKILL, self.random.uniform(1.0, 2.5))
        await asyncio.sleep(max(0.0, second_s - self.world.now() / 1000.0))
        await self._end_controller(0, signal.SIGTERM, self.random.uniform(1.5, 6.0))
        await asyncio.sleep(max(0.0, third_s - self.world.now() / 1000.0))
        ended = [0, *self.random.choice([[], [2, 3]])]
        away_s = self.random.uniform(0.3, 2.5)
        await asyncio.gather(*(self._end_controller(me, signal.SIGKILL, away_s) for me in ended))

    async def _demand(self) -> None:
        """Let a few slices have much of the traffic for a while, often such as are at warming hosts, then others."""
        while True:
            count = self.random.choice([1, 2, 3])
            share = self.random.uniform(*HOT_SHARE)
            candidates: Sequence[int] = self.world.slices_at_warming_hosts()
            if len(candidates) < count or self.random.random() < 0.3:
                candidates = range(self.world.site.slices)
            self.world.set_demand(dict.fromkeys(self.random.sample(candidates, count), share / count))
            await asyncio.sleep(self.random.uniform(3.0, 8.0))

    async def _host_faults(self) -> None:
        """Let a zone or some of the hosts die and return cold, in place, or be replaced, one group after the other."""
        changes = Changes(self.world)
        await asyncio.sleep(self.random.uniform(3.0, 6.0))
        while True:
            names = self._draw_hosts()
            if self.random.random() < 0.3:
                self.world.spawn(changes.replace(names, REPLACED_AFTER_S))
            else:
                times = self.random.uniform(0.5, 6.0), self.random.uniform(0.5, 10.0), self.random.uniform(0.22, 2.5)
                self.world.spawn(self.world.restart_hosts(names, *times))
            await asyncio.sleep(self.random.uniform(5.0, 9.0))

    def _draw_hosts(self) -> list[str]:
        hosts = self.world.hosts.values()
        alive = [host.name for host in hosts if host.is_alive and host.health == "in_service"]
        if self.random.random() < 0.3:
            zone = self.random.choice(self.world.zones)
            return [name for name in alive if self.world.hosts[name].zone == zone]
        return self.random.sample(alive, min(len(alive), self.random.randrange(2, self.host_count // 5)))


async def play_seeds(seeds: range, folder: Path | None) -> int:
    """Play days one after the other, print one line each, and return 1 if a rule was broken."""
    is_broken = False
    for seed in seeds:
        record = folder / f"day-{seed}.txt" if folder else None
        outcome = await FaultyDay(seed, record).play()
        late = " (stand-ins too late for a verdict)" if outcome.lag_ms > MAX_LAG_MS else ""
        print(
            f"seed {seed}: {outcome.broken or 'held'} load {outcome.highest_load:.2f} lag {outcome.lag_ms:.0f} ms "
            f"{outcome.totals}{late}",
            flush=True,
        )
        if outcome.broken:
            print(outcome.summary, flush=True)
        is_broken = is_broken or bool(outcome.broken)
    return int(is_broken)


async def until_signal(work: Coroutine[Any, Any, int]) -> int:
    """Run work; SIGTERM cancels it, so that it ends the processes that it has started."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await asyncio.wait([task])
    return ENDED_BY_SIGNAL if task.cancelled() else task.result()


def main(words: list[str]) -> int:
    """Play the days of the command line; with several jobs, each in a process of its own."""
    first, count, jobs = (int(word) for word in words[:3])
    folder = Path(words[3]) if len(words) > 3 else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    if jobs == 1:
        return asyncio.run(until_signal(play_seeds(range(first, first + count), folder)))
    size = -(-count // jobs)
    parts = [(start, min(size, first + count - start)) for start in range(first, first + count, size)]
    command = [sys.executable, "-m", "tests.soak.faulty_days"]
    children = [subprocess.Popen([*command, str(start), str(length), "1", *words[3:4]]) for start, length in parts]
    signal.signal(signal.SIGTERM, lambda *_: [child.terminate() for child in children])
    return max(child.wait() for child in children)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
