"""Sorts the file descriptors that a process inherited from its predecessor by what they are for."""

from __future__ import annotations

import socket
from collections.abc import Sequence


class InheritedSockets:
    """Inherited descriptors as sockets.

    There are sockets that listen or take datagrams, found by their address; the socket pair with the process that
    takes in load reports; and connections of proxies, in their order.
    """

    def __init__(self, descriptors: Sequence[int]) -> None:
        self.listeners: list[socket.socket] = []
        self.connections: list[socket.socket] = []
        self.intakes: list[socket.socket] = []
        for descriptor in descriptors:
            inherited = socket.socket(fileno=descriptor)
            self._group_of(inherited).append(inherited)

    def _group_of(self, inherited: socket.socket) -> list[socket.socket]:
        if inherited.family == socket.AF_UNIX:
            return self.intakes
        is_datagram = inherited.type == socket.SOCK_DGRAM
        if is_datagram or inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return self.listeners
        return self.connections

    def take_listener(self, host: str, port: int, kind: int = socket.SOCK_STREAM) -> socket.socket | None:
        """Take out the socket that is bound there, if there is one; port 0 stands for any port."""
        for listener in self.listeners:
            address = listener.getsockname()
            if listener.type == kind and address[0] == host and port in (0, address[1]):
                self.listeners.remove(listener)
                return listener
        return None

    def take_intake(self) -> socket.socket | None:
        """Take out the socket pair with the intake of load reports, if there is one."""
        return self.intakes.pop() if self.intakes else None

    def take_connections(self, count: int) -> list[socket.socket | None]:
        """Take out all connections if there are `count`; otherwise `count` times None, and proxies connect anew."""
        if len(self.connections) != count:
            return [None] * count
        connections = self.connections
        self.connections = []
        return list(connections)

    def close(self) -> None:
        """Close what nobody took."""
        for left in (*self.listeners, *self.connections, *self.intakes):
            left.close()
