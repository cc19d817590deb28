"""Three controllers as programs with quorum records, and a proxy that joins the first of them."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path

from platform_standins import free_address
from sockets import QUOTE_FIELDS, ROSTER_AND_SLICES, RawProxyConnection

from corallanding.controller.action_journal import JournalEvent
from corallanding.wire import frames
from tests.controller.program import ControllerProgram

PROXY = 5
RELEASES_PER_SECOND = 200
LONGEST_WAIT_MS = 40_000
FEATURES = 3  # workflow runs and queued jobs
CONFIG = (
    """
zones = ["a"]
steward {
  listen = "%(listen)s"
  number = %(number)d
  stewards = 3
  peer_listen = "%(peer_listen)s"
  peers = %(peers)s
}
store {
  path = "%(folder)s/s.db"
}
"""
    + ROSTER_AND_SLICES
    + 'operation "quote" {\n'
    + QUOTE_FIELDS
    + """\
  waits {
    most_ms = %(longest_wait_ms)d
  }
}
forwarders {
  count = 2
  ack_within_ms = 60000
  silence_ms = 60000
  again_ms = 1
  again_most_ms = 1
}
budget "releases" {
  whole = %(releases)d
  per = "fleet"
  unit = "per_s"
}
task_group "jobs" {
  count = 2
}
waiting {
  witness = "%(folder)s/waits.jsonl"
}
records {
  path = "%(folder)s/records.db"
  witness = "%(folder)s/records.jsonl"
}
"""
)


PINNED_RUNS = """
task "release" {}
task_group "runs" {
  count = 2
}
release "one" {
  number = 1
  versions = {
    quote = 1
  }
}
pins {
  current = 1
}
"""


class Fleet:
    """Three controllers: the first one runs alone until `start_others`."""

    def __init__(
        self, folder: Path, stack: contextlib.AsyncExitStack, text: str, longest_wait_ms: int, releases_per_second: int
    ) -> None:
        self.text = text
        self.longest_wait_ms = longest_wait_ms
        self.releases_per_second = releases_per_second
        self.stack = stack
        self.folders = [folder / str(number) for number in range(3)]
        self.peer_addresses = [free_address() for _ in range(3)]
        self.address = free_address()

    def config(self, number: int, listen: str) -> str:
        others = {str(peer): self.peer_addresses[peer] for peer in range(3) if peer != number}
        peers = "{ " + ", ".join(f'"{peer}" = "{address}"' for peer, address in others.items()) + " }"
        return self.text % {
            "listen": listen,
            "number": number,
            "peer_listen": self.peer_addresses[number],
            "peers": peers,
            "folder": self.folders[number],
            "releases": self.releases_per_second,
            "longest_wait_ms": self.longest_wait_ms,
        }

    async def start(self, number: int, listen: str) -> None:
        self.folders[number].mkdir()
        program = ControllerProgram(self.folders[number], self.config(number, listen))
        await program.start()
        self.stack.enter_context(program)

    async def start_others(self) -> None:
        """Start the other controllers: with empty files they need each other to be a majority."""
        await asyncio.gather(self.start(1, free_address()), self.start(2, free_address()))

    async def connect(self, session: str) -> RawProxyConnection:
        """Return the connection of a process of the proxy, joined to the first controller."""
        host, _, port = self.address.rpartition(":")
        peer = RawProxyConnection(*await asyncio.open_connection(host, int(port)))
        self.stack.callback(peer.writer.close)
        peer.send_hello(PROXY, session, features=FEATURES)
        await peer.wait_for_frame(frames.Tables)
        return peer

    def released(self) -> list[int]:
        """Return the tickets of jobs that the first controller released, from its journal."""
        path = self.folders[0] / "waits.jsonl"
        rows = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
        return [row[4] for row in rows if row[0] == JournalEvent.JOB_RELEASED]


@contextlib.asynccontextmanager
async def controllers(
    folder: Path,
    text: str = CONFIG + PINNED_RUNS,
    longest_wait_ms: int = LONGEST_WAIT_MS,
    releases_per_second: int = RELEASES_PER_SECOND,
) -> AsyncIterator[Fleet]:
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(folder, stack, text, longest_wait_ms, releases_per_second)
        await fleet.start(0, fleet.address)
        yield fleet
