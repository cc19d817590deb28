"""What is known of hosts and where it comes from: lists, the registry, probes, load reports, peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from importlib.util import find_spec
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .. import interface as api
from ..config.sources import LoadReportsBlock, RegistryBlock
from ..endpoints.source import LineRoster, Source
from ..load_reports.feed import Feed
from ..load_reports.load_estimator import Policy
from ..load_reports.weights import changes, weigh
from ..store import StoreError
from ..telemetry import log
from .components import ORIGIN, Parts
from .peer_transport import SHARED

if TYPE_CHECKING:
    from ..registry.table_store import Holder, Keeper


class OfficeHolder:
    """What the keeper of the office tells: `charge` itself is asked who holds it."""

    def __init__(self, said: Callable[[str], None]) -> None:
        self.said = said

    def given(self, slice: int, lines: dict[int, float]) -> None:
        log.info("office", held=True)

    def taken(self, slice: int) -> None:
        log.info("office", held=False)


class Hosts(Parts):
    """Each source ends as an event of the engine."""

    def make_source(self) -> Source:
        """Where the list of hosts comes from. Raises OSError if a file of it cannot be read."""
        r, g, seed = self.config.roster, self.config.registry, self.config.steward.seed
        if g:
            from ..registry.source import make  # gRPC is imported only where it is asked for

            chance = random.Random(f"{seed}:{self.engine.start_number}").random
            return make(g, self, self.clock, chance, self.dial_registry)
        assert r.address is not None
        return LineRoster(
            r.address,
            self,
            self.list_known,
            r.mode == "on_request",
            r.line_most_bytes,
            r.wait_ms,
            r.wait_most_ms,
            r.timeout_ms,
            seed,
        )

    def list_known(self) -> int:
        """The version to go on from. Which versions hosts serve is not kept: where runs need it the whole list is."""
        return self.view.version if self.view.versions or self.config.pins is None else 0

    def make_keeper(self, g: RegistryBlock, slices: range) -> Keeper:
        """Charge and tables of slices in the registry, shared with other stewards."""
        seed, me = self.config.steward.seed, self.config.steward.number
        chance = random.Random(f"{seed}:{me}:{self.engine.start_number}")
        return self.keeper_of(g, g.base, slices, self, chance)

    def office_keeper(self, g: RegistryBlock) -> Keeper:
        """The office of the fleet's budgets and tasks, held by the registry's compare-and-swap."""
        return self.keeper_of(g, f"{g.base}office/", range(1), OfficeHolder(self.said), random.SystemRandom())

    def keeper_of(self, g: RegistryBlock, base: str, slices: range, holder: Holder, chance: random.Random) -> Keeper:
        from ..registry.slice_ownership import Terms
        from ..registry.table_store import Keeper
        from ..registry.watch_state import Limits as SyncLimits

        me, limits = self.config.steward.number, SyncLimits(g.wait_ms, g.wait_most_ms, g.reads_per_min, g.page)
        dial = self.dial_registry(g, self.said)
        return Keeper(dial, base, me, slices, holder, self.clock, chance.random, Terms(g.lease_ms), limits)

    def dial_registry(self, g: RegistryBlock, said: Callable[[str], None]) -> Callable[[], Any]:
        from ..registry.source import etcd

        return etcd(g, said)

    def given(self, slice: int, lines: dict[int, float]) -> None:
        """The registry gave a slice into our charge, with its table as kept there."""
        self.engine.on_slice_gained(self.clock(), slice, lines)
        self.wake()

    def taken(self, slice: int) -> None:
        self.engine.on_slice_lost(self.clock(), slice)
        self.wake()

    def said(self, text: str) -> None:
        self.rate_limited_log.warn("registry", why=text)

    def make_feed(self, c: LoadReportsBlock) -> Feed:
        """Raises OSError if the key cannot be read, or the libraries are not there."""
        if not find_spec("xds"):
            raise OSError("load_reports needs the extra: pip install 'corallanding[reports]'")
        key = Path(c.key_file).read_bytes().strip().hex() if c.key_file else ""
        names = ("listen", "sender_rate", "sender_burst", "processes_most", "reports_per_s", "tick_ms")
        conf = {n: getattr(c, n) for n in (*names, "streams_most", "buffer_bytes")}
        policy = Policy(
            c.half_life_ms,
            c.expiry_ms,
            c.window_ms,
            c.step,
            c.floor,
            c.busy_from,
            c.tolerance,
            c.gain,
            c.reporting_least,
            c.changes_most,
            c.stuck_after_ms,
            processes_most=c.processes_most,
        )
        zero = ORIGIN - self.clock.zero * 1000.0
        conf["key"] = key
        return self.feed_kind(conf, policy, self.clock, lambda: self.wall() * 1000.0, zero, self.reweigh, log)

    def reweigh(self) -> None:
        """Factors changed: the module hears of the hosts concerned, by the list that it reads."""
        if self.feed is None or not self.listed:
            return  # before the first list of this life the module would take the change for that list
        before, self.factors = self.factors, self.feed.worth.factors()
        event = changes(self.view.entries, self.view.version, before, self.factors)
        self.metrics.lowered_weights.set(len(self.factors))
        if event:
            log.info("load factors", factors={str(h): round(f, 3) for h, f in self.factors.items()})
            self.engine.add_event(self.clock(), event)
            self.wake()

    def roster_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        now = self.clock()
        before = dict(self.view.addresses)
        event = self.view.take(now, self.wall() * 1000.0, full, version, rows)
        for text in self.view.bad:
            self.metrics.rejected_host_entries.inc()
            self.rate_limited_log.warn("roster entry left out", why=text)
        self.metrics.host_list_version.set(version)
        self.metrics.hosts_listed.set(len(self.view.entries))
        moved = [h for h, a in self.view.addresses.items() if before.get(h, a) != a]
        if moved:
            self.engine.on_addresses_changed(moved)
        self.listed = True
        if self.cluster and self.cluster.quota:
            self.cluster.quota.on_hosts_listed(now, self.view.entries.values())
        if self.feed:
            self.feed.listed(self.view.entries, self.view.starts, self.settings.warm_up_ms)
            self.factors = self.feed.worth.factors()
            event = weigh(event, self.factors)
        self.engine.add_event(now, event)
        self.roster_dirty = True
        self.wake()

    def roster_failed(self, why: str) -> None:
        self.metrics.host_source_failures.inc()
        self.rate_limited_log.warn("roster failed", why=why)
        if self.settings.polls_host_list:
            self.engine.add_event(self.clock(), api.HostListUpdate(api.HostListKind.FAILED, self.view.version))
            self.wake()

    def keep_roster(self) -> None:
        """Keep the list now and then, beside the steps: a crash may lose the last changes of it, no more."""
        if self.clock() < self.store_again:
            return
        entries: Sequence[api.HostEntry] = tuple(self.view.entries.values())
        try:
            self.store.save_host_list(self.view.version, entries, self.view.addresses, self.view.starts)
            self.roster_dirty = False
        except StoreError as fault:
            self.rate_limited_log.warn("list not kept", why=str(fault))

    def probed(self, e: api.HealthCheckResult) -> None:
        self.metrics.health_checks.labels(e.outcome.value).inc()
        self.engine.add_event(self.clock(), e)
        self.wake()

    def peer_said(self, sender: int, payload: bytes) -> None:
        if payload[:1] == SHARED:
            if self.peer_dispatcher:
                self.peer_dispatcher.on_datagram(sender, payload[1:])
            return
        self.engine.add_event(self.clock(), api.PeerMessage(sender, payload))
        self.wake()
