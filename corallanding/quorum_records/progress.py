"""Progress of a proposer's reads and writes, and of the reads of a recovering replica."""

from __future__ import annotations

from dataclasses import dataclass

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
