"""The steward's channel, pure: messages wait here until their turn, at the channel's rate, the urgent ones first.

A message costs `head` lines and its own at each forwarder. Lines waiting never exceed `queue_most`, heads
included; a forwarder gets at most `messages_most` messages in any `span` ms, counted from its joining. Each
order is encoded once, shared by all forwarders concerned; a forwarder whose socket does not take more holds
references only, of at most its share of the queue.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..wire.frames import Orders, encode
from .merge import cost, overtake, plain


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
    orders: Orders | None = None  # what it says, if it may be overtaken
    left: int = 0  # forwarders at which it waits

    def becomes(self, orders: Orders) -> None:
        """What is left of it after a later one overtook it."""
        self.orders, self.frame, self.lines, self.mark = orders, encode(orders), cost(orders), orders.mark


@dataclass(eq=False)
class Port:
    """One joined forwarder. A turn left over from an earlier joining finds another port, and is passed over."""

    forwarder: int
    urgent: deque[Message] = field(default_factory=deque)
    plain: deque[Message] = field(default_factory=deque)
    lines: float = 0.0  # that wait here, heads included
    turns: int = 0  # turns that came while it could not send
    sent: deque[float] = field(default_factory=deque)
    blocked: bool = False  # its socket does not take more
    parked: bool = False  # it stands in `Channel.later`

    @property
    def count(self) -> int:
        return len(self.urgent) + len(self.plain)


class Channel:
    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.ports: dict[int, Port] = {}
        self.turns: tuple[deque[Port], deque[Port]] = (deque(), deque())  # one a message: urgent ones, the others
        self.later: list[tuple[float, int, Port]] = []  # ports held back by the cap on messages
        self.ready: deque[Port] = deque()  # ports whose sockets take more again
        self.waiting = 0.0  # lines, heads included
        self.free_at = 0.0  # when the message now on its way has left
        self.most = 0.0  # the most that ever waited
        self.lines_sent = self.messages_sent = self.overtaken = 0
        self.counter = 0

    def join(self, forwarder: int) -> None:
        """A forwarder joined, or joined again: what waited for its former link is dropped."""
        self.leave(forwarder)
        self.ports[forwarder] = Port(forwarder)

    def leave(self, forwarder: int) -> None:
        if port := self.ports.pop(forwarder, None):
            self.waiting -= port.lines  # its turns are passed over when they come
            for m in (*port.urgent, *port.plain):
                m.left -= 1
            if not self.ports:
                self.waiting = 0.0  # no rounding is carried on

    def cost(self, message: Message) -> float:
        return self.limits.head + message.lines

    def block(self, forwarder: int, on: bool) -> None:
        """The forwarder's socket takes no more, or takes more again (call `due` then)."""
        if (port := self.ports.get(forwarder)) and port.blocked != on:
            port.blocked = on
            if not on and port.turns:
                self.ready.append(port)

    # ---- in --------------------------------------------------------------------------------------------

    def submit(
        self,
        now: float,
        frame: bytes,
        lines: int,
        mark: int,
        to: Iterable[int],
        orders: Orders | None = None,
        urgent: bool = False,
    ) -> None:
        """Queue one message for each forwarder of `to` that is joined; an urgent one overtakes those that wait.

        Raises `Overrun` with the forwarders for which there is no room; the others' messages are queued.
        Guards against an owner of the orders that overruns the queue (the module keeps under it by itself), and
        against one slow socket that fills it: past its share of the queue it is cut off.
        """
        message = Message(frame, lines, mark, now, orders if plain(orders) else None)
        ports = [port for f in to if (port := self.ports.get(f))]
        behind = {p for p in ports if p.plain}
        ahead = self.overtake(message, ports) if urgent else None
        over = []
        for port in ports:
            m = ahead if ahead and port in behind else message
            if not self.put(port, m, urgent and (ahead is not None or port not in behind)):
                over.append(port.forwarder)
        self.most = max(self.most, self.waiting)
        if over:
            raise Overrun(over)

    def put(self, port: Port, m: Message, urgent: bool) -> bool:
        needs = self.cost(m)
        share = self.limits.queue_most / max(1, len(self.ports))
        slow = port.blocked and port.count and port.lines + needs > share
        if slow or self.waiting + needs > self.limits.queue_most:
            return False
        (port.urgent if urgent else port.plain).append(m)
        self.turns[0 if urgent else 1].append(port)
        m.left += 1
        port.lines += needs
        self.waiting += needs
        return True

    def overtake(self, message: Message, ports: list[Port]) -> Message | None:
        """What goes ahead where others wait; those are cut down in place. None if it must keep its place."""
        behind = [p for p in ports if p.plain]
        held: dict[Message, int] = {}
        for p in behind:
            for m in p.plain:
                held[m] = held.get(m, 0) + 1
        waiting = sorted(held, key=lambda m: m.orders.seq if m.orders else -1)
        if message.orders is None or not waiting:
            return None
        if any(m.orders is None or m.left != n for m, n in held.items()) or any(
            p.plain[-1] is not waiting[-1] for p in behind
        ):
            # Something waits that must not be overtaken, or that waits also where this one does not come.
            return None
        base = max((p.plain[0].orders.seq for p in behind if p.plain[0].orders), default=0)
        first, left = overtake(message.orders, [m.orders for m in waiting if m.orders], base)
        ahead = Message(encode(first), cost(first), first.mark, message.at, first)
        gone = set()
        for m, rest in zip(waiting, left, strict=True):
            if rest:
                m.becomes(rest)
            else:
                gone.add(m)
        for p in behind:
            p.plain = deque(m for m in p.plain if m not in gone)
            lines = sum(self.cost(m) for m in (*p.urgent, *p.plain))
            self.waiting += lines - p.lines
            p.lines = lines
        self.overtaken += len(behind)
        return ahead

    # ---- out -------------------------------------------------------------------------------------------

    def capped(self, port: Port, now: float) -> bool:
        if not self.limits.messages_most:
            return False
        while port.sent and port.sent[0] <= now - self.limits.span:
            port.sent.popleft()
        return len(port.sent) >= self.limits.messages_most

    def due(self, now: float) -> list[tuple[int, Message]]:
        """Messages that leave by `now`, in order. Call again at `next_at`, and when a socket takes more."""
        out: list[tuple[int, Message]] = []
        while self.later and self.later[0][0] <= now:
            port = heapq.heappop(self.later)[2]
            port.parked = False
            self.flush(port, now, out)
        while self.ready:
            self.flush(self.ready.popleft(), now, out)
        urgent, plain = self.turns
        while self.free_at <= now and (urgent or plain):
            port = (urgent or plain).popleft()
            if self.ports.get(port.forwarder) is not port or port.turns >= port.count:
                continue  # for a link that is gone, or a message that an urgent one left nothing of
            # A channel that idled starts at once; a late loop turn catches up by at most one message's time.
            lines = self.cost((*port.urgent, *port.plain)[port.turns])
            self.free_at = max(self.free_at, now - 50.0) + lines * 1000.0 / self.limits.rate
            port.turns += 1
            self.flush(port, now, out)
        return out

    def flush(self, port: Port, now: float, out: list[tuple[int, Message]]) -> None:
        """Send as many messages as had their turn, the urgent ones first, unless cap or socket hold them back."""
        if self.ports.get(port.forwarder) is not port:
            return
        port.turns = min(port.turns, port.count)
        while port.turns and not port.blocked and not self.capped(port, now):
            message = (port.urgent or port.plain).popleft()
            port.turns -= 1
            message.left -= 1
            if self.limits.messages_most:
                port.sent.append(now)
            port.lines -= self.cost(message)
            self.waiting -= self.cost(message)
            self.lines_sent += message.lines
            self.messages_sent += 1
            out.append((port.forwarder, message))
        if port.turns and not port.blocked and not port.parked:
            self.counter += 1
            port.parked = True
            heapq.heappush(self.later, (port.sent[0] + self.limits.span, self.counter, port))

    def next_at(self, now: float) -> float | None:
        """When `due` may have something: None while nothing waits but for a socket."""
        at = [max(now, self.free_at)] if any(self.turns) else []
        at += [self.later[0][0]] if self.later else []
        at += [now] if self.ready else []
        return min(at, default=None)
