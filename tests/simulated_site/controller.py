"""A controller of a simulated site: the assigner, its calls to the relay, and the channel to the proxies."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import msgspec

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.assignment.message_limit import MessageLimit
from corallanding.relay.channel import ChannelEstimate
from corallanding.relay.orders import Order, TableOrder
from corallanding.relay.pending_calls import PendingCalls

from .site import ZONES

if TYPE_CHECKING:
    from .day import Day

MIN_STEP_INTERVAL_MS = 10.0
ANSWER_TIMEOUT_MS = 100.0
MAX_CALL_MS = 10.0
LIMITS_WAIT_MS = 1_500.0
"""How long the site's limits on time wait for a call that the relay does not answer."""
HEALTH_CHECK_MS = 5.0


class Controller:
    """One controller, from its start until it is killed; a restarted one is a new object with the same number."""

    def __init__(self, day: Day, number: int) -> None:
        self.day = day
        self.number = number
        self.clock = day.clock
        site = day.site
        settings = site.settings(number)
        self.assigner = Assigner(settings, day.rng.getrandbits(32), proxies_keep_orders=True)
        self.pending: list[api.Event] = []
        self.last_step_ms = -math.inf
        self.is_step_scheduled = False
        self.is_running = True
        self.channel_free_at_ms = 0.0
        self.calls = PendingCalls(
            ["quote", "claim"],
            MessageLimit.for_drains(settings.max_messages, settings.message_window_ms, settings.drain_grace_ms),
            ChannelEstimate(
                settings.max_queued_lines,
                settings.channel_lines_per_second,
                settings.message_overhead_lines,
                lambda: sum(proxy.connections[number].is_joined for proxy in day.proxies),
            ),
        )

    # Steps.

    def add(self, *events: api.Event) -> None:
        """Deliver events with the next step."""
        if not self.is_running:
            return
        for event in events:
            if isinstance(event, api.SliceOwnershipChange) and not event.is_owned:
                self.calls.forget_slice(event.slice)
            if isinstance(event, api.VersionAcked):
                self.calls.on_version_applied(event.version)
        self.pending += events
        if not self.is_step_scheduled:
            self.is_step_scheduled = True
            self.clock.at(self.last_step_ms + MIN_STEP_INTERVAL_MS, self._step)

    def _step(self) -> None:
        if not self.is_running:
            return
        self.is_step_scheduled = False
        self.last_step_ms = self.clock.now_ms
        events, self.pending = self.pending, []
        orders: list[Order] = []
        for action in self.assigner.step(self.clock.now_ms, events):
            match action:
                case api.StartTimer():
                    self.clock.after(action.delay_ms, self._timer(action.timer))
                case api.CheckHealth():
                    self.clock.after(HEALTH_CHECK_MS, self._health_check(action.host))
                case api.SetWeight() | api.SetAdmission() | api.Cordon() | api.PublishVersion():
                    orders.append(action)
        self.day.record_step(self, orders)
        self.calls.add(orders)
        self._send_next()

    def _timer(self, timer: int) -> Callable[[], None]:
        return lambda: self.add(api.TimerFired(timer))

    def _health_check(self, host_id: int) -> Callable[[], None]:
        def check() -> None:
            host = self.day.hosts[host_id]
            outcome = api.HealthCheckOutcome.OK
            if not host.is_alive:
                outcome = api.HealthCheckOutcome.UNREACHABLE
            elif host.state is not api.HostState.UP:
                outcome = api.HealthCheckOutcome.ERROR
            self.add(api.HealthCheckResult(host_id, outcome, HEALTH_CHECK_MS))

        return check

    # Calls.

    def _send_next(self) -> None:
        if not self.is_running:
            return
        now_ms = self.clock.now_ms
        send_at_ms = self.calls.next_send_ms(now_ms)
        if send_at_ms is None:
            return
        if send_at_ms > now_ms:
            self.clock.at(send_at_ms, self._send_next)
        elif call := self.calls.next_call(now_ms):
            self.clock.after(self.day.rng.uniform(1.0, MAX_CALL_MS), self._carry_out(call.id, call.orders))

    def _carry_out(self, call_id: int, orders: list[Order]) -> Callable[[], None]:
        def carry_out() -> None:
            if not self.is_running:
                return
            is_lost, is_answer_lost = self.day.call_outcome()
            if not is_lost:
                self._apply(orders)
            if is_lost or is_answer_lost:
                self.day.counts["calls without an answer"] += 1
                self.day.judge.waits[self.number].add(self.clock.now_ms, LIMITS_WAIT_MS)
                self.clock.after(ANSWER_TIMEOUT_MS, self._on_outcome_unknown)
                return
            answer = msgspec.json.encode({"jsonrpc": "2.0", "id": call_id, "result": {"taken": len(orders)}})
            self.calls.on_answer(self.clock.now_ms, answer)
            self._send_next()

        return carry_out

    def _on_outcome_unknown(self) -> None:
        if self.is_running:
            self.calls.on_outcome_unknown(self.clock.now_ms)
            self._send_next()

    # The relay and its channel.

    def _apply(self, orders: Sequence[Order]) -> None:
        valid = [
            order
            for order in orders
            if not isinstance(order, TableOrder) or self.day.owners[order.slice] == self.number
        ]
        for order in valid:
            if isinstance(order, api.SetWeight):
                table = self.day.store[order.slice]
                (table.add if order.weight > 0 else table.discard)(order.host)
        self._send(valid)

    def _send(self, orders: Sequence[Order]) -> None:
        """Queue a message for each joined proxy, one after the other."""
        day = self.day
        site = day.site
        now_ms = self.clock.now_ms
        versions = [order.version for order in orders if isinstance(order, api.PublishVersion)]
        entries = [order for order in orders if not isinstance(order, api.PublishVersion)]
        self.channel_free_at_ms = max(self.channel_free_at_ms, now_ms)
        for proxy in day.proxies:
            connection = proxy.connections[self.number]
            if not connection.is_joined:
                continue
            lines = sum(proxy.is_concerned(order) for order in entries)
            if lines:
                lines += site.message_overhead_lines + 1 + bool(versions)
                self.channel_free_at_ms += lines * 1_000.0 / site.lines_per_second
                self._count_message(connection.message_times_ms)
            travel_ms = min(site.max_propagation_ms, day.rng.expovariate(1.0 / site.propagation_ms))
            arrival_ms = max(self.channel_free_at_ms + travel_ms, connection.last_arrival_ms + 1.0)
            connection.last_arrival_ms = arrival_ms
            version = versions[-1] if versions and lines else None
            self.clock.at(arrival_ms, self._delivery(proxy.number, connection.epoch, entries, version))
        waiting = (self.channel_free_at_ms - now_ms) * site.lines_per_second / 1_000.0
        day.judge.on_queue(waiting)

    def _count_message(self, times_ms: deque[float]) -> None:
        site = self.day.site
        times_ms.append(self.clock.now_ms)
        while times_ms[0] < self.clock.now_ms - site.message_window_ms:
            times_ms.popleft()
        self.day.judge.on_messages(len(times_ms))

    def _delivery(self, number: int, epoch: int, orders: Sequence[Order], version: int | None) -> Callable[[], None]:
        def deliver() -> None:
            proxy = self.day.proxies[number]
            connection = proxy.connections[self.number]
            if connection.epoch != epoch or not connection.is_joined or not self.is_running:
                return
            self.day.judge.on_tables_changed(proxy, proxy.apply(self.number, orders))
            if version is not None:
                self.add(api.VersionAcked(number, version, 5.0))

        return deliver

    # The life of a controller.

    def start(self, entries: tuple[api.HostEntry, ...]) -> None:
        """Read the saved list, this controller's slices from the store, and the proxies that have joined already."""
        day = self.day
        events: list[api.Event] = [api.HostListUpdate(api.HostListKind.SAVED, day.list_version, entries)]
        for slice_id, owner in day.owners.items():
            if owner == self.number:
                events.append(api.SliceOwnershipChange(slice_id, True))
                events += [api.StoredWeight(slice_id, host, 1.0) for host in sorted(day.store[slice_id])]
        self.add(*events)
        self.clock.after(50.0, lambda: self.add(day.full_list()))

    def kill(self) -> None:
        """End the controller; its queue and the messages on their way are lost."""
        self.is_running = False
        for proxy in self.day.proxies:
            self.day.disconnect(proxy, self.number)

    def on_proxy_joined(self, proxy: int, *, has_no_tables: bool) -> None:
        """Tell the assigner of a stream."""
        rate = self.day.site.requests_per_second / self.day.site.proxies
        self.add(api.ProxyJoined(proxy, proxy % ZONES, rate, has_no_tables))
