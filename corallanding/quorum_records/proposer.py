"""The holder of one group: reads what a majority of keepers has, then writes, each record once. Pure.

Two holders at one time could do no harm: a majority has promised the later one to refuse the earlier.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..lease.election import OutgoingMessage
from .limits import RecordLimits
from .messages import (
    ACCEPTED,
    CLOSED,
    COPIED_MOST,
    FULL,
    RECOVERING,
    SUPERSEDED,
    Accept,
    AcceptReply,
    Prepare,
    PrepareReply,
    RecordRow,
)


@dataclass
class ReadProgress:
    """How far one keeper has told what it has."""

    after: int = -1
    round: int = 0  # of the fetch that is out
    asked_at: float = float("-inf")
    done: bool = False
    pages: int = 0


@dataclass(slots=True)
class ProposedRecord:
    """order: fence and round under which it was read; None: it is ours. round: of the copies that carry it, 0 before
    they go. votes: bits of the keepers that have it so. decided: they are a majority."""

    value: int
    born: float
    order: tuple[int, int] | None = None
    round: int = 0
    votes: int = 0
    decided: bool = False
    first: bool = False


@dataclass
class WriteInFlight:
    rows: list[int]  # keys
    sent_at: float
    waits: set[int]  # keepers that have not answered
    first: bool


@dataclass
class Proposer:
    """keepers: numbers, ourselves among them where we are one. next_round: one count for all writers of this life, so
    that what a later one writes stands behind what an earlier one wrote under the same fence."""

    life: int
    group: int
    keepers: tuple[int, ...]
    terms: RecordLimits
    fence: int
    next_round: Callable[[], int]
    open: bool = False  # whether a majority has told all it has
    behind: int = 0  # a fence above ours that a keeper has seen: nothing can be written here any more
    rows: dict[int, ProposedRecord] = field(default_factory=dict)
    reads: dict[int, ReadProgress] = field(default_factory=dict)
    outs: dict[int, WriteInFlight] = field(default_factory=dict)
    queue: list[int] = field(default_factory=list)  # keys to be copied
    decided: list[int] = field(default_factory=list)  # since the owner last looked
    denied: dict[int, int] = field(default_factory=dict)  # key: why its beginning was refused, since then

    def __post_init__(self) -> None:
        self.reads = {k: ReadProgress() for k in self.keepers}
        self.bit = {k: 1 << n for n, k in enumerate(self.keepers)}

    @property
    def needed(self) -> int:
        return len(self.keepers) // 2 + 1

    # ---- what the owner asks -------------------------------------------------------------------------------

    def get(self, key: int) -> ProposedRecord | None:
        """None: nobody has it, as far as a majority knows. Only good once `open`."""
        return self.rows.get(key)

    def write(self, now: float, key: int, value: int, born: float, first: bool = True) -> bool:
        """Begin to write; false if too much is under way. A later value takes the place of an earlier."""
        if not self.open or self.behind or len(self.queue) + len(self.outs) * COPIED_MOST >= self.terms.writes_most:
            return False
        old = self.rows.get(key)
        if old is not None and old.value == value and (old.decided or old.order is None):
            return True
        self.rows[key] = ProposedRecord(value, born if old is None else old.born, first=first and old is None)
        self.queue.append(key)
        return True

    def confirm(self, now: float, key: int) -> bool:
        """What was read and is not surely a majority's is written anew before anybody is told of it."""
        entry = self.rows[key]
        if entry.decided:
            return True
        if entry.order:
            self.write(now, key, entry.value, entry.born, first=False)
        return False

    def forget(self, key: int) -> None:
        self.rows.pop(key, None)

    # ---- words ---------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Fetches until a majority has answered, then copies; what is not answered is said again."""
        out: list[OutgoingMessage] = []
        if self.behind:
            return out
        if not self.open:
            for keeper, r in self.reads.items():
                if not r.done and now - r.asked_at >= self.terms.again:
                    out.append(self.fetch(now, keeper, r))
            return out
        while self.queue:
            first = self.rows[self.queue[0]].first if self.queue[0] in self.rows else False
            keys = [k for k in self.queue if k in self.rows and self.rows[k].first == first][:COPIED_MOST]
            taken = set(keys)
            self.queue = [k for k in self.queue if k not in taken and k in self.rows]
            if not keys:
                continue
            number = self.next_round()
            for k in keys:
                self.rows[k].round = number
            self.outs[number] = o = WriteInFlight(keys, now, set(self.keepers), first)
            out += self.copies(now, number, o)
        for number, o in list(self.outs.items()):
            if now - o.sent_at >= self.terms.again:
                o.sent_at = now
                out += self.copies(now, number, o)
        return out

    def fetch(self, now: float, keeper: int, r: ReadProgress) -> OutgoingMessage:
        r.asked_at = now
        r.round = r.round or self.next_round()  # said again it is the same: an answer that took long is as good
        return OutgoingMessage(keeper, Prepare(self.life, r.round, self.group, self.fence, r.after))

    def copies(self, now: float, number: int, o: WriteInFlight) -> list[OutgoingMessage]:
        rows: list[RecordRow] = [
            (k, e.value, max(0, int(now - e.born))) for k in o.rows if (e := self.rows.get(k)) and e.round == number
        ]
        if not rows:
            del self.outs[number]
            return []
        word = Accept(self.life, number, self.group, self.fence, o.first, rows)
        return [OutgoingMessage(k, word) for k in sorted(o.waits)]

    def page(self, now: float, keeper: int, word: PrepareReply) -> list[OutgoingMessage]:
        r = self.reads.get(keeper)
        if r is None or word.life != self.life or word.round != r.round or r.done or self.open:
            return []
        if word.what == SUPERSEDED:
            self.behind = max(self.behind, word.seen)
        if word.what != ACCEPTED:
            return []  # a blank one counts for nobody; it is asked again
        for key, value, age, fence, number in word.rows:
            self.read(keeper, key, value, now - age, (fence, number))
        r.pages += 1
        if word.more and word.rows and r.pages < self.terms.read_most:
            r.after, r.round = word.rows[-1][0], 0
            return [self.fetch(now, keeper, r)]
        r.done = not word.more
        if sum(x.done for x in self.reads.values()) >= self.needed:
            self.open = True
            for e in self.rows.values():
                e.decided = e.votes.bit_count() >= self.needed
        return []

    def read(self, keeper: int, key: int, value: int, born: float, order: tuple[int, int]) -> None:
        e = self.rows.get(key)
        if e is None or e.order is None or order > e.order:
            self.rows[key] = ProposedRecord(
                value, born if e is None else min(born, e.born), order, votes=self.bit[keeper]
            )
        elif order == e.order:
            e.votes |= self.bit[keeper]
            e.born = min(e.born, born)

    def copied(self, now: float, keeper: int, word: AcceptReply) -> None:
        o = self.outs.get(word.round)
        if o is None or word.life != self.life or keeper not in o.waits:
            return
        if word.what == SUPERSEDED:
            self.behind = max(self.behind, word.seen)
            return
        if word.what == RECOVERING:
            return  # it is asked again until it has caught up
        if word.what == ACCEPTED:
            for key in o.rows:
                if (e := self.rows.get(key)) and not e.decided and e.round == word.round:
                    e.votes |= self.bit[keeper]
                    if e.votes.bit_count() >= self.needed:
                        e.decided = True
                        self.decided.append(key)
        o.waits.discard(keeper)
        if word.what in (FULL, CLOSED):
            self.no(o, word.what)
        if not o.waits:
            del self.outs[word.round]

    def no(self, o: WriteInFlight, why: int) -> None:
        """So many refuse it that no majority can take it: nobody was told of it, and the owner may write another."""
        refusals = len(self.keepers) - len(o.waits)
        for key in o.rows:
            e = self.rows.get(key)
            if e and not e.decided and e.round and refusals - e.votes.bit_count() > len(self.keepers) - self.needed:
                self.denied[key] = why
