"""The real daemon with two histograms: `python -m bench.measured CONFIG OUT`. OUT gets the figures at its end.

SIGUSR1 ends a phase: its figures are kept, and counting begins anew.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram

from corallanding.config import load_controller
from corallanding.controller.daemon import Controller
from corallanding.controller.proxy_protocol import ProxyConnection
from corallanding.telemetry import configure
from corallanding.wire import frames


def figures(h: HdrHistogram) -> dict[str, Any]:
    ms = {f"p{p:g}": round(h.get_value_at_percentile(p) / 1000.0, 3) for p in (50, 90, 99, 99.9)}
    return {"count": h.get_total_count(), **ms, "max": round(h.get_max_value() / 1000.0, 3)}


def resident_mib() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20


class Measured(Controller):
    """Times are kept in microseconds."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.phases: list[dict[str, Any]] = []
        self.begin()

    def begin(self) -> None:
        self.turns, self.acks = HdrHistogram(1, 120_000_000, 3), HdrHistogram(1, 120_000_000, 3)
        self.late = HdrHistogram(1, 120_000_000, 3)
        self.channel.most = self.channel.waiting
        self.cpu, self.begun = time.process_time(), time.monotonic()

    def phase(self) -> None:
        spent = time.monotonic() - self.begun
        self.phases.append(
            {
                "turn_ms": figures(self.turns),
                "late_ms": figures(self.late),
                "ack_ms": figures(self.acks),
                "most_lines_waiting": self.channel.most,
                "resident_mib": round(resident_mib(), 1),
                "cpu_share": round((time.process_time() - self.cpu) / spent, 3),
                "intake": dict(self.feed.counts) if self.feed else {},
                "worth": dict(vars(self.feed.worth.counts)) if self.feed else {},
            }
        )
        self.begin()

    def step(self) -> None:
        self.late.record_value(max(1, int((self.clock() - self.timer_at) * 1000.0)))
        begun = time.perf_counter()
        super().step()
        took = (time.perf_counter() - begun) * 1e6
        if self.engine.last_step and self.engine.last_step[1]:
            self.turns.record_value(max(1, int(took)))

    def frame(self, link: ProxyConnection, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Ack) and link.is_joined and link.link.acks:
            self.acks.record_value(max(1, int((self.clock() - link.link.acks[0][1]) * 1000.0)))
        super().frame(link, frame)


async def main(config: str, out: str) -> None:
    loaded = load_controller(config)
    configure("json", "error")
    steward = Measured(loaded, path=config)
    await steward.start()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, steward.stop)
    loop.add_signal_handler(signal.SIGUSR1, steward.phase)
    assert steward.stopped is not None
    await steward.stopped
    steward.phase()
    Path(out).write_text(json.dumps(steward.phases))


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], sys.argv[2]))
