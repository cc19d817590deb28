"""The proposer of one group: reads what a quorum of replicas has stored, then writes each record once.

Two proposers of one group do no harm: a quorum has promised the later one to reject the earlier.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..wire.peer_messages import OutgoingMessage
from .limits import RecordLimits
from .messages import MAX_ACCEPT_ROWS, Accept, AcceptReply, Prepare, PrepareReply, RecordRow, ReplicaStatus
from .progress import ReadProgress, WriteInFlight
from .stored_rows import Ballot


@dataclass(slots=True)
class ProposedRecord:
    """A record as its proposer knows it.

    read_ballot: under which it was read; None if this proposer wrote it. round: of the accept messages that carry it, 0
    before they are sent. votes: bits of the replicas that have stored it so. is_decided: they are a quorum. is_initial:
    it is new, and nobody was told of it.
    """

    value: int
    created_at_ms: float
    read_ballot: Ballot | None = None
    round: int = 0
    votes: int = 0
    is_decided: bool = False
    is_initial: bool = False


@dataclass
class Proposer:
    """Reads and writes the records of one group.

    replica_ids: numbers of the controllers that have a replica, this one included if it has one. next_round: one count
    for all proposers of this process, so that a later one's writes go before an earlier one's under the same token.
    """

    incarnation: int
    group: int
    replica_ids: tuple[int, ...]
    limits: RecordLimits
    fencing_token: int
    next_round: Callable[[], int]
    is_ready: bool = False  # whether a quorum has been read
    superseded_by: int = 0  # a higher fencing token that a replica has seen: nothing can be written here any more
    records: dict[int, ProposedRecord] = field(default_factory=dict)
    reads: dict[int, ReadProgress] = field(default_factory=dict)
    in_flight: dict[int, WriteInFlight] = field(default_factory=dict)  # by round
    write_queue: list[int] = field(default_factory=list)  # keys to be sent
    decided_keys: list[int] = field(default_factory=list)  # since they were last taken
    rejected_keys: dict[int, int] = field(default_factory=dict)  # key: status of the rejection; since last taken

    def __post_init__(self) -> None:
        self.reads = {replica: ReadProgress() for replica in self.replica_ids}
        self.vote_bits = {replica: 1 << index for index, replica in enumerate(self.replica_ids)}

    @property
    def quorum_size(self) -> int:
        """How many replicas are a majority."""
        return len(self.replica_ids) // 2 + 1

    # ---- what the holder of the group does -----------------------------------------------------------------

    def get(self, key: int) -> ProposedRecord | None:
        """The record as a quorum has it; None if there is none. True only once `is_ready`."""
        return self.records.get(key)

    def write(self, _now: float, key: int, value: int, created_at_ms: float, *, is_initial: bool = True) -> bool:
        """Begin to write a record, in place of an earlier value; False if too many writes are in progress."""
        pending = len(self.write_queue) + len(self.in_flight) * MAX_ACCEPT_ROWS
        if not self.is_ready or self.superseded_by or pending >= self.limits.max_writes:
            return False
        known = self.records.get(key)
        if known is None:
            self.records[key] = ProposedRecord(value, created_at_ms, is_initial=is_initial)
        elif known.value == value and (known.is_decided or known.read_ballot is None):
            return True
        else:
            self.records[key] = ProposedRecord(value, known.created_at_ms)
        self.write_queue.append(key)
        return True

    def confirm(self, now: float, key: int) -> bool:
        """Whether a quorum has the record. One that was read from fewer replicas is written anew first."""
        record = self.records[key]
        if record.is_decided:
            return True
        if record.read_ballot:
            self.write(now, key, record.value, record.created_at_ms, is_initial=False)
        return False

    def forget(self, key: int) -> None:
        """Drop what is known of a record."""
        self.records.pop(key, None)

    # ---- messages ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Prepare messages until a quorum has been read, then accept messages; unanswered ones are sent again."""
        if self.superseded_by:
            return []
        if not self.is_ready:
            return [
                self.prepare(now, replica, progress)
                for replica, progress in self.reads.items()
                if not progress.is_done and now - progress.asked_at_ms >= self.limits.retry_ms
            ]
        return [*self._send_queued(now), *self._resend(now)]

    def _send_queued(self, now: float) -> list[OutgoingMessage]:
        """Send the queue in rounds, each of records that are all initial or all not."""
        messages: list[OutgoingMessage] = []
        while self.write_queue:
            head = self.records.get(self.write_queue[0])
            is_initial = head.is_initial if head else False
            queued = [key for key in self.write_queue if key in self.records]
            keys = [key for key in queued if self.records[key].is_initial == is_initial][:MAX_ACCEPT_ROWS]
            taken = set(keys)
            self.write_queue = [key for key in queued if key not in taken]
            if not keys:
                continue
            round_ = self.next_round()
            for key in keys:
                self.records[key].round = round_
            write = self.in_flight[round_] = WriteInFlight(keys, now, set(self.replica_ids), is_initial)
            messages += self.accept_messages(now, round_, write)
        return messages

    def _resend(self, now: float) -> list[OutgoingMessage]:
        """Send rounds again that were not answered in time."""
        messages: list[OutgoingMessage] = []
        for round_, write in list(self.in_flight.items()):
            if now - write.sent_at_ms >= self.limits.retry_ms:
                write.sent_at_ms = now
                messages += self.accept_messages(now, round_, write)
        return messages

    def prepare(self, now: float, replica: int, progress: ReadProgress) -> OutgoingMessage:
        """Ask a replica for its next page. Asked again, the round stays: a late answer is as good."""
        progress.asked_at_ms = now
        progress.round = progress.round or self.next_round()
        message = Prepare(self.incarnation, progress.round, self.group, self.fencing_token, progress.after_key)
        return OutgoingMessage(replica, message)

    def accept_messages(self, now: float, round_: int, write: WriteInFlight) -> list[OutgoingMessage]:
        """The messages of one round to all replicas that have not answered; records of a newer round are left out."""
        rows: list[RecordRow] = []
        for key in write.keys:
            record = self.records.get(key)
            if record and record.round == round_:
                rows.append(RecordRow(key, record.value, max(0, int(now - record.created_at_ms))))
        if not rows:
            del self.in_flight[round_]
            return []
        message = Accept(self.incarnation, round_, self.group, self.fencing_token, write.is_initial, rows)
        return [OutgoingMessage(replica, message) for replica in sorted(write.awaited_replicas)]

    def on_prepare_reply(self, now: float, replica: int, message: PrepareReply) -> list[OutgoingMessage]:
        """Take a page of a replica, and ask for the next one."""
        progress = self.reads.get(replica)
        if progress is None or message.incarnation != self.incarnation or message.round != progress.round:
            return []
        if progress.is_done or self.is_ready:
            return []
        if message.status == ReplicaStatus.SUPERSEDED:
            self.superseded_by = max(self.superseded_by, message.highest_token)
        if message.status != ReplicaStatus.ACCEPTED:
            return []  # a replica that is recovering is asked again
        for key, value, age_ms, fencing_token, round_ in message.rows:
            self.merge_read(replica, key, value, now - age_ms, Ballot(fencing_token, round_))
        progress.page_count += 1
        if message.has_more and message.rows and progress.page_count < self.limits.max_pages_read:
            progress.after_key = message.rows[-1].key
            progress.round = 0
            return [self.prepare(now, replica, progress)]
        progress.is_done = not message.has_more
        self._become_ready_if_read()
        return []

    def _become_ready_if_read(self) -> None:
        """Begin to write once a quorum has been read."""
        if sum(progress.is_done for progress in self.reads.values()) >= self.quorum_size:
            self.is_ready = True
            for record in self.records.values():
                record.is_decided = record.votes.bit_count() >= self.quorum_size

    def merge_read(self, replica: int, key: int, value: int, created_at_ms: float, ballot: Ballot) -> None:
        """Take what one replica has of a record: the highest ballot stands."""
        record = self.records.get(key)
        if record is None:
            self.records[key] = ProposedRecord(value, created_at_ms, ballot, votes=self.vote_bits[replica])
        elif record.read_ballot is None or ballot > record.read_ballot:
            oldest = min(created_at_ms, record.created_at_ms)
            self.records[key] = ProposedRecord(value, oldest, ballot, votes=self.vote_bits[replica])
        elif ballot == record.read_ballot:
            record.votes |= self.vote_bits[replica]
            record.created_at_ms = min(record.created_at_ms, created_at_ms)

    def on_accept_reply(self, _now: float, replica: int, message: AcceptReply) -> None:
        """Count a replica's answer to a round."""
        write = self.in_flight.get(message.round)
        if write is None or message.incarnation != self.incarnation or replica not in write.awaited_replicas:
            return
        if message.status == ReplicaStatus.SUPERSEDED:
            self.superseded_by = max(self.superseded_by, message.highest_token)
            return
        if message.status == ReplicaStatus.RECOVERING:
            return  # it is asked again until it has recovered
        if message.status == ReplicaStatus.ACCEPTED:
            self._count_votes(replica, message.round, write)
        write.awaited_replicas.discard(replica)
        if message.status in (ReplicaStatus.FULL, ReplicaStatus.CLOSED):
            self.reject_undecidable(write, message.status)
        if not write.awaited_replicas:
            del self.in_flight[message.round]

    def _count_votes(self, replica: int, round_: int, write: WriteInFlight) -> None:
        for key in write.keys:
            record = self.records.get(key)
            if record and not record.is_decided and record.round == round_:
                record.votes |= self.vote_bits[replica]
                if record.votes.bit_count() >= self.quorum_size:
                    record.is_decided = True
                    self.decided_keys.append(key)

    def reject_undecidable(self, write: WriteInFlight, status: int) -> None:
        """Give up records that so many replicas rejected that no quorum can accept them: nobody was told of them."""
        answer_count = len(self.replica_ids) - len(write.awaited_replicas)
        max_rejections = len(self.replica_ids) - self.quorum_size
        for key in write.keys:
            record = self.records.get(key)
            if record is None or record.is_decided or not record.round:
                continue
            if answer_count - record.votes.bit_count() > max_rejections:
                self.rejected_keys[key] = status
