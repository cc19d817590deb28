"""Factories of the controller's components that a simulation or a measurement replaces."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from ..config.sources import RegistryBlock
from ..load_reports.feed import LoadReportFeed
from .acceptor import Listener
from .decision_loop import DecisionLoop
from .proxy_connections import ProxyConnections

if TYPE_CHECKING:
    from ..registry.etcd import EtcdConnection


class ListenerFactory(Protocol):
    """Creates the listener for connections of proxies; the arguments are those of `acceptor.Listener`."""

    def __call__(
        self,
        host: str,
        port: int,
        backlog: int,
        rate: float,
        factory: Callable[[], asyncio.BaseProtocol],
        on_warning: Callable[[str], None],
        inherited: socket.socket | None = None,
    ) -> Listener:
        """Listen at the address. Raises OSError."""
        ...


def dial_etcd(block: RegistryBlock, on_failure: Callable[[str], None]) -> Callable[[], EtcdConnection]:
    """Return a function that opens connections to the configured registry."""
    from ..registry.source import etcd_connector  # gRPC is imported only where a registry is configured

    return etcd_connector(block, on_failure)


@dataclass(frozen=True)
class Factories:
    """The factories; by default those of the real service."""

    listener: ListenerFactory = Listener
    connect_registry: Callable[[RegistryBlock, Callable[[str], None]], Callable[[], Any]] = dial_etcd
    feed: type[LoadReportFeed] = LoadReportFeed
    decision_loop: type[DecisionLoop] = DecisionLoop
    proxy_connections: type[ProxyConnections] = ProxyConnections
