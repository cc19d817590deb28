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
from .limits import PinTerms
from .messages import PinWords, Settled, Tallied, Tally
from .releases import Releases
from .version_selection import Versions
from .workflow_runs import END, Runs

RUNS, RELEASE = "runs", "release"  # names of the task group and the task


def record_terms(terms: PinTerms, most: int = 200_000, again: float = 150.0) -> RecordLimits:
    """One that is over is told so for as long again as it may have lasted."""
    return RecordLimits(2.0 * terms.run, terms.run * (1.0 + terms.drift), most, again)


def pins_on(
    fleet: FleetRecords,
    terms: PinTerms,
    sets: Mapping[int, Versions],
    wanted: int,
    strength: Callable[[int], float],
    said: Callable[[str], None] = lambda text: None,
) -> Pins:
    """Runs and releases on records that have groups for both; their values are tallied, and the register lasts."""
    groups = fleet.of[RUNS]
    pins = Pins(fleet.asking, groups, fleet.of[RELEASE][0], terms, sets, wanted, strength, said)
    fleet.rules.update(dict.fromkeys(groups, pins.may))
    return pins


class Pins:
    """groups: of records, for the parts of the runs; release: that of the register. sets: number to versions by
    operation. wanted: the set that is to be current. strength: of each set, asked when a run begins."""

    def __init__(
        self,
        asking: Queries,
        groups: tuple[int, ...],
        release: int,
        terms: PinTerms,
        sets: Mapping[int, Versions],
        wanted: int,
        strength: Callable[[int], float],
        said: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.sets, self.wanted, self.strength, self.terms = sets, wanted, strength, terms
        self.asking, self.records = asking, asking.records
        self.releases = Releases(asking.me, asking.others, asking.life, self.records, release, terms, said)
        self.runs = Runs(asking, groups, terms, lambda: self.releases.register, strength)

    def may(self, value: int, first: bool) -> bool:
        """What a keeper takes in of a run. One that is over needs no set."""
        return bool(value & END) or self.releases.may(value, first)

    def enter(self, now: float, key: int, client: str = "", ended: bool = False) -> int:
        """Asked for a run; the answer comes by `answers`, later."""
        return self.runs.enter(now, key, client, ended)

    def answers(self) -> list[QueryResult]:
        return self.asking.take(self.runs.groups[0])

    def tick(self, now: float) -> list[Action]:
        """Call before each tick of the records."""
        strength = {s: self.strength(s) for s in self.sets}
        return list(self.releases.tick(now, self.wanted, self.sets, lambda: strength))

    def heard(self, now: float, sender: int, word: PinWords) -> list[OutgoingMessage]:
        """A word of a known steward, within what it may say."""
        match word:
            case Settled():
                self.releases.settled(word)
            case Tally():
                return [OutgoingMessage(sender, self.releases.asked(word))]
            case Tallied():
                self.releases.tallied(sender, word)
        return []

    def page(self) -> dict[str, Any]:
        """What the door shows."""
        register, shelf = self.releases.register, self.records.shelf
        live = {str(s): n for s, n in sorted(shelf.tallies.items()) if not s & END}
        return {
            "current": register.current if register else None,
            "open": register.opens if register else [],
            "alive": register.alive if register else [],
            "version": register.version if register else 0,
            "wanted": self.wanted,
            "in_the_way": self.releases.blocked,
            "live_runs_here": live,
            "groups_held": sum(g in self.records.held for g in self.runs.groups),
        }
