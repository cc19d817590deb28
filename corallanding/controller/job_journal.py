"""What the journal notes of jobs that waited."""

from __future__ import annotations

from collections.abc import Sequence

from ..scheduling.queue import Job
from .action_journal import ActionJournal, JournalEvent

NO_JOB = -1  # in place of a proxy and a ticket, in lines that are about no job


class JobJournal:
    """Notes jobs in the file `path`; without a path nothing. Raises OSError if it cannot be opened."""

    def __init__(self, path: str | None, incarnation: int) -> None:
        self.journal = ActionJournal(path)
        self.incarnation = incarnation

    def on_released(self, job: Job, priority: float, counted: Sequence[int]) -> None:
        """A job goes. priority: its effective priority; counted: controllers whose jobs were compared with it."""
        event, now = JournalEvent.JOB_RELEASED, ActionJournal.now()
        row = (round(priority, 4), list(counted))
        self.journal.write(event, now, self.incarnation, job.proxy, job.ticket, *row)

    def on_returned(self, job: Job, claimed_at: float, blocked_ms: float) -> None:
        """A claim came to nothing. claimed_at: when it was sent; blocked_ms: for how long the job is set aside."""
        until = ActionJournal.now() + blocked_ms
        event = JournalEvent.JOB_RETURNED
        self.journal.write(event, claimed_at, self.incarnation, job.proxy, job.ticket, until)

    def on_quota(self, *, is_exhausted: bool) -> None:
        """This controller could release jobs and has no quota, or has some again."""
        event = JournalEvent.QUOTA_EXHAUSTED if is_exhausted else JournalEvent.QUOTA_RESTORED
        self.journal.write(event, ActionJournal.now(), self.incarnation, NO_JOB, NO_JOB)

    def close(self) -> None:
        """Close the file."""
        self.journal.close()
