"""Detects that the controller itself is late, and tells which work is delayed meanwhile. Pure.

What hosts that must leave tables need is done in every step. The search for better owners runs on a timer of the
assigner, and that can wait: while steps come late, or fill more of the time than allowed, it is delayed up to a bound.
Guards against a search that takes the time in which messages on draining hosts should go out. May harm a fleet whose
load shifts while the controller is late: owners that are crowded, but answer, stay so for a while longer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

BUSY_HALF_LIFE_MS = 500.0
MIN_SPAN_MS = 0.001


@dataclass(frozen=True)
class OverloadLimits:
    """How late a step may be, what share of the time steps may fill, and how long a timer is delayed at most."""

    max_lateness_ms: float = 100.0
    max_busy_share: float = 0.5
    max_delay_ms: float = 5_000.0


@dataclass
class OverloadDetector:
    """Smooths lateness and load; overload ends once both are below half of their limits."""

    limits: OverloadLimits
    lateness_ms: float = 0.0  # smoothed
    busy_share: float = 0.0  # smoothed part of the time that steps fill
    is_overloaded: bool = False
    delayed_timers: int = 0  # so far
    last_step_ended_at: float = -1.0  # below 0: no step yet
    delayed_since: dict[int, float] = field(default_factory=dict)  # timers that are delayed now

    def on_lateness(self, late_ms: float) -> None:
        """The event loop, or a step, was late. Rises at once, falls by half with each report in time."""
        self.lateness_ms = max(late_ms, self.lateness_ms / 2.0)
        self._update()

    def on_step(self, now: float, took_ms: float) -> None:
        """A step ended at `now`."""
        if self.last_step_ended_at >= 0.0:
            span_ms = max(now - self.last_step_ended_at, took_ms, MIN_SPAN_MS)
            kept = 0.5 ** (span_ms / BUSY_HALF_LIFE_MS)
            self.busy_share = self.busy_share * kept + (took_ms / span_ms) * (1.0 - kept)
        self.last_step_ended_at = now
        self._update()

    def _update(self) -> None:
        limits = self.limits
        is_high = self.lateness_ms > limits.max_lateness_ms or self.busy_share > limits.max_busy_share
        is_low = self.lateness_ms < limits.max_lateness_ms / 2 and self.busy_share < limits.max_busy_share / 2
        if is_high:
            self.is_overloaded = True
        elif is_low:
            self.is_overloaded = False

    def should_delay(self, now: float, timer: int) -> bool:
        """Whether a timer that is due has to wait. Asked at every step while it is due."""
        if not self.is_overloaded:
            self.delayed_since.pop(timer, None)
            return False
        if timer not in self.delayed_since:
            self.delayed_since[timer] = now
            self.delayed_timers += 1
        if now - self.delayed_since[timer] >= self.limits.max_delay_ms:
            del self.delayed_since[timer]
            return False
        return True
