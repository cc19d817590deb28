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


def latency_ratio(host: Host, latency_objective_ms: float) -> float:
    """Mean latency of a host's recent attempts over the objective; 0.0 if less than one attempt is remembered."""
    attempts = host.successes + host.failures
    if attempts < 1.0:
        return 0.0
    return (host.successes * host.latency_ms / latency_objective_ms + host.failures * FAILURE_OBJECTIVES) / attempts


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
        host = self.host_list.get_or_create(event.host)
        now_ms = self.publication.now_ms
        if now_ms - host.start_learned_at_ms < self.settings.report_interval_ms + self.settings.propagation_ms:
            return  # the report may be of the host's former process
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
        # What a host without slices still fails was sent before it lost them, and says nothing.
        if host.consecutive_failures >= SUSPECT_FAILURES and host.load:
            self._examine_suspect(host)

    def _update_latency(self, host: Host, latency_ms: float, answered: int) -> None:
        """Smooth the mean latency, and learn the base latency from it.

        Answers that wait in an overloaded host say nothing of its speed, answers of a warming host only that it is
        slow; a host with a high latency ratio is slow by itself if the fleet is calm.
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
        """Tell a hang (no answer for some windows) from a crash (a health check fails) and from overload.

        An overloaded host answers some attempts: taking all of its slices would overload the next host.
        """
        silent_ms = self.publication.now_ms - host.succeeded_at_ms
        if silent_ms > HANG_REPORT_WINDOWS * self.fleet.report_window_ms:
            self.record_failure(host)
        else:
            self.request_health_check(host)

    # Health checks.

    def request_health_check(self, host: Host) -> None:
        """Ask for a health check where the site allows it, unless one is in flight."""
        if self.settings.may_check_health and not host.is_being_checked:
            host.is_being_checked = True
            self.publication.actions.append(api.CheckHealth(host.id))

    def on_health_check_result(self, event: api.HealthCheckResult) -> None:
        """Take a passed health check as a sign of life, and a failed one of a suspect as its end."""
        host = self.host_list.get_or_create(event.host)
        host.is_being_checked = False
        is_suspect = host.consecutive_failures >= SUSPECT_FAILURES
        if event.outcome is api.HealthCheckOutcome.OK:
            host.health_check_latency_ms = event.latency_ms
            if self._is_slow_by_itself(host):
                self.record_failure(host)
            else:
                self._record_sign_of_life(host)
        elif event.outcome is api.HealthCheckOutcome.TIMEOUT and not is_suspect and host.is_listed:
            self._record_sign_of_life(host)  # a long or lossy network path also makes it time out
        elif event.outcome is not api.HealthCheckOutcome.FULL and (is_suspect or not host.is_listed):
            self.record_failure(host)

    def _is_slow_by_itself(self, host: Host) -> bool:
        """Whether a host that passed a health check answers too little to be of use, while the fleet is well.

        In an overload that all hosts share health checks take long everywhere, and no host could take its slices.
        """
        listed = [other for other in self.hosts.values() if other.is_listed]
        median_ms = upper_median([other.health_check_latency_ms for other in listed if other.health_check_latency_ms])
        if host.health_check_latency_ms <= SLOW_HEALTH_CHECK_FACTOR * median_ms:
            return False
        if host.load:
            is_ill = latency_ratio(host, self.min_latency_objective_ms) > SATURATED_RATIO
        else:
            is_ill = host.failed_at_ms > -math.inf
        return is_ill and self.fleet.median_latency_ratio < CALM_RATIO and not self.is_warming_up(host)

    def _record_sign_of_life(self, host: Host) -> None:
        host.alive_at_ms = self.publication.now_ms
        if not host.load:
            host.consecutive_failures = 0

    def record_failure(self, host: Host) -> None:
        """Make a host ineligible for `FAILURE_MEMORY_MS` from now on, if the quota allows another one."""
        if self.publication.now_ms - host.failed_at_ms > FAILURE_MEMORY_MS:
            if not self.publication.may_begin(QuotaKind.EVACUATIONS, 0, True):
                return
            note = f"failing {host.id} good={host.successes:.1f} bad={host.failures:.1f}"
            self.publication.actions.append(api.LogNote(note))
            self.publication.is_decision_due = True
        host.failed_at_ms = self.publication.now_ms

    # Questions.

    def is_leaving(self, host: Host) -> bool:
        """Whether a host is draining or gone by the host list, so that nothing may go there."""
        if host.entry.state != api.HostState.UP:
            return True
        return not host.is_listed and self.host_list.has_fresh_list and not self.is_alive_but_unlisted(host)

    def is_alive_but_unlisted(self, host: Host) -> bool:
        """Whether a missing entry is the list's fault: the host shows life, at a site where only a drain binds.

        It covers lists that blink, come empty or go back in time; a dying host keeps its slices for one health check
        longer.
        """
        max_silence_ms = max(FAILURE_MEMORY_MS, HANG_REPORT_WINDOWS * self.fleet.report_window_ms)
        is_alive = host.alive_at_ms > host.failed_at_ms and self.publication.now_ms - host.alive_at_ms < max_silence_ms
        return self.settings.only_drains_bind and not host.is_listed and is_alive

    def is_warming_up(self, host: Host) -> bool:
        """Whether a host's process is younger than the site's warm-up time."""
        return self.publication.now_ms - host.process_started_at_ms < self.settings.warm_up_ms
