"""Writes releases and returned claims of waiting jobs to the action journal."""

from __future__ import annotations

from collections.abc import Sequence

from ..scheduling.queue import Job
from .action_journal import ActionJournal, JournalEvent

NO_JOB = -1  # replaces proxy and ticket in lines that do not concern a job


class JobJournal:
    """Appends lines to the file `path`, or nothing without a path. Raises OSError if it cannot be opened."""

    def __init__(self, path: str | None, incarnation: int) -> None:
        self.journal = ActionJournal(path)
        self.incarnation = incarnation

    def on_released(self, job: Job, priority: float, counted: Sequence[int]) -> None:
        """Record a release. priority: the effective priority. counted: controllers whose jobs it was compared with."""
        event, now_ms = JournalEvent.JOB_RELEASED, ActionJournal.now_ms()
        row = (round(priority, 4), list(counted))
        self.journal.write(event, now_ms, self.incarnation, job.proxy, job.ticket, *row)

    def on_returned(self, job: Job, claimed_at_ms: float, blocked_ms: float) -> None:
        """Record a claim without a release. claimed_at_ms: when it was sent. blocked_ms: how long it is blocked."""
        blocked_until_ms = ActionJournal.now_ms() + blocked_ms
        event = JournalEvent.JOB_RETURNED
        self.journal.write(event, claimed_at_ms, self.incarnation, job.proxy, job.ticket, blocked_until_ms)

    def on_quota(self, *, is_exhausted: bool) -> None:
        """Record that this controller has jobs to release but no quota, or has quota again."""
        event = JournalEvent.QUOTA_EXHAUSTED if is_exhausted else JournalEvent.QUOTA_RESTORED
        self.journal.write(event, ActionJournal.now_ms(), self.incarnation, NO_JOB, NO_JOB)

    def close(self) -> None:
        """Close the file."""
        self.journal.close()
