"""Sends to proxies what the paced channel releases."""

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
    """Queues messages in the channel, and writes them to the links when the channel lets them go."""

    def __init__(self, context: Context, channel: Channel, registry: LinkRegistry) -> None:
        self._context = context
        self._channel = channel
        self._registry = registry
        self._timer: asyncio.TimerHandle | None = None

    def submit(self, data: bytes, lines: int, to: tuple[int, ...]) -> None:
        """Send a frame that is no order of the assigner's. lines: what it costs; to: numbers of proxies."""
        self.queue(self._context.clock(), SendFrame(data, lines, NO_VERSION, to))
        self.pump()

    def queue(self, now: float, message: SendFrame) -> None:
        """Put a message into the channel. Links whose queue is full are closed: their proxies read the tables anew."""
        try:
            queued = Message(message.frame, message.cost_lines, message.version, now, message.orders)
            self._channel.submit(queued, message.proxies, is_urgent=message.is_urgent)
        except QueueFullError as error:
            for proxy in error.proxies:
                if link := self._registry.proxies.get(proxy):
                    self._context.rate_limited_log.warn("link cut off", proxy=proxy, why="the channel is full")
                    link.close(CloseCode.OVERRUN, "the channel is full: read the store")

    def pump(self) -> None:
        """Send what the channel lets go by now, and come again when it lets go more."""
        if self._context.lifecycle.is_paused:
            return
        now = self._context.clock()
        self._send_due(now)
        self._publish_metrics()
        self.pause()
        next_at = self._channel.next_due_at(now)
        if next_at is not None and self._context.lifecycle.is_running:
            delay = max(MIN_PUMP_DELAY_S, (next_at - now) / 1000.0)
            self._timer = asyncio.get_running_loop().call_later(delay, self.pump)

    def pause(self) -> None:
        """Send nothing more until `pump` is called."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _send_due(self, now: float) -> None:
        for proxy, message in self._channel.take_due(now):
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
