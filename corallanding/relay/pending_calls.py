"""Orders that the relay has not confirmed, and the calls that carry them. Pure.

One call is outstanding. Every order sets a state, so only the latest of each key counts: orders that wait behind a
call are merged. A call of which nobody knows whether it was carried out goes back under what waits and is sent again
with it. No order is dropped unless the relay says that it cannot be used.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

import msgspec

from .. import interface as api
from ..json_errors import JSON_DECODE_ERRORS
from .call import Call, CallAnswer, build_call
from .channel import ChannelEstimate
from .orders import Order, OrderKey, OrderKind, TableOrder, encode, key

SLICE_KINDS = (OrderKind.TABLE_ENTRY, OrderKind.TABLE_RESET, OrderKind.ADMISSION)
MAX_ANSWER_DELAY_MS = 50.0  # within this the relay carries a call out and answers it, or never
WINDOW_MARGIN_MS = 1.0  # whether the last instant of a message window belongs to it is not known
MIN_BACKOFF_MS = 20.0  # after a call that failed; doubles with each further one
MAX_BACKOFF_MS = 500.0
MAX_BACKOFF_DOUBLINGS = 10
MAX_QUOTED_BYTES = 300  # of a call in a warning


class PendingCalls:
    """What waits for the relay, and what is in flight.

    `request_classes` are their names, by number. At most `max_messages` (0: no limit) may reach each proxy within
    `message_window_ms`; every call that may have been carried out counts, also those that were sent again, and so it
    does in `channel`. `warnings` holds lines for the log until the owner takes them.
    """

    def __init__(
        self,
        request_classes: list[str],
        max_messages: int = 0,
        message_window_ms: float = 10_000.0,
        channel: ChannelEstimate | None = None,
    ) -> None:
        self.request_classes = request_classes
        self.max_messages = max_messages
        self.message_window_ms = message_window_ms
        self.channel = channel or ChannelEstimate()
        self.waiting: dict[OrderKey, Order] = {}
        self.in_flight: Call | None = None
        self.unconfirmed: Call | None = None  # the last call of which nobody knew whether it was carried out
        # When calls became messages, at the latest: the first of a window may have become one later after its sending
        # than the last did, and must not count as out of the window before.
        self.message_times: deque[float] = deque()
        self.last_id = 0
        self.failures = 0  # consecutive
        self.not_before_ms = 0.0
        self.counts = {"calls": 0, "unknown": 0, "refused": 0, "turned away": 0}
        self.warnings: list[str] = []

    def add(self, orders: Iterable[Order]) -> None:
        """Take orders; each replaces one with the same key that waits."""
        for order in orders:
            if isinstance(order, api.ResetTable):
                self._drop_waiting((OrderKind.TABLE_ENTRY,), order.slice)
            order_key = key(order)
            self.waiting.pop(order_key, None)
            self.waiting[order_key] = order

    def forget_slice(self, slice_id: int) -> None:
        """The slice was taken from this controller: orders on it that wait or are in flight no longer count.

        Otherwise an old table entry could come back with a call of unknown outcome after the slice was given again, and
        the table would hold a host of which the assigner does not know.
        """
        self._drop_waiting(SLICE_KINDS, slice_id)
        for call in (self.in_flight, self.unconfirmed):
            if call:
                call.void_slices.add(slice_id)

    def _drop_waiting(self, kinds: tuple[OrderKind, ...], slice_id: int) -> None:
        for order_key in [found for found in self.waiting if found.kind in kinds and found.target == slice_id]:
            del self.waiting[order_key]

    def unconfirmed_table_orders(self) -> list[TableOrder]:
        """Return the table orders that are not confirmed, in the order in which they apply."""
        in_flight = self.in_flight.valid_orders(self.in_flight.orders) if self.in_flight else []
        return [order for order in (*in_flight, *self.waiting.values()) if isinstance(order, TableOrder)]

    def next_send_ms(self, now_ms: float) -> float | None:
        """Return when a call may be sent; None while nothing waits or a call is outstanding."""
        if self.in_flight or not self.waiting:
            return None
        send_at_ms = max(now_ms, self.not_before_ms)
        window_ms = self.message_window_ms + WINDOW_MARGIN_MS
        while self.message_times and self.message_times[0] + window_ms <= now_ms:
            self.message_times.popleft()
        if self.max_messages and len(self.message_times) >= self.max_messages:
            send_at_ms = max(send_at_ms, self.message_times[0] + window_ms)
        return max(send_at_ms, self.channel.earliest_send_ms(now_ms, len(self.waiting)))

    def next_call(self, now_ms: float) -> Call | None:
        """Return the call to be sent now, if any; it is in flight from then on."""
        send_at_ms = self.next_send_ms(now_ms)
        if send_at_ms is None or send_at_ms > now_ms:
            return None
        self.last_id += 1
        self.in_flight = build_call(self.last_id, self.waiting.values(), self.request_classes)
        for order in self.in_flight.orders:
            del self.waiting[key(order)]
        self.message_times.append(now_ms)
        self.channel.on_call_sent(now_ms, len(self.in_flight.orders))
        self.counts["calls"] += 1
        return self.in_flight

    # ---- outcomes ----------------------------------------------------------------------------------------

    def on_answer(self, now_ms: float, line: bytes) -> list[Order] | None:
        """Take a line from the relay.

        Returns the orders that it confirms, or None if it leaves unknown whether the call in flight was carried out.
        """
        call = self.in_flight
        if call is None:
            return []
        try:
            answer = msgspec.json.decode(line, type=CallAnswer)
        except JSON_DECODE_ERRORS:
            return None
        if type(answer.id) is int and 0 < answer.id < call.id:
            return []  # an echo of a call that has ended: it says nothing of this one
        if answer.id != call.id or isinstance(answer.id, bool):
            return None
        if answer.error is not None:
            return self.on_error(now_ms, call, answer.error)
        taken = answer.result.get("taken") if isinstance(answer.result, dict) else None
        if not isinstance(taken, int) or isinstance(taken, bool) or not 0 <= taken <= len(call.orders):
            return None
        return self._on_taken(now_ms, call, taken)

    def _on_taken(self, now_ms: float, call: Call, taken: int) -> list[Order]:
        """The relay carried out the first `taken` orders; it cannot use the next one, and did not look at the rest."""
        self.record_message(now_ms)
        self.in_flight = None
        self.unconfirmed = None
        self.failures = 0
        self.not_before_ms = 0.0
        if taken < len(call.orders):
            rejected = encode(call.orders[taken], self.request_classes).decode()
            self.counts["refused"] += 1
            self.warnings.append(f"the relay cannot use {rejected}: left out")
            self.requeue(call.valid_orders(call.orders[taken + 1 :]))
        return call.valid_orders(call.orders[:taken])

    def on_error(self, now_ms: float, call: Call, error: Any) -> list[Order] | None:
        """Take an error answer: if it is one that is known, nothing was carried out."""
        text = str(error)
        if "Throttling" in text:
            self.counts["turned away"] += 1
            self.record_no_message(now_ms)
            self.in_flight = None
            self.requeue(call.valid_orders(call.orders))
            self.back_off(now_ms)
            return []
        if "ValidationError" in text:
            self.counts["refused"] += 1
            self.record_no_message(now_ms)
            self.warnings.append(f"the relay calls this no call, it is dropped: {call.line[:MAX_QUOTED_BYTES]!r}")
            self.in_flight = None
            return []
        return None

    def on_outcome_unknown(self, now_ms: float) -> None:
        """No usable answer came: the call was carried out, or not at all. It is sent again, with what waits."""
        call = self.in_flight
        if call is None:
            return
        self.counts["unknown"] += 1
        self.record_message(max(now_ms, self.message_times[-1] + MAX_ANSWER_DELAY_MS))
        self.in_flight = None
        self.unconfirmed = call
        self.requeue(call.valid_orders(call.orders))
        if self.failures:
            self.back_off(now_ms)
        self.failures += 1

    def on_version_applied(self, version: int) -> list[Order]:
        """A proxy has applied a version: a call that held it was carried out. Returns the orders that it confirms."""
        call = self.unconfirmed
        if not call or not any(isinstance(o, api.PublishVersion) and o.version == version for o in call.orders):
            return []
        self.unconfirmed = None
        confirmed = call.valid_orders(call.orders)
        for order in confirmed:
            if self.waiting.get(key(order)) is order:
                del self.waiting[key(order)]
        return confirmed

    def on_not_sent(self, now_ms: float) -> None:
        """The relay cannot be reached: nothing was sent, everything still waits."""
        self.back_off(now_ms)

    def record_message(self, at_ms: float) -> None:
        """The call in flight became a message by `at_ms`, if it ever does."""
        self.message_times[-1] = at_ms
        self.channel.on_call_ended(at_ms)

    def record_no_message(self, now_ms: float) -> None:
        """The call in flight became no message."""
        self.message_times.pop()
        self.channel.on_call_ended(now_ms, was_carried_out=False)

    def back_off(self, now_ms: float) -> None:
        """Send nothing for a while, longer with each consecutive failure."""
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.not_before_ms = now_ms + min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0**doublings)
        self.failures += 1

    def requeue(self, orders: list[Order]) -> None:
        """Put orders back under what waits: one with the same key that came later replaces them."""
        reset_slices = {order_key.target for order_key in self.waiting if order_key.kind is OrderKind.TABLE_RESET}
        returned = {
            key(order): order
            for order in orders
            if not (isinstance(order, api.SetWeight) and order.slice in reset_slices)
        }
        older = {order_key: order for order_key, order in returned.items() if order_key not in self.waiting}
        self.waiting = {**older, **self.waiting}
