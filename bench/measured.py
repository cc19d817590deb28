"""The real controller daemon with histograms of its times: `python -m bench.measured CONFIG OUT`.

SIGUSR1 ends a phase: its figures are recorded, and the histograms are reset. The figures of all phases are written to
OUT at exit.
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


def summarize_histogram(histogram: HdrHistogram) -> dict[str, Any]:
    """Return count, percentiles and maximum in ms of a histogram in microseconds."""
    percentiles_ms = {
        f"p{percent:g}": round(histogram.get_value_at_percentile(percent) / 1000.0, 3) for percent in (50, 90, 99, 99.9)
    }
    return {"count": histogram.get_total_count(), **percentiles_ms, "max": round(histogram.get_max_value() / 1000.0, 3)}


def resident_mib() -> float:
    """Return the resident memory of this process in MiB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20


class Histograms:
    """Times of the current phase in microseconds: duration of steps, delay until an ack, lateness of steps."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Reset all histograms."""
        self.turns = HdrHistogram(1, 120_000_000, 3)
        self.acks = HdrHistogram(1, 120_000_000, 3)
        self.late = HdrHistogram(1, 120_000_000, 3)


HISTOGRAMS = Histograms()  # one set, since this process runs one controller


class MeasuredLoop(DecisionLoop):
    """Decision loop that times each step."""

    def step(self) -> None:
        """Run one step; record how late it begins and, if it had events, how long it takes."""
        HISTOGRAMS.late.record_value(max(1, int((self._context.clock() - self._timer.due_at_ms) * 1000.0)))
        begun_at = time.perf_counter()
        super().step()
        duration_us = (time.perf_counter() - begun_at) * 1e6
        if self._engine.last_step and self._engine.last_step[1]:
            HISTOGRAMS.turns.record_value(max(1, int(duration_us)))


class MeasuredConnections(ProxyConnections):
    """Proxy connections that time each ack."""

    def on_frame(self, link: ProxyConnection, frame: frames.Frame) -> None:
        """Process a frame; for an ack, record the time since the version was sent."""
        if isinstance(frame, frames.Ack) and link.is_joined and link.link.acked:
            HISTOGRAMS.acks.record_value(max(1, int((self.clock() - link.link.acked[0][1]) * 1000.0)))
        super().on_frame(link, frame)


class MeasuredController(Controller):
    """A controller that records its figures by phase."""

    def __init__(self, config: ControllerConfig, path: str) -> None:
        factories = Factories(decision_loop=MeasuredLoop, proxy_connections=MeasuredConnections)
        super().__init__(config, config_path=path, factories=factories)
        self.phases: list[dict[str, Any]] = []
        self.begin_phase()

    def begin_phase(self) -> None:
        """Begin a phase."""
        HISTOGRAMS.reset()
        self.channel.max_queued_lines = self.channel.queued_lines
        self.cpu_begun_at, self.begun_at = time.process_time(), time.monotonic()

    def end_phase(self) -> None:
        """End a phase: record its figures and begin the next."""
        duration_s = time.monotonic() - self.begun_at
        feed = self.load_weights.feed
        self.phases.append(
            {
                "turn_ms": summarize_histogram(HISTOGRAMS.turns),
                "late_ms": summarize_histogram(HISTOGRAMS.late),
                "ack_ms": summarize_histogram(HISTOGRAMS.acks),
                "most_lines_waiting": self.channel.max_queued_lines,
                "resident_mib": round(resident_mib(), 1),
                "cpu_share": round((time.process_time() - self.cpu_begun_at) / duration_s, 3),
                "intake": dict(feed.intake_counts) if feed else {},
                "worth": dict(vars(feed.estimator.counts)) if feed else {},
            }
        )
        self.begin_phase()


async def main(config: str, results_path: str) -> None:
    """Run a controller until SIGTERM, then write the figures of its phases to `results_path`."""
    loaded = load_controller(config)
    configure("json", "error")
    controller = MeasuredController(loaded, config)
    await controller.start()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, controller.stop)
    loop.add_signal_handler(signal.SIGUSR1, controller.end_phase)
    await controller.wait_stopped()
    controller.end_phase()
    Path(results_path).write_text(json.dumps(controller.phases))


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], sys.argv[2]))
