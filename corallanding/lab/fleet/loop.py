"""An asyncio loop in simulated time, with streams between processes that exist only as objects.

What runs on it is the very code that runs on sockets: timers fall due in their order, nothing waits, and two runs of
one seed do the same to the last byte. Time stands still while code runs: what arithmetic costs is not in the figures.
Streams keep their order, take `latency` one way, and lose nothing: loss and cuts
are the stand-ins' business (`lab.net`), as on loopback.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from heapq import heapify, heappop, heappush
from typing import Any, TypeVar, cast

Result = TypeVar("Result")
Factory = Callable[[], asyncio.BaseProtocol]
_machine: ContextVar[Machine | None] = ContextVar("machine", default=None)
START = 1_000.0  # s: where time begins
LATENCY = 0.000_2  # s, one way between two processes of one machine: what loopback and two loops take
BUFFER = 1 << 18  # bytes that a way takes before its sender is told to wait


class Machine:
    """What runs as one process: it can be killed (nothing of it runs again, its streams break) or frozen (its
    callbacks wait until it is thawed). Whatever is scheduled from inside belongs to it."""

    def __init__(self) -> None:
        self.alive, self.frozen = True, False
        self.held: list[tuple[Callable[..., Any], tuple[Any, ...], Context]] = []
        self.streams: dict[Stream, None] = {}
        self.servers: dict[Server, None] = {}

    def inside(self) -> Context:
        context = copy_context()
        context.run(_machine.set, self)
        return context

    def start(self, loop: SimLoop, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.inside().run(lambda: loop.create_task(work))
        loop.kept.append(task)  # else a dead one's is collected, and complains
        return task

    def run(self, callback: Callable[..., Any], *args: Any) -> None:
        if self.frozen:
            self.held.append((callback, args, copy_context()))
        elif self.alive:
            callback(*args)

    def freeze(self, on: bool) -> None:
        self.frozen = on
        if not on and self.alive:
            held, self.held = self.held, []
            loop = asyncio.get_running_loop()
            for callback, args, context in held:
                loop.call_soon(callback, *args, context=context)

    def kill(self) -> None:
        self.alive, self.frozen = False, False
        self.held.clear()
        for server in list(self.servers):
            server.close()
        for stream in list(self.streams):
            stream.cut()


class Server:
    def __init__(self, loop: SimLoop, factory: Factory, host: str, port: int) -> None:
        self.loop, self.factory, self.where = loop, factory, (host, port)
        self.context, self.machine = copy_context(), _machine.get()
        if self.machine:
            self.machine.servers[self] = None

    @property
    def sockets(self) -> tuple[Server, ...]:
        return (self,)

    def getsockname(self) -> tuple[str, int]:
        return self.where

    def close(self) -> None:
        if self.loop.servers.get(self.where[1]) is self:
            del self.loop.servers[self.where[1]]
        if self.machine:
            self.machine.servers.pop(self, None)


class Stream(asyncio.Transport):
    """One end of a stream. `coming`: what is on its way to this end, each with the time it is there."""

    def __init__(self, loop: SimLoop, context: Context) -> None:
        super().__init__()
        self.loop, self.context, self.machine = loop, context, context.get(_machine)
        self.protocol: Any = None
        self.peer: Stream | None = None
        self.coming: deque[tuple[float, bytes | BaseException | None]] = deque()
        self.waiting = 0  # bytes that were written and not read by the other end
        self.closing = self.lost = self.paused = self.told = False
        if self.machine:
            self.machine.streams[self] = None

    def begin(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return ("127.0.0.1", 0) if name in ("peername", "sockname") else default

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return max(0, self.waiting - BUFFER)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.closing or not data:
            return
        self.send(bytes(data))
        self.waiting += len(data)
        if self.waiting > BUFFER and not self.told:
            self.told = True
            self.protocol.pause_writing()

    def send(self, item: bytes | BaseException | None) -> None:
        if peer := self.peer:
            due = self.loop.now + self.loop.latency
            peer.coming.append((due, item))
            self.loop.call_at(due, peer.arrive, context=peer.context)

    def arrive(self) -> None:
        """In order, whichever timer called."""
        while self.coming and not self.paused and not self.lost and self.coming[0][0] <= self.loop.now + 1e-9:
            _, item = self.coming.popleft()
            if isinstance(item, bytes):
                if self.peer:
                    self.peer.read(len(item))
                self.protocol.data_received(item)
            else:
                if item is None and not self.closing:
                    self.protocol.eof_received()
                self.end(item)

    def read(self, size: int) -> None:
        self.waiting -= size
        if self.told and self.waiting <= BUFFER // 4 and not self.lost:
            self.told = False
            self.loop.call_soon(self.protocol.resume_writing, context=self.context)

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        if self.paused:
            self.paused = False
            self.loop.call_soon(self.arrive, context=self.context)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.send(None)
            self.loop.call_soon(self.end, None, context=self.context)

    def abort(self) -> None:
        if not self.lost:
            self.closing = True
            self.send(ConnectionResetError("reset"))
            self.loop.call_soon(self.end, None, context=self.context)

    def cut(self) -> None:
        """Its process is dead."""
        if not self.lost:
            self.closing = self.lost = True
            self.send(ConnectionResetError("reset"))
            if self.machine:
                self.machine.streams.pop(self, None)

    def end(self, why: BaseException | None) -> None:
        if self.lost:
            return
        self.closing = self.lost = True
        if self.machine:
            self.machine.streams.pop(self, None)
        self.protocol.connection_lost(why)


class Datagrams(asyncio.DatagramTransport):
    """One end of a way without order or promise: what nobody hears is lost."""

    def __init__(self, loop: SimLoop, protocol: Any, port: int, to: int) -> None:
        super().__init__()
        self.loop, self.protocol, self.port, self.to = loop, protocol, port, to
        self.context, self.machine, self.closed = copy_context(), _machine.get(), False

    def sendto(self, data: Any, addr: Any = None) -> None:
        port = int(addr[1]) if addr else self.to
        self.loop.call_later(self.loop.latency, self.loop.datagram, port, bytes(data), self.port)

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.heard.pop(self.port, None)

    abort = close


class SimLoop(asyncio.BaseEventLoop):
    """latency: s, one way of every stream. `events`: callbacks that ran so far. Stands on a few names of asyncio that
    are not public (`_run_once`, `_ready`, handles' `_scheduled`); the tests say so if they change."""

    _ready: deque[asyncio.Handle]

    def __init__(self, latency: float = LATENCY) -> None:
        self.now, self.latency, self.events = START, latency, 0
        super().__init__()
        self.later: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.counter = self.idle = 0  # idle: cancelled handles that still lie in the heap
        self.servers: dict[int, Server] = {}
        self.heard: dict[int, Datagrams] = {}
        self.ports = 20_000
        self.kept: list[asyncio.Task[None]] = []
        self.ending = False  # what dead machines left is cleared away, too

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        """asyncio's own turn of the loop, but that it never waits, and that what falls due at one instant runs in the
        order in which it was asked for."""
        ready, later = self._ready, self.later
        if not ready:
            while later and later[0][2]._cancelled:
                heappop(later)
                self.idle -= 1
            if not later:
                raise RuntimeError("nothing is left to happen, and the run has not ended")
            self.now = max(self.now, later[0][0])
        while later and later[0][0] <= self.now:
            handle: Any = heappop(later)[2]
            if handle._cancelled:
                self.idle -= 1
            else:
                handle._scheduled = False
                ready.append(handle)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle._cancelled:
                self.events += 1
                handle._run()

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.idle += 1
        if self.idle > 1_000 and self.idle * 2 > len(self.later):
            self.later = [x for x in self.later if not x[2]._cancelled]
            heapify(self.later)
            self.idle = 0

    def owned(self, callback: Any, args: tuple[Any, ...], context: Context | None) -> tuple[Any, tuple[Any, ...]]:
        """What runs in a machine runs by its leave."""
        machine = context.get(_machine) if context else _machine.get()
        return (machine.run, (callback, *args)) if machine and not self.ending else (callback, args)

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(*self.owned(callback, args, context), self, context)
        self._ready.append(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.now + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle: Any = asyncio.TimerHandle(when, *self.owned(callback, args, context), self, context)
        handle._scheduled = True
        self.counter += 1
        heappush(self.later, (when, self.counter, handle))
        return cast(asyncio.TimerHandle, handle)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        done = self.create_future()
        try:
            done.set_result(func(*args))
        except Exception as fault:
            done.set_exception(fault)
        return done

    async def create_server(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        return self.listen(factory, host or "127.0.0.1", port or 0)

    async def create_datagram_endpoint(  # type: ignore[override]
        self, factory: Any, local_addr: Any = None, remote_addr: Any = None, **_: Any
    ) -> Any:
        port = (int(local_addr[1]) if local_addr else 0) or self.new_port()
        if port in self.heard:
            raise OSError(f"port {port} is taken")
        protocol = factory()
        self.heard[port] = end = Datagrams(self, protocol, port, int(remote_addr[1]) if remote_addr else 0)
        protocol.connection_made(end)
        return end, protocol

    def datagram(self, port: int, data: bytes, whence: int) -> None:
        end = self.heard.get(port)
        if end and not (end.machine and not end.machine.alive):
            self.call_soon(end.protocol.datagram_received, data, ("127.0.0.1", whence), context=end.context)

    def new_port(self) -> int:
        self.ports += 1
        return self.ports

    def pair(self, there: Context) -> tuple[Stream, Stream]:
        """A stream from here to a process that runs in a context; neither end has a protocol yet."""
        near, far = Stream(self, copy_context()), Stream(self, there)
        near.peer, far.peer = far, near
        return near, far

    def listen(self, factory: Factory, host: str, port: int) -> Server:
        port = port or self.new_port()
        if port in self.servers:
            raise OSError(f"port {port} is taken")
        self.servers[port] = server = Server(self, factory, host, port)
        return server

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        await asyncio.sleep(self.latency * 2)
        server = self.servers.get(int(port or 0))
        if server is None:
            raise ConnectionRefusedError(f"nothing listens at port {port}")
        near, far = self.pair(server.context)
        self.call_soon(lambda: far.begin(server.factory()), context=server.context)
        protocol = factory()
        near.begin(protocol)
        return near, protocol


def run(work: Callable[[SimLoop], Coroutine[Any, Any, Result]], latency: float = LATENCY) -> Result:
    """Plays `work(loop)` to its end, as fast as it goes."""
    loop = SimLoop(latency)
    try:
        return loop.run_until_complete(work(loop))
    finally:
        loop.ending = True
        left = [t for t in asyncio.all_tasks(loop) if not t.done()]
        for task in left:
            task.cancel()
        try:
            if left:
                loop.run_until_complete(asyncio.wait(left))
        except RuntimeError:
            pass  # a task whose wake-up came when its machine was dead can be woken by nothing
        never: list[Any] = [t for t in asyncio.all_tasks(loop) if not t.done()]
        for task in never:
            task._log_destroy_pending = False
        loop.close()
