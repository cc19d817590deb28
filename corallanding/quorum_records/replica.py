"""What one keeper holds: records by group, and the highest fence seen in each. Pure.

What it says is only good once it is on disk: `unkept` names what must be written before any answer goes out.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .limits import RecordLimits
from .messages import (
    ACCEPTED,
    CLOSED,
    FULL,
    PAGED_MOST,
    RECOVERING,
    SUPERSEDED,
    Accept,
    AcceptReply,
    Prepare,
    PrepareReply,
    VersionedRow,
)


@dataclass(slots=True)
class ReplicaRecord:
    """order: fence and round in which it was written; what was written later goes before. born: by our clock."""

    value: int
    order: tuple[int, int]
    born: float
    live: bool = True  # it is tallied


UnsavedRow = tuple[int, int, int, int, int, float]  # group, key, value, fence, round, born


@dataclass
class UnsavedChanges:
    """To be written in one transaction."""

    rows: list[UnsavedRow] = field(default_factory=list)
    seen: dict[int, int] = field(default_factory=dict)
    gone: list[tuple[int, int]] = field(default_factory=list)  # group, key
    peers: dict[int, tuple[int, int, int]] = field(default_factory=dict)  # keeper: openings of its file, life, writes
    opened: int = 0  # this file counts as opened so often
    writes: int = 0  # of the file, this one among them
    wiped: bool = False  # all that was in it goes first
    whole: bool = False  # it has caught up

    def __bool__(self) -> bool:
        return any(vars(self).values())


AcceptRule = Callable[[int, int, bool], bool]


def accept_any(group: int, value: int, first: bool) -> bool:
    return True


class Replica:
    """may: whether a record of that group and value is taken in; first: nobody was told of it yet. counted: groups of
    which it is known how many live records there are of each value. blank: it has lost what it promised, and answers
    nothing until it has caught up."""

    def __init__(
        self,
        terms: RecordLimits,
        may: AcceptRule = accept_any,
        counted: frozenset[int] = frozenset(),
        lasting: frozenset[int] = frozenset(),
    ) -> None:
        self.terms, self.may, self.counted, self.lasting = terms, may, counted, lasting
        self.tallies: Counter[int] = Counter()
        self.groups: dict[int, dict[int, ReplicaRecord]] = {}
        self.seen: dict[int, int] = {}
        self.sorted: dict[int, list[int]] = {}  # keys of a group that is being read, ascending
        self.count = self.refused = 0
        self.writes = 0  # to its file, ever: one that was put back from a copy has had fewer than others know of
        self.blank = False
        self.unkept = UnsavedChanges()
        self.swept = -1

    def copy(self, now: float, word: Accept) -> AcceptReply:
        """The answer; nothing of a word is kept that is not kept whole."""
        what = self.takes(word)
        if what == ACCEPTED:
            self.raise_seen(word.group, word.fence)
            for key, value, age in word.rows:
                self.put(word.group, key, value, (word.fence, word.round), now - age)
        else:
            self.refused += 1
        return AcceptReply(word.life, word.round, word.group, what, self.seen.get(word.group, 0))

    def takes(self, word: Accept) -> int:
        if self.blank:
            return RECOVERING
        if word.fence < self.seen.get(word.group, 0):
            return SUPERSEDED
        have = self.groups.get(word.group, {})
        if self.count + sum(key not in have for key, _, _ in word.rows) > self.terms.most:
            return FULL
        if not all(self.may(word.group, v, word.first) for k, v, _ in word.rows if k not in have or have[k].value != v):
            return CLOSED
        return ACCEPTED

    def put(self, group: int, key: int, value: int, order: tuple[int, int], born: float) -> None:
        rows = self.groups.setdefault(group, {})
        old = rows.get(key)
        if old is None:
            rows[key] = ReplicaRecord(value, order, born)
            self.count += 1
            self.sorted.pop(group, None)
        elif order >= old.order:
            if old.live:
                self.tally(group, old.value, -1)
            old.value, old.order, old.born, old.live = value, order, min(old.born, born), True
        else:
            return
        self.tally(group, value, 1)
        r = rows[key]
        self.unkept.rows.append((group, key, r.value, *r.order, r.born))

    def tally(self, group: int, value: int, by: int) -> None:
        if group in self.counted:
            self.tallies[value] += by
            if not self.tallies[value]:
                del self.tallies[value]

    def raise_seen(self, group: int, fence: int) -> None:
        if fence > self.seen.get(group, 0):
            self.seen[group] = self.unkept.seen[group] = fence

    def fetch(self, now: float, word: Prepare) -> PrepareReply:
        """A page of the group, which promises the fence that it was asked under."""
        seen = self.seen.get(word.group, 0)
        if self.blank or (word.fence and word.fence < seen):
            return PrepareReply(word.life, word.round, word.group, RECOVERING if self.blank else SUPERSEDED, seen)
        self.raise_seen(word.group, word.fence)
        rows = self.groups.get(word.group, {})
        keys = self.sorted.get(word.group)
        if keys is None:
            keys = self.sorted[word.group] = sorted(rows)
        page = self.page(now, rows, keys, word.after)
        more = len(page) == PAGED_MOST and page[-1][0] != keys[-1]
        if not more:
            self.sorted.pop(word.group, None)
        return PrepareReply(word.life, word.round, word.group, ACCEPTED, self.seen.get(word.group, 0), page, more)

    def page(self, now: float, rows: dict[int, ReplicaRecord], keys: list[int], after: int) -> list[VersionedRow]:
        at = bisect_right(keys, after)
        out = []
        for key in keys[at : at + PAGED_MOST]:
            r = rows[key]
            out.append((key, r.value, max(0, int(now - r.born)), *r.order))
        return out

    def sweep(self, now: float) -> None:
        """Drop what is over its time; call every second: all groups are seen within a sixteenth of it."""
        groups = sorted(self.groups.keys() - self.lasting)
        for _ in range(min(len(groups), 1 + int(len(groups) * 16_000.0 / self.terms.keep))):
            group = self.swept = next((g for g in groups if g > self.swept), groups[0])
            rows = self.groups.get(group, {})
            for key, r in list(rows.items()):
                if r.live and now - r.born > self.terms.live:
                    r.live = False
                    self.tally(group, r.value, -1)
                if now - r.born > self.terms.keep:
                    del rows[key]
                    self.count -= 1
                    self.unkept.gone.append((group, key))
                    self.sorted.pop(group, None)
            if not rows:
                self.groups.pop(group, None)

    def wipe(self) -> None:
        """What stands here is a copy of former days: nothing of it is to be trusted."""
        self.groups, self.seen, self.sorted, self.count, self.blank = {}, {}, {}, 0, True
        self.tallies.clear()
        self.unkept = UnsavedChanges(wiped=True)

    def take_unkept(self) -> UnsavedChanges:
        out, self.unkept = self.unkept, UnsavedChanges()
        if out:
            self.writes += 1
            out.writes = self.writes
        return out
