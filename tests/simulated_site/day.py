"""A simulated day: hosts, proxies, the requests between them, the usage reports, and the host list."""

from __future__ import annotations

import bisect
import itertools
import random
from collections import Counter
from dataclasses import dataclass

from corallanding import interface as api
from corallanding.host_names import host_number
from corallanding.relay.orders import Order

from .clock import SimulatedClock
from .controller import Controller
from .judge import Judge
from .proxy import Proxy
from .site import QUOTE_SHARE, ZONES, Site
from .usage_reports import Attempt, UsageReports

CORES = 4
MAX_HELD = 56
WORK_MS = 250.0
ATTEMPT_TIMEOUT_MS = 3_000.0
REFUSED_AFTER_MS = 500.0
STORE_READ_MS = 300.0
FIRST_HOST = 1_000


@dataclass
class Host:
    """One host: its state in the list, and the requests that it holds."""

    id: int
    zone: int
    started_at_ms: float = 0.0  # 0: long ago
    state: api.HostState = api.HostState.UP
    is_alive: bool = True
    held: int = 0

    def entry(self) -> api.HostEntry:
        """Return the host's entry in the list."""
        return api.HostEntry(self.id, self.zone, state=self.state, online_since=self.started_at_ms)


class Day:
    """A site in simulated time. All randomness is from one seed. `judge` sees what proxies hold."""

    def __init__(self, site: Site, seed: int) -> None:
        self.site = site
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.judge = Judge(self)
        self.counts: Counter[str] = Counter()
        self.log: list[str] = []
        self.lost_call_share = 0.0
        self.lost_answer_share = 0.0
        self.list_version = 1
        self.hosts: dict[int, Host] = {}
        self.numbers = itertools.count(FIRST_HOST)
        for _ in range(site.hosts):
            self.new_host()
        names = list(self.hosts)
        self.store = {slice_id: {names[slice_id % len(names)]} for slice_id in range(site.slices)}
        self.owners = {slice_id: slice_id % site.controllers for slice_id in range(site.slices)}
        self.owned_since_ms = dict.fromkeys(self.owners, 0.0)
        self.demand = list(itertools.accumulate(self.rng.lognormvariate(0.0, 0.6) for _ in range(site.slices)))
        self.told_leaving_ms: list[dict[int, float]] = [{} for _ in range(site.controllers)]
        self.proxies = [Proxy(number, site.controllers, self.owners) for number in range(site.proxies)]
        for proxy in self.proxies:
            self.read_store(proxy)
        self.reports = UsageReports(self)
        self.controllers = [Controller(self, number) for number in range(site.controllers)]
        for controller in self.controllers:
            controller.start(self.entries())
            for proxy in self.proxies:
                self.connect(proxy, controller.number)
        self.reports.start()
        self._schedule_request()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.run_until(self.clock.now_ms + seconds * 1_000.0)

    # Hosts and the host list.

    def new_host(self, *, zone: int | None = None, started_at_ms: float = 0.0) -> Host:
        """Start a host under a new id."""
        number = next(self.numbers)
        host_id = host_number(f"host-{number}")
        host = Host(host_id, number % ZONES if zone is None else zone, started_at_ms)
        self.hosts[host_id] = host
        return host

    def entries(self) -> tuple[api.HostEntry, ...]:
        """Return the present host list."""
        return tuple(host.entry() for host in self.hosts.values() if host.state is not api.HostState.REMOVED)

    def full_list(self) -> api.HostListUpdate:
        """Return the present host list as the answer of discovery."""
        return api.HostListUpdate(api.HostListKind.FULL, self.list_version, self.entries())

    def publish(self, hosts: list[Host]) -> None:
        """Tell all controllers of changed hosts."""
        self.list_version += 1
        entries = tuple(host.entry() for host in hosts)
        now_ms = self.clock.now_ms
        for controller in self.controllers:
            told = self.told_leaving_ms[controller.number]
            for host in hosts:
                if host.state is api.HostState.UP:
                    told.pop(host.id, None)
                elif host.id not in told:
                    told[host.id] = now_ms
                    self._schedule_drain_check(host.id, now_ms, controller.number)
            controller.add(api.HostListUpdate(api.HostListKind.CHANGES, self.list_version, entries))

    def _schedule_drain_check(self, host_id: int, told_at_ms: float, controller: int) -> None:
        self.clock.after(self.site.drain_grace_ms, lambda: self.judge.check_drained(host_id, told_at_ms, controller))

    # Streams of proxies.

    def read_store(self, proxy: Proxy, controller: int | None = None) -> None:
        """Let a proxy read the tables of all slices, or of those of a controller."""
        for slice_id, hosts in self.store.items():
            if controller is None or self.owners[slice_id] == controller:
                proxy.set_table(slice_id, hosts)

    def connect(self, proxy: Proxy, controller: int) -> None:
        """Establish a proxy's stream; it reads the store soon after."""
        connection = proxy.connections[controller]
        connection.is_joined = True
        connection.joined_at_ms = self.clock.now_ms
        connection.epoch += 1
        connection.message_times_ms.clear()
        connection.last_arrival_ms = 0.0
        epoch = connection.epoch
        self.controllers[controller].on_proxy_joined(proxy.number, has_no_tables=not connection.has_ever_joined)
        connection.has_ever_joined = True
        slices = [slice_id for slice_id, owner in self.owners.items() if owner == controller]
        self.judge.on_tables_changed(proxy, slices)

        def read() -> None:
            if connection.epoch == epoch and connection.is_joined:
                self.read_store(proxy, controller)
                self.judge.on_tables_changed(proxy, slices)

        self.clock.after(STORE_READ_MS, read)

    def disconnect(self, proxy: Proxy, controller: int) -> None:
        """Break a proxy's stream; it keeps what it holds."""
        connection = proxy.connections[controller]
        if connection.is_joined:
            connection.is_joined = False
            connection.epoch += 1
            self.judge.on_disconnected(proxy, controller)
            self.controllers[controller].add(api.ProxyLeft(proxy.number))

    def call_outcome(self) -> tuple[bool, bool]:
        """Return whether a call is lost, and whether its answer is."""
        return self.rng.random() < self.lost_call_share, self.rng.random() < self.lost_answer_share

    # Requests.

    def _schedule_request(self) -> None:
        self.clock.after(self.rng.expovariate(self.site.requests_per_second) * 1_000.0, self._request)

    def _request(self) -> None:
        self._schedule_request()
        proxy = self.rng.choice(self.proxies)
        slice_id = bisect.bisect(self.demand, self.rng.random() * self.demand[-1])
        request_class = 0 if self.rng.random() < QUOTE_SHARE else 1
        if proxy.usable_hosts(slice_id):
            self._attempt(proxy, slice_id, request_class)
        else:
            self.clock.after(REFUSED_AFTER_MS, lambda: self._retry(proxy, slice_id, request_class))

    def _retry(self, proxy: Proxy, slice_id: int, request_class: int) -> None:
        if proxy.usable_hosts(slice_id):
            self._attempt(proxy, slice_id, request_class)
        else:
            self.judge.findings.refused += 1
            self.reports.count_refused(slice_id, request_class)

    def _attempt(self, proxy: Proxy, slice_id: int, request_class: int) -> None:
        """Send a request to the less busy of two hosts."""
        chosen = self.rng.choices(sorted(proxy.usable_hosts(slice_id)), k=2)
        host = min((self.hosts[host_id] for host_id in chosen), key=lambda host: host.held)
        if not host.is_alive or host.held >= MAX_HELD:
            self._end_attempt(proxy, slice_id, request_class, host.id, None)
            return
        share = self._capacity_share(host)
        latency_ms = WORK_MS / share * max(1.0, (host.held + 1) / CORES) * self.rng.lognormvariate(-0.2, 0.6)
        started_at_ms = host.started_at_ms
        host.held += 1

        def finish() -> None:
            is_same = host.is_alive and host.started_at_ms == started_at_ms
            if is_same:
                host.held -= 1
            is_answered = is_same and latency_ms < ATTEMPT_TIMEOUT_MS
            self._end_attempt(proxy, slice_id, request_class, host.id, latency_ms if is_answered else None)

        self.clock.after(min(latency_ms, ATTEMPT_TIMEOUT_MS), finish)

    def _end_attempt(
        self, proxy: Proxy, slice_id: int, request_class: int, host_id: int, latency_ms: float | None
    ) -> None:
        """Count an attempt, which was answered if it has a latency."""
        self.counts["failed" if latency_ms is None else "answered"] += 1
        self.reports.count_attempt(slice_id, request_class, Attempt(host_id, proxy.number % ZONES, latency_ms))

    def _capacity_share(self, host: Host) -> float:
        site = self.site
        if not host.started_at_ms:
            return 1.0
        age_ms = self.clock.now_ms - host.started_at_ms
        return min(1.0, site.warm_up_initial_share + (1.0 - site.warm_up_initial_share) * age_ms / site.warm_up_ms)

    # Log.

    def record_step(self, controller: Controller, orders: list[Order]) -> None:
        """Log the message of a step by kinds of orders."""
        if not orders:
            return
        added = sum(isinstance(order, api.SetWeight) and order.weight > 0 for order in orders)
        removed = sum(isinstance(order, api.SetWeight) and order.weight <= 0 for order in orders)
        cordons = sum(isinstance(order, api.Cordon) and order.is_cordoned for order in orders)
        lifted = sum(isinstance(order, api.Cordon) and not order.is_cordoned for order in orders)
        queued = controller.assigner.pending_versions.queued_lines() / max(1, self.site.proxies)
        stranded = sum(
            all(controller.assigner.hosts[host.id].is_cordoned for host in slice_.weights)
            for slice_ in controller.assigner.slices.values()
        )
        self.log.append(
            f"{self.clock.elapsed_ms / 1000:8.3f} n{controller.number} +{added} -{removed} "
            f"cordon {cordons} uncordon {lifted} queued/proxy {queued:.0f} stranded {stranded}"
        )
