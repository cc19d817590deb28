"""Collects events and timers for the assigner, and runs decision steps on them. Pure.

Times are milliseconds on the owner's clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from .. import interface as api


class Decider(Protocol):
    """Makes the decisions: the assigner, or a test double."""

    def step(self, now_ms: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Process events in order and return the resulting actions."""


class DecisionStep(NamedTuple):
    """The events of one step and the resulting actions of the assigner. now_ms: time on the clock."""

    now_ms: float
    events: list[api.Event]
    actions: list[api.Action]


class EventInbox:
    """Events and timers that wait for the next step; a subclass or an owner decides when it runs."""

    def __init__(self, assigner: Decider) -> None:
        self.assigner = assigner
        self.now_ms = 0.0
        self.pending_events: list[tuple[float, int, api.Event]] = []  # time, order of arrival, event
        self.timers: list[tuple[float, int, int]] = []  # a heap of due time, order of arrival, timer
        self.last_sequence = 0  # sequence number of the last event or timer that arrived
        self.step_count = 0
        self.last_step: DecisionStep | None = None

    def add_event(self, at_ms: float, event: api.Event) -> None:
        """Add an event that happened at `at_ms`. Steps deliver events in the order of their times."""
        self.last_sequence += 1
        self.pending_events.append((at_ms, self.last_sequence, event))

    def start_timer(self, at_ms: float, timer: int) -> None:
        """Schedule a timer to fire at `at_ms`."""
        self.last_sequence += 1
        heapq.heappush(self.timers, (at_ms, self.last_sequence, timer))

    def timer_delay(self, now_ms: float, timer: int) -> float | None:
        """Return how long a due timer is delayed, ms; None if it fires now. For subclasses."""

    def fire_due_timers(self, now_ms: float) -> None:
        """Turn due timers into events."""
        delayed = []
        while self.timers and self.timers[0][0] <= now_ms:
            at_ms, sequence, timer = heapq.heappop(self.timers)
            if delay_ms := self.timer_delay(now_ms, timer):
                delayed.append((now_ms + delay_ms, sequence, timer))
            else:
                self.pending_events.append((at_ms, sequence, api.TimerFired(timer)))
        for entry in delayed:
            heapq.heappush(self.timers, entry)

    def take_events(self) -> list[api.Event]:
        """Remove and return all pending events, in order."""
        self.pending_events.sort(key=lambda entry: entry[:2])
        events = [event for _, _, event in self.pending_events]
        self.pending_events = []
        return events

    def run_step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Run the assigner. Without events it is called only for the first step; later steps then have no actions."""
        actions = self.assigner.step(now_ms, events) if events or not self.step_count else []
        self.step_count += 1
        self.last_step = DecisionStep(now_ms, events, actions)
        return actions

    def precompute_scores(self, max_scores: int) -> bool:
        """Precompute some rendezvous scores for later steps; False once none is left. Changes no decision."""
        rendezvous = getattr(self.assigner, "rendezvous", None)
        if rendezvous is None:
            return False
        return bool(rendezvous.precompute(self.assigner.slices, max_scores))  # type: ignore[attr-defined]
