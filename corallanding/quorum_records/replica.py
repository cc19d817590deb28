"""What one replica has accepted: records by group, and the highest fencing token seen in each.

Persist before you send: an answer counts only once `take_unsaved` is on disk, and goes out after that.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .limits import RecordLimits
from .messages import MAX_PREPARE_ROWS, Accept, AcceptReply, Prepare, PrepareReply, ReplicaStatus, VersionedRow
from .stored_rows import Ballot, PeerFile, UnsavedRow

SWEEP_PERIOD_MS = 16_000.0  # in which a sweep each second comes to a share of all groups


@dataclass(slots=True)
class ReplicaRecord:
    """One record. created_at_ms: by this controller's clock. is_counted: it is part of `Replica.value_counts`."""

    value: int
    ballot: Ballot
    created_at_ms: float
    is_counted: bool = True


@dataclass
class UnsavedChanges:
    """What is to be written in one transaction before any message that rests on it is sent."""

    rows: list[UnsavedRow] = field(default_factory=list)
    highest_tokens: dict[int, int] = field(default_factory=dict)  # by group
    deleted_keys: list[tuple[int, int]] = field(default_factory=list)  # group, key
    peer_files: dict[int, PeerFile] = field(default_factory=dict)  # by number of the replica
    open_count: int = 0  # how many openings the file counts from now on; 0 if that stays
    write_count: int = 0  # of the file, this one included
    is_wiped: bool = False  # the file is emptied first
    is_recovered: bool = False

    def __bool__(self) -> bool:
        return any(vars(self).values())


AcceptRule = Callable[[int, int, bool], bool]  # group, value, is_initial


def accept_any(_group: int, _value: int, _is_initial: bool) -> bool:
    """The rule of groups into which any value may be written."""
    return True


class Replica:
    """The records of one controller.

    accepts: whether a value may be written into a group. counted_groups: groups whose values are counted.
    permanent_groups: groups whose records are never deleted. A replica that is recovering answers nothing but that.
    """

    def __init__(
        self,
        limits: RecordLimits,
        accepts: AcceptRule = accept_any,
        counted_groups: frozenset[int] = frozenset(),
        permanent_groups: frozenset[int] = frozenset(),
    ) -> None:
        self.limits = limits
        self.accepts = accepts
        self.counted_groups = counted_groups
        self.permanent_groups = permanent_groups
        self.value_counts: Counter[int] = Counter()
        self.groups: dict[int, dict[int, ReplicaRecord]] = {}
        self.highest_tokens: dict[int, int] = {}
        self.sorted_keys: dict[int, list[int]] = {}  # of groups that are being read
        self.record_count = 0
        self.rejected_count = 0
        self.write_count = 0  # to the file, ever; a file restored from a backup has fewer than others know of
        self.is_recovering = False
        self.unsaved = UnsavedChanges()
        self.last_swept_group = -1

    # ---- messages of proposers -----------------------------------------------------------------------------

    def on_accept(self, now: float, message: Accept) -> AcceptReply:
        """Store all records of the message, or none."""
        status = self.acceptance_status(message)
        if status == ReplicaStatus.ACCEPTED:
            self.raise_token(message.group, message.fencing_token)
            ballot = Ballot(message.fencing_token, message.round)
            for key, value, age_ms in message.rows:
                self.put(message.group, key, value, ballot, now - age_ms)
        else:
            self.rejected_count += 1
        highest_token = self.highest_tokens.get(message.group, 0)
        return AcceptReply(message.incarnation, message.round, message.group, status, highest_token)

    def acceptance_status(self, message: Accept) -> ReplicaStatus:
        """Whether all records of the message can be stored."""
        if self.is_recovering:
            return ReplicaStatus.RECOVERING
        if message.fencing_token < self.highest_tokens.get(message.group, 0):
            return ReplicaStatus.SUPERSEDED
        stored = self.groups.get(message.group, {})
        if self.record_count + sum(row.key not in stored for row in message.rows) > self.limits.max_records:
            return ReplicaStatus.FULL
        for key, value, _ in message.rows:
            is_changed = key not in stored or stored[key].value != value
            if is_changed and not self.accepts(message.group, value, message.is_initial):
                return ReplicaStatus.CLOSED
        return ReplicaStatus.ACCEPTED

    def on_prepare(self, now: float, message: Prepare) -> PrepareReply:
        """Promise the fencing token, and return a page of the group's records."""
        group = message.group
        highest_token = self.highest_tokens.get(group, 0)
        if self.is_recovering:
            return PrepareReply(message.incarnation, message.round, group, ReplicaStatus.RECOVERING, highest_token)
        if message.fencing_token and message.fencing_token < highest_token:
            return PrepareReply(message.incarnation, message.round, group, ReplicaStatus.SUPERSEDED, highest_token)
        self.raise_token(group, message.fencing_token)
        records = self.groups.get(group, {})
        keys = self.sorted_keys.get(group)
        if keys is None:
            keys = self.sorted_keys[group] = sorted(records)
        page = self.read_page(now, records, keys, message.after_key)
        has_more = len(page) == MAX_PREPARE_ROWS and page[-1].key != keys[-1]
        if not has_more:
            self.sorted_keys.pop(group, None)
        highest_token = self.highest_tokens.get(group, 0)
        return PrepareReply(
            message.incarnation, message.round, group, ReplicaStatus.ACCEPTED, highest_token, page, has_more
        )

    def read_page(
        self, now: float, records: dict[int, ReplicaRecord], keys: list[int], after_key: int
    ) -> list[VersionedRow]:
        """The first records with keys above `after_key`."""
        start = bisect_right(keys, after_key)
        page = []
        for key in keys[start : start + MAX_PREPARE_ROWS]:
            record = records[key]
            age_ms = max(0, int(now - record.created_at_ms))
            page.append(VersionedRow(key, record.value, age_ms, *record.ballot))
        return page

    # ---- records -------------------------------------------------------------------------------------------

    def put(self, group: int, key: int, value: int, ballot: Ballot, created_at_ms: float) -> None:
        """Store a record, unless one of a higher ballot is stored already."""
        records = self.groups.setdefault(group, {})
        record = records.get(key)
        if record is None:
            record = records[key] = ReplicaRecord(value, ballot, created_at_ms)
            self.record_count += 1
            self.sorted_keys.pop(group, None)
        elif ballot >= record.ballot:
            if record.is_counted:
                self.add_to_count(group, record.value, -1)
            record.value = value
            record.ballot = ballot
            record.created_at_ms = min(record.created_at_ms, created_at_ms)
            record.is_counted = True
        else:
            return
        self.add_to_count(group, value, 1)
        self.unsaved.rows.append(UnsavedRow(group, key, value, *ballot, record.created_at_ms))

    def add_to_count(self, group: int, value: int, change: int) -> None:
        """Change how many records have the value, in groups whose values are counted."""
        if group in self.counted_groups:
            self.value_counts[value] += change
            if not self.value_counts[value]:
                del self.value_counts[value]

    def raise_token(self, group: int, fencing_token: int) -> None:
        """Promise to accept nothing under a lower fencing token."""
        if fencing_token > self.highest_tokens.get(group, 0):
            self.highest_tokens[group] = fencing_token
            self.unsaved.highest_tokens[group] = fencing_token

    def sweep(self, now: float) -> None:
        """Drop records over their time; called every second, it comes to all groups in a sixteenth of that time."""
        groups = sorted(self.groups.keys() - self.permanent_groups)
        count = min(len(groups), 1 + int(len(groups) * SWEEP_PERIOD_MS / self.limits.retention_ms))
        for _ in range(count):
            group = next((group for group in groups if group > self.last_swept_group), groups[0])
            self.last_swept_group = group
            self._sweep_group(now, group)

    def _sweep_group(self, now: float, group: int) -> None:
        records = self.groups.get(group, {})
        for key, record in list(records.items()):
            age_ms = now - record.created_at_ms
            if record.is_counted and age_ms > self.limits.counted_ms:
                record.is_counted = False
                self.add_to_count(group, record.value, -1)
            if age_ms > self.limits.retention_ms:
                del records[key]
                self.record_count -= 1
                self.unsaved.deleted_keys.append((group, key))
                self.sorted_keys.pop(group, None)
        if not records:
            self.groups.pop(group, None)

    # ---- the file ------------------------------------------------------------------------------------------

    def wipe(self) -> None:
        """Forget all: the file was restored from a backup, and its promises are out of date."""
        self.groups = {}
        self.highest_tokens = {}
        self.sorted_keys = {}
        self.record_count = 0
        self.is_recovering = True
        self.value_counts.clear()
        self.unsaved = UnsavedChanges(is_wiped=True)

    def take_unsaved(self) -> UnsavedChanges:
        """What is to be written before any answer since the last call is sent."""
        changes = self.unsaved
        self.unsaved = UnsavedChanges()
        if changes:
            self.write_count += 1
            changes.write_count = self.write_count
        return changes
