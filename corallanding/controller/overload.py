"""Detects that the controller itself is overloaded, and decides which work to delay until it recovers. Pure.

Hosts that must leave tables are handled in every step. The search for better owners runs on a timer of the assigner
and can wait: while steps are late, or take more of the time than allowed, it is delayed up to a limit. Guards against
a search that delays messages about draining hosts. Drawback: if the load of the fleet shifts while the controller is
late, owners that are overloaded but still respond stay so a while longer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

BUSY_HALF_LIFE_MS = 500.0
MIN_SPAN_MS = 0.001


@dataclass(frozen=True)
class OverloadLimits:
    """Limits on the lateness of steps, the share of time that they take, and the delay of a timer."""

    max_lateness_ms: float = 100.0
    max_busy_share: float = 0.5
    max_delay_ms: float = 5_000.0


@dataclass
class OverloadDetector:
    """Smooths the lateness of steps and their share of time; overload ends once both are below half of their limits."""

    limits: OverloadLimits
    lateness_ms: float = 0.0  # smoothed
    busy_share: float = 0.0  # smoothed share of time that steps take
    is_overloaded: bool = False
    delayed_timers: int = 0  # delays since the start
    last_step_ended_at_ms: float = -1.0  # below 0: no step yet
    delayed_since_ms: dict[int, float] = field(default_factory=dict)  # ms, by timer that is delayed now

    def on_lateness(self, late_ms: float) -> None:
        """Record how late the event loop was. The smoothed value rises at once, and at most halves with each report."""
        self.lateness_ms = max(late_ms, self.lateness_ms / 2.0)
        self._update()

    def on_step(self, now_ms: float, duration_ms: float) -> None:
        """Record that a step ended at `now_ms`."""
        if self.last_step_ended_at_ms >= 0.0:
            span_ms = max(now_ms - self.last_step_ended_at_ms, duration_ms, MIN_SPAN_MS)
            decay = 0.5 ** (span_ms / BUSY_HALF_LIFE_MS)
            self.busy_share = self.busy_share * decay + (duration_ms / span_ms) * (1.0 - decay)
        self.last_step_ended_at_ms = now_ms
        self._update()

    def _update(self) -> None:
        limits = self.limits
        is_high = self.lateness_ms > limits.max_lateness_ms or self.busy_share > limits.max_busy_share
        is_low = self.lateness_ms < limits.max_lateness_ms / 2 and self.busy_share < limits.max_busy_share / 2
        if is_high:
            self.is_overloaded = True
        elif is_low:
            self.is_overloaded = False

    def should_delay(self, now_ms: float, timer: int) -> bool:
        """Return whether a due timer is delayed. Called at every step while it is due."""
        if not self.is_overloaded:
            self.delayed_since_ms.pop(timer, None)
            return False
        if timer not in self.delayed_since_ms:
            self.delayed_since_ms[timer] = now_ms
            self.delayed_timers += 1
        if now_ms - self.delayed_since_ms[timer] >= self.limits.max_delay_ms:
            del self.delayed_since_ms[timer]
            return False
        return True
