"""How far the reads and writes of a proposer, and the reads of a replica that recovers, have come."""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("-inf")


@dataclass
class ReadProgress:
    """How far one replica has been read."""

    after_key: int = -1
    round: int = 0  # of the prepare message that is not answered
    asked_at_ms: float = NEVER
    is_done: bool = False
    page_count: int = 0


@dataclass
class WriteInFlight:
    """Records that one round of accept messages carries."""

    keys: list[int]
    sent_at_ms: float
    awaited_replicas: set[int]  # that have not answered
    is_initial: bool


@dataclass
class RecoveryProgress:
    """How far one other replica has been read, group by group."""

    group_index: int = 0  # in the ascending order of groups
    after_key: int = -1
    round: int = 0
    asked_at_ms: float = NEVER
    is_recovering: bool = False  # it has lost its own records
    is_done: bool = False
