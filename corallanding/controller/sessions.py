"""Forwarders' processes and their ages: no job that one hands in is older than itself, whichever steward sees it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..quorum_records.queries import QueryResult
from ..scheduling.idempotency import NOT_NOW, Claims
from ..wire import frames
from .pinning_service import record_key_of
from .record_service import RecordService

HELD_MOST = 10_000  # jobs of one process that wait for its age


@dataclass
class Session:
    """since: when any steward first saw it, by our clock. waits: handed in before that was known, and when."""

    name: str
    since: float
    vouched: bool
    waits: list[tuple[float, frames.Wait]] = field(default_factory=list)


class Sessions:
    """claims, records: where there are any; without, a process is as old as its link here."""

    def __init__(self, claims: Claims | None, records: RecordService | None) -> None:
        self.claims, self.records = claims, records
        self.by: dict[int, Session] = {}
        self.seeking: dict[int, tuple[int, str]] = {}  # question: forwarder, its session

    def joined(self, now: float, forwarder: int, name: str) -> None:
        """Its age is asked for, once for each process."""
        old = self.by.get(forwarder)
        if old is None or old.name != name:
            self.by[forwarder] = Session(name, now, self.claims is None)
            self.seek(now, forwarder, name)

    def seek(self, now: float, forwarder: int, name: str) -> None:
        if self.claims and self.records:
            self.seeking[self.claims.seek(now, record_key_of(f"session {name}"), 0.0)] = (forwarder, name)
            self.records.schedule_queries()

    def held(self, now: float, forwarder: int, frame: frames.Wait) -> bool | None:
        """True if its age is known; False if the job waits for that; None if it did not say hello, or has too many."""
        session = self.by.get(forwarder)
        if session is None or session.vouched:
            return True if session else None
        if len(session.waits) >= HELD_MOST:
            return None
        session.waits.append((now, frame))
        return False

    def answered(self, now: float, told: QueryResult) -> tuple[int, list[tuple[float, frames.Wait]]]:
        """The jobs that waited for it, with the times at which they came."""
        forwarder, name = self.seeking.pop(told.number)
        session = self.by.get(forwarder)
        if session is None or session.name != name:
            return forwarder, []
        if told.what == NOT_NOW:
            self.seek(now, forwarder, name)  # nobody could say: its jobs wait for it
            return forwarder, []
        session.since, session.vouched = min(session.since, now - told.value), True
        waits, session.waits = session.waits, []
        return forwarder, waits

    def age(self, now: float, forwarder: int) -> float:
        session = self.by.get(forwarder)
        return max(0.0, now - session.since) if session else 0.0

    def name(self, forwarder: int) -> str:
        session = self.by.get(forwarder)
        return session.name if session else ""
