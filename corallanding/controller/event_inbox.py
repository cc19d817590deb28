"""Collects events and timers for the assigner, and runs one decision step on all that came. Pure.

Times are milliseconds on the owner's clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from .. import interface as api


class Decider(Protocol):
    """Makes the decisions: the assigner, or a test double in its place."""

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Take in events, in order, and return the actions that follow."""


class DecisionStep(NamedTuple):
    """The events of one step and the actions that the assigner answered them with. now: ms of the clock."""

    now: float
    events: list[api.Event]
    actions: list[api.Action]


class EventInbox:
    """Events and timers until the next step; a subclass or an owner decides when that comes."""

    def __init__(self, assigner: Decider) -> None:
        self.assigner = assigner
        self.now = 0.0
        self.pending_events: list[tuple[float, int, api.Event]] = []  # time, order of arrival, event
        self.timers: list[tuple[float, int, int]] = []  # a heap of due time, order of arrival, timer
        self.last_sequence = 0  # numbers events and timers in the order of their arrival
        self.step_count = 0
        self.last_step: DecisionStep | None = None

    def add_event(self, at: float, event: api.Event) -> None:
        """Note that an event happened at `at`. Steps deliver events in the order of their times."""
        self.last_sequence += 1
        self.pending_events.append((at, self.last_sequence, event))

    def start_timer(self, at: float, timer: int) -> None:
        """Let a timer fire at `at`."""
        self.last_sequence += 1
        heapq.heappush(self.timers, (at, self.last_sequence, timer))

    def timer_delay(self, now: float, timer: int) -> float | None:
        """How many milliseconds a timer that is due has to wait longer; None if it fires. For subclasses."""

    def fire_due_timers(self, now: float) -> None:
        """Turn timers that are due into events."""
        delayed = []
        while self.timers and self.timers[0][0] <= now:
            at, sequence, timer = heapq.heappop(self.timers)
            if delay := self.timer_delay(now, timer):
                delayed.append((now + delay, sequence, timer))
            else:
                self.pending_events.append((at, sequence, api.TimerFired(timer)))
        for entry in delayed:
            heapq.heappush(self.timers, entry)

    def take_events(self) -> list[api.Event]:
        """Empty the inbox; returns its events in order."""
        self.pending_events.sort(key=lambda entry: entry[:2])
        events = [event for _, _, event in self.pending_events]
        self.pending_events = []
        return events

    def run_step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Run the assigner. Without events only its first step is run, later ones have no actions."""
        actions = self.assigner.step(now, events) if events or not self.step_count else []
        self.step_count += 1
        self.last_step = DecisionStep(now, events, actions)
        return actions

    def precompute_scores(self, max_scores: int) -> bool:
        """Work out some rendezvous scores ahead of the next step; false once none is left. Changes no decision."""
        rendezvous = getattr(self.assigner, "rendezvous", None)
        if rendezvous is None:
            return False
        return bool(rendezvous.precompute(self.assigner.slices, max_scores))  # type: ignore[attr-defined]
