"""Whether the steward itself is late, and what waits meanwhile. Pure.

What hosts that must go need is done in every step. Looking for better owners is done in the module's own turns, and
those can wait: while steps come late, or fill more of the time than `share`, turns are put off, up to `put_off_most`.
Guards against turns that eat the time in which drains should go out. Could harm a fleet whose load shifts while the
steward is late: owners that are crowded, but answer, stay so for a while longer.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class OverloadLimits:
    """late: ms that a step may be late. share: of the time that steps may fill. put_off_most: ms."""

    max_lateness_ms: float = 100.0
    max_busy_share: float = 0.5
    max_delay_ms: float = 5_000.0


@dataclass
class OverloadDetector:
    limits: OverloadLimits
    lateness_ms: float = 0.0  # smoothed lateness, ms
    busy_share: float = 0.0  # smoothed part of the time that steps fill
    is_overloaded: bool = False
    delayed_timers: int = 0  # turns that were made to wait so far
    last_step_ended_at: float = -1.0
    delayed_since: dict[int, float] = field(default_factory=dict)  # timers put off: since when

    def on_lateness(self, late: float) -> None:
        """The loop, or a step, came so late. Rises at once, falls by half with each sound word."""
        self.lateness_ms = max(late, self.lateness_ms / 2.0)
        self.judge()

    def on_step(self, now: float, took: float) -> None:
        """A step ended at `now` after `took` ms."""
        if self.last_step_ended_at >= 0.0:
            span = max(now - self.last_step_ended_at, took, 0.001)
            keep = 0.5 ** (span / 500.0)
            self.busy_share = self.busy_share * keep + (took / span) * (1.0 - keep)
        self.last_step_ended_at = now
        self.judge()

    def judge(self) -> None:
        high = self.lateness_ms > self.limits.max_lateness_ms or self.busy_share > self.limits.max_busy_share
        low = self.lateness_ms < self.limits.max_lateness_ms / 2 and self.busy_share < self.limits.max_busy_share / 2
        if high != self.is_overloaded and (high or low):
            self.is_overloaded = high

    def should_delay(self, now: float, handle: int) -> bool:
        """Whether the timer `handle`, due now, is to wait. Asked at every step while it is due."""
        if not self.is_overloaded:
            self.delayed_since.pop(handle, None)
            return False
        if handle not in self.delayed_since:
            self.delayed_since[handle] = now
            self.delayed_timers += 1
        if now - self.delayed_since[handle] >= self.limits.max_delay_ms:
            del self.delayed_since[handle]
            return False
        return True
