"""When the assigner's steps run, and score computation between them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import interface as api
from ..controller.event_inbox import EventInbox
from .logs import log

SCORES_AHEAD = 400  # rendezvous scores computed at a time between steps
SCORE_INTERVAL_SECONDS = 0.01
MAX_QUOTED = 600  # characters of the events of a failed step in the log


class DecisionLoop:
    """Runs a step soon after events came, but not more often than `min_interval_ms`, nor more than half of the time.

    `on_actions(now_ms, actions)` carries out a step's actions, `on_step` is called after that. If a step raises, its
    timers are started again to fire after `retry_ms`.
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
        self.max_duration_ms = 0.0  # since a trace last reset it
        self.score_timer: asyncio.TimerHandle | None = None
        self.is_stopped = False

    def schedule(self) -> None:
        """Arrange for the next step, if anything waits for one."""
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
        """Deliver all events that came and carry out the actions."""
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
            # A defect to be fixed. The events of this step are lost, what was known before stands; its timers are
            # started again, or no step would ever come. The state may no longer be sound: the log tells.
            log.exception("a step failed on %d events: %s", len(events), str(events)[:MAX_QUOTED])
            return [api.StartTimer(self.retry_ms, event.timer) for event in events if isinstance(event, api.TimerFired)]

    def precompute_scores(self) -> None:
        """Compute scores ahead of need, a few at a time, so that the event loop stays responsive."""
        self.score_timer = None
        if self.inbox.precompute_scores(SCORES_AHEAD):
            self.score_timer = self.loop.call_later(SCORE_INTERVAL_SECONDS, self.precompute_scores)

    def stop(self) -> None:
        """Run no further step."""
        self.is_stopped = True
        for timer in (self.timer, self.score_timer):
            if timer:
                timer.cancel()
