"""What goes out of a step: lines and their marks, and how much of them proxies and channel can still take."""

from collections.abc import Callable

from .. import interface as api
from .state import Pending, Slice

SPARE = 0.7  # of the message cap that ordinary turns may use; the rest is for deaths and drains
FILL = 0.9  # of the queue limit, heads included, that deaths and drains may fill; ordinary turns half


class Orders:
    """Writes lines of slices. Others put actions in `out`, and count in `orders` what goes to proxies."""

    def __init__(self, settings: api.Settings) -> None:
        self.set, self.now, self.out, self.pending = settings, 0.0, list[api.Action](), Pending()
        self.urgent = False  # a turn is due in this step
        self.room, self.orders = 0.0, 0  # lines that may still go out in this step, and those that did
        # What all stewards together may do (docs/budgets.md): kind, server, whether it is done now.
        self.may: Callable[[str, int, bool], bool] = lambda kind, host, now: True

    def may_send(self, urgent: bool) -> bool:
        most = self.set.max_messages - 1 if urgent else int(self.set.max_messages * SPARE)
        sent = self.pending.since(self.now - self.set.message_window_ms - 1.0)
        if self.set.max_messages and sent >= most:
            return False
        free = self.set.max_queued_lines * (FILL if urgent else 0.5) - self.pending.waiting()
        self.room = free / max(1, len(self.pending.proxies)) - self.set.message_overhead_lines - 2.0 - self.orders
        return self.room > self.set.message_overhead_lines

    def write(self, s: Slice, all: bool = False) -> None:
        """Write what changed of the slice's lines, the new ones first; those shut out may wait."""
        if self.room >= 0 and not s.helpers and not s.held and len(s.lines) == 1 and s.owner in s.lines:
            return  # as nearly always
        wanted = [h for h in (s.owner, *s.helpers, s.held) if h]
        new, gone = [h for h in wanted if h not in s.lines], [h for h in s.lines if h not in wanted]
        gone = [h for h in gone if all or not h.cordoned]
        if len(new) + len(gone) > self.room:
            self.urgent = True  # one reply to a hundred proxies can fill the queue: the rest in a later one
            return
        self.room, self.orders = self.room - len(new) - len(gone), self.orders + len(new) + len(gone)
        self.out += [api.SetWeight(s.id, h.id, 1.0) for h in new] + [api.SetWeight(s.id, h.id, 0.0) for h in gone]
        s.lines = dict.fromkeys([h for h in (*s.lines, *new) if h not in gone], 1.0)
