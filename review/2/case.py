"""Case 2: messages of an impossible length, a dozen bytes each, stop the steward for many seconds."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Record, Steward, World, has_trouble, resp, run_case

BAD_CLIENTS = 12  # "Some connect ... and send ... messages ... of an impossible length"
BAD_MESSAGE = b"*400000000\r\n"  # the head of an array; a message holds 1 MiB at most
OWED_SECONDS = 3.0  # "is owed a close, or the message `reject` ..., within 3 s of connecting"
DRAIN_SECONDS = 4.8  # from a drain to the end of the process: drain times of 4.8 to 5.9 s
GRACE_SECONDS = 3.0 + 0.3  # rules.drainGrace, 300 ms longer on sockets
OBSERVED_SECONDS = 40.0  # after the drain
REQUESTS_PER_SECOND = 100.0


async def play(record: Record, folder: Path) -> bool:
    """Let bad clients connect, and drain a host; return whether the drain was kept."""
    world = World(folder, record, hosts=10, slices=60, proxies=12)
    try:
        await world.open(1, REQUESTS_PER_SECOND)
        await asyncio.sleep(8.0)
        steward = world.stewards["n1"]
        waits: list[float] = []
        world.tasks.append(asyncio.create_task(ask_for_life(steward, waits)))
        clients = []
        if has_trouble():
            clients = [asyncio.create_task(bad_client(record, steward, number)) for number in range(BAD_CLIENTS)]
        await asyncio.sleep(0.3)
        host = next(iter(world.hosts.values()))
        host.health = "terminating"
        world.tell(host)
        await asyncio.sleep(DRAIN_SECONDS)
        host.stop()
        host.health = "terminated"
        world.tell(host)
        await asyncio.sleep(OBSERVED_SECONDS - DRAIN_SECONDS)
        told = world.told("n1", host.name, "terminating")
        late = [sent for sent in world.sent if sent.host == host.name and sent.at > told + GRACE_SECONDS]
        for sent in late[:300]:
            record(f"late: {sent.at:.3f} proxy {sent.node} slice {sent.slice_id} -> {sent.host}: {sent.outcome}")
        failed = sum(sent.outcome != "ok" for sent in late)
        last = f"the last {late[-1].at - told:.1f} s after the steward was told" if late else "none"
        owed = [client.result() if client.done() else OBSERVED_SECONDS for client in clients]
        in_time = sum(seconds <= OWED_SECONDS for seconds in owed)
        for text in (
            f"requests to the drained host after the limit: {len(late)} of {len(world.sent)}, {failed} failed; {last}",
            f"longest wait for the answer to a sign of life: {max(waits, default=0.0):.1f} s",
            f"bad clients answered or closed within {OWED_SECONDS} s: {in_time} of {len(owed)}",
        ):
            record(text)
            print(text)
        return not late
    finally:
        world.close()


async def bad_client(record: Record, steward: Steward, number: int) -> float:
    """Connect, send the bad message, and return the seconds until the steward answers or closes."""
    host, port = steward.listen.rsplit(":", 1)
    started = record.now()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(BAD_MESSAGE)
    answer = b""
    with contextlib.suppress(ConnectionError):
        answer = await reader.read(100)
    writer.close()
    record(f"bad client {number}: {BAD_MESSAGE!r} answered {answer!r} after {record.now() - started:.1f} s")
    return record.now() - started


async def ask_for_life(steward: Steward, waits: list[float]) -> None:
    """Ask for a sign of life on a new connection every half second, and note how long each answer takes."""
    host, port = steward.listen.rsplit(":", 1)
    record = steward.world.record
    while True:
        started = record.now()
        waits.append(0.0)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(resp("hb"))
            await reader.readexactly(len(resp("hb_ok")))
            writer.close()
            waits[-1] = record.now() - started
        await asyncio.sleep(0.5)


run_case(Path(sys.argv[1]), play)  # writes record.txt, which run.sh names
