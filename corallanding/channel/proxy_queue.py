"""Messages in the channel, and the queue of one proxy."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..wire.codec import encode
from ..wire.frames import Orders
from .merge import cost_lines


@dataclass(eq=False)
class Message:
    """A frame that is encoded once and sent to one or more proxies.

    cost_lines: cost without the overhead. version: version to be acknowledged, or -1 for none. orders: content of the
    frame if other messages may overtake it. queue_count: number of queues that contain the message.
    """

    frame: bytes
    cost_lines: int
    version: int
    submitted_at_ms: float
    orders: Orders | None = None
    queue_count: int = 0

    def replace_orders(self, orders: Orders) -> None:
        """Replace the content after another message has overtaken this one."""
        self.orders = orders
        self.frame = encode(orders)
        self.cost_lines = cost_lines(orders)
        self.version = orders.version


@dataclass(eq=False)
class ProxyQueue:
    """The messages queued for one joined proxy. A proxy that joins again gets a new queue.

    queued_lines: cost of the queued messages, overheads included. released: number of messages released by the rate
    limit that are not sent yet. sent_at_ms: send times of the messages in the current window. is_blocked: the socket
    accepts no more data. is_delayed: the queue is in `Channel.delayed_queues`.
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
        """Number of queued messages."""
        return len(self.urgent) + len(self.ordinary)
