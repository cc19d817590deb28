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

from corallanding.config import ControllerConfig, load_controller
from corallanding.controller.daemon import Controller
from corallanding.controller.decision_loop import DecisionLoop
from corallanding.controller.factories import Factories
from corallanding.controller.proxy_connections import ProxyConnections
from corallanding.controller.proxy_protocol import ProxyConnection
from corallanding.telemetry import configure
from corallanding.wire import frames


def figures(h: HdrHistogram) -> dict[str, Any]:
    ms = {f"p{p:g}": round(h.get_value_at_percentile(p) / 1000.0, 3) for p in (50, 90, 99, 99.9)}
    return {"count": h.get_total_count(), **ms, "max": round(h.get_max_value() / 1000.0, 3)}


def resident_mib() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20


class Histograms:
    """What is measured in one phase; times are kept in microseconds."""

    def __init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        """Forget everything."""
        self.turns = HdrHistogram(1, 120_000_000, 3)
        self.acks = HdrHistogram(1, 120_000_000, 3)
        self.late = HdrHistogram(1, 120_000_000, 3)


HISTOGRAMS = Histograms()  # of this process, which runs one controller


class MeasuredLoop(DecisionLoop):
    """Times each step."""

    def step(self) -> None:
        """Run one step, and note how late it began and how long it took."""
        HISTOGRAMS.late.record_value(max(1, int((self._context.clock() - self._timer.due_at_ms) * 1000.0)))
        begun = time.perf_counter()
        super().step()
        took = (time.perf_counter() - begun) * 1e6
        if self._engine.last_step and self._engine.last_step[1]:
            HISTOGRAMS.turns.record_value(max(1, int(took)))


class MeasuredConnections(ProxyConnections):
    """Times each acknowledgement."""

    def on_frame(self, link: ProxyConnection, frame: frames.Frame) -> None:
        """Take a frame, and note how long an acknowledged version was out."""
        if isinstance(frame, frames.Ack) and link.is_joined and link.link.acked:
            HISTOGRAMS.acks.record_value(max(1, int((self.clock() - link.link.acked[0][1]) * 1000.0)))
        super().on_frame(link, frame)


class Measured(Controller):
    """A controller that reports its figures by phases."""

    def __init__(self, config: ControllerConfig, path: str) -> None:
        factories = Factories(decision_loop=MeasuredLoop, proxy_connections=MeasuredConnections)
        super().__init__(config, config_path=path, factories=factories)
        self.phases: list[dict[str, Any]] = []
        self.begin()

    def begin(self) -> None:
        """Begin a phase."""
        HISTOGRAMS.begin()
        self.channel.max_queued_lines = self.channel.queued_lines
        self.cpu, self.begun = time.process_time(), time.monotonic()

    def phase(self) -> None:
        """End a phase: keep its figures."""
        spent = time.monotonic() - self.begun
        feed = self.load_weights.feed
        self.phases.append(
            {
                "turn_ms": figures(HISTOGRAMS.turns),
                "late_ms": figures(HISTOGRAMS.late),
                "ack_ms": figures(HISTOGRAMS.acks),
                "most_lines_waiting": self.channel.max_queued_lines,
                "resident_mib": round(resident_mib(), 1),
                "cpu_share": round((time.process_time() - self.cpu) / spent, 3),
                "intake": dict(feed.intake_counts) if feed else {},
                "worth": dict(vars(feed.estimator.counts)) if feed else {},
            }
        )
        self.begin()


async def main(config: str, out: str) -> None:
    loaded = load_controller(config)
    configure("json", "error")
    steward = Measured(loaded, config)
    await steward.start()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, steward.stop)
    loop.add_signal_handler(signal.SIGUSR1, steward.phase)
    await steward.wait_stopped()
    steward.phase()
    Path(out).write_text(json.dumps(steward.phases))


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], sys.argv[2]))
