"""Sends messages to proxies when the paced channel releases them."""

from __future__ import annotations

import asyncio

from ..channel import Channel, QueueFullError
from ..channel.proxy_queue import Message
from .close_codes import CloseCode
from .context import Context
from .link_registry import LinkRegistry
from .step_outputs import NO_VERSION, SendFrame

MIN_PUMP_DELAY_S = 0.0005


class ProxyChannel:
    """Queues messages in the channel, and writes them to the links when the channel releases them."""

    def __init__(self, context: Context, channel: Channel, registry: LinkRegistry) -> None:
        self._context = context
        self._channel = channel
        self._registry = registry
        self._timer: asyncio.TimerHandle | None = None

    def submit(self, frame: bytes, cost_lines: int, proxies: tuple[int, ...]) -> None:
        """Send a frame that needs no acknowledgement. cost_lines: its cost in the channel; proxies: proxy numbers."""
        self.queue(self._context.clock(), SendFrame(frame, cost_lines, NO_VERSION, proxies))
        self.pump()

    def queue(self, now_ms: float, message: SendFrame) -> None:
        """Queue a message. Links whose queue is full are closed; their proxies reconnect and read all tables."""
        try:
            queued = Message(message.frame, message.cost_lines, message.version, now_ms, message.orders)
            self._channel.submit(queued, message.proxies, is_urgent=message.is_urgent)
        except QueueFullError as error:
            for proxy in error.proxies:
                if link := self._registry.proxies.get(proxy):
                    self._context.rate_limited_log.warn(
                        "slow link closed", proxy=proxy, why="its queue in the channel is full"
                    )
                    link.close(CloseCode.OVERRUN, "the channel is full: read the store")

    def pump(self) -> None:
        """Send the released messages, and schedule the next call for when more are released."""
        if self._context.lifecycle.is_paused:
            return
        now_ms = self._context.clock()
        self._send_due(now_ms)
        self._publish_metrics()
        self.pause()
        next_at_ms = self._channel.next_due_at_ms(now_ms)
        if next_at_ms is not None and self._context.lifecycle.is_running:
            delay_s = max(MIN_PUMP_DELAY_S, (next_at_ms - now_ms) / 1000.0)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self.pump)

    def pause(self) -> None:
        """Stop sending until `pump` is called."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _send_due(self, now_ms: float) -> None:
        for proxy, message in self._channel.take_due(now_ms):
            link = self._registry.proxies.get(proxy)
            if link is None:
                continue
            if message.version >= 0 and not link.link.add_unacked(message.submitted_at_ms, message.version):
                link.close(CloseCode.NO_ACKS, "too many marks are not acked")
                continue
            link.send(message.frame)

    def _publish_metrics(self) -> None:
        metrics = self._context.metrics
        channel = self._channel
        metrics.channel_queued_lines.set(channel.queued_lines)
        metrics.channel_max_queued_lines.set(channel.max_queued_lines)
        metrics.lines_sent.inc(channel.lines_sent)
        metrics.messages_sent.inc(channel.messages_sent)
        metrics.orders_overtaken.inc(channel.messages_overtaken)
        channel.lines_sent = 0
        channel.messages_sent = 0
        channel.messages_overtaken = 0
