"""The channel: messages wait here until the rate lets them go, urgent ones first. Pure.

Times are milliseconds. A message costs its lines and an overhead at each proxy. The lines that wait, overheads
included, never exceed `ChannelLimits.max_queued_lines`; a proxy gets at most `max_messages` in a window, counted from
its joining. A proxy whose socket is blocked may fill no more than its share of the queue.
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
"""A channel that was idle sends at once; one that is called late catches up by at most this time."""


class Channel:
    """Queues messages for each joined proxy, and releases them at the configured rate.

    schedules: one entry for each message that waits, urgent ones and ordinary ones: the queue that sends next.
    delayed_queues: held back by the bound on messages, as a heap by the time at which they may send. writable_queues:
    their sockets accept data again. free_at_ms: when the next message may be released.
    """

    def __init__(self, limits: ChannelLimits) -> None:
        self.limits = limits
        self.queues: dict[int, ProxyQueue] = {}
        self.schedules: tuple[deque[ProxyQueue], deque[ProxyQueue]] = (deque(), deque())
        self.delayed_queues: list[tuple[float, int, ProxyQueue]] = []
        self.writable_queues: deque[ProxyQueue] = deque()
        self.queued_lines = 0.0
        self.max_queued_lines = 0.0  # the most that ever waited
        self.free_at_ms = 0.0
        self.lines_sent = 0
        self.messages_sent = 0
        self.messages_overtaken = 0
        self._delay_count = 0  # orders entries of `delayed_queues` that are due at the same time

    def join(self, proxy: int) -> None:
        """Begin a queue for the proxy. What waited for its former link is dropped."""
        self.leave(proxy)
        self.queues[proxy] = ProxyQueue(proxy)

    def leave(self, proxy: int) -> None:
        """Drop the proxy's queue; its entries in `schedules` are skipped when they come up."""
        queue = self.queues.pop(proxy, None)
        if queue is None:
            return
        self.queued_lines -= queue.queued_lines
        for message in (*queue.urgent, *queue.ordinary):
            message.queue_count -= 1
        if not self.queues:
            self.queued_lines = 0.0  # do not accumulate rounding errors

    def cost(self, message: Message) -> float:
        """What the message costs at each proxy, in lines."""
        return self.limits.message_overhead_lines + message.cost_lines

    def set_blocked(self, proxy: int, *, is_blocked: bool) -> None:
        """Note that the proxy's socket accepts no more data, or accepts it again (call `take_due` then)."""
        queue = self.queues.get(proxy)
        if queue is None or queue.is_blocked == is_blocked:
            return
        queue.is_blocked = is_blocked
        if not is_blocked and queue.released:
            self.writable_queues.append(queue)

    # ---- in --------------------------------------------------------------------------------------------

    def submit(self, message: Message, proxies: Iterable[int], *, is_urgent: bool = False) -> None:
        """Queue a message for each of the proxies that is joined; an urgent one overtakes those that wait.

        Raises `QueueFullError` with the proxies for which there is no room; for the others it is queued. That guards
        against an assigner that overruns the queue (it keeps within it by itself), and against a blocked socket that
        fills it.
        """
        if not is_overtakable(message.orders):
            message.orders = None
        queues = [queue for proxy in proxies if (queue := self.queues.get(proxy))]
        occupied = [queue for queue in queues if queue.ordinary]
        ahead = self._overtake(message, occupied) if is_urgent else None
        behind = set(occupied)
        full = []
        for queue in queues:
            has_waiting = queue in behind
            queued = ahead if ahead and has_waiting else message
            goes_first = is_urgent and (ahead is not None or not has_waiting)
            if not self._enqueue(queue, queued, is_urgent=goes_first):
                full.append(queue.proxy)
        self.max_queued_lines = max(self.max_queued_lines, self.queued_lines)
        if full:
            raise QueueFullError(full)

    def _overtake(self, message: Message, queues: list[ProxyQueue]) -> Message | None:
        ahead = overtake(message, queues)
        if ahead is None:
            return None
        for queue in queues:
            lines = sum(self.cost(waiter) for waiter in (*queue.urgent, *queue.ordinary))
            self.queued_lines += lines - queue.queued_lines
            queue.queued_lines = lines
        self.messages_overtaken += len(queues)
        return ahead

    def _enqueue(self, queue: ProxyQueue, message: Message, *, is_urgent: bool) -> bool:
        """Add the message to the queue; false if there is no room."""
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

    # ---- out -------------------------------------------------------------------------------------------

    def take_due(self, now: float) -> list[tuple[int, Message]]:
        """Return proxy and message of all that leave by `now`, in order.

        Call again at `next_due_at`, and when a socket accepts data again.
        """
        due: list[tuple[int, Message]] = []
        while self.delayed_queues and self.delayed_queues[0][0] <= now:
            queue = heapq.heappop(self.delayed_queues)[2]
            queue.is_delayed = False
            self._flush(queue, now, due)
        while self.writable_queues:
            self._flush(self.writable_queues.popleft(), now, due)
        urgent_schedule, ordinary_schedule = self.schedules
        while self.free_at_ms <= now and (urgent_schedule or ordinary_schedule):
            queue = (urgent_schedule or ordinary_schedule).popleft()
            if self.queues.get(queue.proxy) is not queue or queue.released >= queue.message_count:
                continue  # for a link that is gone, or a message that an urgent one left nothing of
            cost = self.cost((*queue.urgent, *queue.ordinary)[queue.released])
            self.free_at_ms = max(self.free_at_ms, now - MAX_CATCH_UP_MS) + cost * 1000.0 / self.limits.lines_per_second
            queue.released += 1
            self._flush(queue, now, due)
        return due

    def _flush(self, queue: ProxyQueue, now: float, due: list[tuple[int, Message]]) -> None:
        """Send the released messages, urgent ones first, unless the bound on messages or the socket holds them back."""
        if self.queues.get(queue.proxy) is not queue:
            return
        queue.released = min(queue.released, queue.message_count)
        while queue.released and not queue.is_blocked and not self._is_at_message_bound(queue, now):
            message = (queue.urgent or queue.ordinary).popleft()
            queue.released -= 1
            message.queue_count -= 1
            if self.limits.max_messages:
                queue.sent_at_ms.append(now)
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

    def _is_at_message_bound(self, queue: ProxyQueue, now: float) -> bool:
        if not self.limits.max_messages:
            return False
        while queue.sent_at_ms and queue.sent_at_ms[0] <= now - self.limits.message_window_ms:
            queue.sent_at_ms.popleft()
        return len(queue.sent_at_ms) >= self.limits.max_messages

    def next_due_at(self, now: float) -> float | None:
        """When `take_due` may return something; None while nothing waits except for sockets."""
        times = []
        if any(self.schedules):
            times.append(max(now, self.free_at_ms))
        if self.delayed_queues:
            times.append(self.delayed_queues[0][0])
        if self.writable_queues:
            times.append(now)
        return min(times, default=None)
