"""The assigner: dispatches the events of a step to its components, and then decides if a decision is due."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

from .. import interface as api
from .admission import AdmissionControl
from .cordons import Cordons
from .demand import SliceDemand
from .evacuation import Evacuation
from .host_health import HostHealth
from .host_list import HostList
from .load_estimate import LoadEstimator
from .load_shedding import LoadShedding
from .migration import Migration
from .placement import Placement
from .publication import (
    DECISION_TIMER,
    HOST_LIST_TIMER,
    LOST_ACKS_TIMER,
    ORDINARY_MESSAGE_SHARE,
    DecisionReason,
    Publication,
)
from .rendezvous import RendezvousTable
from .state import FleetEstimate, Host, Slice
from .warming_hosts import WarmingHosts

MAX_DEPARTED_HOSTS = 64
"""Departed hosts that are kept in memory in addition to one for each listed host.

Beyond that number, departed hosts that no slice refers to are removed.
"""


class Assigner:
    """Decides which host each slice of this controller is assigned to, and when it moves.

    It is deterministic: it reads no clock and does no I/O, so the same settings, seed and events at the same times give
    the same actions. The components are public for snapshots and traces, which must not modify them.

    `proxies_keep_orders` states what a proxy knows when it joins. If it is set, the proxy keeps the cordons that it was
    sent before, also by an earlier run of this controller, and gets no others. Otherwise it is sent the present state.
    """

    deferrable_timer = DECISION_TIMER
    """Timer of ordinary decisions; a controller that is behind schedule may delay it."""

    def __init__(self, settings: api.Settings, seed: int, *, proxies_keep_orders: bool = False) -> None:
        self.settings = settings
        self.proxies_keep_orders = proxies_keep_orders
        self.seed = seed
        self.slices: dict[int, Slice] = {}
        self.rendezvous: RendezvousTable[Host] = RendezvousTable()
        self.fleet = FleetEstimate(settings.report_interval_ms, settings.report_interval_ms)
        self.hosts: dict[int, Host] = {}
        self.publication = Publication(settings, self.hosts)
        self.pending_versions = self.publication.pending_versions
        self.cordon_delivery = self.publication.cordon_delivery
        self.admission = AdmissionControl(settings, self.publication, self.fleet)
        self.host_list = HostList(settings, seed, self.hosts, self.publication)
        self.host_health = HostHealth(self.host_list, self.fleet)
        self.demand = SliceDemand(self.slices)
        self.load_estimator = LoadEstimator(self.host_health, self.demand, self.rendezvous, self.fleet)
        self.placement = Placement(self.host_health, self.rendezvous, self.fleet)
        self.cordons = Cordons(self.host_health, self.slices)
        self.warming_hosts = WarmingHosts(self.host_health, self.slices, self.placement, self.fleet)
        self.evacuation = Evacuation(self.host_health, self.slices, self.placement, self.warming_hosts, self.fleet)
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
            api.AcksLost: self.on_acks_lost,
            api.ProxyLeft: self.pending_versions.on_proxy_left,
            api.ProxyJoined: self.on_proxy_joined,
        }
        self.is_ordinary_decision_due = False  # reset at the start of each step

    def step(self, now_ms: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Process the events since the last step and return the actions to perform, in order.

        `now_ms` must never decrease. The table actions of one step are sent to proxies as one message.
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

    # Events that no other component handles.

    def on_timer_fired(self, event: api.TimerFired) -> None:
        """Schedule an ordinary decision or poll the host list; ignore timers that the assigner did not start."""
        if event.timer == DECISION_TIMER:
            self._schedule_ordinary_decision()
        elif event.timer == HOST_LIST_TIMER:
            self.publication.actions.append(api.WatchHostList(True))
        elif event.timer == LOST_ACKS_TIMER:
            self.pending_versions.release_sent_messages(self.publication.now_ms)

    def on_slice_ownership_change(self, event: api.SliceOwnershipChange) -> None:
        """Start or stop managing a slice. A slice that is already owned starts again from an empty state."""
        self.slices.pop(event.slice, None)
        self.load_estimator.ownership_changed_at_ms = self.publication.now_ms
        if event.is_owned:
            self.slices[event.slice] = Slice(event.slice)
            self.publication.require_decision(DecisionReason.GRANTED_SLICE)
            self.admission.is_due = True

    def on_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Track the acknowledgements of a proxy, and the cordon orders that it may lack."""
        self.pending_versions.on_proxy_joined(event)
        if self.proxies_keep_orders:
            self.cordon_delivery.on_proxy_joined(event)

    def on_acks_lost(self, event: api.AcksLost) -> None:
        """Wait until the messages have left the channel, and publish cordon orders again that may be lacking."""
        settings = self.settings
        queue_ms = settings.max_queued_lines * 1000.0 / settings.channel_lines_per_second
        delay_ms = max(0.0, queue_ms + settings.max_propagation_ms - event.age_ms)
        self.pending_versions.on_acks_lost(event.version, self.publication.now_ms + delay_ms)
        self.publication.actions.append(api.StartTimer(delay_ms, LOST_ACKS_TIMER))
        if self.proxies_keep_orders:
            self.cordon_delivery.on_acks_lost()

    def on_stored_weight(self, event: api.StoredWeight) -> None:
        """Record a table entry that was read from the store."""
        if event.slice in self.slices:
            self.slices[event.slice].weights[self.host_list.get_or_create(event.host)] = event.weight

    # Decisions.

    def _decide(self) -> None:
        """Make the decisions that are due if a message may be sent: evacuations always, others only by timer."""
        publication = self.publication
        publication.lines_published = 0
        if not publication.may_publish(is_urgent=True):
            return
        self._adopt_stored_owners()
        self.load_estimator.update()
        reasons = publication.take_due_reasons()
        self.cordon_delivery.update()
        self.cordons.update()
        self.cordons.lift_earlier_cordons()
        self.evacuation.evacuate_unavailable_hosts()
        if self.is_ordinary_decision_due or publication.lines_published:
            self.cordons.republish_own_orders()
        if self.is_ordinary_decision_due:
            self.forget_departed_hosts()
            if publication.may_publish(is_urgent=False):
                self._decide_ordinary()
        if self.slices:
            self.admission.publish()
        publication.close_message(reasons)

    def _decide_ordinary(self) -> None:
        self.migration.release_previous_owners()
        self.load_shedding.share_hot_slices()
        self.load_shedding.shed_overloaded_hosts()
        self.migration.move_to_better_hosts()
        self.admission.adjust()

    def _adopt_stored_owners(self) -> None:
        """Make the host with the highest stored weight the owner of a newly acquired slice, the others its replicas.

        A previous owner may be among those replicas; ordinary decisions drop it like any replica that is not needed.
        """
        for slice_ in self.slices.values():
            if slice_.owner is None and slice_.weights:
                owner = max(slice_.weights, key=lambda host: (slice_.weights[host], self.placement.score(slice_, host)))
                slice_.owner = owner
                slice_.replicas = [host for host in slice_.weights if host is not owner]

    def forget_departed_hosts(self) -> None:
        """Remove permanently departed hosts from memory, which would otherwise grow with each new host id."""
        listed_count = sum(host.is_listed for host in self.hosts.values())
        if not self.host_list.has_fresh_list or len(self.hosts) <= 2 * listed_count + MAX_DEPARTED_HOSTS:
            return
        referenced = self._hosts_referenced_by_slices()
        departed = [host for host in self.hosts.values() if host not in referenced and self._has_departed(host)]
        self.rendezvous.forget(departed)
        self.cordon_delivery.forget(departed)
        for host in departed:
            del self.hosts[host.id]
        for slice_ in self.slices.values():
            slice_.hosts_considered = 0  # rankings may need recomputing, a limited number of scores at a time

    def _hosts_referenced_by_slices(self) -> set[Host | None]:
        return {
            host
            for slice_ in self.slices.values()
            for host in (*slice_.weights, *slice_.replicas, slice_.owner, slice_.previous_owner, slice_.candidate)
        }

    def _has_departed(self, host: Host) -> bool:
        """Return whether a host is not listed and no result or recovery is expected from it."""
        is_expected_back = host.is_being_checked or host.is_cordoned or self.host_health.is_alive_but_unlisted(host)
        return not host.is_listed and not is_expected_back


def decision_interval_ms(settings: api.Settings) -> float:
    """Return the time between ordinary decisions, in ms: half a report interval, or longer if messages are limited."""
    interval_ms = max(settings.report_interval_ms / 2, settings.decision_interval_ms)
    if settings.max_messages:
        message_interval_ms = settings.message_window_ms / (settings.max_messages * ORDINARY_MESSAGE_SHARE)
        interval_ms = max(interval_ms, message_interval_ms)
    return interval_ms
