"""Starts in quick succession get an exponential backoff, and no longer use the snapshot."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from sockets import CONFIG

from corallanding.controller.crash_loop import StartAdvice, StartHistory, advise_start
from tests.controller.program import ControllerProgram


def test_starts_when_in_quick_succession_then_back_off_and_do_not_use_the_snapshot() -> None:
    now_ms = 1e12
    earlier_starts: list[float] = []
    advices = []
    for _ in range(9):
        advice = advise_start(earlier_starts, now_ms)
        advices.append((advice.recent_failures, advice.wait_ms, advice.may_use_snapshot))
        earlier_starts.append(now_ms)
        now_ms += advice.wait_ms + 500.0
    assert advices == [
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
    assert advise_start(earlier_starts, now_ms + 61_000.0) == StartAdvice(0, 0.0, True), (
        "a start a minute after the last one has no backoff"
    )
    assert advise_start([now_ms + 1e6], now_ms) == StartAdvice(0, 0.0, True), (
        "starts in the future, after the clock was set back, are ignored"
    )


def test_history_when_damaged_or_not_writable_then_empty(tmp_path: Path) -> None:
    starts = StartHistory(str(tmp_path / "x.starts"))
    assert starts.read() == []
    starts.write([1.0, 2.0])
    assert starts.read() == [1.0, 2.0]
    (tmp_path / "x.starts").write_text("{nonsense")
    assert starts.read() == []
    StartHistory(str(tmp_path / "no" / "x.starts")).write([1.0])


@pytest.mark.processes
def test_program_when_it_crashes_repeatedly_then_backs_off_and_logs_it(tmp_path: Path) -> None:
    configuration = (CONFIG % (tmp_path / "s.db")).replace('level = "error"', 'level = "info"\n  format = "json"')

    async def scenario() -> None:
        with ControllerProgram(tmp_path, configuration) as program:
            for _ in range(3):
                await program.start()
                program.kill()
            entry = await program.start("crash loop")
            assert entry["deaths"] == 3

    asyncio.run(scenario())
