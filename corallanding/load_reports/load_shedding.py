"""Decides which reports are processed when there are too many. Pure.

There is one slot for each sender: the newest report replaces the one that waits, so that memory grows with senders and
not with reports, and a sender that floods takes nobody's place. Slots are served in turn.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Sender = tuple[int, int]
"""Host and process."""


@dataclass
class SheddingCounts:
    """What became of all reports that arrived: passed on for processing, or rejected by reason.

    unlisted_host: of no host on the list. excess_process: more processes of a host than the settings allow. invalid: no
    report, or too long. over_rate: over its sender's rate. replaced: a newer one of the same sender came first.
    """

    arrived: int = 0
    passed: int = 0
    unlisted_host: int = 0
    excess_process: int = 0
    invalid: int = 0
    over_rate: int = 0
    replaced: int = 0

    def by_name(self) -> dict[str, int]:
        """Return the counts by frozen names: they go to the controller's process, and into the labels of metrics."""
        return {
            "came": self.arrived,
            "taken": self.passed,
            "unknown": self.unlisted_host,
            "processes": self.excess_process,
            "bad": self.invalid,
            "loud": self.over_rate,
            "replaced": self.replaced,
        }


@dataclass
class SenderSlot:
    """A sender's token bucket, and its report that waits (data: None if there is none; it is not inspected)."""

    allowance: float
    replenished_at_ms: float
    data: Any = None
    arrived_at_ms: float = 0.0


@dataclass
class LoadShedder:
    """Admits reports by sender. reports_per_second, burst: of one sender. waiting: senders in the order served."""

    reports_per_second: float
    burst: float
    max_processes: int
    hosts: set[int] = field(default_factory=set)
    slots: dict[Sender, SenderSlot] = field(default_factory=dict)
    waiting: dict[Sender, None] = field(default_factory=dict)
    process_counts: dict[int, int] = field(default_factory=dict)
    counts: SheddingCounts = field(default_factory=SheddingCounts)

    def set_hosts(self, hosts: Iterable[int]) -> None:
        """Set the hosts on the list. Slots of hosts that left it are dropped."""
        self.hosts = set(hosts)
        for sender in [sender for sender in self.slots if sender[0] not in self.hosts]:
            del self.slots[sender]
            self.waiting.pop(sender, None)
            self.process_counts.pop(sender[0], None)

    def offer(self, now: float, sender: Sender, data: Any) -> bool:
        """Take a report that has arrived; true if it waits now. Costs one look-up, whatever becomes of it."""
        self.counts.arrived += 1
        slot = self.slots.get(sender)
        if slot is None:
            slot = self._add_slot(now, sender)
            if slot is None:
                return False
        elif slot.data is not None:
            self.counts.replaced += 1
            slot.data = data
            slot.arrived_at_ms = now
            return True
        replenished = (now - slot.replenished_at_ms) * self.reports_per_second / 1000.0
        slot.allowance = min(self.burst, slot.allowance + replenished)
        slot.replenished_at_ms = now
        if slot.allowance < 1.0:
            self.counts.over_rate += 1
            return False
        slot.allowance -= 1.0
        slot.data = data
        slot.arrived_at_ms = now
        self.waiting[sender] = None
        return True

    def _add_slot(self, now: float, sender: Sender) -> SenderSlot | None:
        host = sender[0]
        if host not in self.hosts:
            self.counts.unlisted_host += 1
            return None
        if self.process_counts.get(host, 0) >= self.max_processes:
            self.counts.excess_process += 1
            return None
        self.process_counts[host] = self.process_counts.get(host, 0) + 1
        slot = SenderSlot(self.burst, now)
        self.slots[sender] = slot
        return slot

    def take(self, max_count: int) -> list[tuple[float, Any]]:
        """Return up to `max_count` reports in the order served: time of arrival and data. The rest keeps its place."""
        taken: list[tuple[float, Any]] = []
        while self.waiting and len(taken) < max_count:
            sender = next(iter(self.waiting))
            del self.waiting[sender]
            slot = self.slots[sender]
            taken.append((slot.arrived_at_ms, slot.data))
            slot.data = None
        self.counts.passed += len(taken)
        return taken
