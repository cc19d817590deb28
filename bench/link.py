"""The link's pace beside a bare asyncio server that writes the same frames: orders out, acks back, next order."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import uvloop

from corallanding import interface as api
from corallanding.config import load_controller
from corallanding.controller.daemon import Controller
from corallanding.telemetry import configure
from corallanding.wire import frames

from .turns import CONFIG, Raw

LINES, FORWARDERS = 10, 32


class Echoing:
    """A decider that writes ten lines and a mark as soon as every forwarder has acked the last."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.joined: set[int] = set()
        self.owed: set[int] = set()
        self.mark = self.rounds = 0

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        for e in events:
            if isinstance(e, api.ProxyJoined):
                self.joined.add(e.proxy)
            elif isinstance(e, api.ProxyLeft):
                self.joined.discard(e.proxy)
                self.owed.discard(e.proxy)
            elif isinstance(e, api.VersionAcked) and e.version == self.mark:
                self.owed.discard(e.proxy)
        if self.owed or len(self.joined) < FORWARDERS:
            return []
        self.mark, self.owed, self.rounds = (self.mark + 1) % 65536, set(self.joined), self.rounds + 1
        lines = [api.SetWeight(k, self.rounds % 2, 1.0) for k in range(LINES // 2)]
        lines += [api.SetWeight(k, 1 - self.rounds % 2, 0.0) for k in range(LINES // 2)]
        return [*lines, api.PublishVersion(self.mark)]


class Bare(asyncio.Protocol):
    """Writes one frame to every link; the next when all have answered."""

    links: list[Bare] = []
    owed = 0
    rounds = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.reader = frames.FrameReader(frames.controller_decoder, 1 << 20)
        Bare.links.append(self)
        if len(Bare.links) == FORWARDERS:
            self.next()

    @staticmethod
    def next() -> None:
        Bare.rounds += 1
        lines = [(k, Bare.rounds % 2, 1.0) for k in range(LINES // 2)]
        lines += [(k, 1 - Bare.rounds % 2, 0.0) for k in range(LINES // 2)]
        data = frames.encode(frames.Orders(Bare.rounds, Bare.rounds % 65536, lines=lines))
        Bare.owed = FORWARDERS
        for link in Bare.links:
            link.transport.write(data)

    def data_received(self, data: bytes) -> None:
        for f in self.reader.feed(data):
            if isinstance(f, frames.Ack):
                Bare.owed -= 1
        if Bare.owed == 0:
            self.next()


async def clients(port: int) -> list[Any]:
    loop = asyncio.get_running_loop()
    made = []
    for n in range(FORWARDERS):
        transport, _ = await loop.create_connection(lambda n=n: Raw(n, None), "127.0.0.1", port)  # type: ignore[misc, arg-type]
        made.append(transport)
    return made


async def steward_rounds(seconds: float) -> float:
    with tempfile.TemporaryDirectory() as folder:
        text = CONFIG.format(
            port=0, folder=folder, roster=1, slices=LINES, forwarders=FORWARDERS, rate=1e9, queue=1e8, lines=1000
        )
        text = text.replace("forwarders {", "forwarders {\n  frames_per_s = 100000\n  silence_ms = 60000")
        text = text.replace("steward {", "steward {\n  turn_ms = 0.01")
        (Path(folder) / "s.hcl").write_text(text)
        configure("json", "error")
        steward = Controller(load_controller(Path(folder) / "s.hcl"), Echoing)
        await steward.start()
        made = await clients(steward.network.servers[0].sockets[0].getsockname()[1])
        await asyncio.sleep(0.5)
        module: Any = steward.engine.assigner
        before, begun = module.rounds, time.perf_counter()
        await asyncio.sleep(seconds)
        rate = (module.rounds - before) / (time.perf_counter() - begun)
        for t in made:
            t.abort()
        steward.stop()
        return float(rate)


async def bare_rounds(seconds: float) -> float:
    Bare.links, Bare.rounds = [], 0
    server = await asyncio.get_running_loop().create_server(Bare, "127.0.0.1", 0)
    made = await clients(server.sockets[0].getsockname()[1])
    await asyncio.sleep(0.5)
    before, begun = Bare.rounds, time.perf_counter()
    await asyncio.sleep(seconds)
    rate = (Bare.rounds - before) / (time.perf_counter() - begun)
    for t in made:
        t.abort()
    server.close()
    return rate


def run(seconds: float) -> dict[str, Any]:
    """Rounds alternate between the two; the store is written at every round of the steward's."""
    rows = []
    for _ in range(3):
        ours, bare = uvloop.run(steward_rounds(seconds)), uvloop.run(bare_rounds(seconds))
        rows.append((ours, bare))
    rows.sort(key=lambda r: r[0] / r[1])
    ours, bare = rows[1]
    return {
        "forwarders": FORWARDERS,
        "lines_a_message": LINES,
        "messages_per_s": round(ours * FORWARDERS),
        "lines_per_s": round(ours * FORWARDERS * LINES),
        "bare_messages_per_s": round(bare * FORWARDERS),
        "ratio": round(ours / bare, 3),
        "ratios": [round(a / b, 3) for a, b in rows],
    }


if __name__ == "__main__":
    print(json.dumps(run(3.0), indent=1))
