"""Versions that proxies have not acknowledged, and the messages that carried them."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .. import interface as api

VERSION_MODULUS = 65_536
"""Versions count up and wrap here."""


def is_at_or_before(version: int, limit: int) -> bool:
    """Whether `version` is `limit` or was published before it, up to half of the modulus back."""
    return (limit - version) % VERSION_MODULUS < VERSION_MODULUS // 2


class UnackedVersion(NamedTuple):
    """A version that a proxy has not acknowledged, and the lines that its message takes in the queue."""

    version: int
    cost_lines: float


class PendingVersions:
    """For each joined proxy its unacknowledged versions, oldest first, and when messages went out.

    Invariant: `last_version` is the last one published, and a proxy's queue holds only versions published since it
    joined.
    """

    def __init__(self) -> None:
        self.unacked_by_proxy: dict[int, deque[UnackedVersion]] = {}
        self.sent_at_ms: deque[float] = deque()
        self.last_version = 0

    @property
    def next_version(self) -> int:
        """The version that will close the next message."""
        return (self.last_version + 1) % VERSION_MODULUS

    def on_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Begin to count for a proxy, also for one that joins anew."""
        self.unacked_by_proxy[event.proxy] = deque()

    def on_proxy_left(self, event: api.ProxyLeft) -> None:
        """Wait for nothing more of a proxy."""
        self.unacked_by_proxy.pop(event.proxy, None)

    def on_version_acked(self, event: api.VersionAcked) -> None:
        """Drop what the acknowledgement covers: its version and those before it."""
        unacked = self.unacked_by_proxy.get(event.proxy)
        while unacked and is_at_or_before(unacked[0].version, event.version):
            unacked.popleft()

    def publish(self, now_ms: float, cost_lines: float) -> api.PublishVersion:
        """Close a message of `cost_lines` to all joined proxies by the next version."""
        self.last_version = self.next_version
        self.sent_at_ms.append(now_ms)
        entry = UnackedVersion(self.last_version, cost_lines)
        for unacked in self.unacked_by_proxy.values():
            unacked.append(entry)
        return api.PublishVersion(self.last_version)

    def messages_since(self, then_ms: float) -> int:
        """Count the messages after `then_ms`, and forget older ones."""
        while self.sent_at_ms and self.sent_at_ms[0] <= then_ms:
            self.sent_at_ms.popleft()
        return len(self.sent_at_ms)

    def queued_lines(self) -> float:
        """Lines of messages that were not acknowledged, over all proxies."""
        return sum(entry.cost_lines for unacked in self.unacked_by_proxy.values() for entry in unacked)

    def unacked_versions(self) -> set[int]:
        """Versions that some proxy has not acknowledged."""
        return {entry.version for unacked in self.unacked_by_proxy.values() for entry in unacked}
