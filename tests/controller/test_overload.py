"""An overloaded controller delays the search for better owners, and nothing else."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from sockets import CONFIG, Running, ScriptedAssigner, until

from corallanding import interface as api
from corallanding.controller.overload import OverloadDetector, OverloadLimits
from corallanding.wire import frames


def test_timer_when_the_controller_is_late_then_delayed_up_to_the_limit() -> None:
    detector = OverloadDetector(OverloadLimits(max_lateness_ms=100.0, max_busy_share=0.5, max_delay_ms=1000.0))
    assert not detector.should_delay(0.0, 0)
    detector.on_lateness(400.0)
    delays = []
    for now_ms in range(0, 1100, 100):
        detector.on_lateness(400.0)
        delays.append(detector.should_delay(float(now_ms), 0))
    assert delays == [True] * 10 + [False]
    assert detector.delayed_timers == 1
    latenesses_ms = []
    while detector.is_overloaded:
        detector.on_lateness(0.0)
        latenesses_ms.append(detector.lateness_ms)
    assert latenesses_ms == [200.0, 100.0, 50.0, 25.0]
    assert not detector.should_delay(1300.0, 0)


def test_overload_when_steps_fill_the_time_then_set_and_a_single_long_step_does_not() -> None:
    detector = OverloadDetector(OverloadLimits(max_lateness_ms=1e9, max_busy_share=0.5))
    now_ms = 0.0
    for _ in range(20):
        now_ms += 100.0
        detector.on_step(now_ms, 80.0 if now_ms == 700.0 else 5.0)
        assert not detector.is_overloaded
    for _ in range(20):
        now_ms += 100.0
        detector.on_step(now_ms, 90.0)
    assert detector.is_overloaded
    for _ in range(20):
        now_ms += 100.0
        detector.on_step(now_ms, 5.0)
    assert not detector.is_overloaded


class SlowAssigner(ScriptedAssigner):
    """An assigner whose timer steps take more time than is available."""

    deferrable_timer = 0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.timer_steps: list[float] = []
        self.has_started = False

    def step(self, now_ms: float, events: Any) -> list[api.Action]:
        actions = super().step(now_ms, events)
        if not self.has_started or any(isinstance(e, api.TimerFired) and e.timer == 0 for e in events):
            self.has_started = True
            self.timer_steps.append(now_ms)
            time.sleep(0.08)
            actions.append(api.StartTimer(10.0, 0))
        return actions


def test_controller_when_overloaded_then_timer_steps_are_delayed_and_cordons_are_not(tmp_path: Path) -> None:
    async def scenario() -> None:
        config = CONFIG.replace("steward {\n", "steward {\n  late_ms = 50\n  put_off_most_ms = 1000\n")
        async with Running(tmp_path, decider=SlowAssigner, config=config) as running, asyncio.timeout(20):
            peer = await running.join_proxy(1)
            await until(lambda: running.steward.engine.overload.is_overloaded)
            assigner = running.module
            assert isinstance(assigner, SlowAssigner)
            previous_count, started_at = len(assigner.timer_steps), time.monotonic()
            for number in range(10):
                peer.send(frames.Heartbeat())
                running.apply_actions(
                    api.SetWeight(0, 10 + number, 1.0), api.Cordon(number, True), api.PublishVersion(number + 1)
                )
                order = await peer.wait_for_frame(
                    frames.Orders, lambda frame, number=number: frame.version == number + 1
                )
                assert order.cordons == [(number, True)]
                peer.send(frames.Ack(number + 1))
            elapsed_s = time.monotonic() - started_at
            assert len(assigner.timer_steps) - previous_count <= elapsed_s / 0.1 + 2, "timer steps kept their rate"
            assert running.steward.engine.overload.delayed_timers > 0

    asyncio.run(scenario())
