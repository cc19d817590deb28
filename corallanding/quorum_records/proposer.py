"""The holder of one group: reads what a majority of keepers has, then writes, each record once. Pure.

Two holders at one time could do no harm: a majority has promised the later one to refuse the earlier.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..wire.peer_messages import OutgoingMessage
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

    after_key: int = -1
    round: int = 0  # of the fetch that is out
    asked_at_ms: float = float("-inf")
    is_done: bool = False
    page_count: int = 0


@dataclass(slots=True)
class ProposedRecord:
    """order: fence and round under which it was read; None: it is ours. round: of the copies that carry it, 0 before
    they go. votes: bits of the keepers that have it so. decided: they are a majority."""

    value: int
    created_at_ms: float
    read_ballot: tuple[int, int] | None = None
    round: int = 0
    votes: int = 0
    is_decided: bool = False
    is_initial: bool = False


@dataclass
class WriteInFlight:
    keys: list[int]  # keys
    sent_at_ms: float
    awaited_replicas: set[int]  # keepers that have not answered
    is_initial: bool


@dataclass
class Proposer:
    """keepers: numbers, ourselves among them where we are one. next_round: one count for all writers of this life, so
    that what a later one writes stands behind what an earlier one wrote under the same fence."""

    incarnation: int
    group: int
    replica_ids: tuple[int, ...]
    limits: RecordLimits
    fencing_token: int
    next_round: Callable[[], int]
    is_ready: bool = False  # whether a majority has told all it has
    superseded_by: int = 0  # a fence above ours that a keeper has seen: nothing can be written here any more
    records: dict[int, ProposedRecord] = field(default_factory=dict)
    reads: dict[int, ReadProgress] = field(default_factory=dict)
    in_flight: dict[int, WriteInFlight] = field(default_factory=dict)
    write_queue: list[int] = field(default_factory=list)  # keys to be copied
    decided_keys: list[int] = field(default_factory=list)  # since the owner last looked
    rejected_keys: dict[int, int] = field(default_factory=dict)  # key: why its beginning was refused, since then

    def __post_init__(self) -> None:
        self.reads = {k: ReadProgress() for k in self.replica_ids}
        self.vote_bits = {k: 1 << n for n, k in enumerate(self.replica_ids)}

    @property
    def quorum_size(self) -> int:
        return len(self.replica_ids) // 2 + 1

    # ---- what the owner asks -------------------------------------------------------------------------------

    def get(self, key: int) -> ProposedRecord | None:
        """None: nobody has it, as far as a majority knows. Only good once `open`."""
        return self.records.get(key)

    def write(self, now: float, key: int, value: int, born: float, first: bool = True) -> bool:
        """Begin to write; false if too much is under way. A later value takes the place of an earlier."""
        if (
            not self.is_ready
            or self.superseded_by
            or len(self.write_queue) + len(self.in_flight) * COPIED_MOST >= self.limits.max_writes
        ):
            return False
        old = self.records.get(key)
        if old is not None and old.value == value and (old.is_decided or old.read_ballot is None):
            return True
        self.records[key] = ProposedRecord(
            value, born if old is None else old.created_at_ms, is_initial=first and old is None
        )
        self.write_queue.append(key)
        return True

    def confirm(self, now: float, key: int) -> bool:
        """What was read and is not surely a majority's is written anew before anybody is told of it."""
        entry = self.records[key]
        if entry.is_decided:
            return True
        if entry.read_ballot:
            self.write(now, key, entry.value, entry.created_at_ms, first=False)
        return False

    def forget(self, key: int) -> None:
        self.records.pop(key, None)

    # ---- words ---------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Fetches until a majority has answered, then copies; what is not answered is said again."""
        out: list[OutgoingMessage] = []
        if self.superseded_by:
            return out
        if not self.is_ready:
            for keeper, r in self.reads.items():
                if not r.is_done and now - r.asked_at_ms >= self.limits.retry_ms:
                    out.append(self.prepare(now, keeper, r))
            return out
        while self.write_queue:
            first = self.records[self.write_queue[0]].is_initial if self.write_queue[0] in self.records else False
            keys = [k for k in self.write_queue if k in self.records and self.records[k].is_initial == first][
                :COPIED_MOST
            ]
            taken = set(keys)
            self.write_queue = [k for k in self.write_queue if k not in taken and k in self.records]
            if not keys:
                continue
            number = self.next_round()
            for k in keys:
                self.records[k].round = number
            self.in_flight[number] = o = WriteInFlight(keys, now, set(self.replica_ids), first)
            out += self.accept_messages(now, number, o)
        for number, o in list(self.in_flight.items()):
            if now - o.sent_at_ms >= self.limits.retry_ms:
                o.sent_at_ms = now
                out += self.accept_messages(now, number, o)
        return out

    def prepare(self, now: float, keeper: int, r: ReadProgress) -> OutgoingMessage:
        r.asked_at_ms = now
        r.round = r.round or self.next_round()  # said again it is the same: an answer that took long is as good
        return OutgoingMessage(keeper, Prepare(self.incarnation, r.round, self.group, self.fencing_token, r.after_key))

    def accept_messages(self, now: float, number: int, o: WriteInFlight) -> list[OutgoingMessage]:
        rows: list[RecordRow] = [
            (k, e.value, max(0, int(now - e.created_at_ms)))
            for k in o.keys
            if (e := self.records.get(k)) and e.round == number
        ]
        if not rows:
            del self.in_flight[number]
            return []
        word = Accept(self.incarnation, number, self.group, self.fencing_token, o.is_initial, rows)
        return [OutgoingMessage(k, word) for k in sorted(o.awaited_replicas)]

    def on_prepare_reply(self, now: float, keeper: int, word: PrepareReply) -> list[OutgoingMessage]:
        r = self.reads.get(keeper)
        if r is None or word.incarnation != self.incarnation or word.round != r.round or r.is_done or self.is_ready:
            return []
        if word.status == SUPERSEDED:
            self.superseded_by = max(self.superseded_by, word.highest_token)
        if word.status != ACCEPTED:
            return []  # a blank one counts for nobody; it is asked again
        for key, value, age, fence, number in word.rows:
            self.merge_read(keeper, key, value, now - age, (fence, number))
        r.page_count += 1
        if word.has_more and word.rows and r.page_count < self.limits.max_pages_read:
            r.after_key, r.round = word.rows[-1][0], 0
            return [self.prepare(now, keeper, r)]
        r.is_done = not word.has_more
        if sum(x.is_done for x in self.reads.values()) >= self.quorum_size:
            self.is_ready = True
            for e in self.records.values():
                e.is_decided = e.votes.bit_count() >= self.quorum_size
        return []

    def merge_read(self, keeper: int, key: int, value: int, born: float, order: tuple[int, int]) -> None:
        e = self.records.get(key)
        if e is None or e.read_ballot is None or order > e.read_ballot:
            self.records[key] = ProposedRecord(
                value, born if e is None else min(born, e.created_at_ms), order, votes=self.vote_bits[keeper]
            )
        elif order == e.read_ballot:
            e.votes |= self.vote_bits[keeper]
            e.created_at_ms = min(e.created_at_ms, born)

    def on_accept_reply(self, now: float, keeper: int, word: AcceptReply) -> None:
        o = self.in_flight.get(word.round)
        if o is None or word.incarnation != self.incarnation or keeper not in o.awaited_replicas:
            return
        if word.status == SUPERSEDED:
            self.superseded_by = max(self.superseded_by, word.highest_token)
            return
        if word.status == RECOVERING:
            return  # it is asked again until it has caught up
        if word.status == ACCEPTED:
            for key in o.keys:
                if (e := self.records.get(key)) and not e.is_decided and e.round == word.round:
                    e.votes |= self.vote_bits[keeper]
                    if e.votes.bit_count() >= self.quorum_size:
                        e.is_decided = True
                        self.decided_keys.append(key)
        o.awaited_replicas.discard(keeper)
        if word.status in (FULL, CLOSED):
            self.reject_undecidable(o, word.status)
        if not o.awaited_replicas:
            del self.in_flight[word.round]

    def reject_undecidable(self, o: WriteInFlight, why: int) -> None:
        """So many refuse it that no majority can take it: nobody was told of it, and the owner may write another."""
        refusals = len(self.replica_ids) - len(o.awaited_replicas)
        for key in o.keys:
            e = self.records.get(key)
            if (
                e
                and not e.is_decided
                and e.round
                and refusals - e.votes.bit_count() > len(self.replica_ids) - self.quorum_size
            ):
                self.rejected_keys[key] = why
