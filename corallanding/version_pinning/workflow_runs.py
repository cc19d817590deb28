"""Runs: which set each has, as the holder of the run's group answers. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from ..quorum_records.messages import FULL as NO_ROOM
from ..quorum_records.queries import Outcome, Queries
from ..rate_limit import TokenBucket
from .limits import PinningLimits
from .messages import ENDED, ENTER, FULL, OVER, PINNED
from .release_register import ReleaseRegister
from .version_selection import choose_set

ENDED_FLAG = 1 << 20  # added to a run's set once it is over


class WorkflowRuns:
    """groups: of records, one for each part of the runs, the same at all stewards. register: the one in force, or None
    while it is not known. strength: of each set."""

    def __init__(
        self,
        asking: Queries,
        groups: tuple[int, ...],
        terms: PinningLimits,
        register: Callable[[], ReleaseRegister | None],
        strength: Callable[[int], float],
    ) -> None:
        self.queries, self.groups, self.limits, self.register, self.capacity_of_set = (
            asking,
            groups,
            terms,
            register,
            strength,
        )
        self.records = asking.records
        self.client_rate_limits: dict[int, TokenBucket] = {}
        self.begun_count = self.rejected_count = 0
        asking.serve(groups, self.on_query, self.on_write_denied)

    def request_run(self, now: float, key: int, client: str = "", ended: bool = False) -> int:
        """The number under which the answer will come. key: of the run, not 0. client: new runs are limited by it."""
        bucket = zlib.crc32(client.encode()) % self.limits.client_buckets
        return self.queries.ask(now, self.groups[key % len(self.groups)], key, ENDED if ended else ENTER, bucket)

    def on_query(self, now: float, group: int, key: int, kind: int, bucket: int) -> Outcome | None:
        """What is known of the run, or its beginning."""
        writer = self.records.held[group]
        entry = writer.get(key)
        if entry is None:
            return (OVER, 0) if kind == ENDED else self.begin(now, group, key, bucket)
        if entry.value & ENDED_FLAG or now - entry.born > self.limits.max_run_ms * (1.0 - self.limits.max_clock_drift):
            return OVER, 0
        if not writer.confirm(now, key):
            return None
        if kind == ENDED:
            writer.write(now, key, entry.value | ENDED_FLAG, entry.born, first=False)
            return OVER, 0
        return PINNED, entry.value

    def begin(self, now: float, group: int, key: int, bucket: int) -> Outcome | None:
        register, rate = self.register(), self.limits.begins_per_second
        if register is None:
            return None
        if not self.client_rate_limits.setdefault(
            bucket % self.limits.client_buckets, TokenBucket(rate, rate, now)
        ).take(now):
            self.rejected_count += 1
            return FULL, 0
        value = choose_set(key, register.open_sets, [self.capacity_of_set(s) for s in register.open_sets])
        if self.records.held[group].write(now, key, value, now):
            self.begun_count += 1
        return None

    def on_write_denied(self, why: int) -> Outcome | None:
        """A set that closed meanwhile: it begins anew in the one that is open now."""
        if why != NO_ROOM:
            return None
        self.rejected_count += 1
        return FULL, 0
