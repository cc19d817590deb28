"""Decision steps: when one is due the engine decides, what it decided is saved, then it is carried out."""

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

SCORES_PER_SLOT = 2_000  # rendezvous scores computed ahead at a time between steps: a millisecond or two
SLOT_INTERVAL_S = 0.001


class DecisionLoop:
    """Runs the engine's steps. observers: told of each step that had an event or an action."""

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
        self._writing: asyncio.Task[None] | None = None
        self._deciding_ms = 0.0  # time that the first half of the step took
        self._is_computing_ahead = False

    def step(self) -> None:
        """Run one step. The engine decides on all events that came; a registry write delays the second half."""
        begun = self._context.clock()
        self._deciding_ms = 0.0
        self._context.metrics.step_delay_seconds.observe(max(0.0, begun - self._timer.due_at_ms) / 1000.0)
        self._timer.begin_step(begun)
        self._engine.is_store_backing_off = begun < self._persistence.retry_at_ms
        try:
            writes = self._engine.decide(begun)
        except Exception:  # noqa: BLE001 - whatever the assigner raises ends the controller, with its own exit code
            # An assigner that fails has no state to go on from: a new process starts from the store.
            log.exception("the assigner failed")
            self._context.lifecycle.request_stop(ExitCode.MODULE)
            return
        self._notify_observers()
        if self._persistence.needs_registry_write(begun, writes):
            # The next step waits for this one's write: what is sent is saved first, there too.
            self._deciding_ms = self._context.clock() - begun
            self._timer.is_held = True
            self._writing = asyncio.get_running_loop().create_task(self._write_then_finish(begun))
            return
        is_stored = self._persistence.write(begun, writes)
        self._deciding_ms = self._context.clock() - begun
        self._finish(begun, is_stored=is_stored)

    def stop(self) -> None:
        """Abandon a step that waits for the registry."""
        if self._writing:
            self._writing.cancel()

    def _notify_observers(self) -> None:
        step = self._engine.last_step
        if step is None:
            return
        if step.events or step.actions:
            for observer in self._observers:
                observer.on_step(step)
        if self._engine.overload.is_overloaded:
            return  # detail that can wait
        metrics = self._context.metrics
        for kind, count in Counter(NAMES[type(event)] for event in step.events).items():
            metrics.events.labels(kind).inc(count)
        for kind, count in Counter(NAMES[type(action)] for action in step.actions).items():
            metrics.actions.labels(kind).inc(count)

    async def _write_then_finish(self, begun: float) -> None:
        is_stored = await self._persistence.write_to_registry()
        self._writing = None
        self._timer.is_held = False
        if self._context.lifecycle.is_running:
            self._finish(begun, is_stored=is_stored)

    def _finish(self, begun: float, *, is_stored: bool) -> None:
        """The second half of a step: publish."""
        resumed = self._context.clock()
        for output in self._engine.publish(is_stored):
            self._dispatcher.dispatch(begun, output)
        ended = self._context.clock()
        self._engine.overload.on_step(ended, self._deciding_ms + ended - resumed)
        metrics = self._context.metrics
        metrics.step_seconds.observe((ended - begun) / 1000.0)
        metrics.unsaved_tables.set(len(self._engine.unsaved_tables))
        metrics.dropped_usage_rows.set(self._engine.usage.dropped_rows)
        metrics.discarded_orders.set(self._engine.discarded_actions)
        self._proxy_channel.pump()
        self._timer.request_step()
        if not self._is_computing_ahead:
            self._is_computing_ahead = True
            asyncio.get_running_loop().call_soon(self._compute_ahead)

    def _compute_ahead(self) -> None:
        """Compute scores of coming steps, a slot at a time."""
        is_running = self._context.lifecycle.is_running
        self._is_computing_ahead = is_running and self._engine.precompute_scores(SCORES_PER_SLOT)
        if self._is_computing_ahead:
            asyncio.get_running_loop().call_later(SLOT_INTERVAL_S, self._compute_ahead)
