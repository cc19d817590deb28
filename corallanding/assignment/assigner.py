"""One step of the assigner: events go to the part that keeps them; a decision follows if one is due."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

from .. import interface as api
from .admission import AdmissionControl
from .demand import SliceDemand
from .evacuation import Evacuation
from .host_health import HostHealth
from .host_list import HostList
from .load_estimate import LoadEstimator
from .load_shedding import LoadShedding
from .migration import Migration
from .placement import Placement
from .publication import DECISION_TIMER, HOST_LIST_TIMER, ORDINARY_MESSAGE_SHARE, Publication
from .rendezvous import RendezvousTable
from .state import FleetEstimate, Host, Slice

MAX_DEPARTED_HOSTS = 64
"""Hosts that left may be remembered, beside as many as are listed; then those that nothing names are forgotten."""


class Assigner:
    """Decides which host takes each slice of this controller, and when: a pure function of settings, seed and events.

    It reads no clock and does no I/O: the same events at the same times give the same actions. The parts are public for
    snapshots and traces, which must not change them.
    """

    deferrable_timer = DECISION_TIMER
    """The timer of ordinary decisions, which a controller that is late may let fire later."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.seed = seed
        self.slices: dict[int, Slice] = {}
        self.rendezvous: RendezvousTable[Host] = RendezvousTable()
        self.fleet = FleetEstimate(settings.report_interval_ms, settings.report_interval_ms)
        self.publication = Publication(settings)
        self.pending_versions = self.publication.pending_versions
        self.admission = AdmissionControl(settings, self.publication, self.fleet)
        self.host_list = HostList(settings, seed, self.publication)
        self.hosts = self.host_list.hosts
        self.host_health = HostHealth(self.host_list, self.fleet)
        self.demand = SliceDemand(self.slices)
        self.load_estimator = LoadEstimator(self.host_health, self.demand, self.rendezvous, self.fleet)
        self.placement = Placement(self.host_health, self.rendezvous, self.fleet)
        self.evacuation = Evacuation(self.host_health, self.slices, self.placement, self.fleet)
        self.load_shedding = LoadShedding(self.host_health, self.slices, self.placement, self.fleet)
        self.migration = Migration(self.host_health, self.slices, self.placement, self.fleet)
        self.started_at_ms = math.inf
        self.decision_interval_ms = decision_interval_ms(settings)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.HostUsageReport: self.host_health.on_host_usage_report,
            api.SliceUsageReport: self.demand.on_slice_usage_report,
            api.HealthCheckResult: self.host_health.on_health_check_result,
            api.HostListUpdate: self.host_list.on_host_list_update,
            api.SliceOwnershipChange: self.on_slice_ownership_change,
            api.StoredWeight: self.on_stored_weight,
            api.TimerFired: self.on_timer_fired,
            api.VersionAcked: self.pending_versions.on_version_acked,
            api.ProxyLeft: self.pending_versions.on_proxy_left,
            api.ProxyJoined: self.pending_versions.on_proxy_joined,
        }
        self.is_ordinary_decision_due = False  # within a step

    def step(self, now_ms: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Take in what happened since the last step; returns what is to be done.

        `now_ms` never decreases. Proxies are told the table actions of one step as one message.
        """
        self.publication.begin_step(now_ms)
        self.is_ordinary_decision_due = False
        if self.started_at_ms == math.inf:
            self._start(now_ms)
        for event in events:
            handler = self.handlers.get(type(event))
            if handler:
                handler(event)
        if self.is_ordinary_decision_due or self.publication.is_decision_due:
            self._decide()
        return self.publication.actions

    def _start(self, now_ms: float) -> None:
        self.started_at_ms = now_ms
        self._schedule_ordinary_decision()
        if self.settings.polls_host_list:
            self.publication.actions.append(api.WatchHostList(True))

    def _schedule_ordinary_decision(self) -> None:
        self.is_ordinary_decision_due = True
        self.publication.actions.append(api.StartTimer(self.decision_interval_ms, DECISION_TIMER))

    # Events that concern no other part.

    def on_timer_fired(self, event: api.TimerFired) -> None:
        """Decide, or poll the host list; other timers are not the assigner's."""
        if event.timer == DECISION_TIMER:
            self._schedule_ordinary_decision()
        elif event.timer == HOST_LIST_TIMER:
            self.publication.actions.append(api.WatchHostList(True))

    def on_slice_ownership_change(self, event: api.SliceOwnershipChange) -> None:
        """Begin to decide on a slice, also anew, or cease to."""
        self.slices.pop(event.slice, None)
        self.load_estimator.ownership_changed_at_ms = self.publication.now_ms
        if event.is_owned:
            self.slices[event.slice] = Slice(event.slice)
            self.publication.is_decision_due = True
            self.admission.is_due = True

    def on_stored_weight(self, event: api.StoredWeight) -> None:
        """Take in a table entry that the store holds."""
        if event.slice in self.slices:
            self.slices[event.slice].weights[self.host_list.get_or_create(event.host)] = event.weight

    # Decisions.

    def _decide(self) -> None:
        """Make the decisions that are due, if a message may go out: evacuations always, others by the timer."""
        publication = self.publication
        publication.lines_published = 0
        if not publication.may_publish(is_urgent=True):
            return
        self._adopt_stored_owners()
        self.load_estimator.update()
        publication.is_decision_due = False
        self.evacuation.evacuate_unavailable_hosts()
        if self.is_ordinary_decision_due:
            self.forget_departed_hosts()
            if publication.may_publish(is_urgent=False):
                self._decide_ordinary()
        if self.slices:
            self.admission.publish()
        publication.close_message()

    def _decide_ordinary(self) -> None:
        self.migration.release_previous_owners()
        self.load_shedding.share_hot_slices()
        self.load_shedding.shed_overloaded_hosts()
        self.migration.move_to_better_hosts()
        self.admission.adjust()

    def _adopt_stored_owners(self) -> None:
        """Of a slice that was just given, the host of the highest stored weight owns it; the others are replicas.

        A replica that was a previous owner is dropped by and by, as any that is not needed.
        """
        for slice_ in self.slices.values():
            if slice_.owner is None and slice_.weights:
                owner = max(slice_.weights, key=lambda host: (slice_.weights[host], self.placement.score(slice_, host)))
                slice_.owner = owner
                slice_.replicas = [host for host in slice_.weights if host is not owner]

    def forget_departed_hosts(self) -> None:
        """Remove hosts that left for good from memory: new ids may come for as long as this controller runs."""
        listed_count = sum(host.is_listed for host in self.hosts.values())
        if not self.host_list.has_fresh_list or len(self.hosts) <= 2 * listed_count + MAX_DEPARTED_HOSTS:
            return
        named = self._hosts_named_by_slices()
        departed = [host for host in self.hosts.values() if host not in named and self._has_departed(host)]
        self.rendezvous.forget(departed)
        for host in departed:
            del self.hosts[host.id]
        for slice_ in self.slices.values():
            slice_.hosts_considered = 0  # rankings may be made anew, a limited number of scores at a time

    def _hosts_named_by_slices(self) -> set[Host | None]:
        return {
            host
            for slice_ in self.slices.values()
            for host in (*slice_.weights, *slice_.replicas, slice_.owner, slice_.previous_owner, slice_.candidate)
        }

    def _has_departed(self, host: Host) -> bool:
        """Whether a host is not listed, and nothing is awaited of it."""
        is_awaited = host.is_being_checked or host.is_cordoned or self.host_health.is_alive_but_unlisted(host)
        return not host.is_listed and not is_awaited


def decision_interval_ms(settings: api.Settings) -> float:
    """Time between ordinary decisions: half a report interval, or longer where the site limits messages."""
    interval_ms = max(settings.report_interval_ms / 2, settings.decision_interval_ms)
    if settings.max_messages:
        message_interval_ms = settings.message_window_ms / (settings.max_messages * ORDINARY_MESSAGE_SHARE)
        interval_ms = max(interval_ms, message_interval_ms)
    return interval_ms
