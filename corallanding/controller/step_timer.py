"""Schedules decision steps."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .context import Context
from .engine import Engine

NEVER = float("inf")


class StepTimer:
    """Calls `on_due` when the engine's next step is due, but not within `turn_ms` after the last one began."""

    def __init__(self, context: Context, engine: Engine) -> None:
        self._context = context
        self._engine = engine
        self._handle: asyncio.TimerHandle | None = None
        self.on_due: Callable[[], None] = lambda: None
        self.due_at_ms = NEVER
        self.last_step_ms = context.clock()
        self.is_write_pending = False  # the registry is storing the last step's tables

    def request_step(self) -> None:
        """Schedule the next step for when it is due; not while the controller is paused, stopping or writing tables."""
        clock = self._context.clock
        lifecycle = self._context.lifecycle
        due_ms = self._engine.next_at(clock())
        if due_ms is None or self.is_write_pending or not lifecycle.is_running or lifecycle.is_paused:
            return
        at_ms = max(due_ms, clock(), self.last_step_ms + self._context.config.steward.turn_ms)
        if at_ms >= self.due_at_ms:
            return
        if self._handle:
            self._handle.cancel()
        self.due_at_ms = at_ms
        delay_s = max(0.0, at_ms - clock()) / 1000.0
        self._handle = asyncio.get_running_loop().call_later(delay_s, self.on_due)

    def begin_step(self, now_ms: float) -> None:
        """Record that the due step begins."""
        self._handle = None
        self.due_at_ms = NEVER
        self.last_step_ms = now_ms

    def pause(self) -> None:
        """Cancel the next step; `request_step` schedules it again."""
        self._cancel()
        self.due_at_ms = NEVER

    def stop(self) -> None:
        """Cancel the next step and schedule no more."""
        self._cancel()
        self.due_at_ms = -NEVER

    def _cancel(self) -> None:
        if self._handle:
            self._handle.cancel()
            self._handle = None
