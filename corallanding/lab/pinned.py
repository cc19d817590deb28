"""A stand-in forwarder's part for runs that keep their versions: asks its stewards, does what they say. Written from
`docs/protocol.md`."""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

from ..wire import frames
from .host_link import Try
from .trace import clock

if TYPE_CHECKING:
    from .forwarder import Forwarder

Route = tuple[int, list[tuple[int, float]], float]  # version, lines, wait
RUNS_MOST = 4_096  # that it remembers
GOOD = 2_000.0  # ms for which it does


class Pinned:
    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.pins: OrderedDict[str, tuple[int, dict[int, int], float]] = OrderedDict()  # set, versions, until
        self.asked: dict[int, str] = {}
        self.waiting: dict[str, list[Try]] = {}
        self.numbers = itertools.count(1)
        self.register, self.alive = 0, set[int]()  # the latest that any steward told: the fence of the release task
        self.routes: dict[tuple[int, int], dict[tuple[int, int], Route]] = {}  # (steward, set): (slice, operation)

    # ---- which set a run has -------------------------------------------------------------------------------

    def enter(self, t: Try) -> None:
        pin = self.pins.get(t.run)
        if pin and clock() < pin[2]:
            self.go(t)
            return
        first = t.run not in self.waiting
        self.waiting.setdefault(t.run, []).append(t)
        if first:
            self.ask(t.run, self.forwarder.held.owner.get(t.slice, 0))

    def ask(self, run: str, k: int) -> None:
        """Asks steward k, or the next that is joined; again elsewhere if no answer comes."""
        f = self.forwarder
        if f.down or not any(not t.ended for t in self.waiting.get(run, [])):
            self.waiting.pop(run, None)
            return
        count, number = len(f.links.to), next(self.numbers)
        for step in range(count):
            if f.links.send((k + step) % count, frames.RunQuery(number, run, "lab")):
                k = (k + step) % count
                break
        self.asked[number] = run
        asyncio.get_running_loop().call_later(0.4, self.unanswered, number, k)

    def unanswered(self, number: int, k: int) -> None:
        if (run := self.asked.pop(number, None)) is not None:
            self.ask(run, k + 1)

    def told(self, k: int, frame: frames.RunVersions | frames.RunRoutes) -> None:
        if frame.release_set and frame.register_version < self.register and frame.release_set not in self.alive:
            kind = "Pinned" if isinstance(frame, frames.RunVersions) else "Routes"
            self.forwarder.observer.record("behind", kind, frame.release_set, frame.register_version, self.register, k)
            if isinstance(frame, frames.RunVersions) and (run := self.asked.pop(frame.query, None)) is not None:
                self.ask(run, k + 1)
            return
        if isinstance(frame, frames.RunRoutes):
            if frame.register_version >= self.register:
                for number in self.alive.difference(frame.live_sets):
                    self.forwarder.observer.record("retired", number, frame.register_version)
                self.register, self.alive = frame.register_version, set(frame.live_sets)
            self.routes[k, frame.release_set] = {(s, o): (v, lines, wait) for s, o, v, lines, wait in frame.rows}
            for at, number in [key for key in self.routes if key[0] == k and key[1] not in frame.live_sets]:
                del self.routes[at, number]
            self.forwarder.held.addresses.update(frame.addresses)
            self.forwarder.unpark()
            return
        run = self.asked.pop(frame.query, None)
        if run is None:
            return
        if frame.outcome == "not-now":
            asyncio.get_running_loop().call_later(0.1, self.ask, run, k + 1)
            return
        waiting = self.waiting.pop(run, [])
        if frame.outcome == "pinned":
            self.pins[run] = (frame.release_set, dict(frame.versions), clock() + GOOD)
            while len(self.pins) > RUNS_MOST:
                self.pins.popitem(last=False)
        self.forwarder.observer.record("pin", run, frame.outcome, frame.release_set, k)
        for t in [t for t in waiting if not t.ended]:
            if frame.outcome == "pinned":
                self.go(t)
            else:
                self.forwarder.end(t, frame.outcome)

    def go(self, t: Try) -> None:
        t.set = self.pins[t.run][0]
        self.forwarder.send(t)

    # ---- where its invocations go --------------------------------------------------------------------------

    def route(self, t: Try) -> Route | None:
        return self.routes.get((self.forwarder.held.owner.get(t.slice, 0), t.set), {}).get((t.slice, t.operation))

    def lines(self, t: Try) -> list[tuple[int, float]]:
        """Also settles which version the host is asked for."""
        held = self.forwarder.held
        if row := self.route(t):
            t.version = row[0]
            shut = held.said[held.owner.get(t.slice, 0)].cordons
            return [(h, w) for h, w in row[1] if h not in shut]
        pin = self.pins.get(t.run)
        t.version = pin[1].get(t.operation, 0) if pin else t.version
        return held.lines(t.slice)

    def wait(self, t: Try) -> float:
        """For how many ms an invocation without a host waits; 0: it is refused."""
        row = self.route(t)
        return row[2] if row else self.forwarder.rules.table_wait
