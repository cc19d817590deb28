"""Runs and releases of a fleet as one steward lives them. Sans-I/O: what must be on disk before a word goes out stands
before it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ..lease.election import OutgoingMessage
from ..quorum_records.core import Action
from ..quorum_records.fleet import FleetRecords
from ..quorum_records.limits import RecordLimits
from ..quorum_records.queries import Queries, QueryResult
from .limits import PinningLimits
from .messages import PinningMessage, RegisterAnnouncement, RunCountQuery, RunCountReport
from .releases import ReleaseCoordinator
from .version_selection import ReleaseSet
from .workflow_runs import ENDED_FLAG, WorkflowRuns

RUNS_TASK_GROUP, RELEASE_TASK = "runs", "release"  # names of the task group and the task


def run_record_limits(terms: PinningLimits, most: int = 200_000, again: float = 150.0) -> RecordLimits:
    """One that is over is told so for as long again as it may have lasted."""
    return RecordLimits(2.0 * terms.max_run_ms, terms.max_run_ms * (1.0 + terms.max_clock_drift), most, again)


def version_pinning_on(
    fleet: FleetRecords,
    terms: PinningLimits,
    sets: Mapping[int, ReleaseSet],
    wanted: int,
    strength: Callable[[int], float],
    said: Callable[[str], None] = lambda text: None,
) -> VersionPinning:
    """Runs and releases on records that have groups for both; their values are tallied, and the register lasts."""
    groups = fleet.of[RUNS_TASK_GROUP]
    pins = VersionPinning(fleet.asking, groups, fleet.of[RELEASE_TASK][0], terms, sets, wanted, strength, said)
    fleet.rules.update(dict.fromkeys(groups, pins.may_accept))
    return pins


class VersionPinning:
    """groups: of records, for the parts of the runs; release: that of the register. sets: number to versions by
    operation. wanted: the set that is to be current. strength: of each set, asked when a run begins."""

    def __init__(
        self,
        asking: Queries,
        groups: tuple[int, ...],
        release: int,
        terms: PinningLimits,
        sets: Mapping[int, ReleaseSet],
        wanted: int,
        strength: Callable[[int], float],
        said: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.release_sets, self.wanted_set, self.capacity_of_set, self.limits = sets, wanted, strength, terms
        self.queries, self.records = asking, asking.records
        self.releases = ReleaseCoordinator(asking.me, asking.others, asking.life, self.records, release, terms, said)
        self.workflow_runs = WorkflowRuns(asking, groups, terms, lambda: self.releases.register, strength)

    def may_accept(self, value: int, first: bool) -> bool:
        """What a keeper takes in of a run. One that is over needs no set."""
        return bool(value & ENDED_FLAG) or self.releases.may_accept(value, first)

    def request_run(self, now: float, key: int, client: str = "", ended: bool = False) -> int:
        """Asked for a run; the answer comes by `answers`, later."""
        return self.workflow_runs.request_run(now, key, client, ended)

    def take_answers(self) -> list[QueryResult]:
        return self.queries.take(self.workflow_runs.groups[0])

    def tick(self, now: float) -> list[Action]:
        """Call before each tick of the records."""
        strength = {s: self.capacity_of_set(s) for s in self.release_sets}
        return list(self.releases.tick(now, self.wanted_set, self.release_sets, lambda: strength))

    def on_message(self, now: float, sender: int, word: PinningMessage) -> list[OutgoingMessage]:
        """A word of a known steward, within what it may say."""
        match word:
            case RegisterAnnouncement():
                self.releases.on_announcement(word)
            case RunCountQuery():
                return [OutgoingMessage(sender, self.releases.on_run_count_query(word))]
            case RunCountReport():
                self.releases.on_run_count_report(sender, word)
        return []

    def status(self) -> dict[str, Any]:
        """What the door shows."""
        register, shelf = self.releases.register, self.records.shelf
        live = {str(s): n for s, n in sorted(shelf.tallies.items()) if not s & ENDED_FLAG}
        return {
            "current": register.current_set if register else None,
            "open": register.open_sets if register else [],
            "alive": register.live_sets if register else [],
            "version": register.version if register else 0,
            "wanted": self.wanted_set,
            "in_the_way": self.releases.obstacle,
            "live_runs_here": live,
            "groups_held": sum(g in self.records.held for g in self.workflow_runs.groups),
        }
