"""The real daemon with two histograms: `python -m bench.measured CONFIG OUT`. OUT gets the figures at its end."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram

from corallanding.config import load_steward
from corallanding.steward.daemon import Steward
from corallanding.steward.links import LinkProtocol
from corallanding.telemetry import configure
from corallanding.wire import frames


def figures(h: HdrHistogram) -> dict[str, Any]:
    ms = {f"p{p:g}": round(h.get_value_at_percentile(p) / 1000.0, 3) for p in (50, 90, 99, 99.9)}
    return {"count": h.get_total_count(), **ms, "max": round(h.get_max_value() / 1000.0, 3)}


class Measured(Steward):
    """Times are kept in microseconds."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.turns, self.acks = HdrHistogram(1, 120_000_000, 3), HdrHistogram(1, 120_000_000, 3)
        self.asked: list[float] = []

    def step(self) -> None:
        begun = time.perf_counter()
        super().step()
        took = (time.perf_counter() - begun) * 1e6
        if self.engine.last and self.engine.last[1]:
            self.turns.record_value(max(1, int(took)))

    def frame(self, link: LinkProtocol, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Ack) and link.joined and link.link.acks:
            self.acks.record_value(max(1, int((self.clock() - link.link.acks[0][1]) * 1000.0)))
        super().frame(link, frame)


async def main(config: str, out: str) -> None:
    loaded = load_steward(config)
    configure("json", "warning")
    steward = Measured(loaded, path=config)
    await steward.start()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, steward.stop)
    # Begin to count when the fleet has joined and settled.
    loop.add_signal_handler(signal.SIGUSR1, lambda: (steward.turns.reset(), steward.acks.reset()))
    assert steward.stopped is not None
    await steward.stopped
    with open(out, "w") as file:
        json.dump({"turn_ms": figures(steward.turns), "ack_ms": figures(steward.acks),
                   "most_lines_waiting": steward.channel.most}, file)  # fmt: skip


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], sys.argv[2]))
