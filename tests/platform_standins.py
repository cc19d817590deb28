"""Stand-ins on loopback for the services that a platform controller uses, and the controller as a process."""

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

TEST_TIMEOUT_SECONDS = 30.0  # waits normally take moments, but longer on a busy machine


async def until(condition: Callable[[], Any], what: str) -> None:
    """Wait until the condition holds; `what` names what is awaited. Raises TimeoutError after the timeout."""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)
    assert condition(), what


class LoopbackServer:
    """A server on a loopback port whose connections can be aborted."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        """Start listening; return the address."""
        self.server = await asyncio.start_server(self.on_connected, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def on_connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def abort_connections(self) -> None:
        """Abort all open connections."""
        for writer in self.writers:
            writer.transport.abort()

    def close(self) -> None:
        self.server.close()
        self.abort_connections()


class StandInRelay(LoopbackServer):
    """A relay that executes calls and sends its state to watchers.

    `faults`: the faults of the next calls, in order. "disconnect", "no_answer" and "truncated" execute the call but
    spoil its answer; "throttled" answers with an error and "lost" disconnects, both without executing the call.
    """

    def __init__(self) -> None:
        super().__init__()
        self.proxies: set[int] = set()
        self.tables: dict[int, dict[str, float]] = {}
        self.cordoned_hosts: set[str] = set()
        self.executed_calls: list[list[dict[str, Any]]] = []
        self.faults: deque[str] = deque()
        self.watchers: set[asyncio.StreamWriter] = set()
        self.watch_count = 0
        self.outstanding_calls = 0
        self.max_outstanding_calls = 0
        self.first_ping_delay_seconds = 0.0  # from the end of the initial state to the first ping

    def notify(self, method: str, to: asyncio.StreamWriter | None = None, **params: Any) -> None:
        """Send a notification to one watcher, or to all."""
        line = msgspec.json.encode({"jsonrpc": "2.0", "method": method, "params": params}) + b"\n"
        for writer in [to] if to else self.watchers:
            writer.write(line)

    def join_proxy(self, node: int, to: asyncio.StreamWriter | None = None) -> None:
        """Add a proxy and notify watchers of it."""
        self.proxies.add(node)
        self.notify("attach", to, node=node, locality="a", w=2.5, cold=True)

    def assign_slice(self, shard: int, to: asyncio.StreamWriter | None = None) -> None:
        """Assign a slice to the controller and notify watchers of it and of its table."""
        self.notify("owner", to, shard=shard, set=True)
        for host, w in self.tables.setdefault(shard, {}).items():
            self.notify("entry", to, shard=shard, endpoint=host, w=w)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            message = msgspec.json.decode(line)
            if message["method"] == "relay.watch":
                await self.watch(message["id"], writer)
                return
            self.outstanding_calls += 1
            self.max_outstanding_calls = max(self.max_outstanding_calls, self.outstanding_calls)
            stays_connected = await self.apply(message, writer)
            self.outstanding_calls -= 1
            if not stays_connected:
                return

    async def apply(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> bool:
        """Handle a call with its fault, if any; return whether the connection stays open."""
        fault = self.faults.popleft() if self.faults else ""
        operations = message["params"]["ops"]
        answer: dict[str, Any] = {"jsonrpc": "2.0", "id": message["id"], "result": {"taken": len(operations)}}
        if fault == "throttled":
            answer = {"jsonrpc": "2.0", "id": message["id"], "error": {"code": -32000, "message": "Throttling"}}
        elif fault != "lost":
            self.execute(operations)
        if fault in ("disconnect", "lost"):
            writer.transport.abort()
            return False
        if fault != "no_answer":
            writer.write(msgspec.json.encode(answer)[: 9 if fault == "truncated" else None] + b"\n")
        return True

    def execute(self, operations: list[dict[str, Any]]) -> None:
        self.executed_calls.append(operations)
        for operation in operations:
            if operation["op"] == "SET" and operation["table"] in self.tables:
                self.tables[operation["table"]].pop(operation["endpoint"], None)
                if operation["w"] > 0:
                    self.tables[operation["table"]][operation["endpoint"]] = operation["w"]
            elif operation["op"] in ("OUT", "IN"):
                (self.cordoned_hosts.add if operation["op"] == "OUT" else self.cordoned_hosts.discard)(
                    operation["endpoint"]
                )
            elif operation["op"] == "SYNC":
                for node in self.proxies:
                    self.notify("done", node=node, nonce=operation["stamp"], latency=5.0)

    async def watch(self, id: int, writer: asyncio.StreamWriter) -> None:
        """Send the initial state to a new watcher, then pings until its connection closes."""
        self.watch_count += 1
        writer.write(msgspec.json.encode({"jsonrpc": "2.0", "id": id, "result": True}) + b"\n")
        for node in sorted(self.proxies):
            self.join_proxy(node, writer)
        for shard in sorted(self.tables):
            self.assign_slice(shard, writer)
        self.watchers.add(writer)
        await asyncio.sleep(self.first_ping_delay_seconds)
        try:
            while not writer.is_closing():
                self.notify("ping", writer)
                await asyncio.sleep(0.1)
        finally:
            self.watchers.discard(writer)

    def break_watches(self) -> None:
        """Abort the connections of all watchers."""
        for writer in self.watchers:
            writer.transport.abort()


class StandInDiscovery(LoopbackServer):
    """A discovery agent that answers long polls for the host list.

    While `is_silent` it does not answer. `invalid_answers`: the number of next answers that are invalid JSON.
    """

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        super().__init__()
        self.hosts = {h["host"]: h for h in hosts}
        self.log: list[tuple[int, dict[str, Any]]] = [(1, h) for h in hosts]
        self.seq = 1
        self.poll_count = 0
        self.is_silent = False
        self.invalid_answers = 0

    def update_hosts(self, *rows: dict[str, Any]) -> None:
        """Add or replace entries of the host list."""
        self.seq += 1
        self.hosts.update({h["host"]: h for h in rows})
        self.log += [(self.seq, h) for h in rows]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            self.poll_count += 1
            poll = re.match(rb"GET /v1/servers\?index=(\d+)&wait=(\d+) ", head)
            after = int(poll[1]) if poll else -1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(poll[2]) / 1000.0 if poll else 0.0):
                    while self.seq <= after or self.is_silent:
                        await asyncio.sleep(0.01)
            while self.is_silent:
                await asyncio.sleep(0.01)
            rows = [h for seq, h in self.log if seq > after]
            body = msgspec.json.encode({"seq": self.seq, "whole": after < 0, "hosts": rows})
            if self.invalid_answers:
                self.invalid_answers -= 1
                body = b"{"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body[:7])
            await asyncio.sleep(0)
            writer.write(body[7:])


class StandInHosts(LoopbackServer):
    """One address that answers the health checks of all hosts."""

    health_check_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.health_check_count += 1
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def free_address() -> str:
    """Return an address on which no server listens at the moment."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


class ControllerProcess:
    """The controller as a process, started with a configuration file as the platform starts it."""

    def __init__(self, config: dict[str, Any], path: Path) -> None:
        self.config, self.path = config, path
        self.command = [sys.executable, "-m", "corallanding.platform"]
        self.environment: dict[str, str] = {}  # in addition to that of the test
        self.write_config()

    def write_config(self, **changes: Any) -> None:
        """Change the configuration and write its file."""
        self.config.update(changes)
        self.path.write_bytes(msgspec.json.encode(self.config))

    async def start(self) -> None:
        env = {**os.environ, "LB_CONFIG": str(self.path), **self.environment}
        self.process = await asyncio.create_subprocess_exec(*self.command, env=env, stderr=asyncio.subprocess.PIPE)

    def send_signal(self, signal_number: signal.Signals) -> None:
        self.process.send_signal(signal_number)

    async def wait_exit(self) -> tuple[int, str]:
        """Wait until the process ends; return its exit code and its log."""
        assert self.process.stderr
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            log = await self.process.stderr.read()
            return await self.process.wait(), log.decode()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the listening address, retrying until the controller accepts."""
        host, _, port = str(self.config["listen"]).rpartition(":")
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while True:
                try:
                    return await asyncio.open_connection(host, int(port))
                except ConnectionError:
                    await asyncio.sleep(0.02)
