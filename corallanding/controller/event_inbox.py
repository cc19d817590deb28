"""The module's turns: what happened waits here in order, timers fall due here, a step delivers all of it. Pure."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import Protocol

from .. import interface as api


class Decider(Protocol):
    """The module, or a test double in its place."""

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]: ...


class EventInbox:
    """Times in milliseconds on the owner's clock. Both fronts drive the module through this."""

    def __init__(self, module: Decider) -> None:
        self.assigner = module
        self.now = 0.0
        self.pending_events: list[tuple[float, int, api.Event]] = []
        self.timers: list[tuple[float, int, int]] = []
        self.last_sequence = 0
        self.step_count = 0
        self.last_step: tuple[float, list[api.Event], list[api.Action]] | None = None  # for the recorder

    def add_event(self, at: float, e: api.Event) -> None:
        """Something happened at `at`. Steps deliver events in the order of their times."""
        self.last_sequence += 1
        self.pending_events.append((at, self.last_sequence, e))

    def start_timer(self, at: float, handle: int) -> None:
        self.last_sequence += 1
        heapq.heappush(self.timers, (at, self.last_sequence, handle))

    def timer_delay(self, now: float, handle: int) -> float | None:
        """How long a timer that is due is to wait still, if it is: the owner's word."""
        return None

    def fire_due_timers(self, now: float) -> None:
        """Timers that are due go among what happened."""
        later = []
        while self.timers and self.timers[0][0] <= now:
            at, count, handle = heapq.heappop(self.timers)
            if wait := self.timer_delay(now, handle):
                later.append((now + wait, count, handle))
            else:
                self.pending_events.append((at, count, api.TimerFired(handle)))
        for timer in later:
            heapq.heappush(self.timers, timer)

    def take_events(self) -> list[api.Event]:
        """All that came, in order; the inbox is empty then."""
        self.pending_events.sort(key=lambda item: item[:2])
        events = [e for _, _, e in self.pending_events]
        self.pending_events = []
        return events

    def run_step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Run the module; its first step comes even if nothing has happened."""
        actions = self.assigner.step(now, events) if events or not self.step_count else []
        self.step_count += 1
        self.last_step = (now, events, actions)
        return actions

    def precompute_scores(self, marks: int) -> bool:
        """Marks what the module will ask for, between steps; false once nothing is left. Changes no decision."""
        rendezvous = getattr(self.assigner, "rendezvous", None)
        return rendezvous is not None and rendezvous.precompute(self.assigner.slices, marks)  # type: ignore[attr-defined]
