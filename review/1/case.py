"""Case 1: a drain that is told while the relay is out of reach is forgotten when the relay's watch is back."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Record, World, has_trouble, run_case

CUT_SECONDS = 6.0  # "for 6 s a zone is partitioned"
GRACE_SECONDS = 3.0 + 0.3  # rules.drainGrace, 300 ms longer on sockets
WAIT_SECONDS = 4.0 + 1.5  # "They wait 1.5 s if the relay falls silent ... 4 s when the relay breaks off its news"
OBSERVED_SECONDS = 10.0  # after the time limit
REQUESTS_PER_SECOND = 100.0


async def play(record: Record, folder: Path) -> bool:
    """Drain two hosts, the second while the relay is cut off; return whether both drains were kept."""
    world = World(folder, record, hosts=10, slices=60, proxies=12)
    try:
        await world.open(1, REQUESTS_PER_SECOND)
        steward = world.stewards["n1"]
        await asyncio.sleep(6.0)
        first, second = list(world.hosts.values())[:2]
        first.health = "terminating"
        world.tell(first)
        await asyncio.sleep(1.0)
        if has_trouble():
            steward.relay.cut()
        cut_at = record.now()
        await asyncio.sleep(0.8)
        second.health = "terminating"
        world.tell(second)
        await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - record.now()))
        if has_trouble():
            steward.relay.heal()
        begins_at = max(record.now(), world.told("n1", second.name, "terminating"))
        limit = begins_at + GRACE_SECONDS + WAIT_SECONDS
        await asyncio.sleep(limit - record.now())
        for host in (first, second):  # the operator's deploy ends their processes
            host.health = "terminated"
            host.stop()
        world.tell(first, second)
        await asyncio.sleep(OBSERVED_SECONDS)
        late = [sent for sent in world.sent if sent.at > limit and sent.host in (first.name, second.name)]
        for sent in late[:200]:
            record(f"late: {sent.at:.3f} proxy {sent.node} slice {sent.slice_id} -> {sent.host}: {sent.outcome}")
        record(f"second drain told at {world.told('n1', second.name, 'terminating'):.3f}, limit {limit:.3f}")
        record(f"requests to drained hosts after the limit: {len(late)} of {len(world.sent)} in all")
        record(f"tables that still name {second.name}: {world.tables_with(second.name)}")
        print(f"requests sent to drained hosts after the limit: {len(late)}")
        return not late
    finally:
        world.close()


run_case(Path(sys.argv[1]), play)  # writes record.txt, which run.sh names
