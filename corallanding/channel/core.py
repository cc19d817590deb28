"""The steward's channel, pure: messages wait here until their turn, in order, at the channel's rate.

A message costs `head` lines and its own at each forwarder. Lines waiting never exceed `queue_most`, heads
included; a forwarder gets at most `messages_most` messages in any `span` ms, counted from its joining. Each
order is encoded once by the caller; the channel holds references to its bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field


class Overrun(Exception):
    """A message does not fit: the forwarders named must be cut off and read the store instead."""

    def __init__(self, forwarders: list[int]) -> None:
        super().__init__(f"no room in the channel for {len(forwarders)} forwarders")
        self.forwarders = forwarders


@dataclass(frozen=True)
class Limits:
    """rate: lines a second; head, queue_most: lines; messages_most: 0 is no cap; span: milliseconds."""

    rate: float
    head: float
    queue_most: float
    messages_most: int = 0
    span: float = 10_000.0


@dataclass(eq=False)
class Message:
    """One step's orders for all forwarders concerned. `mark` is -1 where no ack is asked."""

    frame: bytes
    lines: int
    mark: int
    at: float


@dataclass(eq=False)
class Port:
    """One joined forwarder. A message left over from an earlier joining finds another port, and is gone."""

    forwarder: int
    sent: deque[float] = field(default_factory=deque)
    parked: deque[Message] = field(default_factory=deque)  # held back by the cap on messages


class Channel:
    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.ports: dict[int, Port] = {}
        self.queue: deque[tuple[Port, Message]] = deque()
        self.waiting = 0.0  # lines, heads included, parked ones too
        self.free_at = 0.0  # when the message now on its way has left
        self.most = 0.0  # the most that ever waited
        self.lines_sent = self.messages_sent = 0

    def join(self, forwarder: int) -> None:
        """A forwarder joined, or joined again: what waited for its former link is dropped."""
        self.leave(forwarder)
        self.ports[forwarder] = Port(forwarder)

    def leave(self, forwarder: int) -> None:
        if port := self.ports.pop(forwarder, None):
            for message in port.parked:
                self.waiting -= self.cost(message)
            # What stands in the queue is passed over when its turn comes; its lines are free at once.
            for p, message in self.queue:
                if p is port:
                    self.waiting -= self.cost(message)

    def cost(self, message: Message) -> float:
        return self.limits.head + message.lines

    def submit(self, now: float, frame: bytes, lines: int, mark: int, to: Iterable[int]) -> None:
        """Queue one message for each forwarder of `to` that is joined.

        Raises `Overrun` with the forwarders for which there is no room; the others' messages are queued.
        Guards against an owner of the orders that overruns the queue (the module keeps under it by itself).
        """
        message = Message(frame, lines, mark, now)
        over = []
        for forwarder in to:
            port = self.ports.get(forwarder)
            if port is None:
                continue
            if self.waiting + self.cost(message) > self.limits.queue_most:
                over.append(forwarder)
                continue
            self.queue.append((port, message))
            self.waiting += self.cost(message)
        self.most = max(self.most, self.waiting)
        if over:
            raise Overrun(over)

    def capped(self, port: Port, now: float) -> bool:
        if not self.limits.messages_most:
            return False
        while port.sent and port.sent[0] <= now - self.limits.span:
            port.sent.popleft()
        return len(port.sent) >= self.limits.messages_most

    def due(self, now: float) -> list[tuple[int, Message]]:
        """Messages that leave by `now`, in order. Call again at `next_at`."""
        out: list[tuple[int, Message]] = []
        if self.limits.messages_most:
            for port in self.ports.values():
                while port.parked and not self.capped(port, now):
                    self.leave_port(port, port.parked.popleft(), now, out)
        while self.queue and self.free_at <= now:
            port, message = self.queue.popleft()
            if self.ports.get(port.forwarder) is not port:
                continue  # for a link that is gone
            # A channel that idled starts at once; a late loop turn catches up by at most one message's time.
            self.free_at = max(self.free_at, now - 50.0) + self.cost(message) * 1000.0 / self.limits.rate
            if port.parked or self.capped(port, now):
                port.parked.append(message)
                continue
            self.leave_port(port, message, now, out)
        return out

    def leave_port(self, port: Port, message: Message, now: float, out: list[tuple[int, Message]]) -> None:
        if self.limits.messages_most:
            port.sent.append(now)
        self.waiting -= self.cost(message)
        self.lines_sent += message.lines
        self.messages_sent += 1
        out.append((port.forwarder, message))

    def next_at(self, now: float) -> float | None:
        """When `due` may have something: None while nothing waits."""
        at = [max(now, self.free_at)] if self.queue else []
        at += [port.sent[0] + self.limits.span for port in self.ports.values() if port.parked and port.sent]
        return min(at, default=None)
