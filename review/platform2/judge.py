"""The rules of the users' pages, judged from what proxies and hosts can see."""

from __future__ import annotations

import json
import time
from collections import deque
from pathlib import Path
from typing import Any

SLACK_MS = 300.0  # "the rules' time limits ... are 300 ms longer"
FIRST_MS = 1_000.0  # "these limits begin no sooner than 1 s after the steward first answered"


class Record:
    """Writes what was sent, answered and run, a line an event, with the time since the start in seconds."""

    def __init__(self, path: Path | None) -> None:
        self.started = time.monotonic()
        self.file = path.open("w") if path else None

    def now(self) -> float:
        """Return the time since the start in ms."""
        return (time.monotonic() - self.started) * 1000.0

    def add(self, text: str) -> None:
        """Write a line."""
        if self.file:
            self.file.write(f"{self.now() / 1000.0:8.3f} {text}\n")

    def call(self, what: str, value: Any) -> None:
        """Write a line with a value as JSON."""
        self.add(f"{what} {json.dumps(value, separators=(',', ':'))}")


class Waits:
    """The times for which the limits on time wait."""

    def __init__(self) -> None:
        self.spans: list[tuple[float, float]] = []

    def add(self, now: float, length: float) -> None:
        """Let the limits wait from now on."""
        if self.spans and self.spans[-1][1] >= now:
            begin, end = self.spans[-1]
            self.spans[-1] = (begin, max(end, now + length))
        else:
            self.spans.append((now, now + length))

    def elapsed(self, since: float, now: float) -> float:
        """Return the time from `since` to `now` without the waits."""
        waited = sum(max(0.0, min(end, now) - max(begin, since)) for begin, end in self.spans)
        return now - since - waited


class Judge:
    """Collects breaches of the rules. A breach is counted by rule; the first ones are kept with their text."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.counts: dict[str, int] = {}
        self.firsts: dict[str, str] = {}
        self.worst: dict[str, float] = {}

    def breach(self, rule: str, text: str, over_ms: float = 0.0) -> None:
        """Count a breach of a rule."""
        self.counts[rule] = self.counts.get(rule, 0) + 1
        self.worst[rule] = max(self.worst.get(rule, 0.0), over_ms)
        if rule not in self.firsts:
            self.firsts[rule] = text
        if self.counts[rule] <= 40:
            self.record.add(f"BREACH {rule}: {text}")

    def summary(self) -> str:
        """Return a line a rule."""
        if not self.counts:
            return "no rule broken"
        return "\n".join(
            f"{rule}: {count} times, {self.worst[rule]:.0f} ms over at most; first: {self.firsts[rule]}"
            for rule, count in self.counts.items()
        )


class ColdWork:
    """The work sent to one cold host within the window of rule 4, in ms of a host's core."""

    def __init__(self) -> None:
        self.sent: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, now: float, work: float, window: float) -> float:
        """Add work and return the sum within the window."""
        self.sent.append((now, work))
        self.total += work
        while self.sent[0][0] < now - window:
            self.total -= self.sent.popleft()[1]
        return self.total
