"""Version pinning at one controller: workflow runs and releases on quorum records.

Performs no I/O. Returned actions are in the order in which they must be executed: file writes precede the messages that
depend on them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ..quorum_records.core import Action
from ..quorum_records.fleet import FleetRecords
from ..quorum_records.limits import RecordLimits
from ..quorum_records.queries import Queries, QueryResult
from ..wire.peer_messages import OutgoingMessage
from .limits import PinningLimits
from .messages import PinningMessage, RegisterAnnouncement, RunCountQuery, RunCountReport
from .releases import ReleaseCoordinator, ignore_change
from .version_selection import ReleaseSet
from .workflow_runs import ENDED_FLAG, WorkflowRuns

RUNS_TASK_GROUP = "runs"  # the task group whose shards hold the records of runs
RELEASE_TASK = "release"  # the task whose holder writes the release register
DEFAULT_MAX_RECORDS = 200_000
DEFAULT_RETRY_MS = 150.0


def run_record_limits(
    limits: PinningLimits, max_records: int = DEFAULT_MAX_RECORDS, retry_ms: float = DEFAULT_RETRY_MS
) -> RecordLimits:
    """Return the limits of the quorum records of runs.

    The record of an ended run is kept, and answered as over, for another `max_run_ms`.
    """
    retention_ms = 2.0 * limits.max_run_ms
    max_live_ms = limits.max_run_ms * (1.0 + limits.max_clock_drift)
    return RecordLimits(retention_ms, max_live_ms, max_records, retry_ms)


def build_version_pinning(
    fleet: FleetRecords,
    limits: PinningLimits,
    release_sets: Mapping[int, ReleaseSet],
    wanted_set: int,
    capacity_of_set: Callable[[int], float],
    on_change: Callable[[str], None] = ignore_change,
) -> VersionPinning:
    """Build version pinning on quorum records that have groups for runs and for the register.

    Afterwards replicas accept records of runs according to the register that they have accepted.
    """
    run_groups = fleet.groups_by_name[RUNS_TASK_GROUP]
    register_group = fleet.groups_by_name[RELEASE_TASK][0]
    pinning = VersionPinning(
        fleet.queries, run_groups, register_group, limits, release_sets, wanted_set, capacity_of_set, on_change
    )
    fleet.acceptance_rules.update(dict.fromkeys(run_groups, pinning.may_accept))
    return pinning


class VersionPinning:
    """Workflow runs and releases at one controller.

    `run_groups` and `register_group` are groups of quorum records. `release_sets` are the configured sets by number,
    `wanted_set` is the intended current set. `capacity_of_set` returns the current capacity of the hosts for a set.
    """

    def __init__(
        self,
        queries: Queries,
        run_groups: tuple[int, ...],
        register_group: int,
        limits: PinningLimits,
        release_sets: Mapping[int, ReleaseSet],
        wanted_set: int,
        capacity_of_set: Callable[[int], float],
        on_change: Callable[[str], None] = ignore_change,
    ) -> None:
        self.queries = queries
        self.records = queries.records
        self.limits = limits
        self.release_sets = release_sets
        self.wanted_set = wanted_set
        self.capacity_of_set = capacity_of_set
        self.releases = ReleaseCoordinator(
            queries.controller_id,
            queries.peer_ids,
            queries.incarnation,
            queries.records,
            register_group,
            limits,
            on_change,
        )
        self.workflow_runs = WorkflowRuns(queries, run_groups, limits, lambda: self.releases.register, capacity_of_set)

    def may_accept(self, value: int, is_new_run: bool) -> bool:
        """Return whether this replica accepts a record of a run; an ended run needs no release set."""
        return bool(value & ENDED_FLAG) or self.releases.may_accept(value, is_new_run)

    def request_run(self, now_ms: float, key: int, client: str = "", *, has_ended: bool = False) -> int:
        """Submit a query for the release set of a run, or report its end, and return the number of the query.

        `take_answers` returns the answer under that number. `key` is the number of the run, not 0. New runs are
        rate-limited per `client`.
        """
        return self.workflow_runs.request_run(now_ms, key, client, has_ended=has_ended)

    def take_answers(self) -> list[QueryResult]:
        """Return the answers to `request_run` since the last call."""
        return self.queries.take_results(self.workflow_runs.groups[0])

    def tick(self, now_ms: float) -> list[Action]:
        """Advance a release and return the actions; call it before each tick of the records."""
        capacities = {number: self.capacity_of_set(number) for number in self.release_sets}
        return list(self.releases.tick(now_ms, self.wanted_set, self.release_sets, capacities))

    def on_message(self, sender: int, message: PinningMessage) -> list[OutgoingMessage]:
        """Handle a message of another controller and return the replies to send."""
        match message:
            case RegisterAnnouncement():
                self.releases.on_announcement(message)
            case RunCountQuery():
                return [OutgoingMessage(sender, self.releases.on_run_count_query(message))]
            case RunCountReport():
                self.releases.on_run_count_report(sender, message)
        return []

    def status(self) -> dict[str, Any]:
        """Return the entries of the status page on releases and runs."""
        register = self.releases.register
        run_counts = self.records.replica.value_counts
        live_runs = {str(number): runs for number, runs in sorted(run_counts.items()) if not number & ENDED_FLAG}
        return {
            "current": register.current_set if register else None,
            "open": register.open_sets if register else [],
            "alive": register.live_sets if register else [],
            "version": register.version if register else 0,
            "wanted": self.wanted_set,
            "in_the_way": self.releases.obstacle,
            "live_runs_here": live_runs,
            "groups_held": sum(group in self.records.proposers for group in self.workflow_runs.groups),
        }
