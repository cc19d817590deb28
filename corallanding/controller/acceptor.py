"""Takes connections at a pace, and goes on when descriptors run out. A thin layer over one listening socket.

asyncio's own server takes a hundred connections at a turn of the loop, as often as they come: forwarders that connect
in a tight loop would leave no time for orders. What is not taken waits in the kernel's queue.
"""

from __future__ import annotations

import asyncio
import errno
import resource
import socket
from collections.abc import Callable
from typing import Any

TICK = 0.01  # s
OUT_OF = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


class Listener:
    """factory: a protocol a connection. rate: connections a second. said: what staff should know."""

    def __init__(
        self,
        host: str,
        port: int,
        backlog: int,
        rate: float,
        factory: Callable[[], asyncio.Protocol],
        said: Callable[[str], None],
        given: socket.socket | None = None,
    ) -> None:
        """given: a socket that listens already, from the process before this one."""
        self.rate, self.factory, self.said = rate, factory, said
        self.loop = asyncio.get_running_loop()
        self.socket = given or socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        try:
            if given is None:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                self.socket.bind((host, port))
                self.socket.listen(backlog)
        except OSError:
            self.socket.close()
            raise
        self.sockets = (self.socket,)
        self.allowance, self.counted = self.most, self.loop.time()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.accepted_count = 0
        self.closed = self.held = False
        self.loop.add_reader(self.socket, self.take)

    @property
    def most(self) -> float:
        return max(4.0, self.rate / 20)

    def take(self) -> None:
        now = self.loop.time()
        self.allowance = min(self.most, self.allowance + (now - self.counted) * self.rate)
        self.counted = now
        while self.allowance >= 1.0:
            try:
                conn, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                if fault.errno in OUT_OF:
                    self.said(f"no descriptor for a new connection: {fault.strerror}")
                    self.rest(0.2)
                    return
                raise
            self.allowance -= 1.0
            self.accepted_count += 1
            task = self.loop.create_task(self.serve(conn))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.rest(max(TICK, (1.0 - self.allowance) / self.rate))

    async def serve(self, conn: socket.socket) -> None:
        try:
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(self.factory, conn)
        except OSError:
            conn.close()

    def rest(self, seconds: float) -> None:
        self.loop.remove_reader(self.socket)
        self.timer = self.loop.call_later(seconds, self.again)

    def suspend(self) -> None:
        """Accept nothing for now: connections wait in the kernel."""
        self.held = True
        if self.timer:
            self.timer.cancel()
        self.loop.remove_reader(self.socket)

    def resume(self) -> None:
        """Accept connections again."""
        self.held = False
        if self.timer:
            self.timer.cancel()
        self.loop.remove_reader(self.socket)
        self.again()

    def again(self) -> None:
        if not self.closed and not self.held:
            self.loop.add_reader(self.socket, self.take)
            self.take()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.timer:
                self.timer.cancel()
            self.loop.remove_reader(self.socket)
            self.socket.close()


def raise_descriptor_limit(needed: int) -> int:
    """Raise the soft limit on descriptors up to what is needed, as far as the hard one lets; the limit that holds."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < needed:
        soft = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
