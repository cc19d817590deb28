"""Workflow runs and their release sets, as answered by the holder of the run's record group."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from ..quorum_records.messages import ReplicaStatus
from ..quorum_records.queries import Outcome, Queries
from ..rate_limit import TokenBucket
from .limits import PinningLimits
from .messages import RunQueryKind, RunStatus
from .release_register import ReleaseRegister
from .version_selection import choose_set

ENDED_FLAG = 1 << 20  # added to the release set in the record of an ended run
NO_SET = 0  # value of an answer without a release set


class WorkflowRuns:
    """Answers queries about runs, and starts unknown runs.

    `groups` are the record groups among which runs are distributed, the same at all controllers. `current_register`
    returns the current register, or None while it is unknown. `capacity_of_set` returns the current capacity of the
    hosts for a release set.
    """

    def __init__(
        self,
        queries: Queries,
        groups: tuple[int, ...],
        limits: PinningLimits,
        current_register: Callable[[], ReleaseRegister | None],
        capacity_of_set: Callable[[int], float],
    ) -> None:
        self.queries = queries
        self.groups = groups
        self.limits = limits
        self.current_register = current_register
        self.capacity_of_set = capacity_of_set
        self.records = queries.records
        self.client_rate_limits: dict[int, TokenBucket] = {}
        self.rejected_count = 0
        queries.register(groups, self.on_query, self.on_write_denied)

    def request_run(self, now_ms: float, key: int, client: str = "", *, has_ended: bool = False) -> int:
        """Submit a query for the release set of the run `key` (not 0), or report that the run has ended.

        Return the query number, which the answer repeats. New runs are rate-limited per `client`.
        """
        kind = RunQueryKind.END if has_ended else RunQueryKind.CONTINUE
        bucket = zlib.crc32(client.encode()) % self.limits.client_buckets
        return self.queries.submit(now_ms, self.groups[key % len(self.groups)], key, kind, bucket)

    def on_query(self, now_ms: float, group: int, key: int, kind: int, bucket: int) -> Outcome | None:
        """Answer a query about a run as the holder of its group; None until a majority has the answer's record."""
        proposer = self.records.proposers[group]
        record = proposer.get(key)
        if record is None:
            if kind == RunQueryKind.END:
                return Outcome(RunStatus.OVER, NO_SET)
            return self._begin(now_ms, group, key, bucket)
        if record.value & ENDED_FLAG or self._is_expired(now_ms, record.created_at_ms):
            return Outcome(RunStatus.OVER, NO_SET)
        if not proposer.confirm(now_ms, key):
            return None
        if kind == RunQueryKind.END:
            proposer.write(now_ms, key, record.value | ENDED_FLAG, record.created_at_ms, is_initial=False)
            return Outcome(RunStatus.OVER, NO_SET)
        return Outcome(RunStatus.PINNED, record.value)

    def _is_expired(self, now_ms: float, started_at_ms: float) -> bool:
        return now_ms - started_at_ms > self.limits.max_run_ms * (1.0 - self.limits.max_clock_drift)

    def _begin(self, now_ms: float, group: int, key: int, bucket: int) -> Outcome | None:
        """Write the record of a new run; return None, as the answer follows once a majority has the record."""
        register = self.current_register()
        if register is None:
            return None
        if not self._take_start_permit(now_ms, bucket):
            self.rejected_count += 1
            return Outcome(RunStatus.REJECTED, NO_SET)
        capacities = [self.capacity_of_set(number) for number in register.open_sets]
        release_set = choose_set(key, register.open_sets, capacities)
        self.records.proposers[group].write(now_ms, key, release_set, now_ms)
        return None

    def _take_start_permit(self, now_ms: float, bucket: int) -> bool:
        """Return whether the clients of that bucket may start one more run now, and use up one permit if so."""
        bucket %= self.limits.client_buckets
        rate = self.limits.max_new_runs_per_second
        limiter = self.client_rate_limits.setdefault(bucket, TokenBucket(rate, rate, now_ms))
        return limiter.try_take(now_ms)

    def on_write_denied(self, reason: int) -> Outcome | None:
        """Return the final answer after a majority rejected the record.

        None repeats the query, which then uses the release sets that are open at that time.
        """
        if reason != ReplicaStatus.FULL:
            return None
        self.rejected_count += 1
        return Outcome(RunStatus.REJECTED, NO_SET)
