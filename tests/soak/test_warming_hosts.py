"""Hosts that restart in place while a controller is ended and slices of theirs come into high demand."""

from __future__ import annotations

import asyncio
import signal

import pytest
from platform2.settings import Site

from tests.soak.fleet import SoakWorld

pytestmark = pytest.mark.processes

HOSTS = 40
RESTARTED_HOSTS = 8
HOT_SLICES = 2
HOT_SHARE = 0.45  # of all requests, for each hot slice: what nine warm hosts can serve, as 0.09 is in a fleet of 200
LIST_DELAY_S = 0.5
UNTIL_SIGTERM_S = 1.0  # from the list that tells of the restarts
UNTIL_DEMAND_S = 1.5  # from SIGTERM
WATCHED_S = 5.0


async def play(world: SoakWorld) -> list[int]:
    """Play the day; return the slices that came into high demand."""
    try:
        await world.start()
        await asyncio.sleep(4.0)
        names = sorted(world.hosts)[:RESTARTED_HOSTS]
        await world.restart_hosts(names, 0.5, 10.0, LIST_DELAY_S)
        await asyncio.sleep(UNTIL_SIGTERM_S)
        restart = world.spawn(world.restart_steward(0, signal.SIGTERM, 2.0))
        await asyncio.sleep(UNTIL_DEMAND_S)
        hot = world.slices_at_warming_hosts()[:HOT_SLICES]
        world.set_demand(dict.fromkeys(hot, HOT_SHARE))
        await asyncio.sleep(WATCHED_S)
        await restart
        return hot
    finally:
        await world.stop()


def test_restarted_hosts_when_their_slices_come_into_high_demand_then_none_fails_under_load() -> None:
    site = Site(stewards=5, hosts=HOSTS, proxies=24, slices=6 * HOSTS, rate=320.0, intake_per_s=40.0, cold=17_000.0)
    world = SoakWorld(site, seed=1)
    hot = asyncio.run(play(world))
    assert not world.judge.counts, f"{world.judge.summary()}; in demand: {hot}"
