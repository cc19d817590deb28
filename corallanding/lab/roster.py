"""A stand-in source of the host list, which can be late and wrong. Speaks the line-JSON of `docs/protocol.md`."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

from .trace import Trace


class ListConnection(asyncio.Protocol):
    """A controller's connection to the host list."""

    def __init__(self, roster: Roster) -> None:
        self.roster, self.buffer, self.is_watching = roster, b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if self.roster.down:
            transport.abort()
            return
        self.roster.connections[self] = None

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\n" in self.buffer:
            line, self.buffer = self.buffer.split(b"\n", 1)
            request = json.loads(line)
            self.is_watching = request["ask"] == "follow" or (self.is_watching and request["ask"] != "stop")
            if request["ask"] in ("follow", "fetch"):
                self.roster.tell(self, "full", self.roster.shown(), None)

    def connection_lost(self, exc: Exception | None) -> None:
        self.roster.connections.pop(self, None)


class Roster:
    """The host list. rows: its true entries; faults change what is sent of them (`dropped`, `ghosts`, `frozen`)."""

    def __init__(self, trace: Trace, port: int = 0) -> None:
        self.observer, self.port = trace.observer("roster"), port
        self.rows: dict[int, dict[str, Any]] = {}
        self.version, self.down = 1, False
        self.connections: dict[ListConnection, None] = {}
        self.dropped: set[int] = set()  # hosts that a wrong list leaves out
        self.ghosts: dict[int, dict[str, Any]] = {}  # hosts that do not exist
        self.frozen: dict[int, dict[str, Any]] | None = None  # an old list that is sent in place of `rows`
        self.last: dict[int, dict[str, Any]] = {}

    async def start(self) -> None:
        """Listen on the port; 0 chooses one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ListConnection(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def shown(self) -> dict[int, dict[str, Any]]:
        """Return the entries to send, with the present faults."""
        rows = self.rows if self.frozen is None else self.frozen
        return {h: r for h, r in {**rows, **self.ghosts}.items() if h not in self.dropped}

    def tell(self, conn: ListConnection, form: str, rows: dict[int, dict[str, Any]], after: int | None) -> None:
        """Send entries: a "full" list, or "changes" after version `after`."""
        line = {"form": form, "version": self.version, "hosts": list(rows.values()), "after": after}
        if not conn.transport.is_closing():
            self.observer.record(
                "told", form, self.version, [[r["host"], r["state"], r["started"]] for r in rows.values()]
            )
            conn.transport.write(json.dumps(line).encode() + b"\n")

    def put(self, host: int, **row: Any) -> None:
        """Change a host's entry; the state "removed" deletes it."""
        old = self.rows.get(host, {})
        self.rows[host] = {"host": host, **old, **row}
        if self.rows[host]["state"] == "removed":
            del self.rows[host]
        self.changed()

    def changed(self) -> None:
        """Send watchers the difference from what was sent last."""
        rows = self.shown()
        gone = {h: {"host": h, "state": "removed", "started": 0.0, "address": ""} for h in self.last if h not in rows}
        changes = {**gone, **{h: r for h, r in rows.items() if self.last.get(h) != r}}
        self.last = {h: dict(r) for h, r in rows.items()}
        if not changes:
            return
        before, self.version = self.version, self.version + 1
        for conn in list(self.connections):
            if conn.is_watching:
                self.tell(conn, "changes", changes, before)

    async def stop(self) -> None:
        """Do nothing: connections end with the controllers."""

    async def fail(self, down: bool) -> None:
        """Abort all connections and reject new ones while `down`."""
        self.down = down
        if down:
            for conn in list(self.connections):
                conn.transport.abort()


class RegistryRoster(Roster):
    """The host list in the stand-in registry, where several controllers watch it."""

    PREFIX = "/corallanding/hosts/"

    async def start(self) -> None:
        """Start the registry and write the list."""
        from .registry import Registry

        self.registry = Registry()
        await self.registry.start()
        self.port = self.registry.port
        self.up = True
        self.changed()

    def changed(self) -> None:
        """Write the difference to the registry, unless it is down."""
        if not getattr(self, "up", False):
            return
        rows = self.shown()
        removed = [h for h in self.last if h not in rows]
        changed = {h: r for h, r in rows.items() if self.last.get(h) != r}
        self.last = {h: dict(r) for h, r in rows.items()}
        for h in removed:
            self.registry.store.put(f"{self.PREFIX}{h}".encode(), None)
        for h, r in changed.items():
            self.registry.store.put(f"{self.PREFIX}{h}".encode(), json.dumps(r).encode())
        if removed or changed:
            entries = [[h, "removed", 0.0] for h in removed] + [
                [h, r["state"], r["started"]] for h, r in changed.items()
            ]
            self.observer.record("told", "changes", self.registry.store.revision, entries)
            self.registry.store.poke()

    async def fail(self, down: bool) -> None:
        """Stop the registry, or start it again with its data."""
        if down:
            self.up = False
            await self.registry.stop()
        else:
            await self.registry.start()
            self.up = True
            self.changed()

    async def stop(self) -> None:
        """Stop the registry."""
        if self.up:
            await self.registry.stop()
