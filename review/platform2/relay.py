"""Stand-in of the relay: the store, the channel to the proxies, and the watch. One for each steward's address."""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .world import World

MOST_CONNECTIONS = 32
Op = dict[str, Any]


class Relay:
    """The relay as one steward sees it.

    `fault()` is asked for each call and says how it goes wrong: "" not at all, "reset-done" or "reset-undone" (the
    connection breaks), "silent-done" or "silent-undone" (nothing comes), "spoilt-done" (what comes is not readable).
    While `is_cut` is set, the relay is out of reach of this steward.
    """

    def __init__(self, world: World, me: int) -> None:
        self.world = world
        self.me = me
        self.random = random.Random(f"{world.seed}:relay:{me}")
        self.fault: Callable[[], str] = lambda: ""
        self.in_reach = asyncio.Event()
        self.in_reach.set()
        self.has_begun = False
        self.servers: list[asyncio.Server] = []
        self.address = ""
        self.watchers: list[asyncio.StreamWriter] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.departs_at = 0.0  # when the last message leaves the channel
        self.has_level = False
        self.speed = 1.0  # of the channel: below 1 while it is slower than the settings say
        self.calls = 0
        self.unanswered = 0
        self.call_times: deque[float] = deque()

    async def listen(self) -> None:
        """Listen at a new address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.servers.append(server)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    @property
    def is_cut(self) -> bool:
        """Whether the relay is out of reach."""
        return not self.in_reach.is_set()

    @is_cut.setter
    def is_cut(self, value: bool) -> None:
        if value:
            self.in_reach.clear()
        else:
            self.in_reach.set()

    # ---- connections -------------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut or len(self.connections) >= MOST_CONNECTIONS:
            await self._hold(writer)
            return
        self.connections.add(writer)
        try:
            while line := await reader.readline():
                await self.in_reach.wait()
                await self._request(json.loads(line), writer)
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            if writer in self.watchers:
                self.watchers.remove(writer)
                if not self.watchers:
                    self.world.waits[self.me].add(self.world.now(), 0.0)
            writer.close()

    async def _hold(self, writer: asyncio.StreamWriter) -> None:
        """Say nothing on a new connection, and reset it when the relay is in reach again."""
        await self.in_reach.wait()
        writer.transport.abort()

    async def _request(self, request: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        if request.get("method") == "relay.watch":
            self._write(writer, {"jsonrpc": "2.0", "id": request["id"], "result": True})
            for method, params in self.world.standing(self.me):
                self._write(writer, {"jsonrpc": "2.0", "method": method, "params": params})
            self.watchers.append(writer)
        elif request.get("method") == "relay.apply":
            await self._apply(request, writer)
        else:
            self._write(writer, {"jsonrpc": "2.0", "id": request.get("id"), "error": "ValidationError"})

    def _write(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        if not writer.transport.is_closing():
            writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def tell(self, method: str, params: dict[str, Any]) -> None:
        """Send news to the steward."""
        if not self.is_cut:
            for writer in self.watchers:
                self._write(writer, {"jsonrpc": "2.0", "method": method, "params": params})

    async def ping(self) -> None:
        """Send a sign of life every second."""
        while True:
            await asyncio.sleep(1.0)
            self.tell("ping", {})

    def break_watch(self) -> None:
        """Break off the news."""
        self.world.waits[self.me].add(self.world.now(), 4_000.0)
        for writer in list(self.watchers):
            writer.transport.abort()

    def drop_all(self) -> None:
        """Reset all connections: the steward has died, or the relay was out of reach."""
        for writer in list(self.connections):
            writer.transport.abort()

    # ---- calls -------------------------------------------------------------------------------------------------

    async def _apply(self, request: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        if not self.has_begun:
            self._write(writer, {"jsonrpc": "2.0", "id": request["id"], "error": "Throttling"})
            return
        await asyncio.sleep(self.random.uniform(0.001, 0.01))
        ops: list[Op] = request["params"]["ops"]
        fault = self.fault()
        self.calls += 1
        self.world.record.call(f"call n{self.me} {fault or 'answered'} id={request['id']}", ops)
        taken = 0
        if not fault.endswith("-undone"):
            taken = self._usable(ops)
            self._carry_out(ops[:taken])
        if not fault:
            self._write(writer, {"jsonrpc": "2.0", "id": request["id"], "result": {"taken": taken}})
            return
        self.unanswered += 1
        self.world.waits[self.me].add(self.world.now(), 500.0 if fault.startswith("reset") else 1_500.0)
        if fault.startswith("reset"):
            writer.transport.abort()
        elif fault.startswith("spoilt"):
            self._write(writer, {"jsonrpc": "2.0", "id": request["id"], "result": {"taken": "many"}})

    def _usable(self, ops: list[Op]) -> int:
        """Return how many orders can be used, from the first on."""
        for position, op in enumerate(ops):
            is_known = op.get("endpoint") is None or op["endpoint"] in self.world.ever_listed
            if not is_known or op.get("w", 0) < 0 or op.get("gate", 0) < 0:
                return position
        return len(ops)

    def _carry_out(self, ops: list[Op]) -> None:
        world = self.world
        held = [op for op in ops if not isinstance(op.get("table"), int) or world.charge.get(op["table"]) == self.me]
        for op in held:
            if op["op"] == "SET":
                if op["w"] > 0:
                    world.store[op["table"]][op["endpoint"]] = op["w"]
                else:
                    world.store[op["table"]].pop(op["endpoint"], None)
            elif op["op"] == "DEL":
                world.store[op["table"]].clear()
            elif op["op"] == "LIMIT" and op["table"] == "*":
                self.has_level = True
        self._send(held)

    def _send(self, ops: list[Op]) -> None:
        """Queue a message for each proxy concerned."""
        site = self.world.site
        now = self.world.now()
        self.departs_at = max(self.departs_at, now)
        goes_to_all = any(op["op"] == "SYNC" and op.get("set") for op in ops)
        for proxy in self.world.proxies:
            if proxy.joined.get(self.me) is None:
                continue
            lines = sum(1 for op in ops if self._concerns(op, proxy))
            if lines or goes_to_all:
                lines += site.head + self.has_level + any(op["op"] == "SYNC" for op in ops)
                self.departs_at += lines * 1000.0 / (site.lines_per_s * self.speed)
                self._count_message(proxy, now)
            travel = min(site.late_most, site.late * self.random.expovariate(1.0))
            at = max(self.departs_at + travel, proxy.last_at.get(self.me, 0.0) + 1.0)  # in order
            proxy.last_at[self.me] = at
            answers = bool(lines or goes_to_all)
            due = self.world.record.started + at / 1000.0
            asyncio.get_running_loop().call_at(due, self._deliver, proxy, proxy.epoch[self.me], ops, (answers, now))
        waiting = (self.departs_at - now) * site.lines_per_s * self.speed / 1000.0
        if waiting > site.backlog:
            self.world.judge.breach("queue", f"n{self.me}: {waiting:.0f} lines wait, {site.backlog:.0f} are allowed")

    def _concerns(self, op: Op, proxy: Any) -> bool:
        if op["op"] == "SYNC":
            return False
        if op["op"] in ("OUT", "IN"):
            return any(
                op["endpoint"] in table
                for number, table in proxy.tables.items()
                if self.world.charge.get(number) == self.me
            )
        return True

    def _count_message(self, proxy: Any, now: float) -> None:
        site = self.world.site
        times = proxy.messages.setdefault(self.me, deque())
        times.append(now)
        while times[0] < now - site.messages_over:
            times.popleft()
        if site.messages_most and len(times) > site.messages_most:
            self.world.judge.breach("messages", f"n{self.me}: {len(times)} messages to proxy {proxy.number} in 10 s")

    def _deliver(self, proxy: Any, epoch: int, ops: list[Op], sent: tuple[bool, float]) -> None:
        answers, sent_at = sent
        if proxy.epoch[self.me] != epoch or proxy.joined.get(self.me) is None:
            return
        proxy.apply(self.me, ops)
        stamps = [op["stamp"] for op in ops if op["op"] == "SYNC"]
        if stamps and answers:
            latency = self.world.now() - sent_at
            self.tell("done", {"node": proxy.number, "nonce": stamps[-1], "latency": round(latency, 1)})

    def lose_queue(self) -> None:
        """Lose what waits and travels: the steward has died."""
        self.departs_at = 0.0
        self.has_level = False
