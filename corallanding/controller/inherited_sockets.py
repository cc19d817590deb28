"""Groups the file descriptors that a process inherited from its predecessor by their purpose."""

from __future__ import annotations

import socket
from collections.abc import Sequence


class InheritedSockets:
    """Inherited descriptors as sockets.

    These are listening and datagram sockets, found by their address; the socket pair to the process that receives load
    reports; and connections of proxies, in the order in which they were handed over.
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
        """Remove and return the socket bound to the address, if there is one; port 0 matches any port."""
        for listener in self.listeners:
            address = listener.getsockname()
            if listener.type == kind and address[0] == host and port in (0, address[1]):
                self.listeners.remove(listener)
                return listener
        return None

    def take_intake(self) -> socket.socket | None:
        """Remove and return the socket pair to the intake of load reports, if there is one."""
        return self.intakes.pop() if self.intakes else None

    def take_connections(self, count: int) -> list[socket.socket | None]:
        """Remove and return all connections if there are `count`; else `count` times None, and proxies reconnect."""
        if len(self.connections) != count:
            return [None] * count
        connections = self.connections
        self.connections = []
        return list(connections)

    def close(self) -> None:
        """Close the remaining sockets."""
        for unused in (*self.listeners, *self.connections, *self.intakes):
            unused.close()
