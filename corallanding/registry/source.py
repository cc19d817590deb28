"""Hosts out of a registry: drives `sync` over a connection, and tells the steward rows as a roster does.

A key is the prefix and the host's number; its value the JSON of a roster's row (`docs/protocol.md`), whose `host`
may be left out. The first list of a life is told whole, every later step as changes, a full read's too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from .connection import Compacted, Connection, Lost
from .sync import Action, Close, Delta, Follow, Header, Limits, List, Row, Say, Sync

if TYPE_CHECKING:
    from ..config.models import RegistryBlock
    from ..roster.source import Listener


class Switch(Exception):
    """The watch has told something that ends it."""

    def __init__(self, then: Action) -> None:
        super().__init__()
        self.then = then


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
        self.dial, self.prefix, self.listener, self.clock = dial, prefix.encode(), listener, clock
        self.sync = Sync(limits, chance)
        self.task: asyncio.Task[None] | None = None
        self.told = False  # the first whole list of this life
        self.stopped = False

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run())

    def follow(self, on: bool) -> None:
        """A registry is always followed."""

    def fetch(self) -> None:
        """What the registry has is known already."""

    def stop(self) -> None:
        self.stopped = True
        if self.task:
            self.task.cancel()

    # ---- the way ---------------------------------------------------------------------------------------

    async def run(self) -> None:
        while not self.stopped:
            conn = self.dial()
            try:
                then = self.carry(self.sync.connected(self.clock()))
                while not isinstance(then, Close):
                    then = await self.ask(conn, then)
            finally:
                await conn.close()
            self.listener.roster_failed(f"registry: {then.why}")
            await asyncio.sleep(then.wait / 1000.0)

    async def ask(self, conn: Connection, what: List | Follow) -> List | Follow | Close:
        sync = self.sync
        try:
            if isinstance(what, List):
                header, rows, more = await conn.page(self.prefix, what.after, what.revision, sync.limits.page)
                return self.carry(sync.listed(self.clock(), header, rows, more))
            await conn.watch(self.prefix, what.revision, self)
            return self.carry(sync.broken(self.clock(), "the watch ended"))
        except Switch as s:
            return self.only(s.then)
        except Compacted:
            return self.carry(sync.list_compacted(self.clock()))
        except Lost as fault:
            return self.carry(sync.broken(self.clock(), str(fault)))

    def only(self, then: Action) -> List | Follow | Close:
        assert isinstance(then, List | Follow | Close)
        return then

    def carry(self, actions: list[Action]) -> List | Follow | Close:
        """Tell what is to be told; what is to be asked next. A follow with nothing told yet tells the whole list."""
        then: List | Follow | Close | None = None
        for a in actions:
            if isinstance(a, Say):
                self.listener.roster_failed(f"registry: {a.text}")
            elif isinstance(a, Delta):
                self.tell(a)
            else:
                then = a
        if isinstance(then, Follow) and not self.told:
            self.told = True
            rows = [r for r in map(self.row, self.sync.view.values()) if r]
            self.listener.roster_rows(True, self.sync.revision, rows)
        assert then is not None
        return then

    def row(self, row: Row) -> dict[str, Any] | None:
        return row_of(self.prefix, row)

    def tell(self, d: Delta) -> None:
        rows = [r for r in map(self.row, d.rows) if r]
        if self.told and rows:
            self.listener.roster_rows(False, d.revision, rows)

    # ---- what a watch tells ----------------------------------------------------------------------------

    def heard(self, actions: list[Action]) -> None:
        for k, a in enumerate(actions):
            if isinstance(a, Delta):
                self.tell(a)
            else:
                raise Switch(self.carry(actions[k:]))

    def created(self, header: Header) -> None:
        self.heard(self.sync.created(self.clock(), header))

    def changes(self, header: Header, rows: list[Row], fragment: bool) -> None:
        self.heard(self.sync.watched(self.clock(), header, rows, fragment))

    def progress(self, header: Header) -> None:
        self.heard(self.sync.progress(self.clock(), header))

    def cancelled(self, header: Header | None, compacted: int, why: str) -> None:
        self.heard(self.sync.cancelled(self.clock(), header, compacted, why))


def make(
    c: RegistryBlock, listener: Listener, clock: Callable[[], float], chance: Callable[[], float]
) -> RegistrySource:
    """The source that a configuration names. Raises OSError if one of its files cannot be read."""

    def text(path: str | None) -> bytes | None:
        return Path(path).read_bytes() if path else None

    token = (text(c.token_file) or b"").decode().strip()
    rate = c.reads_per_min
    dial: Callable[[], Connection]
    if c.kind == "consul":
        from .consul import Consul

        rate = max(rate, 6_000.0)  # every change is a read there: bounded by the registry's own blocking
        consul = Consul(c.address, c.timeout_ms, c.block_ms, token)  # it keeps index and epoch over breaks

        def dial() -> Connection:
            return consul
    else:
        from .etcd import Etcd, Tls

        ca = text(c.ca_file)
        tls = Tls(ca, text(c.certificate_file), text(c.key_file), c.server_name) if ca else None

        def dial() -> Connection:
            return Etcd(c.address, c.timeout_ms, tls, token)

    limits = Limits(c.wait_ms, c.wait_most_ms, rate, c.page)
    return RegistrySource(dial, c.prefix, listener, clock, chance, limits)
