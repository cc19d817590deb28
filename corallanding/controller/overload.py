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

    late: float = 100.0
    share: float = 0.5
    put_off_most: float = 5_000.0


@dataclass
class OverloadDetector:
    limits: OverloadLimits
    lag: float = 0.0  # smoothed lateness, ms
    busy: float = 0.0  # smoothed part of the time that steps fill
    strained: bool = False
    put_off: int = 0  # turns that were made to wait so far
    ended: float = -1.0
    held: dict[int, float] = field(default_factory=dict)  # timers put off: since when

    def lagged(self, late: float) -> None:
        """The loop, or a step, came so late. Rises at once, falls by half with each sound word."""
        self.lag = max(late, self.lag / 2.0)
        self.judge()

    def stepped(self, now: float, took: float) -> None:
        """A step ended at `now` after `took` ms."""
        if self.ended >= 0.0:
            span = max(now - self.ended, took, 0.001)
            keep = 0.5 ** (span / 500.0)
            self.busy = self.busy * keep + (took / span) * (1.0 - keep)
        self.ended = now
        self.judge()

    def judge(self) -> None:
        high = self.lag > self.limits.late or self.busy > self.limits.share
        low = self.lag < self.limits.late / 2 and self.busy < self.limits.share / 2
        if high != self.strained and (high or low):
            self.strained = high

    def waits(self, now: float, handle: int) -> bool:
        """Whether the timer `handle`, due now, is to wait. Asked at every step while it is due."""
        if not self.strained:
            self.held.pop(handle, None)
            return False
        if handle not in self.held:
            self.held[handle] = now
            self.put_off += 1
        if now - self.held[handle] >= self.limits.put_off_most:
            del self.held[handle]
            return False
        return True
