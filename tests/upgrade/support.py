"""Test environment for handovers: a controller process, proxies connected to it, and a host list server."""

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
# Time limit of each phase of a handover, with and without a process that is killed or stopped at a test point.
TIMEOUT_HALTED_MS = 3_000
TIMEOUT_MS = 20_000


class ProxyClient:
    """A proxy that applies and acks table changes, sends heartbeats and reconnects.

    It counts the connections on which it joined, and keeps the message numbers received since the last join.
    """

    def __init__(self, number: int, port: int) -> None:
        self.number, self.port, self.tables = number, port, dict[int, set[int]]()
        self.join_count = self.orders_received = 0
        self.message_numbers: list[int] = []
        self.start_numbers: list[int] = []  # of the welcome frames received
        self.is_closed = False
        self.acks_after_heartbeat: bytes | None = None  # None unless a heartbeat is half written
        self.error = ""
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        while not self.is_closed:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            self.acks_after_heartbeat = None
            heartbeats = asyncio.create_task(self.send_heartbeats(writer))
            try:
                writer.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, self.number, f"s{self.number}")))
                frame_reader = frames.FrameReader(frames.proxy_decoder, 1 << 24)
                while data := await reader.read(1 << 16):
                    for frame in frame_reader.feed(data):
                        self.on_frame(frame, writer)
            except OSError:
                pass
            except AssertionError as error:
                self.error = str(error)
                raise
            heartbeats.cancel()
            writer.close()
            await asyncio.sleep(0.02)

    async def send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(0.1)
            # The frame is sent in two halves: the first may be in the read buffer of the old process at the handover.
            data = frames.encode(frames.Heartbeat(1.0))
            writer.write(data[:5])
            self.acks_after_heartbeat = b""
            await asyncio.sleep(0.01)
            writer.write(data[5:] + self.acks_after_heartbeat)
            self.acks_after_heartbeat = None

    def on_frame(self, frame: Any, writer: asyncio.StreamWriter) -> None:
        """Handle a frame of the controller."""
        if isinstance(frame, frames.Welcome):
            self.start_numbers.append(frame.start_number)
        elif isinstance(frame, frames.Tables):
            self.join_count += not frame.only_slices
            self.tables = {table: {host for host, _ in rows} for table, rows in frame.tables}
            self.message_numbers = [frame.seq]
        elif isinstance(frame, frames.Orders):
            self.on_orders(frame, writer)

    def on_orders(self, orders: frames.Orders, writer: asyncio.StreamWriter) -> None:
        """Apply table changes, and ack their version."""
        self.orders_received += 1
        assert orders.seq >= self.message_numbers[-1], "the message number is lower than the previous one"
        self.message_numbers.append(orders.seq)
        for table, host, weight in orders.lines:
            if weight > 0:
                self.tables.setdefault(table, set()).add(host)
            else:
                self.tables[table].discard(host)
        if orders.version >= 0:
            ack = frames.encode(frames.Ack(orders.version))
            if self.acks_after_heartbeat is None:
                writer.write(ack)
            else:
                self.acks_after_heartbeat += ack  # sent after the heartbeat that is half written

    def sorted_tables(self) -> list[tuple[int, list[int]]]:
        return [(table, sorted(hosts)) for table, hosts in sorted(self.tables.items())]

    def has_host(self, host: int) -> bool:
        return any(host in hosts for hosts in self.tables.values())


class ControllerEnvironment:
    """A host list server, a controller process and proxies."""

    def __init__(
        self,
        folder: Path,
        halt: str = "",
        extra_config: str = "",
        peers: tuple[int, int] = (0, 0),
        proxy_count: int = 2,
    ) -> None:
        """Create the environment.

        halt: "kill:POINT" or "stop:POINT", the test point at which a process is killed or stopped. peers: UDP ports of
        this controller and of controller 2, which the test simulates; no peers if the first is 0.
        """
        self.folder = folder
        self.halt = halt
        self.extra_config = extra_config
        self.peers = peers
        self.proxy_count = proxy_count

    async def __aenter__(self) -> ControllerEnvironment:
        try:
            return await self.start()
        except BaseException:
            if hasattr(self, "process"):
                await self.__aexit__()
            raise

    async def start(self) -> ControllerEnvironment:
        self.host_list = Roster(Trace())
        await self.host_list.start()
        for host in range(HOSTS):
            self.host_list.rows[host] = {
                "host": host,
                "state": "up",
                "address": f"127.0.0.1:{22000 + host}",
                "started": 0.0,
            }
        self.host_list.changed()
        self.path = self.folder / "s.hcl"
        self.log = self.folder / "log"
        text = self.configuration()
        self.path.write_text(text)
        self.process = self.start_process()
        await until(lambda: self.log_entries("ready"), 20)
        listen = self.log_entries("ready")[0]["listen"]
        # Replace port 0 by the ports that the kernel chose, so that the successor uses the same ones.
        for _, port in listen:
            text = text.replace('listen = "127.0.0.1:0"', f'listen = "127.0.0.1:{port}"', 1)
        self.path.write_text(text)
        self.proxies = [ProxyClient(number, listen[0][1]) for number in range(1, self.proxy_count + 1)]
        await until(lambda: all(len(proxy.tables) == 4 and all(proxy.tables.values()) for proxy in self.proxies), 10)
        return self

    def configuration(self) -> str:
        """Return the text of the controller's configuration file."""
        text = CONFIG % (self.folder / "s.db")
        text = text.replace('address = "127.0.0.1:1"', f'address = "127.0.0.1:{self.host_list.port}"')
        timeout_ms = TIMEOUT_HALTED_MS if self.halt else TIMEOUT_MS
        control = f'  control = "{self.folder}/c"\n  upgrade_within_ms = {timeout_ms}\n'
        if self.peers[0]:
            control += f'  stewards = 2\n  peer_listen = "127.0.0.1:{self.peers[0]}"\n'
            control += f'  peers = {{ "2" = "127.0.0.1:{self.peers[1]}" }}\n'
        text = text.replace("steward {\n", "steward {\n" + control).replace("silence_ms = 600", "silence_ms = 3000")
        text = text.replace('level = "error"', 'level = "info"\n  format = "json"')
        text += "probe {\n  allowed = false\n}\n" + self.extra_config
        return text.replace("most = 8", f"most = {max(8, self.proxy_count + 1)}")

    def start_process(self) -> subprocess.Popen[bytes]:
        """Start the controller process, in a process group of its own."""
        command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(self.path)]
        command += ["--record", str(self.folder / "s.rec")]
        env = {**os.environ, "CORALLANDING_HALT": self.halt}
        with open(self.log, "wb") as log_file:
            return subprocess.Popen(command, stdout=log_file, stderr=log_file, start_new_session=True, env=env)

    async def __aexit__(self, *exception_info: object) -> None:
        for proxy in getattr(self, "proxies", []):
            proxy.is_closed = True
            proxy.task.cancel()
        with suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()

    def log_entries(self, event: str) -> list[dict[str, Any]]:
        """Return the log entries of an event."""
        lines = self.log.read_text().splitlines() if self.log.exists() else []
        return [entry for line in lines if line.startswith("{") and (entry := json.loads(line))["event"] == event]

    def count_running_processes(self) -> int:
        """Return the number of controller processes that are neither stopped nor exited."""
        count = 0
        for name in os.listdir("/proc"):
            if name.isdigit():
                try:
                    state, _, group = Path(f"/proc/{name}/stat").read_text().rpartition(")")[2].split()[:3]
                except OSError:
                    continue
                count += int(group) == self.process.pid and state not in "ZTX"
        return count

    async def get_page(self, path: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.log_entries("ready")[-1]["listen"][1][1])
        writer.write(f"GET {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
        return text

    async def is_healthy(self) -> bool:
        return " 200 " in (await self.get_page("/healthz")).splitlines()[0]

    async def upgrade(self, *command: str) -> str:
        """Request a handover, to a process started by `command` if given; return the answer."""
        try:
            reader, writer = await asyncio.open_unix_connection(f"{self.folder}/c")
            writer.write("\0".join(["upgrade", *command]).encode() + b"\n")
            answer = await asyncio.wait_for(reader.readline(), 8.0 if self.halt else 25.0)
            writer.close()
            return answer.decode().strip()
        except (OSError, TimeoutError) as error:
            return f"no answer: {error}"

    async def check_drain_reaches_proxies(self, host: int, timeout_s: float = 8.0) -> None:
        """Drain a host and check that every proxy removes it, so that some process is the active controller."""
        self.host_list.put(host, state="draining")
        try:
            await until(lambda: not any(proxy.has_host(host) for proxy in self.proxies), timeout_s)
        except TimeoutError:
            raise AssertionError(
                f"{self.halt}: {[(proxy.error, proxy.tables, proxy.message_numbers) for proxy in self.proxies]}"
            ) from None


def run_scenario(scenario: Any) -> None:
    """Run a coroutine in a new event loop, with a time limit."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(100):
            await scenario

    asyncio.run(run_with_timeout())
