"""The rate-limited logger: how many lines of one event go out, and how the rest are counted."""

from __future__ import annotations

from typing import Any

import pytest

from corallanding.telemetry import RateLimitedLogger, logs


class WrittenLines:
    """In place of the log: keeps what is written."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def warning(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))


def test_logger_when_one_event_comes_too_often_then_the_rest_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    written = WrittenLines()
    monkeypatch.setattr(logs, "log", written)
    now = 0.0
    logger = RateLimitedLogger(lambda: now, max_per_second=2)
    for number in range(5):
        logger.warn("flood", number=number)
    logger.warn("other")
    assert written.lines == [("flood", {"number": 0}), ("flood", {"number": 1}), ("other", {})]
    now = 1_000.0
    logger.warn("flood", number=5)
    assert written.lines[3:] == [("flood", {"left_out": 3}), ("flood", {"number": 5})]
