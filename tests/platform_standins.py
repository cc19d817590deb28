"""Small stand-ins on loopback for what a steward meets on the platform; and the steward as a process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import signal
import socket
import sys
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

TEST_TIMEOUT_SECONDS = 30.0  # s: what should take moments may take so long on a busy machine


async def until(true: Callable[[], Any], what: str) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not true():
            await asyncio.sleep(0.01)
    assert true(), what


class Server:
    """A loopback server whose connections can be cut."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        self.server = await asyncio.start_server(self.came, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def came(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def cut(self) -> None:
        for writer in self.writers:
            writer.transport.abort()

    def close(self) -> None:
        self.server.close()
        self.cut()


class Relay(Server):
    """`faults`: what becomes of the next calls: "broken", "silent", "spoilt", "throttled", "lost" (not carried out)."""

    def __init__(self) -> None:
        super().__init__()
        self.proxies: set[int] = set()
        self.tables: dict[int, dict[str, float]] = {}
        self.out: set[str] = set()
        self.calls: list[list[dict[str, Any]]] = []  # carried out
        self.faults: deque[str] = deque()
        self.watchers: set[asyncio.StreamWriter] = set()
        self.watched = self.outstanding = self.outstanding_most = 0
        self.ping_after = 0.0  # s: how long after what stands the first sign of life comes

    def tell(self, method: str, to: asyncio.StreamWriter | None = None, **params: Any) -> None:
        line = msgspec.json.encode({"jsonrpc": "2.0", "method": method, "params": params}) + b"\n"
        for writer in [to] if to else self.watchers:
            writer.write(line)

    def join(self, node: int, to: asyncio.StreamWriter | None = None) -> None:
        self.proxies.add(node)
        self.tell("attach", to, node=node, locality="a", w=2.5, cold=True)

    def give(self, shard: int, to: asyncio.StreamWriter | None = None) -> None:
        self.tell("owner", to, shard=shard, set=True)
        for host, w in self.tables.setdefault(shard, {}).items():
            self.tell("entry", to, shard=shard, endpoint=host, w=w)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            said = msgspec.json.decode(line)
            if said["method"] == "relay.watch":
                await self.watch(said["id"], writer)
                return
            self.outstanding += 1
            self.outstanding_most = max(self.outstanding_most, self.outstanding)
            go_on = await self.apply(said, writer)
            self.outstanding -= 1
            if not go_on:
                return

    async def apply(self, said: dict[str, Any], writer: asyncio.StreamWriter) -> bool:
        fault, ops = self.faults.popleft() if self.faults else "", said["params"]["ops"]
        answer: dict[str, Any] = {"jsonrpc": "2.0", "id": said["id"], "result": {"taken": len(ops)}}
        if fault == "throttled":
            answer = {"jsonrpc": "2.0", "id": said["id"], "error": {"code": -32000, "message": "Throttling"}}
        elif fault != "lost":
            self.carry_out(ops)
        if fault in ("broken", "lost"):
            writer.transport.abort()
            return False
        if fault != "silent":
            writer.write(msgspec.json.encode(answer)[: 9 if fault == "spoilt" else None] + b"\n")
        return True

    def carry_out(self, ops: list[dict[str, Any]]) -> None:
        self.calls.append(ops)
        for o in ops:
            if o["op"] == "SET" and o["table"] in self.tables:
                self.tables[o["table"]].pop(o["endpoint"], None)
                if o["w"] > 0:
                    self.tables[o["table"]][o["endpoint"]] = o["w"]
            elif o["op"] in ("OUT", "IN"):
                (self.out.add if o["op"] == "OUT" else self.out.discard)(o["endpoint"])
            elif o["op"] == "SYNC":
                for node in self.proxies:
                    self.tell("done", node=node, nonce=o["stamp"], latency=5.0)

    async def watch(self, id: int, writer: asyncio.StreamWriter) -> None:
        self.watched += 1
        writer.write(msgspec.json.encode({"jsonrpc": "2.0", "id": id, "result": True}) + b"\n")
        for node in sorted(self.proxies):
            self.join(node, writer)
        for shard in sorted(self.tables):
            self.give(shard, writer)
        self.watchers.add(writer)
        await asyncio.sleep(self.ping_after)
        try:
            while not writer.is_closing():
                self.tell("ping", writer)
                await asyncio.sleep(0.1)
        finally:
            self.watchers.discard(writer)

    def break_news(self) -> None:
        for writer in self.watchers:
            writer.transport.abort()


class Agent(Server):
    """The list as discovery has it, by long polls. `mute`: says nothing; `garble`: the next answers are no JSON."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        super().__init__()
        self.hosts = {h["host"]: h for h in hosts}
        self.log: list[tuple[int, dict[str, Any]]] = [(1, h) for h in hosts]
        self.seq, self.polls, self.mute, self.garble = 1, 0, False, 0

    def change(self, *rows: dict[str, Any]) -> None:
        self.seq += 1
        self.hosts.update({h["host"]: h for h in rows})
        self.log += [(self.seq, h) for h in rows]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            self.polls += 1
            poll = re.match(rb"GET /v1/servers\?index=(\d+)&wait=(\d+) ", head)
            after = int(poll[1]) if poll else -1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(poll[2]) / 1000.0 if poll else 0.0):
                    while self.seq <= after or self.mute:
                        await asyncio.sleep(0.01)
            while self.mute:
                await asyncio.sleep(0.01)
            rows = [h for seq, h in self.log if seq > after]
            body = msgspec.json.encode({"seq": self.seq, "whole": after < 0, "hosts": rows})
            if self.garble:
                self.garble, body = self.garble - 1, b"{"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body[:7])
            await asyncio.sleep(0)
            writer.write(body[7:])


class Hosts(Server):
    """One address that answers the probes of all hosts."""

    probes = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.probes += 1
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def free() -> str:
    """An address where nobody listens just now."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


class Process:
    """The steward as the platform starts it."""

    def __init__(self, config: dict[str, Any], path: Path) -> None:
        self.config, self.path = config, path
        self.command = [sys.executable, "-m", "corallanding.platform"]
        self.write()

    def write(self, **other: Any) -> None:
        self.config.update(other)
        self.path.write_bytes(msgspec.json.encode(self.config))

    async def start(self) -> None:
        env = {**os.environ, "LB_CONFIG": str(self.path)}
        self.process = await asyncio.create_subprocess_exec(*self.command, env=env, stderr=asyncio.subprocess.PIPE)

    def signal(self, sign: signal.Signals) -> None:
        self.process.send_signal(sign)

    async def end(self) -> tuple[int, str]:
        """Its exit code and its log."""
        assert self.process.stderr
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            log = await self.process.stderr.read()
            return await self.process.wait(), log.decode()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = str(self.config["listen"]).rpartition(":")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while True:
                try:
                    return await asyncio.open_connection(host, int(port))
                except ConnectionError:
                    await asyncio.sleep(0.02)
