"""Two whole stewards share slices through the stand-in registry; what their forwarders' sockets saw is compared."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from sockets import CONFIG, Peer, Running, until

from corallanding.assignment import Assigner
from corallanding.lab.registry import Registry
from corallanding.wire import frames

BLOCK = """registry {
  address = "127.0.0.1:%d"
  wait_ms = 20
  charge = true
  lease_ms = 1000
}
probe {
  allowed = false
}
"""
SLICES = 8


class Ear:
    """A forwarder's end of one steward's link: its tables, in the order in which they came."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[int, float]] = {}
        self.withdrawn: set[int] = set()

    async def listen(self, peer: Peer) -> None:
        seen = 0
        while True:
            data = await peer.reader.read(65536)
            if not data:
                return
            peer.got += peer.frames.feed(data)
            for f in peer.got[seen:]:
                seen += 1
                self.take(peer, f)

    def take(self, peer: Peer, f: Any) -> None:
        if isinstance(f, frames.Tables):
            for t, lines in f.tables:
                self.tables[t] = dict(lines)
                self.withdrawn.discard(t)
        elif isinstance(f, frames.Orders):
            for t, h, w in f.lines:
                assert t not in self.withdrawn, f"slice {t} was withdrawn, and spoken for again"
                row = self.tables.setdefault(t, {})
                row[h] = w
                if not w:
                    del row[h]
            for t in f.withdrawn:
                self.tables.pop(t, None)
                self.withdrawn.add(t)
            if f.mark >= 0:
                peer.say(frames.Ack(f.mark))
        elif isinstance(f, frames.Beat):
            peer.say(frames.Beat(1.0))


def whole(ears: list[Ear], among: set[int]) -> bool:
    said = [t for n in among for t, lines in ears[n].tables.items() if lines]
    return sorted(said) == list(range(SLICES)) and all(ears[n].tables for n in among)


def test_two_stewards_share_slices_hand_over_and_outlive_the_registry(tmp_path: Path) -> None:
    async def scene() -> None:
        r = Registry()
        await r.start()
        for h in range(4):
            await r.put(f"/corallanding/hosts/{h}", {"address": f"127.0.0.1:{9000 + h}", "state": "up"})
        made = []
        for me in (0, 1):
            (tmp_path / str(me)).mkdir()
            text = CONFIG.replace('roster {\n  address = "127.0.0.1:1"\n}\n', BLOCK % r.port)
            text = text.replace("steward {", f"steward {{\n  number = {me}\n  stewards = 2")
            text = text.replace("count = 4", f"count = {SLICES}").replace("%", "%%").replace('"%%s"', '"%s"')
            made.append(Running(tmp_path / str(me), decider=Assigner, config=text))
        ears, tasks = [Ear(), Ear()], []
        async with made[0], made[1]:
            for n in (0, 1):
                peer = await made[n].peer()
                peer.hello(1)
                tasks.append(asyncio.create_task(ears[n].listen(peer)))
            await until(lambda: whole(ears, {0, 1}), 15)
            kept = {k: json.loads(v.value) for k, v in r.store.keys.items() if b"tables/" in k}
            assert len(kept) == SLICES, "tables are kept in the registry"
            before = {t: dict(row) for e in ears for t, row in e.tables.items()}

            # The registry is gone for less than a lease: tables stand, and a drain that is known still goes out.
            await r.stop()
            made[0].steward.host_sources.on_host_rows(
                False, 10_000, [{"host": 0, "state": "draining", "address": "127.0.0.1:9000"}]
            )
            mine = {t for t, row in ears[0].tables.items() if set(row) == {0}}
            await until(lambda: all(0 not in ears[0].tables.get(t, {}) for t in mine), 3)
            assert all(ears[0].tables.get(t) for t in mine) or not mine
            await r.start()
            await until(lambda: whole(ears, {0, 1}), 20)

            # A planned end: all slices go to the other, with their tables.
            await made[0].steward.retire()
            await until(lambda: whole(ears, {1}), 15)
            same = sum(ears[1].tables[t] == before[t] for t in range(SLICES))
            assert same >= SLICES // 2, "a slice goes over with its table, not laid anew"
        for t in tasks:
            t.cancel()
        await r.stop()

    async def bounded() -> None:
        async with asyncio.timeout(60):
            await scene()

    asyncio.run(bounded())
