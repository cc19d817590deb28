"""Judges the rules of a simulated day: slices without a host, drains, the queue and the limit on messages."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .day import Day
    from .proxy import Proxy

ROUNDING_MS = 0.001


@dataclass
class Findings:
    """The worst that a day has shown. Times are in ms."""

    max_without_host_ms: float = 0.0
    pairs_without_host: int = 0  # of proxy and slice, longer than the site allows
    drained_entries: int = 0  # of proxies that may send to a leaving host after the grace
    max_queued_lines: float = 0.0
    max_messages: int = 0
    refused: int = 0  # requests for which the proxy had no host


class LimitWaits:
    """The spans in which the site's limits on time wait, as the relay has not answered a call. Times are in ms."""

    def __init__(self) -> None:
        self.spans: list[tuple[float, float]] = []

    def add(self, now_ms: float, length_ms: float) -> None:
        """Let the limits wait from now on; overlapping spans count once."""
        if self.spans and self.spans[-1][1] >= now_ms:
            begin_ms, end_ms = self.spans.pop()
            self.spans.append((begin_ms, max(end_ms, now_ms + length_ms)))
        else:
            self.spans.append((now_ms, now_ms + length_ms))

    def elapsed_ms(self, since_ms: float, now_ms: float) -> float:
        """Return the time since then without the waits."""
        waited_ms = sum(max(0.0, min(end, now_ms) - max(begin, since_ms)) for begin, end in self.spans)
        return now_ms - since_ms - waited_ms


class Judge:
    """Watches the tables of all proxies."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.findings = Findings()
        self.waits = [LimitWaits() for _ in range(day.site.controllers)]

    def on_tables_changed(self, proxy: Proxy, slices: Iterable[int]) -> None:
        """Begin or end the times in which a proxy has no host for a slice."""
        now_ms = self.day.clock.now_ms
        for slice_id in slices:
            has_host = bool(proxy.usable_hosts(slice_id))
            is_joined = proxy.connections[proxy.owners[slice_id]].is_joined
            if has_host or not is_joined:
                self._end(proxy, slice_id, now_ms)
            else:
                proxy.without_host_since_ms.setdefault(slice_id, now_ms)

    def on_disconnected(self, proxy: Proxy, controller: int) -> None:
        """End the times of the slices of a controller that a proxy has lost."""
        for slice_id in [slice_id for slice_id in proxy.without_host_since_ms if proxy.owners[slice_id] == controller]:
            self._end(proxy, slice_id, self.day.clock.now_ms)

    def on_given(self, slice_id: int) -> None:
        """Begin anew at a slice that another controller has been given."""
        for proxy in self.day.proxies:
            self._end(proxy, slice_id, self.day.clock.now_ms)

    def finish(self) -> Findings:
        """Return the findings at the end of the day."""
        for proxy in self.day.proxies:
            for slice_id in list(proxy.without_host_since_ms):
                self._end(proxy, slice_id, self.day.clock.now_ms)
        return self.findings

    def _end(self, proxy: Proxy, slice_id: int, now_ms: float) -> None:
        since_ms = proxy.without_host_since_ms.pop(slice_id, None)
        if since_ms is None:
            return
        duration_ms = self.waits[proxy.owners[slice_id]].elapsed_ms(since_ms, now_ms)
        self.findings.max_without_host_ms = max(self.findings.max_without_host_ms, duration_ms)
        if duration_ms > self.day.site.max_without_host_ms:
            self.findings.pairs_without_host += 1

    def check_drained(self, host_id: int, told_at_ms: float, controller: int) -> None:
        """Count the entries of a leaving host that proxies may still use at the end of the grace."""
        if self.day.told_leaving_ms[controller].get(host_id) != told_at_ms:
            return
        now_ms = self.day.clock.now_ms
        left_ms = self.day.site.drain_grace_ms - self.waits[controller].elapsed_ms(told_at_ms, now_ms)
        if left_ms > ROUNDING_MS:
            self.day.clock.after(left_ms, lambda: self.check_drained(host_id, told_at_ms, controller))
            return
        for proxy in self.day.proxies:
            connection = proxy.connections[controller]
            if not connection.is_joined or connection.joined_at_ms > told_at_ms or host_id in connection.excluded:
                continue
            for slice_id, table in proxy.tables.items():
                is_older = self.day.owned_since_ms[slice_id] <= told_at_ms
                if self.day.owners[slice_id] == controller and is_older and host_id in table:
                    self.findings.drained_entries += 1

    def on_queue(self, lines: float) -> None:
        """Note the lines that wait in a channel."""
        self.findings.max_queued_lines = max(self.findings.max_queued_lines, lines)

    def on_messages(self, count: int) -> None:
        """Note the messages to a proxy within the window."""
        self.findings.max_messages = max(self.findings.max_messages, count)
