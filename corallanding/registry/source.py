"""Hosts out of a registry: drives `sync` over a connection, and tells the steward rows as a roster does.

A key is the prefix and the host's number; its value the JSON of a roster's row (`docs/protocol.md`), whose `host`
may be left out. The first list of a life is told whole, every later step as changes, a full read's too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from .connection import RegistryConnection
from .watch_messages import KeyValue, ViewChange, WatchLimits
from .watch_state import WatchState
from .watcher import Watcher

if TYPE_CHECKING:
    from ..config.sources import RegistryBlock
    from ..endpoints.source import EndpointListener
    from .etcd import EtcdConnection


def host_row(prefix: bytes, row: KeyValue) -> dict[str, Any] | None:
    """A registry's row as a roster's; None if its key names no host. What cannot be read names its host all the same,
    so that the view holds that one entry at its last good state and reports it."""
    name = row.key[len(prefix) :]
    if not name.isdigit() or len(name) > 10:
        return None
    host = int(name)
    if row.value is None:
        return {"host": host, "state": "removed"}
    try:
        found = msgspec.json.decode(row.value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        found = None
    if not isinstance(found, dict) or found.get("host", host) != host:
        return {"host": host, "state": "unreadable"}
    return {**found, "host": host}


class RegistrySource:
    """dial(): a new connection. clock: ms. listener: the steward, told rows and failures."""

    def __init__(
        self,
        dial: Callable[[], RegistryConnection],
        prefix: str,
        listener: EndpointListener,
        clock: Callable[[], float],
        chance: Callable[[], float],
        limits: WatchLimits,
    ) -> None:
        self.prefix, self.listener = prefix.encode(), listener
        self.state = WatchState(limits, chance)
        self.watcher = Watcher(dial, self.prefix, self.state, clock, self.tell, listener.on_source_failure, self.whole)
        self.task: asyncio.Task[None] | None = None
        self.is_listed = False  # the first whole list of this life

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.watcher.run())

    def follow(self, on: bool) -> None:
        """A registry is always followed."""

    def fetch(self) -> None:
        """What the registry has is known already."""

    def stop(self) -> None:
        if self.task:
            self.task.cancel()

    def rows(self, rows: Iterable[KeyValue]) -> list[dict[str, Any]]:
        return [r for r in (host_row(self.prefix, row) for row in rows) if r]

    def whole(self) -> None:
        """The view is whole: told as a list once a life, however little differs."""
        if not self.is_listed:
            self.is_listed = True
            self.listener.on_host_rows(True, self.state.revision, self.rows(self.state.view.values()))

    def tell(self, d: ViewChange) -> None:
        if self.is_listed and (rows := self.rows(d.changes)):
            self.listener.on_host_rows(False, d.revision, rows)


def read_optional(path: str | None) -> bytes | None:
    return Path(path).read_bytes() if path else None


@dataclass(frozen=True)
class Credentials:
    """What the registry asks of us, as the files hold it. Raises OSError if one of them cannot be read."""

    token: str
    ca: bytes | None
    certificate: bytes | None
    key: bytes | None

    @classmethod
    def read(cls, c: RegistryBlock) -> Credentials:
        token = (read_optional(c.token_file) or b"").decode("ascii", "replace").strip()
        return cls(token, read_optional(c.ca_file), read_optional(c.certificate_file), read_optional(c.key_file))


class CredentialFiles:
    """The papers, read anew for every connection, so that new tokens and certificates need no restart.

    Guards against files that are away or half written while they are replaced: the last good ones stand, and that is
    said. Could harm where a token was withdrawn by deleting its file: the registry refuses that one by itself.
    """

    def __init__(self, c: RegistryBlock, said: Callable[[str], None]) -> None:
        self.block, self.said, self.good = c, said, Credentials.read(c)

    def __call__(self) -> Credentials:
        try:
            self.good = Credentials.read(self.block)
        except OSError as fault:
            self.said(f"registry: {fault.filename}: {fault.strerror}; the token and certificates read before stand")
        return self.good


def etcd_connector(c: RegistryBlock, said: Callable[[str], None]) -> Callable[[], EtcdConnection]:
    """New connections as configured, to each member in turn. Raises OSError if one of the files cannot be read."""
    from .etcd import EtcdConnection, TlsConfig

    files, turn = CredentialFiles(c, said), count()
    members = [c.address, *c.others]

    def dial() -> EtcdConnection:
        p = files()
        tls = TlsConfig(p.ca, p.certificate, p.key, c.server_name) if p.ca else None
        return EtcdConnection(members[next(turn) % len(members)], c.timeout_ms, tls, p.token)

    return dial


def make_source(
    c: RegistryBlock,
    listener: EndpointListener,
    clock: Callable[[], float],
    chance: Callable[[], float],
    dial_registry: Callable[[RegistryBlock, Callable[[str], None]], Callable[[], EtcdConnection]] | None = None,
) -> RegistrySource:
    """The source that a configuration names. Raises OSError if one of its files cannot be read."""

    rate = c.reads_per_min
    dial: Callable[[], RegistryConnection]
    if c.kind == "consul":
        from .consul import ConsulConnection

        rate = max(rate, 6_000.0)  # every change is a read there: bounded by the registry's own blocking
        files = CredentialFiles(c, listener.on_source_failure)
        consul = ConsulConnection(
            c.address, c.timeout_ms, c.block_ms, files.good.token
        )  # it keeps index and epoch over breaks

        def dial() -> RegistryConnection:
            consul.token = files().token
            return consul
    else:
        dial = (dial_registry or etcd_connector)(c, listener.on_source_failure)
    limits = WatchLimits(c.wait_ms, c.wait_most_ms, rate, c.page)
    return RegistrySource(dial, c.prefix, listener, clock, chance, limits)
