"""Steps: when one is due, what it decides is kept, then said."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from .. import interface as api
from ..channel import Overrun
from ..interface.stored_names import NAMES
from ..telemetry import log
from .components import Parts
from .step_outputs import NO_VERSION, CheckHost, Output, SendFrame

AHEAD = 2_000  # marks of the module worked out at a time between steps: a millisecond or two


class Turning(Parts):
    """What happened becomes a step of the engine; what it hands out is kept first, then carried out."""

    def wake(self) -> None:
        """A step comes at the engine's next due time, and never sooner than a turn after the last."""
        due = self.engine.next_at(self.clock())
        if due is None or self.stopped is None or self.stopped.done() or self.writing or self.paused:
            return
        at = max(due, self.clock(), self.stepped_at + self.config.steward.turn_ms)
        if at >= self.timer_at:
            return
        if self.timer:
            self.timer.cancel()
        self.timer_at = at
        self.timer = asyncio.get_running_loop().call_later(max(0.0, at - self.clock()) / 1000.0, self.step)

    def step(self) -> None:
        begun = self.clock()
        self.spent = 0.0
        self.metrics.step_delay_seconds.observe(max(0.0, begun - self.timer_at) / 1000.0)
        self.timer, self.timer_at, self.stepped_at = None, float("inf"), begun
        self.engine.is_store_backing_off = begun < self.store_again
        try:
            writes = self.engine.decide(begun)
        except Exception:
            # A module that fails has no state to go on from: a new life starts from the store.
            log.exception("the module failed")
            self.stop(3)
            return
        assert self.engine.last_step is not None
        now, events, actions = self.engine.last_step
        if self.steps_log and (events or actions):
            self.steps_log.write_step(now, events, actions)
            if self.steps_log.is_stopped:
                # A log with a gap must not be taken up: without its snapshot it is nothing.
                log.error(
                    "the log of steps ends here; the next snapshot begins another", why=self.steps_log.stop_reason
                )
                Path(str(self.config.store.snapshot_path)).unlink(missing_ok=True)
                self.steps_log.close()
                self.steps_log = None
        if self.recorder and (events or actions):
            self.recorder.write_step(now, events, actions)
            if self.recorder.is_stopped:
                log.error("the recording ends here", why=self.recorder.stop_reason)
                self.recorder.close()
                self.recorder = None
        if self.feed:
            for e in events:
                if isinstance(e, api.HostUsageReport):
                    self.feed.worth.seen(e.host, e.attempts, e.failed, e.latency_ms)
        if not self.engine.overload.is_overloaded:  # detail that can wait
            for kind, count in Counter(NAMES[type(e)] for e in events).items():
                self.metrics.events.labels(kind).inc(count)
            for kind, count in Counter(NAMES[type(a)] for a in actions).items():
                self.metrics.actions.labels(kind).inc(count)
        if self.keeper and begun >= self.store_again and (writes.entries or writes.resets):
            # The next step waits for this one's write: what is sent is kept first, there too.
            self.spent = self.clock() - begun
            self.writing = asyncio.get_running_loop().create_task(self.keep_shared(begun))
            return
        stored = not self.store_faults if self.keeper else self.keep(begun, writes)
        self.spent = self.clock() - begun
        self.finish(begun, stored)

    def finish(self, begun: float, stored: bool) -> None:
        """The second half of a step."""
        resumed = self.clock()
        for output in self.engine.publish(stored):
            self.carry_out(begun, output)
        ended = self.clock()
        self.engine.overload.on_step(ended, self.spent + ended - resumed)
        self.metrics.step_seconds.observe((ended - begun) / 1000.0)
        self.metrics.unsaved_tables.set(len(self.engine.unsaved_tables))
        self.metrics.dropped_usage_rows.set(self.engine.usage.dropped_rows)
        self.metrics.discarded_orders.set(self.engine.discarded_actions)
        self.pump()
        self.wake()
        if not self.working_ahead:
            self.working_ahead = True
            asyncio.get_running_loop().call_soon(self.ahead)

    def ahead(self) -> None:
        """Between steps, a millisecond or two at a time."""
        going = self.stopped is not None and not self.stopped.done()
        self.working_ahead = going and self.engine.precompute_scores(AHEAD)
        if self.working_ahead:
            asyncio.get_running_loop().call_later(0.001, self.ahead)

    def submit(self, data: bytes, lines: int, to: tuple[int, ...]) -> None:
        """A frame that is no order of the module's."""
        self.queue(self.clock(), SendFrame(data, lines, NO_VERSION, to))
        self.pump()

    def queue(self, now: float, o: SendFrame) -> None:
        try:
            self.channel.submit(now, o.frame, o.cost_lines, o.version, o.proxies, o.orders, o.is_urgent)
        except Overrun as over:
            for forwarder in over.forwarders:
                if link := self.forwarders.get(forwarder):
                    self.rate_limited_log.warn("link cut off", forwarder=forwarder, why="the channel is full")
                    link.close("overrun", "the channel is full: read the store")

    def carry_out(self, now: float, output: Output) -> None:
        match output:
            case SendFrame():
                self.queue(now, output)
            case CheckHost():
                budgets = self.cluster.quota if self.cluster else None
                if budgets and not budgets.may_begin("probes", output.host, True):
                    # Others ask it already: for the module one that says neither good nor bad.
                    self.probed(api.HealthCheckResult(output.host, api.HealthCheckOutcome.FULL))
                elif output.address:
                    self.prober.check(output.host, output.address)
                else:
                    self.probed(api.HealthCheckResult(output.host, api.HealthCheckOutcome.UNREACHABLE))
            case api.WatchHostList():
                self.roster.follow(output.is_watching)
            case api.FetchHostList():
                self.roster.fetch()
            case api.SendToPeer():
                if self.peers:
                    self.peers.send(output.peer, output.payload)
            case api.LogNote():
                log.info("note", text=output.text)
