"""The proposer of one group: reads the records of a quorum of replicas, then writes each record once.

Two proposers of one group are safe: a quorum has promised the later one to reject the earlier one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..wire.peer_messages import OutgoingMessage
from .limits import RecordLimits
from .messages import MAX_ACCEPT_ROWS, Accept, AcceptReply, Prepare, PrepareReply, RecordRow, ReplicaStatus
from .progress import ProposedRecord, ReadProgress, WriteInFlight
from .stored_rows import Ballot


@dataclass
class Proposer:
    """Reads and writes the records of one group.

    replica_ids: numbers of the controllers that have a replica, this one included if it has one. next_round: a counter
    shared by all proposers of this process, so that a later one's ballots are higher under the same fencing token.
    """

    incarnation: int
    group: int
    replica_ids: tuple[int, ...]
    limits: RecordLimits
    fencing_token: int
    next_round: Callable[[], int]
    is_ready: bool = False  # a quorum has been read
    superseded_by: int = 0  # higher fencing token that a replica has promised, which ends all writes; else 0
    records: dict[int, ProposedRecord] = field(default_factory=dict)
    reads: dict[int, ReadProgress] = field(default_factory=dict)
    in_flight: dict[int, WriteInFlight] = field(default_factory=dict)  # round -> write
    write_queue: list[int] = field(default_factory=list)  # keys of records to be sent
    decided_keys: list[int] = field(default_factory=list)  # keys decided since the owner last took them
    rejected_keys: dict[int, int] = field(default_factory=dict)  # key -> status, since last taken

    def __post_init__(self) -> None:
        self.reads = {replica_id: ReadProgress() for replica_id in self.replica_ids}
        self.vote_bits = {replica_id: 1 << index for index, replica_id in enumerate(self.replica_ids)}

    @property
    def quorum_size(self) -> int:
        """Return the number of replicas that form a majority."""
        return len(self.replica_ids) // 2 + 1

    # ---- calls of the group's holder ------------------------------------------------------------------------

    def get(self, key: int) -> ProposedRecord | None:
        """Return the record as a quorum stores it; None if there is none. Valid only once `is_ready`."""
        return self.records.get(key)

    def write(self, now_ms: float, key: int, value: int, created_at_ms: float, *, is_initial: bool = True) -> bool:
        """Start to write a record, replacing an earlier value; return False if it cannot be written now."""
        known = self.records.get(key)
        if known and known.value == value and (known.is_decided or known.read_ballot is None):
            return self._can_write
        if not self._can_write:
            return False
        if known is None:
            record = ProposedRecord(value, created_at_ms, is_initial=is_initial, written_at_ms=now_ms)
        else:
            record = ProposedRecord(value, known.created_at_ms, written_at_ms=now_ms)
        self.records[key] = record
        self.write_queue.append(key)
        return True

    @property
    def _can_write(self) -> bool:
        pending = len(self.write_queue) + len(self.in_flight) * MAX_ACCEPT_ROWS
        return self.is_ready and not self.superseded_by and pending < self.limits.max_writes

    def renew(self, now_ms: float, key: int) -> bool:
        """Start to write a record again if half of its retention has passed since its last write.

        Return whether a write was due, also if it cannot start now.
        """
        known = self.records[key]
        if now_ms - known.changed_at_ms <= self.limits.retention_ms / 2.0:
            return False
        if self._can_write:
            self.records[key] = ProposedRecord(known.value, known.created_at_ms, written_at_ms=now_ms)
            self.write_queue.append(key)
        return True

    def confirm(self, now_ms: float, key: int) -> bool:
        """Return whether a quorum has the record; if it was read from fewer replicas, start to write it again."""
        record = self.records[key]
        if record.is_decided:
            return True
        if record.read_ballot:
            self.write(now_ms, key, record.value, record.created_at_ms, is_initial=False)
        return False

    def forget(self, key: int) -> None:
        """Remove a record from memory."""
        self.records.pop(key, None)

    # ---- messages ------------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return prepare messages until a quorum has been read, then accept messages; retry unanswered ones."""
        if self.superseded_by:
            return []
        if not self.is_ready:
            return [
                self.prepare(now_ms, replica_id, progress)
                for replica_id, progress in self.reads.items()
                if not progress.is_done and now_ms - progress.requested_at_ms >= self.limits.retry_ms
            ]
        return [*self._send_queued(now_ms), *self._resend(now_ms)]

    def _send_queued(self, now_ms: float) -> list[OutgoingMessage]:
        """Send queued records in rounds; `is_initial` is the same for all records of a round."""
        messages: list[OutgoingMessage] = []
        while self.write_queue:
            first_record = self.records.get(self.write_queue[0])
            is_initial = first_record.is_initial if first_record else False
            queued = [key for key in self.write_queue if key in self.records]
            keys = [key for key in queued if self.records[key].is_initial == is_initial][:MAX_ACCEPT_ROWS]
            sent_keys = set(keys)
            self.write_queue = [key for key in queued if key not in sent_keys]
            if not keys:
                continue
            round_ = self.next_round()
            for key in keys:
                self.records[key].round = round_
            write = self.in_flight[round_] = WriteInFlight(keys, now_ms, set(self.replica_ids), is_initial)
            messages += self.accept_messages(now_ms, round_, write)
        return messages

    def _resend(self, now_ms: float) -> list[OutgoingMessage]:
        """Return the messages of rounds that were not answered in time, to be sent again."""
        messages: list[OutgoingMessage] = []
        for round_, write in list(self.in_flight.items()):
            if now_ms - write.sent_at_ms >= self.limits.retry_ms:
                write.sent_at_ms = now_ms
                messages += self.accept_messages(now_ms, round_, write)
        return messages

    def prepare(self, now_ms: float, replica_id: int, progress: ReadProgress) -> OutgoingMessage:
        """Return a request to a replica for its next page. A retry keeps the round, so that a late reply is valid."""
        progress.requested_at_ms = now_ms
        progress.round = progress.round or self.next_round()
        message = Prepare(self.incarnation, progress.round, self.group, self.fencing_token, progress.after_key)
        return OutgoingMessage(replica_id, message)

    def accept_messages(self, now_ms: float, round_: int, write: WriteInFlight) -> list[OutgoingMessage]:
        """Return the messages of a round to all replicas that have not replied, without records of a newer round."""
        rows: list[RecordRow] = []
        for key in write.keys:
            record = self.records.get(key)
            if record and record.round == round_:
                rows.append(RecordRow(key, record.value, max(0, int(now_ms - record.created_at_ms))))
        if not rows:
            del self.in_flight[round_]
            return []
        message = Accept(self.incarnation, round_, self.group, self.fencing_token, write.is_initial, rows)
        return [OutgoingMessage(replica_id, message) for replica_id in sorted(write.awaited_replicas)]

    def on_prepare_reply(self, now_ms: float, replica_id: int, message: PrepareReply) -> list[OutgoingMessage]:
        """Merge a page of a replica, and return the request for the next one."""
        progress = self.reads.get(replica_id)
        if progress is None or message.incarnation != self.incarnation or message.round != progress.round:
            return []
        if progress.is_done or self.is_ready:
            return []
        if message.status == ReplicaStatus.SUPERSEDED:
            self.superseded_by = max(self.superseded_by, message.highest_token)
        if message.status != ReplicaStatus.ACCEPTED:
            return []  # the request to a recovering replica is retried
        for key, value, age_ms, fencing_token, round_ in message.rows:
            self.merge_read(replica_id, key, value, now_ms - age_ms, Ballot(fencing_token, round_))
        progress.page_count += 1
        if message.has_more and message.rows and progress.page_count < self.limits.max_pages_read:
            progress.after_key = message.rows[-1].key
            progress.round = 0
            return [self.prepare(now_ms, replica_id, progress)]
        progress.is_done = not message.has_more
        self._become_ready_if_read(now_ms)
        return []

    def _become_ready_if_read(self, now_ms: float) -> None:
        """Enable writes once a quorum has been read."""
        if sum(progress.is_done for progress in self.reads.values()) >= self.quorum_size:
            self.is_ready = True
            for record in self.records.values():
                record.is_decided = record.votes.bit_count() >= self.quorum_size
                record.written_at_ms = now_ms

    def merge_read(self, replica_id: int, key: int, value: int, created_at_ms: float, ballot: Ballot) -> None:
        """Merge a record read from one replica: the highest ballot wins."""
        record = self.records.get(key)
        if record is None:
            self.records[key] = ProposedRecord(value, created_at_ms, ballot, votes=self.vote_bits[replica_id])
        elif record.read_ballot is None or ballot > record.read_ballot:
            oldest = min(created_at_ms, record.created_at_ms)
            self.records[key] = ProposedRecord(value, oldest, ballot, votes=self.vote_bits[replica_id])
        elif ballot == record.read_ballot:
            record.votes |= self.vote_bits[replica_id]
            record.created_at_ms = min(record.created_at_ms, created_at_ms)

    def on_accept_reply(self, _now_ms: float, replica_id: int, message: AcceptReply) -> None:
        """Process a replica's reply to a round."""
        write = self.in_flight.get(message.round)
        if write is None or message.incarnation != self.incarnation or replica_id not in write.awaited_replicas:
            return
        if message.status == ReplicaStatus.SUPERSEDED:
            self.superseded_by = max(self.superseded_by, message.highest_token)
            return
        if message.status == ReplicaStatus.RECOVERING:
            return  # the request is retried until the replica has recovered
        if message.status == ReplicaStatus.ACCEPTED:
            self._count_votes(replica_id, message.round, write)
        write.awaited_replicas.discard(replica_id)
        if message.status in (ReplicaStatus.FULL, ReplicaStatus.CLOSED):
            self.reject_undecidable(write, message.status)
        if not write.awaited_replicas:
            del self.in_flight[message.round]

    def _count_votes(self, replica_id: int, round_: int, write: WriteInFlight) -> None:
        for key in write.keys:
            record = self.records.get(key)
            if record and not record.is_decided and record.round == round_:
                record.votes |= self.vote_bits[replica_id]
                if record.votes.bit_count() >= self.quorum_size:
                    record.is_decided = True
                    self.decided_keys.append(key)

    def reject_undecidable(self, write: WriteInFlight, status: int) -> None:
        """Mark records as rejected that no quorum can accept any more; no client was notified of them."""
        answer_count = len(self.replica_ids) - len(write.awaited_replicas)
        max_rejections = len(self.replica_ids) - self.quorum_size
        for key in write.keys:
            record = self.records.get(key)
            if record is None or record.is_decided or not record.round:
                continue
            if answer_count - record.votes.bit_count() > max_rejections:
                self.rejected_keys[key] = status
