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
        self.module = module
        self.now = 0.0
        self.inbox: list[tuple[float, int, api.Event]] = []
        self.timers: list[tuple[float, int, int]] = []
        self.counter = 0
        self.steps = 0
        self.last: tuple[float, list[api.Event], list[api.Action]] | None = None  # for the recorder

    def event(self, at: float, e: api.Event) -> None:
        """Something happened at `at`. Steps deliver events in the order of their times."""
        self.counter += 1
        self.inbox.append((at, self.counter, e))

    def remind(self, at: float, handle: int) -> None:
        self.counter += 1
        heapq.heappush(self.timers, (at, self.counter, handle))

    def put_off(self, now: float, handle: int) -> float | None:
        """How long a timer that is due is to wait still, if it is: the owner's word."""
        return None

    def fall_due(self, now: float) -> None:
        """Timers that are due go among what happened."""
        later = []
        while self.timers and self.timers[0][0] <= now:
            at, count, handle = heapq.heappop(self.timers)
            if wait := self.put_off(now, handle):
                later.append((now + wait, count, handle))
            else:
                self.inbox.append((at, count, api.TimerFired(handle)))
        for timer in later:
            heapq.heappush(self.timers, timer)

    def collect(self) -> list[api.Event]:
        """All that came, in order; the inbox is empty then."""
        self.inbox.sort(key=lambda item: item[:2])
        events = [e for _, _, e in self.inbox]
        self.inbox = []
        return events

    def deliver(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Run the module; its first step comes even if nothing has happened."""
        actions = self.module.step(now, events) if events or not self.steps else []
        self.steps += 1
        self.last = (now, events, actions)
        return actions

    def ahead(self, marks: int) -> bool:
        """Marks what the module will ask for, between steps; false once nothing is left. Changes no decision."""
        rendezvous = getattr(self.module, "rendezvous", None)
        return rendezvous is not None and rendezvous.precompute(self.module.slices, marks)  # type: ignore[attr-defined]
