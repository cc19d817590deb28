"""Queries that wait: those of this controller for an answer, and those of others for a record."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NEVER = float("-inf")


@dataclass
class PendingQuery:
    """A query of this controller that has no answer yet."""

    group: int
    key: int
    kind: int
    argument: int
    asked_at_ms: float
    sent_at_ms: float = NEVER


class Asker(NamedTuple):
    """Who waits for an answer on a record, and to which kind of query."""

    controller: int
    incarnation: int
    kind: int


class WaitingQuery(NamedTuple):
    """The last query of an asker."""

    number: int
    argument: int
