"""What a stand-in forwarder met, as sums for its stewards."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..wire import frames
from .trace import clock

if TYPE_CHECKING:
    from .forwarder import Forwarder
    from .host_link import Try


class Sums:
    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.hosts: dict[tuple[int, int], list[float]] = {}  # by steward and host
        self.slices: dict[tuple[int, int], list[int]] = {}
        self.runs: dict[int, int] = {}  # host: bad ends in a row
        self.ejected: dict[int, float] = {}  # host: until when it is passed over
        self.counted = clock()

    def came(self, t: Try) -> None:
        self.slices.setdefault((t.slice, t.operation), [0, 0])[0] += 1

    def unanswered(self, t: Try) -> None:
        if (t.slice, t.operation) in self.slices:
            self.slices[t.slice, t.operation][1] += 1

    def met(self, t: Try, ok: bool) -> None:
        """One end at a host, for the stewards and for the forwarder's own ejection."""
        sums = self.hosts.setdefault((self.forwarder.held.owner.get(t.slice, 0), t.host), [0, 0, 0.0])
        sums[0] += 1
        if ok:
            sums[2] += clock() - t.sent
            self.runs[t.host] = 0
            return
        sums[1] += 1
        rules = self.forwarder.rules
        self.runs[t.host] = self.runs.get(t.host, 0) + 1
        if rules.ejects and self.runs[t.host] >= rules.ejects:
            self.runs[t.host] = 0
            self.ejected[t.host] = clock() + rules.eject_ms

    def send(self) -> None:
        """To each steward what was met on its slices."""
        f, span = self.forwarder, clock() - self.counted
        met, came = self.hosts, self.slices
        self.hosts, self.slices, self.counted = {}, {}, clock()
        late = f.rules.report_late * float(f.chance.uniform(0.3, 1.7))
        for link in f.links.to:
            if link is None or not f.held.said[link.k].joined:
                continue
            hosts = [
                (h, int(n), int(bad), good / max(n - bad, 1)) for (k, h), (n, bad, good) in met.items() if k == link.k
            ]
            slices = [(s, o, n, bad) for (s, o), (n, bad) in came.items() if f.held.owner.get(s, 0) == link.k]
            asyncio.get_running_loop().call_later(late / 1000.0, link.send, frames.UsageReport(span, hosts, slices))
