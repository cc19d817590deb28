"""Tasks of the fleet as one steward lives them: what it holds, the office if it has it, and its place of effect for
what others say they do. Sans-I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..rate_limit import PeerRateLimiter
from .election import LeaderElection, OutgoingMessage, VotedElection
from .fenced_resource import FencedResource
from .lease_holder import LeaseHolder
from .limits import LeaseTimings
from .messages import (
    ActionRejected,
    ElectionMessage,
    FencedAction,
    LeaseGrant,
    LeaseMessage,
    LeaseRequest,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from .shard_allocator import ShardAllocator
from .tasks import TaskCatalog


class TaskLeases:
    """me, others: numbers. wall: ms of the wall clock, which the owner sets before each tick: a new dealer begins its
    fences there, or above all that it has heard of, so that they rise through a restart of all.

    chair: the office, where others rest on it too; whoever made it then ticks it and hears its words.
    """

    def __init__(
        self,
        me: int,
        others: tuple[int, ...],
        voters: tuple[int, ...],
        tasks: TaskCatalog,
        terms: LeaseTimings,
        life: int,
        born: float,
        chance: Callable[[], float],
        wall: float = 0.0,
        words_per_s: float = 200.0,
        chair: LeaderElection | None = None,
    ) -> None:
        self.me, self.others, self.tasks, self.terms, self.life = me, others, tasks, terms, life
        self.wall, self.shared = wall, chair is not None
        self.desk: LeaderElection = chair or VotedElection(me, others, voters, terms, life, born, chance, words_per_s)
        self.allowances = PeerRateLimiter(others, words_per_s, born)
        self.holder = LeaseHolder(life, terms, tasks, born)
        self.dealer = ShardAllocator(terms, tasks, life)
        self.place = FencedResource(tasks.count)
        self.refused = 0  # words of nobody that we know, or too many
        self.alone = 0  # asks that found nobody in office to go to

    # ---- what is asked in the instant of an act ------------------------------------------------------------

    def holds(self, now: float, task: int) -> bool:
        return self.holder.holds(now, task)

    def begin(self, now: float, task: int) -> int:
        """The fence of an act that may begin now; 0 if none may. `acted` says it to the other stewards."""
        fence = self.holder.begin(now, task)
        if fence and not self.place.takes(task, fence):
            self.holder.behind_of(self.place.seen[task])
            self.holder.done(now, task, progress=False)
            return 0
        return fence

    def acted(self, task: int, fence: int) -> list[OutgoingMessage]:
        """Words for the others, each a place of effect."""
        return [OutgoingMessage(n, FencedAction(self.life, task, fence)) for n in self.others]

    def done(self, now: float, task: int, progress: bool = True) -> None:
        self.holder.done(now, task, progress)

    def want(self, task: int, on: bool) -> None:
        """Ask for a task that is not always wanted, or give it back."""
        (self.holder.wishes.add if on else self.holder.wishes.discard)(task)
        self.holder.asked_at = float("-inf")

    # ---- the core ------------------------------------------------------------------------------------------

    def office(self, now: float) -> bool:
        """Whether we deal at this instant. Each new holding of the office begins with empty books."""
        held = self.desk.holds(now)
        term = self.desk.term if held else None
        if term is None:
            self.dealer.since = None
            self.desk.tell(0)
            return False
        if self.dealer.since is None or self.dealer.since < term[0]:
            self.dealer.life = self.desk.identity
            self.dealer.begin(now, term[1], self.desk.base(self.wall))
        self.desk.tell(self.dealer.top)
        self.dealer.kept = self.desk.ceiling
        return True

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Call every 50 ms or so. alive: the stewards reckoned with, by the membership."""
        self.office(now)
        out = [] if self.shared else self.desk.tick(now, alive)
        self.office(now)
        return out + self.ask(now)

    def ask(self, now: float) -> list[OutgoingMessage]:
        to, life, office = self.desk.holder
        word = self.holder.ask(now, life, office)
        if word is None:
            return []
        if to is None:
            self.alone += 1
        elif to != self.me:
            return [OutgoingMessage(to, word)]
        elif self.office(now) and (deal := self.dealer.asked(now, self.me, word)):
            if self.holder.dealt(now, deal):
                return self.ask(now)
        return []

    def heard(self, now: float, sender: int, word: ElectionMessage | LeaseMessage) -> list[OutgoingMessage]:
        """A word of a known steward."""
        if isinstance(word, VoteRequest | VoteReply | VoteRelease):
            out = self.desk.heard(now, sender, word)
            self.office(now)
            return out
        if not self.allowances.take(sender, now):
            self.refused += 1
            return []
        match word:
            case LeaseRequest():
                if self.office(now) and (deal := self.dealer.asked(now, sender, word)):
                    return [OutgoingMessage(sender, deal)]
            case LeaseGrant():
                if self.holder.dealt(now, word):
                    return self.ask(now)
            case FencedAction():
                if word.round >= self.tasks.count:
                    self.refused += 1
                elif not self.place.takes(word.round, word.fence):
                    return [OutgoingMessage(sender, ActionRejected(word.life, word.round, self.place.seen[word.round]))]
            case ActionRejected():
                if word.life == self.life:
                    self.holder.behind_of(word.fence)
        return []

    def leave(self, now: float) -> list[OutgoingMessage]:
        """A planned end: everything is given back, but what is under way; the office too."""
        self.holder.leaving, self.holder.asked_at = True, float("-inf")
        return [*self.ask(now), *(() if self.shared else self.desk.leave(now))]

    def page(self, now: float) -> dict[str, Any]:
        """What the door shows."""
        h = self.holder
        held = [self.tasks.label(n) for n in self.tasks.within(h.bits)] if now < h.until else []
        return {
            "dealer": self.desk.holder[0],
            "held": held[:1_000],
            "held_count": len(held),
            "fence": h.fence,
            "lease_left_ms": max(0.0, round(h.until - now, 1)),
            "behind": h.behind,
            "stale": h.stale,
            "turns_lost": {self.tasks.label(n): round(end - now) for n, end in h.barred.items() if end > now},
        }
