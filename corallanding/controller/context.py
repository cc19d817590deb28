"""What every component of a controller shares: configuration, clocks, metrics, logs, and the state of the process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum

from .. import interface as api
from ..config import ControllerConfig
from ..telemetry import Metrics, RateLimitedLogger
from .clock import Clock


class ExitCode(IntEnum):
    """Exit codes of the program."""

    CLEAN = 0
    CONFIGURATION = 2
    MODULE = 3  # the assigner failed
    STORE = 4  # it cannot be opened, or is another controller's
    ADDRESS = 5
    HANDOVER_FAILED = 6


class ProcessState(Enum):
    """Which part this process has in a handover; only an active one sends, receives and decides."""

    ACTIVE = "active"
    PAUSED = "paused"
    SUPERSEDED = "superseded"


class Lifecycle:
    """Start, pause and end of the process. request_stop: ends the controller cleanly with an exit code."""

    def __init__(self, request_stop: Callable[[int], None]) -> None:
        self.request_stop = request_stop
        self.state = ProcessState.ACTIVE
        self.is_started = False
        self.is_ready = False
        self.exit_code: int | None = None
        self._stopped = asyncio.Event()

    @property
    def is_running(self) -> bool:
        """Whether the controller has been started and not stopped."""
        return self.is_started and self.exit_code is None

    @property
    def is_paused(self) -> bool:
        """Whether a handover keeps this process silent."""
        return self.state is not ProcessState.ACTIVE

    def finish(self, exit_code: int) -> None:
        """Mark the controller as stopped; the first exit code stands."""
        if self.is_running:
            self.exit_code = exit_code
            self._stopped.set()

    async def wait_stopped(self) -> int:
        """Wait for the end of the controller; its exit code."""
        await self._stopped.wait()
        return self.exit_code or 0


@dataclass
class Context:
    """Cluster by all components of one controller."""

    config: ControllerConfig  # replaced when the configuration is reloaded
    settings: api.Settings  # of the assigner; the same for the life of the process
    clock: Clock
    wall_clock: Callable[[], float]  # seconds
    metrics: Metrics
    rate_limited_log: RateLimitedLogger
    lifecycle: Lifecycle

    def wall_ms(self) -> float:
        """The wall clock in ms."""
        return self.wall_clock() * 1000.0

    def seed(self, start_number: int) -> int:
        """The seed of the assigner's random numbers, another at each start."""
        return self.config.steward.seed * 1_000_003 + start_number
