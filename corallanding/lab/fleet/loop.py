"""An asyncio loop in simulated time, with streams between simulated processes.

The loop runs the same code that runs on sockets: timers fire in the order of their due times, nothing waits, and two
runs of one seed are identical to the last byte. Simulated time does not advance while code runs, so the cost of
computation is not in the results. `machine` contains the processes and their connections.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, copy_context
from heapq import heapify, heappop, heappush
from typing import Any, TypeVar, cast

from .machine import DatagramEnd, ProtocolFactory, Server, Stream, current_machine

Result = TypeVar("Result")
START_S = 1_000.0  # first reading of the simulated clock
DEFAULT_LATENCY_S = 0.000_2  # one way between two processes of one machine, over loopback and two event loops


class SimLoop(asyncio.BaseEventLoop):
    """An event loop on a simulated clock.

    `now` is the simulated time and `latency_s` one way of every stream, both in seconds; `events` counts the callbacks
    that ran. Depends on private names of asyncio (`_run_once`, `_ready`, handles' `_scheduled`); tests fail if
    they change.
    """

    _ready: deque[asyncio.Handle]

    def __init__(self, latency_s: float = DEFAULT_LATENCY_S) -> None:
        self.now, self.latency_s, self.events = START_S, latency_s, 0
        super().__init__()
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.timer_count = self.cancelled_count = 0  # cancelled: handles that are still in the heap
        self.servers: dict[int, Server] = {}
        self.datagram_ends: dict[int, DatagramEnd] = {}
        self.last_port = 20_000
        self.machine_tasks: list[asyncio.Task[None]] = []
        self.is_closing_down = False  # then callbacks of killed machines run too, to clean up

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def _run_once(self) -> None:
        """Run one iteration as asyncio does, but never wait, and run timers of the same due time in the order in which
        they were scheduled.
        """
        ready, timers = self._ready, self.timers
        if not ready:
            while timers and timers[0][2]._cancelled:
                heappop(timers)
                self.cancelled_count -= 1
            if not timers:
                raise RuntimeError("no callback is scheduled, and the run has not ended")
            self.now = max(self.now, timers[0][0])
        while timers and timers[0][0] <= self.now:
            handle: Any = heappop(timers)[2]
            if handle._cancelled:
                self.cancelled_count -= 1
            else:
                handle._scheduled = False
                ready.append(handle)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle._cancelled:
                self.events += 1
                handle._run()

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.cancelled_count += 1
        if self.cancelled_count > 1_000 and self.cancelled_count * 2 > len(self.timers):
            self.timers = [timer for timer in self.timers if not timer[2]._cancelled]
            heapify(self.timers)
            self.cancelled_count = 0

    def bind_to_machine(
        self, callback: Any, args: tuple[Any, ...], context: Context | None
    ) -> tuple[Any, tuple[Any, ...]]:
        """Return the callback, wrapped so that its machine can delay or drop it."""
        machine = context.get(current_machine) if context else current_machine.get()
        return (machine.run, (callback, *args)) if machine and not self.is_closing_down else (callback, args)

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback in the next iteration."""
        handle = asyncio.Handle(*self.bind_to_machine(callback, args, context), self, context)
        self._ready.append(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a delay in simulated seconds."""
        return self.call_at(self.now + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a simulated time in seconds."""
        handle: Any = asyncio.TimerHandle(when, *self.bind_to_machine(callback, args, context), self, context)
        handle._scheduled = True
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, handle))
        return cast(asyncio.TimerHandle, handle)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        """Run the function at once; return a future that is done."""
        done = self.create_future()
        try:
            done.set_result(func(*args))
        except Exception as error:
            done.set_exception(error)
        return done

    async def create_server(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Listen on a simulated address."""
        return self.listen(factory, host or "127.0.0.1", port or 0)

    async def create_datagram_endpoint(  # type: ignore[override]
        self, factory: Any, local_addr: Any = None, remote_addr: Any = None, **_: Any
    ) -> Any:
        """Open a simulated datagram socket. Raises `OSError` if the port is in use."""
        port = (int(local_addr[1]) if local_addr else 0) or self.new_port()
        if port in self.datagram_ends:
            raise OSError(f"port {port} is in use")
        protocol = factory()
        self.datagram_ends[port] = finish = DatagramEnd(self, protocol, port, int(remote_addr[1]) if remote_addr else 0)
        protocol.connection_made(finish)
        return finish, protocol

    def deliver_datagram(self, port: int, data: bytes, sender_port: int) -> None:
        """Pass a datagram to the receiver at a port, if there is one and its machine is alive."""
        receiver = self.datagram_ends.get(port)
        if receiver and not (receiver.machine and not receiver.machine.alive):
            self.call_soon(
                receiver.protocol.datagram_received, data, ("127.0.0.1", sender_port), context=receiver.context
            )

    def new_port(self) -> int:
        """Return an unused port number."""
        self.last_port += 1
        return self.last_port

    def pair(self, remote_context: Context) -> tuple[Stream, Stream]:
        """Return both ends of a stream from here to the machine of a context; neither end has a protocol yet."""
        near, far = Stream(self, copy_context()), Stream(self, remote_context)
        near.peer, far.peer = far, near
        return near, far

    def listen(self, factory: ProtocolFactory, host: str, port: int) -> Server:
        """Listen on a port, or on a new one if it is 0. Raises `OSError` if the port is in use."""
        port = port or self.new_port()
        if port in self.servers:
            raise OSError(f"port {port} is in use")
        self.servers[port] = server = Server(self, factory, host, port)
        return server

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Connect to a simulated server after a round trip. Raises `ConnectionRefusedError` without a listener."""
        await asyncio.sleep(self.latency_s * 2)
        server = self.servers.get(int(port or 0))
        if server is None:
            raise ConnectionRefusedError(f"no listener on port {port}")
        near, far = self.pair(server.context)
        self.call_soon(lambda: far.attach(server.factory()), context=server.context)
        protocol = factory()
        near.attach(protocol)
        return near, protocol


def run(main: Callable[[SimLoop], Coroutine[Any, Any, Result]], latency_s: float = DEFAULT_LATENCY_S) -> Result:
    """Run `main(loop)` to its end without waiting for real time."""
    loop = SimLoop(latency_s)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.is_closing_down = True
        unfinished = [task for task in asyncio.all_tasks(loop) if not task.done()]
        for task in unfinished:
            task.cancel()
        try:
            if unfinished:
                loop.run_until_complete(asyncio.wait(unfinished))
        except RuntimeError:
            pass  # a task whose wake-up was dropped with its killed machine cannot finish
        abandoned: list[Any] = [task for task in asyncio.all_tasks(loop) if not task.done()]
        for task in abandoned:
            task._log_destroy_pending = False
        loop.close()
