"""What is known of the health and speed of hosts: from usage reports and health checks."""

from __future__ import annotations

import math

from .. import interface as api
from .host_list import HostList
from .limits import CALM_RATIO, FAILURE_MEMORY_MS, SUSPECT_FAILURES
from .publication import QuotaKind
from .state import FleetEstimate, Host, upper_median

SATURATED_RATIO = 1.5
"""Latency ratio above which a host answers next to nothing."""

SLOW_HEALTH_CHECK_FACTOR = 8.0
"""A saturated host whose health check takes so many times the fleet's median one is slow by itself."""

HANG_REPORT_WINDOWS = 2.0
"""Report windows without an answer after which a suspect host is failing."""

FAILURE_OBJECTIVES = 2.0
"""Latency objectives that a failed attempt counts in the latency ratio."""

LATENCY_PRIOR_ATTEMPTS = 6.0
"""Answers in one report at which it counts half for the smoothed latency: a few answers say little."""

FASTER_GAIN = 0.3
"""Gain of the base latency downwards: only the host's own speed makes it answer faster."""

CALM_SLOWER_GAIN = 0.05
SLOWER_GAIN = 0.02
"""Gains of the base latency upwards: of a calm host, and of another one in a calm fleet."""

DEFAULT_LATENCY_OBJECTIVE_MS = 1_000.0
"""Where no request class is configured."""


def latency_ratio(h: Host, latency_objective_ms: float) -> float:
    """Mean latency of a host's recent attempts over the objective; 0.0 if less than one attempt is remembered."""
    attempts = h.successes + h.failures
    if attempts < 1.0:
        return 0.0
    return (h.successes * h.latency_ms / latency_objective_ms + h.failures * FAILURE_OBJECTIVES) / attempts


class HostHealth:
    """Health and speed of each host, as usage reports and health checks tell it.

    It writes that part of `Host`, reads the last fleet estimate, and asks for health checks and decisions through
    `Publication`.
    """

    def __init__(self, host_list: HostList, fleet: FleetEstimate) -> None:
        self.settings = host_list.settings
        self.host_list = host_list
        self.hosts = host_list.hosts
        self.publication = host_list.publication
        self.fleet = fleet
        self.recent_successes = 0.0  # answered attempts at all hosts, decaying
        objectives = (request_class.latency_objective_ms for request_class in self.settings.request_classes)
        self.min_latency_objective_ms = min(objectives, default=DEFAULT_LATENCY_OBJECTIVE_MS)

    # Usage reports.

    def on_host_usage_report(self, event: api.HostUsageReport) -> None:
        """Count the attempts at a host; a run of failures makes it suspect."""
        h = self.host_list.get_or_create(event.host)
        now_ms = self.publication.now_ms
        if now_ms - h.start_learned_at_ms < self.settings.report_interval_ms + self.settings.propagation_ms:
            return  # the report may be of the host's former process
        answered = event.attempts - event.failed
        h.successes += answered
        h.failures += event.failed
        if answered > 0 and event.latency_ms > 0:
            self._update_latency(h, event.latency_ms, answered)
        self.recent_successes += answered
        if answered:
            h.consecutive_failures = 0
            h.succeeded_at_ms = now_ms
            h.alive_at_ms = now_ms
        else:
            h.consecutive_failures += event.failed
        # What a host without slices still fails was sent before it lost them, and says nothing.
        if h.consecutive_failures >= SUSPECT_FAILURES and h.load:
            self._examine_suspect(h)

    def _update_latency(self, h: Host, latency_ms: float, answered: int) -> None:
        """Smooth the mean latency, and learn the base latency from it.

        Answers that wait in an overloaded host say nothing of its speed, answers of a warming host only that it is
        slow; a host with a high latency ratio is slow by itself if the fleet is calm.
        """
        fleet = self.fleet
        prior_ms = fleet.typical_latency_ms_by_kind.get(h.entry.kind) or fleet.typical_latency_ms or latency_ms
        h.latency_ms = h.latency_ms or prior_ms
        h.latency_ms += (latency_ms - h.latency_ms) * answered / (answered + LATENCY_PRIOR_ATTEMPTS)
        is_calm = latency_ratio(h, self.min_latency_objective_ms) < CALM_RATIO
        h.base_latency_ms = h.base_latency_ms or prior_ms
        if h.latency_ms < h.base_latency_ms:
            gain = 0.0 if self.is_warming_up(h) else FASTER_GAIN
        elif is_calm:
            gain = CALM_SLOWER_GAIN
        elif fleet.median_latency_ratio < CALM_RATIO:
            gain = SLOWER_GAIN
        else:
            return
        h.base_latency_ms += (h.latency_ms - h.base_latency_ms) * gain

    def _examine_suspect(self, h: Host) -> None:
        """Tell a hang (no answer for some windows) from a crash (a health check fails) and from overload.

        An overloaded host answers some attempts: taking all of its slices would overload the next host.
        """
        silent_ms = self.publication.now_ms - h.succeeded_at_ms
        if silent_ms > HANG_REPORT_WINDOWS * self.fleet.report_window_ms:
            self.mark_failing(h)
        else:
            self.request_health_check(h)

    # Health checks.

    def request_health_check(self, h: Host) -> None:
        """Ask for a health check where the site allows it, unless one is in flight."""
        if self.settings.may_check_health and not h.is_being_checked:
            h.is_being_checked = True
            self.publication.actions.append(api.CheckHealth(h.id))

    def on_health_check_result(self, event: api.HealthCheckResult) -> None:
        """Take a passed health check as a sign of life, and a failed one of a suspect as its end."""
        h = self.host_list.get_or_create(event.host)
        h.is_being_checked = False
        is_suspect = h.consecutive_failures >= SUSPECT_FAILURES
        if event.outcome is api.HealthCheckOutcome.OK:
            h.health_check_latency_ms = event.latency_ms
            if self._is_slow_by_itself(h):
                self.mark_failing(h)
            else:
                self._mark_alive(h)
        elif event.outcome is api.HealthCheckOutcome.TIMEOUT and not is_suspect and h.is_listed:
            self._mark_alive(h)  # a long or lossy network path also makes it time out
        elif event.outcome is not api.HealthCheckOutcome.FULL and (is_suspect or not h.is_listed):
            self.mark_failing(h)

    def _is_slow_by_itself(self, h: Host) -> bool:
        """Whether a host that passed a health check answers too little to be of use, while the fleet is well.

        In an overload that all hosts share health checks take long everywhere, and no host could take its slices.
        """
        listed = [other for other in self.hosts.values() if other.is_listed]
        median_ms = upper_median([other.health_check_latency_ms for other in listed if other.health_check_latency_ms])
        if h.health_check_latency_ms <= SLOW_HEALTH_CHECK_FACTOR * median_ms:
            return False
        if h.load:
            is_ill = latency_ratio(h, self.min_latency_objective_ms) > SATURATED_RATIO
        else:
            is_ill = h.failed_at_ms > -math.inf
        return is_ill and self.fleet.median_latency_ratio < CALM_RATIO and not self.is_warming_up(h)

    def _mark_alive(self, h: Host) -> None:
        h.alive_at_ms = self.publication.now_ms
        if not h.load:
            h.consecutive_failures = 0

    def mark_failing(self, h: Host) -> None:
        """Make a host ineligible for `FAILURE_MEMORY_MS` from now on, if the quota allows another one."""
        if self.publication.now_ms - h.failed_at_ms > FAILURE_MEMORY_MS:
            if not self.publication.may_begin(QuotaKind.EVACUATIONS, 0, True):
                return
            note = f"failing {h.id} good={h.successes:.1f} bad={h.failures:.1f}"
            self.publication.actions.append(api.LogNote(note))
            self.publication.is_decision_due = True
        h.failed_at_ms = self.publication.now_ms

    # Questions.

    def is_leaving(self, h: Host) -> bool:
        """Whether a host is draining or gone by the host list, so that nothing may go there."""
        if h.entry.state != api.HostState.UP:
            return True
        return not h.is_listed and self.host_list.has_fresh_list and not self.is_alive_but_unlisted(h)

    def is_alive_but_unlisted(self, h: Host) -> bool:
        """Whether a missing entry is the list's fault: the host shows life, at a site where only a drain binds.

        It covers lists that blink, come empty or go back in time; a dying host keeps its slices for one health check
        longer.
        """
        max_silence_ms = max(FAILURE_MEMORY_MS, HANG_REPORT_WINDOWS * self.fleet.report_window_ms)
        is_alive = h.alive_at_ms > h.failed_at_ms and self.publication.now_ms - h.alive_at_ms < max_silence_ms
        return self.settings.only_drains_bind and not h.is_listed and is_alive

    def is_warming_up(self, h: Host) -> bool:
        """Whether a host's process is younger than the site's warm-up time."""
        return self.publication.now_ms - h.process_started_at_ms < self.settings.warm_up_ms
