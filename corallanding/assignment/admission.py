"""The share of requests that proxies admit: less while the whole fleet is overloaded.

A request that waits longer than its client does is worth nothing; one that is rejected gets its answer at once.
"""

from __future__ import annotations

from .. import interface as api
from .limits import MAX_UTILIZATION
from .publication import Publication
from .state import FleetEstimate

OVERLOADED_FLEET_RATIO = 0.6
"""Median latency ratio above which less is admitted; half of it where the fleet was never seen to answer as much."""

RECOVERED_FLEET_RATIO = OVERLOADED_FLEET_RATIO * 0.75
"""Median latency ratio below which more is admitted again."""

MIN_ANSWERABLE_SHARE = 0.8
"""Share of the requests that the fleet was seen to answer, below which half of the ratio is enough."""

MIN_ADMISSION_LEVEL = 0.1
"""The least share that is admitted."""

DECREASE_FACTOR = 0.95
INCREASE_FACTOR = 1.1


class AdmissionControl:
    """The share of requests that is admitted, as proxies were told or will be once `is_due` is dealt with."""

    def __init__(self, settings: api.Settings, publication: Publication, fleet: FleetEstimate) -> None:
        self.settings = settings
        self.publication = publication
        self.fleet = fleet
        self.level = 1.0
        self.changed_at_ms = 0.0
        self.is_due = True  # the level is to be published

    def adjust(self) -> None:
        """Change the level by the estimates, once the effect of the last change shows in usage reports."""
        settings = self.settings
        delay_ms = settings.report_interval_ms + 2 * settings.propagation_ms
        if settings.admission != "fraction" or self.publication.now_ms - self.changed_at_ms < delay_ms:
            return
        level = self._target_level()
        if level != self.level:
            self.level = level
            self.changed_at_ms = self.publication.now_ms
            self.is_due = True
            self.publication.actions.append(api.LogNote(f"level {level:.2f}"))

    def _target_level(self) -> float:
        ratio = self.fleet.median_latency_ratio
        answerable_share = self.fleet.answerable_share
        is_scarce = answerable_share < MIN_ANSWERABLE_SHARE and ratio > OVERLOADED_FLEET_RATIO / 2
        if ratio > OVERLOADED_FLEET_RATIO or is_scarce:
            return max(MIN_ADMISSION_LEVEL, min(self.level * DECREASE_FACTOR, answerable_share))
        if ratio < RECOVERED_FLEET_RATIO:
            return min(1.0, self.level * INCREASE_FACTOR, max(self.level, answerable_share * MAX_UTILIZATION))
        return self.level

    def publish(self) -> None:
        """Tell proxies the level and when to retry, if that is due and some proxy has joined."""
        if not self.is_due or not self.publication.pending_versions.unacked_by_proxy:
            return
        self.is_due = False
        # A retry only on proof that the first attempt never ran is safe for every request class, and adds nothing to
        # the load of hosts that are slow.
        retry = api.RetryMode.PROVEN_UNRUN
        self.publication.actions.append(api.SetAdmission(api.ALL_TABLES, 0, self.level, retry))
        self.publication.lines_published += 1
