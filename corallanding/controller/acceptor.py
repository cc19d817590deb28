"""Accepts connections at a bounded rate, and recovers when file descriptors run out.

asyncio's own server accepts up to a hundred connections in each iteration of the event loop: clients that connect in a
tight loop would leave no time for other work. Connections that are not accepted yet wait in the kernel's queue.
"""

from __future__ import annotations

import asyncio
import errno
import resource
import socket
from collections.abc import Callable
from typing import Any

MIN_PAUSE_S = 0.01
OUT_OF_DESCRIPTORS_PAUSE_S = 0.2
BURST_S = 0.05  # burst size, as seconds of connections at the configured rate
MIN_BURST = 4.0  # connections
OUT_OF_DESCRIPTORS_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
FAILED_CONNECTION_ERRORS = {
    *(errno.EAGAIN, errno.EINTR, errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENETUNREACH),
    *(errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.ENONET, errno.ETIMEDOUT),
}
"""Errors of `accept` that concern the connection it would have returned: others can be accepted."""


class Listener:
    """A listening socket with a token bucket.

    `factory` creates the protocol of each connection, `rate` is in connections per second, `on_warning` receives
    warnings for operators. `inherited` is the listening socket of the previous process. Raises `OSError` if the
    address cannot be used.
    """

    def __init__(
        self,
        host: str,
        port: int,
        backlog: int,
        rate: float,
        factory: Callable[[], asyncio.BaseProtocol],
        on_warning: Callable[[str], None],
        inherited: socket.socket | None = None,
    ) -> None:
        self.rate = rate
        self.factory = factory
        self.on_warning = on_warning
        self.loop = asyncio.get_running_loop()
        self.socket = inherited or _listen(host, port, backlog)
        self.socket.setblocking(False)
        self.sockets = (self.socket,)
        self.tokens = self.max_tokens
        self.replenished_at = self.loop.time()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.accepted_count = 0
        self.is_closed = False
        self.is_suspended = False
        self.loop.add_reader(self.socket, self._on_readable)

    @property
    def max_tokens(self) -> float:
        """The number of connections that may be accepted at once."""
        return max(MIN_BURST, self.rate * BURST_S)

    def _on_readable(self) -> None:
        """Accept as many connections as the rate allows, then pause."""
        now_s = self.loop.time()
        self.tokens = min(self.max_tokens, self.tokens + (now_s - self.replenished_at) * self.rate)
        self.replenished_at = now_s
        while self.tokens >= 1.0:
            try:
                connection, _ = self.socket.accept()
            except OSError as error:
                if error.errno in FAILED_CONNECTION_ERRORS:
                    return
                if error.errno not in OUT_OF_DESCRIPTORS_ERRORS:
                    raise
                self.on_warning(f"no file descriptor for a new connection: {error.strerror}")
                self._pause(OUT_OF_DESCRIPTORS_PAUSE_S)
                return
            self.tokens -= 1.0
            self.accepted_count += 1
            task = self.loop.create_task(self._attach_protocol(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self._pause(max(MIN_PAUSE_S, (1.0 - self.tokens) / self.rate))

    async def _attach_protocol(self, connection: socket.socket) -> None:
        """Attach an accepted connection to a new protocol."""
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(self.factory, connection)
        except OSError:
            connection.close()

    def _pause(self, seconds: float) -> None:
        self.loop.remove_reader(self.socket)
        self.timer = self.loop.call_later(seconds, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if not self.is_closed and not self.is_suspended:
            self.loop.add_reader(self.socket, self._on_readable)
            self._on_readable()

    def _cancel_timer(self) -> None:
        if self.timer:
            self.timer.cancel()

    def suspend(self) -> None:
        """Stop accepting until `resume`: connections wait in the kernel's queue."""
        self.is_suspended = True
        self._cancel_timer()
        self.loop.remove_reader(self.socket)

    def resume(self) -> None:
        """Accept connections again."""
        self.is_suspended = False
        self._cancel_timer()
        self.loop.remove_reader(self.socket)
        self._resume_accepting()

    def close(self) -> None:
        """Stop listening."""
        if not self.is_closed:
            self.is_closed = True
            self._cancel_timer()
            self.loop.remove_reader(self.socket)
            self.socket.close()


def _listen(host: str, port: int, backlog: int) -> socket.socket:
    """Return a new listening socket."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        listening.listen(backlog)
    except OSError:
        listening.close()
        raise
    return listening


def raise_descriptor_limit(needed: int) -> int:
    """Raise the soft limit on file descriptors to `needed`, as far as the hard limit allows; return the limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < needed:
        soft = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
