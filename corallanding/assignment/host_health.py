"""Tracks the health and speed of hosts from usage reports and health checks."""

from __future__ import annotations

import math

from .. import interface as api
from .host_list import HostList
from .limits import CALM_RATIO, FAILURE_MEMORY_MS, SUSPECT_FAILURES
from .publication import DecisionReason, QuotaKind
from .state import FleetEstimate, Host, upper_median

SATURATED_RATIO = 1.5
"""Latency ratio above which a host answers hardly any attempt."""

SLOW_HEALTH_CHECK_FACTOR = 8.0
"""Multiple of the fleet's median health check latency above which a saturated host is slow by itself."""

HANG_REPORT_WINDOWS = 2.0
"""Report windows without an answer after which a suspect host is failing."""

FAILURE_OBJECTIVES = 2.0
"""Latency of a failed attempt in the latency ratio, in latency objectives."""

LATENCY_PRIOR_ATTEMPTS = 6.0
"""Number of answers at which a report has a weight of one half in the smoothed latency.

Reports with fewer answers have less weight, as their mean is less reliable.
"""

FASTER_GAIN = 0.3
"""Smoothing gain of the base latency when it falls. It is high since only a faster host answers faster."""

CALM_SLOWER_GAIN = 0.05
SLOWER_GAIN = 0.02
"""Smoothing gains of the base latency when it rises: of a calm host, and of one that is not calm in a calm fleet."""

DEFAULT_LATENCY_OBJECTIVE_MS = 1_000.0
"""Latency objective if no request class is configured."""


def latency_ratio(host: Host, latency_objective_ms: float) -> float:
    """Return the mean latency of a host's recent attempts divided by the objective; 0.0 below one recent attempt.

    Failed attempts count as `FAILURE_OBJECTIVES` objectives.
    """
    attempts = host.successes + host.failures
    if attempts < 1.0:
        return 0.0
    return (host.successes * host.latency_ms / latency_objective_ms + host.failures * FAILURE_OBJECTIVES) / attempts


class HostHealth:
    """Determines the health and speed of each host from usage reports and health checks.

    It writes those fields of `Host`, reads the last fleet estimate, and requests health checks and decisions through
    `Publication`.
    """

    def __init__(self, host_list: HostList, fleet: FleetEstimate) -> None:
        self.settings = host_list.settings
        self.host_list = host_list
        self.hosts = host_list.hosts
        self.publication = host_list.publication
        self.fleet = fleet
        self.recent_successes = 0.0  # decaying count of answered attempts at all hosts
        objectives = (request_class.latency_objective_ms for request_class in self.settings.request_classes)
        self.min_latency_objective_ms = min(objectives, default=DEFAULT_LATENCY_OBJECTIVE_MS)

    # Usage reports.

    def on_host_usage_report(self, event: api.HostUsageReport) -> None:
        """Record the attempts at a host; a series of failures without an answer makes it suspect."""
        host = self.host_list.get_or_create(event.host)
        now_ms = self.publication.now_ms
        if now_ms - host.start_learned_at_ms < self.settings.report_interval_ms + self.settings.propagation_ms:
            return  # the report may describe the host's previous process
        answered = event.attempts - event.failed
        host.successes += answered
        host.failures += event.failed
        if answered > 0 and event.latency_ms > 0:
            self._update_latency(host, event.latency_ms, answered)
        self.recent_successes += answered
        if answered:
            host.consecutive_failures = 0
            host.succeeded_at_ms = now_ms
            host.alive_at_ms = now_ms
        else:
            host.consecutive_failures += event.failed
        # Failures at a host without slices are of attempts sent before it lost them, and are no evidence.
        if host.consecutive_failures >= SUSPECT_FAILURES and host.load:
            self._examine_suspect(host)

    def _update_latency(self, host: Host, latency_ms: float, answered: int) -> None:
        """Update the smoothed mean latency, and from it the base latency.

        Queueing in an overloaded host hides its speed, so the base latency then rises only if the fleet is calm, as the
        host is then slow by itself. It does not fall while a host warms up.
        """
        fleet = self.fleet
        prior_ms = fleet.typical_latency_ms_by_kind.get(host.entry.kind) or fleet.typical_latency_ms or latency_ms
        host.latency_ms = host.latency_ms or prior_ms
        host.latency_ms += (latency_ms - host.latency_ms) * answered / (answered + LATENCY_PRIOR_ATTEMPTS)
        is_calm = latency_ratio(host, self.min_latency_objective_ms) < CALM_RATIO
        host.base_latency_ms = host.base_latency_ms or prior_ms
        if host.latency_ms < host.base_latency_ms:
            gain = 0.0 if self.is_warming_up(host) else FASTER_GAIN
        elif is_calm:
            gain = CALM_SLOWER_GAIN
        elif fleet.median_latency_ratio < CALM_RATIO:
            gain = SLOWER_GAIN
        else:
            return
        host.base_latency_ms += (host.latency_ms - host.base_latency_ms) * gain

    def _examine_suspect(self, host: Host) -> None:
        """Distinguish a hang (no answer for some report windows), a crash (the health check fails) and overload.

        An overloaded host still answers some attempts; moving all of its slices would overload the next host.
        """
        silent_ms = self.publication.now_ms - host.succeeded_at_ms
        if silent_ms > HANG_REPORT_WINDOWS * self.fleet.report_window_ms:
            self.record_failure(host)
        else:
            self.request_health_check(host)

    # Health checks.

    def request_health_check(self, host: Host) -> None:
        """Request a health check if the site allows it and none is in flight for this host."""
        if self.settings.may_check_health and not host.is_being_checked:
            host.is_being_checked = True
            self.publication.actions.append(api.CheckHealth(host.id))

    def on_health_check_result(self, event: api.HealthCheckResult) -> None:
        """Record a passed health check as evidence that the host is alive.

        A failed check is recorded as a failure only if the host is suspect or not listed.
        """
        host = self.host_list.get_or_create(event.host)
        host.is_being_checked = False
        is_suspect = host.consecutive_failures >= SUSPECT_FAILURES
        if event.outcome is api.HealthCheckOutcome.OK:
            host.health_check_latency_ms = event.latency_ms
            if self._is_slow_by_itself(host):
                self.record_failure(host)
            else:
                self._record_alive(host)
        elif event.outcome is api.HealthCheckOutcome.TIMEOUT and not is_suspect and host.is_listed:
            self._record_alive(host)  # a slow or lossy network path also causes timeouts
        elif event.outcome is not api.HealthCheckOutcome.FULL and (is_suspect or not host.is_listed):
            self.record_failure(host)

    def _is_slow_by_itself(self, host: Host) -> bool:
        """Return whether a host that passed a health check is too slow to be useful while the fleet is calm.

        If all hosts are overloaded, health checks are slow everywhere, and no other host could take over its slices.
        """
        listed = [other for other in self.hosts.values() if other.is_listed]
        median_ms = upper_median([other.health_check_latency_ms for other in listed if other.health_check_latency_ms])
        if host.health_check_latency_ms <= SLOW_HEALTH_CHECK_FACTOR * median_ms:
            return False
        if host.load:
            is_unhealthy = latency_ratio(host, self.min_latency_objective_ms) > SATURATED_RATIO
        else:
            is_unhealthy = host.failed_at_ms > -math.inf
        return is_unhealthy and self.fleet.median_latency_ratio < CALM_RATIO and not self.is_warming_up(host)

    def _record_alive(self, host: Host) -> None:
        host.alive_at_ms = self.publication.now_ms
        if not host.load:
            host.consecutive_failures = 0

    def record_failure(self, host: Host) -> None:
        """Make a host ineligible for `FAILURE_MEMORY_MS` from now on, if the quota allows another evacuation."""
        if self.publication.now_ms - host.failed_at_ms > FAILURE_MEMORY_MS:
            if not self.publication.may_begin(QuotaKind.EVACUATIONS, 0, True):
                return
            note = f"failing {host.id} good={host.successes:.1f} bad={host.failures:.1f}"
            self.publication.actions.append(api.LogNote(note))
            self.publication.require_decision(DecisionReason.FAILED_HOST)
        host.failed_at_ms = self.publication.now_ms

    # Predicates.

    def is_leaving(self, host: Host) -> bool:
        """Return whether the host list marks a host as draining or removed, so that nothing may be assigned to it."""
        if host.entry.state != api.HostState.UP:
            return True
        return not host.is_listed and self.host_list.has_fresh_list and not self.is_alive_but_unlisted(host)

    def is_alive_but_unlisted(self, host: Host) -> bool:
        """Return whether a host is missing from the list only by an error of the list.

        That is assumed of a host that was alive recently, at a site where only drains bind (`only_drains_bind`). It
        guards against lists that briefly lack hosts, are empty or return to an older version. In exchange, a host that
        is really failing keeps its slices for one more health check.
        """
        max_silence_ms = max(FAILURE_MEMORY_MS, HANG_REPORT_WINDOWS * self.fleet.report_window_ms)
        is_alive = host.alive_at_ms > host.failed_at_ms and self.publication.now_ms - host.alive_at_ms < max_silence_ms
        return self.settings.only_drains_bind and not host.is_listed and is_alive

    def is_warming_up(self, host: Host) -> bool:
        """Return whether a host's process is younger than the site's warm-up time."""
        return self.publication.now_ms - host.process_started_at_ms < self.settings.warm_up_ms
