"""Simulated processes, and the ends of their connections: listening addresses, streams and datagram sockets.

Streams keep their order, take `SimLoop.latency_s` one way and lose nothing: loss and broken connections are injected by
the stand-ins (`lab.net`), as on loopback.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from .loop import SimLoop

ProtocolFactory = Callable[[], asyncio.BaseProtocol]
current_machine: ContextVar[Machine | None] = ContextVar("machine", default=None)
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
        context.run(current_machine.set, self)
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
        self.context, self.machine = copy_context(), current_machine.get()
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
        self.loop, self.context, self.machine = loop, context, context.get(current_machine)
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
        self.context, self.machine, self.is_closed = copy_context(), current_machine.get(), False

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
