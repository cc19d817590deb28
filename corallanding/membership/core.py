"""Membership by probing, suspicion and news that travels on probes (SWIM, with Lifeguard's own health). Sans-I/O.

No view needs to be equal to another. What rests on this: who is asked first, and who is reckoned with. No rule and no
budget rests on it: a view that is wrong costs time, never a right used twice.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..rate_limit import TokenBucket
from .messages import NEWS_MOST, Ack, News, Ping, PingRequest
from .table import (
    ALIVE,
    DEAD,
    INCARNATIONS,
    LEFT,
    SUSPECT,
    SUSPECTS_AT_ONCE,
    UNKNOWN,
    Action,
    Member,
    MembershipConfig,
    MemberStateChanged,
    OutgoingMessage,
    Probe,
)


@dataclass
class Membership:
    """me, others: numbers, as configured. chance: 0 <= x < 1. All calls return actions in order."""

    me: int
    others: Iterable[int]
    life: int
    terms: MembershipConfig
    chance: Callable[[], float]
    born: float
    incarnation: int = 1
    health: int = 0
    refused: int = 0  # words that were nonsense, too many, or under our own number
    twin: int = 0  # another process under our number was heard of so many times
    seq: int = 0
    probe: Probe | None = None
    leaving: bool = False
    table: dict[int, Member] = field(default_factory=dict)
    order: list[int] = field(default_factory=list)
    rumours: dict[int, int] = field(default_factory=dict)  # member: times its state still goes out
    relayed: dict[int, tuple[int, int, float]] = field(default_factory=dict)  # our seq: (who asked, their seq, when)
    next_at: float = 0.0
    ticked: float = 0.0

    def __post_init__(self) -> None:
        self.table = {n: Member(TokenBucket(self.terms.words_per_s, 10.0, self.born)) for n in self.others}
        self.table.pop(self.me, None)
        self.next_at = self.ticked = self.born
        self.rumours[self.me] = self.times

    # ---- views -------------------------------------------------------------------------------------------

    @property
    def times(self) -> int:
        return math.ceil(self.terms.spread * math.log2(len(self.table) + 2))

    def alive(self) -> list[int]:
        """Those reckoned with, ourselves among them: a suspect still is, for it may well answer."""
        return sorted([self.me, *(n for n, m in self.table.items() if m.state in (ALIVE, SUSPECT))])

    def state(self, member: int) -> int:
        return (LEFT if self.leaving else ALIVE) if member == self.me else self.table[member].state

    # ---- what comes in -----------------------------------------------------------------------------------

    def heard(self, now: float, sender: int, word: Ping | Ack | PingRequest) -> list[Action]:
        """A word of a peer, whose address was checked against its number by the socket's owner."""
        peer = self.table.get(sender)
        if peer is None or not 0 < word.incarnation < INCARNATIONS:
            self.refused += 1
            return []
        if not peer.may.take(now):
            self.refused += 1
            return []
        out: list[Action] = []
        fresh = peer.life != word.life
        peer.life = word.life
        if fresh and peer.state in (SUSPECT, DEAD, LEFT) and word.incarnation <= peer.incarnation:
            # A new process that cannot know what was said of the one before it: told, it outbids that.
            self.rumours[sender] = self.times
        for number, state, incarnation in word.news:
            out += self.told(now, number, state, incarnation)
        out += self.told(now, sender, ALIVE, word.incarnation)
        match word:
            case Ping():
                if word.aim not in (-1, self.me):
                    self.refused += 1
                else:
                    out.append(self.say(sender, Ack(word.seq, self.life, self.incarnation, self.news(sender))))
            case PingRequest():
                if word.aim in self.table and len(self.relayed) < 64:
                    self.seq += 1
                    self.relayed[self.seq] = (sender, word.seq, now)
                    out.append(self.say(word.aim, Ping(self.seq, self.life, self.incarnation, [], word.aim)))
            case Ack():
                out += self.answered(now, sender, word)
        return out

    def answered(self, now: float, sender: int, word: Ack) -> list[Action]:
        if self.probe and word.seq == self.probe.seq and self.probe.member in (sender, word.of):
            if not self.probe.asked:
                self.health = max(0, self.health - 1)
            out = self.told(now, self.probe.member, ALIVE, self.table[self.probe.member].incarnation)
            self.probe = None
            return out
        if asked := self.relayed.pop(word.seq, None):
            to, seq, _ = asked
            return [self.say(to, Ack(seq, self.life, self.incarnation, self.news(to), sender))]
        return []

    def told(self, now: float, number: int, state: int, incarnation: int) -> list[Action]:
        """A claim on a member. The higher incarnation wins; of equal ones the worse state, but for a direct word,
        which `heard` hands in as ALIVE at the sender's own incarnation and which ends no death of that incarnation."""
        if not ALIVE <= state <= LEFT or not 0 < incarnation < INCARNATIONS:
            return []
        if number == self.me:
            if incarnation > self.incarnation and state == ALIVE:
                self.twin += 1  # said by one who was told so by another of our number, or by our own former life
            if incarnation >= self.incarnation and (state != ALIVE or incarnation > self.incarnation):
                if not (self.leaving and state == LEFT):
                    self.incarnation = incarnation + 1
                    self.health = min(self.terms.health_most, self.health + (state == SUSPECT))
                    self.rumours[self.me] = self.times
            return []
        m = self.table.get(number)
        if m is None or incarnation < m.incarnation:
            return []
        if incarnation == m.incarnation and state <= m.state:
            return []
        changed = state != m.state
        m.incarnation = incarnation
        self.rumours[number] = self.times
        if not changed:
            return []
        m.state = state
        m.deadline = now + self.suspicion() if state == SUSPECT else math.inf
        return [MemberStateChanged(number, state)]

    def suspicion(self) -> float:
        size = max(1.0, math.log10(len(self.table) + 1))
        return self.terms.suspicion * size * self.terms.period * (1 + self.health)

    # ---- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Call at least four times a timeout."""
        out: list[Action] = []
        gap, self.ticked = now - self.ticked, now
        if gap > self.terms.period:
            # We slept: what went unanswered meanwhile says nothing of others.
            self.health = min(self.terms.health_most, self.health + 1)
            self.probe = None
            for m in self.table.values():
                m.deadline += gap
        self.relayed = {s: r for s, r in self.relayed.items() if now - r[2] < self.terms.period}
        for number, m in self.table.items():
            if m.state == SUSPECT and now >= m.deadline:
                out += self.told(now, number, DEAD, m.incarnation)
            elif m.state == SUSPECT and now - m.nudged >= self.terms.timeout and len(out) < SUSPECTS_AT_ONCE:
                # It may answer for itself: where words are lost, waiting for its turn would take it for dead.
                m.nudged = now
                self.seq += 1
                out.append(self.say(number, Ping(self.seq, self.life, self.incarnation, self.news(number), number)))
        if (p := self.probe) and not p.asked and now - p.begun >= self.terms.timeout * (1 + self.health):
            p.asked = True
            able = [n for n, m in self.table.items() if m.state == ALIVE and n != p.member]
            for n in self.draw(able, self.terms.helpers):
                out.append(self.say(n, PingRequest(p.seq, self.life, self.incarnation, self.news(n), p.member)))
        if now >= self.next_at:
            if self.probe:
                out += self.missed(now, self.probe)
            out += self.begin(now)
            self.next_at = now + self.terms.period * (1 + self.health)
        return out

    def missed(self, now: float, p: Probe) -> list[Action]:
        self.probe = None
        m = self.table[p.member]
        if m.state == ALIVE:
            self.health = min(self.terms.health_most, self.health + 1)
            return self.told(now, p.member, SUSPECT, max(1, m.incarnation))
        return []

    def begin(self, now: float) -> list[Action]:
        """The next probe: round the members in an order drawn anew each time. Those gone are asked too, but four
        times less often, so that two halves find together again."""
        for _ in range(len(self.table) * 2):
            if not self.order:
                self.order = self.draw(list(self.table), len(self.table))
            n = self.order.pop()
            if self.table[n].state in (ALIVE, SUSPECT) or self.chance() < 0.25:
                self.seq += 1
                self.probe = Probe(n, self.seq, now)
                return [self.say(n, Ping(self.seq, self.life, self.incarnation, self.news(n), n))]
        return []

    def greet(self, now: float) -> list[Action]:
        """At a start: a ping to a few, so that a new one is known after one exchange."""
        some = self.draw(list(self.table), 8)
        return [self.say(n, Ping(0, self.life, self.incarnation, self.news(n), n)) for n in some]

    def leave(self, now: float) -> list[Action]:
        """A planned end, said to a few; the rest hear of it from them."""
        self.leaving = True
        self.rumours[self.me] = self.times
        some = self.draw([n for n, m in self.table.items() if m.state == ALIVE], 8)
        return [self.say(n, Ack(0, self.life, self.incarnation, self.news(n))) for n in some]

    # ---- helpers -----------------------------------------------------------------------------------------

    def draw(self, among: list[int], count: int) -> list[int]:
        rest, out = list(among), list[int]()
        while rest and len(out) < count:
            out.append(rest.pop(int(self.chance() * len(rest))))
        return out

    def news(self, to: int) -> list[News]:
        """What was told least often; first what we hold against the one addressed, so that it can answer."""
        out: list[News] = []
        if (m := self.table.get(to)) and m.state in (SUSPECT, DEAD, LEFT):
            out.append((to, m.state, m.incarnation))
        for n in sorted(self.rumours, key=lambda n: -self.rumours[n])[: NEWS_MOST - 1]:
            if n == self.me:
                # Ourselves alive: said by the word itself to whom it goes, but others pass it on.
                out.append((n, LEFT if self.leaving else ALIVE, self.incarnation))
            elif n != to and self.table[n].state != UNKNOWN:
                out.append((n, self.table[n].state, self.table[n].incarnation))
            self.rumours[n] -= 1
            if self.rumours[n] <= 0:
                del self.rumours[n]
        return out

    def say(self, to: int, word: Ping | Ack | PingRequest) -> OutgoingMessage:
        return OutgoingMessage(to, word)
