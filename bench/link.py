"""Throughput of the proxy connection (orders, acks, next orders) beside a bare asyncio server with the same frames."""

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

from .turns import CONFIG, TableKeepingProxy

LINES_PER_MESSAGE, PROXY_COUNT = 10, 32


class ContinuousPublisher:
    """A decider that sends ten lines and a new version as soon as every proxy has acked the previous one."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.joined: set[int] = set()
        self.pending_acks: set[int] = set()
        self.version = self.rounds = 0

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Track connections and acks; return the next lines once no ack is outstanding."""
        for event in events:
            if isinstance(event, api.ProxyJoined):
                self.joined.add(event.proxy)
            elif isinstance(event, api.ProxyLeft):
                self.joined.discard(event.proxy)
                self.pending_acks.discard(event.proxy)
            elif isinstance(event, api.VersionAcked) and event.version == self.version:
                self.pending_acks.discard(event.proxy)
        if self.pending_acks or len(self.joined) < PROXY_COUNT:
            return []
        self.version, self.pending_acks, self.rounds = (self.version + 1) % 65536, set(self.joined), self.rounds + 1
        lines = [api.SetWeight(slice_id, self.rounds % 2, 1.0) for slice_id in range(LINES_PER_MESSAGE // 2)]
        lines += [api.SetWeight(slice_id, 1 - self.rounds % 2, 0.0) for slice_id in range(LINES_PER_MESSAGE // 2)]
        return [*lines, api.PublishVersion(self.version)]


class BareServerProtocol(asyncio.Protocol):
    """Server connection that takes part in rounds: one frame to every connection, the next when all have acked."""

    links: list[BareServerProtocol] = []
    pending_acks = 0
    rounds = 0

    def connection_made(self, transport: Any) -> None:
        """Register the connection; start the rounds with the last one."""
        self.transport = transport
        self.reader = frames.FrameReader(frames.controller_decoder, 1 << 20)
        BareServerProtocol.links.append(self)
        if len(BareServerProtocol.links) == PROXY_COUNT:
            self.start_round()

    @staticmethod
    def start_round() -> None:
        """Start a round: send one frame to every connection."""
        BareServerProtocol.rounds += 1
        lines = [(slice_id, BareServerProtocol.rounds % 2, 1.0) for slice_id in range(LINES_PER_MESSAGE // 2)]
        lines += [(slice_id, 1 - BareServerProtocol.rounds % 2, 0.0) for slice_id in range(LINES_PER_MESSAGE // 2)]
        data = frames.encode(frames.Orders(BareServerProtocol.rounds, BareServerProtocol.rounds % 65536, lines=lines))
        BareServerProtocol.pending_acks = PROXY_COUNT
        for link in BareServerProtocol.links:
            link.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Count acks and start the next round after the last."""
        for frame in self.reader.feed(data):
            if isinstance(frame, frames.Ack):
                BareServerProtocol.pending_acks -= 1
        if BareServerProtocol.pending_acks == 0:
            self.start_round()


async def connect_proxies(port: int) -> list[Any]:
    """Connect all proxies and return their transports."""
    loop = asyncio.get_running_loop()
    transports = []
    for number in range(PROXY_COUNT):
        transport, _ = await loop.create_connection(
            lambda number=number: TableKeepingProxy(number, None),  # type: ignore[misc, arg-type]
            "127.0.0.1",
            port,
        )
        transports.append(transport)
    return transports


async def measure_controller(seconds: float) -> float:
    """Return rounds per second of a controller, measured for `seconds`."""
    with tempfile.TemporaryDirectory() as folder:
        text = CONFIG.format(
            port=0,
            folder=folder,
            roster=1,
            slices=LINES_PER_MESSAGE,
            forwarders=PROXY_COUNT,
            rate=1e9,
            queue=1e8,
            lines=1000,
        )
        text = text.replace("forwarders {", "forwarders {\n  frames_per_s = 100000\n  silence_ms = 60000")
        text = text.replace("steward {", "steward {\n  turn_ms = 0.01")
        (Path(folder) / "s.hcl").write_text(text)
        configure("json", "error")
        controller = Controller(load_controller(Path(folder) / "s.hcl"), ContinuousPublisher)
        await controller.start()
        transports = await connect_proxies(controller.network.servers[0].sockets[0].getsockname()[1])
        await asyncio.sleep(0.5)
        decider: Any = controller.engine.assigner
        rounds_before, begun_at = decider.rounds, time.perf_counter()
        await asyncio.sleep(seconds)
        rounds_per_second = (decider.rounds - rounds_before) / (time.perf_counter() - begun_at)
        for transport in transports:
            transport.abort()
        controller.stop()
        return float(rounds_per_second)


async def measure_bare_server(seconds: float) -> float:
    """Return rounds per second of the bare server, measured for `seconds`."""
    BareServerProtocol.links, BareServerProtocol.rounds = [], 0
    server = await asyncio.get_running_loop().create_server(BareServerProtocol, "127.0.0.1", 0)
    transports = await connect_proxies(server.sockets[0].getsockname()[1])
    await asyncio.sleep(0.5)
    rounds_before, begun_at = BareServerProtocol.rounds, time.perf_counter()
    await asyncio.sleep(seconds)
    rounds_per_second = (BareServerProtocol.rounds - rounds_before) / (time.perf_counter() - begun_at)
    for transport in transports:
        transport.abort()
    server.close()
    return rounds_per_second


def run(seconds: float) -> dict[str, Any]:
    """Return the median throughput of three runs that alternate between controller and bare server.

    The controller writes its store in every round.
    """
    rows = []
    for _ in range(3):
        ours, bare = uvloop.run(measure_controller(seconds)), uvloop.run(measure_bare_server(seconds))
        rows.append((ours, bare))
    rows.sort(key=lambda row: row[0] / row[1])
    ours, bare = rows[1]
    return {
        "forwarders": PROXY_COUNT,
        "lines_a_message": LINES_PER_MESSAGE,
        "messages_per_s": round(ours * PROXY_COUNT),
        "lines_per_s": round(ours * PROXY_COUNT * LINES_PER_MESSAGE),
        "bare_messages_per_s": round(bare * PROXY_COUNT),
        "ratio": round(ours / bare, 3),
        "ratios": [round(ours / bare, 3) for ours, bare in rows],
    }


if __name__ == "__main__":
    print(json.dumps(run(3.0), indent=1))
