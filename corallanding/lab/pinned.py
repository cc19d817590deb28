"""Version pinning in a stand-in proxy, written from `docs/protocol.md`.

The proxy queries its controllers for the release of each workflow run and sends its requests by their routes.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

from ..wire import frames
from .host_link import Attempt
from .trace import clock

if TYPE_CHECKING:
    from .forwarder import Proxy

Route = tuple[int, list[tuple[int, float]], float]  # version, lines, wait
MAX_CACHED_RUNS = 4_096  # runs whose pin is cached
PIN_CACHE_MS = 2_000.0  # how long a pin is cached


class PinnedRuns:
    """The pins and routes that one proxy has received."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        # By run: release, versions, ms of expiry.
        self.pins: OrderedDict[str, tuple[int, dict[int, int], float]] = OrderedDict()
        self.pending_queries: dict[int, str] = {}
        self.waiting: dict[str, list[Attempt]] = {}
        self.numbers = itertools.count(1)
        self.register_version = 0  # the highest received: fencing token of the release task
        self.live_sets = set[int]()
        # By (controller, release), then by (slice, request class).
        self.routes: dict[tuple[int, int], dict[tuple[int, int], Route]] = {}

    # ---- release of a run ----------------------------------------------------------------------------------

    def start(self, t: Attempt) -> None:
        """Send an attempt, after the query for its run if the pin is not cached."""
        pin = self.pins.get(t.run)
        if pin and clock() < pin[2]:
            self.send(t)
            return
        first = t.run not in self.waiting
        self.waiting.setdefault(t.run, []).append(t)
        if first:
            self.query(t.run, self.proxy.state.owner.get(t.slice, 0))

    def query(self, run: str, k: int) -> None:
        """Query controller `k`, or the next one that is joined; query another one if no response arrives."""
        proxy = self.proxy
        if proxy.down or not any(not t.ended for t in self.waiting.get(run, [])):
            self.waiting.pop(run, None)
            return
        count, number = len(proxy.links.links), next(self.numbers)
        for step in range(count):
            if proxy.links.send((k + step) % count, frames.RunQuery(number, run, "lab")):
                k = (k + step) % count
                break
        self.pending_queries[number] = run
        asyncio.get_running_loop().call_later(0.4, self.on_query_timeout, number, k)

    def on_query_timeout(self, number: int, k: int) -> None:
        """Query the next controller."""
        if (run := self.pending_queries.pop(number, None)) is not None:
            self.query(run, k + 1)

    def on_message(self, k: int, frame: frames.RunVersions | frames.RunRoutes) -> None:
        """Apply a response or routes of controller `k`; discard those behind the register unless the set is live."""
        if (
            frame.release_set
            and frame.register_version < self.register_version
            and frame.release_set not in self.live_sets
        ):
            kind = "Pinned" if isinstance(frame, frames.RunVersions) else "Routes"
            self.proxy.observer.record(
                "behind", kind, frame.release_set, frame.register_version, self.register_version, k
            )
            if (
                isinstance(frame, frames.RunVersions)
                and (run := self.pending_queries.pop(frame.query, None)) is not None
            ):
                self.query(run, k + 1)
            return
        if isinstance(frame, frames.RunRoutes):
            if frame.register_version >= self.register_version:
                for number in self.live_sets.difference(frame.live_sets):
                    self.proxy.observer.record("retired", number, frame.register_version)
                self.register_version, self.live_sets = frame.register_version, set(frame.live_sets)
            self.routes[k, frame.release_set] = {
                (s, o): (v, lines, max_wait_ms) for s, o, v, lines, max_wait_ms in frame.rows
            }
            for at, number in [key for key in self.routes if key[0] == k and key[1] not in frame.live_sets]:
                del self.routes[at, number]
            self.proxy.state.addresses.update(frame.addresses)
            self.proxy.retry_parked()
            return
        run = self.pending_queries.pop(frame.query, None)
        if run is None:
            return
        if frame.outcome == "not-now":
            asyncio.get_running_loop().call_later(0.1, self.query, run, k + 1)
            return
        waiting = self.waiting.pop(run, [])
        if frame.outcome == "pinned":
            self.pins[run] = (frame.release_set, dict(frame.versions), clock() + PIN_CACHE_MS)
            while len(self.pins) > MAX_CACHED_RUNS:
                self.pins.popitem(last=False)
        self.proxy.observer.record("pin", run, frame.outcome, frame.release_set, k)
        for t in [t for t in waiting if not t.ended]:
            if frame.outcome == "pinned":
                self.send(t)
            else:
                self.proxy.end(t, frame.outcome)

    def send(self, t: Attempt) -> None:
        """Send an attempt whose run is pinned."""
        t.set = self.pins[t.run][0]
        self.proxy.send(t)

    # ---- routes of its requests ----------------------------------------------------------------------------

    def route(self, t: Attempt) -> Route | None:
        """Return the route of the request's release, if one was received."""
        return self.routes.get((self.proxy.state.owner.get(t.slice, 0), t.set), {}).get((t.slice, t.operation))

    def lines(self, t: Attempt) -> list[tuple[int, float]]:
        """Return usable hosts and weights; also set the version that the request asks for."""
        state = self.proxy.state
        if row := self.route(t):
            t.version = row[0]
            cordoned = state.controllers[state.owner.get(t.slice, 0)].cordons
            return [(h, w) for h, w in row[1] if h not in cordoned]
        pin = self.pins.get(t.run)
        t.version = pin[1].get(t.operation, 0) if pin else t.version
        return state.lines(t.slice)

    def max_wait_ms(self, t: Attempt) -> float:
        """Return the ms for which a request without a host waits; 0: it is rejected."""
        row = self.route(t)
        return row[2] if row else self.proxy.rules.table_wait
