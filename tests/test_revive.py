"""A steward killed and started again goes on from snapshot and log; what does not fit is refused, the tables stand."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from sockets import CONFIG, Peer, Running, until

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.controller import recorder
from corallanding.controller.crash_loop import StartAdvice, StartHistory, advise_start
from corallanding.controller.engine import Engine
from corallanding.controller.recovery import (
    ControllerState,
    StateMismatchError,
    boot_id,
    capture_state,
    check_state,
    restore,
)
from corallanding.lab.roster import Roster
from corallanding.lab.trace import Trace
from corallanding.snapshot import file
from corallanding.store.api import StoreContents
from corallanding.wire import frames

pytestmark = pytest.mark.processes

OP = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
SETTINGS = api.Settings(
    request_classes=(OP,), slice_count=12, max_queued_lines=1e6, admission="fraction", may_check_health=True
)
HOSTS = tuple(api.HostEntry(h) for h in range(5))


class Rig:
    """An engine driven by hand, with the store's tables and a log of its steps beside it."""

    def __init__(self, life: int = 1, tables: dict[int, dict[int, float]] | None = None) -> None:
        addresses = {h: f"127.0.0.1:{9000 + h}" for h in range(5)}
        self.engine = Engine(SETTINGS, life, StoreContents(life, tables=tables or {}), range(12), addresses, Assigner)
        self.log: list[Any] = []
        self.now = 1e9

    def begin(self) -> None:
        self.engine.start(self.now, api.HostListUpdate(api.HostListKind.FULL, 1, HOSTS))
        self.engine.add_event(self.now, api.ProxyJoined(1, 0, 10.0, True))

    def run(self, steps: int) -> None:
        for k in range(steps):
            self.now += 250.0
            if k % 4 == 0:
                for h in range(5):  # host 3 fails all, the others are late
                    self.engine.add_event(self.now, api.HostUsageReport(0, h, 40, 40 if h == 3 else 4, 1500.0, 1000.0))
                for s in range(12):
                    self.engine.add_event(self.now, api.SliceUsageReport(s, 0, 20 + s, 2, 1000.0))
            self.engine.decide(self.now)
            assert self.engine.last_step
            self.log.append(self.engine.last_step)
            self.engine.publish(True)

    def state(self) -> ControllerState:
        found = capture_state(self.engine, 0, "boot", 5.0, {(3, 1.0): 7.0}, 1)
        assert found
        return file.unpack(file.pack(found), ControllerState)


def lines(e: Engine) -> dict[int, dict[int, float]]:
    return {t: dict(row) for t, row in e.published.tables.items()}


@pytest.mark.parametrize("cut", [0, 1, 7, 30])
def test_a_life_taken_up_acts_as_the_one_that_was_killed(cut: int) -> None:
    one = Rig()
    one.begin()
    one.run(60)
    state = one.state()
    tail = len(one.log)
    one.run(cut)
    two = Rig(2, lines(one.engine))
    two.now = one.now
    assert restore(two.engine, state, one.log[tail:], one.now) == (cut, [])
    assert isinstance(one.engine.assigner, Assigner)
    assert isinstance(two.engine.assigner, Assigner)
    assert two.engine.assigner.admission.level == one.engine.assigner.admission.level < 1.0
    assert two.engine.published.admissions == one.engine.published.admissions
    assert [t[::2] for t in sorted(two.engine.timers)] == [t[::2] for t in sorted(one.engine.timers)]
    two.engine.pending_events = []  # but for the forwarders that are gone, which only the second is told of
    one.run(40)
    two.run(40)
    assert [x[2] for x in two.log] == [x[2] for x in one.log[tail + cut :]]


def test_the_store_has_the_last_word_on_tables() -> None:
    one = Rig()
    one.begin()
    one.run(30)
    tables = lines(one.engine)
    tables[4] = {1: 1.0, 2: 1.0}  # a step that was kept and not logged, or the other way round
    two = Rig(2, tables)
    assert restore(two.engine, one.state(), [], one.now)[1] == [4]
    two.now = one.now
    two.run(8)
    module = two.engine.assigner
    assert isinstance(module, Assigner)
    assert {t: set(row) for t, row in lines(two.engine).items()} == {
        s.id: {h.id for h in s.weights} for s in module.slices.values()
    }


def test_a_log_that_is_decided_otherwise_is_refused_and_nothing_was_touched() -> None:
    one = Rig()
    one.begin()
    one.run(30)
    state, tail = one.state(), len(one.log)
    one.run(8)
    steps = [*one.log[tail:]]
    at, events, actions = steps[5]
    steps[5] = (at, events, [*actions, api.LogNote("a thought of another version")])
    two = Rig(2, lines(one.engine))
    module = two.engine.assigner
    with pytest.raises(StateMismatchError, match="step 6 of its log"):
        restore(two.engine, state, steps, one.now)
    assert two.engine.assigner is module
    assert not two.engine.pending_events
    assert not two.engine.timers


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"controller_number": 4}, "steward 4"),
        ({"settings_digest": b"x"}, "settings"),
        ({"boot_id": "other"}, "started anew"),
        ({"start_number": 7}, "life 7, the last one was 1"),
    ],
)
def test_what_belongs_elsewhere_is_refused_by_name(change: dict[str, Any], why: str) -> None:
    one = Rig()
    one.begin()
    one.run(5)
    state = one.state()
    check_state(state, 0, SETTINGS, "boot", 2)
    for k, v in change.items():
        setattr(state, k, v)
    with pytest.raises(StateMismatchError, match=why):
        check_state(state, 0, SETTINGS, "boot", 2)


def test_a_log_cut_at_any_byte_is_taken_up_to_its_last_whole_step(tmp_path: Path) -> None:
    one = Rig()
    one.begin()
    one.run(20)
    state, tail = one.state(), len(one.log)
    log = recorder.Recorder(tmp_path / "log", SETTINGS, 1, 1e9, starts_after_snapshot=True)
    one.run(3)
    sizes = [log.written_bytes]
    for now, events, actions in one.log[tail:]:
        log.write_step(now, events, actions)
        sizes.append(log.written_bytes)
    log.close()
    whole = (tmp_path / "log").read_bytes()
    for cut in range(sizes[0], len(whole) + 1):
        (tmp_path / "log").write_bytes(whole[:cut])
        steps = recorder.read_recording(tmp_path / "log").steps
        assert len(steps) == sum(size <= cut for size in sizes[1:])
        if cut in sizes or cut % 97 == 0:
            assert restore(Rig(2, lines(one.engine)).engine, state, steps, one.now)[0] == len(steps)


# ---- crash loops -----------------------------------------------------------------------------------------------


def test_starts_soon_after_one_another_wait_ever_longer_and_leave_the_snapshot_alone() -> None:
    now, before, seen = 1e12, list[float](), []
    for _ in range(9):
        advice = advise_start(before, now)
        seen.append((advice.recent_failures, advice.wait_ms, advice.may_use_snapshot))
        before.append(now)
        now += advice.wait_ms + 500.0
    assert seen == [
        (0, 0.0, True),
        (1, 0.0, True),
        (2, 0.0, True),
        (3, 1000.0, False),
        (4, 2000.0, False),
        (5, 4000.0, False),
        (6, 8000.0, False),
        (7, 16000.0, False),
        (8, 30000.0, False),
    ]
    assert advise_start(before, now + 61_000.0) == StartAdvice(0, 0.0, True), "after a calm minute it is a start as any"
    assert advise_start([now + 1e6], now) == StartAdvice(0, 0.0, True), "a clock that went back"


def test_the_file_of_starts_may_be_damaged_or_not_be_writable(tmp_path: Path) -> None:
    starts = StartHistory(str(tmp_path / "x.starts"))
    assert starts.read() == []
    starts.write([1.0, 2.0])
    assert starts.read() == [1.0, 2.0]
    (tmp_path / "x.starts").write_text("{nonsense")
    assert starts.read() == []
    StartHistory(str(tmp_path / "no" / "x.starts")).write([1.0])


def test_a_crash_loop_is_backed_off_and_seen(tmp_path: Path) -> None:
    path, log = tmp_path / "s.hcl", tmp_path / "log"
    text = (CONFIG % (tmp_path / "s.db")).replace('level = "error"', 'level = "info"\n  format = "json"')
    path.write_text(text)
    command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(path)]

    async def life(wanted: str) -> dict[str, Any]:
        log.write_bytes(b"")
        with open(log, "ab") as out:
            p = subprocess.Popen(command, stdout=out, stderr=out)

        def words() -> list[dict[str, Any]]:
            return [json.loads(x) for x in log.read_text().splitlines() if x.startswith("{")]

        try:
            await until(lambda: any(wanted in w["event"] for w in words()), 15)
            return next(w for w in words() if wanted in w["event"])
        finally:
            p.kill()
            p.wait()

    async def scene() -> None:
        for _ in range(3):
            await life("ready")
        assert (await life("crash loop"))["deaths"] == 3

    asyncio.run(scene())


# ---- the whole steward -----------------------------------------------------------------------------------------


def test_a_killed_steward_goes_on_where_it_was(tmp_path: Path) -> None:
    """Three lives by kill -9: taken up from the snapshot, then with it damaged, from the tables alone."""

    async def scene() -> None:
        roster = Roster(Trace())
        await roster.start()
        for h in range(4):
            roster.rows[h] = {"host": h, "state": "up", "address": f"127.0.0.1:{21000 + h}", "started": 0.0}
        roster.changed()
        snap = tmp_path / "state.snap"
        text = CONFIG % (tmp_path / "s.db")
        text = text.replace('127.0.0.1:1"', f'127.0.0.1:{roster.port}"')
        text = text.replace("retry_ms = 30", f'snapshot_path = "{snap}"\n  snapshot_every_ms = 200\n  retry_ms = 30')
        text = text.replace('level = "error"', 'level = "info"\n  format = "json"') + "probe {\n  allowed = false\n}\n"
        path, log = tmp_path / "s.hcl", tmp_path / "log"
        path.write_text(text)

        def words() -> list[dict[str, Any]]:
            raw = log.read_text().splitlines() if log.exists() else []
            return [json.loads(x) for x in raw if x.startswith("{")]

        async def life() -> tuple[subprocess.Popen[bytes], int]:
            before = sum(w["event"] == "ready" for w in words())
            with open(log, "ab") as out:
                command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(path)]
                p = subprocess.Popen(command, stdout=out, stderr=out)
            await until(lambda: sum(w["event"] == "ready" for w in words()) > before, 15)
            return p, [w for w in words() if w["event"] == "ready"][-1]["listen"][0][1]

        async def joined(port: int) -> tuple[Peer, Any]:
            peer = Peer(*await asyncio.open_connection("127.0.0.1", port))
            peer.hello(1)
            tables = await peer.until(frames.Tables)
            while not all(row for _, row in tables.tables) or len(tables.tables) < 4:
                # Reads in a row wait longer each time, on a busy machine longer than a silent link may last.
                peer.say(frames.Read())
                before = sum(isinstance(f, frames.Tables) for f in peer.got)
                for _ in range(100):
                    peer.say(frames.Beat())
                    with contextlib.suppress(TimeoutError):
                        await peer.until(type(None), within=0.1)
                    if len(found := [f for f in peer.got if isinstance(f, frames.Tables)]) > before:
                        tables = found[-1]
                        break
            peer.got = []  # marks of orders before the last reading are not out any more
            return peer, tables

        async def strain(peer: Peer) -> None:
            """All hosts late until less is let in."""
            for _ in range(100):
                hosts = [(h, 40, 10, 2500.0) for h in range(4)]
                peer.say(frames.Sums(1000.0, hosts, [(s, 0, 40, 10) for s in range(4)]))
                for f in peer.got:
                    if isinstance(f, frames.Orders):
                        if f.mark >= 0:
                            peer.say(frames.Ack(f.mark))
                        if any(amount < 0.9 for _, _, amount, _ in f.levels):
                            return
                peer.got = [f for f in peer.got if not isinstance(f, frames.Orders)]
                try:
                    await peer.until(type(None), within=0.2)
                except TimeoutError:
                    continue
            raise AssertionError("no level")

        p, port = await life()
        try:
            peer, _ = await joined(port)
            await strain(peer)
            p.send_signal(signal.SIGKILL)
            p.wait()
            p, port = await life()
            peer, tables = await joined(port)
            assert any(w["event"] == "state restored" and w["start_number"] == 1 for w in words())
            assert min(amount for _, _, amount, _ in tables.levels) < 0.95, "what was let in stands"
            await until(lambda: snap.stat().st_size > 0)
            p.send_signal(signal.SIGKILL)
            p.wait()
            data = bytearray(snap.read_bytes())
            data[len(data) // 2] ^= 1
            snap.write_bytes(data)
            p, port = await life()
            _, after = await joined(port)
            assert [w for w in words() if w["event"].startswith("snapshot not used") and "digest" in w["why"]]
            assert dict(after.tables).keys() == dict(tables.tables).keys()
        finally:
            p.kill()
            p.wait()

    async def bounded() -> None:
        async with asyncio.timeout(60):
            await scene()

    asyncio.run(bounded())


def test_a_full_log_takes_its_snapshot_with_it(tmp_path: Path) -> None:
    async def scene() -> None:
        config = CONFIG.replace(
            "retry_ms = 30",
            f'snapshot_path = "{tmp_path}/x.snap"\n  log_most_mb = 0.002\n  snapshot_every_ms = 60000\n  retry_ms = 30',
        )
        async with Running(tmp_path, config=config, decider=Assigner) as r, asyncio.timeout(20):
            await until(lambda: os.path.exists(f"{tmp_path}/x.snap"))
            rows = [{"host": h, "address": f"127.0.0.1:{h}", "state": "up"} for h in range(10, 60)]
            for n in range(9):
                r.steward.host_sources.on_host_rows(True, n + 1, rows)
                await asyncio.sleep(0.02)
            await until(lambda: r.steward.snapshots.step_log is None)
            assert not os.path.exists(f"{tmp_path}/x.snap")

    asyncio.run(scene())
    assert boot_id()


def test_a_recording_ends_where_its_disk_does(tmp_path: Path) -> None:
    """A part of an item, then room again: what follows a torn item could not be read, and is not written."""
    r = recorder.Recorder(tmp_path / "r", SETTINGS, 1, 1e9)
    r.write_step(1.0, [], [])
    real = r.file

    class Short:
        def write(self, data: bytes) -> int:
            return real.write(data[:7])

    r.file = Short()  # type: ignore[assignment]
    r.write_step(2.0, [], [])
    r.file = real
    r.write_step(3.0, [], [])
    assert r.is_stopped
    assert "a part" in r.stop_reason
    r.close()
    found = recorder.read_recording(tmp_path / "r")
    assert [now for now, _, _ in found.steps] == [1.0]
    assert found.is_truncated
    with open("/dev/full", "wb", buffering=0) as full:
        r = recorder.Recorder(tmp_path / "r", SETTINGS, 1, 1e9)
        r.file = full
        r.write_step(1.0, [], [])
        assert r.is_stopped
        assert "No space left" in r.stop_reason
