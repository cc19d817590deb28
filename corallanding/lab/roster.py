"""A stand-in roster: knows only of processes, late, and can be wrong. Speaks the line-JSON of `docs/protocol.md`."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

from .trace import Trace


class Conn(asyncio.Protocol):
    def __init__(self, roster: Roster) -> None:
        self.roster, self.held, self.following = roster, b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if self.roster.down:
            transport.abort()
            return
        self.roster.conns[self] = None

    def data_received(self, data: bytes) -> None:
        self.held += data
        while b"\n" in self.held:
            line, self.held = self.held.split(b"\n", 1)
            asked = json.loads(line)
            self.following = asked["ask"] == "follow" or (self.following and asked["ask"] != "stop")
            if asked["ask"] in ("follow", "fetch"):
                self.roster.tell(self, "full", self.roster.shown(), None)

    def connection_lost(self, exc: Exception | None) -> None:
        self.roster.conns.pop(self, None)


class Roster:
    """rows: the truth as far as it has come here; `wrong` changes what is shown of it."""

    def __init__(self, trace: Trace, port: int = 0) -> None:
        self.observer, self.port = trace.observer("roster"), port
        self.rows: dict[int, dict[str, Any]] = {}
        self.version, self.down = 1, False
        self.conns: dict[Conn, None] = {}
        self.dropped: set[int] = set()  # living hosts that a wrong list leaves out
        self.ghosts: dict[int, dict[str, Any]] = {}  # hosts that do not exist
        self.frozen: dict[int, dict[str, Any]] | None = None  # a list that went back in time
        self.last: dict[int, dict[str, Any]] = {}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Conn(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def shown(self) -> dict[int, dict[str, Any]]:
        rows = self.rows if self.frozen is None else self.frozen
        return {h: r for h, r in {**rows, **self.ghosts}.items() if h not in self.dropped}

    def tell(self, conn: Conn, form: str, rows: dict[int, dict[str, Any]], after: int | None) -> None:
        line = {"form": form, "version": self.version, "hosts": list(rows.values()), "after": after}
        if not conn.transport.is_closing():
            self.observer.record(
                "told", form, self.version, [[r["host"], r["state"], r["started"]] for r in rows.values()]
            )
            conn.transport.write(json.dumps(line).encode() + b"\n")

    def put(self, host: int, **row: Any) -> None:
        """A row as the registry now has it; state "removed" takes it out."""
        old = self.rows.get(host, {})
        self.rows[host] = {"host": host, **old, **row}
        if self.rows[host]["state"] == "removed":
            del self.rows[host]
        self.changed()

    def changed(self) -> None:
        """Push what differs from what was shown last."""
        rows = self.shown()
        gone = {h: {"host": h, "state": "removed", "started": 0.0, "address": ""} for h in self.last if h not in rows}
        changes = {**gone, **{h: r for h, r in rows.items() if self.last.get(h) != r}}
        self.last = {h: dict(r) for h, r in rows.items()}
        if not changes:
            return
        before, self.version = self.version, self.version + 1
        for conn in list(self.conns):
            if conn.following:
                self.tell(conn, "changes", changes, before)

    async def stop(self) -> None:
        """Nothing is left to end."""

    async def fail(self, down: bool) -> None:
        self.down = down
        if down:
            for conn in list(self.conns):
                conn.transport.abort()


class RegistryRoster(Roster):
    """The same list, kept in the stand-in registry: several stewards follow it there."""

    PREFIX = "/corallanding/hosts/"

    async def start(self) -> None:
        from .registry import Registry

        self.registry = Registry()
        await self.registry.start()
        self.port = self.registry.port
        self.up = True
        self.changed()

    def changed(self) -> None:
        """Write what differs; while the registry is down, nothing can be."""
        if not getattr(self, "up", False):
            return
        rows = self.shown()
        gone = [h for h in self.last if h not in rows]
        changed = {h: r for h, r in rows.items() if self.last.get(h) != r}
        self.last = {h: dict(r) for h, r in rows.items()}
        for h in gone:
            self.registry.store.put(f"{self.PREFIX}{h}".encode(), None)
        for h, r in changed.items():
            self.registry.store.put(f"{self.PREFIX}{h}".encode(), json.dumps(r).encode())
        if gone or changed:
            told = [[h, "removed", 0.0] for h in gone] + [[h, r["state"], r["started"]] for h, r in changed.items()]
            self.observer.record("told", "changes", self.registry.store.revision, told)
            self.registry.store.poke()

    async def fail(self, down: bool) -> None:
        """The registry stops, or is there again with what it had."""
        if down:
            self.up = False
            await self.registry.stop()
        else:
            await self.registry.start()
            self.up = True
            self.changed()

    async def stop(self) -> None:
        if self.up:
            await self.registry.stop()
