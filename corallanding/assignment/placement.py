"""Which server takes a slice, and whether it may yet: rendezvous among those with room, and the gate."""

from bisect import bisect_left as bisect

from .host_health import RUN, Known
from .rendezvous import Ranks, mark
from .state import Figures, Host, Slice

ROOM = 1.1  # a server may be given slices up to this multiple of the fleet's mean load
HOLD = 5_000.0  # ms that the old owner stays listed at most while acks are out (design)
FEW = 3  # slices that a server is given in a window: at most for a cold one, else off live owners


class Owners:
    """Reads figures and servers. Writes who owns and helps, and through `orders` the slice's lines."""

    def __init__(self, known: Known, ranks: Ranks[Host], figures: Figures) -> None:
        self.set, self.known, self.ranks, self.figures = known.set, known, ranks, figures
        self.orders = known.orders

    def shift(self, h: Host, part: float) -> None:
        h.load += part
        self.figures.shifted[h] = None

    def score(self, s: Slice, h: Host) -> float:
        return h.entry.weight * h.mark(s.id)

    def best(self, s: Slice, more: float, must: bool, least: float = 0.0) -> Host | None:
        """The top scorer among servers with room; the least used warm one where none has any.

        The caller does nothing with one whose own score is not above `least`.
        """
        taken, few = (s.owner, *s.helpers), FEW if s.rates or not s.helpers else 0  # unheard of, in demand
        f, top, most = self.figures, None, 0.0
        marks, servers = self.ranks.of(s.id)
        for mark_, h in zip(marks, servers, strict=True):
            if mark_ * f.heaviest <= most:
                return top  # nobody further down can score more
            if h.sound and h not in taken and (used := h.used(more)) <= ROOM:
                value = h.entry.weight * mark_ * (ROOM * 1.05 - used)
                if value > most and self.open(h, few):
                    top, most = h, value
        beyond = marks[-1] * f.heaviest if marks and not self.ranks.whole else 0.0
        if beyond > least or (beyond and top and self.score(s, top) > least):
            # Those that had the room at the survey, and those whose load changed since.
            first = bisect(f.spare, more * (1.0 - 1e-9), key=lambda row: row[0])
            for h in (*(h for _, h in f.spare[first:]), *f.shifted):
                if h.sound and h not in taken and (used := h.used(more)) <= ROOM and self.open(h, few):
                    value = h.entry.weight * mark(s.id, h.id) * (ROOM * 1.05 - used)
                    top, most = (h, value) if value > most else (top, most)
        if top:
            return top
        rest = [h for h in f.pool if must and h not in taken]
        rest = [h for h in rest if not h.chilly] or rest
        return min(rest, key=lambda h: h.used(more)) if rest else None

    def open(self, h: Host, few: int) -> bool:
        """A cold server takes its few slices in a window, of all stewards together what they agreed on."""
        return not h.chilly or (h.taken < few and self.orders.may("cold_slices", h.id, False))

    def begin(self, h: Host) -> None:
        """A slice is given to it."""
        h.taken += 1
        if h.chilly:
            self.orders.may("cold_slices", h.id, True)

    def give(self, s: Slice, h: Host, hold: bool) -> None:
        """Make `h` the owner; the old one goes, or stays until acks."""
        if s.owner:
            self.shift(s.owner, -s.part)
        self.shift(h, s.part)
        self.begin(h)
        s.held, s.owner, s.want = s.owner if hold else None, h, None
        s.helpers = [x for x in s.helpers if x is not h]
        s.hold_mark, s.hold_end = self.orders.pending.next, self.orders.now + HOLD
        self.orders.write(s)

    def help(self, s: Slice, to: Host, among: tuple[Host | None, ...], less: float) -> None:
        """`to` is one more of the slice's servers; those `among` whom it was shared get `less` each."""
        for x in among:
            if x:
                self.shift(x, less - s.part)
        self.shift(to, less)
        self.begin(to)
        s.helpers.append(to)

    def passes(self, s: Slice, to: Host) -> bool:
        """The gate: the destination was heard sound, or a window has passed without a run of failures."""
        now = self.orders.now
        if s.want is not to:
            s.want, s.want_at = to, now
            if now - to.shown > self.set.report_interval_ms:
                self.known.probe(to)
        known = to.run == 0 and now - to.good_at <= 2 * self.figures.window
        ready = to.run < RUN and (known or now - s.want_at >= self.set.report_interval_ms)
        return ready and to.taken < FEW and self.orders.may("moves", 0, True)
