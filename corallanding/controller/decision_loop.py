"""Runs decision steps: the engine decides, the decisions are stored, then they are carried out."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

from ..interface.stored_names import NAMES
from ..telemetry import log
from .context import Context, ExitCode
from .engine import Engine
from .output_dispatch import OutputDispatcher
from .persistence import TablePersistence
from .proxy_channel import ProxyChannel
from .step_observer import StepObserver
from .step_timer import StepTimer

SCORES_PER_BATCH = 2_000  # rendezvous scores precomputed at a time between steps; a batch takes 1-2 ms
BATCH_INTERVAL_S = 0.001


class DecisionLoop:
    """Runs the engine's steps. observers: notified of each step that had an event or an action."""

    def __init__(
        self,
        context: Context,
        engine: Engine,
        timer: StepTimer,
        persistence: TablePersistence,
        dispatcher: OutputDispatcher,
        proxy_channel: ProxyChannel,
        observers: Sequence[StepObserver],
    ) -> None:
        self._context = context
        self._engine = engine
        self._timer = timer
        self._persistence = persistence
        self._dispatcher = dispatcher
        self._proxy_channel = proxy_channel
        self._observers = observers
        self._registry_write: asyncio.Task[None] | None = None
        self._deciding_ms = 0.0  # duration of the first half of the step
        self._is_precomputing = False

    def step(self) -> None:
        """Run one step: the engine decides on all pending events. A registry write delays the second half."""
        started_ms = self._context.clock()
        self._deciding_ms = 0.0
        self._context.metrics.step_delay_seconds.observe(max(0.0, started_ms - self._timer.due_at_ms) / 1000.0)
        self._timer.begin_step(started_ms)
        self._engine.is_store_backing_off = started_ms < self._persistence.retry_at_ms
        try:
            writes = self._engine.decide(started_ms)
        except Exception:  # noqa: BLE001 - whatever the assigner raises ends the controller, with its own exit code
            # A failed assigner leaves no state to continue from: a new process starts from the store.
            log.exception("the assigner failed")
            self._context.lifecycle.request_stop(ExitCode.ASSIGNER)
            return
        self._notify_observers()
        if self._persistence.needs_registry_write(started_ms, writes):
            # The next step waits for this write: nothing may be sent before the registry has stored it.
            self._deciding_ms = self._context.clock() - started_ms
            self._timer.is_write_pending = True
            self._registry_write = asyncio.get_running_loop().create_task(self._write_then_finish(started_ms))
            return
        is_stored = self._persistence.write(started_ms, writes)
        self._deciding_ms = self._context.clock() - started_ms
        self._finish(started_ms, is_stored=is_stored)

    def stop(self) -> None:
        """Abandon a step that waits for the registry."""
        if self._registry_write:
            self._registry_write.cancel()

    def _notify_observers(self) -> None:
        step = self._engine.last_step
        if step is None:
            return
        if step.events or step.actions:
            for observer in self._observers:
                observer.on_step(step)
        if self._engine.overload.is_overloaded:
            return  # counts per kind are skipped to save time
        metrics = self._context.metrics
        for kind, count in Counter(NAMES[type(event)] for event in step.events).items():
            metrics.events.labels(kind).inc(count)
        for kind, count in Counter(NAMES[type(action)] for action in step.actions).items():
            metrics.actions.labels(kind).inc(count)

    async def _write_then_finish(self, started_ms: float) -> None:
        is_stored = await self._persistence.write_to_registry()
        self._registry_write = None
        self._timer.is_write_pending = False
        if self._context.lifecycle.is_running:
            self._finish(started_ms, is_stored=is_stored)

    def _finish(self, started_ms: float, *, is_stored: bool) -> None:
        """Publish the outputs of a step: its second half."""
        resumed_ms = self._context.clock()
        for output in self._engine.publish(is_stored):
            self._dispatcher.dispatch(started_ms, output)
        ended_ms = self._context.clock()
        self._engine.overload.on_step(ended_ms, self._deciding_ms + ended_ms - resumed_ms)
        metrics = self._context.metrics
        metrics.step_seconds.observe((ended_ms - started_ms) / 1000.0)
        metrics.unsaved_tables.set(len(self._engine.unsaved_tables))
        metrics.dropped_usage_rows.set(self._engine.usage.dropped_rows)
        metrics.discarded_orders.set(self._engine.discarded_actions)
        self._proxy_channel.pump()
        self._timer.request_step()
        if not self._is_precomputing:
            self._is_precomputing = True
            asyncio.get_running_loop().call_soon(self._precompute_scores)

    def _precompute_scores(self) -> None:
        """Precompute scores for later steps, one batch at a time."""
        is_running = self._context.lifecycle.is_running
        self._is_precomputing = is_running and self._engine.precompute_scores(SCORES_PER_BATCH)
        if self._is_precomputing:
            asyncio.get_running_loop().call_later(BATCH_INTERVAL_S, self._precompute_scores)
