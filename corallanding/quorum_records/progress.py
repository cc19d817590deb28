"""Records as a proposer knows them, the progress of its reads and writes, and of the reads of a recovering replica."""

from __future__ import annotations

from dataclasses import dataclass

from .stored_rows import Ballot

NEVER = float("-inf")


@dataclass
class ReadProgress:
    """Progress of a proposer in reading one replica."""

    after_key: int = -1
    round: int = 0  # round of the unanswered prepare message; 0 if there is none
    requested_at_ms: float = NEVER
    is_done: bool = False
    page_count: int = 0


@dataclass
class WriteInFlight:
    """The records sent in one round of accept messages."""

    keys: list[int]
    sent_at_ms: float
    awaited_replicas: set[int]  # replicas that have not replied
    is_initial: bool


@dataclass
class RecoveryProgress:
    """Progress of a recovering replica in reading one other replica, group by group."""

    group_index: int = 0  # index in the ascending order of groups
    after_key: int = -1
    round: int = 0
    requested_at_ms: float = NEVER
    is_recovering: bool = False  # the other replica has lost its own records
    is_done: bool = False


@dataclass(slots=True)
class ProposedRecord:
    """A record as its proposer knows it.

    read_ballot: ballot under which it was read; None if this proposer wrote it. round: round of its accept messages, 0
    before they are sent. votes: bit mask of the replicas that have stored it under this ballot. is_decided: they are a
    quorum. is_initial: the record is new and has not been reported to any client. written_at_ms: when this proposer
    wrote it last, or had read a quorum.
    """

    value: int
    created_at_ms: float
    read_ballot: Ballot | None = None
    round: int = 0
    votes: int = 0
    is_decided: bool = False
    is_initial: bool = False
    written_at_ms: float = NEVER

    @property
    def changed_at_ms(self) -> float:
        """Return the time from which the retention of the record counts."""
        return max(self.created_at_ms, self.written_at_ms)
