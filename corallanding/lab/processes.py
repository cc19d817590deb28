"""Free ports, HTTP requests to controllers, and controller processes that are not children of the lab."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import socket
from pathlib import Path

_port_offsets = itertools.count()


def free_port() -> int:
    """Return a free loopback port of a block reserved for this process, below the range of ephemeral ports.

    Ports chosen by the kernel collided: a lab released such a port and bound it again later, and in between another
    lab running at the same time could get it. Raises RuntimeError if no port is free.
    """
    for _ in range(1_000):
        port = 10_000 + os.getpid() % 700 * 30 + next(_port_offsets) % 30
        with socket.socket() as candidate:
            try:
                candidate.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


async def http_get(port: int, path: str) -> tuple[int, bytes]:
    """Send one GET to a controller's HTTP port; return status and body. Raises OSError if it cannot be reached."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        return int(head.split()[1]), await reader.read()
    finally:
        writer.close()


class AdoptedProcess:
    """A controller process that is not a child of the lab, as after an upgrade, with the methods of `Process`."""

    def __init__(self, pid: int) -> None:
        self.pid = pid

    @property
    def returncode(self) -> int | None:
        """Return None while the process runs, else 0, as the exit code of another's child is unknown."""
        try:
            state = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            return 0
        return 0 if state in "ZX" else None

    def send_signal(self, number: int) -> None:
        """Send a signal unless the process has exited."""
        if self.returncode is None:
            os.kill(self.pid, number)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.send_signal(signal.SIGKILL)

    async def wait(self) -> int:
        """Wait until the process has exited."""
        while self.returncode is None:
            await asyncio.sleep(0.01)
        return 0
