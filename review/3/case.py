"""Case 3: forwarders that are cut off while lost hosts return keep them withdrawn, and later have no host at all."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Record, World, has_trouble, run_case

TOLD_SECONDS = 1.0  # from the loss of the zone until the list says so: notice_s = [0.53, 4.7]
LOST_SECONDS = 9.0  # "lost for 8.9 to 22 s, ... and come back cold"
CUT_SECONDS = 6.0  # "Up to 52% of the forwarders reach no steward for 5.9 to 17 s": here 25 %
CUT_BEFORE_RETURN_SECONDS = 3.0
ADD_SECONDS = 0.5  # from the return until the list says so: add_s = [0.22, 2.5]
LIMIT_SECONDS = 5.4 + 0.3  # familyInfo.blackhole, 300 ms longer on sockets
OBSERVED_SECONDS = 45.0  # after the return
REQUESTS_PER_SECOND = 150.0


async def play(record: Record, folder: Path) -> bool:
    """Lose a zone's hosts for nine seconds; return whether every joined proxy had a host for every slice."""
    world = World(folder, record, hosts=30, slices=196, proxies=150)
    try:
        await world.open(1, REQUESTS_PER_SECOND)
        await asyncio.sleep(6.0)
        lost = [host for host in world.hosts.values() if host.zone == "riga-south"]
        apart = [proxy for proxy in world.proxies if proxy.zone == "olaine"]
        lost_at = record.now()
        for host in lost:
            host.stop()
            host.health = "terminated"
        await asyncio.sleep(TOLD_SECONDS)
        world.tell(*lost)
        cut_at = lost_at + LOST_SECONDS - CUT_BEFORE_RETURN_SECONDS
        await asyncio.sleep(cut_at - record.now())
        if has_trouble():
            world.break_streams(apart)
        await asyncio.sleep(lost_at + LOST_SECONDS - record.now())
        for host in lost:
            await host.start()
            host.health = "in_service"
            host.born_ms = time.time() * 1000.0
        await asyncio.sleep(ADD_SECONDS)
        world.tell(*lost)
        await asyncio.sleep(cut_at + CUT_SECONDS - record.now())
        if has_trouble():
            world.join(apart)
        await asyncio.sleep(OBSERVED_SECONDS)
        starved = {place: seconds for place, seconds in world.longest_starved.items() if seconds > LIMIT_SECONDS}
        for (node, slice_id), seconds in list(starved.items())[:200]:
            table = world.proxies[node].tables[slice_id]
            record(f"proxy {node} slice {slice_id}: no host for {seconds:.1f} s, table {table}")
        refused = [sent for sent in world.sent if not sent.host]
        longest = max(world.longest_starved.values(), default=0.0)
        for text in (
            f"pairs of proxy and slice without a host for over {LIMIT_SECONDS} s: {len(starved)}",
            f"longest time without a host: {longest:.1f} s",
            f"requests without a host: {len(refused)} of {len(world.sent)}",
        ):
            record(text)
            print(text)
        return not starved
    finally:
        world.close()


run_case(Path(sys.argv[1]), play)  # writes record.txt, which run.sh names
