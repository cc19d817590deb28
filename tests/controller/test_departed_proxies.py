"""Work of a proxy that has left is dropped before it is sent on, with controllers as programs.

One of three controllers runs alone at first: without a majority it does not know the ages of proxy processes, and
delays their jobs and queries on runs. What is delayed must not outlive the connection of its proxy.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from sockets import RawProxyConnection

from corallanding.wire import frames
from tests.controller.fleet_programs import CONFIG, controllers

pytestmark = pytest.mark.processes

JOB_COUNT = 40
TICKETS_OF_A_PROCESS = 1_000
SETTLE_SECONDS = 1.0  # several ticks and announcements of a controller with a majority
MAJORITY_TIMEOUT_SECONDS = 60.0
RUN_ANSWER_SECONDS = 2.5  # a query without a majority is answered after 1.5 s
MOMENT_SECONDS = 0.1


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
        longest_wait_ms, releases_per_second, job_count = 3_000, 4, 22
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
