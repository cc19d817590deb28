"""Objects shared by all components of a controller: configuration, clocks, metrics, logs, process state."""

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
    ASSIGNER = 3  # the assigner failed
    STORE = 4  # it cannot be opened, or another controller has it open
    ADDRESS = 5
    HANDOVER_FAILED = 6


class ProcessState(Enum):
    """The state of this process in a handover; only an active process sends, receives and decides."""

    ACTIVE = "active"
    PAUSED = "paused"
    SUPERSEDED = "superseded"


class Lifecycle:
    """Start, pause and end of the process. request_stop: stops the controller cleanly with an exit code."""

    def __init__(self, request_stop: Callable[[int], None]) -> None:
        self.request_stop = request_stop
        self.state = ProcessState.ACTIVE
        self.is_started = False
        self.is_ready = False
        self.exit_code: int | None = None
        self._stopped = asyncio.Event()

    @property
    def is_running(self) -> bool:
        """Return whether the controller has been started and not stopped."""
        return self.is_started and self.exit_code is None

    @property
    def is_paused(self) -> bool:
        """Return whether this process must not send because of a handover."""
        return self.state is not ProcessState.ACTIVE

    def finish(self, exit_code: int) -> None:
        """Mark the controller as stopped; later calls do not change the exit code."""
        if self.is_running:
            self.exit_code = exit_code
            self._stopped.set()

    async def wait_stopped(self) -> int:
        """Wait until the controller has stopped; return its exit code."""
        await self._stopped.wait()
        return self.exit_code or 0


@dataclass
class Context:
    """Objects shared by all components of one controller."""

    config: ControllerConfig  # replaced when the configuration is reloaded
    settings: api.Settings  # of the assigner; constant while the process runs
    clock: Clock
    wall_clock: Callable[[], float]  # seconds
    metrics: Metrics
    rate_limited_log: RateLimitedLogger
    lifecycle: Lifecycle

    def wall_ms(self) -> float:
        """Return the wall clock, ms."""
        return self.wall_clock() * 1000.0

    def seed(self, start_number: int) -> int:
        """Return the seed of the assigner's random numbers, which differs at each start."""
        return self.config.steward.seed * 1_000_003 + start_number
