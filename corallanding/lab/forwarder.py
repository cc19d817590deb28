"""A stand-in proxy that forwards requests by its tables, written from `docs/protocol.md`."""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict
from typing import Any

import numpy as np

from ..wire import frames
from .chance import uniform
from .holdings import ProxyState
from .host_link import Attempt, HostConnection, ProxyRules, pick_host
from .net import Cancel, Done, Invoke, Net
from .pinned import PinnedRuns
from .steward_link import ControllerLink, ControllerLinks
from .sums import UsageSums
from .trace import Trace, clock
from .waits import JobQueue

__all__ = ["Attempt", "Proxy", "ProxyRules"]

MAX_VERSION_RETRIES = 4  # retries after hosts that turned out to serve another version


class Proxy:
    """One proxy process. parts: optional parts of the protocol that it supports, as bits."""

    def __init__(
        self,
        number: int,
        zone: int,
        rate: float,
        controllers: list[tuple[str, int]],
        controller_zone: int,
        rules: ProxyRules,
        zones: dict[int, int],
        net: Net,
        trace: Trace,
        seed: int,
        parts: int = 0,
    ) -> None:
        self.number, self.zone, self.rate, self.parts = number, zone, rate, parts
        self.controller_zone, self.rules, self.zones, self.net = controller_zone, rules, zones, net
        self.chance, self.delay_random = np.random.default_rng([seed, number]), np.random.default_rng([seed, number, 1])
        self.seed = seed
        self.observer = trace.observer(f"forwarder {number}")
        self.sessions = itertools.count(1)
        self.links = ControllerLinks(self, controllers)
        self.cut_off = self.down = self.stalled = False
        self.deferred: list[Any] = []  # calls received while the proxy is stalled
        self.connections: dict[int, HostConnection] = {}
        self.outstanding: defaultdict[int, int] = defaultdict(int)
        self.turns = itertools.count()
        self.stopped = False
        self.clear()

    def clear(self) -> None:
        """Reset to the state of a new process."""
        self.session = f"{self.number}-{next(self.sessions)}"
        self.state = ProxyState(len(self.links.addresses), self.rules.usual_retry)
        self.sums = UsageSums(self)
        self.parked: list[Attempt] = []
        self.pinned, self.jobs = PinnedRuns(self), JobQueue(self)

    @property
    def joined(self) -> bool:
        """Return whether any controller has sent its tables."""
        return any(x.joined for x in self.state.controllers)

    @property
    def seq(self) -> int:
        """Return the number of the last messages applied, summed over controllers."""
        return sum(x.seq for x in self.state.controllers)

    @property
    def tables(self) -> dict[int, dict[int, float]]:
        """Return weights by slice and host."""
        return self.state.tables

    def on_message(self, link: ControllerLink, frame: Any) -> None:
        """Handle a message of a controller, after the stall if there is one."""
        if self.stalled:
            self.deferred.append((self.on_message, link, frame))
        else:
            self.links.on_message(link, frame)

    def retry_parked(self) -> None:
        """Try again to send the requests that wait for a host."""
        waiting, self.parked = self.parked, []
        for t in waiting:
            self.send(t)

    def stall(self, on: bool) -> None:
        """Suspend the proxy, or resume it and handle what it received."""
        self.stalled = on
        self.observer.record("stall", on)
        if not on:
            deferred, self.deferred = self.deferred, []
            for call, *args in deferred:
                call(*args)

    def restart(self, down: bool) -> None:
        """Kill the process (`down`) or start it again with empty state."""
        self.down = down
        if down:
            for conn in list(self.connections.values()):
                if conn.transport:
                    conn.transport.abort()
                conn.fail()
            self.links.cut()
            self.jobs.end()
            for t in self.parked:
                self.end(t, "errored")
            self.clear()

    def invoke(self, t: Attempt) -> None:
        """Send an attempt of a client; `t.done` is called once with its result."""
        if self.down:
            t.done("errored")
            return
        if self.stalled:
            self.deferred.append((self.invoke, t))
            return
        self.sums.on_request(t)
        amount, _ = self.state.level(t.slice, t.operation)
        if amount < 1.0 and self.draw(t.inv, t.attempt, 0, 0) >= amount:
            self.observer.record("refused", t.inv, t.attempt)
            t.done("rate-limited")
            return
        t.timer = asyncio.get_running_loop().call_later((t.until - clock()) / 1000.0, self.on_client_timeout, t)
        (self.pinned.start if t.run else self.send)(t)

    def usable(self, t: Attempt) -> list[tuple[int, float]]:
        """Return hosts and weights not tried yet; without ejected ones unless all are ejected."""
        now = clock()
        lines = self.pinned.lines(t) if t.run else self.state.lines(t.slice)
        lines = [(h, w) for h, w in lines if h not in t.tried]
        healthy = [(h, w) for h, w in lines if self.sums.ejected.get(h, 0.0) <= now]
        return healthy or lines

    def draw(self, inv: int, attempt: int, again: int, what: int) -> float:
        """Draw by key, so that two runs that are compared draw the same for the same request."""
        return uniform(self.seed, self.number, inv, attempt * 16 + again, what)

    def send(self, t: Attempt) -> None:
        """Send an attempt to a host, or let it wait for one."""
        if t.ended:
            return
        lines = self.usable(t)
        if not lines:
            if t.tried and not t.wrong_version:
                self.end(t, "errored")
                return
            self.observer.record("none", t.slice, t.inv)
            wait = self.pinned.max_wait_ms(t) if t.run else self.rules.table_wait
            if t.parked is None:
                t.parked = clock() + wait
            if t.parked <= clock():
                self.end(t, "rate-limited")
                return
            self.parked.append(t)
            asyncio.get_running_loop().call_later((t.parked - clock()) / 1000.0, self.on_wait_timeout, t)
            return
        t.host, t.sent, t.wrong_version = pick_host(self, t, lines), clock(), False
        t.tried.append(t.host)
        conn = self.connection(t.host)
        conn.in_flight[t.inv, t.attempt, t.again] = t
        self.outstanding[t.host] += 1
        k = self.state.owner.get(t.slice, -1)
        self.observer.record("send", t.inv, t.attempt, t.again, t.operation, t.slice, t.host, k)
        conn.write(
            frames.encode(
                Invoke(t.inv, t.attempt, t.again, self.number, t.operation, t.slice, t.work, t.run, t.version)
            )
        )
        _, retry_mode = self.state.level(t.slice, t.operation)
        if retry_mode >= 2 and t.again < retry_mode - 1:
            wait = self.rules.aims[t.operation] * self.rules.try_aims / 1000.0
            asyncio.get_running_loop().call_later(wait, self.on_attempt_overdue, t, t.again)

    def on_attempt_overdue(self, t: Attempt, again: int) -> None:
        """Retry an attempt that has not been answered in time."""
        if not t.ended and t.again == again:
            self.drop(t, cancel=True)
            self.sums.on_host_result(t, ok=False)
            self.retry(t)

    def retry(self, t: Attempt) -> None:
        """Send an attempt again, to another host."""
        t.again += 1
        self.send(t)

    def on_wait_timeout(self, t: Attempt) -> None:
        """Reject an attempt that has waited too long for a host."""
        if t in self.parked:
            self.parked.remove(t)
            self.end(t, "rate-limited")

    def connection(self, host: int) -> HostConnection:
        """Return the connection to a host; open one if there is none."""
        conn = self.connections.get(host)
        if conn is None or conn.closed:
            conn = self.connections[host] = HostConnection(self, host, self.zones.get(host, 0))
            asyncio.get_running_loop().create_task(conn.dial(self.state.addresses.get(host, "127.0.0.1:1")))
        return conn

    def drop(self, t: Attempt, cancel: bool) -> None:
        """Stop waiting for a response; with `cancel`, send the host a cancellation."""
        conn = self.connections.get(t.host)
        if conn and conn.in_flight.pop((t.inv, t.attempt, t.again), None):
            self.outstanding[t.host] -= 1
            if cancel:
                conn.write(frames.encode(Cancel(t.inv, t.attempt, t.again)))

    def on_response(self, conn: HostConnection, response: Done) -> None:
        """End or retry the attempt that a host has responded to."""
        if self.stalled:
            self.deferred.append((self.on_response, conn, response))
            return
        t = conn.in_flight.get((response.inv, response.attempt, response.again))
        if t is None:
            return
        self.drop(t, cancel=False)
        self.sums.on_host_result(t, response.status == "ok")
        if response.status == "ok":
            self.end(t, "ok")
        elif response.status == "version" and t.again < MAX_VERSION_RETRIES:
            t.wrong_version = True
            self.retry(t)  # it has not run
        elif self.state.level(t.slice, t.operation)[1] >= 1 and t.again == 0:
            self.retry(t)  # full or draining: it has not run
        else:
            self.end(t, "rate-limited" if response.status != "error" else "errored")

    def on_connection_lost(self, conn: HostConnection) -> None:
        """Retry or fail the requests of a lost connection.

        Without an established connection they have not run; otherwise they may have.
        """
        if self.connections.get(conn.host) is conn:
            del self.connections[conn.host]
        unsent = conn.transport is None
        for t in list(conn.in_flight.values()):
            self.outstanding[conn.host] -= 1
            self.sums.on_host_result(t, ok=False)
            retry_mode = self.state.level(t.slice, t.operation)[1]
            if retry_mode >= (1 if unsent else 2) and t.again < max(1, retry_mode - 1):
                self.retry(t)
            else:
                self.end(t, "rate-limited" if unsent else "errored")
        conn.in_flight.clear()

    def on_client_timeout(self, t: Attempt) -> None:
        """End an attempt whose client has timed out, and cancel it at the host."""
        if t.ended:
            return
        if t in self.parked:
            self.parked.remove(t)
        elif t.host >= 0:
            self.drop(t, cancel=True)
            self.sums.on_host_result(t, ok=False)
        self.end(t, "timed-out")

    def end(self, t: Attempt, status: str) -> None:
        """Pass the result of an attempt to its client, once."""
        if t.ended:
            return
        t.ended = True
        if t.timer:
            t.timer.cancel()
        if status not in ("ok", "rate-limited"):
            self.sums.on_failure(t)
        t.done(status)
