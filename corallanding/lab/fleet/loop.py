"""An asyncio loop in simulated time, with streams between simulated processes.

The loop runs the same code that runs on sockets: timers fire in the order of their due times, nothing waits, and two
runs of one seed are identical to the last byte. Simulated time does not advance while code runs, so the cost of
computation is not in the results. Streams keep their order, take `latency_s` one way and lose nothing: loss and broken
connections are injected by the stand-ins (`lab.net`), as on loopback.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from heapq import heapify, heappop, heappush
from typing import Any, TypeVar, cast

Result = TypeVar("Result")
ProtocolFactory = Callable[[], asyncio.BaseProtocol]
_current_machine: ContextVar[Machine | None] = ContextVar("machine", default=None)
START_S = 1_000.0  # first reading of the simulated clock
DEFAULT_LATENCY_S = 0.000_2  # one way between two processes of one machine, over loopback and two event loops
SEND_BUFFER_BYTES = 1 << 18  # unread bytes above which a sender has to pause


class Machine:
    """A simulated process, which can be killed (none of its callbacks runs again, its streams break) or frozen (its
    callbacks are delayed until it is unfrozen). It owns whatever is scheduled from its context.
    """

    def __init__(self) -> None:
        self.alive, self.is_frozen = True, False
        self.delayed_callbacks: list[tuple[Callable[..., Any], tuple[Any, ...], Context]] = []
        self.streams: dict[Stream, None] = {}
        self.servers: dict[Server, None] = {}

    def new_context(self) -> Context:
        """Return a copy of the current context that belongs to this machine."""
        context = copy_context()
        context.run(_current_machine.set, self)
        return context

    def start(self, loop: SimLoop, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this machine."""
        task = self.new_context().run(lambda: loop.create_task(work))
        loop.machine_tasks.append(task)  # a killed machine's task would log an error when it is garbage collected
        return task

    def run(self, callback: Callable[..., Any], *args: Any) -> None:
        """Run a callback; delay it while frozen, drop it once killed."""
        if self.is_frozen:
            self.delayed_callbacks.append((callback, args, copy_context()))
        elif self.alive:
            callback(*args)

    def freeze(self, is_frozen: bool) -> None:
        """Freeze the machine, or unfreeze it and schedule the delayed callbacks."""
        self.is_frozen = is_frozen
        if not is_frozen and self.alive:
            delayed, self.delayed_callbacks = self.delayed_callbacks, []
            loop = asyncio.get_running_loop()
            for callback, args, context in delayed:
                loop.call_soon(callback, *args, context=context)

    def kill(self) -> None:
        """Drop all callbacks, close the servers and break the streams."""
        self.alive, self.is_frozen = False, False
        self.delayed_callbacks.clear()
        for server in list(self.servers):
            server.close()
        for stream in list(self.streams):
            stream.on_machine_killed()


class Server:
    """A listening address of the simulated network."""

    def __init__(self, loop: SimLoop, factory: ProtocolFactory, host: str, port: int) -> None:
        self.loop, self.factory, self.address = loop, factory, (host, port)
        self.context, self.machine = copy_context(), _current_machine.get()
        if self.machine:
            self.machine.servers[self] = None

    @property
    def sockets(self) -> tuple[Server, ...]:
        """The server itself, for code that reads the bound address of an asyncio server."""
        return (self,)

    def getsockname(self) -> tuple[str, int]:
        """Return host and port."""
        return self.address

    def close(self) -> None:
        """Stop listening."""
        if self.loop.servers.get(self.address[1]) is self:
            del self.loop.servers[self.address[1]]
        if self.machine:
            self.machine.servers.pop(self, None)


class Stream(asyncio.Transport):
    """One end of a stream. `incoming` holds data on the way to this end, each with its arrival time in seconds."""

    def __init__(self, loop: SimLoop, context: Context) -> None:
        super().__init__()
        self.loop, self.context, self.machine = loop, context, context.get(_current_machine)
        self.protocol: Any = None
        self.peer: Stream | None = None
        self.incoming: deque[tuple[float, bytes | BaseException | None]] = deque()
        self.unread_bytes = 0  # written here and not yet read by the other end
        self.closing = self.is_disconnected = self.is_read_paused = self.is_write_paused = False
        if self.machine:
            self.machine.streams[self] = None

    def attach(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol and report the connection to it."""
        self.protocol = protocol
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a loopback address as the socket's or peer's name."""
        return ("127.0.0.1", 0) if name in ("peername", "sockname") else default

    def is_closing(self) -> bool:
        """Return whether this end is closed or closing."""
        return self.closing

    def get_write_buffer_size(self) -> int:
        """Return the unread bytes above the send buffer's size."""
        return max(0, self.unread_bytes - SEND_BUFFER_BYTES)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data; pause the protocol when the buffer is full."""
        if self.closing or not data:
            return
        self.send(bytes(data))
        self.unread_bytes += len(data)
        if self.unread_bytes > SEND_BUFFER_BYTES and not self.is_write_paused:
            self.is_write_paused = True
            self.protocol.pause_writing()

    def send(self, item: bytes | BaseException | None) -> None:
        """Send data, an end of file (None) or a connection error to the other end."""
        if peer := self.peer:
            due = self.loop.now + self.loop.latency_s
            peer.incoming.append((due, item))
            self.loop.call_at(due, peer.deliver, context=peer.context)

    def deliver(self) -> None:
        """Deliver all items that are due, in order, whichever timer called."""
        while (
            self.incoming
            and not self.is_read_paused
            and not self.is_disconnected
            and self.incoming[0][0] <= self.loop.now + 1e-9
        ):
            _, item = self.incoming.popleft()
            if isinstance(item, bytes):
                if self.peer:
                    self.peer.on_read_by_peer(len(item))
                self.pass_on(item)
            else:
                if item is None and not self.closing:
                    self.protocol.eof_received()
                self.finish(item)

    def pass_on(self, data: bytes) -> None:
        """Pass data to the protocol; what it does not take before it pauses reading stays in front."""
        if not isinstance(self.protocol, asyncio.BufferedProtocol):
            self.protocol.data_received(data)
            return
        while data and not self.is_read_paused and not self.is_disconnected:
            buffer = cast(memoryview, self.protocol.get_buffer(len(data)))
            size = min(len(data), len(buffer))
            buffer[:size] = data[:size]
            self.protocol.buffer_updated(size)
            data = data[size:]
        if data:
            self.incoming.appendleft((self.loop.now, data))

    def on_read_by_peer(self, size: int) -> None:
        """Free buffer space; resume the protocol once a quarter of the buffer is left."""
        self.unread_bytes -= size
        if self.is_write_paused and self.unread_bytes <= SEND_BUFFER_BYTES // 4 and not self.is_disconnected:
            self.is_write_paused = False
            self.loop.call_soon(self.protocol.resume_writing, context=self.context)

    def pause_reading(self) -> None:
        """Deliver nothing until `resume_reading`."""
        self.is_read_paused = True

    def resume_reading(self) -> None:
        """Deliver what has arrived."""
        if self.is_read_paused:
            self.is_read_paused = False
            self.loop.call_soon(self.deliver, context=self.context)

    def close(self) -> None:
        """Close the stream; data sent before is still delivered."""
        if not self.closing:
            self.closing = True
            self.send(None)
            self.loop.call_soon(self.finish, None, context=self.context)

    def abort(self) -> None:
        """Close the stream with a connection reset."""
        if not self.is_disconnected:
            self.closing = True
            self.send(ConnectionResetError("reset"))
            self.loop.call_soon(self.finish, None, context=self.context)

    def on_machine_killed(self) -> None:
        """Reset the connection without notifying the local protocol, whose process is killed."""
        if not self.is_disconnected:
            self.closing = self.is_disconnected = True
            self.send(ConnectionResetError("reset"))
            if self.machine:
                self.machine.streams.pop(self, None)

    def finish(self, error: BaseException | None) -> None:
        """Report the lost connection to the protocol, once."""
        if self.is_disconnected:
            return
        self.closing = self.is_disconnected = True
        if self.machine:
            self.machine.streams.pop(self, None)
        self.protocol.connection_lost(error)


class DatagramEnd(asyncio.DatagramTransport):
    """A datagram socket; datagrams to a port without a receiver are lost."""

    def __init__(self, loop: SimLoop, protocol: Any, port: int, remote_port: int) -> None:
        super().__init__()
        self.loop, self.protocol, self.port, self.remote_port = loop, protocol, port, remote_port
        self.context, self.machine, self.is_closed = copy_context(), _current_machine.get(), False

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram to an address, or to the connected port."""
        port = int(addr[1]) if addr else self.remote_port
        self.loop.call_later(self.loop.latency_s, self.loop.deliver_datagram, port, bytes(data), self.port)

    def is_closing(self) -> bool:
        """Return whether this end is closed or closing."""
        return self.is_closed

    def close(self) -> None:
        """Free the port."""
        if not self.is_closed:
            self.is_closed = True
            self.loop.datagram_ends.pop(self.port, None)

    abort = close


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
        machine = context.get(_current_machine) if context else _current_machine.get()
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
