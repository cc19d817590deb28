"""The books of the steward that holds the office: what is lent to whom, and who gets how much. Pure.

What is lent counts until it surely has ended, whatever became of its holder. A divider that is new to the office
divides what holders tell it, in its own term, that they have of its predecessor's grants: nobody else can have that.
The rest of the whole it lends only once all that its predecessor lent has ended.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .fair_share import share
from .limits import Budget, BudgetKey, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, GrantRow, RequestRow

LIVES_MOST = 4  # of one steward, that something may still be lent to


@dataclass
class ClientState:
    """What one process may have in use beyond its floor: the largest of its entries."""

    round: int = -1  # of its last want
    wanted: int = 0
    at: float = float("-inf")
    entries: list[tuple[int, int, float]] = field(default_factory=list)  # (round, amount, until)

    def out(self, now: float) -> int:
        self.entries = [e for e in self.entries if e[2] > now]
        return max((amount for _, amount, _ in self.entries), default=0)


@dataclass
class QuotaAllocator:
    """budgets: by id, as configured here; changed in place by a reload. since: when the office began."""

    terms: QuotaLimits
    budgets: Mapping[int, Budget]
    life: int = 0  # of this process, and the round of its first word in the present office
    first: int = 0
    since: float | None = None
    books: dict[BudgetKey, dict[tuple[int, int], ClientState]] = field(default_factory=dict)  # (steward, life)
    known: dict[BudgetKey, int] = field(default_factory=dict)  # of a predecessor's grants, by what holders said
    late: int = 0  # wants that were meant for a former office
    strangers: int = 0  # rows of budgets that are not ours, or that differ
    refused: int = 0  # rows beyond the bounds

    def begin(self, now: float, first: int = 0) -> None:
        """The office is new, or was lost for a moment: another may have lent since. first: the round of the first word
        in which we can say that we hold it."""
        self.since, self.first, self.books, self.known = now, first, {}, {}

    def asked(self, now: float, sender: int, word: CapacityRequest) -> CapacityGrant:
        """now: an instant at which the office was held."""
        if word.to != self.life or word.office < self.first:
            self.late += 1
            return CapacityGrant(word.life, word.round, [])
        rows = [given for row in word.rows[:64] if (given := self.row(now, sender, word, row))]
        return CapacityGrant(word.life, word.round, rows)

    def row(self, now: float, sender: int, word: CapacityRequest, row: RequestRow) -> GrantRow | None:
        number, subject, wanted, have, held, taken = row
        budget, key = self.budgets.get(number), (number, subject)
        if budget is None or (budget.per == "fleet" and subject):
            self.strangers += 1
            return None
        book = self.books.get(key)
        if book is None:
            if len(self.books) >= self.terms.keys_most:
                self.sweep(now)
            if len(self.books) >= self.terms.keys_most:
                self.refused += 1
                return None
            book = self.books[key] = {}
        me = (sender, word.life)
        if me not in book and sum(k[0] == sender for k in book) >= LIVES_MOST:
            self.drop(now, book)
            if sum(k[0] == sender for k in book) >= LIVES_MOST:
                self.refused += 1
                return None
        assert self.since is not None
        good, pool = self.terms.theirs(self.terms.good(budget)), max(0, budget.pool)
        learning = now < self.since + good
        if me not in book and learning:
            self.known[key] = min(pool, self.known.get(key, 0) + have)
        mine = book.setdefault(me, ClientState())
        if word.round <= mine.round:
            return None  # late or repeated: it was answered, and says what is no longer so
        mine.round, mine.at, mine.wanted = word.round, now, min(wanted, pool)
        self.settle(now, mine, taken, min(held, pool), now + good if learning else None)
        pool = min(pool, self.known.get(key, 0)) if learning else pool
        others = sum(life.out(now) for who, life in book.items() if who != me)
        amount = max(0, min(self.part(now, key, pool, sender), pool - others))
        mine.entries.append((word.round, amount, now + good))
        return number, subject, amount

    def settle(self, now: float, life: ClientState, taken: int, held: int, learning: float | None) -> None:
        """It has taken up the answer to its round `taken`, will take up none before that any more, and has no more
        than `held` in use of all those. A later answer may still be on its way: what that lent stands beside this.
        learning: until when what it says of a former divider's grants is good."""
        over = [e for e in life.entries if e[0] <= taken]
        life.entries = [e for e in life.entries if e[0] > taken and e[2] > now]
        ends = max((until for _, _, until in over), default=now)
        if learning is not None:
            life.entries.append((taken, held, max(ends, learning)))
        elif over and held:
            life.entries.append((taken, min(held, max(amount for _, amount, _ in over)), ends))

    def part(self, now: float, key: BudgetKey, pool: int, sender: int) -> int:
        """The max-min fair part, and of what nobody wants an even part, one kept in hand for the next to come."""
        wants: dict[int, int] = {}
        for (steward, _), life in self.books[key].items():
            if now - life.at <= self.terms.lease:
                wants[steward] = max(wants.get(steward, 0), life.wanted)
        parts = share(pool, wants, key[1] % max(1, len(wants)))
        spare = max(0, pool - sum(parts.values()))
        return parts[sender] + (spare // (len(wants) + 1) if wants[sender] else 0)

    def drop(self, now: float, book: dict[tuple[int, int], ClientState]) -> None:
        for who in [w for w, life in book.items() if not life.out(now) and now - life.at > self.terms.lease]:
            del book[who]

    def sweep(self, now: float) -> None:
        for key, book in list(self.books.items()):
            self.drop(now, book)
            if not book:
                del self.books[key]
