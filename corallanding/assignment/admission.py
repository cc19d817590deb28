"""Admission control: proxies admit a smaller share of the requests while the whole fleet is overloaded.

A response that arrives after the client has given up is useless, whereas a rejected request is answered at once.
"""

from __future__ import annotations

from .. import interface as api
from .limits import MAX_UTILIZATION
from .publication import Publication
from .state import FleetEstimate

OVERLOADED_FLEET_RATIO = 0.6
"""Median latency ratio above which the admitted share is reduced.

Half of it is enough while requests clearly exceed the most that the fleet was ever observed to answer.
"""

RECOVERED_FLEET_RATIO = OVERLOADED_FLEET_RATIO * 0.75
"""Median latency ratio below which the admitted share is increased again."""

MIN_ANSWERABLE_SHARE = 0.8
"""`FleetEstimate.answerable_share` below which half of `OVERLOADED_FLEET_RATIO` counts as overload."""

MIN_ADMISSION_LEVEL = 0.1
"""Lower bound of the admitted share."""

DECREASE_FACTOR = 0.95
INCREASE_FACTOR = 1.1


class AdmissionControl:
    """Decides the share of requests that proxies admit, and publishes it.

    `level` is the share that was last published, or that `publish` sends next while `is_due` is set.
    """

    def __init__(self, settings: api.Settings, publication: Publication, fleet: FleetEstimate) -> None:
        self.settings = settings
        self.publication = publication
        self.fleet = fleet
        self.level = 1.0
        self.changed_at_ms = 0.0
        self.is_due = True  # the level has not been published yet

    def adjust(self) -> None:
        """Adapt the level to the estimates, once usage reports show the effect of the last change."""
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
        """Publish the level and the retry mode if they are due and at least one proxy has joined."""
        if not self.is_due or not self.publication.pending_versions.unacked_by_proxy:
            return
        self.is_due = False
        # Retrying only if the first attempt provably never ran is safe for every request class, and adds no load to
        # slow hosts.
        retry = api.RetryMode.PROVEN_UNRUN
        self.publication.actions.append(api.SetAdmission(api.ALL_TABLES, 0, self.level, retry))
        self.publication.lines_published += 1
