"""Work of a proxy that has left is dropped before it is sent on, with controllers as programs.

One of three controllers runs alone at first: without a majority it does not know the ages of proxy processes, and
delays their jobs and queries on runs. What is delayed must not outlive the connection of its proxy.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from platform_standins import free_address
from sockets import RawProxyConnection

from corallanding.controller.action_journal import JournalEvent
from corallanding.wire import frames
from tests.controller.program import ControllerProgram

pytestmark = pytest.mark.processes

JOB_COUNT = 40
TICKETS_OF_A_PROCESS = 1_000
PROXY = 5
RELEASES_PER_SECOND = 200
LONGEST_WAIT_MS = 40_000
SETTLE_SECONDS = 1.0  # several ticks and announcements of a controller with a majority
MAJORITY_TIMEOUT_SECONDS = 20.0
RUN_ANSWER_SECONDS = 2.5  # a query without a majority is answered after 1.5 s
MOMENT_SECONDS = 0.1
FEATURES = 3  # workflow runs and queued jobs

CONFIG = """
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
roster {
  address = "127.0.0.1:1"
}
slices {
  count = 4
}
operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
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


async def leave(peer: RawProxyConnection) -> None:
    """Close the connection, and give the controller time to notice."""
    await peer.writer.drain()
    peer.writer.close()
    await asyncio.sleep(0.2)


def submissions(tickets: range) -> list[frames.Frame]:
    """Return jobs with these tickets. Tickets that are equal but for the process that uses them have one key."""
    return [frames.JobSubmission(ticket, 0, 0.0, f"key-{ticket % TICKETS_OF_A_PROCESS}") for ticket in tickets]


def released_tickets(peer: RawProxyConnection) -> list[int]:
    return [frame.ticket for frame in peer.received if isinstance(frame, frames.JobRelease)]


async def read_for_a_moment(peer: RawProxyConnection) -> None:
    """Read what arrives, and send a heartbeat."""
    with contextlib.suppress(TimeoutError):
        await peer.wait_for_frame(type(None), timeout_seconds=MOMENT_SECONDS)
    peer.send(frames.Heartbeat())


async def heartbeat_until_known(peer: RawProxyConnection) -> None:
    """Send jobs with new keys until one is released, which shows that there is a majority."""
    ticket = TICKETS_OF_A_PROCESS - 1
    peer.send(frames.JobSubmission(ticket, 0, 1.0, "first-key"))
    await heartbeat_until_released(peer, 1)
    peer.received.clear()


async def heartbeat_until_released(peer: RawProxyConnection, count: int) -> None:
    """Send heartbeats until that many jobs were released, and a while longer."""

    async with asyncio.timeout(MAJORITY_TIMEOUT_SECONDS):
        while len(released_tickets(peer)) < count:
            await read_for_a_moment(peer)
    for _ in range(round(SETTLE_SECONDS / MOMENT_SECONDS)):
        await read_for_a_moment(peer)


def test_jobs_when_their_proxy_has_left_before_they_were_queued_then_they_are_not_released(tmp_path: Path) -> None:
    """Guards against jobs that are delayed until their process is known, and are released after it has left."""

    async def scenario() -> None:
        async with controllers(tmp_path) as fleet:
            gone = await fleet.connect("first")
            gone.send(*submissions(range(JOB_COUNT)))
            await leave(gone)
            back = await fleet.connect("first")
            back.send(*submissions(range(JOB_COUNT, JOB_COUNT + 3)))
            await fleet.start_others()
            await heartbeat_until_released(back, 3)
            assert sorted(released_tickets(back)) == list(range(JOB_COUNT, JOB_COUNT + 3))
            assert len(fleet.released()) == 3

    asyncio.run(scenario())


def test_jobs_when_withdrawn_while_delayed_then_they_are_not_released(tmp_path: Path) -> None:
    """Guards against a withdrawal that finds no queued job, while the job is still delayed."""

    async def scenario() -> None:
        async with controllers(tmp_path) as fleet:
            peer = await fleet.connect("first")
            peer.send(*submissions(range(JOB_COUNT)))
            peer.send(*(frames.JobWithdrawal(ticket, is_abandoned=True) for ticket in range(2, JOB_COUNT)))
            await fleet.start_others()
            await heartbeat_until_released(peer, 2)
            assert sorted(released_tickets(peer)) == [0, 1]

    asyncio.run(scenario())


def test_runs_when_their_proxy_has_left_then_its_next_process_gets_no_answers_to_them(tmp_path: Path) -> None:
    """Guards against answers by the number of a proxy, which another process may have by then."""

    async def scenario() -> None:
        async with controllers(tmp_path) as fleet:
            gone = await fleet.connect("first")
            gone.send(*(frames.RunQuery(number, f"run-{number}") for number in range(JOB_COUNT)))
            await gone.writer.drain()
            gone.writer.close()
            back = await fleet.connect("second")
            back.send(frames.RunQuery(JOB_COUNT, "its-own"))
            for _ in range(round(RUN_ANSWER_SECONDS / MOMENT_SECONDS)):
                await read_for_a_moment(back)
            assert [frame.query for frame in back.received if isinstance(frame, frames.RunVersions)] == [JOB_COUNT]

    asyncio.run(scenario())


def test_jobs_when_their_connection_is_reset_then_what_was_not_read_is_dropped(tmp_path: Path) -> None:
    """Guards against frames that are handled, and jobs that are released, after their connection has ended."""

    async def scenario() -> None:
        async with controllers(tmp_path) as fleet:
            await fleet.start_others()
            peer = await fleet.connect("first")
            peer.send(*submissions(range(JOB_COUNT)))
            await heartbeat_until_released(peer, JOB_COUNT)
            peer.send(*submissions(range(JOB_COUNT, 3 * JOB_COUNT)))
            await peer.writer.drain()
            peer.writer.transport.abort()
            await asyncio.sleep(SETTLE_SECONDS)
            assert len(fleet.released()) == JOB_COUNT

    asyncio.run(scenario())


def test_key_when_its_client_comes_again_after_it_left_then_its_job_is_released_once(tmp_path: Path) -> None:
    """Guards against a key that is forgotten with its client, also of one that left with all answers unread."""

    async def scenario() -> None:
        async with controllers(tmp_path) as fleet:
            await fleet.start_others()
            peer = await fleet.connect("first")
            peer.send(*submissions(range(JOB_COUNT)))
            await heartbeat_until_released(peer, JOB_COUNT)
            await leave(peer)
            for process in range(1, 6):
                peer = await fleet.connect(f"process-{process}")
                first_ticket = process * TICKETS_OF_A_PROCESS
                peer.send(*submissions(range(first_ticket, first_ticket + 2 * JOB_COUNT)))
                await peer.writer.drain()
                peer.writer.close()
            peer = await fleet.connect("last")
            peer.send(*submissions(range(6 * TICKETS_OF_A_PROCESS, 6 * TICKETS_OF_A_PROCESS + 2 * JOB_COUNT)))
            await heartbeat_until_released(peer, 2 * JOB_COUNT)
            released = [ticket % TICKETS_OF_A_PROCESS for ticket in fleet.released()]
            assert len(released) == len(set(released))
            assert set(range(JOB_COUNT)) <= set(released)

    asyncio.run(scenario())


def test_key_when_its_job_waited_for_long_then_it_is_still_known_after_its_release(tmp_path: Path) -> None:
    """Guards against a key that is known for some time since its job began to wait, not since its release.

    The last of the jobs waits for nearly as long as a key was known. Its client leaves, comes again half of the longest
    wait after the release, and must be told that the job was released.
    """

    async def scenario() -> None:
        longest_wait_ms, releases_per_second, job_count = 2_000, 4, 14
        async with controllers(tmp_path, CONFIG, longest_wait_ms, releases_per_second) as fleet:
            await fleet.start_others()
            peer = await fleet.connect("first")
            await heartbeat_until_known(peer)
            peer.send(*(frames.JobSubmission(ticket, 0, 1.0, f"key-{ticket}") for ticket in range(job_count)))
            while len(released_tickets(peer)) < job_count:
                await read_for_a_moment(peer)
            await leave(peer)
            again = await fleet.connect("second")
            for _ in range(round(longest_wait_ms / 2_000.0 / MOMENT_SECONDS)):
                await read_for_a_moment(again)
            first_ticket = TICKETS_OF_A_PROCESS
            again.send(
                *(frames.JobSubmission(first_ticket + n, 0, 1.0, f"key-{n}") for n in range(job_count - 4, job_count))
            )
            await heartbeat_until_released(again, 4)
            answers = [frame.outcome for frame in again.received if isinstance(frame, frames.JobRelease)]
            assert answers == ["twin"] * 4

    asyncio.run(scenario())
