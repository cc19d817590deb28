"""Ports and processes of a run: what a lab starts, asks and ends."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import socket
from pathlib import Path

_ports = itertools.count()


def free_port() -> int:
    """From a block of this process's own, below the range from which the kernel draws: labs that run side by side got
    each other's ports when they let go of one that the kernel had chosen, and bound it later."""
    for _ in range(1_000):
        port = 10_000 + os.getpid() % 700 * 30 + next(_ports) % 30
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


async def get(port: int, path: str) -> tuple[int, bytes]:
    """One GET at the steward's door. Raises OSError if it is not there."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        return int(head.split()[1]), await reader.read()
    finally:
        writer.close()


class Successor:
    """A steward's process that is no child of this one."""

    def __init__(self, pid: int) -> None:
        self.pid = pid

    @property
    def returncode(self) -> int | None:
        try:
            state = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            return 0
        return 0 if state in "ZX" else None

    def send_signal(self, number: int) -> None:
        if self.returncode is None:
            os.kill(self.pid, number)

    def terminate(self) -> None:
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)

    async def wait(self) -> int:
        while self.returncode is None:
            await asyncio.sleep(0.01)
        return 0
