"""What came from the process before: descriptors by what they are for."""

from __future__ import annotations

import socket
from collections.abc import Sequence


class InheritedSockets:
    """Descriptors that came from the process before: sockets that listen or take datagrams by address, the pair with
    the intake of load reports, links in their order."""

    def __init__(self, fds: Sequence[int]) -> None:
        self.ears: list[socket.socket] = []
        self.links: list[socket.socket] = []
        self.pairs: list[socket.socket] = []
        for fd in fds:
            sock = socket.socket(fileno=fd)
            ear = sock.type == socket.SOCK_DGRAM or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            pair = sock.family == socket.AF_UNIX
            (self.pairs if pair else self.ears if ear else self.links).append(sock)

    def take_listener(self, host: str, port: int, kind: int = socket.SOCK_STREAM) -> socket.socket | None:
        """The one that listens there, if it came."""
        for sock in self.ears:
            at = sock.getsockname()
            if sock.type == kind and at[0] == host and port in (0, at[1]):
                self.ears.remove(sock)
                return sock
        return None

    def take_intake(self) -> socket.socket | None:
        return self.pairs.pop() if self.pairs else None

    def take_connections(self, count: int) -> list[socket.socket | None]:
        """The links, if as many came as were told of; none otherwise (their forwarders dial anew)."""
        if len(self.links) != count:
            return [None] * count
        found, self.links = self.links, []
        return list(found)

    def close(self) -> None:
        for sock in (*self.ears, *self.links, *self.pairs):
            sock.close()
