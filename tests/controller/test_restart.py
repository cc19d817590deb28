"""A controller that is killed and restarted continues from its snapshot, or else from its tables."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from sockets import CONFIG, RawProxyConnection, Running, until

from corallanding.assignment import Assigner
from corallanding.controller.recovery import boot_id
from corallanding.lab.roster import Roster
from corallanding.lab.trace import Trace
from corallanding.wire import frames
from tests.controller.program import ControllerProgram

pytestmark = pytest.mark.processes

HOST_COUNT = 4
SLICE_COUNT = 4
MAX_ATTEMPTS = 100


async def host_list() -> Roster:
    """Return a running host list server whose hosts are all up."""
    roster = Roster(Trace())
    await roster.start()
    for host in range(HOST_COUNT):
        roster.rows[host] = {"host": host, "state": "up", "address": f"127.0.0.1:{21000 + host}", "started": 0.0}
    roster.changed()
    return roster


def configuration(folder: Path, roster: Roster) -> str:
    """Return the configuration of a controller that takes a snapshot five times a second."""
    text = CONFIG % (folder / "s.db")
    text = text.replace('127.0.0.1:1"', f'127.0.0.1:{roster.port}"')
    snapshots = f'snapshot_path = "{folder / "state.snap"}"\n  snapshot_every_ms = 200\n'
    text = text.replace("retry_ms = 30", f"{snapshots}  retry_ms = 30")
    return text.replace('level = "error"', 'level = "info"\n  format = "json"') + "probe {\n  allowed = false\n}\n"


async def read_again(peer: RawProxyConnection) -> frames.Tables | None:
    """Read all tables again; return None if they do not arrive in time."""
    # Successive reads are delayed longer each time, on a busy machine beyond the silence timeout of connections.
    peer.send(frames.TablesRequest())
    before = sum(isinstance(frame, frames.Tables) for frame in peer.received)
    for _ in range(MAX_ATTEMPTS):
        peer.send(frames.Heartbeat())
        with contextlib.suppress(TimeoutError):
            await peer.wait_for_frame(type(None), timeout_seconds=0.1)
        found = [frame for frame in peer.received if isinstance(frame, frames.Tables)]
        if len(found) > before:
            return found[-1]
    return None


async def join(port: int) -> tuple[RawProxyConnection, frames.Tables]:
    """Return a joined proxy, and its tables once each of them has a host."""
    peer = RawProxyConnection(*await asyncio.open_connection("127.0.0.1", port))
    peer.send_hello(1)
    tables = await peer.wait_for_frame(frames.Tables)
    while not all(row for _, row in tables.tables) or len(tables.tables) < SLICE_COUNT:
        tables = await read_again(peer) or tables
    peer.received = []  # versions older than the last read must not be acknowledged
    return peer, tables


def ack_and_find_reduced_admission(peer: RawProxyConnection) -> bool:
    """Acknowledge received messages up to one that reduces admission; return whether there is one."""
    for frame in peer.received:
        if isinstance(frame, frames.Orders):
            if frame.version >= 0:
                peer.send(frames.Ack(frame.version))
            if any(amount < 0.9 for _, _, amount, _ in frame.levels):
                return True
    peer.received = [frame for frame in peer.received if not isinstance(frame, frames.Orders)]
    return False


async def report_late_hosts(peer: RawProxyConnection) -> None:
    """Report that all hosts are late until fewer requests are admitted."""
    hosts = [(host, 40, 10, 2500.0) for host in range(HOST_COUNT)]
    slices = [(slice_number, 0, 40, 10) for slice_number in range(SLICE_COUNT)]
    for _ in range(MAX_ATTEMPTS):
        peer.send(frames.UsageReport(1000.0, hosts, slices))
        if ack_and_find_reduced_admission(peer):
            return
        with contextlib.suppress(TimeoutError):
            await peer.wait_for_frame(type(None), timeout_seconds=0.2)
    raise AssertionError("admission was not reduced")


def damage(snapshot: Path) -> None:
    """Flip one bit in the middle of a snapshot."""
    data = bytearray(snapshot.read_bytes())
    data[len(data) // 2] ^= 1
    snapshot.write_bytes(data)


def test_controller_when_killed_then_continues_from_snapshot_or_tables(tmp_path: Path) -> None:
    """Kill it twice: it is restored from the snapshot, then, with a damaged snapshot, from the tables alone."""
    snapshot = tmp_path / "state.snap"

    async def scenario() -> None:
        with ControllerProgram(tmp_path, configuration(tmp_path, await host_list())) as program:
            ready = await program.start()
            peer, _ = await join(ready["listen"][0][1])
            await report_late_hosts(peer)
            program.kill()
            ready = await program.start()
            peer, tables = await join(ready["listen"][0][1])
            assert any(entry["start_number"] == 1 for entry in program.entries("state restored"))
            assert min(amount for _, _, amount, _ in tables.levels) < 0.95, "admission is still reduced"
            await until(lambda: snapshot.stat().st_size > 0)
            program.kill()
            damage(snapshot)
            ready = await program.start()
            _, after = await join(ready["listen"][0][1])
            assert [entry for entry in program.entries("snapshot not used") if "digest" in entry["why"]]
            assert dict(after.tables).keys() == dict(tables.tables).keys()

    async def bounded() -> None:
        async with asyncio.timeout(60):
            await scenario()

    asyncio.run(bounded())


def test_step_log_when_full_then_its_snapshot_is_removed(tmp_path: Path) -> None:
    snapshot = tmp_path / "x.snap"

    async def scenario() -> None:
        config = CONFIG.replace(
            "retry_ms = 30",
            f'snapshot_path = "{snapshot}"\n  log_most_mb = 0.002\n  snapshot_every_ms = 60000\n  retry_ms = 30',
        )
        async with Running(tmp_path, config=config, decider=Assigner) as running, asyncio.timeout(20):
            await until(snapshot.exists)
            rows = [{"host": host, "address": f"127.0.0.1:{host}", "state": "up"} for host in range(10, 60)]
            for version in range(1, 10):
                running.steward.host_sources.on_host_rows(True, version, rows)
                await asyncio.sleep(0.02)
            await until(lambda: running.steward.snapshots.step_log is None)
            assert not snapshot.exists()

    asyncio.run(scenario())
    assert boot_id()
