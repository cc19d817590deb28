"""The core of a controller: events go in, the assigner decides, writes and messages come out. No I/O, no clock.

A step has two halves, so that nothing is sent before it is stored: `decide` returns what the store must write, and
`publish`, which is told whether the store did, returns the messages and everything else. All decisions are the
assigner's.
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

USAGE_INTERVALS_PER_REPORT = 8  # usage is handed on, and deferred timers are looked at, so often a report interval
RECONCILED_MESSAGES = 1_000  # message numbers left to another process that wrote to the store meanwhile


class Engine(EventIntake):
    """Runs the assigner step by step.

    `addresses` maps a host to "ip:port" and is shared with the host list; `decider` makes the assigner from the
    settings and the seed.
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
        self.is_store_backing_off = False  # set by the owner while it waits to retry a store that fails
        self.discarded_actions = 0  # actions for slices that this controller does not own
        self.outputs: list[Output] = []  # of the step that is not published yet
        self._changes = TableChanges()  # of the step that is being decided
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
            api.WatchHostList: self._pass_on,
            api.FetchHostList: self._pass_on,
            api.LogNote: self._pass_on,
        }

    def _pass_on(self, output: Output) -> None:
        """Hand an action on as it is."""
        self.outputs.append(output)

    def next_at(self, now: float) -> float | None:
        """When the next step is due if nothing happens before; None if only an event makes one due."""
        due = [self.timers[0][0]] if self.timers else []
        if self.pending_events or self.outputs or self._may_save():
            due.append(now)
        if self.usage.tallies:
            due.append(self.usage_due_at)
        return min(due, default=None)

    def _may_save(self) -> bool:
        """Whether there is something to store and the store is to be tried."""
        return bool(self.unsaved_tables or self.unsaved_resets) and not self.is_store_backing_off

    def decide(self, now: float) -> StoreWrites:
        """Run the assigner on everything that came until `now`; returns what is to be stored before `publish`."""
        now = max(now, self.now)  # a clock that steps back stands still for the assigner
        self.now = now
        self.fire_due_timers(now)
        if now >= self.usage_due_at:
            for report in self.usage.take_due(now):
                self.add_event(now, report)
            self.usage_due_at = now + self._usage_interval_ms()
        events = self.take_events()
        for event in events:
            if isinstance(event, api.HostListUpdate):
                self.publisher.on_host_list(event)
        self._carry_out(self.run_step(now, events))
        return self._store_writes()

    def _usage_interval_ms(self) -> float:
        return self.settings.report_interval_ms / USAGE_INTERVALS_PER_REPORT

    def timer_delay(self, now: float, timer: int) -> float | None:
        """Delay the assigner's deferrable timer while the controller is overloaded."""
        is_delayed = timer == self.deferrable_timer and self.overload.should_delay(now, timer)
        return self._usage_interval_ms() if is_delayed else None

    def _carry_out(self, actions: list[api.Action]) -> None:
        """Turn the actions of a step into outputs, and note what the store has to write."""
        self._announce_ownership()
        self._changes = TableChanges()
        handlers = self._handlers
        for action in actions:
            handlers[type(action)](action)
        changes = self._changes
        self.outputs += self.publisher.step_messages(changes, tuple(self.proxy_zones))
        if changes.weights or changes.resets or changes.cordons or changes.admissions:
            self.publisher.drop_cached_frame()
        for table in changes.resets:
            self.unsaved_resets.add(table)
            self.unsaved_tables[table] = {}
        for (table, host), weight in changes.weights.items():
            self.unsaved_tables.setdefault(table, {})[host] = weight

    def _announce_ownership(self) -> None:
        """Tell proxies of slices gained and lost: one message each, also after taking over hundreds of slices."""
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

    def _decides_on(self, table: int) -> bool:
        """Whether actions on a table are carried out; those on slices of other controllers are counted and dropped."""
        if self.settings.slice_count and table not in self.owned_slices:
            self.discarded_actions += 1
            return False
        return True

    def _on_set_weight(self, action: api.SetWeight) -> None:
        table = action.slice
        if not self._decides_on(table):
            return
        host = action.host
        weight = action.weight
        self._changes.weights[table, host] = weight
        weights = self.publisher.published.tables.setdefault(table, {})
        if weight <= 0:
            weights.pop(host, None)
            return
        if self.settings.has_sole_owner:
            weights.clear()
        weights[host] = weight

    def _on_reset_table(self, action: api.ResetTable) -> None:
        if not self._decides_on(action.slice):
            return
        changes = self._changes
        changes.resets.append(action.slice)
        changes.weights = {key: weight for key, weight in changes.weights.items() if key[0] != action.slice}
        self.published.tables[action.slice] = {}

    def _on_set_admission(self, action: api.SetAdmission) -> None:
        if action.slice != api.ALL_TABLES and not self._decides_on(action.slice):
            return
        retry = int(action.retry)
        self._changes.admissions.append((action.slice, action.request_classes, action.amount, retry))
        self.published.admissions[action.slice, action.request_classes] = (action.amount, retry)

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
        self.start_timer(self.now + action.delay_ms, action.timer)

    def _on_check_health(self, action: api.CheckHealth) -> None:
        self.outputs.append(CheckHost(action.host, self.publisher.addresses.get(action.host, "")))

    def _on_send_to_peer(self, action: api.SendToPeer) -> None:
        self.outputs.append(api.SendToPeer(action.peer, action.payload[:MAX_PEER_PAYLOAD_BYTES]))

    def reconcile(self, now: float, stored: StoreContents) -> None:
        """Another process wrote to the store meanwhile: its tables count, and message numbers go on above its own."""
        self.publisher.message_number = max(self.publisher.message_number, stored.message_number) + RECONCILED_MESSAGES
        self.unsaved_tables = {}
        self.unsaved_resets = set()
        self.publisher.drop_cached_frame()
        for slice_number in sorted(self.owned_slices):
            weights = stored.tables.get(slice_number, {})
            if weights != self.published.tables.get(slice_number, {}):
                self.published.tables[slice_number] = dict(weights)
                self.add_slice_events(now, slice_number)

    def on_addresses_changed(self, hosts: Sequence[int]) -> None:
        """Hosts have new addresses: proxies are told those that a table names."""
        message = self.publisher.addresses_message(hosts, tuple(self.proxy_zones))
        if message:
            self.outputs.append(message)
        self.publisher.drop_cached_frame()

    def on_writes_fenced(self) -> None:
        """The step's writes were refused because another controller owns one of the slices.

        No message of the step may go out. Proxies are sent the tables of the slices that are still owned instead; the
        step's version is never acknowledged, and the assigner stops waiting for it after a time.
        """
        self.outputs = [output for output in self.outputs if not isinstance(output, SendFrame)]
        touched = sorted(table for table in self.unsaved_tables if table in self.owned_slices)
        if touched:
            self.outputs.append(self.publisher.gained_slices_message(touched, tuple(self.proxy_zones)))

    def publish(self, stored: bool) -> list[Output]:
        """Return the rest of the step, after the store wrote (`stored`) or could not.

        While it cannot, everything goes out all the same: a draining host must not wait for a disk. What is not stored
        is written with the next step that finds the store working; if the process dies before, proxies, which hold the
        tables, give them back (`needs_recall`).
        """
        if stored:
            self.unsaved_tables = {}
            self.unsaved_resets = set()
        outputs = self.outputs
        self.outputs = []
        return outputs
