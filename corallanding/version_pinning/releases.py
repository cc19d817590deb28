"""The register of releases: written by the holder of the release task, in force once a majority has it. Pure."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from ..lease.election import OutgoingMessage
from ..quorum_records.core import QuorumRecords
from .limits import PinTerms
from .messages import TALLIES_MOST, Settled, Tallied, Tally
from .release_register import Register, unpack
from .rollout import first, next_register

KEY = 1  # of the register in its group


@dataclass
class Count:
    """A tally that is out: who has answered, and what."""

    round: int = 0
    at: float = float("-inf")
    told: dict[int, dict[int, int]] = field(default_factory=dict)


class Releases:
    """said: what has changed, or stands in the way, in words."""

    def __init__(
        self,
        me: int,
        others: tuple[int, ...],
        life: int,
        records: QuorumRecords,
        group: int,
        terms: PinTerms,
        said: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.me, self.others, self.life, self.records, self.group = me, others, life, records, group
        self.terms, self.said = terms, said
        self.register: Register | None = None  # in force, as far as we heard
        self.count = Count()
        self.settled_at = float("-inf")
        self.retired = 0
        self.blocked = ""  # what stands in the way, as last said

    def accepted(self) -> Register | None:
        """What this keeper has taken in: it may not be in force yet, and binds what it takes in from there on."""
        record = self.records.shelf.groups.get(self.group, {}).get(KEY)
        return unpack(record.value) if record else None

    def may(self, value: int, begins: bool) -> bool:
        """Whether a run of that set may be taken in here."""
        register = self.accepted()
        return register is not None and value in (register.opens if begins else register.alive)

    def tick(
        self, now: float, wanted: int, known: Collection[int], strength: Callable[[], Mapping[int, float]]
    ) -> list[OutgoingMessage]:
        """What the holder of the task has to do; nothing for all others."""
        writer = self.records.held.get(self.group)
        if writer is None or not writer.open or writer.behind:
            self.count = Count()
            return []
        writer.decided.clear()
        entry = writer.get(KEY)
        if entry is None:
            if wanted in known:
                writer.write(now, KEY, first(wanted).pack(), now)
            return []
        if not writer.confirm(now, KEY):
            return []
        register = unpack(entry.value)
        if register is None:
            return []
        out = self.settle(now, register)
        closed = register.alive[register.open :]
        over = [s for s in closed if self.over(entry.value, s)]
        if closed and now - self.count.at > self.terms.settle:
            out += self.tally(now, entry.value)
        step, why = next_register(register, wanted, known, strength(), over)
        if step:
            self.retired += len(step.alive) < len(register.alive)
            self.said(why)
            self.count = Count()
            writer.write(now, KEY, step.pack(), entry.born, first=False)
        elif why != self.blocked and why:
            self.said(why)
        self.blocked = "" if step else why
        return out

    def settle(self, now: float, register: Register) -> list[OutgoingMessage]:
        new = self.register is None or register.version > self.register.version
        if not new and now - self.settled_at < self.terms.settle:
            return []
        self.register, self.settled_at = register, now
        return [OutgoingMessage(n, Settled(self.life, 0, register.pack())) for n in self.others]

    def settled(self, word: Settled) -> None:
        register = unpack(word.value)
        if register and (self.register is None or register.version > self.register.version):
            self.register = register

    # ---- whether a closed set is still needed --------------------------------------------------------------

    def tally(self, now: float, value: int) -> list[OutgoingMessage]:
        self.count = Count(next(self.records.rounds), now)
        word = Tally(self.life, self.count.round)
        if self.records.keeps:
            self.tallied(self.me, self.asked(word))
        return [OutgoingMessage(n, word) for n in self.records.keepers if n != self.me]

    def asked(self, word: Tally) -> Tallied:
        record = self.records.shelf.groups.get(self.group, {}).get(KEY)
        counts = sorted(self.records.shelf.tallies.items(), key=lambda row: (-row[1], row[0]))
        # More sets than there may be alive: one that was to be retired would be missing, so nothing is said.
        good = record is not None and self.records.catch.ready and len(counts) <= TALLIES_MOST
        return Tallied(word.life, word.round, record.value if good and record else 0, counts if good else [])

    def tallied(self, keeper: int, word: Tallied) -> None:
        if word.life == self.life and word.round == self.count.round and keeper in self.records.keepers:
            self.count.told[keeper] = {**dict(word.rows), 0: word.value}

    def over(self, value: int, set: int) -> bool:
        """Whether a majority that takes in no more of it has no live run of it: then no run has it."""
        told = [rows for rows in self.count.told.values() if rows[0] == value]
        return len(told) > len(self.records.keepers) // 2 and not any(rows.get(set) for rows in told)
