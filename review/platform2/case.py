"""Runs one case: starts a day, plays its scenario, judges it, and ends with the exit code that the review asks for."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .settings import Site
from .steward import ROOT
from .world import World

BROKEN = 1
HELD = 0
NOT_RUN = 2
MOST_LAG_MS = 250.0  # of the stand-ins: below the 300 ms by which the limits are longer
LAG_CHECK_S = 0.01
MOST_SECONDS = 110.0

Scenario = Callable[[World, bool], Awaitable[None]]


async def watch_lag(world: World, lags: list[float]) -> None:
    """Note how late the stand-ins themselves run."""
    while True:
        due = world.now() + LAG_CHECK_S * 1000.0
        await asyncio.sleep(LAG_CHECK_S)
        lags[0] = max(lags[0], world.now() - due)


async def play(site: Site, folder: Path, scenario: Scenario, judged: tuple[str, ...]) -> int:
    """Play a scenario and return the exit code; rules that are not in `judged` are shown only."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    if task := asyncio.current_task():  # ended from outside, it still ends what it started
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    world = World(site, seed=1, record=folder / "record.txt")
    lags = [0.0]
    world.record.add(f"trouble: {'yes' if has_trouble else 'no'}")
    try:
        async with asyncio.timeout(MOST_SECONDS):
            await world.start()
            world.spawn(watch_lag(world, lags))
            await scenario(world, has_trouble)
        return _verdict(world, lags[0], judged)
    except TimeoutError:
        print("the case did not end in time")
        return NOT_RUN
    finally:
        logs = [(steward.folder / "log.txt").read_text() for steward in world.stewards]
        for me, log in enumerate(logs):
            for line in log.splitlines():
                world.record.add(f"log of n{me}: {line}")
        await world.stop()


def _verdict(world: World, lag_ms: float, judged: tuple[str, ...]) -> int:
    totals = f"{world.sends} requests sent, {world.good} good, {world.bad} failed, {world.refused} without a host"
    summary = f"{totals}\nstand-ins at most {lag_ms:.0f} ms late\n{world.judge.summary()}"
    print(summary)
    for line in summary.splitlines():
        world.record.add(line)
    is_broken = any(world.judge.counts.get(rule) for rule in judged)
    if is_broken and lag_ms > MOST_LAG_MS:
        print("the machine is too busy for a verdict")
        return NOT_RUN
    return BROKEN if is_broken else HELD


def main(site: Site, file: str, scenario: Scenario, judged: tuple[str, ...]) -> None:
    """Run the case whose script is `file`, and exit."""
    if not (ROOT / ".venv" / "bin" / "python").exists():
        print("not built: run the build of deploy/balancer.toml first")
        sys.exit(NOT_RUN)
    sys.exit(asyncio.run(play(site, Path(file).resolve().parent, scenario, judged)))
