"""The transport to other controllers, and the cluster services that use it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from .. import interface as api
from ..assignment import Assigner
from ..config import ControllerConfig
from ..endpoints.endpoint_list import parse_loopback_address
from .cluster import Cluster
from .context import Context, ProcessState
from .engine import Engine
from .fleet_view import FleetView
from .inherited_sockets import InheritedSockets
from .peer_dispatch import PeerDispatcher
from .peer_transport import CLUSTER_PREFIX, PeerTransport

if TYPE_CHECKING:
    from ..registry.table_store import TableStore


class PeerServices:
    """The transport to other controllers, if one is configured, and the cluster services on it.

    cluster: membership, quotas and tasks; None if none of them is configured. request_step: requests a decision step.
    """

    def __init__(self, context: Context, engine: Engine, request_step: Callable[[], None]) -> None:
        self._context = context
        self._engine = engine
        self._request_step = request_step
        self._dispatcher: PeerDispatcher | None = None
        self.transport: PeerTransport | None = None
        self.cluster: Cluster | None = None

    def open_transport(self, inherited: InheritedSockets) -> None:
        """Start receiving, on the predecessor process's socket if it was inherited. Raises OSError."""
        config = self._context.config.steward
        if not config.peer_listen:
            return
        sock = inherited.take_listener(*parse_loopback_address(config.peer_listen), socket.SOCK_DGRAM)
        on_drop = self._context.metrics.dropped_peer_datagrams.inc
        self.transport = PeerTransport(
            config.number, config.peer_listen, config.peers, self._on_datagram, on_drop, sock
        )

    def start_cluster(self, fleet_view: FleetView, leadership_store: Callable[[], TableStore | None]) -> None:
        """Start the cluster services, if any is configured. Raises OSError.

        leadership_store: returns the store for the leader's lease in the registry; None if leaders are elected by vote.
        """
        context = self._context
        config = context.config
        if not (config.budget or config.task or config.task_group):
            return
        self._dispatcher = PeerDispatcher(self.send, context.metrics.dropped_peer_datagrams.inc)
        self.cluster = Cluster(
            config,
            self._dispatcher,
            context.clock,
            lambda: context.lifecycle.is_paused,
            context.metrics,
            context.rate_limited_log,
            fleet_view,
            leadership_store(),
        )
        if self.cluster.quota and isinstance(self._engine.assigner, Assigner):
            self._engine.assigner.publication.may_begin = self.cluster.quota.may_begin
        self.cluster.start()

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send a datagram to one controller, or to all if `peer` is None, without confirmation."""
        if self.transport:
            self.transport.send(peer, payload)

    def may_check_health(self, host: int) -> bool:
        """Return whether the quota allows this controller one more health check of the host, and use one unit of it."""
        quota = self.cluster.quota if self.cluster else None
        return quota is None or quota.may_begin("probes", host, True)

    def pause(self) -> None:
        """Stop receiving; datagrams remain in the socket's buffer."""
        if self.transport:
            self.transport.suspend()

    def resume(self) -> None:
        """Resume receiving."""
        if self.transport:
            self.transport.resume()

    def reload(self, config: ControllerConfig) -> None:
        """Apply the quotas and release versions of a new configuration."""
        if self.cluster:
            self.cluster.reload(config)

    def stop_cluster(self) -> None:
        """Stop the services; without sending anything if another process has taken over."""
        if self.cluster:
            self.cluster.close(self._context.lifecycle.state is ProcessState.SUPERSEDED)
            self.cluster = None

    def close_transport(self) -> None:
        """Close the socket."""
        if self.transport:
            self.transport.close()

    def _on_datagram(self, sender: int, payload: bytes) -> None:
        if payload[:1] == CLUSTER_PREFIX:
            if self._dispatcher:
                self._dispatcher.on_datagram(sender, payload[1:])
            return
        self._engine.add_event(self._context.clock(), api.PeerMessage(sender, payload))
        self._request_step()
