"""Which reports are looked at when there are too many. Pure: raw bytes in, the few that are worth the work out.

One slot a sender: the newest bytes replace those that wait, so that memory goes by senders and never by reports,
and a loud sender takes nobody's place. Slots are served in turn, one each before any is served again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

Sender = tuple[int, int]  # host, process


@dataclass
class Counts:
    """What became of all reports that came. `taken` were handed on; the rest was shed or refused, by reason."""

    came: int = 0
    taken: int = 0
    unknown: int = 0  # a host that is not on the list
    processes: int = 0  # more processes of a host than the settings allow
    bad: int = 0  # no report, or over its size
    loud: int = 0  # over its sender's rate
    replaced: int = 0  # a newer one of the same sender came before its turn

    def by_name(self) -> dict[str, int]:
        """Under frozen names: they go to the steward's process, and into the labels of metrics."""
        return {
            "came": self.came,
            "taken": self.taken,
            "unknown": self.unknown,
            "processes": self.processes,
            "bad": self.bad,
            "loud": self.loud,
            "replaced": self.replaced,
        }


@dataclass
class Slot:
    allowance: float
    counted: float
    data: Any = None  # what waits: the caller's, not looked at
    arrived: float = 0.0


@dataclass
class Triage:
    """rate, burst: reports of one sender that are looked at, a second and at once. hosts: who may send."""

    rate: float
    burst: float
    processes_most: int
    hosts: set[int] = field(default_factory=set)
    slots: dict[Sender, Slot] = field(default_factory=dict)
    waiting: dict[Sender, None] = field(default_factory=dict)  # in the order of their turns
    processes: dict[int, int] = field(default_factory=dict)
    counts: Counts = field(default_factory=Counts)

    def listed(self, hosts: Iterable[int]) -> None:
        """The roster's hosts now. Slots of hosts that left are gone."""
        self.hosts = set(hosts)
        for s in [s for s in self.slots if s[0] not in self.hosts]:
            del self.slots[s]
            self.waiting.pop(s, None)
            self.processes.pop(s[0], None)

    def come(self, now: float, sender: Sender, data: Any) -> bool:
        """A report has arrived; true if it waits now. Costs one look-up, whatever becomes of it."""
        self.counts.came += 1
        slot = self.slots.get(sender)
        if slot is None:
            host = sender[0]
            if host not in self.hosts:
                self.counts.unknown += 1
                return False
            if self.processes.get(host, 0) >= self.processes_most:
                self.counts.processes += 1
                return False
            self.processes[host] = self.processes.get(host, 0) + 1
            slot = self.slots[sender] = Slot(self.burst, now)
        elif slot.data is not None:
            self.counts.replaced += 1
            slot.data, slot.arrived = data, now
            return True
        slot.allowance = min(self.burst, slot.allowance + (now - slot.counted) * self.rate / 1000.0)
        slot.counted = now
        if slot.allowance < 1.0:
            self.counts.loud += 1
            return False
        slot.allowance -= 1.0
        slot.data, slot.arrived = data, now
        self.waiting[sender] = None
        return True

    def turn(self, most: int) -> list[tuple[float, Any]]:
        """Up to `most` reports whose turn it is: (arrival, data). The rest keeps its place."""
        out: list[tuple[float, Any]] = []
        while self.waiting and len(out) < most:
            sender = next(iter(self.waiting))
            del self.waiting[sender]
            slot = self.slots[sender]
            out.append((slot.arrived, slot.data))
            slot.data = None
        self.counts.taken += len(out)
        return out
