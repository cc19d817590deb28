"""The rate-limited logger: how many lines of one event are written, and how the others are counted."""

from __future__ import annotations

from typing import Any

import pytest

from corallanding.telemetry import RateLimitedLogger, logs


class RecordingLog:
    """Stand-in for the log that records the written lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def warning(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))


def test_logger_when_one_event_is_too_frequent_then_the_lines_left_out_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = RecordingLog()
    monkeypatch.setattr(logs, "log", log)
    now = 0.0
    logger = RateLimitedLogger(lambda: now, max_per_second=2)
    for number in range(5):
        logger.warn("flood", number=number)
    logger.warn("other")
    assert log.lines == [("flood", {"number": 0}), ("flood", {"number": 1}), ("other", {})]
    now = 1_000.0
    logger.warn("flood", number=5)
    assert log.lines[3:] == [("flood", {"left_out": 3}), ("flood", {"number": 5})]
