"""Usage reports of a stand-in proxy to its controllers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..wire import frames
from .trace import clock

if TYPE_CHECKING:
    from .forwarder import Proxy
    from .host_link import Attempt


class UsageSums:
    """Counts of requests since the last report, and the proxy's own ejection of failing hosts."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        # By controller and host: requests, failures, total ms of the successful ones.
        self.hosts: dict[tuple[int, int], list[float]] = {}
        self.slices: dict[tuple[int, int], list[int]] = {}
        self.failures_in_row: dict[int, int] = {}  # host: failures in a row
        self.ejected: dict[int, float] = {}  # host: ms until when it is ejected
        self.window_start = clock()

    def on_request(self, t: Attempt) -> None:
        """Count an attempt of a client."""
        self.slices.setdefault((t.slice, t.operation), [0, 0])[0] += 1

    def on_failure(self, t: Attempt) -> None:
        """Count an attempt that failed."""
        if (t.slice, t.operation) in self.slices:
            self.slices[t.slice, t.operation][1] += 1

    def on_host_result(self, t: Attempt, ok: bool) -> None:
        """Count the result of an attempt at a host; eject the host after too many failures in a row."""
        sums = self.hosts.setdefault((self.proxy.state.owner.get(t.slice, 0), t.host), [0, 0, 0.0])
        sums[0] += 1
        if ok:
            sums[2] += clock() - t.sent
            self.failures_in_row[t.host] = 0
            return
        sums[1] += 1
        rules = self.proxy.rules
        self.failures_in_row[t.host] = self.failures_in_row.get(t.host, 0) + 1
        if rules.ejects and self.failures_in_row[t.host] >= rules.ejects:
            self.failures_in_row[t.host] = 0
            self.ejected[t.host] = clock() + rules.eject_ms

    def send(self) -> None:
        """Send each controller the counts of its slices and start a new window."""
        proxy, span = self.proxy, clock() - self.window_start
        by_host, by_slice = self.hosts, self.slices
        self.hosts, self.slices, self.window_start = {}, {}, clock()
        late = proxy.rules.report_late * float(proxy.chance.uniform(0.3, 1.7))
        for link in proxy.links.links:
            if link is None or not proxy.state.controllers[link.k].joined:
                continue
            hosts = [
                (h, int(n), int(bad), good / max(n - bad, 1))
                for (k, h), (n, bad, good) in by_host.items()
                if k == link.k
            ]
            slices = [(s, o, n, bad) for (s, o), (n, bad) in by_slice.items() if proxy.state.owner.get(s, 0) == link.k]
            asyncio.get_running_loop().call_later(late / 1000.0, link.send, frames.UsageReport(span, hosts, slices))
