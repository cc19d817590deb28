"""Fair load for each server, from the slices' demand and the servers' speeds: what a turn begins with."""

import math
import zlib

from .. import interface as api
from .host_health import FAILURE_MEMORY_MS, OVERLOAD_RATIO, HostHealth, latency_ratio
from .placement import MAX_UTILIZATION
from .rendezvous import RendezvousTable
from .state import FleetEstimate, Host, Slice, upper_median

RAMP_SHARE_OF_WARM_UP = (
    0.75  # of the stated cold time: how long a new server takes to get its full share (12 to 13.5 s)
)
FEEDBACK_REPORT_WINDOWS = 1.5  # windows of sums before a server that shed is judged again
COLD_CACHE_FACTOR = 0.25  # times the fall multiple: part of its share that a cold server takes where keys are cached
RETRY_SHARE_OF_UNANSWERED = 0.5  # part of the unanswered invocations of a slice that are taken for clients' repeats
OUTLIER_FACTOR = 2.0  # strain over so many times the fleet's median is a server's own: trouble that all share is not
PEAK_HALF_LIFE_REPORTS = 4.0  # report periods over which the fleet's answers are counted


class LoadEstimator:
    """Reads what is known of servers. Writes the figures, and what a turn asks of servers again and again."""

    def __init__(
        self, known: HostHealth, slices: dict[int, Slice], ranks: RendezvousTable[Host], figures: FleetEstimate
    ) -> None:
        self.settings, self.host_health, self.slices, self.rendezvous, self.fleet = (
            known.settings,
            known,
            slices,
            ranks,
            figures,
        )
        self.recent_requests = self.decayed_at_ms = self.ownership_changed_at_ms = (
            0.0  # the last: when the slices in charge changed
        )
        self.peak_load_per_capacity = math.inf  # the most that the fleet was seen to answer, by capacity

    def on_slice_usage_report(self, e: api.SliceUsageReport) -> None:
        self.recent_requests += e.requests
        if (s := self.slices.get(e.slice)) and e.span_ms > 0:
            # Half of what went unanswered is repeats. What doubles counts at once, or a cold owner falls over
            # while the smoothed figure climbs; among few it is chance.
            rate = (e.requests - min(e.unanswered, e.requests) * RETRY_SHARE_OF_UNANSWERED) * 1000.0 / e.span_ms
            old = s.rate_by_class.get(e.request_class, rate)
            keep = 0.0 if rate > 2.0 * old and e.requests > 10 else 0.5 ** (e.span_ms / 2000.0)
            s.rate_by_class[e.request_class] = rate + (old - rate) * keep
            s.requests_per_second = sum(s.rate_by_class.values())

    def capacity(self, h: Host) -> float:
        age = min(
            1.0,
            (self.host_health.publication.now_ms - h.process_started_at_ms)
            / (RAMP_SHARE_OF_WARM_UP * self.settings.warm_up_ms or 1.0),
        )
        warm = (
            self.settings.warm_up_initial_share + (1.0 - self.settings.warm_up_initial_share) * age
        )  # what part of its share it may take
        chill = (
            COLD_CACHE_FACTOR * self.settings.overload_factor
            if self.settings.caches_keys and self.host_health.is_warming_up(h)
            else 1.0
        )
        kind = (
            self.fleet.typical_latency_ms_by_kind.get(h.entry.kind) or self.fleet.typical_latency_ms or 1.0
        )  # speed: half way to that
        return h.entry.weight * warm * chill / math.sqrt(kind * (h.base_latency_ms or kind))

    def update(self) -> None:
        """The survey at the head of a turn."""
        floors, hosts = dict[int, list[float]](), self.host_health.hosts.values()
        for h in hosts:
            if h.base_latency_ms and h.is_listed:
                floors.setdefault(h.entry.kind, []).append(h.base_latency_ms)
        self.fleet.typical_latency_ms = upper_median([f for kind in floors.values() for f in kind])
        self.fleet.typical_latency_ms_by_kind = {kind: upper_median(of) for kind, of in floors.items()}
        total = self.update_loads()
        here = [
            h for h in hosts if (h.is_listed or self.host_health.is_alive_but_unlisted(h)) and h.entry.state == "up"
        ]
        self.update_fair_loads(self.choose_eligible_hosts(here), total)
        self.rendezvous.add(here)

    def update_loads(self) -> float:
        """Each server's load and strain; the sum of loads. An unknown slice counts as the mean."""
        known, now = (
            [s.requests_per_second for s in self.slices.values() if s.rate_by_class],
            self.host_health.publication.now_ms,
        )
        usual, total = sum(known) / len(known) if known else 1.0, 0.0
        # Counts fade with time, whichever zones they came from; an emptied server's strain too.
        # Of several stewards each hears of a server a few times in a window: so long it counts.
        span = max(
            self.settings.report_interval_ms,
            self.fleet.report_window_ms / 4 if self.settings.controller_count > 1 else 0.0,
        )
        recent = 0.5 ** ((now - self.decayed_at_ms) / span)
        keep = 0.5 ** ((now - self.decayed_at_ms) / (PEAK_HALF_LIFE_REPORTS * self.settings.report_interval_ms))
        self.host_health.recent_successes, self.recent_requests, self.decayed_at_ms = (
            self.host_health.recent_successes * keep,
            self.recent_requests * keep,
            now,
        )
        for h in self.host_health.hosts.values():
            h.load, h.successes, h.failures = 0.0, h.successes * recent, h.failures * recent
            h.is_eligible, h.is_healthy, h.is_warming_up, h.capacity = (
                False,
                False,
                self.host_health.is_warming_up(h),
                self.capacity(h),
            )
            h.latency_ratio = latency_ratio(h, self.host_health.min_latency_objective_ms)
            if now - h.taking_since_ms > (
                self.fleet.feedback_delay_ms if h.is_warming_up else self.fleet.report_window_ms
            ):
                h.slices_taken, h.taking_since_ms = 0, now
        for s in self.slices.values():
            s.requests_per_second = s.requests_per_second if s.rate_by_class else usual
            total += s.requests_per_second
            for h in ([s.owner] if s.owner else []) + s.replicas:
                h.load += s.load_per_host
        return total

    def choose_eligible_hosts(self, here: list[Host]) -> list[Host]:
        """Who may own: `Figures.pool`. Answers with those too who were heard failing."""
        now, f = self.host_health.publication.now_ms, self.fleet
        # A newcomer, or one that failed, shows life before it counts: a list may name what does not exist.
        for h in here:
            if h.alive_at_ms <= h.failed_at_ms or (not h.is_listed and now - h.alive_at_ms > f.report_window_ms):
                self.host_health.request_health_check(h)
        listed = [
            h for h in here if h.load or h.alive_at_ms > h.failed_at_ms or not self.settings.may_check_health
        ] or here
        # How often a sum comes anew: the period, or longer where the lines of one don't fit the intake.
        lines = len(listed) * self.settings.zone_count + len(self.slices) * len(self.settings.request_classes)
        f.report_window_ms = max(self.settings.report_interval_ms, lines * 1000.0 / self.settings.reports_per_second)
        f.feedback_delay_ms = FEEDBACK_REPORT_WINDOWS * f.report_window_ms + 2 * self.settings.propagation_ms
        f.eligible_hosts = [h for h in listed if now - h.failed_at_ms > FAILURE_MEMORY_MS]
        if len(f.eligible_hosts) * 2 < len(here):  # most failing at once: the path or the work, not the servers
            f.eligible_hosts = listed
        f.median_latency_ratio = upper_median([h.latency_ratio for h in listed])
        f.overload_ratio = max(OVERLOAD_RATIO, OUTLIER_FACTOR * f.median_latency_ratio)
        return listed

    def update_fair_loads(self, listed: list[Host], total: float) -> None:
        """What part of the load is each server's, and who has room."""
        f, space = self.fleet, sum(h.capacity for h in listed)
        # A cold server's part is of the most that the fleet was seen to answer: what is asked pushes it over.
        unit = math.log(2.0) * 1000.0 / (PEAK_HALF_LIFE_REPORTS * self.settings.report_interval_ms)
        # The peak is of all the work: what a steward is given or loses of it changes its part at once.
        part = len(self.slices) / (self.settings.slice_count or 1)
        told = self.host_health.publication.now_ms - self.ownership_changed_at_ms > max(
            2 * PEAK_HALF_LIFE_REPORTS * self.settings.report_interval_ms, f.report_window_ms
        )
        if space and part and told:  # else too little is known
            self.peak_load_per_capacity = max(
                self.peak_load_per_capacity if self.peak_load_per_capacity < math.inf else 0.0,
                self.host_health.recent_successes * unit / space / part,
            )
        peak = self.peak_load_per_capacity * part if part else math.inf
        f.answerable_share = peak * space / max(self.recent_requests * unit, 0.001)
        f.load_per_capacity = total / space if space else 0.0
        f.site_load_per_capacity = f.load_per_capacity / (part or 1.0)
        for h in self.host_health.hosts.values():
            h.fair_load = h.capacity * (min(f.load_per_capacity, peak) if h.is_warming_up else f.load_per_capacity)
        usual = total / (len(self.slices) or 1)
        for h in f.eligible_hosts:
            h.is_eligible, h.is_healthy = (
                True,
                h.latency_ratio <= (OVERLOAD_RATIO if h.is_warming_up else f.overload_ratio),
            )
            if h.is_warming_up and self.settings.controller_count > 1 and usual:
                # At each of many stewards its part is less than a slice, and all would leave it idle. They
                # round to whole slices, another first at each server, so that all together round but once.
                place = (zlib.crc32(b"%d" % h.id) + self.settings.controller_index) % self.settings.controller_count
                whole = math.floor(h.fair_load / usual + (place + 0.5) / self.settings.controller_count)
                h.fair_load, h.is_healthy = whole * usual or h.fair_load, h.is_healthy and whole > 0
        room = [
            (MAX_UTILIZATION * h.fair_load - h.load if h.fair_load else math.inf, h)
            for h in f.eligible_hosts
            if h.is_healthy
        ]
        f.spare_loads, f.hosts_with_changed_load = sorted(room, key=lambda row: row[0]), {}
        f.max_score_factor = 1.2 * max((h.entry.weight for h in f.eligible_hosts), default=0.0)  # over ROOM * 1.05
