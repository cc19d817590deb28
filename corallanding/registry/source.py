"""A host source backed by a registry: watches a prefix, and reports rows to the controller as an endpoint list does.

A key is the prefix and the host's number; its value is the JSON of a row (`docs/protocol.md`), whose `host` may be
omitted. The first list after a start is reported completely, and everything later as changes, also after a full read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from itertools import cycle
from typing import TYPE_CHECKING, Any

import msgspec

from .connection import RegistryConnection
from .credentials import CredentialFiles
from .watch_messages import KeyValue, ViewChange, WatchLimits
from .watch_state import WatchState
from .watcher import Watcher

if TYPE_CHECKING:
    from ..config.sources import RegistryBlock
    from ..endpoints.source import EndpointListener
    from .etcd import EtcdConnection

MAX_HOST_DIGITS = 10
MIN_CONSUL_READS_PER_MINUTE = 6_000.0  # each change is a full read; blocking queries already limit their rate

EtcdConnector = Callable[[], "EtcdConnection"]


def host_row(prefix: bytes, key_value: KeyValue) -> dict[str, Any] | None:
    """Return a key as a row of an endpoint list; None if the key is not a host number.

    An invalid value still yields a row with its host, so that the endpoint list keeps the last good entry and reports
    the fault.
    """
    name = key_value.key[len(prefix) :]
    if not name.isdigit() or len(name) > MAX_HOST_DIGITS:
        return None
    host = int(name)
    if key_value.value is None:
        return {"host": host, "state": "removed"}
    try:
        row = msgspec.json.decode(key_value.value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        row = None
    if not isinstance(row, dict) or row.get("host", host) != host:
        return {"host": host, "state": "unreadable"}
    return {**row, "host": host}


class RegistrySource:
    """An `EndpointSource`. connect: opens a new connection. clock: returns ms. random: as in `WatchState`."""

    def __init__(
        self,
        connect: Callable[[], RegistryConnection],
        prefix: str,
        listener: EndpointListener,
        clock: Callable[[], float],
        random: Callable[[], float],
        limits: WatchLimits,
    ) -> None:
        self.prefix = prefix.encode()
        self.listener = listener
        self.state = WatchState(limits, random)
        self.watcher = Watcher(connect, self.prefix, self.state, clock, self)
        self.task: asyncio.Task[None] | None = None
        self.has_reported_list = False  # whether a complete list was reported since the start

    def start(self) -> None:
        """Start the watch."""
        self.task = asyncio.get_running_loop().create_task(self.watcher.run())

    def follow(self, on: bool) -> None:
        """Do nothing: a registry is always watched."""

    def fetch(self) -> None:
        """Do nothing: the watch already delivers all changes."""

    def stop(self) -> None:
        """End the watch."""
        if self.task:
            self.task.cancel()

    # ---- events of the watcher (`watcher.ViewListener`) --------------------------------------------------------------

    def on_watching(self) -> None:
        """Report the complete view as a full list, the first time only."""
        if not self.has_reported_list:
            self.has_reported_list = True
            self.listener.on_host_rows(True, self.state.revision, self._rows(self.state.view.values()))

    def on_view_change(self, change: ViewChange) -> None:
        """Report changes, once the full list was reported."""
        if self.has_reported_list and (rows := self._rows(change.changes)):
            self.listener.on_host_rows(False, change.revision, rows)

    def on_watch_failure(self, text: str) -> None:
        """Forward the failure to the listener."""
        self.listener.on_source_failure(text)

    def on_disconnected(self) -> None:
        """Do nothing: the host list stays in effect."""

    def _rows(self, key_values: Iterable[KeyValue]) -> list[dict[str, Any]]:
        return [row for row in (host_row(self.prefix, key_value) for key_value in key_values) if row]


def etcd_connector(block: RegistryBlock, on_failure: Callable[[str], None]) -> EtcdConnector:
    """Return a function that connects to the configured members in turn. Raises OSError if a file cannot be read."""
    from .etcd import EtcdConnection, TlsConfig

    files = CredentialFiles(block, on_failure)
    members = cycle([block.address, *block.others])

    def connect() -> EtcdConnection:
        credentials = files.read()
        tls = None
        if credentials.ca:
            tls = TlsConfig(credentials.ca, credentials.certificate, credentials.key, block.server_name)
        return EtcdConnection(next(members), block.timeout_ms, tls, credentials.token)

    return connect


def consul_connector(block: RegistryBlock, on_failure: Callable[[str], None]) -> Callable[[], RegistryConnection]:
    """Return a function that returns the one connection to Consul, with the current token.

    Raises OSError if a credentials file cannot be read.
    """
    from .consul import ConsulConnection

    files = CredentialFiles(block, on_failure)
    connection = ConsulConnection(block.address, block.timeout_ms, block.block_ms, files.last_good.token)

    def connect() -> RegistryConnection:
        connection.token = files.read().token
        return connection  # reused, as it has the index and the epoch

    return connect


def make_source(
    block: RegistryBlock,
    listener: EndpointListener,
    clock: Callable[[], float],
    random: Callable[[], float],
    connect_registry: Callable[[RegistryBlock, Callable[[str], None]], EtcdConnector] = etcd_connector,
) -> RegistrySource:
    """Return the host source of a configuration. Raises OSError if a credentials file cannot be read."""
    max_reads_per_minute = block.reads_per_min
    connect: Callable[[], RegistryConnection]
    if block.kind == "consul":
        max_reads_per_minute = max(max_reads_per_minute, MIN_CONSUL_READS_PER_MINUTE)
        connect = consul_connector(block, listener.on_source_failure)
    else:
        connect = connect_registry(block, listener.on_source_failure)
    limits = WatchLimits(block.wait_ms, block.wait_most_ms, max_reads_per_minute, block.page)
    return RegistrySource(connect, block.prefix, listener, clock, random, limits)
