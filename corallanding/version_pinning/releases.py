"""The register of releases: written by the holder of the release task, in force once a majority has it. Pure."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from ..lease.election import OutgoingMessage
from ..quorum_records.core import QuorumRecords
from .limits import PinningLimits
from .messages import MAX_COUNTED_SETS, RegisterAnnouncement, RunCountQuery, RunCountReport
from .release_register import ReleaseRegister, unpack_register
from .rollout import first_register, next_register

REGISTER_KEY = 1  # of the register in its group


@dataclass
class RunCounts:
    """A tally that is out: who has answered, and what."""

    round: int = 0
    queried_at_ms: float = float("-inf")
    by_voter: dict[int, dict[int, int]] = field(default_factory=dict)


class ReleaseCoordinator:
    """said: what has changed, or stands in the way, in words."""

    def __init__(
        self,
        me: int,
        others: tuple[int, ...],
        life: int,
        records: QuorumRecords,
        group: int,
        terms: PinningLimits,
        said: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.member, self.peers, self.incarnation, self.records, self.group = me, others, life, records, group
        self.limits, self.on_change = terms, said
        self.register: ReleaseRegister | None = None  # in force, as far as we heard
        self.run_counts = RunCounts()
        self.announced_at_ms = float("-inf")
        self.retired_count = 0
        self.obstacle = ""  # what stands in the way, as last said

    def accepted_register(self) -> ReleaseRegister | None:
        """What this keeper has taken in: it may not be in force yet, and binds what it takes in from there on."""
        record = self.records.shelf.groups.get(self.group, {}).get(REGISTER_KEY)
        return unpack_register(record.value) if record else None

    def may_accept(self, value: int, begins: bool) -> bool:
        """Whether a run of that set may be taken in here."""
        register = self.accepted_register()
        return register is not None and value in (register.open_sets if begins else register.live_sets)

    def tick(
        self, now: float, wanted: int, known: Collection[int], strength: Callable[[], Mapping[int, float]]
    ) -> list[OutgoingMessage]:
        """What the holder of the task has to do; nothing for all others."""
        writer = self.records.held.get(self.group)
        if writer is None or not writer.open or writer.behind:
            self.run_counts = RunCounts()
            return []
        writer.decided.clear()
        entry = writer.get(REGISTER_KEY)
        if entry is None:
            if wanted in known:
                writer.write(now, REGISTER_KEY, first_register(wanted).pack(), now)
            return []
        if not writer.confirm(now, REGISTER_KEY):
            return []
        register = unpack_register(entry.value)
        if register is None:
            return []
        out = self.announce(now, register)
        closed = register.live_sets[register.open_count :]
        over = [s for s in closed if self.is_unused(entry.value, s)]
        if closed and now - self.run_counts.queried_at_ms > self.limits.announce_interval_ms:
            out += self.query_run_counts(now, entry.value)
        step, why = next_register(register, wanted, known, strength(), over)
        if step:
            self.retired_count += len(step.live_sets) < len(register.live_sets)
            self.on_change(why)
            self.run_counts = RunCounts()
            writer.write(now, REGISTER_KEY, step.pack(), entry.born, first=False)
        elif why != self.obstacle and why:
            self.on_change(why)
        self.obstacle = "" if step else why
        return out

    def announce(self, now: float, register: ReleaseRegister) -> list[OutgoingMessage]:
        new = self.register is None or register.version > self.register.version
        if not new and now - self.announced_at_ms < self.limits.announce_interval_ms:
            return []
        self.register, self.announced_at_ms = register, now
        return [OutgoingMessage(n, RegisterAnnouncement(self.incarnation, 0, register.pack())) for n in self.peers]

    def on_announcement(self, word: RegisterAnnouncement) -> None:
        register = unpack_register(word.value)
        if register and (self.register is None or register.version > self.register.version):
            self.register = register

    # ---- whether a closed set is still needed --------------------------------------------------------------

    def query_run_counts(self, now: float, value: int) -> list[OutgoingMessage]:
        self.run_counts = RunCounts(next(self.records.rounds), now)
        word = RunCountQuery(self.incarnation, self.run_counts.round)
        if self.records.keeps:
            self.on_run_count_report(self.member, self.on_run_count_query(word))
        return [OutgoingMessage(n, word) for n in self.records.keepers if n != self.member]

    def on_run_count_query(self, word: RunCountQuery) -> RunCountReport:
        record = self.records.shelf.groups.get(self.group, {}).get(REGISTER_KEY)
        counts = sorted(self.records.shelf.tallies.items(), key=lambda row: (-row[1], row[0]))
        # More sets than there may be alive: one that was to be retired would be missing, so nothing is said.
        good = record is not None and self.records.catch.ready and len(counts) <= MAX_COUNTED_SETS
        return RunCountReport(word.life, word.round, record.value if good and record else 0, counts if good else [])

    def on_run_count_report(self, keeper: int, word: RunCountReport) -> None:
        if word.life == self.incarnation and word.round == self.run_counts.round and keeper in self.records.keepers:
            self.run_counts.by_voter[keeper] = {**dict(word.rows), 0: word.value}

    def is_unused(self, value: int, set: int) -> bool:
        """Whether a majority that takes in no more of it has no live run of it: then no run has it."""
        told = [rows for rows in self.run_counts.by_voter.values() if rows[0] == value]
        return len(told) > len(self.records.keepers) // 2 and not any(rows.get(set) for rows in told)
