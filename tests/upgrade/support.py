"""A controller's process with proxies and a host list around it, to be handed over."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from sockets import CONFIG, until

from corallanding.lab.roster import Roster
from corallanding.lab.trace import Trace
from corallanding.wire import frames

HOSTS = 6


TIMEOUT_HALTED_MS = 3_000
TIMEOUT_MS = 20_000


class ProxyClient:
    """Dials, keeps its tables, acks, beats, dials again. Counts its links and the numbers of what came."""

    def __init__(self, number: int, port: int) -> None:
        self.number, self.port, self.tables = number, port, dict[int, set[int]]()
        self.links = self.orders = 0
        self.seqs: list[int] = []
        self.start_numbers: list[int] = []  # as welcomes said
        self.is_closed = False
        self.held_back: bytes | None = None
        self.error = ""
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        while not self.is_closed:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            self.held_back = None
            beats = asyncio.create_task(self.beat(writer))
            try:
                writer.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, self.number, f"s{self.number}")))
                frames_in = frames.FrameReader(frames.proxy_decoder, 1 << 24)
                while data := await reader.read(1 << 16):
                    for f in frames_in.feed(data):
                        self.on_frame(f, writer)
            except OSError:
                pass
            except AssertionError as fault:
                self.error = str(fault)
                raise
            beats.cancel()
            writer.close()
            await asyncio.sleep(0.02)

    async def beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(0.1)
            # A frame in two halves: one may stand in the old process's buffer when it hands over.
            data = frames.encode(frames.Heartbeat(1.0))
            writer.write(data[:5])
            self.held_back = b""
            await asyncio.sleep(0.01)
            writer.write(data[5:] + self.held_back)
            self.held_back = None

    def on_frame(self, frame: Any, writer: asyncio.StreamWriter) -> None:
        """Take in a frame of the controller."""
        if isinstance(frame, frames.Welcome):
            self.start_numbers.append(frame.start_number)
        elif isinstance(frame, frames.Tables):
            self.links += not frame.only_slices
            self.tables = {table: {host for host, _ in rows} for table, rows in frame.tables}
            self.seqs = [frame.seq]
        elif isinstance(frame, frames.Orders):
            self.on_orders(frame, writer)

    def on_orders(self, orders: frames.Orders, writer: asyncio.StreamWriter) -> None:
        """Apply changes, and acknowledge their version."""
        self.orders += 1
        assert orders.seq >= self.seqs[-1], "a message with an older number"
        self.seqs.append(orders.seq)
        for table, host, weight in orders.lines:
            if weight > 0:
                self.tables.setdefault(table, set()).add(host)
            else:
                self.tables[table].discard(host)
        if orders.version >= 0:
            ack = frames.encode(frames.Ack(orders.version))
            if self.held_back is None:
                writer.write(ack)
            else:
                self.held_back += ack  # not into the middle of a heartbeat

    def sorted_tables(self) -> list[tuple[int, list[int]]]:
        return [(t, sorted(row)) for t, row in sorted(self.tables.items())]

    def names(self, host: int) -> bool:
        return any(host in row for row in self.tables.values())


class Scene:
    """A roster, a steward's process, two forwarders."""

    def __init__(
        self, folder: Path, halt: str = "", more: str = "", peers: tuple[int, int] = (0, 0), count: int = 2
    ) -> None:
        """peers: UDP ports of this steward's own and of number 2, which the test plays. count: of forwarders."""
        self.folder, self.halt, self.more, self.peers, self.count = folder, halt, more, peers, count

    async def __aenter__(self) -> Scene:
        try:
            return await self.begin()
        except BaseException:
            if hasattr(self, "process"):
                await self.__aexit__()
            raise

    async def begin(self) -> Scene:
        self.roster = Roster(Trace())
        await self.roster.start()
        for h in range(HOSTS):
            self.roster.rows[h] = {"host": h, "state": "up", "address": f"127.0.0.1:{22000 + h}", "started": 0.0}
        self.roster.changed()
        self.path = self.folder / "s.hcl"
        self.log = self.folder / "log"
        text = self.configuration()
        self.path.write_text(text)
        self.process = self.spawn()
        await until(lambda: self.entries("ready"), 20)
        listen = self.entries("ready")[0]["listen"]
        # The ports were chosen by the kernel; its successor is to find the same ones.
        for _, port in listen:
            text = text.replace('listen = "127.0.0.1:0"', f'listen = "127.0.0.1:{port}"', 1)
        self.path.write_text(text)
        self.forwarders = [ProxyClient(n, listen[0][1]) for n in range(1, self.count + 1)]
        await until(lambda: all(len(f.tables) == 4 and all(f.tables.values()) for f in self.forwarders), 10)
        return self

    def configuration(self) -> str:
        """The text of the controller's configuration file."""
        text = CONFIG % (self.folder / "s.db")
        text = text.replace('address = "127.0.0.1:1"', f'address = "127.0.0.1:{self.roster.port}"')
        timeout_ms = TIMEOUT_HALTED_MS if self.halt else TIMEOUT_MS
        control = f'  control = "{self.folder}/c"\n  upgrade_within_ms = {timeout_ms}\n'
        if self.peers[0]:
            control += f'  stewards = 2\n  peer_listen = "127.0.0.1:{self.peers[0]}"\n'
            control += f'  peers = {{ "2" = "127.0.0.1:{self.peers[1]}" }}\n'
        text = text.replace("steward {\n", "steward {\n" + control).replace("silence_ms = 600", "silence_ms = 3000")
        text = text.replace('level = "error"', 'level = "info"\n  format = "json"')
        text += "probe {\n  allowed = false\n}\n" + self.more
        return text.replace("most = 8", f"most = {max(8, self.count + 1)}")

    def spawn(self) -> subprocess.Popen[bytes]:
        """Start the controller's process, in a process group of its own."""
        command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(self.path)]
        command += ["--record", str(self.folder / "s.rec")]
        env = {**os.environ, "CORALLANDING_HALT": self.halt}
        with open(self.log, "wb") as out:
            return subprocess.Popen(command, stdout=out, stderr=out, start_new_session=True, env=env)

    async def __aexit__(self, *why: object) -> None:
        for f in getattr(self, "forwarders", []):
            f.is_closed = True
            f.task.cancel()
        with suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()

    def entries(self, event: str) -> list[dict[str, Any]]:
        raw = self.log.read_text().splitlines() if self.log.exists() else []
        return [w for x in raw if x.startswith("{") and (w := json.loads(x))["event"] == event]

    def running(self) -> int:
        """Processes of this scene that live and do not stand still."""
        count = 0
        for name in os.listdir("/proc"):
            if name.isdigit():
                try:
                    state, _, group = Path(f"/proc/{name}/stat").read_text().rpartition(")")[2].split()[:3]
                except OSError:
                    continue
                count += int(group) == self.process.pid and state not in "ZTX"
        return count

    async def page(self, path: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.entries("ready")[-1]["listen"][1][1])
        writer.write(f"GET {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
        return text

    async def is_healthy(self) -> bool:
        return " 200 " in (await self.page("/healthz")).splitlines()[0]

    async def upgrade(self, *words: str) -> str:
        try:
            reader, writer = await asyncio.open_unix_connection(f"{self.folder}/c")
            writer.write("\0".join(["upgrade", *words]).encode() + b"\n")
            answer = await asyncio.wait_for(reader.readline(), 8.0 if self.halt else 25.0)
            writer.close()
            return answer.decode().strip()
        except (OSError, TimeoutError) as fault:
            return f"nothing: {fault}"

    async def drains(self, host: int, within: float = 8.0) -> None:
        """A drain told now reaches every forwarder: somebody speaks."""
        self.roster.put(host, state="draining")
        try:
            await until(lambda: not any(f.names(host) for f in self.forwarders), within)
        except TimeoutError:
            raise AssertionError(f"{self.halt}: {[(f.error, f.tables, f.seqs) for f in self.forwarders]}") from None


def play(work: Any) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(100):
            await work

    asyncio.run(bounded())
