"""Hosts out of a registry: drives `sync` over a connection, and tells the steward rows as a roster does.

A key is the prefix and the host's number; its value the JSON of a roster's row (`docs/protocol.md`), whose `host`
may be left out. The first list of a life is told whole, every later step as changes, a full read's too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from .connection import Connection
from .follow import Follower
from .sync import Delta, Limits, Row, Sync

if TYPE_CHECKING:
    from ..config.models import RegistryBlock
    from ..roster.source import Listener
    from .etcd import Etcd


def row_of(prefix: bytes, row: Row) -> dict[str, Any] | None:
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
        self, dial: Callable[[], Connection], prefix: str, listener: Listener, clock: Callable[[], float],
        chance: Callable[[], float], limits: Limits,
    ) -> None:  # fmt: skip
        self.prefix, self.listener = prefix.encode(), listener
        self.sync = Sync(limits, chance)
        self.follower = Follower(
            dial, self.prefix, self.sync, clock, self.tell, listener.roster_failed, self.whole
        )
        self.task: asyncio.Task[None] | None = None
        self.told = False  # the first whole list of this life

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.follower.run())

    def follow(self, on: bool) -> None:
        """A registry is always followed."""

    def fetch(self) -> None:
        """What the registry has is known already."""

    def stop(self) -> None:
        if self.task:
            self.task.cancel()

    def rows(self, rows: Iterable[Row]) -> list[dict[str, Any]]:
        return [r for r in (row_of(self.prefix, row) for row in rows) if r]

    def whole(self) -> None:
        """The view is whole: told as a list once a life, however little differs."""
        if not self.told:
            self.told = True
            self.listener.roster_rows(True, self.sync.revision, self.rows(self.sync.view.values()))

    def tell(self, d: Delta) -> None:
        if self.told and (rows := self.rows(d.rows)):
            self.listener.roster_rows(False, d.revision, rows)


def text(path: str | None) -> bytes | None:
    return Path(path).read_bytes() if path else None


def etcd(c: RegistryBlock) -> Callable[[], Etcd]:
    """New connections as configured. Raises OSError if one of the files cannot be read."""
    from .etcd import Etcd, Tls

    token = (text(c.token_file) or b"").decode().strip()
    ca = text(c.ca_file)
    tls = Tls(ca, text(c.certificate_file), text(c.key_file), c.server_name) if ca else None
    return lambda: Etcd(c.address, c.timeout_ms, tls, token)


def make(
    c: RegistryBlock, listener: Listener, clock: Callable[[], float], chance: Callable[[], float]
) -> RegistrySource:
    """The source that a configuration names. Raises OSError if one of its files cannot be read."""

    rate = c.reads_per_min
    dial: Callable[[], Connection]
    if c.kind == "consul":
        from .consul import Consul

        rate = max(rate, 6_000.0)  # every change is a read there: bounded by the registry's own blocking
        token = (text(c.token_file) or b"").decode().strip()
        consul = Consul(c.address, c.timeout_ms, c.block_ms, token)  # it keeps index and epoch over breaks

        def dial() -> Connection:
            return consul
    else:
        dial = etcd(c)
    limits = Limits(c.wait_ms, c.wait_most_ms, rate, c.page)
    return RegistrySource(dial, c.prefix, listener, clock, chance, limits)
