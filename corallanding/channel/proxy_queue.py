"""Messages that wait in the channel, and the queue of one proxy."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..wire.codec import encode
from ..wire.frames import Orders
from .merge import cost_lines


@dataclass(eq=False)
class Message:
    """One frame for all proxies concerned, encoded once.

    cost_lines: its cost without the overhead. version: to be acknowledged; -1 if none. orders: what the frame says, if
    other messages may overtake it. queue_count: number of queues in which it waits.
    """

    frame: bytes
    cost_lines: int
    version: int
    submitted_at_ms: float
    orders: Orders | None = None
    queue_count: int = 0

    def replace_orders(self, orders: Orders) -> None:
        """Change what it says, after another message overtook it."""
        self.orders = orders
        self.frame = encode(orders)
        self.cost_lines = cost_lines(orders)
        self.version = orders.version


@dataclass(eq=False)
class ProxyQueue:
    """What waits for one joined proxy. A proxy that joins again gets a new queue.

    queued_lines: overheads included. released: messages that the pacing has released, and that are not sent yet.
    sent_at_ms: of the messages in the present window. is_blocked: its socket accepts no more. is_delayed: it stands in
    `Channel.delayed_queues`.
    """

    proxy: int
    urgent: deque[Message] = field(default_factory=deque)
    ordinary: deque[Message] = field(default_factory=deque)
    queued_lines: float = 0.0
    released: int = 0
    sent_at_ms: deque[float] = field(default_factory=deque)
    is_blocked: bool = False
    is_delayed: bool = False

    @property
    def message_count(self) -> int:
        """Number of messages that wait."""
        return len(self.urgent) + len(self.ordinary)
