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
    ballot: tuple[int, int]
    created_at_ms: float
    is_counted: bool = True  # it is tallied


UnsavedRow = tuple[int, int, int, int, int, float]  # group, key, value, fence, round, born


@dataclass
class UnsavedChanges:
    """To be written in one transaction."""

    rows: list[UnsavedRow] = field(default_factory=list)
    highest_tokens: dict[int, int] = field(default_factory=dict)
    deleted_keys: list[tuple[int, int]] = field(default_factory=list)  # group, key
    peer_files: dict[int, tuple[int, int, int]] = field(
        default_factory=dict
    )  # keeper: openings of its file, life, writes
    open_count: int = 0  # this file counts as opened so often
    write_count: int = 0  # of the file, this one among them
    is_wiped: bool = False  # all that was in it goes first
    is_recovered: bool = False  # it has caught up

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
        self.limits, self.accepts, self.counted_groups, self.permanent_groups = terms, may, counted, lasting
        self.value_counts: Counter[int] = Counter()
        self.groups: dict[int, dict[int, ReplicaRecord]] = {}
        self.highest_tokens: dict[int, int] = {}
        self.sorted_keys: dict[int, list[int]] = {}  # keys of a group that is being read, ascending
        self.record_count = self.rejected_count = 0
        self.write_count = 0  # to its file, ever: one that was put back from a copy has had fewer than others know of
        self.is_recovering = False
        self.unsaved = UnsavedChanges()
        self.last_swept_group = -1

    def on_accept(self, now: float, word: Accept) -> AcceptReply:
        """The answer; nothing of a word is kept that is not kept whole."""
        what = self.acceptance_status(word)
        if what == ACCEPTED:
            self.raise_token(word.group, word.fencing_token)
            for key, value, age in word.rows:
                self.put(word.group, key, value, (word.fencing_token, word.round), now - age)
        else:
            self.rejected_count += 1
        return AcceptReply(word.incarnation, word.round, word.group, what, self.highest_tokens.get(word.group, 0))

    def acceptance_status(self, word: Accept) -> int:
        if self.is_recovering:
            return RECOVERING
        if word.fencing_token < self.highest_tokens.get(word.group, 0):
            return SUPERSEDED
        have = self.groups.get(word.group, {})
        if self.record_count + sum(key not in have for key, _, _ in word.rows) > self.limits.max_records:
            return FULL
        if not all(
            self.accepts(word.group, v, word.is_initial) for k, v, _ in word.rows if k not in have or have[k].value != v
        ):
            return CLOSED
        return ACCEPTED

    def put(self, group: int, key: int, value: int, order: tuple[int, int], born: float) -> None:
        rows = self.groups.setdefault(group, {})
        old = rows.get(key)
        if old is None:
            rows[key] = ReplicaRecord(value, order, born)
            self.record_count += 1
            self.sorted_keys.pop(group, None)
        elif order >= old.ballot:
            if old.is_counted:
                self.add_to_count(group, old.value, -1)
            old.value, old.ballot, old.created_at_ms, old.is_counted = value, order, min(old.created_at_ms, born), True
        else:
            return
        self.add_to_count(group, value, 1)
        r = rows[key]
        self.unsaved.rows.append((group, key, r.value, *r.ballot, r.created_at_ms))

    def add_to_count(self, group: int, value: int, by: int) -> None:
        if group in self.counted_groups:
            self.value_counts[value] += by
            if not self.value_counts[value]:
                del self.value_counts[value]

    def raise_token(self, group: int, fence: int) -> None:
        if fence > self.highest_tokens.get(group, 0):
            self.highest_tokens[group] = self.unsaved.highest_tokens[group] = fence

    def on_prepare(self, now: float, word: Prepare) -> PrepareReply:
        """A page of the group, which promises the fence that it was asked under."""
        seen = self.highest_tokens.get(word.group, 0)
        if self.is_recovering or (word.fencing_token and word.fencing_token < seen):
            return PrepareReply(
                word.incarnation, word.round, word.group, RECOVERING if self.is_recovering else SUPERSEDED, seen
            )
        self.raise_token(word.group, word.fencing_token)
        rows = self.groups.get(word.group, {})
        keys = self.sorted_keys.get(word.group)
        if keys is None:
            keys = self.sorted_keys[word.group] = sorted(rows)
        page = self.read_page(now, rows, keys, word.after_key)
        more = len(page) == PAGED_MOST and page[-1][0] != keys[-1]
        if not more:
            self.sorted_keys.pop(word.group, None)
        return PrepareReply(
            word.incarnation, word.round, word.group, ACCEPTED, self.highest_tokens.get(word.group, 0), page, more
        )

    def read_page(self, now: float, rows: dict[int, ReplicaRecord], keys: list[int], after: int) -> list[VersionedRow]:
        at = bisect_right(keys, after)
        out = []
        for key in keys[at : at + PAGED_MOST]:
            r = rows[key]
            out.append((key, r.value, max(0, int(now - r.created_at_ms)), *r.ballot))
        return out

    def sweep(self, now: float) -> None:
        """Drop what is over its time; call every second: all groups are seen within a sixteenth of it."""
        groups = sorted(self.groups.keys() - self.permanent_groups)
        for _ in range(min(len(groups), 1 + int(len(groups) * 16_000.0 / self.limits.retention_ms))):
            group = self.last_swept_group = next((g for g in groups if g > self.last_swept_group), groups[0])
            rows = self.groups.get(group, {})
            for key, r in list(rows.items()):
                if r.is_counted and now - r.created_at_ms > self.limits.counted_ms:
                    r.is_counted = False
                    self.add_to_count(group, r.value, -1)
                if now - r.created_at_ms > self.limits.retention_ms:
                    del rows[key]
                    self.record_count -= 1
                    self.unsaved.deleted_keys.append((group, key))
                    self.sorted_keys.pop(group, None)
            if not rows:
                self.groups.pop(group, None)

    def wipe(self) -> None:
        """What stands here is a copy of former days: nothing of it is to be trusted."""
        self.groups, self.highest_tokens, self.sorted_keys, self.record_count, self.is_recovering = {}, {}, {}, 0, True
        self.value_counts.clear()
        self.unsaved = UnsavedChanges(is_wiped=True)

    def take_unsaved(self) -> UnsavedChanges:
        out, self.unsaved = self.unsaved, UnsavedChanges()
        if out:
            self.write_count += 1
            out.write_count = self.write_count
        return out
