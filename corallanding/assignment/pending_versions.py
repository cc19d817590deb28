"""Tracks the versions that proxies have not acknowledged, and the messages that carried them."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from .. import interface as api

VERSION_MODULUS = 65_536
"""Versions are counted modulo this number."""

UNKNOWN_MESSAGE = -1
"""Number of the last applied message of a proxy that may hold orders from before the start of this controller."""


def is_at_or_before(version: int, limit: int) -> bool:
    """Return whether `version` equals `limit` or precedes it by less than half of the modulus."""
    return (limit - version) % VERSION_MODULUS < VERSION_MODULUS // 2


class UnackedVersion(NamedTuple):
    """A version that a proxy has not acknowledged, and the cost of its message in the queue, in lines."""

    version: int
    cost_lines: float


class LostAcks(NamedTuple):
    """Versions up to `version`, whose acknowledgements may be lost, have left the channel by `sent_by_ms`."""

    version: int
    sent_by_ms: float


class PendingVersions:
    """The unacknowledged versions of each joined proxy, oldest first, and the times at which messages were sent.

    Messages are numbered from 1 since the start of this controller. `applied_messages` holds, for each proxy that ever
    joined, the number of the last message that it has acknowledged; it is kept while the proxy is away.

    Invariant: `last_version` was published last, and a proxy's queue holds only versions published since it joined.
    """

    def __init__(self) -> None:
        self.unacked_by_proxy: dict[int, deque[UnackedVersion]] = {}
        self.applied_messages: dict[int, int] = {}
        self.lost_acks: list[LostAcks] = []
        self.sent_at_ms: deque[float] = deque()
        self.last_version = 0
        self.last_message = 0

    @property
    def next_version(self) -> int:
        """Version that will close the next message."""
        return (self.last_version + 1) % VERSION_MODULUS

    @property
    def next_message(self) -> int:
        """Number of the next message."""
        return self.last_message + 1

    def on_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Start tracking a proxy with no pending versions, also if it joins again."""
        self.unacked_by_proxy[event.proxy] = deque()
        if event.has_no_tables:
            self.applied_messages[event.proxy] = self.last_message
        else:
            self.applied_messages.setdefault(event.proxy, UNKNOWN_MESSAGE)

    def on_proxy_left(self, event: api.ProxyLeft) -> None:
        """Stop tracking a proxy."""
        self.unacked_by_proxy.pop(event.proxy, None)

    def on_version_acked(self, event: api.VersionAcked) -> None:
        """Remove the acknowledged version and all earlier ones: the proxy has applied their messages."""
        unacked = self.unacked_by_proxy.get(event.proxy)
        while unacked and is_at_or_before(unacked[0].version, event.version):
            self.applied_messages[event.proxy] = self._message_of(unacked.popleft().version)

    def on_acks_lost(self, version: int, sent_by_ms: float) -> None:
        """Stop counting the messages up to `version` as queued at `sent_by_ms`; see `release_sent_messages`."""
        self.lost_acks.append(LostAcks(version, sent_by_ms))

    def release_sent_messages(self, now_ms: float) -> None:
        """Take messages that must have left the channel out of the queue, though their acknowledgements may be lost.

        The versions still count as unacknowledged, since a message that was sent may not have been applied. Otherwise
        the queue could count as full for ever, with no version left to send whose acknowledgements would clear it.
        """
        sent = [lost.version for lost in self.lost_acks if lost.sent_by_ms <= now_ms]
        self.lost_acks = [lost for lost in self.lost_acks if lost.sent_by_ms > now_ms]
        if sent:
            for proxy, unacked in self.unacked_by_proxy.items():
                self.unacked_by_proxy[proxy] = _without_cost(unacked, sent[-1])

    def _message_of(self, version: int) -> int:
        """Return the number of the message that carried a version which is still unacknowledged."""
        return self.last_message - (self.last_version - version) % VERSION_MODULUS

    def publish(self, now_ms: float, cost_lines: float) -> api.PublishVersion:
        """Record a message of `cost_lines` to all joined proxies, and return the action that closes it."""
        self.last_version = self.next_version
        self.last_message = self.next_message
        self.sent_at_ms.append(now_ms)
        entry = UnackedVersion(self.last_version, cost_lines)
        for unacked in self.unacked_by_proxy.values():
            unacked.append(entry)
        return api.PublishVersion(self.last_version)

    def messages_since(self, then_ms: float) -> int:
        """Return the number of messages sent after `then_ms`, and discard older ones."""
        while self.sent_at_ms and self.sent_at_ms[0] <= then_ms:
            self.sent_at_ms.popleft()
        return len(self.sent_at_ms)

    def queued_lines(self) -> float:
        """Return the cost of all unacknowledged messages, summed over all proxies, in lines."""
        return sum(entry.cost_lines for unacked in self.unacked_by_proxy.values() for entry in unacked)

    def unacked_versions(self) -> set[int]:
        """Return the versions that at least one proxy has not acknowledged."""
        return {entry.version for unacked in self.unacked_by_proxy.values() for entry in unacked}


def _without_cost(unacked: deque[UnackedVersion], limit: int) -> deque[UnackedVersion]:
    """Return the entries, those up to the version `limit` without cost; entries without cost before are dropped."""
    return deque(
        UnackedVersion(entry.version, 0.0) if is_at_or_before(entry.version, limit) else entry
        for entry in unacked
        if entry.cost_lines
    )
