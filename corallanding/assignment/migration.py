"""Which slices move: at once off an owner that is dead, draining or tips over; else gated, paced, held."""

from .. import interface as api
from .host_health import CROWDED, Known
from .load_estimate import WORSE
from .placement import FEW, ROOM, Owners
from .state import Figures, Host, Slice, upto

SITTING = 8.0  # times the number of slices: what a sitting owner's score counts more than a stranger's
TIPPING = 0.5  # of the stated fall multiple: load over its fair part at which a cold server sheds at once
SHED = 1.5  # times its fair part: a server with more passes slices on before it is strained
CHANCE = 4.0  # tries: each of several stewards hears but some, and in a calm fleet few of them are chance
HOT = 0.5  # of a server's fair part: a slice with more is shared, not moved, when its server is crowded
MARKS = 300_000  # worked out in one ordinary turn; in larger fleets slices beyond them wait for a later one


class Moves:
    """Reads servers and figures. Writes owners and helpers by `owners`, who is shut out."""

    def __init__(self, known: Known, slices: dict[int, Slice], owners: Owners, figures: Figures) -> None:
        self.set, self.known, self.owners, self.ranks = known.set, known, owners, owners.ranks
        self.orders, self.slices, self.figures = known.orders, slices, figures

    def leave(self) -> None:
        """Slices without an owner, or whose owner is dead or draining, go at once, the busiest first."""
        self.shut_out()
        # What could not be written before goes first.
        for s in self.slices.values():
            s.helpers = s.helpers and [h for h in s.helpers if h.pooled]
            s.held = s.held if s.held and s.held.pooled else None
            if s.owner and s.owner.pooled:
                self.orders.write(s)
        unsure = (h for h in self.known.hosts.values() if not (h.listed or self.known.fresh))
        stay = {*self.figures.pool, *unsure}
        lost = [s for s in self.slices.values() if s.owner not in stay] + self.tipping()
        for s in sorted(lost, key=lambda s: (not s.owner or not self.known.leaving(s.owner), -s.rate, s.id)):
            if s.helpers:
                self.owners.give(s, max(s.helpers, key=lambda h: self.owners.score(s, h)), hold=False)
            elif to := self.owners.best(s, s.part, must=True):
                self.owners.give(s, to, hold=False)
            elif s.owner and self.known.leaving(s.owner):  # nowhere to go: the drain is kept
                s.owner = None
                self.orders.write(s)

    def shut_out(self) -> None:
        """Servers that must go, with more lines than a reply holds (a wave of drains, a hundred proxies), are
        shut out by one line each, not one a slice; old lines go in ordinary turns, a return lifts it."""
        o, leaving = self.orders, self.known.leaving
        going = {h for h in self.known.hosts.values() if leaving(h) and not h.cordoned}
        if going:
            going = {h for s in self.slices.values() for h in s.lines if h in going}
        lines = 2 * sum(not going.isdisjoint(s.lines) for s in self.slices.values()) if going else 0
        much = lines > o.room
        for h in self.known.hosts.values():
            shut = leaving(h) and (h.cordoned or (much and h in going))
            if h.cordoned != shut:
                h.cordoned, o.orders, o.room = shut, o.orders + 1, o.room - 1
                o.out.append(api.Cordon(h.id, shut))

    def tipping(self) -> list[Slice]:
        """A cold server that holds too much (it died with its slices and came back, or they grew), or whose
        answers are late, tips over: what is too much leaves without waiting for gate or hold."""
        lost, pool = list[Slice](), self.figures.pool
        warm = any(not h.chilly for h in pool)
        cold: dict[Host, list[Slice]] = {h: [] for h in pool if warm and h.chilly}
        for s in self.slices.values() if cold else ():
            if s.owner in cold:
                cold[s.owner].append(s)
        for h, own in cold.items():
            most = TIPPING * self.set.overload_factor
            if h.stress > SHED * CROWDED and self.orders.now - h.shed_at > self.figures.window:
                most, h.shed_at = min(most, h.used() / 2), self.orders.now
            for s in sorted(own, key=lambda s: (-s.rate, s.id)):
                if h.used() > most:
                    self.owners.shift(h, -s.part)
                    lost.append(s)
                    s.owner = None
        return lost

    def release(self) -> None:
        """Old owners go once every proxy has acked, or the hold ends."""
        out = self.orders.pending.open()
        for s in self.slices.values():
            waits = s.held and any(upto(s.hold_mark, m) for m in out)
            s.held = s.held if waits and self.orders.now < s.hold_end else None
            self.orders.write(s, all=True)

    def spread(self) -> None:
        """Where several stewards share the work, sums come seldom: a slice that asks for more than a whole
        server, and jams its own, is shared at once with as many as it takes."""
        for s in self.slices.values() if self.set.controller_count > 1 else ():
            h, wide = s.owner, len(s.helpers)
            while h and h.stress > self.figures.strained and s.part > h.space * self.figures.whole:
                less = s.rate / (2 + len(s.helpers))
                to = self.owners.best(s, less, must=True)
                heard = to and self.orders.now - to.good_at <= 2 * self.figures.window
                sound = to and to.run == 0 and to.taken < FEW and heard
                if not to or to.chilly or not sound or to.stress * WORSE >= h.stress:
                    break
                self.owners.help(s, to, (h, *s.helpers), less)
            if len(s.helpers) > wide:
                self.orders.write(s)

    def shed(self) -> None:
        """Off crowded servers, down to their part."""
        f, serves = self.figures, dict[Host, dict[Slice, None]]()  # the slices of each, once one is to shed
        few = CHANCE if self.set.controller_count > 1 and f.median < CROWDED / 2 else 0.0
        for h in f.pool:
            tries, used, fresh = h.good + h.bad, h.used(), self.orders.now - h.shed_at > f.wait
            strain = h.stress * tries / (tries + few) if tries else 0.0
            over = used if used > SHED and strain > CROWDED / 2 else 1.0
            goal = h.load * min(1.0, 1.0 / over, f.strained / max(strain, 0.01))
            if not fresh:  # far over its part it goes on to the goal that it had: the gate held slices up
                goal, strain = h.goal if used > SHED and self.set.controller_count > 1 else h.load, f.strained
            if goal >= h.load:
                continue
            for s in () if serves else self.slices.values():
                for server in (s.owner, *s.helpers):
                    if server:
                        serves.setdefault(server, {})[s] = None
            mine = [s for s in serves.get(h, ()) if not s.held and (s.owner is h or h in s.helpers)]
            for s in sorted(mine, key=lambda s: (-s.part, s.id)):
                if h.load - s.part * 0.5 <= goal:
                    continue
                # A slice that alone fills much of a server is shared: moved, it would crowd the next one.
                share = s.part > HOT * h.space * f.mean
                less = s.rate / (2 + len(s.helpers))
                to = self.owners.best(s, less if share else s.part, must=share)
                if not to or to.stress * WORSE >= strain:
                    continue
                fits = not share or (not to.chilly and to.used(less) * ROOM <= h.used())
                if fits and self.owners.passes(s, to):
                    if fresh and not h.chilly:  # a cold one's is for what tips it
                        h.shed_at, h.goal = self.orders.now, goal
                    if share:
                        self.owners.help(s, to, (h,), less)
                        serves.setdefault(to, {})[s] = None
                    elif s.owner is h:
                        self.owners.give(s, to, hold=True)
                    else:
                        self.owners.shift(h, -s.part)
                        s.helpers.remove(h)
                    self.orders.write(s)

    def win(self) -> None:
        """Won by a better score; helpers that are no longer needed go."""
        left = MARKS
        for s, owner in [(s, s.owner) for s in self.slices.values() if s.owner]:
            if s.helpers and s.rates and s.rate / len(s.helpers) < HOT / 2 * owner.space * self.figures.mean:
                s.helpers.remove(min(s.helpers, key=lambda h: self.owners.score(s, h)))
                self.orders.write(s)
            # Counted, not seen in the lists: what was worked out ahead must not change what is decided.
            new = len(self.ranks.servers) - s.looked
            if s.held or new > left:
                continue
            left, s.looked = left - new, s.looked + new
            # Most owners sit so well that nobody could take their place: none is looked for.
            sits, sitting, over = self.owners.score(s, owner), SITTING * self.set.slice_count, owner.used() > SHED
            least, marks = sits * (min(sitting, 1.0) if over else sitting), self.ranks.of(s.id)[0]
            if not marks or marks[0] * self.figures.heaviest <= least:
                continue
            if to := self.owners.best(s, s.part, False, least):
                # A sitting owner is preferred, but not to a new server once it holds far over its part: what
                # a fleet grew by would stand idle until the old ones drown. Costs a release a few moves more.
                fresh = (to.chilly or not to.load) and over
                wins = self.owners.score(s, to) > sits * (1.0 if fresh else sitting)
                if wins and self.owners.passes(s, to):
                    self.owners.give(s, to, hold=True)
