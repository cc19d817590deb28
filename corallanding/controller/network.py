"""Opens the listening sockets for proxies and for HTTP."""

from __future__ import annotations

import asyncio

from ..admin.http_server import AdminServer, Route
from ..config import ControllerConfig
from ..endpoints.endpoint_list import parse_loopback_address
from ..telemetry import log
from .acceptor import Listener, raise_descriptor_limit
from .context import Context
from .factories import Factories
from .inherited_sockets import InheritedSockets
from .proxy_connections import ProxyConnections

BACKLOG = 1024  # length of the kernel's queue, in connections
SPARE_DESCRIPTORS = 200  # reserved for the store, health checks, HTTP, the registry, and links that are being closed


class Network:
    """Opens the listening sockets, or takes over those of the previous process.

    servers: the listener for proxies, then the HTTP server if one is configured.
    """

    def __init__(
        self, context: Context, connections: ProxyConnections, routes: dict[str, Route], factories: Factories
    ) -> None:
        self._context = context
        self._connections = connections
        self._routes = routes
        self._factories = factories
        self._http: AdminServer | None = None
        self.listener: Listener | None = None
        self.servers: list[asyncio.Server | Listener] = []

    async def start(self, inherited: InheritedSockets) -> None:
        """Start to listen. Raise OSError if an address cannot be used."""
        self._raise_descriptor_limit()
        self._start_listener(inherited)
        await self._start_http(inherited)

    def addresses(self) -> list[tuple[str, int]]:
        """Return the (host, port) that each server listens on."""
        return [server.sockets[0].getsockname()[:2] for server in self.servers]

    def file_descriptors(self) -> list[int]:
        """Return the file descriptors of the listening sockets, for a handover."""
        return [server.sockets[0].fileno() for server in self.servers]

    def pause(self) -> None:
        """Stop accepting proxies until `resume`; connections wait in the kernel's queue."""
        if self.listener:
            self.listener.suspend()

    def resume(self) -> None:
        """Accept proxies again."""
        if self.listener:
            self.listener.resume()

    def reload(self, config: ControllerConfig) -> None:
        """Apply the limits of a new configuration."""
        if self.listener:
            self.listener.rate = config.forwarders.accepts_per_s
        if self._http and config.door:
            self._http.max_connections = config.door.connections_most
            self._http.max_header_bytes = config.door.header_most_bytes
            self._http.request_timeout_ms = config.door.request_within_ms

    def stop(self) -> None:
        """Close the listening sockets and the HTTP connections."""
        for server in self.servers:
            server.close()
        if self._http:
            self._http.close()

    def _raise_descriptor_limit(self) -> None:
        proxies = self._context.config.forwarders
        needed = proxies.most + proxies.strangers_most + SPARE_DESCRIPTORS
        available = raise_descriptor_limit(needed)
        if available < needed:
            log.warning("file descriptor limit is too low for all proxies", have=available, needed=needed)

    def _start_listener(self, inherited: InheritedSockets) -> None:
        config = self._context.config
        host, port = parse_loopback_address(config.steward.listen)
        self.listener = self._factories.listener(
            host,
            port,
            BACKLOG,
            config.forwarders.accepts_per_s,
            self._connections.make_link,
            lambda why: self._context.rate_limited_log.warn("connection not accepted", why=why),
            inherited.take_listener(host, port),
        )
        self.servers.append(self.listener)

    async def _start_http(self, inherited: InheritedSockets) -> None:
        block = self._context.config.door
        if not block:
            return
        self._http = AdminServer(self._routes, block.connections_most, block.header_most_bytes, block.request_within_ms)
        host, port = parse_loopback_address(block.listen)
        loop = asyncio.get_running_loop()
        if sock := inherited.take_listener(host, port):
            self.servers.append(await loop.create_server(self._http, sock=sock))
        else:
            self.servers.append(await loop.create_server(self._http, host, port, backlog=BACKLOG))
