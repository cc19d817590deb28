"""Fair load for each server, from the slices' demand and the servers' speeds: what a turn begins with."""

import math
import zlib

from .. import interface as api
from .host_health import CLEAR, CROWDED, Known, strain
from .placement import ROOM
from .rendezvous import Ranks
from .state import Figures, Host, Slice, middle

RAMP = 0.75  # of the stated cold time: how long a new server takes to get its full share (12 to 13.5 s)
PAUSE = 1.5  # windows of sums before a server that shed is judged again
CHILLED = 0.25  # times the fall multiple: part of its share that a cold server takes where keys are cached
REPEATS = 0.5  # part of the unanswered invocations of a slice that are taken for clients' repeats
WORSE = 2.0  # strain over so many times the fleet's median is a server's own: trouble that all share is not
PEAK_SPAN = 4.0  # report periods over which the fleet's answers are counted


class Survey:
    """Reads what is known of servers. Writes the figures, and what a turn asks of servers again and again."""

    def __init__(self, known: Known, slices: dict[int, Slice], ranks: Ranks[Host], figures: Figures) -> None:
        self.set, self.known, self.slices, self.ranks, self.figures = known.set, known, slices, ranks, figures
        self.asked = self.faded_at = self.shared_at = 0.0  # the last: when the slices in charge changed
        self.peak = math.inf  # the most that the fleet was seen to answer, by capacity

    def demand(self, e: api.SliceUsageReport) -> None:
        self.asked += e.requests
        if (s := self.slices.get(e.slice)) and e.span_ms > 0:
            # Half of what went unanswered is repeats. What doubles counts at once, or a cold owner falls over
            # while the smoothed figure climbs; among few it is chance.
            rate = (e.requests - min(e.unanswered, e.requests) * REPEATS) * 1000.0 / e.span_ms
            old = s.rates.get(e.request_class, rate)
            keep = 0.0 if rate > 2.0 * old and e.requests > 10 else 0.5 ** (e.span_ms / 2000.0)
            s.rates[e.request_class] = rate + (old - rate) * keep
            s.rate = sum(s.rates.values())

    def capacity(self, h: Host) -> float:
        age = min(1.0, (self.known.orders.now - h.since) / (RAMP * self.set.warm_up_ms or 1.0))
        warm = (
            self.set.warm_up_initial_share + (1.0 - self.set.warm_up_initial_share) * age
        )  # what part of its share it may take
        chill = CHILLED * self.set.overload_factor if self.set.caches_keys and self.known.cold(h) else 1.0
        kind = self.figures.typical.get(h.entry.kind) or self.figures.usual or 1.0  # speed: half way to that
        return h.entry.weight * warm * chill / math.sqrt(kind * (h.floor or kind))

    def take(self) -> None:
        """The survey at the head of a turn."""
        floors, hosts = dict[int, list[float]](), self.known.hosts.values()
        for h in hosts:
            if h.floor and h.listed:
                floors.setdefault(h.entry.kind, []).append(h.floor)
        self.figures.usual = middle([f for kind in floors.values() for f in kind])
        self.figures.typical = {kind: middle(of) for kind, of in floors.items()}
        total = self.load()
        here = [h for h in hosts if (h.listed or self.known.dropped(h)) and h.entry.state == "up"]
        self.parts(self.choose(here), total)
        self.ranks.add(here)

    def load(self) -> float:
        """Each server's load and strain; the sum of loads. An unknown slice counts as the mean."""
        known, now = [s.rate for s in self.slices.values() if s.rates], self.known.orders.now
        usual, total = sum(known) / len(known) if known else 1.0, 0.0
        # Counts fade with time, whichever zones they came from; an emptied server's strain too.
        # Of several stewards each hears of a server a few times in a window: so long it counts.
        span = max(self.set.report_interval_ms, self.figures.window / 4 if self.set.controller_count > 1 else 0.0)
        recent = 0.5 ** ((now - self.faded_at) / span)
        keep = 0.5 ** ((now - self.faded_at) / (PEAK_SPAN * self.set.report_interval_ms))
        self.known.done, self.asked, self.faded_at = self.known.done * keep, self.asked * keep, now
        for h in self.known.hosts.values():
            h.load, h.good, h.bad = 0.0, h.good * recent, h.bad * recent
            h.pooled, h.sound, h.chilly, h.space = False, False, self.known.cold(h), self.capacity(h)
            h.stress = strain(h, self.known.tight)
            if now - h.taken_at > (self.figures.wait if h.chilly else self.figures.window):
                h.taken, h.taken_at = 0, now
        for s in self.slices.values():
            s.rate = s.rate if s.rates else usual
            total += s.rate
            for h in ([s.owner] if s.owner else []) + s.helpers:
                h.load += s.part
        return total

    def choose(self, here: list[Host]) -> list[Host]:
        """Who may own: `Figures.pool`. Answers with those too who were heard failing."""
        now, f = self.known.orders.now, self.figures
        # A newcomer, or one that failed, shows life before it counts: a list may name what does not exist.
        for h in here:
            if h.shown <= h.failed_at or (not h.listed and now - h.shown > f.window):
                self.known.probe(h)
        listed = [h for h in here if h.load or h.shown > h.failed_at or not self.set.may_check_health] or here
        # How often a sum comes anew: the period, or longer where the lines of one don't fit the intake.
        lines = len(listed) * self.set.zone_count + len(self.slices) * len(self.set.request_classes)
        f.window = max(self.set.report_interval_ms, lines * 1000.0 / self.set.reports_per_second)
        f.wait = PAUSE * f.window + 2 * self.set.propagation_ms
        f.pool = [h for h in listed if now - h.failed_at > CLEAR]
        if len(f.pool) * 2 < len(here):  # most failing at once: the path or the work, not the servers
            f.pool = listed
        f.median = middle([h.stress for h in listed])
        f.strained = max(CROWDED, WORSE * f.median)
        return listed

    def parts(self, listed: list[Host], total: float) -> None:
        """What part of the load is each server's, and who has room."""
        f, space = self.figures, sum(h.space for h in listed)
        # A cold server's part is of the most that the fleet was seen to answer: what is asked pushes it over.
        unit = math.log(2.0) * 1000.0 / (PEAK_SPAN * self.set.report_interval_ms)
        # The peak is of all the work: what a steward is given or loses of it changes its part at once.
        part = len(self.slices) / (self.set.slice_count or 1)
        told = self.known.orders.now - self.shared_at > max(2 * PEAK_SPAN * self.set.report_interval_ms, f.window)
        if space and part and told:  # else too little is known
            self.peak = max(self.peak if self.peak < math.inf else 0.0, self.known.done * unit / space / part)
        peak = self.peak * part if part else math.inf
        f.fit = peak * space / max(self.asked * unit, 0.001)
        f.mean = total / space if space else 0.0
        f.whole = f.mean / (part or 1.0)
        for h in self.known.hosts.values():
            h.fair = h.space * (min(f.mean, peak) if h.chilly else f.mean)
        usual = total / (len(self.slices) or 1)
        for h in f.pool:
            h.pooled, h.sound = True, h.stress <= (CROWDED if h.chilly else f.strained)
            if h.chilly and self.set.controller_count > 1 and usual:
                # At each of many stewards its part is less than a slice, and all would leave it idle. They
                # round to whole slices, another first at each server, so that all together round but once.
                place = (zlib.crc32(b"%d" % h.id) + self.set.controller_index) % self.set.controller_count
                whole = math.floor(h.fair / usual + (place + 0.5) / self.set.controller_count)
                h.fair, h.sound = whole * usual or h.fair, h.sound and whole > 0
        room = [(ROOM * h.fair - h.load if h.fair else math.inf, h) for h in f.pool if h.sound]
        f.spare, f.shifted = sorted(room, key=lambda row: row[0]), {}
        f.heaviest = 1.2 * max((h.entry.weight for h in f.pool), default=0.0)  # over ROOM * 1.05
