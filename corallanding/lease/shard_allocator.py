"""The books of the steward in office: which shards are out to whom, who gets which, under which fence. Pure.

What is dealt counts as out until it surely has ended, whatever became of its holder. A dealer that is new in office
goes on with what holders tell it, in its own term, that they hold; all else it deals once every deal of its predecessor
has ended.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .limits import SALT, LeaseTimings
from .messages import LeaseGrant, LeaseRequest
from .shard_plan import plan
from .tasks import TaskCatalog, each, pack, unpack

LIVES_MOST = 4  # of one steward, that something may still be out to
PLANNED = 100.0  # ms for which a plan stands


@dataclass
class ProcessLeases:
    """What one process may hold: every entry that has not ended."""

    round: int = -1  # of its last ask
    wanted: int = 0
    at: float = float("-inf")
    fence: int = 0  # of the last deal
    entries: list[tuple[int, int, float]] = field(default_factory=list)  # (round, shards, until)

    @property
    def dealt(self) -> int:
        """By the last answer; what is out may be more."""
        return max(self.entries, default=(0, 0, 0.0))[1]

    def out(self, now: float) -> int:
        self.entries = [e for e in self.entries if e[2] > now]
        bits = 0
        for _, held, _ in self.entries:
            bits |= held
        return bits


Who = tuple[int, int]  # steward, life


@dataclass
class ShardAllocator:
    """life: by what asks name the one in office. fence: the last one given out; `kept`: the highest that may be."""

    terms: LeaseTimings
    tasks: TaskCatalog
    life: int = 0
    first: int = 0
    since: float | None = None
    fence: int = 0
    kept: int = 0
    book: dict[Who, ProcessLeases] = field(default_factory=dict)
    known: int = 0  # shards of a predecessor's deals, by what holders said
    turns: dict[tuple[int, int], float] = field(default_factory=dict)  # (shard, steward): when it last had it
    planned: dict[int, int] = field(default_factory=dict)
    planned_at: float = float("-inf")
    late: int = 0  # asks that were meant for a former office
    strangers: int = 0  # asks of one with other tasks
    refused: int = 0  # asks beyond the bounds
    moves: int = 0  # shards that were dealt to another than had them last
    last: dict[int, int] = field(default_factory=dict)  # shard: who had it last

    @property
    def good(self) -> float:
        """For how long a deal counts as out, from its answer on."""
        return self.terms.theirs(self.terms.lease)

    def begin(self, now: float, first: int, fence: int) -> None:
        """The office is new, or was lost for a moment. first: the round of the first word in which we can say that we
        hold it. fence: above all that was ever given out, as far as known."""
        self.since, self.first, self.book, self.known = now, first, {}, 0
        self.fence, self.planned_at = max(self.fence, fence), float("-inf")

    @property
    def top(self) -> int:
        """What our words to the voters tell: as many fences ahead as the wall clock passes in half an office's time, so
        that it is beyond them by the time that voters who all forgot elect another."""
        return self.fence + (int(self.terms.office / 2.0) << SALT)

    def asked(self, now: float, sender: int, word: LeaseRequest) -> LeaseGrant | None:
        """now: an instant at which the office was held. None: no answer that could be of use."""
        if word.to != self.life or word.office < self.first:
            self.late += 1
            return None
        if word.tasks != self.tasks.digest:
            self.strangers += 1
            return None
        who, held = (sender, word.life), unpack(word.held)
        mine = self.book.get(who)
        if mine is None:
            if sum(k[0] == sender for k in self.book) >= LIVES_MOST:
                self.drop(now)
            if sum(k[0] == sender for k in self.book) >= LIVES_MOST:
                self.refused += 1
                return None
            assert self.since is not None
            if now < self.since + self.good:
                self.known |= held
            mine = self.book[who] = ProcessLeases()
        if word.round <= mine.round:
            return None  # late or repeated: it was answered, and says what is no longer so
        mine.round, mine.at, mine.wanted = word.round, now, unpack(word.wanted)
        self.fence = max(self.fence, word.seen)  # a place has seen more than we knew: what is dealt next is above it
        self.settle(now, mine, word.taken, held)
        return self.deal(now, who, mine, word)

    def settle(self, now: float, life: ProcessLeases, taken: int, held: int) -> None:
        """It has taken up the answer to its round `taken`, will take up none before that any more, and holds or acts on
        no more than `held` of all those. A later answer may still be on its way: what that dealt stands beside this."""
        assert self.since is not None
        learning = self.since + self.good
        over = [e for e in life.entries if e[0] <= taken]
        life.entries = [e for e in life.entries if e[0] > taken and e[2] > now]
        ends = max((until for _, _, until in over), default=now)
        if now < learning:
            life.entries.append((taken, held, max(ends, learning)))
        elif over and held:
            lent = 0
            for _, bits, _ in over:
                lent |= bits
            life.entries.append((taken, held & lent, ends))

    def deal(self, now: float, who: Who, mine: ProcessLeases, word: LeaseRequest) -> LeaseGrant:
        assert self.since is not None
        others = 0
        for other, life in self.book.items():
            if other != who:
                others |= life.out(now)
        able = self.known if now < self.since + self.good else -1
        before = mine.out(now)
        bits = self.part(now, who[0]) & mine.wanted & able & ~others
        if (bits & ~before) or (mine.fence <= word.seen and bits):
            fence = ((self.fence >> SALT) + 1 << SALT) | self.life % (1 << SALT)
            if fence <= self.kept:
                self.fence = mine.fence = fence
            else:
                bits &= before  # no majority would know of a higher fence yet: nothing new under it
        for shard in each(bits):
            self.turns[shard, who[0]] = now
            self.moves += self.last.get(shard, who[0]) != who[0]
            self.last[shard] = who[0]
        mine.entries.append((word.round, bits, now + self.good))
        return LeaseGrant(word.life, word.round, pack(bits), mine.fence)

    def part(self, now: float, sender: int) -> int:
        """What the plan gives it. A plan is made of all that asked of late, their last lives."""
        if now - self.planned_at > PLANNED or sender not in self.planned:
            newest: dict[int, ProcessLeases] = {}
            for (steward, _), life in self.book.items():
                late = now - life.at > self.terms.lease
                if not late and (steward not in newest or life.at > newest[steward].at):
                    newest[steward] = life
            has = {n: life.dealt for n, life in newest.items()}
            # What two may have (one gives it back as the other takes it up) counts for the first only.
            taken = 0
            for n in sorted(has):
                has[n] &= ~taken
                taken |= has[n]
            wants = {n: life.wanted for n, life in newest.items()}
            self.planned, self.planned_at = plan(has, wants, self.tasks.weights, self.turns, self.tasks.sticky), now
            self.turns = {k: at for k, at in self.turns.items() if now - at < 100 * self.terms.lease}
        return self.planned.get(sender, 0)

    def drop(self, now: float) -> None:
        for who in [w for w, life in self.book.items() if not life.out(now) and now - life.at > self.terms.lease]:
            del self.book[who]
