"""The channel: queues messages for proxies and releases them at a limited rate, urgent ones first. It does no I/O.

Times are in milliseconds. A message costs its lines and an overhead at each proxy. The queued lines, overheads
included, never exceed `ChannelLimits.max_queued_lines`. A proxy receives at most `max_messages` per window, counted
since it joined. A proxy whose socket is blocked may use no more than its share of the queue.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable

from .limits import ChannelLimits, QueueFullError
from .merge import is_overtakable
from .overtaking import overtake
from .proxy_queue import Message, ProxyQueue

MAX_CATCH_UP_MS = 50.0
"""Maximum time by which a channel that is called late catches up. A channel that was idle sends immediately."""


class Channel:
    """Queues messages for each joined proxy, and releases them at the configured rate.

    schedules: for urgent and for ordinary messages, the queues in sending order, with one entry for each message.
    delayed_queues: queues that reached the message limit, as a heap by the time at which they may send again.
    writable_queues: queues whose sockets accept data again. free_at_ms: time at which the next message may be released.
    """

    def __init__(self, limits: ChannelLimits) -> None:
        self.limits = limits
        self.queues: dict[int, ProxyQueue] = {}
        self.schedules: tuple[deque[ProxyQueue], deque[ProxyQueue]] = (deque(), deque())
        self.delayed_queues: list[tuple[float, int, ProxyQueue]] = []
        self.writable_queues: deque[ProxyQueue] = deque()
        self.queued_lines = 0.0
        self.max_queued_lines = 0.0  # highest value of `queued_lines` so far
        self.free_at_ms = 0.0
        self.lines_sent = 0
        self.messages_sent = 0
        self.messages_overtaken = 0
        self._delay_count = 0  # breaks ties between entries of `delayed_queues` that are due at the same time

    def join(self, proxy: int) -> None:
        """Create a queue for the proxy. Messages queued for its previous connection are dropped."""
        self.leave(proxy)
        self.queues[proxy] = ProxyQueue(proxy)

    def leave(self, proxy: int) -> None:
        """Remove the proxy's queue; its entries in `schedules` are skipped later."""
        queue = self.queues.pop(proxy, None)
        if queue is None:
            return
        self.queued_lines -= queue.queued_lines
        for message in (*queue.urgent, *queue.ordinary):
            message.queue_count -= 1
        if not self.queues:
            self.queued_lines = 0.0  # prevents the accumulation of rounding errors

    def cost(self, message: Message) -> float:
        """Return the cost of the message at each proxy, in lines."""
        return self.limits.message_overhead_lines + message.cost_lines

    def set_blocked(self, proxy: int, *, is_blocked: bool) -> None:
        """Record that the proxy's socket is blocked, or accepts data again (then call `take_due`)."""
        queue = self.queues.get(proxy)
        if queue is None or queue.is_blocked == is_blocked:
            return
        queue.is_blocked = is_blocked
        if not is_blocked and queue.released:
            self.writable_queues.append(queue)

    # Queueing.

    def submit(self, message: Message, proxies: Iterable[int], *, is_urgent: bool = False) -> None:
        """Queue a message for each of the proxies that has joined; an urgent one overtakes queued messages if possible.

        Raises `QueueFullError` with the proxies whose queues lack capacity; for the others the message is queued. This
        guards against an assigner that exceeds its line budget, and against a blocked socket that fills the queue.
        """
        if not is_overtakable(message.orders):
            message.orders = None
        queues = [queue for proxy in proxies if (queue := self.queues.get(proxy))]
        nonempty_queues = [queue for queue in queues if queue.ordinary]
        merged = self._overtake(message, nonempty_queues) if is_urgent else None
        overtaken_queues = set(nonempty_queues)
        rejecting_proxies = []
        for queue in queues:
            has_ordinary = queue in overtaken_queues
            queued = merged if merged and has_ordinary else message
            is_sent_first = is_urgent and (merged is not None or not has_ordinary)
            if not self._enqueue(queue, queued, is_urgent=is_sent_first):
                rejecting_proxies.append(queue.proxy)
        self.max_queued_lines = max(self.max_queued_lines, self.queued_lines)
        if rejecting_proxies:
            raise QueueFullError(rejecting_proxies)

    def _overtake(self, message: Message, queues: list[ProxyQueue]) -> Message | None:
        merged = overtake(message, queues)
        if merged is None:
            return None
        for queue in queues:
            lines = sum(self.cost(queued) for queued in (*queue.urgent, *queue.ordinary))
            self.queued_lines += lines - queue.queued_lines
            queue.queued_lines = lines
        self.messages_overtaken += len(queues)
        return merged

    def _enqueue(self, queue: ProxyQueue, message: Message, *, is_urgent: bool) -> bool:
        """Add the message to the queue; return false if capacity is lacking."""
        cost = self.cost(message)
        share = self.limits.max_queued_lines / max(1, len(self.queues))
        exceeds_share = queue.is_blocked and queue.message_count and queue.queued_lines + cost > share
        if exceeds_share or self.queued_lines + cost > self.limits.max_queued_lines:
            return False
        (queue.urgent if is_urgent else queue.ordinary).append(message)
        urgent_schedule, ordinary_schedule = self.schedules
        (urgent_schedule if is_urgent else ordinary_schedule).append(queue)
        message.queue_count += 1
        queue.queued_lines += cost
        self.queued_lines += cost
        return True

    # Sending.

    def take_due(self, now_ms: float) -> list[tuple[int, Message]]:
        """Return the messages that are due at `now_ms`, each with its proxy, in sending order.

        Call it again at `next_due_at_ms`, and when a socket accepts data again.
        """
        due: list[tuple[int, Message]] = []
        while self.delayed_queues and self.delayed_queues[0][0] <= now_ms:
            queue = heapq.heappop(self.delayed_queues)[2]
            queue.is_delayed = False
            self._flush(queue, now_ms, due)
        while self.writable_queues:
            self._flush(self.writable_queues.popleft(), now_ms, due)
        urgent_schedule, ordinary_schedule = self.schedules
        while self.free_at_ms <= now_ms and (urgent_schedule or ordinary_schedule):
            queue = (urgent_schedule or ordinary_schedule).popleft()
            if self.queues.get(queue.proxy) is not queue or queue.released >= queue.message_count:
                continue  # the proxy has left, or an urgent message took over all lines of this one
            cost = self.cost((*queue.urgent, *queue.ordinary)[queue.released])
            self.free_at_ms = (
                max(self.free_at_ms, now_ms - MAX_CATCH_UP_MS) + cost * 1000.0 / self.limits.lines_per_second
            )
            queue.released += 1
            self._flush(queue, now_ms, due)
        return due

    def _flush(self, queue: ProxyQueue, now_ms: float, due: list[tuple[int, Message]]) -> None:
        """Append the released messages to `due`, urgent ones first, unless message limit or socket prevent it."""
        if self.queues.get(queue.proxy) is not queue:
            return
        queue.released = min(queue.released, queue.message_count)
        while queue.released and not queue.is_blocked and not self._is_at_message_limit(queue, now_ms):
            message = (queue.urgent or queue.ordinary).popleft()
            queue.released -= 1
            message.queue_count -= 1
            if self.limits.max_messages:
                queue.sent_at_ms.append(now_ms)
            cost = self.cost(message)
            queue.queued_lines -= cost
            self.queued_lines -= cost
            self.lines_sent += message.cost_lines
            self.messages_sent += 1
            due.append((queue.proxy, message))
        if queue.released and not queue.is_blocked and not queue.is_delayed:
            self._delay_count += 1
            queue.is_delayed = True
            may_send_at_ms = queue.sent_at_ms[0] + self.limits.message_window_ms
            heapq.heappush(self.delayed_queues, (may_send_at_ms, self._delay_count, queue))

    def _is_at_message_limit(self, queue: ProxyQueue, now_ms: float) -> bool:
        if not self.limits.max_messages:
            return False
        while queue.sent_at_ms and queue.sent_at_ms[0] <= now_ms - self.limits.message_window_ms:
            queue.sent_at_ms.popleft()
        return len(queue.sent_at_ms) >= self.limits.max_messages

    def next_due_at_ms(self, now_ms: float) -> float | None:
        """Return the time at which `take_due` may return messages; None if none are queued or all wait for sockets."""
        times = []
        if any(self.schedules):
            times.append(max(now_ms, self.free_at_ms))
        if self.delayed_queues:
            times.append(self.delayed_queues[0][0])
        if self.writable_queues:
            times.append(now_ms)
        return min(times, default=None)
