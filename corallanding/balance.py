"""Every decision of the steward: which server each slice of work goes to, and when it moves.

Call `Assigner(settings, seed).step(now, events) -> list[Action]` with whatever happened since the last call;
`now` is in milliseconds and never goes back. Events, actions and settings stand in `interface.py`. The
mechanism, and each departure from it with the condition under which it acts, stand in `docs/design.md`.
"""

from __future__ import annotations

import math
import zlib
from bisect import bisect_left as bisect
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from . import interface as api
from .ranks import Ranks, mark

CLEAR = 6_000.0  # ms without word of failing after which a server may own again (design)
HOLD = 5_000.0  # ms that the old owner stays listed at most while acks are out (design)
RAMP = 0.75  # of the stated cold time: how long a new server takes to get its full share (12 to 13.5 s)
TIPPING = 0.5  # of the stated fall multiple: load over its fair part at which a cold server sheds at once
SITTING = 8.0  # times the number of slices: what a sitting owner's score counts more than a stranger's
ROOM = 1.1  # a server may be given slices up to this multiple of the fleet's mean load
CROWDED = 0.5  # strain (see `Host.strain`) above which a server is crowded
WORSE = 2.0  # and so many times the fleet's median: trouble that all share is not a server's
JAMMED = 1.5  # strain above which a server answers next to nothing
SLOW = 8.0  # times the fleet's median probe: a jammed server whose probe takes longer is slow by itself
CHANCE = 4.0  # tries: each of several stewards hears but some, and in a calm fleet few of them are chance
SHED = 1.5  # times its fair part: a server with more passes slices on before it is strained
RUN = 4  # tries in a row without an answer that make a server suspect
SILENT = 2.0  # windows of sums without any answer after which a suspect is failing
FULL = 0.6  # median strain of the fleet above which less is let in, where the site admits by share
LEAST = 0.1  # the least share that is let in
SPARE = 0.7  # of the message cap that ordinary turns may use; the rest is for deaths and drains
FILL = 0.9  # of the queue limit, heads included, that deaths and drains may fill; ordinary turns half
PAUSE = 1.5  # windows of sums before a server that shed is judged again
FEW = 3  # slices that a server is given in a window: at most for a cold one, else off live owners
CHILLED = 0.25  # times the fall multiple: part of its share that a cold server takes where keys are cached
REPEATS = 0.5  # part of the unanswered invocations of a slice that are taken for clients' repeats
HOT = 0.5  # of a server's fair part: a slice with more is shared, not moved, when its server is crowded
PEAK_SPAN = 4.0  # report periods over which the fleet's answers are counted
MARKS = 300_000  # worked out in one ordinary turn; in larger fleets slices beyond them wait for a later one
GONE = 64  # servers that left may be remembered, and as many as there are: then those that nothing names go
WRAP = 65536  # marks are numbered below this


def middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


@dataclass(eq=False)
class Host:
    """All that is known of one server."""

    id: int
    entry: api.HostEntry
    listed: bool = True
    since: float = -math.inf  # start of the present process, as far as known
    told: float = -math.inf  # when this start was heard of
    failed_at: float = -math.inf  # when it was last heard failing
    good: float = 0.0  # fading counts of tries answered and not
    bad: float = 0.0
    run: int = 0  # tries in a row without an answer
    good_at: float = -math.inf  # when a good answer was last heard of
    shown: float = -math.inf  # its last sign of life: a good answer, a passed probe, or the saved list
    latency: float = 0.0  # smoothed mean answer
    floor: float = 0.0  # the same when uncrowded: its speed
    load: float = 0.0  # invocations a second of the slices that it owns
    marks: dict[int, float] = field(default_factory=dict)  # those asked for one by one, by slice
    probing: bool = False
    echo: float = 0.0  # what its last passed probe took
    cordoned: bool = False
    taken: int = 0  # slices given in the present window
    taken_at: float = -math.inf
    shed_at: float = -math.inf  # when a slice last left it for being crowded
    # What a turn asks of it again and again, as the survey at its beginning found it:
    pooled: bool = False  # it may own
    sound: bool = False  # it is in the pool and not strained: it may be given more
    chilly: bool = False  # see `Assigner.cold`
    space: float = 0.0  # see `Assigner.capacity`
    fair: float = 0.0  # the load that is its part
    stress: float = 0.0  # see `strain`

    def strain(self, objective: float) -> float:
        """Mean answer over the latency objective; a try without an answer counts as two objectives."""
        tries = self.good + self.bad
        return (self.good * self.latency / objective + self.bad * 2.0) / tries if tries >= 1.0 else 0.0


@dataclass(eq=False)
class Slice:
    id: int
    lines: dict[Host, float] = field(default_factory=dict)
    owner: Host | None = None
    helpers: list[Host] = field(default_factory=list)  # further servers while it is in demand
    rate: float = 0.0
    want: Host | None = None  # destination whose soundness is awaited
    want_at: float = 0.0
    held: Host | None = None  # the old owner, listed until all have acked the mark or the hold ends
    hold_mark: int = 0
    hold_end: float = 0.0
    looked: int = 0  # servers among which a turn has looked for a better owner
    rates: dict[int, float] = field(default_factory=dict)

    @property
    def part(self) -> float:  # what each of its servers gets
        return self.rate / (1 + len(self.helpers))


class Assigner:
    can_wait = 0  # the timer of ordinary turns: a steward that is late may let it fall due later

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.seed, self.draws = settings, seed, 0
        self.hosts: dict[int, Host] = {}
        self.ranks: Ranks[Host] = Ranks()
        self.spare: list[tuple[float, Host]] = []  # load that each may still be given, ascending
        self.shifted: dict[Host, None] = {}  # those whose load changed since the survey
        self.heaviest = 0.0  # a mark times this is above any score times what room is left
        self.slices: dict[int, Slice] = {}
        self.proxies: dict[int, deque[tuple[int, float]]] = {}  # marks not acked, and their messages' lines
        self.sent: deque[float] = deque()  # when messages went out: each goes to all joined proxies
        self.out: list[api.Action] = []
        self.now, self.mark, self.level, self.level_at = 0.0, 0, 1.0, 0.0
        self.fresh = False  # a list newer than the saved one has come
        self.urgent, self.levels_due = False, True
        self.room, self.orders = 0.0, 0  # lines that may still go out in this step, and those that did
        self.median = self.usual = 0.0  # strain and speed (as `Host.floor`) of the median server
        self.typical: dict[int, float] = {}  # speed of each kind's median server
        self.done = self.asked = self.faded_at = self.shared_at = 0.0
        self.peak = self.born = math.inf
        self.window = self.wait = settings.report_every
        self.turn = max(settings.report_every / 2, settings.period)
        if settings.messages_most:
            self.turn = max(self.turn, settings.messages_span / (settings.messages_most * SPARE))
        self.table = [o.latency_objective for o in settings.operations]  # a row an operation
        self.tight = min(self.table, default=1000.0)
        # What all stewards together may do (docs/budgets.md): kind, server, whether it is done now.
        self.may: Callable[[str, int, bool], bool] = lambda kind, host, now: True

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        self.now, self.out = now, []
        turn = False
        if self.born == math.inf:
            self.born, turn = now, True
            self.out.append(api.Remind(self.turn, 0))
            if self.set.list_on_request:
                self.out.append(api.Follow(True))
        for e in events:
            match e:
                case api.HostSums():
                    self.heard(e)
                case api.SliceSums():
                    self.demand(e)
                case api.Membership():
                    self.listed(e)
                case api.Acked():
                    self.acked(e)
                case api.ProbeDone():
                    self.probed(e)
                case api.SliceGiven():
                    self.slices.pop(e.slice, None)
                    self.shared_at = now
                    if e.on:
                        self.slices[e.slice] = Slice(e.slice)
                        self.urgent = self.levels_due = True
                case api.OnRecord():
                    if e.slice in self.slices:
                        self.slices[e.slice].lines[self.host(e.host)] = e.weight
                case api.ProxyJoined():
                    self.proxies[e.proxy] = deque()
                case api.ProxyLeft():
                    self.proxies.pop(e.proxy, None)
                case api.Due(handle=0):
                    turn = True
                    self.out.append(api.Remind(self.turn, 0))
                case api.Due(handle=1):
                    self.out.append(api.Follow(True))
        if turn or self.urgent:
            self.plan(turn)
        return self.out

    def ahead(self, marks: int) -> bool:
        """Mark ahead of need, while nothing else is to be done: false once nothing is left. Decides nothing."""
        return self.ranks.warm(self.slices, marks)

    def host(self, id: int) -> Host:
        if id not in self.hosts:
            self.hosts[id] = Host(id, api.HostEntry(id), listed=False)
        return self.hosts[id]

    def listed(self, e: api.Membership) -> None:
        if e.form is api.ListForm.FAILED:
            # Ask again soon, spread by chance: the ask rule counts silence as knowledge.
            self.out.append(api.Note("list call failed"))
            self.draws += 1
            chance = zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32
            self.out.append(api.Remind(self.set.ask_within * (0.05 + 0.1 * chance), 1))
            return
        if e.form is not api.ListForm.CHANGES:
            here = {entry.host for entry in e.entries}
            for h in [h for h in self.hosts.values() if h.listed and h.id not in here]:
                h.listed, self.urgent = False, True
        for entry in e.entries:
            h = self.host(entry.host)
            if entry.state == "removed":  # what was last listed of it stands: it may be draining
                self.urgent, h.listed = self.urgent or h.listed, False
                continue
            if not self.fresh and e.form is not api.ListForm.CHANGES:
                h.shown = self.now
            if entry.online_since > h.since:
                # A new process: what was heard of the old one says nothing of it.
                if h.since > -math.inf or entry.online_since > self.now - self.set.cold:
                    h.told = self.now
                    h.failed_at, h.good, h.bad, h.run, h.shown = -math.inf, 0.0, 0.0, 0, -math.inf
                h.since = entry.online_since
            self.urgent = self.urgent or entry.state != "up"
            h.entry, h.listed = entry, True
        self.fresh = self.fresh or e.form is not api.ListForm.SAVED

    def heard(self, e: api.HostSums) -> None:
        h = self.host(e.host)
        if self.now - h.told < self.set.report_every + self.set.transit:
            return  # sums from before a restart
        good = e.tries - e.errored
        h.good, h.bad = h.good + good, h.bad + e.errored
        if good > 0 and e.latency > 0:
            # Speed shows only while answers don't wait: a crowd says nothing of it (nor after a restart), a
            # few answers little, a cold server only ill. A strained one is slow if the fleet is calm.
            prior = self.typical.get(h.entry.kind) or self.usual or e.latency
            h.latency = h.latency or prior
            h.latency += (e.latency - h.latency) * good / (good + 6.0)
            calm = h.strain(self.tight) < CROWDED / 2
            h.floor = h.floor or prior
            if h.latency < h.floor:
                h.floor += (h.latency - h.floor) * (0.0 if self.cold(h) else 0.3)
            elif calm or self.median < CROWDED / 2:
                h.floor += (h.latency - h.floor) * (0.05 if calm else 0.02)
        self.done += good
        h.run = 0 if good else h.run + e.errored
        if good:
            h.good_at = h.shown = self.now
        # A run of failures is a crash (a probe fails), a hang (no good answer for windows) or a crowd, which
        # answers some: emptied it would crowd the next. What an emptied one still fails says nothing.
        if h.run >= RUN and h.load:
            hung = self.now - h.good_at > SILENT * self.window
            (self.failing if hung else self.probe)(h)

    def probe(self, h: Host) -> None:
        if self.set.may_probe and not h.probing:
            h.probing = True
            self.out.append(api.Probe(h.id))

    def probed(self, e: api.ProbeDone) -> None:
        h = self.host(e.host)
        h.probing = False
        if e.end is api.ProbeEnd.OK:
            # A server that is slow by itself answers too much to hang and too little to be of use. In a crowd
            # that all share, probes take long everywhere, and nobody could bear what it has.
            h.echo = e.latency
            slow = e.latency > SLOW * middle([x.echo for x in self.hosts.values() if x.listed and x.echo])
            ill = h.strain(self.tight) > JAMMED if h.load else h.failed_at > -math.inf
            if slow and ill and self.median < CROWDED / 2 and not self.cold(h):
                self.failing(h)
                return
        if e.end is api.ProbeEnd.OK or e.end is api.ProbeEnd.TIMEOUT and h.run < RUN and h.listed:
            h.shown, h.run = self.now, h.run if h.load else 0  # a time-out may be but a long or lossy way
        elif e.end is not api.ProbeEnd.FULL and (h.run >= RUN or not h.listed):
            self.failing(h)

    def failing(self, h: Host) -> None:
        if self.now - h.failed_at > CLEAR:
            if not self.may("emptied", 0, True):
                return
            self.out.append(api.Note(f"failing {h.id} good={h.good:.1f} bad={h.bad:.1f}"))
            self.urgent = True
        h.failed_at = self.now

    def demand(self, e: api.SliceSums) -> None:
        self.asked += e.invocations
        if (s := self.slices.get(e.slice)) and e.span > 0:
            # Half of what went unanswered is repeats. What doubles counts at once, or a cold owner falls over
            # while the smoothed figure climbs; among few it is chance.
            rate = (e.invocations - min(e.unanswered, e.invocations) * REPEATS) * 1000.0 / e.span
            old = s.rates.get(e.operation, rate)
            keep = 0.0 if rate > 2.0 * old and e.invocations > 10 else 0.5 ** (e.span / 2000.0)
            s.rates[e.operation] = rate + (old - rate) * keep
            s.rate = sum(s.rates.values())

    def acked(self, e: api.Acked) -> None:
        out = self.proxies.get(e.proxy)
        while out and (e.number - out[0][0]) % WRAP < WRAP // 2:
            out.popleft()

    def leaving(self, h: Host) -> bool:
        """Told to be gone or draining: nothing may go there."""
        return h.entry.state != "up" or (not h.listed and self.fresh and not self.dropped(h))

    def dropped(self, h: Host) -> bool:
        """Gone from the list, but showing life, where only a drain binds: the list is wrong, not the server.
        Covers lists that blink, empty or go back in time; a dying server keeps work for a probe longer."""
        late = max(CLEAR, SILENT * self.window)
        alive = h.shown > h.failed_at and self.now - h.shown < late
        return self.set.drain_binds_alone and not h.listed and alive

    def cold(self, h: Host) -> bool:
        return self.now - h.since < self.set.cold

    def warm(self, h: Host) -> float:
        """What part of its share a server may take, by the time since it started."""
        age = min(1.0, (self.now - h.since) / (RAMP * self.set.cold or 1.0))
        return self.set.cold_from + (1.0 - self.set.cold_from) * age

    def score(self, s: Slice, h: Host) -> float:
        if s.id not in h.marks:
            h.marks[s.id] = mark(s.id, h.id)
        return h.entry.weight * h.marks[s.id]

    def capacity(self, h: Host) -> float:
        chill = CHILLED * self.set.fall_multiple if self.set.warm_keys and self.cold(h) else 1.0
        kind = self.typical.get(h.entry.kind) or self.usual or 1.0  # own speed, half way to its kind's
        return h.entry.weight * self.warm(h) * chill / math.sqrt(kind * (h.floor or kind))

    def survey(self) -> None:
        """Fair load for each server, from the slices' demand and the servers' speeds."""
        floors: dict[int, list[float]] = {}
        for h in self.hosts.values():
            if h.floor and h.listed:
                floors.setdefault(h.entry.kind, []).append(h.floor)
        self.usual = middle([f for kind in floors.values() for f in kind])
        self.typical = {kind: middle(of) for kind, of in floors.items()}
        known = [s.rate for s in self.slices.values() if s.rates]
        usual = sum(known) / len(known) if known else 1.0
        # Counts fade with time, whichever zones they came from; an emptied server's strain too.
        recent = 0.5 ** ((self.now - self.faded_at) / self.set.report_every)
        keep = 0.5 ** ((self.now - self.faded_at) / (PEAK_SPAN * self.set.report_every))
        self.done, self.asked, self.faded_at = self.done * keep, self.asked * keep, self.now
        for h in self.hosts.values():
            h.load, h.good, h.bad = 0.0, h.good * recent, h.bad * recent
            h.pooled, h.sound, h.chilly, h.space = False, False, self.cold(h), self.capacity(h)
            h.stress = h.strain(self.tight)
            if self.now - h.taken_at > (self.wait if h.chilly else self.window):
                h.taken, h.taken_at = 0, self.now
        total = 0.0
        for s in self.slices.values():
            s.rate = s.rate if s.rates else usual
            total += s.rate
            for h in ([s.owner] if s.owner else []) + s.helpers:
                h.load += s.part
        here = [h for h in self.hosts.values() if (h.listed or self.dropped(h)) and h.entry.state == "up"]
        # A newcomer, or one that failed, shows life before it counts: a list may name what does not exist.
        for h in here:
            if h.shown <= h.failed_at or (not h.listed and self.now - h.shown > self.window):
                self.probe(h)
        listed = [h for h in here if h.load or h.shown > h.failed_at or not self.set.may_probe] or here
        # How often a sum comes anew: the period, or longer where the lines of one don't fit the intake.
        lines = len(listed) * self.set.zones + len(self.slices) * len(self.table)
        self.window = max(self.set.report_every, lines * 1000.0 / self.set.reports_per_s)
        self.wait = PAUSE * self.window + 2 * self.set.transit  # until sums tell of a change
        self.pool = [h for h in listed if self.now - h.failed_at > CLEAR]
        if len(self.pool) * 2 < len(here):  # most failing at once: the path or the work, not the servers
            self.pool = listed
        space = sum(h.space for h in listed)
        self.median = middle([h.stress for h in listed])
        self.strained = max(CROWDED, WORSE * self.median)
        # A cold server's part is of the most that the fleet was seen to answer: what is asked pushes it over.
        unit = math.log(2.0) * 1000.0 / (PEAK_SPAN * self.set.report_every)
        # The peak is of all the work: what a steward is given or loses of it changes its part at once.
        part = len(self.slices) / (self.set.slices or 1)
        told = self.now - self.shared_at > max(2 * PEAK_SPAN * self.set.report_every, self.window)
        if space and part and told:  # else too little is known
            self.peak = max(self.peak if self.peak < math.inf else 0.0, self.done * unit / space / part)
        peak = self.peak * part if part else math.inf
        self.fit = peak * space / max(self.asked * unit, 0.001)  # what part of the demand it can answer
        self.mean = total / space if space else 0.0
        self.whole = self.mean / (part or 1.0)  # the same of all stewards
        for h in self.hosts.values():
            h.fair = h.space * (min(self.mean, peak) if h.chilly else self.mean)
        usual = total / (len(self.slices) or 1)
        for h in self.pool:
            h.pooled, h.sound = True, h.stress <= (CROWDED if h.chilly else self.strained)
            if h.chilly and self.set.stewards > 1 and usual:
                # At each of many stewards its part is less than a slice, and all would leave it idle. They
                # round to whole slices, another first at each server, so that all together round but once.
                place = (zlib.crc32(b"%d" % h.id) + self.set.me) % self.set.stewards
                whole = math.floor(h.fair / usual + (place + 0.5) / self.set.stewards)
                h.fair, h.sound = whole * usual or h.fair, h.sound and whole > 0
        room = [(ROOM * h.fair - h.load if h.fair else math.inf, h) for h in self.pool if h.sound]
        self.spare, self.shifted = sorted(room, key=lambda row: row[0]), {}
        self.heaviest = 1.2 * max((h.entry.weight for h in self.pool), default=0.0)  # over ROOM * 1.05
        self.ranks.add(here)

    def shift(self, h: Host, part: float) -> None:
        h.load += part
        self.shifted[h] = None

    def used(self, h: Host, more: float = 0.0) -> float:
        return (h.load + more) / h.fair if h.fair else 0.0

    def best(self, s: Slice, more: float, must: bool, least: float = 0.0) -> Host | None:
        """The top scorer among servers with room; the least used warm one where none has any.

        The caller does nothing with one whose own score is not above `least`.
        """
        taken, few = (s.owner, *s.helpers), FEW if s.rates or not s.helpers else 0  # unheard of, in demand
        top: Host | None = None
        most = 0.0
        marks, servers = self.ranks.of(s.id)
        for mark_, h in zip(marks, servers, strict=True):
            if mark_ * self.heaviest <= most:
                return top  # nobody further down can score more
            if h.sound and h not in taken and (used := self.used(h, more)) <= ROOM:
                value = h.entry.weight * mark_ * (ROOM * 1.05 - used)
                if value > most and self.open(h, few):
                    top, most = h, value
        beyond = marks[-1] * self.heaviest if marks and not self.ranks.whole else 0.0
        if beyond > least or beyond and top and self.score(s, top) > least:
            # Those that had the room at the survey, and those whose load changed since.
            first = bisect(self.spare, more * (1.0 - 1e-9), key=lambda row: row[0])
            for h in (*(h for _, h in self.spare[first:]), *self.shifted):
                if h.sound and h not in taken and (used := self.used(h, more)) <= ROOM:
                    if self.open(h, few):
                        value = h.entry.weight * mark(s.id, h.id) * (ROOM * 1.05 - used)
                        top, most = (h, value) if value > most else (top, most)
        if top:
            return top
        rest = [h for h in self.pool if must and h not in taken]
        rest = [h for h in rest if not h.chilly] or rest
        return min(rest, key=lambda h: self.used(h, more)) if rest else None

    def may_send(self, urgent: bool) -> bool:
        most = self.set.messages_most - 1 if urgent else int(self.set.messages_most * SPARE)
        while self.sent and self.sent[0] <= self.now - self.set.messages_span - 1.0:
            self.sent.popleft()
        if self.set.messages_most and len(self.sent) >= most:
            return False
        waiting = sum(cost for out in self.proxies.values() for _, cost in out)
        free = self.set.queue_most * (FILL if urgent else 0.5) - waiting
        self.room = free / max(1, len(self.proxies)) - self.set.message_head - 2.0 - self.orders
        return self.room > self.set.message_head

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
        self.out += [api.SetLine(s.id, h.id, 1.0) for h in new] + [api.SetLine(s.id, h.id, 0.0) for h in gone]
        s.lines = dict.fromkeys([h for h in (*s.lines, *new) if h not in gone], 1.0)

    def give(self, s: Slice, h: Host, hold: bool) -> None:
        """Make `h` the owner; the old one goes, or stays until acks."""
        if s.owner:
            self.shift(s.owner, -s.part)
        self.shift(h, s.part)
        self.begin(h)
        s.held, s.owner, s.want = s.owner if hold else None, h, None
        s.helpers = [x for x in s.helpers if x is not h]
        s.hold_mark, s.hold_end = (self.mark + 1) % WRAP, self.now + HOLD
        self.write(s)

    def open(self, h: Host, few: int) -> bool:
        """A cold server takes its few slices in a window, of all stewards together what they agreed on."""
        return not h.chilly or h.taken < few and self.may("cold_slices", h.id, False)

    def begin(self, h: Host) -> None:
        """A slice is given to it."""
        h.taken += 1
        if h.chilly:
            self.may("cold_slices", h.id, True)

    def plan(self, turn: bool) -> None:
        self.orders = 0
        if not self.may_send(True):
            return
        for s in self.slices.values():
            if s.owner is None and s.lines:  # given anew
                s.owner = max(s.lines, key=lambda h: (s.lines[h], self.score(s, h)))
                s.helpers = [h for h in s.lines if h is not s.owner]  # or an old owner: dropped if not needed
        self.survey()
        self.urgent = False
        self.leave()
        if turn:
            self.forget()
        if turn and self.may_send(False):
            self.release()
            self.move()
            self.admit()
        if self.levels_due and self.slices and self.proxies:
            self.levels_due = False
            # Again only on proof that the first try never ran: safe for every operation, and feeds no jam.
            self.out.append(api.Level(api.ALL_TABLES, 0, self.level, api.Retry.PROVEN_UNRUN))
            self.orders += 1
        if self.orders:
            self.mark = (self.mark + 1) % WRAP
            self.out.append(api.Mark(self.mark))
            self.sent.append(self.now)
            for out in self.proxies.values():
                out.append((self.mark, self.set.message_head + self.orders + 2))

    def forget(self) -> None:
        """Servers that left for good go from memory: new ids may come for as long as this runs."""
        listed = sum(h.listed for h in self.hosts.values())
        if not self.fresh or len(self.hosts) <= 2 * listed + GONE:
            return
        named = {h for s in self.slices.values() for h in (*s.lines, *s.helpers, s.owner, s.held, s.want)}
        busy = {h for h in self.hosts.values() if h.probing or h.cordoned or self.dropped(h)}
        gone = [h for h in self.hosts.values() if not h.listed and h not in named and h not in busy]
        self.ranks.forget(gone)
        for h in gone:
            del self.hosts[h.id]
        for s in self.slices.values():
            s.looked = 0  # lists may be made anew, a turn's marks at a time

    def leave(self) -> None:
        """Slices without an owner, or whose owner is dead or draining, go at once, the busiest first."""
        # Servers that must go, with more lines than a reply holds (a wave of drains, a hundred proxies), are
        # shut out by one line each, not one a slice; old lines go in ordinary turns, a return lifts it.
        going = {h for h in self.hosts.values() if self.leaving(h) and not h.cordoned}
        if going:
            going = {h for s in self.slices.values() for h in s.lines if h in going}
        lines = 2 * sum(not going.isdisjoint(s.lines) for s in self.slices.values()) if going else 0
        much = lines > self.room
        for h in self.hosts.values():
            shut = self.leaving(h) and (h.cordoned or much and h in going)
            if h.cordoned != shut:
                h.cordoned, self.orders, self.room = shut, self.orders + 1, self.room - 1
                self.out.append(api.Cordon(h.id, shut))
        # What could not be written before goes first.
        for s in self.slices.values():
            s.helpers = s.helpers and [h for h in s.helpers if h.pooled]
            s.held = s.held if s.held and s.held.pooled else None
            if s.owner and s.owner.pooled:
                self.write(s)
        stay = {*self.pool, *(h for h in self.hosts.values() if not (h.listed or self.fresh))}
        lost = [s for s in self.slices.values() if s.owner not in stay]
        # A cold server that holds too much (it died with its slices and came back, or they grew), or whose
        # answers are late, tips over: what is too much leaves without waiting for gate or hold.
        warm = any(not h.chilly for h in self.pool)
        cold: dict[Host, list[Slice]] = {h: [] for h in self.pool if warm and h.chilly}
        for s in self.slices.values() if cold else ():
            if s.owner in cold:
                cold[s.owner].append(s)
        for h, own in cold.items():
            most = TIPPING * self.set.fall_multiple
            if h.stress > SHED * CROWDED and self.now - h.shed_at > self.window:
                most, h.shed_at = min(most, self.used(h) / 2), self.now
            for s in sorted(own, key=lambda s: (-s.rate, s.id)):
                if self.used(h) > most:
                    self.shift(h, -s.part)
                    lost.append(s)
                    s.owner = None
        for s in sorted(lost, key=lambda s: (not s.owner or not self.leaving(s.owner), -s.rate, s.id)):
            if s.helpers:
                self.give(s, max(s.helpers, key=lambda h: self.score(s, h)), hold=False)
            elif to := self.best(s, s.part, must=True):
                self.give(s, to, hold=False)
            elif s.owner and self.leaving(s.owner):  # nowhere to go: the drain is kept
                s.owner = None
                self.write(s)

    def admit(self) -> None:
        """Let in less while the whole fleet is strained: what waits too long is worth nothing."""
        wait = self.set.report_every + 2 * self.set.transit
        if self.set.admission != "fraction" or self.now - self.level_at < wait:
            return
        level = self.level
        if self.median > FULL or (self.fit < 0.8 and self.median > FULL / 2):
            level = max(LEAST, min(level * 0.95, self.fit))
        elif self.median < FULL * 0.75:
            level = min(1.0, level * 1.1, max(level, self.fit * ROOM))
        if level != self.level:
            self.level, self.level_at, self.levels_due = level, self.now, True
            self.out.append(api.Note(f"level {level:.2f}"))

    def release(self) -> None:
        """Old owners go once every proxy has acked, or the hold ends."""
        out = sorted({m for marks in self.proxies.values() for m, _ in marks})
        for s in self.slices.values():
            waits = s.held and any((s.hold_mark - m) % WRAP < WRAP // 2 for m in out)
            s.held = s.held if waits and self.now < s.hold_end else None
            self.write(s, all=True)

    def spread(self) -> None:
        """Where several stewards share the work, sums come seldom: a slice that asks for more than a whole
        server, and jams its own, is shared at once with as many as it takes."""
        for s in self.slices.values() if self.set.stewards > 1 else ():
            h, wide = s.owner, len(s.helpers)
            while h and h.stress > self.strained and s.part > h.space * self.whole:
                less = s.rate / (2 + len(s.helpers))
                to = self.best(s, less, must=True)
                sound = to and to.run == 0 and to.taken < FEW and self.now - to.good_at <= 2 * self.window
                if not to or to.chilly or not sound or to.stress * WORSE >= h.stress:
                    break
                for x in (h, *s.helpers):
                    self.shift(x, less - s.part)
                self.shift(to, less)
                self.begin(to)
                s.helpers.append(to)
            if len(s.helpers) > wide:
                self.write(s)

    def move(self) -> None:
        """Moves off live owners: off crowded ones, or won by a better score; gated and paced."""
        self.spread()
        serves: dict[Host, dict[Slice, None]] = {}  # at least the slices of each, once one is to shed
        for h in [h for h in self.pool if self.now - h.shed_at > self.wait]:
            few = CHANCE if self.set.stewards > 1 and self.median < CROWDED / 2 else 0.0
            tries, used = h.good + h.bad, self.used(h)
            strain = h.stress * tries / (tries + few) if tries else 0.0
            over = used if used > SHED and strain > CROWDED / 2 else 1.0
            goal = h.load * min(1.0, 1.0 / over, self.strained / max(strain, 0.01))
            if goal == h.load:
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
                share = s.part > HOT * h.space * self.mean
                less = s.rate / (2 + len(s.helpers))
                to = self.best(s, less if share else s.part, must=share)
                if not to or to.stress * WORSE >= strain:
                    continue
                fits = not share or not to.chilly and self.used(to, less) * ROOM <= self.used(h)
                if fits and self.passes(s, to):
                    h.shed_at = h.shed_at if h.chilly else self.now  # a cold one's is for what tips it
                    if share:
                        self.shift(h, less - s.part)
                        self.shift(to, less)
                        self.begin(to)
                        s.helpers.append(to)
                        serves.setdefault(to, {})[s] = None
                    elif s.owner is h:
                        self.give(s, to, hold=True)
                    else:
                        self.shift(h, -s.part)
                        s.helpers.remove(h)
                    self.write(s)
        left = MARKS
        for s, owner in [(s, s.owner) for s in self.slices.values() if s.owner]:
            if s.helpers and s.rates and s.rate / len(s.helpers) < HOT / 2 * owner.space * self.mean:
                s.helpers.remove(min(s.helpers, key=lambda h: self.score(s, h)))
                self.write(s)
            # Counted, not seen in the lists: what was worked out ahead must not change what is decided.
            new = len(self.ranks.servers) - s.looked
            if s.held or new > left:
                continue
            left, s.looked = left - new, s.looked + new
            # Most owners sit so well that nobody could take their place: none is looked for.
            sits, sitting, over = self.score(s, owner), SITTING * self.set.slices, self.used(owner) > SHED
            least, marks = sits * (min(sitting, 1.0) if over else sitting), self.ranks.of(s.id)[0]
            if not marks or marks[0] * self.heaviest <= least:
                continue
            if to := self.best(s, s.part, False, least):
                # A sitting owner is preferred, but not to a new server once it holds far over its part: what
                # a fleet grew by would stand idle until the old ones drown. Costs a release a few moves more.
                fresh = (to.chilly or not to.load) and over
                if self.score(s, to) > sits * (1.0 if fresh else sitting) and self.passes(s, to):
                    self.give(s, to, hold=True)

    def passes(self, s: Slice, to: Host) -> bool:
        """The gate: the destination was heard sound, or a window has passed without a run of failures."""
        if s.want is not to:
            s.want, s.want_at = to, self.now
            if self.now - to.shown > self.set.report_every:
                self.probe(to)
        known = to.run == 0 and self.now - to.good_at <= 2 * self.window
        ready = known or self.now - s.want_at >= self.set.report_every
        return to.run < RUN and to.taken < FEW and ready and self.may("moves", 0, True)
