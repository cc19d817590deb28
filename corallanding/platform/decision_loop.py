"""Scheduling of the assigner's steps, and score computation between them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import interface as api
from ..controller.event_inbox import EventInbox
from .logs import log

SCORES_PER_BATCH = 400  # rendezvous scores computed without yielding to the event loop
SCORE_INTERVAL_SECONDS = 0.01
MAX_QUOTED_CHARACTERS = 600  # characters of the logged events of a failed step


class DecisionLoop:
    """Runs a step soon after events arrive.

    The pause between steps is at least `min_interval_ms` and at least as long as the last step, so that steps take at
    most half of the time. `on_actions(now_ms, actions)` carries out a step's actions, `on_step` is called after that.
    If a step raises, its timers are started again to fire after `retry_ms`.
    """

    def __init__(
        self,
        inbox: EventInbox,
        clock: Callable[[], float],
        min_interval_ms: float,
        retry_ms: float,
        on_actions: Callable[[float, list[api.Action]], None],
        on_step: Callable[[], None],
    ) -> None:
        self.inbox = inbox
        self.clock = clock
        self.min_interval_ms = min_interval_ms
        self.retry_ms = retry_ms
        self.on_actions = on_actions
        self.on_step = on_step
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.due_at_ms = float("inf")
        self.last_step_at_ms = 0.0
        self.last_duration_ms = 0.0
        self.max_duration_ms = 0.0  # maximum since the last trace line, which resets it
        self.score_timer: asyncio.TimerHandle | None = None
        self.is_stopped = False

    def schedule(self) -> None:
        """Schedule the next step if events are pending or a timer is running."""
        if self.is_stopped:
            return
        now_ms = self.clock()
        pause_ms = max(self.min_interval_ms, self.last_duration_ms)
        step_at_ms = max(now_ms, self.last_step_at_ms + pause_ms)
        if not self.inbox.pending_events:
            if not self.inbox.timers:
                return
            step_at_ms = max(step_at_ms, self.inbox.timers[0][0])
        if step_at_ms < self.due_at_ms:
            if self.timer:
                self.timer.cancel()
            self.due_at_ms = step_at_ms
            self.timer = self.loop.call_later(max(0.0, step_at_ms - now_ms) / 1000.0, self.step)

    def step(self) -> None:
        """Run a step with the pending events and due timers, and carry out its actions."""
        self.due_at_ms = float("inf")
        started_at_ms = self.clock()
        self.inbox.fire_due_timers(started_at_ms)
        self.on_actions(started_at_ms, self._run_step(started_at_ms, self.inbox.take_events()))
        self.last_step_at_ms = self.clock()
        self.last_duration_ms = self.last_step_at_ms - started_at_ms
        self.max_duration_ms = max(self.max_duration_ms, self.last_duration_ms)
        self.on_step()
        self.schedule()
        if self.score_timer is None:
            self.score_timer = self.loop.call_later(SCORE_INTERVAL_SECONDS, self.precompute_scores)

    def _run_step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        try:
            return self.inbox.run_step(now_ms, events)
        except Exception:  # noqa: BLE001 - whatever the assigner raises must not end the controller
            # This is a defect to fix. The events of the step are lost and the earlier state is kept. Its timers are
            # started again, since otherwise no further step might run. The state may be inconsistent; the log shows
            # the cause.
            log.exception("a step failed on %d events: %s", len(events), str(events)[:MAX_QUOTED_CHARACTERS])
            return [api.StartTimer(self.retry_ms, event.timer) for event in events if isinstance(event, api.TimerFired)]

    def precompute_scores(self) -> None:
        """Compute scores before they are needed, in small batches, so that the event loop stays responsive."""
        self.score_timer = None
        if self.inbox.precompute_scores(SCORES_PER_BATCH):
            self.score_timer = self.loop.call_later(SCORE_INTERVAL_SECONDS, self.precompute_scores)

    def stop(self) -> None:
        """Run no further step."""
        self.is_stopped = True
        for timer in (self.timer, self.score_timer):
            if timer:
                timer.cancel()
