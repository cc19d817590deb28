"""State of one replica: the accepted records by group, and the highest fencing token seen in each group.

Changes are persisted before they are reported: a reply is sent only once the changes from `take_unsaved` are on disk.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .limits import RecordLimits
from .messages import MAX_PREPARE_ROWS, Accept, AcceptReply, Prepare, PrepareReply, ReplicaStatus, VersionedRow
from .stored_rows import Ballot, PeerFile, UnsavedRow

FULL_SWEEP_RETENTION_MS = 16_000.0  # retention up to which one sweep covers all groups


@dataclass(slots=True)
class ReplicaRecord:
    """A stored record. Times are by this controller's clock.

    is_counted: included in `Replica.value_counts`. written_at_ms: when it was written last, or read from the file.
    """

    value: int
    ballot: Ballot
    created_at_ms: float
    is_counted: bool = True
    written_at_ms: float = -math.inf


@dataclass
class UnsavedChanges:
    """Changes to be written in one transaction before any message that depends on them is sent."""

    rows: list[UnsavedRow] = field(default_factory=list)
    highest_tokens: dict[int, int] = field(default_factory=dict)  # group -> fencing token
    deleted_keys: list[tuple[int, int]] = field(default_factory=list)  # (group, key)
    peer_files: dict[int, PeerFile] = field(default_factory=dict)  # controller number -> state of its file
    open_count: int = 0  # new number of openings of the file; 0 if unchanged
    write_count: int = 0  # writes to the file so far, including this one
    is_wiped: bool = False  # the file is emptied first
    is_recovered: bool = False  # the replica is complete again

    def __bool__(self) -> bool:
        return any(vars(self).values())


AcceptRule = Callable[[int, int, bool], bool]  # group, value, is_initial


def accept_any(_group: int, _value: int, _is_initial: bool) -> bool:
    """Accept any value: the default rule of a group."""
    return True


class Replica:
    """The records of one controller.

    accepts: decides whether a value may be written into a group. counted_groups: groups whose values are counted.
    permanent_groups: groups whose records are never deleted. A recovering replica replies only that it is recovering.
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
        self.value_counts: Counter[int] = Counter()  # value -> number of records
        self.groups: dict[int, dict[int, ReplicaRecord]] = {}  # group -> key -> record
        self.highest_tokens: dict[int, int] = {}  # group -> fencing token
        self.sorted_keys: dict[int, list[int]] = {}  # group that is being read -> its keys
        self.record_count = 0
        self.rejected_count = 0
        self.write_count = 0  # writes to the file so far; lower than others know if restored from a backup
        self.is_recovering = False
        self.unsaved = UnsavedChanges()
        self.last_swept_group = -1

    # ---- messages of proposers -----------------------------------------------------------------------------

    def on_accept(self, now_ms: float, message: Accept) -> AcceptReply:
        """Store all records of the message or none, and return the reply."""
        status = self.acceptance_status(message)
        if status == ReplicaStatus.ACCEPTED:
            self.raise_token(message.group, message.fencing_token)
            ballot = Ballot(message.fencing_token, message.round)
            for key, value, age_ms in message.rows:
                self.put(message.group, key, value, ballot, now_ms - age_ms, now_ms)
        else:
            self.rejected_count += 1
        highest_token = self.highest_tokens.get(message.group, 0)
        return AcceptReply(message.incarnation, message.round, message.group, status, highest_token)

    def acceptance_status(self, message: Accept) -> ReplicaStatus:
        """Return `ACCEPTED` if all records of the message can be stored, else the reason why not."""
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

    def on_prepare(self, now_ms: float, message: Prepare) -> PrepareReply:
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
        page = self.read_page(now_ms, records, keys, message.after_key)
        has_more = len(page) == MAX_PREPARE_ROWS and page[-1].key != keys[-1]
        if not has_more:
            self.sorted_keys.pop(group, None)
        highest_token = self.highest_tokens.get(group, 0)
        return PrepareReply(
            message.incarnation, message.round, group, ReplicaStatus.ACCEPTED, highest_token, page, has_more
        )

    def read_page(
        self, now_ms: float, records: dict[int, ReplicaRecord], keys: list[int], after_key: int
    ) -> list[VersionedRow]:
        """Return the first records with keys above `after_key`."""
        start = bisect_right(keys, after_key)
        page = []
        for key in keys[start : start + MAX_PREPARE_ROWS]:
            record = records[key]
            age_ms = max(0, int(now_ms - record.created_at_ms))
            page.append(VersionedRow(key, record.value, age_ms, *record.ballot))
        return page

    # ---- records -------------------------------------------------------------------------------------------

    def put(
        self,
        group: int,
        key: int,
        value: int,
        ballot: Ballot,
        created_at_ms: float,
        written_at_ms: float = -math.inf,
    ) -> None:
        """Store a record, unless it is already stored with a higher ballot."""
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
        record.written_at_ms = written_at_ms
        self.add_to_count(group, value, 1)
        self.unsaved.rows.append(UnsavedRow(group, key, value, *ballot, record.created_at_ms))

    def add_to_count(self, group: int, value: int, change: int) -> None:
        """Add `change` to the number of records with the value, if the group's values are counted."""
        if group in self.counted_groups:
            self.value_counts[value] += change
            if not self.value_counts[value]:
                del self.value_counts[value]

    def raise_token(self, group: int, fencing_token: int) -> None:
        """Promise to accept nothing under a lower fencing token."""
        if fencing_token > self.highest_tokens.get(group, 0):
            self.highest_tokens[group] = fencing_token
            self.unsaved.highest_tokens[group] = fencing_token

    def sweep(self, now_ms: float) -> None:
        """Delete expired records; called every second, it covers all groups within 1/16 of the retention time."""
        groups = sorted(self.groups.keys() - self.permanent_groups)
        count = min(len(groups), 1 + int(len(groups) * FULL_SWEEP_RETENTION_MS / self.limits.retention_ms))
        for _ in range(count):
            group = next((group for group in groups if group > self.last_swept_group), groups[0])
            self.last_swept_group = group
            self._sweep_group(now_ms, group)

    def _sweep_group(self, now_ms: float, group: int) -> None:
        records = self.groups.get(group, {})
        for key, record in list(records.items()):
            age_ms = now_ms - record.created_at_ms
            if record.is_counted and age_ms > self.limits.counted_ms:
                record.is_counted = False
                self.add_to_count(group, record.value, -1)
            if now_ms - max(record.created_at_ms, record.written_at_ms) > self.limits.retention_ms:
                del records[key]
                self.record_count -= 1
                self.unsaved.deleted_keys.append((group, key))
                self.sorted_keys.pop(group, None)
        if not records:
            self.groups.pop(group, None)

    # ---- the file ------------------------------------------------------------------------------------------

    def wipe(self) -> None:
        """Discard everything: the file was restored from a backup, and its promises are out of date."""
        self.groups = {}
        self.highest_tokens = {}
        self.sorted_keys = {}
        self.record_count = 0
        self.is_recovering = True
        self.value_counts.clear()
        self.unsaved = UnsavedChanges(is_wiped=True)

    def take_unsaved(self) -> UnsavedChanges:
        """Return and reset the changes to be written before any reply made since the last call is sent."""
        changes = self.unsaved
        self.unsaved = UnsavedChanges()
        if changes:
            self.write_count += 1
            changes.write_count = self.write_count
        return changes
