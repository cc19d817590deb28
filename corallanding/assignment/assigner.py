"""One step: what happened goes to the part that keeps it; a turn of decisions follows if due."""

import math
from collections.abc import Callable, Sequence

from .. import interface as api
from .host_health import Known
from .load_estimate import Survey
from .migration import Moves
from .placement import ROOM, Owners
from .publication import SPARE, Orders
from .rendezvous import Ranks
from .state import Figures, Host, Slice

FULL = 0.6  # median strain of the fleet above which less is let in, where the site admits by share
LEAST = 0.1  # the least share that is let in
GONE = 64  # servers that left may be remembered, and as many as there are: then those that nothing names go


class Assigner:
    """settings, seed: of this steward. The parts are shown to those who keep or trace them."""

    can_wait = 0  # the timer of ordinary turns: a steward that is late may let it fall due later

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.seed, self.slices, self.ranks = settings, seed, dict[int, Slice](), Ranks[Host]()
        self.figures, self.orders = Figures(settings.report_interval_ms, settings.report_interval_ms), Orders(settings)
        self.known = Known(settings, seed, self.orders, self.figures)
        self.hosts, self.pending = self.known.hosts, self.orders.pending
        self.survey = Survey(self.known, self.slices, self.ranks, self.figures)
        self.owners = Owners(self.known, self.ranks, self.figures)
        self.moves = Moves(self.known, self.slices, self.owners, self.figures)
        self.level, self.level_at, self.levels_due, self.born = 1.0, 0.0, True, math.inf
        self.turn = max(settings.report_interval_ms / 2, settings.decision_interval_ms)
        if settings.max_messages:
            self.turn = max(self.turn, settings.message_window_ms / (settings.max_messages * SPARE))
        known, pending = self.known, self.pending
        self.hears: dict[type, Callable[..., None]] = {
            api.HostUsageReport: known.heard,
            api.SliceUsageReport: self.survey.demand,
            api.HealthCheckResult: known.probed,
            api.HostListUpdate: known.listed,
            api.SliceOwnershipChange: self.given,
            api.StoredWeight: self.recorded,
            api.VersionAcked: pending.acked,
            api.ProxyLeft: pending.left,
            api.ProxyJoined: pending.joined,
        }

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """now: ms, never less than before. What happened since the last step in, what is to be done out."""
        self.orders.now, self.orders.out, turn = now, [], self.born == math.inf
        if turn:
            self.born = now
            self.orders.out.append(api.StartTimer(self.turn, 0))
            if self.set.polls_host_list:
                self.orders.out.append(api.WatchHostList(True))
        for e in events:
            if hears := self.hears.get(type(e)):
                hears(e)
            elif e == api.TimerFired(0):
                turn = True
                self.orders.out.append(api.StartTimer(self.turn, 0))
            elif e == api.TimerFired(1):
                self.orders.out.append(api.WatchHostList(True))
        if turn or self.orders.urgent:
            self.plan(turn)
        return self.orders.out

    def given(self, e: api.SliceOwnershipChange) -> None:
        self.slices.pop(e.slice, None)
        self.survey.shared_at = self.orders.now
        if e.is_owned:
            self.slices[e.slice] = Slice(e.slice)
            self.orders.urgent = self.levels_due = True

    def recorded(self, e: api.StoredWeight) -> None:
        if e.slice in self.slices:
            self.slices[e.slice].lines[self.known.host(e.host)] = e.weight

    def plan(self, turn: bool) -> None:
        self.orders.orders = 0
        if not self.orders.may_send(True):
            return
        for s in self.slices.values():
            if s.owner is None and s.lines:  # given anew
                s.owner = max(s.lines, key=lambda h: (s.lines[h], self.owners.score(s, h)))
                s.helpers = [h for h in s.lines if h is not s.owner]  # or an old owner: dropped if not needed
        self.survey.take()
        self.orders.urgent = False
        self.moves.leave()
        if turn:
            self.forget()
        if turn and self.orders.may_send(False):
            self.moves.release()
            self.moves.spread()
            self.moves.shed()
            self.moves.win()
            self.admit()
        if self.levels_due and self.slices and self.pending.proxies:
            self.levels_due = False
            # Again only on proof that the first try never ran: safe for every operation, and feeds no jam.
            self.orders.out.append(api.SetAdmission(api.ALL_TABLES, 0, self.level, api.RetryMode.PROVEN_UNRUN))
            self.orders.orders += 1
        if self.orders.orders:
            cost = self.set.message_overhead_lines + self.orders.orders + 2
            self.orders.out.append(self.pending.went(self.orders.now, cost))

    def forget(self) -> None:
        """Servers that left for good go from memory: new ids may come for as long as this runs."""
        listed = sum(h.listed for h in self.hosts.values())
        if not self.known.fresh or len(self.hosts) <= 2 * listed + GONE:
            return
        named = {h for s in self.slices.values() for h in (*s.lines, *s.helpers, s.owner, s.held, s.want)}
        busy = {h for h in self.hosts.values() if h.probing or h.cordoned or self.known.dropped(h)}
        gone = [h for h in self.hosts.values() if not h.listed and h not in named and h not in busy]
        self.ranks.forget(gone)
        for h in gone:
            del self.hosts[h.id]
        for s in self.slices.values():
            s.looked = 0  # lists may be made anew, a turn's marks at a time

    def admit(self) -> None:
        """Let in less while the whole fleet is strained: what waits too long is worth nothing."""
        wait, now, f = self.set.report_interval_ms + 2 * self.set.propagation_ms, self.orders.now, self.figures
        if self.set.admission != "fraction" or now - self.level_at < wait:
            return
        level = self.level
        if f.median > FULL or (f.fit < 0.8 and f.median > FULL / 2):
            level = max(LEAST, min(level * 0.95, f.fit))
        elif f.median < FULL * 0.75:
            level = min(1.0, level * 1.1, max(level, f.fit * ROOM))
        if level != self.level:
            self.level, self.level_at, self.levels_due = level, now, True
            self.orders.out.append(api.LogNote(f"level {level:.2f}"))
