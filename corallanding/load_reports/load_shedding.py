"""Selects the reports that are processed under overload. No I/O.

There is one slot per sender, in which the newest report replaces the one that waits. So memory is bounded by the number
of senders, not of reports, and a flood by one sender does not displace the reports of others. Slots are served in turn.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Sender = tuple[int, int]
"""The numbers of a host and of its process."""


@dataclass
class SheddingCounts:
    """Counts of all reports that arrived: passed on for processing, or rejected by reason.

    unlisted_host: the host is not on the list. excess_process: the host has more processes than allowed. invalid: not a
    report, or too long. over_rate: over the sender's rate. replaced: by a newer report of the same sender.
    """

    arrived: int = 0
    passed: int = 0
    unlisted_host: int = 0
    excess_process: int = 0
    invalid: int = 0
    over_rate: int = 0
    replaced: int = 0

    def by_name(self) -> dict[str, int]:
        """Return the counts by name. The names are sent to the controller and are metric labels: do not change them."""
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
    """A sender's token bucket, and its waiting report. data: opaque to this class; None if no report waits."""

    allowance: float
    replenished_at_ms: float
    data: Any = None
    arrived_at_ms: float = 0.0


@dataclass
class LoadShedder:
    """Admits reports by sender. reports_per_second, burst: limits of one sender. waiting: senders in serving order."""

    reports_per_second: float
    burst: float
    max_processes: int
    hosts: set[int] = field(default_factory=set)
    slots: dict[Sender, SenderSlot] = field(default_factory=dict)
    waiting: dict[Sender, None] = field(default_factory=dict)
    process_counts: dict[int, int] = field(default_factory=dict)
    counts: SheddingCounts = field(default_factory=SheddingCounts)

    def set_hosts(self, hosts: Iterable[int]) -> None:
        """Set the listed hosts. Slots of hosts that are no longer listed are dropped."""
        self.hosts = set(hosts)
        for sender in [sender for sender in self.slots if sender[0] not in self.hosts]:
            del self.slots[sender]
            self.waiting.pop(sender, None)
            self.process_counts.pop(sender[0], None)

    def offer(self, now_ms: float, sender: Sender, data: Any) -> bool:
        """Offer a report that has arrived; return true if it waits now. Costs one look-up in any case."""
        self.counts.arrived += 1
        slot = self.slots.get(sender)
        if slot is None:
            slot = self._add_slot(now_ms, sender)
            if slot is None:
                return False
        elif slot.data is not None:
            self.counts.replaced += 1
            slot.data = data
            slot.arrived_at_ms = now_ms
            return True
        replenished = (now_ms - slot.replenished_at_ms) * self.reports_per_second / 1000.0
        slot.allowance = min(self.burst, slot.allowance + replenished)
        slot.replenished_at_ms = now_ms
        if slot.allowance < 1.0:
            self.counts.over_rate += 1
            return False
        slot.allowance -= 1.0
        slot.data = data
        slot.arrived_at_ms = now_ms
        self.waiting[sender] = None
        return True

    def _add_slot(self, now_ms: float, sender: Sender) -> SenderSlot | None:
        host = sender[0]
        if host not in self.hosts:
            self.counts.unlisted_host += 1
            return None
        if self.process_counts.get(host, 0) >= self.max_processes:
            self.counts.excess_process += 1
            return None
        self.process_counts[host] = self.process_counts.get(host, 0) + 1
        slot = SenderSlot(self.burst, now_ms)
        self.slots[sender] = slot
        return slot

    def take(self, max_count: int) -> list[tuple[float, Any]]:
        """Remove up to `max_count` reports in serving order; return arrival times and data. Others keep their turn."""
        taken: list[tuple[float, Any]] = []
        while self.waiting and len(taken) < max_count:
            sender = next(iter(self.waiting))
            del self.waiting[sender]
            slot = self.slots[sender]
            taken.append((slot.arrived_at_ms, slot.data))
            slot.data = None
        self.counts.passed += len(taken)
        return taken
