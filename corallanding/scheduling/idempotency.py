"""A fingerprint goes once: records of jobs that clients may bring again elsewhere, and of sessions. Pure.

A record begins as waiting, and its age is the job's, wherever the job comes again; it ends as its owner's, who may let
it go. Two owners can never both be told so.
"""

from __future__ import annotations

from collections.abc import Callable

from ..quorum_records.messages import FULL as NO_ROOM
from ..quorum_records.queries import Outcome, Queries
from .queue import Job

SEEK, CLAIM, BACK = range(3)  # what is asked: how old it is, whether it may go, that it has not gone and will not
NOT_NOW, FOUND, GRANTED, TWIN, FULL = range(5)  # what is told
WAITING = 1  # the value of a record that nobody owns


class IdempotencyRecords:
    """groups: of records, the same at all stewards."""

    def __init__(self, asking: Queries, groups: tuple[int, ...]) -> None:
        self.queries, self.groups, self.records = asking, groups, asking.records
        self.clock: Callable[[], float] = lambda: 0.0
        asking.serve(groups, self.on_query, self.on_write_denied)

    def query_age(self, now: float, key: int, waited: float) -> int:
        return self.queries.ask(now, self.groups[key % len(self.groups)], key, SEEK, int(max(0.0, waited)))

    def query_claim(self, now: float, job: Job, owner: int) -> int:
        """owner: a number of that ticket's own, above 1, the same if it comes again through another steward."""
        return self.queries.ask(
            now, self.groups[job.idempotency_key % len(self.groups)], job.idempotency_key, CLAIM, owner
        )

    def query_release(self, now: float, job: Job, owner: int) -> int:
        """Granted, and surely never sent: its client may bring it again."""
        return self.queries.ask(
            now, self.groups[job.idempotency_key % len(self.groups)], job.idempotency_key, BACK, owner
        )

    def on_query(self, now: float, group: int, key: int, kind: int, more: int) -> Outcome | None:
        writer = self.records.held[group]
        entry = writer.get(key)
        if entry is None:
            if kind == BACK:
                return FOUND, 0
            writer.write(now, key, *((WAITING, now - more) if kind == SEEK else (more, now)))
            return None
        if not writer.confirm(now, key):
            return None
        if kind == BACK:
            if entry.value == more:
                writer.write(now, key, WAITING, entry.born, first=False)
            return FOUND, 0
        if kind == SEEK:
            return (FOUND if entry.value == WAITING else TWIN), int(now - entry.born)
        if entry.value == WAITING:
            writer.write(now, key, more, entry.born, first=False)
            return None
        return (GRANTED if entry.value == more else TWIN), 0

    def on_write_denied(self, why: int) -> Outcome | None:
        return (FULL, 0) if why == NO_ROOM else None
