"""The tasks of one steward: which it holds, whether an act may begin, what it asks for. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .limits import LeaseTimings
from .messages import LeaseGrant, LeaseRequest
from .tasks import TaskCatalog, pack, unpack


@dataclass
class LeaseHolder:
    """life: drawn at the start. All times in ms by one clock."""

    life: int
    terms: LeaseTimings
    tasks: TaskCatalog
    born: float
    bits: int = 0  # shards dealt to us
    fence: int = 0
    until: float = float("-inf")  # by our clock
    taken: int = 0  # round of the ask that the last deal answered; answers to that and earlier ones are void
    round: int = 0
    asked: dict[int, float] = field(default_factory=dict)  # round: when
    asked_at: float = float("-inf")
    busy: dict[int, float] = field(default_factory=dict)  # task: when the act on it has ended at the longest
    moved: dict[int, float] = field(default_factory=dict)  # task with `idle`: when it last moved, or was taken up
    wishes: set[int] = field(default_factory=set)  # tasks asked for that are not always wanted
    barred: dict[int, float] = field(default_factory=dict)  # task: until when we do not ask for it: a turn was lost
    seen: int = 0  # the highest fence that was shown to us
    leaving: bool = False
    stale: int = 0  # deals that came too late or for nothing
    behind: int = 0  # acts that a place refused
    said: Callable[[str, int], None] = lambda what, task: None  # taken up, given up, lost, turn lost: by task

    # ---- what is asked in the instant of an act ------------------------------------------------------------

    def holds(self, now: float, task: int) -> bool:
        return now < self.until and bool(self.bits >> self.tasks.shard(task) & 1) and task not in self.barred

    def begin(self, now: float, task: int) -> int:
        """The fence of an act that may begin now; 0 if none may. Only if its longest time ends within the lease."""
        end = now + self.terms.theirs(self.tasks.task(task).work)
        if not self.holds(now, task) or end > self.until or self.busy.get(task, 0.0) > now or self.fence <= self.seen:
            return 0
        self.busy[task] = end
        return self.fence

    def progress(self, now: float, task: int) -> None:
        """The task has moved on."""
        if task in self.moved:
            self.moved[task] = now

    def done(self, now: float, task: int, progress: bool = True) -> None:
        """The act has ended, and nothing of it is on its way any more."""
        self.busy.pop(task, None)
        if progress:
            self.progress(now, task)

    def behind_of(self, fence: int) -> None:
        """A place refused an act, and said what it has seen: we ask for a fence above that."""
        self.behind += 1
        if fence > self.seen:
            self.seen, self.asked_at = fence, float("-inf")

    # ---- words ---------------------------------------------------------------------------------------------

    def working(self, now: float) -> int:
        """The shards on which acts may still be under way."""
        self.busy = {task: end for task, end in self.busy.items() if end > now}
        return self.tasks.shards(self.busy)

    def wanted(self, now: float) -> int:
        if self.leaving:
            return 0
        self.barred = {task: end for task, end in self.barred.items() if end > now}
        return (self.tasks.always | self.tasks.shards(self.wishes)) & ~self.tasks.shards(self.barred)

    def watch(self, now: float) -> None:
        """Tasks that are held and do not move on: the turn is lost, and another may try."""
        if now >= self.until:
            if self.bits:
                self.drop(self.bits, "lost")
            return
        for task, at in list(self.moved.items()):
            idle = self.tasks.task(task).idle
            if idle and now - at > idle and task not in self.barred:
                self.barred[task] = now + self.terms.turn * self.terms.lease
                self.moved.pop(task)
                self.asked_at = float("-inf")
                self.said("turn lost", task)

    def ask(self, now: float, to: int, office: int) -> LeaseRequest | None:
        """The word for the dealer, if one is due. One for all that is held."""
        self.watch(now)
        if now - self.asked_at < self.terms.again:
            return None
        wanted, held = self.wanted(now), self.bits if now < self.until else 0
        if not wanted and not held and not self.working(now):
            return None
        self.round += 1
        self.asked = {r: at for r, at in self.asked.items() if now - at < 2 * self.terms.lease}
        self.asked[self.round] = self.asked_at = now
        held |= self.working(now)
        return LeaseRequest(
            self.life, self.round, to, office, pack(wanted), pack(held), self.taken, self.tasks.digest, self.seen
        )

    def dealt(self, now: float, word: LeaseGrant) -> bool:
        """A deal, good from when it was asked for. True if it gave less: the dealer waits to hear of it."""
        at = self.asked.get(word.round)
        if word.life != self.life or at is None or word.round <= self.taken:
            self.stale += 1
            return False
        bits, before = unpack(word.held), self.bits if now < self.until else 0
        if self.leaving:
            bits &= before
        self.taken, self.until = word.round, at + self.terms.mine(self.terms.lease)
        if now >= self.until:
            bits = 0
        less = before & ~bits
        self.drop(less, "given up")
        self.bits = bits
        self.fence = max(self.fence, word.fence)
        for task in self.tasks.within(bits & ~before) if bits & ~before else ():
            if self.tasks.task(task).idle:
                self.moved[task] = now
            self.said("taken up", task)
        if less:
            self.asked_at = float("-inf")
        return bool(less)

    def drop(self, bits: int, why: str) -> None:
        self.bits &= ~bits
        for task in self.tasks.within(bits) if bits else ():
            self.moved.pop(task, None)
            self.said(why, task)
