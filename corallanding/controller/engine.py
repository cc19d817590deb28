"""Core of a controller: passes events to the assigner, returns writes and outputs. Has no I/O and no clock.

A step has two halves, so that the store is written before anything is sent: `decide` returns what to write, and
`publish` returns the outputs: messages to proxies and peers, health checks, host list requests and log notes. If the
write fails, the outputs are sent all the same (see `publish`). The assigner makes all decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from .. import interface as api
from ..store.api import StoreContents
from .event_inbox import Decider
from .event_intake import EventIntake
from .overload import OverloadDetector, OverloadLimits
from .publisher import Publisher, TableChanges
from .step_outputs import MAX_PEER_PAYLOAD_BYTES, CheckHost, Output, SendFrame, StoreWrites

# Times per report interval that usage is passed to the assigner and delayed timers are checked.
USAGE_INTERVALS_PER_REPORT = 8
# Message numbers skipped above the stored one: another process may have sent more messages than it recorded there.
MESSAGE_NUMBER_GAP = 1_000


class Engine(EventIntake):
    """Runs the assigner step by step.

    `addresses` maps a host to "ip:port"; the host list updates it in place. `decider` creates the assigner from the
    settings and the seed. `deferrable_timer` is the number of the assigner's timer that overload may delay, if any.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        stored: StoreContents,
        owned_slices: Iterable[int],
        addresses: dict[int, str],
        decider: Callable[[api.Settings, int], Decider],
        overload: OverloadLimits | None = None,
    ) -> None:
        super().__init__(decider(settings, seed), settings, stored, owned_slices, Publisher(settings, addresses))
        self.deferrable_timer: int | None = getattr(self.assigner, "deferrable_timer", None)
        self.overload = OverloadDetector(overload or OverloadLimits())
        self.usage_due_at = 0.0
        self.is_store_backing_off = False  # set by the decision loop while it waits to retry a failed write
        self.discarded_actions = 0  # actions for slices that this controller does not own
        self.outputs: list[Output] = []  # outputs of the step that is not published yet
        self._changes = TableChanges()  # changes of the step that is being decided
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.SetWeight: self._on_set_weight,
            api.ResetTable: self._on_reset_table,
            api.SetAdmission: self._on_set_admission,
            api.Cordon: self._on_cordon,
            api.AssignTable: self._on_assign_table,
            api.PublishVersion: self._on_publish_version,
            api.StartTimer: self._on_start_timer,
            api.CheckHealth: self._on_check_health,
            api.SendToPeer: self._on_send_to_peer,
            api.WatchHostList: self._forward_action,
            api.FetchHostList: self._forward_action,
            api.LogNote: self._forward_action,
        }

    def _forward_action(self, output: Output) -> None:
        """Add an action to the outputs unchanged."""
        self.outputs.append(output)

    def next_at(self, now_ms: float) -> float | None:
        """Return the time at which the next step is due, ms; None if no step is due until an event arrives."""
        due_times_ms = [self.timers[0][0]] if self.timers else []
        if self.pending_events or self.outputs or self._should_save():
            due_times_ms.append(now_ms)
        if self.usage.tallies:
            due_times_ms.append(self.usage_due_at)
        return min(due_times_ms, default=None)

    def _should_save(self) -> bool:
        """Return whether there is something to store and the store is not in backoff."""
        return bool(self.unsaved_tables or self.unsaved_resets) and not self.is_store_backing_off

    def decide(self, now_ms: float) -> StoreWrites:
        """Run the assigner on all pending events and the timers due at `now_ms`; return what to store first."""
        now_ms = max(now_ms, self.now_ms)  # the assigner's time never decreases, even if the clock does
        self.now_ms = now_ms
        self.fire_due_timers(now_ms)
        if now_ms >= self.usage_due_at:
            for report in self.usage.take_due(now_ms):
                self.add_event(now_ms, report)
            self.usage_due_at = now_ms + self._usage_interval_ms()
        events = self.take_events()
        for event in events:
            if isinstance(event, api.HostListUpdate):
                self.publisher.on_host_list(event)
        self._apply_actions(self.run_step(now_ms, events))
        return self._store_writes()

    def _usage_interval_ms(self) -> float:
        return self.settings.report_interval_ms / USAGE_INTERVALS_PER_REPORT

    def timer_delay(self, now_ms: float, timer: int) -> float | None:
        """Return how long to delay a due timer because of overload, ms; None if it fires now."""
        is_delayed = timer == self.deferrable_timer and self.overload.should_delay(now_ms, timer)
        return self._usage_interval_ms() if is_delayed else None

    def _apply_actions(self, actions: list[api.Action]) -> None:
        """Turn the actions of a step into outputs, and record what must be stored."""
        self._send_ownership_changes()
        self._changes = TableChanges()
        handlers = self._handlers
        for action in actions:
            handlers[type(action)](action)
        changes = self._changes
        self.outputs += self.publisher.step_messages(changes, tuple(self.proxy_zones))
        if changes.weights or changes.resets or changes.cordons or changes.admissions:
            self.publisher.drop_cached_frame()  # it holds all tables, for proxies that join
        for table in changes.resets:
            self.unsaved_resets.add(table)
            self.unsaved_tables[table] = {}
        for (table, host), weight in changes.weights.items():
            self.unsaved_tables.setdefault(table, {})[host] = weight

    def _send_ownership_changes(self) -> None:
        """Send proxies one message with all lost slices and one with all gained ones, which may be hundreds."""
        proxies = tuple(self.proxy_zones)
        if self.lost_slices and proxies:
            self.outputs.append(self.publisher.lost_slices_message(sorted(self.lost_slices), proxies))
        if self.gained_slices and proxies:
            self.outputs.append(self.publisher.gained_slices_message(sorted(self.gained_slices), proxies))
        self.gained_slices = set()
        self.lost_slices = set()

    def _store_writes(self) -> StoreWrites:
        entries = tuple(
            (table, host, weight) for table, weights in self.unsaved_tables.items() for host, weight in weights.items()
        )
        return StoreWrites(self.publisher.message_number, entries, tuple(self.unsaved_resets))

    def _check_ownership(self, table: int) -> bool:
        """Return whether this controller owns a table; count the action as discarded if another controller does."""
        if self.settings.slice_count and table not in self.owned_slices:
            self.discarded_actions += 1
            return False
        return True

    def _on_set_weight(self, action: api.SetWeight) -> None:
        table = action.slice
        if not self._check_ownership(table):
            return
        host = action.host
        weight = action.weight
        self._changes.weights[table, host] = weight
        weights = self.publisher.published.tables.setdefault(table, {})
        if weight <= 0:
            weights.pop(host, None)
            return
        if self.settings.has_sole_owner:  # a table has exactly one host
            weights.clear()
        weights[host] = weight

    def _on_reset_table(self, action: api.ResetTable) -> None:
        if not self._check_ownership(action.slice):
            return
        changes = self._changes
        changes.resets.append(action.slice)
        changes.weights = {key: weight for key, weight in changes.weights.items() if key[0] != action.slice}
        self.published.tables[action.slice] = {}

    def _on_set_admission(self, action: api.SetAdmission) -> None:
        if action.slice != api.ALL_TABLES and not self._check_ownership(action.slice):
            return
        retry_mode = int(action.retry)
        self._changes.admissions.append((action.slice, action.request_classes, action.amount, retry_mode))
        self.published.admissions[action.slice, action.request_classes] = (action.amount, retry_mode)

    def _on_cordon(self, action: api.Cordon) -> None:
        self._changes.cordons.append((action.host, action.is_cordoned))
        if action.is_cordoned:
            self.published.cordoned_hosts.add(action.host)
        else:
            self.published.cordoned_hosts.discard(action.host)

    def _on_assign_table(self, action: api.AssignTable) -> None:
        if action.proxy in self.proxy_zones:
            self._changes.assignments.setdefault(action.proxy, []).append((action.table, action.request_classes))
            self.published.assignments.setdefault(action.proxy, {})[action.table] = action.request_classes

    def _on_publish_version(self, action: api.PublishVersion) -> None:
        self._changes.version = action.version
        self._changes.to_all_proxies = action.to_all_proxies

    def _on_start_timer(self, action: api.StartTimer) -> None:
        self.start_timer(self.now_ms + action.delay_ms, action.timer)

    def _on_check_health(self, action: api.CheckHealth) -> None:
        # With an empty address the host counts as unreachable: the host list has no address for it.
        self.outputs.append(CheckHost(action.host, self.publisher.addresses.get(action.host, "")))

    def _on_send_to_peer(self, action: api.SendToPeer) -> None:
        # A longer payload is truncated: the transport of the receiver would drop it.
        self.outputs.append(api.SendToPeer(action.peer, action.payload[:MAX_PEER_PAYLOAD_BYTES]))

    def reconcile(self, now_ms: float, stored: StoreContents) -> None:
        """Adopt the tables of another process that wrote to the store, and continue above its message numbers."""
        self.publisher.message_number = max(self.publisher.message_number, stored.message_number) + MESSAGE_NUMBER_GAP
        self.unsaved_tables = {}
        self.unsaved_resets = set()
        self.publisher.drop_cached_frame()
        for slice_number in sorted(self.owned_slices):
            weights = stored.tables.get(slice_number, {})
            if weights != self.published.tables.get(slice_number, {}):
                self.published.tables[slice_number] = dict(weights)
                self.add_slice_events(now_ms, slice_number)

    def on_addresses_changed(self, hosts: Sequence[int]) -> None:
        """Send proxies the new addresses of those hosts that a table names."""
        message = self.publisher.addresses_message(hosts, tuple(self.proxy_zones))
        if message:
            self.outputs.append(message)
        self.publisher.drop_cached_frame()

    def on_writes_fenced(self) -> None:
        """Replace the step's messages after its writes were rejected because another controller owns one of the slices.

        No message of the step may be sent. Proxies receive the changed tables of the slices still owned instead. The
        step's version is not sent, so no ack arrives, and the assigner stops waiting for it after a timeout.
        """
        self.outputs = [output for output in self.outputs if not isinstance(output, SendFrame)]
        affected = sorted(table for table in self.unsaved_tables if table in self.owned_slices)
        if affected:
            self.outputs.append(self.publisher.gained_slices_message(affected, tuple(self.proxy_zones)))

    def publish(self, stored: bool) -> list[Output]:
        """Return the outputs of the step; `stored` is whether the store wrote its tables.

        Outputs are sent even if the store failed: a draining host must not wait for a disk. Unsaved entries are written
        with the next step that finds the store working. If the process exits before that, its successor requests the
        tables from the proxies (see `EventIntake.needs_recall`).
        """
        if stored:
            self.unsaved_tables = {}
            self.unsaved_resets = set()
        outputs = self.outputs
        self.outputs = []
        return outputs
