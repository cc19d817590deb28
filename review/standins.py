"""Stand-ins for the platform of the review's cases: hosts, discovery agent, relay, proxies, collectors.

They follow `PROTOCOL.md` and the wire page: the relay is the store, proxies keep what they hold when their stream
breaks and read the store when they join, a call becomes one message for each joined proxy, which leaves the channel at
its rate and arrives later. All addresses are on loopback. Times are seconds since the start of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
CALL_SECONDS = 0.004  # until the relay has carried a call out and answered
READ_STORE_SECONDS = 0.2  # a proxy that joins reads the store within a second
CONNECT_SECONDS = 0.3  # the proxies' dialTimeout
WORK_SECONDS = 0.02  # time that a host takes for a request
CASE_SECONDS = 110.0  # a case that takes longer could not run
MAX_RECORDED = 4_000  # characters of one line of the record


class Record:
    """The file of what was sent, answered and run, with the time of each line."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w", buffering=1)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text[:MAX_RECORDED]}\n")


def settings(slices: int, proxies: int, stewards: int, me: int, **family: Any) -> dict[str, Any]:
    """Return the settings of riga-yards as the wire page's example has them, at another size.

    The channel's rate and limit are those of the example; `family` replaces items of `familyInfo`.
    """
    classes = [
        {"name": "quote", "aim": 1_200_000, "giveUp": 3_000_000, "worth": 3.0, "idempotency": "repeatable"},
        {"name": "claim", "aim": 1_500_000, "giveUp": 5_000_000, "worth": 2.0, "idempotency": "once"},
    ]
    for item in classes:
        item |= {"group": "all", "lateWorth": 0.1, "window": 5_000_000}
    info = {
        "admission": "fraction", "baseMode": 1, "blackhole": 5_400_000, "channelRate": 11_500.0, "defaultSize": 6,
        "ejects": 0, "homedByZone": False, "inFlightMax": 5_020_000, "intakePerS": 200.0, "keyRanges": slices,
        "lbMethod": "p2c", "lease": 800_000, "messagesOver": 10_000_000, "minConnCap": 494.0, "mostWaiting": 17_300.0,
        "perMessage": 8.0, "propagation": 86_000, "proxies": proxies, "pushPrice": 0.02, "pushesAllowed": 20,
        "reassignPrice": 0.02, "reportEvery": 500_000, "soleOwner": False, "tryAims": 1.2, "waitsForTable": 500_000,
        "warmKeys": True, "worstTransit": 215_000, "writeClasses": [False, True], "zoneBound": [False, False],
    }  # fmt: skip
    return {
        "balancers": stewards, "me": me, "zone": 0, "zones": ["riga-north", "riga-south", "salaspils", "olaine"],
        "kinds": ["std-4c"], "classes": classes, "discovery": "pushed", "family": "control", "period": 2_000,
        "valueBy": "request", "weights": "nominal", "familyInfo": info | family,
        "goal": {"whole": 0.5, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.2},
        "limits": {"connIdle": 15_000_000, "cpuUsPerS": 823_751, "dialTimeout": 300_000, "mayProbe": True,
                   "mayTell": False, "streamsPerConn": 32},
        "loadReport": {"fields": [], "source": "off"},
        "prices": {"connection": 0.02, "crossZone": 0.005, "probe": 0.02},
        "rules": {"askWithin": 10_000_000, "cold": 17_000_000, "coldFrom": 0.2, "drainGrace": 3_000_000,
                  "fall": 3_000_000, "fallMultiple": 4.0},
    }  # fmt: skip


# ---- hosts and discovery ------------------------------------------------------------------------------------------


class Host:
    """A host that answers `GET /healthz` and requests, as long as its process runs."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.health = "in_service"
        self.born_ms = 0.0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.answered = 0

    async def start(self) -> None:
        """Start the process, at the same address each time."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End the process: its connections are reset and new ones refused."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the request of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            is_probe = head.startswith(b"GET /healthz")
            if not is_probe:
                await asyncio.sleep(WORK_SECONDS)
                self.answered += 1
            status = b"503 Busy" if is_probe and self.health == "terminating" else b"200 OK"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        self.writers.discard(writer)
        writer.close()

    def entry(self) -> dict[str, Any]:
        """Return the host's entry in the list."""
        return {
            "host": self.name, "dial": f"{LOOPBACK}:{self.port}", "site": self.zone, "class": "std-4c", "block": 0,
            "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        }  # fmt: skip


class Discovery:
    """The agent on a steward's machine, which answers at once with what it has been sent."""

    def __init__(self, record: Record, hosts: Iterable[Host], steward: str) -> None:
        self.record = record
        self.steward = steward
        self.rows = {host.name: host.entry() for host in hosts}
        self.seq = 41
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.news = asyncio.Event()
        self.told: dict[tuple[str, str], float] = {}  # first time at which a host's state was written to the steward
        self.address = ""

    async def start(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    def update(self, *hosts: Host) -> None:
        """Take over changes of hosts as one version of the list."""
        self.seq += 1
        for host in hosts:
            row = host.entry()
            self.changes.append((self.seq, row))
            self.rows[host.name] = row
            if host.health == "terminated":
                del self.rows[host.name]
        self.news.set()
        self.news = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.rows.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after the other."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                poll = re.match(rb"GET /v1/servers\?index=(\d+)&wait=(\d+) ", head)
                if poll is None:
                    await self.answer(writer, self.known())
                    continue
                after, until = int(poll[1]), time.monotonic() + int(poll[2]) / 1000.0
                while self.seq <= after and (left := until - time.monotonic()) > 0:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.news.wait(), left)
                latest = {row["host"]: row for seq, row in self.changes if seq > after}
                await self.answer(writer, {"seq": self.seq, "whole": False, "hosts": list(latest.values())})
        writer.close()

    async def answer(self, writer: asyncio.StreamWriter, body: dict[str, Any]) -> None:
        """Write one answer; its rows count as told from now on."""
        text = json.dumps(body).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        await writer.drain()
        for row in body["hosts"]:
            self.told.setdefault((row["host"], row["health"]), self.record.now())
        if body["hosts"]:
            rows = " ".join(f"{row['host']}:{row['health']}" for row in body["hosts"])
            self.record(f"discovery -> {self.steward}: seq {body['seq']} {rows}")


# ---- proxies ------------------------------------------------------------------------------------------------------


class Proxy:
    """A proxy, which follows its tables blindly: p2c among the lines that are not withdrawn."""

    def __init__(self, node: int, zone: str) -> None:
        self.node = node
        self.zone = zone
        self.tables: dict[int, dict[str, float]] = {}
        self.withdrawn: dict[str, set[str]] = {}  # by the steward that ordered it; kept across streams
        self.joined_at: dict[str, float] = {}  # by steward, while the stream is up
        self.generation = 0  # of its streams: what was on the way on an earlier one is lost
        self.in_flight: dict[str, int] = {}

    def lines(self, slice_id: int, steward: str) -> list[str]:
        """Return the hosts that it may pick for a slice that this steward has in charge."""
        withdrawn = self.withdrawn.get(steward, ())
        return [host for host in self.tables.get(slice_id, ()) if host not in withdrawn]

    def pick(self, slice_id: int, steward: str) -> str | None:
        """Return the host for the next request, if there is any."""
        hosts = self.lines(slice_id, steward)
        if not hosts:
            return None
        drawn = [random.choice(hosts), random.choice(hosts)]
        return min(drawn, key=lambda host: self.in_flight.get(host, 0))


@dataclass
class Sent:
    """One request: when, by which proxy, for which slice, to which host, and how it ended."""

    at: float
    node: int
    slice_id: int
    host: str
    outcome: str = "sent"


# ---- the relay ----------------------------------------------------------------------------------------------------


class Relay:
    """The relay's address for one steward. It holds 32 connections; `cut` makes it unreachable."""

    def __init__(self, world: World, steward: str) -> None:
        self.world = world
        self.record = world.record
        self.steward = steward
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((LOOPBACK, 0))
        self.socket.setblocking(False)
        self.address = f"{LOOPBACK}:{self.socket.getsockname()[1]}"
        self.is_cut = False
        self.fillers: list[socket.socket] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.watchers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.lost_calls = 0  # so many next calls are not carried out, and their connection breaks
        self.busy_until = 0.0  # of the channel
        self.waiting: deque[tuple[float, float]] = deque()  # lines in the channel, with the time at which they left
        self.most_waiting = 0.0
        self.messages: list[float] = []  # times of the messages to each joined proxy

    def start(self) -> None:
        """Start to listen."""
        self.socket.listen(64)
        asyncio.get_running_loop().add_reader(self.socket, self.accept)

    def accept(self) -> None:
        """Accept the connections that have come up."""
        while True:
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:
                return
            task = asyncio.get_running_loop().create_task(self.serve(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def cut(self) -> None:
        """Fall out of reach: open connections stay open and silent, new ones never come up."""
        self.record(f"relay of {self.steward}: cut off")
        self.is_cut = True
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.listen(0)
        for _ in range(2):  # a full accept queue: the kernel answers no further SYN
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.socket.getsockname())
            self.fillers.append(filler)

    def heal(self) -> None:
        """Come back: old connections are reset, new ones are taken."""
        self.record(f"relay of {self.steward}: back")
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.is_cut = False
        for writer in list(self.writers):
            writer.transport.abort()
        self.socket.listen(64)
        asyncio.get_running_loop().add_reader(self.socket, self.accept)
        self.accept()

    async def serve(self, connection: socket.socket) -> None:
        """Serve one connection: calls, or one watch."""
        connection.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=connection, limit=1 << 20)
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                if self.is_cut:
                    continue  # it never arrived
                call = json.loads(line)
                if call["method"] == "relay.watch":
                    await self.watch(writer, call["id"])
                    break
                if not await self.call(writer, call):
                    break
        self.writers.discard(writer)
        writer.close()

    async def call(self, writer: asyncio.StreamWriter, call: dict[str, Any]) -> bool:
        """Carry out one call and answer it; return False if its connection breaks instead."""
        operations = call["params"]["ops"]
        if self.lost_calls:
            self.lost_calls -= 1
            self.record(f"{self.steward} -> relay: call {call['id']} not carried out, connection broken")
            writer.transport.abort()
            return False
        taken = self.world.carry_out(self, operations)
        self.record(f"{self.steward} -> relay: call {call['id']} taken {taken} {json.dumps(operations)}")
        await asyncio.sleep(CALL_SECONDS)
        if not self.is_cut:
            writer.write(json.dumps({"jsonrpc": "2.0", "id": call["id"], "result": {"taken": taken}}).encode() + b"\n")
        return True

    def notify(self, method: str, **params: Any) -> None:
        """Send a notification to every watcher; it is lost while the relay is cut off."""
        line = json.dumps({"jsonrpc": "2.0", "method": method, "params": params}).encode() + b"\n"
        if not self.is_cut:
            for writer in self.watchers:
                if not writer.is_closing():
                    writer.write(line)

    async def watch(self, writer: asyncio.StreamWriter, call_id: int) -> None:
        """Send what stands, then notifications and a ping each second."""
        world = self.world
        lines: list[dict[str, Any]] = [{"jsonrpc": "2.0", "id": call_id, "result": True}]
        for proxy in world.proxies:
            if self.steward in proxy.joined_at:
                lines.append({"method": "attach", "params": world.attach_params(proxy, is_cold=False)})
        for slice_id, steward in world.charge.items():
            if steward == self.steward:
                lines.append({"method": "owner", "params": {"shard": slice_id, "set": True}})
                for host, weight in world.store[slice_id].items():
                    lines.append({"method": "entry", "params": {"shard": slice_id, "endpoint": host, "w": weight}})
        writer.write(b"".join(json.dumps({"jsonrpc": "2.0", **line}).encode() + b"\n" for line in lines))
        self.watchers.add(writer)
        self.record(f"relay -> {self.steward}: watch, {len(lines) - 1} lines of what stands")
        try:
            while not writer.is_closing():
                if not self.is_cut:
                    writer.write(b'{"jsonrpc":"2.0","method":"ping"}\n')
                await asyncio.sleep(1.0)
        finally:
            self.watchers.discard(writer)

    def send_message(self, operations: list[dict[str, Any]]) -> None:
        """Put one message for each joined proxy into the channel."""
        world, now = self.world, self.record.now()
        cost = len(operations) + world.family["perMessage"]
        while self.waiting and self.waiting[0][0] <= now:
            self.waiting.popleft()
        self.messages.append(now)
        loop = asyncio.get_running_loop()
        for proxy in world.proxies:
            if self.steward in proxy.joined_at:
                self.busy_until = max(self.busy_until, now) + cost / world.family["channelRate"]
                self.waiting.append((self.busy_until, cost))
                delay = self.busy_until - now + world.family["propagation"] / 1e6
                loop.call_later(delay, world.apply, self, proxy, proxy.generation, operations, now)
        self.most_waiting = max(self.most_waiting, sum(cost for _, cost in self.waiting))


# ---- collectors ---------------------------------------------------------------------------------------------------


class Collector:
    """Reports every half second what the proxies met, to one steward."""

    def __init__(self, world: World, steward: Steward) -> None:
        self.world = world
        self.steward = steward
        self.position = 0  # requests that were reported

    async def run(self) -> None:
        """Connect and report, again and again."""
        while True:
            with contextlib.suppress(OSError):
                host, port = self.steward.listen.rsplit(":", 1)
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(resp("telemetry", "locality", self.world.zones[0]))
                while not writer.is_closing():
                    await asyncio.sleep(0.5)
                    writer.write(b"".join(self.reports()))
                    await writer.drain()
            await asyncio.sleep(0.2)

    def reports(self) -> Iterable[bytes]:
        """Return the reports on the requests since the last ones, about half a second late."""
        until = self.world.record.now() - 0.5
        by_host: dict[tuple[str, str], list[Sent]] = {}
        by_slice: dict[int, list[Sent]] = {}
        while self.position < len(self.world.sent) and self.world.sent[self.position].at < until:
            sent = self.world.sent[self.position]
            self.position += 1
            if self.world.charge[sent.slice_id] == self.steward.name:
                by_slice.setdefault(sent.slice_id, []).append(sent)
                if sent.host:
                    by_host.setdefault((self.world.proxies[sent.node].zone, sent.host), []).append(sent)
        for (zone, host), group in by_host.items():
            errors = sum(sent.outcome != "ok" for sent in group)
            yield resp("upstream_stats", "locality", zone, "endpoint", host, "total", len(group), "errors", errors,
                       "rtt", 25.0 if errors < len(group) else 0, "interval", 500.0)  # fmt: skip
        for slice_id, group in by_slice.items():
            errors = sum(sent.outcome != "ok" for sent in group)
            yield resp("range_stats", "shard", slice_id, "route", "quote", "total", len(group), "errors", errors,
                       "interval", 500.0)  # fmt: skip


def resp(*words: Any) -> bytes:
    """Return an array of bulk strings."""
    strings = [str(word).encode() for word in words]
    return b"*%d\r\n" % len(strings) + b"".join(b"$%d\r\n%s\r\n" % (len(text), text) for text in strings)


# ---- the steward --------------------------------------------------------------------------------------------------


@dataclass
class Steward:
    """One real steward, started with the deploy file's `run` from the root."""

    world: World
    name: str
    folder: Path
    discovery: Discovery
    relay: Relay
    settings: dict[str, Any]
    listen: str = ""
    process: subprocess.Popen[bytes] | None = None
    exits: list[int] = field(default_factory=list)

    def start(self) -> None:
        """Start the process with a configuration of this moment."""
        self.listen = self.listen or f"{LOOPBACK}:{free_port()}"
        config = {
            "name": self.name, "listen": self.listen, "discovery": self.discovery.address,
            "seed": f"{random.getrandbits(64):016x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "store": {"address": self.relay.address}, "known": self.discovery.known(), "settings": self.settings,
        }  # fmt: skip
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        private = self.folder / f"{self.name}-tmp"
        private.mkdir(exist_ok=True)
        environment = os.environ | {
            "LB_NAME": self.name, "LB_LISTEN": self.listen, "LB_DISCOVERY": self.discovery.address,
            "LB_CONFIG": str(path), "TMPDIR": str(private),
        }  # fmt: skip
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True
        )
        log.close()
        self.world.record(f"{self.name}: started, process {self.process.pid}, listens at {self.listen}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process
        self.world.record(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    async def ended(self) -> int:
        """Wait until the process has ended; return its exit code."""
        assert self.process
        code = await asyncio.to_thread(self.process.wait)
        self.exits.append(code)
        self.world.record(f"{self.name}: ended with {code}")
        return code

    async def ready(self, seconds: float = 30.0) -> None:
        """Wait until the steward answers a sign of life. Raises TimeoutError."""
        host, port = self.listen.rsplit(":", 1)
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(resp("hb"))
                    answer = await reader.readexactly(len(resp("hb_ok")))
                    writer.close()
                    if answer == resp("hb_ok"):
                        self.world.record(f"{self.name}: ready")
                        return
                await asyncio.sleep(0.05)

    def kill(self) -> None:
        """End the process if it still runs."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_port() -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port


# ---- the world ----------------------------------------------------------------------------------------------------


class World:
    """Hosts, proxies, the store and the stewards of one case."""

    def __init__(self, folder: Path, record: Record, hosts: int, slices: int, proxies: int, **family: Any) -> None:
        self.folder = folder
        self.record = record
        self.zones: list[str] = settings(slices, proxies, 1, 0)["zones"]
        self.hosts = {
            host.name: host for host in (Host(f"s-{index:08x}", self.zones[index % 4]) for index in range(1, hosts + 1))
        }
        self.family: dict[str, Any] = settings(slices, proxies, 1, 0, **family)["familyInfo"]
        self.family_changes = family
        self.proxies = [Proxy(node, self.zones[node % 4]) for node in range(proxies)]
        names = list(self.hosts)
        self.store: dict[int, dict[str, float]] = {number: {names[number % hosts]: 1.0} for number in range(slices)}
        self.running = list(self.proxies)  # those that send requests
        self.charge: dict[int, str] = {}
        self.stewards: dict[str, Steward] = {}
        self.sent: list[Sent] = []
        self.listed = set(names)  # hosts that discovery has ever listed
        self.starved_since: dict[tuple[int, int], float] = {}
        self.longest_starved: dict[tuple[int, int], float] = {}
        self.tasks: list[asyncio.Task[Any]] = []

    async def open(self, stewards: int, requests_per_second: float) -> None:
        """Start everything; the slices are dealt to the stewards in turn."""
        asyncio.get_running_loop().set_exception_handler(self.on_callback_error)
        for host in self.hosts.values():
            await host.start()
        for index in range(stewards):
            name = f"n{index + 1}"
            discovery = Discovery(self.record, self.hosts.values(), name)
            await discovery.start()
            relay = Relay(self, name)
            relay.start()
            values = settings(len(self.store), len(self.proxies), stewards, index, **self.family_changes)
            self.stewards[name] = Steward(self, name, self.folder, discovery, relay, values)
        names = list(self.stewards)
        for slice_id in self.store:
            self.charge[slice_id] = names[slice_id % stewards]
        for proxy in self.proxies:
            proxy.tables = {slice_id: dict(table) for slice_id, table in self.store.items()}
            proxy.joined_at = dict.fromkeys(names, 0.0)
        for steward in self.stewards.values():
            steward.start()
        for steward in self.stewards.values():
            await steward.ready()
            self.tasks.append(asyncio.create_task(Collector(self, steward).run()))
        self.tasks.append(asyncio.create_task(self.send_requests(requests_per_second)))
        self.tasks.append(asyncio.create_task(self.watch_rule_one()))

    def on_callback_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Note an exception of a stand-in's callback: at the end its connections are cancelled."""
        self.record(f"stand-in: {type(context.get('exception')).__name__}")

    def close(self) -> None:
        """End every process and task."""
        for task in self.tasks:
            task.cancel()
        for steward in self.stewards.values():
            steward.kill()
            for line in (self.folder / f"{steward.name}.log").read_text(errors="replace").splitlines():
                self.record(f"log of {steward.name}: {line}")
        for host in self.hosts.values():
            host.stop()

    # The list.

    def tell(self, *hosts: Host) -> None:
        """Give a change of hosts to the agents of all stewards."""
        self.listed |= {host.name for host in hosts}
        for steward in self.stewards.values():
            steward.discovery.update(*hosts)

    def told(self, steward: str, host: str, health: str) -> float:
        """Return when this steward was told of a host's state; infinite if it was not."""
        return self.stewards[steward].discovery.told.get((host, health), float("inf"))

    # Orders.

    def carry_out(self, relay: Relay, operations: list[dict[str, Any]]) -> int:
        """Carry out a call's orders on the store, and send them to the proxies; return how many were taken."""
        taken: list[dict[str, Any]] = []
        for operation in operations:
            endpoint = operation.get("endpoint")
            if endpoint is not None and endpoint not in self.listed:
                break
            if operation.get("w", 0.0) < 0.0 or operation.get("gate", 0.0) < 0.0:
                break
            taken.append(operation)
            if operation["op"] in ("SET", "DEL") and self.charge[operation["table"]] == relay.steward:
                change_table(self.store[operation["table"]], operation)
        if taken:
            relay.send_message(taken)
        return len(taken)

    def apply(self, relay: Relay, proxy: Proxy, generation: int, operations: list[dict[str, Any]], at: float) -> None:
        """Apply a message at a proxy, unless its stream has broken since."""
        steward = relay.steward
        if generation != proxy.generation or steward not in proxy.joined_at:
            return
        for operation in operations:
            kind = operation["op"]
            if kind in ("SET", "DEL") and self.charge[operation["table"]] == steward:
                change_table(proxy.tables[operation["table"]], operation)
            elif kind in ("OUT", "IN"):
                withdrawn = proxy.withdrawn.setdefault(steward, set())
                (withdrawn.add if kind == "OUT" else withdrawn.discard)(operation["endpoint"])
            elif kind == "SYNC":
                latency = (self.record.now() - at) * 1000.0
                relay.notify("done", node=proxy.node, nonce=operation["stamp"], latency=latency)

    # Streams and slices.

    def attach_params(self, proxy: Proxy, is_cold: bool) -> dict[str, Any]:
        """Return the fields of the notification that a proxy has joined."""
        return {"node": proxy.node, "locality": proxy.zone, "w": 2.0, "cold": is_cold}

    def break_streams(self, proxies: Iterable[Proxy]) -> None:
        """Break the streams of proxies to all stewards; they keep what they hold."""
        for proxy in proxies:
            proxy.generation += 1
            for steward in proxy.joined_at:
                self.stewards[steward].relay.notify("detach", node=proxy.node)
            proxy.joined_at = {}
            self.record(f"proxy {proxy.node}: stream broken")

    def join(self, proxies: Iterable[Proxy], stewards: Iterable[str] | None = None) -> None:
        """Join proxies again: they read the store, and keep the withdrawals of earlier streams."""
        names = list(stewards or self.stewards)
        for proxy in proxies:
            for name in names:
                proxy.joined_at[name] = self.record.now()
                self.stewards[name].relay.notify("attach", **self.attach_params(proxy, is_cold=False))
            withdrawn = {name: sorted(hosts) for name, hosts in proxy.withdrawn.items() if hosts}
            self.record(f"proxy {proxy.node}: joined {','.join(names)}, withdrawals from earlier streams: {withdrawn}")
            asyncio.get_running_loop().call_later(READ_STORE_SECONDS, self.read_store, proxy, names)

    def read_store(self, proxy: Proxy, stewards: list[str]) -> None:
        """Let a proxy read the tables of the slices that these stewards have in charge."""
        for slice_id, steward in self.charge.items():
            if steward in stewards:
                proxy.tables[slice_id] = dict(self.store[slice_id])

    def give(self, slice_id: int, steward: str) -> None:
        """Give a slice to a steward; the proxies read it afresh."""
        self.charge[slice_id] = steward
        relay = self.stewards[steward].relay
        relay.notify("owner", shard=slice_id, set=True)
        for host, weight in self.store[slice_id].items():
            relay.notify("entry", shard=slice_id, endpoint=host, w=weight)
        self.record(f"relay -> {steward}: slice {slice_id} given, table {self.store[slice_id]}")
        for proxy in self.proxies:
            if steward in proxy.joined_at:
                proxy.tables[slice_id] = dict(self.store[slice_id])

    # Requests and what is judged.

    async def send_requests(self, per_second: float) -> None:
        """Send requests of random proxies for random slices, at a constant rate."""
        due = time.monotonic()
        slices = list(self.store)
        while True:
            due += 1.0 / per_second
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            proxy, slice_id = random.choice(self.running), random.choice(slices)
            host = proxy.pick(slice_id, self.charge[slice_id])
            sent = Sent(self.record.now(), proxy.node, slice_id, host or "")
            self.sent.append(sent)
            if host is None:
                sent.outcome = "no host"
                continue
            task = asyncio.create_task(self.request(proxy, sent))
            self.tasks.append(task)
            task.add_done_callback(self.tasks.remove)

    async def request(self, proxy: Proxy, sent: Sent) -> None:
        """Send one request to its host."""
        proxy.in_flight[sent.host] = proxy.in_flight.get(sent.host, 0) + 1
        try:
            async with asyncio.timeout(3.0):
                async with asyncio.timeout(CONNECT_SECONDS):
                    reader, writer = await asyncio.open_connection(LOOPBACK, self.hosts[sent.host].port)
                writer.write(b"POST /work HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                answer = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                sent.outcome = "ok" if b" 200 " in answer else "error"
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            sent.outcome = f"failed: {type(error).__name__}"
        finally:
            proxy.in_flight[sent.host] -= 1

    async def watch_rule_one(self) -> None:
        """Note for how long each joined proxy has no host to pick for a slice."""
        while True:
            now = self.record.now()
            for proxy in self.proxies:
                for slice_id, steward in self.charge.items():
                    place = (proxy.node, slice_id)
                    if steward in proxy.joined_at and not proxy.lines(slice_id, steward):
                        since = max(self.starved_since.setdefault(place, now), proxy.joined_at[steward])
                        self.longest_starved[place] = max(self.longest_starved.get(place, 0.0), now - since)
                    else:
                        self.starved_since.pop(place, None)
            await asyncio.sleep(0.25)

    def tables_with(self, host: str) -> list[int]:
        """Return the slices whose stored table has a line of this host."""
        return [slice_id for slice_id, table in self.store.items() if host in table]


def change_table(table: dict[str, float], operation: dict[str, Any]) -> None:
    """Apply one order to a table."""
    if operation["op"] == "DEL":
        table.clear()
    elif operation["w"] > 0:
        table[operation["endpoint"]] = operation["w"]
    else:
        table.pop(operation["endpoint"], None)


def has_trouble() -> bool:
    """Return whether the case plays its disruption (`TROUBLE=0`: it does not)."""
    return os.environ.get("TROUBLE", "1") != "0"


async def play_in_time(play: Any, record: Record, folder: Path) -> bool:
    """Play a case within its time; SIGTERM ends it early, with all of its processes."""
    task = asyncio.current_task()
    assert task
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(CASE_SECONDS):
        held: bool = await play(record, folder)
        return held


def run_case(path: Path, play: Any) -> None:
    """Run a case and write its record to `path`. Exits with 0, 1 or 2.

    `play(record, temporary folder)` returns whether the rule held.
    """
    record = Record(path)
    random.seed(1)
    record(f"trouble: {has_trouble()}")
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(play_in_time(play, record, Path(temporary)))
            code = 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - whatever went wrong, it could not run
            record(f"the case could not run: {type(error).__name__}: {error}")
            print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
    record(f"exit {code}: the rule {('held', 'was broken', 'was not judged')[code]}")
    print(f"the rule {('held', 'was broken', 'was not judged')[code]}")
    sys.exit(code)
