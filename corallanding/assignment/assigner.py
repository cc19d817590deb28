"""One step: what happened goes to the part that keeps it; a turn of decisions follows if due."""

import math
from collections.abc import Callable, Sequence

from .. import interface as api
from .host_health import HostHealth
from .load_estimate import LoadEstimator
from .migration import Migration
from .placement import MAX_UTILIZATION, Placement
from .publication import ORDINARY_MESSAGE_SHARE, Publication
from .rendezvous import RendezvousTable
from .state import FleetEstimate, Host, Slice

OVERLOADED_FLEET_RATIO = 0.6  # median strain of the fleet above which less is let in, where the site admits by share
MIN_ADMISSION = 0.1  # the least share that is let in
MAX_DEPARTED_HOSTS = (
    64  # servers that left may be remembered, and as many as there are: then those that nothing names go
)


class Assigner:
    """settings, seed: of this steward. The parts are shown to those who keep or trace them."""

    deferrable_timer = 0  # the timer of ordinary turns: a steward that is late may let it fall due later

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.seed, self.slices, self.rendezvous = (
            settings,
            seed,
            dict[int, Slice](),
            RendezvousTable[Host](),
        )
        self.fleet, self.publication = (
            FleetEstimate(settings.report_interval_ms, settings.report_interval_ms),
            Publication(settings),
        )
        self.host_health = HostHealth(settings, seed, self.publication, self.fleet)
        self.hosts, self.pending_versions = self.host_health.hosts, self.publication.pending_versions
        self.load_estimator = LoadEstimator(self.host_health, self.slices, self.rendezvous, self.fleet)
        self.placement = Placement(self.host_health, self.rendezvous, self.fleet)
        self.migration = Migration(self.host_health, self.slices, self.placement, self.fleet)
        self.admission_level, self.admission_changed_at_ms, self.is_admission_due, self.started_at_ms = (
            1.0,
            0.0,
            True,
            math.inf,
        )
        self.turn_interval_ms = max(settings.report_interval_ms / 2, settings.decision_interval_ms)
        if settings.max_messages:
            self.turn_interval_ms = max(
                self.turn_interval_ms, settings.message_window_ms / (settings.max_messages * ORDINARY_MESSAGE_SHARE)
            )
        known, pending = self.host_health, self.pending_versions
        self.handlers: dict[type, Callable[..., None]] = {
            api.HostUsageReport: known.on_host_usage_report,
            api.SliceUsageReport: self.load_estimator.on_slice_usage_report,
            api.HealthCheckResult: known.on_health_check_result,
            api.HostListUpdate: known.on_host_list_update,
            api.SliceOwnershipChange: self.on_slice_ownership_change,
            api.StoredWeight: self.on_stored_weight,
            api.VersionAcked: pending.on_version_acked,
            api.ProxyLeft: pending.on_proxy_left,
            api.ProxyJoined: pending.on_proxy_joined,
        }

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """now: ms, never less than before. What happened since the last step in, what is to be done out."""
        self.publication.now_ms, self.publication.actions, turn = now, [], self.started_at_ms == math.inf
        if turn:
            self.started_at_ms = now
            self.publication.actions.append(api.StartTimer(self.turn_interval_ms, 0))
            if self.settings.polls_host_list:
                self.publication.actions.append(api.WatchHostList(True))
        for e in events:
            if hears := self.handlers.get(type(e)):
                hears(e)
            elif e == api.TimerFired(0):
                turn = True
                self.publication.actions.append(api.StartTimer(self.turn_interval_ms, 0))
            elif e == api.TimerFired(1):
                self.publication.actions.append(api.WatchHostList(True))
        if turn or self.publication.is_decision_due:
            self.decide(turn)
        return self.publication.actions

    def on_slice_ownership_change(self, e: api.SliceOwnershipChange) -> None:
        self.slices.pop(e.slice, None)
        self.load_estimator.ownership_changed_at_ms = self.publication.now_ms
        if e.is_owned:
            self.slices[e.slice] = Slice(e.slice)
            self.publication.is_decision_due = self.is_admission_due = True

    def on_stored_weight(self, e: api.StoredWeight) -> None:
        if e.slice in self.slices:
            self.slices[e.slice].weights[self.host_health.get_or_create(e.host)] = e.weight

    def decide(self, turn: bool) -> None:
        self.publication.lines_published = 0
        if not self.publication.may_publish(True):
            return
        for s in self.slices.values():
            if s.owner is None and s.weights:  # given anew
                s.owner = max(s.weights, key=lambda h: (s.weights[h], self.placement.score(s, h)))
                s.replicas = [h for h in s.weights if h is not s.owner]  # or an old owner: dropped if not needed
        self.load_estimator.update()
        self.publication.is_decision_due = False
        self.migration.evacuate_unavailable_hosts()
        if turn:
            self.forget_departed_hosts()
        if turn and self.publication.may_publish(False):
            self.migration.release_previous_owners()
            self.migration.share_hot_slices()
            self.migration.shed_overloaded_hosts()
            self.migration.move_to_better_hosts()
            self.adjust_admission()
        if self.is_admission_due and self.slices and self.pending_versions.unacked_by_proxy:
            self.is_admission_due = False
            # Again only on proof that the first try never ran: safe for every operation, and feeds no jam.
            self.publication.actions.append(
                api.SetAdmission(api.ALL_TABLES, 0, self.admission_level, api.RetryMode.PROVEN_UNRUN)
            )
            self.publication.lines_published += 1
        if self.publication.lines_published:
            cost = self.settings.message_overhead_lines + self.publication.lines_published + 2
            self.publication.actions.append(self.pending_versions.publish(self.publication.now_ms, cost))

    def forget_departed_hosts(self) -> None:
        """Servers that left for good go from memory: new ids may come for as long as this runs."""
        listed = sum(h.is_listed for h in self.hosts.values())
        if not self.host_health.has_fresh_list or len(self.hosts) <= 2 * listed + MAX_DEPARTED_HOSTS:
            return
        named = {
            h for s in self.slices.values() for h in (*s.weights, *s.replicas, s.owner, s.previous_owner, s.candidate)
        }
        busy = {
            h
            for h in self.hosts.values()
            if h.is_being_checked or h.is_cordoned or self.host_health.is_alive_but_unlisted(h)
        }
        gone = [h for h in self.hosts.values() if not h.is_listed and h not in named and h not in busy]
        self.rendezvous.forget(gone)
        for h in gone:
            del self.hosts[h.id]
        for s in self.slices.values():
            s.hosts_considered = 0  # lists may be made anew, a turn's marks at a time

    def adjust_admission(self) -> None:
        """Let in less while the whole fleet is strained: what waits too long is worth nothing."""
        wait, now, f = (
            self.settings.report_interval_ms + 2 * self.settings.propagation_ms,
            self.publication.now_ms,
            self.fleet,
        )
        if self.settings.admission != "fraction" or now - self.admission_changed_at_ms < wait:
            return
        level = self.admission_level
        if f.median_latency_ratio > OVERLOADED_FLEET_RATIO or (
            f.answerable_share < 0.8 and f.median_latency_ratio > OVERLOADED_FLEET_RATIO / 2
        ):
            level = max(MIN_ADMISSION, min(level * 0.95, f.answerable_share))
        elif f.median_latency_ratio < OVERLOADED_FLEET_RATIO * 0.75:
            level = min(1.0, level * 1.1, max(level, f.answerable_share * MAX_UTILIZATION))
        if level != self.admission_level:
            self.admission_level, self.admission_changed_at_ms, self.is_admission_due = level, now, True
            self.publication.actions.append(api.LogNote(f"level {level:.2f}"))
