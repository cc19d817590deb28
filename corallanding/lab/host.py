"""A stand-in host: cores, a waiting room, a cold start, warm slices, and the ways to fail. Work is timers, no CPU."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import cast

from ..wire import frames
from .net import Cancel, Done, Invoke, at_host
from .trace import Trace, clock

Key = tuple[int, int, int]


@dataclass(frozen=True)
class HostSpec:
    """Times in ms. cold_from: share of its speed that a new process has; warm_gain: work saved on known slices."""

    cores: int = 4
    speed: float = 1.0
    waiting_room: int = 64
    cold_ms: float = 10_000.0
    cold_from: float = 0.2
    warm_gain: float = 0.0
    probes_most: int = 8
    fall_ms: float = 3_000.0
    fall_multiple: float = 4.0


class Conn(asyncio.Protocol):
    """Invocations as frames, probes as HTTP, on one port: no frame is as long as "GET " says."""

    def __init__(self, host: Host) -> None:
        self.host, self.reader = host, frames.FrameReader(at_host, 1 << 16)
        self.first, self.mode = b"", ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        self.host.conns[self] = None

    def data_received(self, data: bytes) -> None:
        if not self.mode:
            self.first += data
            if len(self.first) < 4:
                return
            data, self.mode = self.first, "http" if self.first[:4] == b"GET " else "frames"
        if self.mode == "http":
            self.host.probed(self)
            return
        for frame in self.reader.feed(data):
            self.host.take(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.conns.pop(self, None)


class Host:
    def __init__(self, number: int, zone: int, spec: HostSpec, trace: Trace, port: int = 0) -> None:
        self.number, self.zone, self.spec, self.port = number, zone, spec, port
        self.observer = trace.observer(f"host {number}")
        self.conns: dict[Conn, None] = {}
        self.server: asyncio.Server | None = None
        self.started = 0.0  # wall-clock ms of the process start; 0 is long ago
        self.since = -1e12  # the same on the trace's clock
        self.slowness, self.taken_share = 1.0, 0.0
        self.hung = self.draining = self.paused = self.fallen = False
        self.busy: dict[Key, asyncio.TimerHandle] = {}
        self.room: deque[tuple[Conn, Invoke]] = deque()
        self.warm: set[int] = set()
        self.pushes: deque[tuple[float, float]] = deque()
        self.pushed = 0.0
        self.probes = 0
        self.versions: dict[int, list[int]] = {}  # by operation; none: it knows nothing of versions
        self.used, self.used_at = 0.0, clock()  # smoothed share of busy cores, for reports

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def up(self) -> bool:
        return self.server is not None

    async def start(self, cold: bool, wall: float = 0.0) -> None:
        if self.up:
            return
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Conn(self), "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.since, self.started = (clock(), wall) if cold else (-1e12, 0.0)
        self.draining = self.hung = self.fallen = False
        self.warm.clear()
        self.pushes.clear()
        self.pushed = 0.0
        s = self.spec
        self.observer.record("start", cold, s.cores * s.speed, s.cold_from, s.cold_ms)

    def kill(self) -> None:
        """The process dies: every connection breaks, what ran is gone."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for timer in self.busy.values():
            timer.cancel()
        self.busy.clear()
        self.room.clear()
        for conn in list(self.conns):
            conn.transport.abort()
        self.observer.record("stop")

    def utilization(self, span: float) -> float:
        """Share of its cores that were busy lately, smoothed over `span` ms; a queue shows as more than 1."""
        now = clock()
        keep = 0.5 ** ((now - self.used_at) / span)
        load = (len(self.busy) + len(self.room)) / self.spec.cores
        self.used, self.used_at = load + (self.used - load) * keep, now
        return self.used

    def vigour(self) -> float:
        """What part of its full speed it has now."""
        s = self.spec
        age = min(1.0, (clock() - self.since) / (s.cold_ms or 1.0))
        return (s.cold_from + (1.0 - s.cold_from) * age) / self.slowness * (1.0 - self.taken_share)

    def take(self, conn: Conn, frame: Invoke | Cancel) -> None:
        key = (frame.inv, frame.attempt, frame.again)
        if isinstance(frame, Cancel):
            if timer := self.busy.pop(key, None):
                timer.cancel()
                self.observer.record("cancelled", *key)
                self.fill()
            self.room = deque(x for x in self.room if (x[1].inv, x[1].attempt, x[1].again) != key)
            return
        if frame.version and frame.version not in self.versions.get(frame.operation, []):
            self.observer.record("other-version", *key, frame.run, frame.operation, frame.version)
            self.answer(conn, frame, "version")
            return
        self.observer.record("take", *key, frame.forwarder, frame.operation, frame.slice, frame.work)
        if self.cold() and self.overpushed(frame.work):
            # More than it can take for too long: it falls over and stays down.
            self.observer.record("fell")
            self.fallen = True
            self.kill()
            return
        if self.draining:
            self.answer(conn, frame, "draining")
        elif len(self.room) >= self.spec.waiting_room:
            self.answer(conn, frame, "full")
        else:
            self.room.append((conn, frame))
            self.fill()

    def cold(self) -> bool:
        return clock() - self.since < self.spec.cold_ms

    def overpushed(self, work: float) -> bool:
        now, s = clock(), self.spec
        self.pushes.append((now, work))
        self.pushed += work
        while self.pushes and self.pushes[0][0] < now - s.fall_ms:
            self.pushed -= self.pushes.popleft()[1]
        age = min(1.0, (now - self.since) / s.cold_ms)
        capacity = s.cores * s.speed * (s.cold_from + (1.0 - s.cold_from) * age)
        return self.pushed > s.fall_multiple * capacity * s.fall_ms

    def fill(self) -> None:
        while self.room and len(self.busy) < self.spec.cores and not self.paused and self.up:
            conn, frame = self.room.popleft()
            key = (frame.inv, frame.attempt, frame.again)
            work = frame.work * (1.0 - self.spec.warm_gain if frame.slice in self.warm else 1.0)
            self.warm.add(frame.slice)
            self.observer.record("run", *key, frame.forwarder, frame.operation, frame.slice)
            if frame.run:
                served = self.versions.get(frame.operation, [])
                version = frame.version or max(served, default=0)
                self.observer.record("ran", *key, frame.run, frame.operation, version, served)
            time = work / (self.spec.speed * max(self.vigour(), 0.01)) / 1000.0
            self.busy[key] = asyncio.get_running_loop().call_later(time, self.finish, conn, frame)

    def finish(self, conn: Conn, frame: Invoke) -> None:
        if self.hung or self.paused:  # holds its core; answers when it comes to itself, if ever
            key = (frame.inv, frame.attempt, frame.again)
            self.busy[key] = asyncio.get_running_loop().call_later(0.05, self.finish, conn, frame)
            return
        self.busy.pop((frame.inv, frame.attempt, frame.again), None)
        self.answer(conn, frame, "ok")
        self.fill()

    def answer(self, conn: Conn, frame: Invoke, status: str) -> None:
        self.observer.record("done", frame.inv, frame.attempt, frame.again, status)
        if not conn.transport.is_closing():
            conn.transport.write(frames.encode(Done(frame.inv, frame.attempt, frame.again, status)))

    def probed(self, conn: Conn) -> None:
        """A shallow probe: answered beside the queue, also while the work hangs; turned away when draining."""
        self.observer.record("probe")
        status = "503 Draining" if self.draining or self.probes >= self.spec.probes_most else "200 OK"
        load = f"rif={len(self.busy) + len(self.room)} q={len(self.room)}"
        conn.transport.write(f"HTTP/1.1 {status}\r\nX-Load: {load}\r\nContent-Length: 0\r\n\r\n".encode())
        conn.transport.close()


def release(host: Host, paused: bool) -> None:
    host.paused = paused
    if not paused:
        host.fill()
