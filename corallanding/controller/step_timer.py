"""The timer of decision steps."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .context import Context
from .engine import Engine

NEVER = float("inf")


class StepTimer:
    """Calls `on_due` at the engine's next due time, and never sooner than one turn after the last step began."""

    def __init__(self, context: Context, engine: Engine) -> None:
        self._context = context
        self._engine = engine
        self._handle: asyncio.TimerHandle | None = None
        self.on_due: Callable[[], None] = lambda: None
        self.due_at_ms = NEVER
        self.last_step_ms = context.clock()
        self.is_held = False  # while the tables of the last step are written to the registry

    def request_step(self) -> None:
        """Make sure that a step comes as soon as one is due. Does nothing while the controller may not act."""
        clock = self._context.clock
        lifecycle = self._context.lifecycle
        due = self._engine.next_at(clock())
        if due is None or self.is_held or not lifecycle.is_running or lifecycle.is_paused:
            return
        at = max(due, clock(), self.last_step_ms + self._context.config.steward.turn_ms)
        if at >= self.due_at_ms:
            return
        if self._handle:
            self._handle.cancel()
        self.due_at_ms = at
        delay = max(0.0, at - clock()) / 1000.0
        self._handle = asyncio.get_running_loop().call_later(delay, self.on_due)

    def begin_step(self, now: float) -> None:
        """Note that the step that was due begins."""
        self._handle = None
        self.due_at_ms = NEVER
        self.last_step_ms = now

    def pause(self) -> None:
        """Cancel the next step; `request_step` schedules it again."""
        self._cancel()
        self.due_at_ms = NEVER

    def stop(self) -> None:
        """Schedule no step from here on."""
        self._cancel()
        self.due_at_ms = -NEVER

    def _cancel(self) -> None:
        if self._handle:
            self._handle.cancel()
            self._handle = None
