"""Orders that the relay has not confirmed, and the calls that send them. No I/O.

At most one call is in flight. Every order sets a state, so only the latest order of each key matters: orders that wait
behind a call are merged. After a call with an unknown outcome its orders are queued and sent again, unless a newer
order with the same key is waiting. An order is dropped only if the relay rejects it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

import msgspec

from .. import interface as api
from ..assignment.message_limit import MessageLimit
from ..json_errors import JSON_DECODE_ERRORS
from .call import Call, CallAnswer, build_call
from .channel import ChannelEstimate
from .orders import Order, OrderKey, OrderKind, TableOrder, encode, key

SLICE_KINDS = (OrderKind.TABLE_ENTRY, OrderKind.TABLE_RESET, OrderKind.ADMISSION)
MAX_ANSWER_DELAY_MS = 50.0  # the relay executes and answers a call within this time, or never
MIN_BACKOFF_MS = 20.0  # after a failed call; doubles with each consecutive failure
MAX_BACKOFF_MS = 500.0
MAX_BACKOFF_DOUBLINGS = 10
MAX_QUOTED_BYTES = 300  # longest part of a rejected call in a warning
NO_MESSAGE_LIMIT = MessageLimit(0, 0.0, 1.0)


class PendingCalls:
    """The orders waiting for the relay, and the call in flight.

    `request_classes` are the names of the request classes, indexed by number. Every call that may have been carried out
    counts against `message_limit` and in `channel`, also one that is sent again. `warnings` holds log lines until the
    owner takes and clears them.
    """

    def __init__(
        self,
        request_classes: list[str],
        message_limit: MessageLimit = NO_MESSAGE_LIMIT,
        channel: ChannelEstimate | None = None,
    ) -> None:
        self.request_classes = request_classes
        self.message_limit = message_limit
        self.channel = channel or ChannelEstimate()
        self.waiting: dict[OrderKey, Order] = {}
        self.in_flight: Call | None = None
        self.unconfirmed: Call | None = None  # the last call whose outcome was unknown
        # Latest possible times at which calls became messages, in ms. The delay between call and message varies, so the
        # window counts each message from its latest possible time.
        self.message_times: deque[float] = deque()
        self.last_id = 0
        self.failures = 0  # consecutive failed calls
        self.not_before_ms = 0.0
        self.counts = {"calls": 0, "unknown": 0, "refused": 0, "turned away": 0, "proven": 0}
        self.warnings: list[str] = []

    def add(self, orders: Iterable[Order]) -> None:
        """Queue orders; each replaces a waiting order with the same key."""
        for order in orders:
            if isinstance(order, api.ResetTable):
                self._drop_waiting((OrderKind.TABLE_ENTRY,), order.slice)
            order_key = key(order)
            self.waiting.pop(order_key, None)
            self.waiting[order_key] = order

    def forget_slice(self, slice_id: int) -> None:
        """Drop waiting orders on a slice taken from this controller, and ignore those of calls in flight.

        Otherwise a call of unknown outcome could send an old table entry again after the slice was assigned back to
        this controller, and the table would hold a host that the assigner does not know of.
        """
        self._drop_waiting(SLICE_KINDS, slice_id)
        for call in (self.in_flight, self.unconfirmed):
            if call:
                call.revoked_slices.add(slice_id)

    def _drop_waiting(self, kinds: tuple[OrderKind, ...], slice_id: int) -> None:
        for order_key in [found for found in self.waiting if found.kind in kinds and found.target == slice_id]:
            del self.waiting[order_key]

    def unconfirmed_table_orders(self) -> list[TableOrder]:
        """Return the unconfirmed table orders, in the order in which they apply."""
        in_flight = self.in_flight.valid_orders(self.in_flight.orders) if self.in_flight else []
        return [order for order in (*in_flight, *self.waiting.values()) if isinstance(order, TableOrder)]

    def next_send_ms(self, now_ms: float) -> float | None:
        """Return the time from which a call may be sent; None if no order waits or a call is in flight."""
        if self.in_flight or not self.waiting:
            return None
        send_at_ms = max(now_ms, self.not_before_ms)
        while self.message_times and self.message_times[0] + self.message_limit.window_ms <= now_ms:
            self.message_times.popleft()
        send_at_ms = max(send_at_ms, self.message_limit.earliest_send_ms(self.message_times))
        return max(send_at_ms, self.channel.earliest_send_ms(now_ms, len(self.waiting)))

    def next_call(self, now_ms: float) -> Call | None:
        """Return the call to send now, if any, and mark it as in flight."""
        send_at_ms = self.next_send_ms(now_ms)
        if send_at_ms is None or send_at_ms > now_ms:
            return None
        self.last_id += 1
        max_orders = self.channel.max_orders()
        self.in_flight = build_call(self.last_id, self.waiting.values(), self.request_classes, max_orders)
        for order in self.in_flight.orders:
            del self.waiting[key(order)]
        self.message_times.append(now_ms)
        self.channel.on_call_sent(now_ms, len(self.in_flight.orders))
        self.counts["calls"] += 1
        return self.in_flight

    # ---- outcomes ----------------------------------------------------------------------------------------

    def on_answer(self, now_ms: float, line: bytes) -> list[Order] | None:
        """Process a line from the relay.

        Return the confirmed orders, or None if it remains unknown whether the call in flight was carried out.
        """
        call = self.in_flight
        if call is None:
            return []
        try:
            answer = msgspec.json.decode(line, type=CallAnswer)
        except JSON_DECODE_ERRORS:
            return None
        if type(answer.id) is int and 0 < answer.id < call.id:
            return []  # a repeated answer to an earlier call
        if answer.id != call.id or isinstance(answer.id, bool):
            return None
        if answer.error is not None:
            return self.on_error(now_ms, call, answer.error)
        taken = answer.result.get("taken") if isinstance(answer.result, dict) else None
        if not isinstance(taken, int) or isinstance(taken, bool) or not 0 <= taken <= len(call.orders):
            return None
        return self._on_taken(now_ms, call, taken)

    def _on_taken(self, now_ms: float, call: Call, taken: int) -> list[Order]:
        """Confirm the first `taken` orders; the relay rejected the next one, if any, and ignored the rest."""
        self.record_message_time(now_ms)
        self.in_flight = None
        self.unconfirmed = None
        self.failures = 0
        self.not_before_ms = 0.0
        if taken < len(call.orders):
            rejected = encode(call.orders[taken], self.request_classes).decode()
            self.counts["refused"] += 1
            self.warnings.append(f"the relay rejected an order, which is dropped: {rejected}")
            self.requeue(call.valid_orders(call.orders[taken + 1 :]))
        return call.valid_orders(call.orders[:taken])

    def on_error(self, now_ms: float, call: Call, error: Any) -> list[Order] | None:
        """Process an error answer. A known error means that no order was carried out; return None for any other."""
        text = str(error)
        if "Throttling" in text:
            self.counts["turned away"] += 1
            self.discard_message_time(now_ms)
            self.in_flight = None
            self.requeue(call.valid_orders(call.orders))
            self.back_off(now_ms)
            return []
        if "ValidationError" in text:
            self.counts["refused"] += 1
            self.discard_message_time(now_ms)
            self.warnings.append(
                f"the relay rejected a call as invalid, it is dropped: {call.line[:MAX_QUOTED_BYTES]!r}"
            )
            self.in_flight = None
            return []
        return None

    def on_outcome_unknown(self, now_ms: float) -> None:
        """Requeue the orders of a call without a usable answer: it was carried out completely, or not at all."""
        call = self.in_flight
        if call is None:
            return
        self.counts["unknown"] += 1
        self.record_message_time(max(now_ms, self.message_times[-1] + MAX_ANSWER_DELAY_MS))
        self.in_flight = None
        self.unconfirmed = call
        self.requeue(call.valid_orders(call.orders))
        if self.failures:
            self.back_off(now_ms)
        self.failures += 1

    def on_version_applied(self, version: int) -> list[Order]:
        """Return the orders confirmed by a proxy that has applied `version`: the call with it was carried out."""
        call = self.unconfirmed
        if not call or not any(isinstance(o, api.PublishVersion) and o.version == version for o in call.orders):
            return []
        self.unconfirmed = None
        self.counts["proven"] += 1
        confirmed = call.valid_orders(call.orders)
        for order in confirmed:
            if self.waiting.get(key(order)) is order:
                del self.waiting[key(order)]
        return confirmed

    def on_not_sent(self, now_ms: float) -> None:
        """Back off after the relay could not be reached; no order was sent."""
        self.back_off(now_ms)

    def record_message_time(self, at_ms: float) -> None:
        """Record that the call in flight became a message by `at_ms`, if at all."""
        self.message_times[-1] = at_ms
        self.channel.on_call_ended(at_ms)

    def discard_message_time(self, now_ms: float) -> None:
        """Record that the call in flight did not become a message."""
        self.message_times.pop()
        self.channel.on_call_ended(now_ms, was_carried_out=False)

    def back_off(self, now_ms: float) -> None:
        """Delay the next call, exponentially longer with each consecutive failure."""
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.not_before_ms = now_ms + min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0**doublings)
        self.failures += 1

    def requeue(self, orders: list[Order]) -> None:
        """Put orders back before the waiting ones; those replaced by a newer waiting order are dropped."""
        reset_slices = {order_key.target for order_key in self.waiting if order_key.kind is OrderKind.TABLE_RESET}
        requeued = {
            key(order): order
            for order in orders
            if not (isinstance(order, api.SetWeight) and order.slice in reset_slices)
        }
        older = {order_key: order for order_key, order in requeued.items() if order_key not in self.waiting}
        self.waiting = {**older, **self.waiting}
