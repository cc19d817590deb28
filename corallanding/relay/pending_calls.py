"""Orders that the relay has not confirmed, and calls made of them. Pure.

One call is outstanding. Every order sets a state, so the newest of each kind and place is all that counts: what waits
behind a call is merged, and a call of which nobody knows whether it was carried out goes back under what waits and is
sent again with it. What the module ordered is never dropped but where the relay says it cannot be used.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from .. import interface as api
from ..json_errors import JSON_DECODE_ERRORS
from .channel import Channel
from .orders import Key, Order, encode, key, rank

TABLE = api.SetWeight | api.ResetTable | api.SetAdmission  # orders on one table
CALL_MOST = 60_000  # bytes of orders in one call
ANSWER_MOST = 50.0  # ms: within this the relay carries a call out and answers it, or never
EDGE = 1.0  # ms: whether the last instant of a span belongs to it is not ours to say
FIRST, AGAIN_MOST = 20.0, 500.0  # ms to wait after a call that failed, doubled each time up to the most


class Answer(msgspec.Struct):
    id: Any = None
    result: Any = None
    error: Any = None


@dataclass
class Call:
    """bytes: the line to send. orders: what it holds, in turn. void: slices taken away since it was sent: its orders on
    them count for nothing, whatever becomes of it."""

    id: int
    line: bytes
    orders: list[Order]
    void: set[int] = field(default_factory=set)

    def valid(self, orders: list[Order]) -> list[Order]:
        return [o for o in orders if not (isinstance(o, TABLE) and o.slice in self.void)]


class Calls:
    """operations: their names. messages_most, span: the channel's cap on messages, 0 is none: resent calls count too,
    as any of them may have been carried out, and so they do in the channel's queue."""

    def __init__(
        self, operations: list[str], messages_most: int = 0, span: float = 10_000.0, channel: Channel | None = None
    ) -> None:
        self.operations, self.messages_most, self.span = operations, messages_most, span
        self.channel = channel or Channel()
        self.doubted: Call | None = None  # the last one of which nobody knew whether it was carried out
        self.waiting: dict[Key, Order] = {}
        self.flying: Call | None = None
        # When calls that may have become messages did so at the latest. Guards against a message over the cap where the
        # first of a span became one later after its sending than the last did. Costs some ms, and only at the cap.
        self.sent: deque[float] = deque()
        self.counter, self.failed, self.not_before = 0, 0, 0.0
        self.count = {"calls": 0, "unknown": 0, "refused": 0, "turned away": 0}
        self.said: list[str] = []  # what staff should know; the owner takes it

    def order(self, orders: Iterable[Order]) -> None:
        for o in orders:
            if isinstance(o, api.ResetTable):
                for k in [k for k in self.waiting if k[0] == "line" and k[1] == o.slice]:
                    del self.waiting[k]
            self.waiting.pop(key(o), None)
            self.waiting[key(o)] = o

    def forget(self, slice: int) -> None:
        """The slice is not in this steward's charge any more: what waits for it is void, and what is on its way.

        Guards against an old line that comes back with a call of unknown fate after the slice has been given again: the
        table would hold a host that the module does not know of there.
        """
        for k in [k for k in self.waiting if k[0] in ("line", "empty", "level") and k[1] == slice]:
            del self.waiting[k]
        for call in (self.flying, self.doubted):
            if call:
                call.void.add(slice)

    def under_way(self) -> list[api.SetWeight | api.ResetTable]:
        """Orders on tables that are not confirmed, in turn."""
        rows = [*(self.flying.valid(self.flying.orders) if self.flying else []), *self.waiting.values()]
        return [o for o in rows if isinstance(o, api.SetWeight | api.ResetTable)]

    def next_at(self, now: float) -> float | None:
        """When a call may go out; None while nothing waits or one is outstanding."""
        if self.flying or not self.waiting:
            return None
        at = max(now, self.not_before)
        span = self.span + EDGE
        while self.sent and self.sent[0] + span <= now:
            self.sent.popleft()
        if self.messages_most and len(self.sent) >= self.messages_most:
            at = max(at, self.sent[0] + span)
        return max(at, self.channel.free_at(now, len(self.waiting)))

    def next(self, now: float) -> Call | None:
        """The call to be sent now, if any."""
        at = self.next_at(now)
        if at is None or at > now:
            return None
        size, orders, raw = 0, list[Order](), list[bytes]()
        for o in sorted(self.waiting.values(), key=rank):  # stable: of a kind, in the order of their coming
            line = encode(o, self.operations)
            if orders and size + len(line) + 1 > CALL_MOST:
                break  # a mark, last of all, goes with the last part only
            size += len(line) + 1
            orders.append(o)
            raw.append(line)
        for o in orders:
            del self.waiting[key(o)]
        self.counter += 1
        head = b'{"jsonrpc":"2.0","id":%d,"method":"relay.apply","params":{"ops":[' % self.counter
        self.flying = Call(self.counter, head + b",".join(raw) + b"]}}\n", orders)
        self.sent.append(now)
        self.channel.begin(now, len(orders))
        self.count["calls"] += 1
        return self.flying

    # ---- outcomes ----------------------------------------------------------------------------------------

    def answered(self, now: float, line: bytes) -> list[Order] | None:
        """A line came. The orders that stand by it; None where it leaves unknown whether the call was carried out."""
        call = self.flying
        if call is None:
            return []
        try:
            answer = msgspec.json.decode(line, type=Answer)
        except JSON_DECODE_ERRORS:
            return None
        if type(answer.id) is int and 0 < answer.id < call.id:
            return []  # an echo of a call that has ended: it says nothing of this one
        if answer.id != call.id or isinstance(answer.id, bool):
            return None
        if answer.error is not None:
            return self.refused(now, answer.error)
        taken = answer.result.get("taken") if isinstance(answer.result, dict) else None
        if not isinstance(taken, int) or isinstance(taken, bool) or not 0 <= taken <= len(call.orders):
            return None
        self.ended(now)
        self.flying, self.failed, self.not_before, self.doubted = None, 0, 0.0, None
        if taken < len(call.orders):
            fault = call.orders[taken]
            self.count["refused"] += 1
            self.said.append(f"the relay cannot use {encode(fault, self.operations).decode()}: left out")
            self.put_back(call.valid(call.orders[taken + 1 :]))
        return call.valid(call.orders[:taken])

    def refused(self, now: float, error: Any) -> list[Order] | None:
        """An error is the relay's word that nothing was carried out, if it names one that there is."""
        said = str(error)
        call = self.flying
        assert call
        if "Throttling" in said:
            self.count["turned away"] += 1
            self.unsaid(now)
            self.flying = None
            self.put_back(call.valid(call.orders))
            self.back_off(now)
            return []
        if "ValidationError" in said:
            self.count["refused"] += 1
            self.unsaid(now)
            self.said.append(f"the relay calls this no call, it is dropped: {call.line[:300]!r}")
            self.flying = None
            return []
        return None

    def ended(self, at: float) -> None:
        """The call in flight became a message by then, if it ever does."""
        self.sent[-1] = at
        self.channel.end(at)

    def unsaid(self, now: float) -> None:
        """It became no message."""
        self.sent.pop()
        self.channel.end(now, False)

    def unknown(self, now: float) -> None:
        """No answer, a break, an unreadable one: carried out, or not at all. It goes again, with what waits."""
        call = self.flying
        if call is None:
            return
        self.count["unknown"] += 1
        self.ended(max(now, self.sent[-1] + ANSWER_MOST))
        self.flying, self.doubted = None, call
        self.put_back(call.valid(call.orders))
        if self.failed:
            self.back_off(now)
        self.failed += 1

    def applied(self, number: int) -> list[Order]:
        """A proxy has applied the mark: a call that held it was carried out. The orders that stand by it."""
        call = self.doubted
        if not call or not any(isinstance(o, api.PublishVersion) and o.version == number for o in call.orders):
            return []
        stood, self.doubted = call.valid(call.orders), None
        for o in stood:
            if self.waiting.get(key(o)) is o:
                del self.waiting[key(o)]
        return stood

    def unsent(self, now: float) -> None:
        """There is no way to the relay: nothing was sent, all still waits."""
        self.back_off(now)

    def back_off(self, now: float) -> None:
        self.not_before = now + min(AGAIN_MOST, FIRST * 2.0 ** min(self.failed, 10))
        self.failed += 1

    def put_back(self, orders: list[Order]) -> None:
        """Under what waits: an order of the same kind and place that came later stands."""
        emptied = {k[1] for k in self.waiting if k[0] == "empty"}
        old = {key(o): o for o in orders if not (isinstance(o, api.SetWeight) and o.slice in emptied)}
        self.waiting = {**{k: o for k, o in old.items() if k not in self.waiting}, **self.waiting}
