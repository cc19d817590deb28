"""Runs: which set each has, as the holder of the run's group answers. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from ..quorum_records.messages import FULL as NO_ROOM
from ..quorum_records.queries import Outcome, Queries
from ..rate_limit import TokenBucket
from .limits import PinTerms
from .messages import ENDED, ENTER, FULL, OVER, PINNED
from .release_register import Register
from .version_selection import draw

END = 1 << 20  # added to a run's set once it is over


class Runs:
    """groups: of records, one for each part of the runs, the same at all stewards. register: the one in force, or None
    while it is not known. strength: of each set."""

    def __init__(
        self,
        asking: Queries,
        groups: tuple[int, ...],
        terms: PinTerms,
        register: Callable[[], Register | None],
        strength: Callable[[int], float],
    ) -> None:
        self.asking, self.groups, self.terms, self.register, self.strength = asking, groups, terms, register, strength
        self.records = asking.records
        self.buckets: dict[int, TokenBucket] = {}
        self.begun = self.refused = 0
        asking.serve(groups, self.look, self.denied)

    def enter(self, now: float, key: int, client: str = "", ended: bool = False) -> int:
        """The number under which the answer will come. key: of the run, not 0. client: new runs are limited by it."""
        bucket = zlib.crc32(client.encode()) % self.terms.clients
        return self.asking.ask(now, self.groups[key % len(self.groups)], key, ENDED if ended else ENTER, bucket)

    def look(self, now: float, group: int, key: int, kind: int, bucket: int) -> Outcome | None:
        """What is known of the run, or its beginning."""
        writer = self.records.held[group]
        entry = writer.get(key)
        if entry is None:
            return (OVER, 0) if kind == ENDED else self.begin(now, group, key, bucket)
        if entry.value & END or now - entry.born > self.terms.run * (1.0 - self.terms.drift):
            return OVER, 0
        if not writer.confirm(now, key):
            return None
        if kind == ENDED:
            writer.write(now, key, entry.value | END, entry.born, first=False)
            return OVER, 0
        return PINNED, entry.value

    def begin(self, now: float, group: int, key: int, bucket: int) -> Outcome | None:
        register, rate = self.register(), self.terms.begins_per_s
        if register is None:
            return None
        if not self.buckets.setdefault(bucket % self.terms.clients, TokenBucket(rate, rate, now)).take(now):
            self.refused += 1
            return FULL, 0
        value = draw(key, register.opens, [self.strength(s) for s in register.opens])
        if self.records.held[group].write(now, key, value, now):
            self.begun += 1
        return None

    def denied(self, why: int) -> Outcome | None:
        """A set that closed meanwhile: it begins anew in the one that is open now."""
        if why != NO_ROOM:
            return None
        self.refused += 1
        return FULL, 0
