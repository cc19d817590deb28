"""What is known of servers: from lists, from sums of what proxies met at them, from probes."""

import math
import zlib

from .. import interface as api
from .publication import Publication
from .state import FleetEstimate, Host, upper_median

FAILURE_MEMORY_MS = 6_000.0  # ms without word of failing after which a server may own again (design)
OVERLOAD_RATIO = 0.5  # strain above which a server is crowded
SUSPECT_FAILURES = 4  # tries in a row without an answer that make a server suspect
SATURATED_RATIO = 1.5  # strain above which a server answers next to nothing
SLOW_HEALTH_CHECK_FACTOR = (
    8.0  # times the fleet's median probe: a jammed server whose probe takes longer is slow by itself
)
HANG_REPORT_WINDOWS = 2.0  # windows of sums without any answer after which a suspect is failing


def latency_ratio(h: Host, objective: float) -> float:
    """Mean answer over the latency objective; a try without an answer counts as two objectives."""
    tries = h.successes + h.failures
    return (h.successes * h.latency_ms / objective + h.failures * 2.0) / tries if tries >= 1.0 else 0.0


class HostHealth:
    """Reads the figures of the last survey. Writes its servers; asks for probes and turns by `orders`."""

    def __init__(self, settings: api.Settings, seed: int, orders: Publication, figures: FleetEstimate) -> None:
        self.settings, self.seed, self.publication, self.fleet = settings, seed, orders, figures
        self.hosts: dict[int, Host] = {}
        self.has_fresh_list = False  # a list newer than the saved one has come
        self.random_draws, self.recent_successes = 0, 0.0  # chances drawn; answers, fading
        self.min_latency_objective_ms = min((o.latency_objective_ms for o in settings.request_classes), default=1000.0)

    def get_or_create(self, id: int) -> Host:
        if id not in self.hosts:
            self.hosts[id] = Host(id, api.HostEntry(id), is_listed=False)
        return self.hosts[id]

    def on_host_list_update(self, e: api.HostListUpdate) -> None:
        now, o = self.publication.now_ms, self.publication
        if e.kind is api.HostListKind.FAILED:
            # Ask again soon, spread by chance: the ask rule counts silence as knowledge.
            o.actions.append(api.LogNote("list call failed"))
            self.random_draws += 1
            chance = zlib.crc32(f"{self.seed}:{self.random_draws}".encode()) / 2**32
            o.actions.append(api.StartTimer(self.settings.poll_interval_ms * (0.05 + 0.1 * chance), 1))
            return
        if e.kind is not api.HostListKind.CHANGES:
            here = {entry.host for entry in e.entries}
            for h in [h for h in self.hosts.values() if h.is_listed and h.id not in here]:
                h.is_listed, o.is_decision_due = False, True
        for entry in e.entries:
            h = self.get_or_create(entry.host)
            if entry.state == "removed":  # what was last listed of it stands: it may be draining
                o.is_decision_due, h.is_listed = o.is_decision_due or h.is_listed, False
                continue
            if not self.has_fresh_list and e.kind is not api.HostListKind.CHANGES:
                h.alive_at_ms = now
            if entry.online_since > h.process_started_at_ms:
                # A new process: what was heard of the old one says nothing of it.
                if h.process_started_at_ms > -math.inf or entry.online_since > now - self.settings.warm_up_ms:
                    h.start_learned_at_ms = now
                    h.failed_at_ms, h.successes, h.failures, h.consecutive_failures, h.alive_at_ms = (
                        -math.inf,
                        0.0,
                        0.0,
                        0,
                        -math.inf,
                    )
                h.process_started_at_ms = entry.online_since
            o.is_decision_due = o.is_decision_due or entry.state != "up"
            h.entry, h.is_listed = entry, True
        self.has_fresh_list = self.has_fresh_list or e.kind is not api.HostListKind.SAVED

    def on_host_usage_report(self, e: api.HostUsageReport) -> None:
        h, now = self.get_or_create(e.host), self.publication.now_ms
        if now - h.start_learned_at_ms < self.settings.report_interval_ms + self.settings.propagation_ms:
            return  # sums from before a restart
        good = e.attempts - e.failed
        h.successes, h.failures = h.successes + good, h.failures + e.failed
        if good > 0 and e.latency_ms > 0:
            # Speed shows only while answers don't wait: a crowd says nothing of it (nor after a restart), a
            # few answers little, a cold server only ill. A strained one is slow if the fleet is calm.
            prior = (
                self.fleet.typical_latency_ms_by_kind.get(h.entry.kind) or self.fleet.typical_latency_ms or e.latency_ms
            )
            h.latency_ms = h.latency_ms or prior
            h.latency_ms += (e.latency_ms - h.latency_ms) * good / (good + 6.0)
            calm = latency_ratio(h, self.min_latency_objective_ms) < OVERLOAD_RATIO / 2
            h.base_latency_ms = h.base_latency_ms or prior
            if h.latency_ms < h.base_latency_ms:
                h.base_latency_ms += (h.latency_ms - h.base_latency_ms) * (0.0 if self.is_warming_up(h) else 0.3)
            elif calm or self.fleet.median_latency_ratio < OVERLOAD_RATIO / 2:
                h.base_latency_ms += (h.latency_ms - h.base_latency_ms) * (0.05 if calm else 0.02)
        self.recent_successes += good
        h.consecutive_failures = 0 if good else h.consecutive_failures + e.failed
        if good:
            h.succeeded_at_ms = h.alive_at_ms = now
        # A run of failures is a crash (a probe fails), a hang (no good answer for windows) or a crowd, which
        # answers some: emptied it would crowd the next. What an emptied one still fails says nothing.
        if h.consecutive_failures >= SUSPECT_FAILURES and h.load:
            hung = now - h.succeeded_at_ms > HANG_REPORT_WINDOWS * self.fleet.report_window_ms
            (self.mark_failing if hung else self.request_health_check)(h)

    def request_health_check(self, h: Host) -> None:
        if self.settings.may_check_health and not h.is_being_checked:
            h.is_being_checked = True
            self.publication.actions.append(api.CheckHealth(h.id))

    def on_health_check_result(self, e: api.HealthCheckResult) -> None:
        h = self.get_or_create(e.host)
        h.is_being_checked = False
        if e.outcome is api.HealthCheckOutcome.OK:
            # A server that is slow by itself answers too much to hang and too little to be of use. In a crowd
            # that all share, probes take long everywhere, and nobody could bear what it has.
            h.health_check_latency_ms = e.latency_ms
            slow = e.latency_ms > SLOW_HEALTH_CHECK_FACTOR * upper_median(
                [x.health_check_latency_ms for x in self.hosts.values() if x.is_listed and x.health_check_latency_ms]
            )
            ill = (
                latency_ratio(h, self.min_latency_objective_ms) > SATURATED_RATIO
                if h.load
                else h.failed_at_ms > -math.inf
            )
            if slow and ill and self.fleet.median_latency_ratio < OVERLOAD_RATIO / 2 and not self.is_warming_up(h):
                self.mark_failing(h)
                return
        if e.outcome is api.HealthCheckOutcome.OK or (
            e.outcome is api.HealthCheckOutcome.TIMEOUT and h.consecutive_failures < SUSPECT_FAILURES and h.is_listed
        ):
            # A time-out may be but a long or lossy way.
            h.alive_at_ms, h.consecutive_failures = self.publication.now_ms, h.consecutive_failures if h.load else 0
        elif e.outcome is not api.HealthCheckOutcome.FULL and (
            h.consecutive_failures >= SUSPECT_FAILURES or not h.is_listed
        ):
            self.mark_failing(h)

    def mark_failing(self, h: Host) -> None:
        if self.publication.now_ms - h.failed_at_ms > FAILURE_MEMORY_MS:
            if not self.publication.acquire_quota("emptied", 0, True):
                return
            self.publication.actions.append(api.LogNote(f"failing {h.id} good={h.successes:.1f} bad={h.failures:.1f}"))
            self.publication.is_decision_due = True
        h.failed_at_ms = self.publication.now_ms

    def is_leaving(self, h: Host) -> bool:
        """Told to be gone or draining: nothing may go there."""
        return h.entry.state != "up" or (not h.is_listed and self.has_fresh_list and not self.is_alive_but_unlisted(h))

    def is_alive_but_unlisted(self, h: Host) -> bool:
        """Gone from the list, but showing life, where only a drain binds: the list is wrong, not the server.
        Covers lists that blink, empty or go back in time; a dying server keeps work for a probe longer."""
        late = max(FAILURE_MEMORY_MS, HANG_REPORT_WINDOWS * self.fleet.report_window_ms)
        alive = h.alive_at_ms > h.failed_at_ms and self.publication.now_ms - h.alive_at_ms < late
        return self.settings.only_drains_bind and not h.is_listed and alive

    def is_warming_up(self, h: Host) -> bool:
        return self.publication.now_ms - h.process_started_at_ms < self.settings.warm_up_ms
