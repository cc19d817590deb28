"""A stand-in host with cores, a queue, slow start and warm slices. Work is simulated by timers and uses no CPU."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import cast

from ..wire import frames
from .net import Cancel, Done, Invoke, host_decoder
from .trace import Trace, clock

Key = tuple[int, int, int]


@dataclass(frozen=True)
class HostSpec:
    """Capacity of a host. Times in ms.

    initial_speed_share: share of the full speed at the start of the warm-up. warm_slice_saving: share of the work saved
    on slices that the host has served before. While it warms up, a host crashes if the work received within
    `overload_window_ms` exceeds `max_overload_ratio` times its capacity.
    """

    cores: int = 4
    speed: float = 1.0
    max_queued: int = 64
    warmup_ms: float = 10_000.0
    initial_speed_share: float = 0.2
    warm_slice_saving: float = 0.0
    max_health_checks: int = 8
    overload_window_ms: float = 3_000.0
    max_overload_ratio: float = 4.0


class HostSideConnection(asyncio.Protocol):
    """Requests as frames and health checks as HTTP on one port.

    "GET ", read as the length prefix of a frame, exceeds the largest frame, so the two cannot be confused.
    """

    def __init__(self, host: Host) -> None:
        self.host, self.reader = host, frames.FrameReader(host_decoder, 1 << 16)
        self.first, self.mode = b"", ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        self.host.connections[self] = None

    def data_received(self, data: bytes) -> None:
        if not self.mode:
            self.first += data
            if len(self.first) < 4:
                return
            data, self.mode = self.first, "http" if self.first[:4] == b"GET " else "frames"
        if self.mode == "http":
            self.host.on_health_check(self)
            return
        for frame in self.reader.feed(data):
            self.host.on_frame(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.connections.pop(self, None)


class Host:
    """A host process that can be started, killed, slowed down and paused."""

    def __init__(self, number: int, zone: int, spec: HostSpec, trace: Trace, port: int = 0) -> None:
        self.number, self.zone, self.spec, self.port = number, zone, spec, port
        self.observer = trace.observer(f"host {number}")
        self.connections: dict[HostSideConnection, None] = {}
        self.server: asyncio.Server | None = None
        self.started = 0.0  # wall clock in ms at the start of the process; 0 means long ago
        self.since = -1e12  # start of the process in ms of the trace's clock
        self.slowness, self.taken_share = 1.0, 0.0
        self.hung = self.draining = self.paused = self.crashed_by_overload = False
        self.busy: dict[Key, asyncio.TimerHandle] = {}
        self.queue: deque[tuple[HostSideConnection, Invoke]] = deque()
        self.warm_slices: set[int] = set()
        self.recent_work: deque[tuple[float, float]] = deque()
        self.recent_work_sum = 0.0
        self.health_checks = 0
        self.versions: dict[int, list[int]] = {}  # by request class; empty if the host does not report versions
        self.used, self.used_at = 0.0, clock()  # smoothed share of busy cores for load reports, and its time

    @property
    def address(self) -> str:
        """Return the address of the host."""
        return f"127.0.0.1:{self.port}"

    @property
    def up(self) -> bool:
        """Return whether the process is running."""
        return self.server is not None

    async def start(self, cold: bool, wall: float = 0.0) -> None:
        """Start the process; `cold`: it has to warm up, from wall clock time `wall`."""
        if self.up:
            return
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HostSideConnection(self), "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.since, self.started = (clock(), wall) if cold else (-1e12, 0.0)
        self.draining = self.hung = self.crashed_by_overload = False
        self.warm_slices.clear()
        self.recent_work.clear()
        self.recent_work_sum = 0.0
        s = self.spec
        self.observer.record("start", cold, s.cores * s.speed, s.initial_speed_share, s.warmup_ms)

    def kill(self) -> None:
        """Kill the process: all connections and running requests are lost."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for timer in self.busy.values():
            timer.cancel()
        self.busy.clear()
        self.queue.clear()
        for conn in list(self.connections):
            conn.transport.abort()
        self.observer.record("stop")

    def utilization(self, span: float) -> float:
        """Return the share of busy cores, smoothed over `span` ms; above 1 if requests are queued."""
        now = clock()
        keep = 0.5 ** ((now - self.used_at) / span)
        load = (len(self.busy) + len(self.queue)) / self.spec.cores
        self.used, self.used_at = load + (self.used - load) * keep, now
        return self.used

    def speed_share(self) -> float:
        """Return the present share of the full speed."""
        s = self.spec
        age = min(1.0, (clock() - self.since) / (s.warmup_ms or 1.0))
        return (s.initial_speed_share + (1.0 - s.initial_speed_share) * age) / self.slowness * (1.0 - self.taken_share)

    def on_frame(self, conn: HostSideConnection, frame: Invoke | Cancel) -> None:
        """Queue, reject or cancel a request."""
        key = (frame.inv, frame.attempt, frame.again)
        if isinstance(frame, Cancel):
            if timer := self.busy.pop(key, None):
                timer.cancel()
                self.observer.record("cancelled", *key)
                self.start_queued()
            self.queue = deque(x for x in self.queue if (x[1].inv, x[1].attempt, x[1].again) != key)
            return
        if frame.version and frame.version not in self.versions.get(frame.operation, []):
            self.observer.record("other-version", *key, frame.run, frame.operation, frame.version)
            self.respond(conn, frame, "version")
            return
        self.observer.record("take", *key, frame.forwarder, frame.operation, frame.slice, frame.work)
        if self.is_warming_up() and self.is_overloaded(frame.work):
            # Too much work for a host that is warming up: it crashes and stays down.
            self.observer.record("fell")
            self.crashed_by_overload = True
            self.kill()
            return
        if self.draining:
            self.respond(conn, frame, "draining")
        elif len(self.queue) >= self.spec.max_queued:
            self.respond(conn, frame, "full")
        else:
            self.queue.append((conn, frame))
            self.start_queued()

    def is_warming_up(self) -> bool:
        """Return whether the process has started less than the warm-up time ago."""
        return clock() - self.since < self.spec.warmup_ms

    def is_overloaded(self, work: float) -> bool:
        """Add `work` ms to the window; return whether the work in it exceeds what the host survives."""
        now, s = clock(), self.spec
        self.recent_work.append((now, work))
        self.recent_work_sum += work
        while self.recent_work and self.recent_work[0][0] < now - s.overload_window_ms:
            self.recent_work_sum -= self.recent_work.popleft()[1]
        age = min(1.0, (now - self.since) / s.warmup_ms)
        capacity = s.cores * s.speed * (s.initial_speed_share + (1.0 - s.initial_speed_share) * age)
        return self.recent_work_sum > s.max_overload_ratio * capacity * s.overload_window_ms

    def start_queued(self) -> None:
        """Start queued requests on idle cores."""
        while self.queue and len(self.busy) < self.spec.cores and not self.paused and self.up:
            conn, frame = self.queue.popleft()
            key = (frame.inv, frame.attempt, frame.again)
            work = frame.work * (1.0 - self.spec.warm_slice_saving if frame.slice in self.warm_slices else 1.0)
            self.warm_slices.add(frame.slice)
            self.observer.record("run", *key, frame.forwarder, frame.operation, frame.slice)
            if frame.run:
                served = self.versions.get(frame.operation, [])
                version = frame.version or max(served, default=0)
                self.observer.record("ran", *key, frame.run, frame.operation, version, served)
            time = work / (self.spec.speed * max(self.speed_share(), 0.01)) / 1000.0
            self.busy[key] = asyncio.get_running_loop().call_later(time, self.finish, conn, frame)

    def finish(self, conn: HostSideConnection, frame: Invoke) -> None:
        """Respond to a finished request, or keep its core busy while the host hangs or is paused."""
        if self.hung or self.paused:
            key = (frame.inv, frame.attempt, frame.again)
            self.busy[key] = asyncio.get_running_loop().call_later(0.05, self.finish, conn, frame)
            return
        self.busy.pop((frame.inv, frame.attempt, frame.again), None)
        self.respond(conn, frame, "ok")
        self.start_queued()

    def respond(self, conn: HostSideConnection, frame: Invoke, status: str) -> None:
        """Send a response."""
        self.observer.record("done", frame.inv, frame.attempt, frame.again, status)
        if not conn.transport.is_closing():
            conn.transport.write(frames.encode(Done(frame.inv, frame.attempt, frame.again, status)))

    def on_health_check(self, conn: HostSideConnection) -> None:
        """Respond to a health check: 200 even if the host hangs, 503 when it is draining."""
        self.observer.record("probe")
        status = "503 Draining" if self.draining or self.health_checks >= self.spec.max_health_checks else "200 OK"
        load = f"rif={len(self.busy) + len(self.queue)} q={len(self.queue)}"
        conn.transport.write(f"HTTP/1.1 {status}\r\nX-Load: {load}\r\nContent-Length: 0\r\n\r\n".encode())
        conn.transport.close()


def set_paused(host: Host, is_paused: bool) -> None:
    """Pause or resume a host."""
    host.paused = is_paused
    if not is_paused:
        host.start_queued()
