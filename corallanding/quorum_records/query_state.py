"""State of unanswered queries: those sent by this controller, and those received from others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NEVER = float("-inf")


@dataclass
class PendingQuery:
    """A query of this controller that has not been answered yet."""

    group: int
    key: int
    kind: int
    argument: int
    submitted_at_ms: float
    sent_at_ms: float = NEVER


class Requester(NamedTuple):
    """The sender of a query on a record: a controller's process, and the kind of query."""

    controller: int
    incarnation: int
    kind: int


class WaitingQuery(NamedTuple):
    """The latest query of a requester. received_at_ms: when it arrived, or was repeated."""

    number: int
    argument: int
    received_at_ms: float
