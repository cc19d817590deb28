"""The steward on the platform: wires discovery, relay, reports and probes to the module. Owns loop and clock."""

from __future__ import annotations

import asyncio
import gc
import resource
from collections.abc import Sequence

from .. import interface as api
from ..assignment import Assigner
from ..collector.reports import ReportIntake
from ..collector.server import CollectorServer
from ..controller.event_inbox import EventInbox
from ..health_check.checker import HealthChecker
from ..host_names import name
from ..relay.call_connection import CallConnection
from ..relay.channel import ChannelEstimate
from ..relay.orders import Order
from ..relay.pending_calls import PendingCalls
from ..relay.subscription import RelayView
from ..relay.subscription_connection import Subscription
from . import trace
from .clock import Clock
from .config import BadConfig, Config, address, read
from .endpoint_updates import Lists
from .logs import Seldom, Tally, log
from .unconfirmed_acks import Gaps

READY_MOST = 3.0  # s after which signs of life are given whatever is missing
RESERVED = 64  # descriptors kept from strangers: loop, log, relay, discovery, probes, collectors
AHEAD = 400  # marks worked out at a time between steps
PROBES_MOST = 16
COUNTS_EVERY = 10.0  # s


class Service:
    def __init__(self, config: Config, path: str, traced: bool = False) -> None:
        self.config, self.path = config, path
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.seldom = Seldom()
        s = config.settings
        self.turns = EventInbox(Assigner(s, config.seed))
        self.lists = Lists(config, self.seldom, self.tell, traced)
        self.view, self.agent = self.lists.view, self.lists.agent
        self.news = RelayView(s, config.places.zones)
        channel = ChannelEstimate(
            s.max_queued_lines, s.channel_lines_per_second, s.message_overhead_lines, lambda: len(self.news.proxies)
        )
        self.calls = PendingCalls(list(config.places.request_classes), s.max_messages, s.message_window_ms, channel)
        self.intake = ReportIntake(s, config.places, self.view.addresses, self.news.tables)
        self.call_link = CallConnection(config.store, self.calls, self.clock, self.stood)
        self.news_link = Subscription(
            config.store, self.news, self.clock, self.tell, self.calls.unconfirmed_table_orders, self.said
        )
        self.gaps = Gaps(s, self.news, self.clock, self.tell)
        self.news_link.on_gap_bridged = self.gaps.bridged
        self.prober = HealthChecker(
            self.probed,
            self.clock,
            "/load" if s.health_check_load_fields else "/healthz",
            2.0 * config.dial_timeout,
            PROBES_MOST,
            parse_address=address,
            load_in_body=True,
        )
        self.door: CollectorServer | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due_at, self.stepped_at, self.took, self.took_most = float("inf"), 0.0, 0.0, 0.0
        self.begun = self.clock()
        self.ending = False
        self.warming: asyncio.TimerHandle | None = None
        self.spoilt, self.turned_away = Tally("spoilt reports"), Tally("ended")
        self.trace = traced
        if traced:
            self.intake.on_rejected = log.info

    # ---- the life ----------------------------------------------------------------------------------------

    def start(self) -> None:
        sockets = self.config.sockets or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        strangers = max(16, min(256, sockets - 2 * RESERVED))
        self.door = CollectorServer(self.config.listen, self.intake, strangers, self.tell, self.said)
        if saved := self.lists.saved(self.config.known):
            self.turns.add_event(self.clock(), saved)
        self.step()
        self.news_link.start()
        self.agent.start()
        self.loop.call_later(READY_MOST, self.ready)
        self.loop.call_later(COUNTS_EVERY, self.counts)
        if self.trace:
            self.loop.call_later(1.0, self.tracing)

    def counts(self) -> None:
        """What was turned down at the listening address since the last such line, by reason."""
        self.loop.call_later(COUNTS_EVERY, self.counts)
        if self.door:
            self.spoilt.say(self.intake.rejected)
            self.turned_away.say(self.door.close_reasons)

    def ready(self) -> None:
        if self.door and not self.door.is_ready and not self.ending:
            self.door.set_ready()
            gc.collect()
            gc.freeze()
            log.info(
                "ready after %.0f ms: %d hosts, %d proxies, %d slices",
                self.clock() - self.begun,
                len(self.view.entries),
                len(self.news.proxies),
                len(self.news.tables),
            )

    def reload(self) -> None:
        """SIGHUP: the new addresses; what else the file says is for the next start."""
        if self.ending:
            return
        try:
            new = read(self.path)
        except BadConfig as fault:
            log.error("the old configuration stays: %s", fault)
            return
        log.info("configuration read again: discovery %s, store %s", new.discovery, new.store)
        self.news_link.set_address(new.store)
        self.call_link.set_address(new.store)
        self.agent.set_address(new.discovery)

    def stop(self) -> None:
        """SIGTERM: no new connection, turn or call. The call in flight may end: it is whole, or it never began."""
        if self.ending:
            return
        self.ending = True
        log.info("ending")
        for part in (self.timer, self.warming):
            if part:
                part.cancel()
        if self.door:
            self.door.close()
        self.news_link.close()
        self.agent.stop()
        self.prober.stop()
        self.call_link.finish()

    async def run(self) -> None:
        self.start()
        await self.call_link.finished.wait()  # within the time that an answer may take
        self.call_link.close()

    # ---- what happens ------------------------------------------------------------------------------------

    def said(self, text: str) -> None:
        self.seldom.warn(text.split(":")[0][:60], text)

    def tell(self, events: Sequence[api.Event]) -> None:
        now = self.clock()
        for e in events:
            if isinstance(e, api.SliceOwnershipChange) and not e.is_owned:
                self.calls.forget_slice(e.slice)
            if isinstance(e, api.VersionAcked) and self.calls.unconfirmed:
                self.stood(self.calls.on_version_applied(e.version))
            if self.trace and isinstance(e, api.HostUsageReport | api.SliceUsageReport):
                log.info("sums: %s", e)
            if self.trace and isinstance(e, api.SliceOwnershipChange | api.ProxyLeft | api.ProxyJoined):
                log.info("news: %s", e)
            self.turns.add_event(now, e)
        self.wake()

    def probed(self, e: api.HealthCheckResult) -> None:
        if self.trace:
            log.info("probe of %s: %s after %.0f ms", name(e.host), e.outcome.value, e.latency_ms)
        self.tell([e])

    def stood(self, orders: list[Order]) -> None:
        for o in orders:
            if isinstance(o, api.SetWeight | api.ResetTable):
                self.news.on_order_confirmed(o)
        for text in self.calls.warnings:
            self.said(text)
        self.calls.warnings.clear()

    # ---- turns -------------------------------------------------------------------------------------------

    def wake(self) -> None:
        """A step is due: at once, or as soon as the last one lies back by the period and by what it took."""
        if self.ending:
            return
        now = self.clock()
        at = max(now, self.stepped_at + max(self.config.settings.decision_interval_ms, self.took))
        if not self.turns.pending_events:
            if not self.turns.timers:
                return
            at = max(at, self.turns.timers[0][0])
        if at < self.due_at:
            if self.timer:
                self.timer.cancel()
            self.due_at = at
            self.timer = self.loop.call_later(max(0.0, at - now) / 1000.0, self.step)

    def step(self) -> None:
        self.due_at, begun = float("inf"), self.clock()
        self.turns.fire_due_timers(begun)
        events = self.turns.take_events()
        try:
            actions = self.turns.run_step(begun, events)
        except Exception:
            # A defect to mend. The events of this step are lost, what was known before stands; its timers come again,
            # or no turn would ever come. Could go on for good with a state that is not sound: the log tells.
            log.exception("a step failed on %d events: %s", len(events), str(events)[:600])
            again = self.config.settings.report_interval_ms
            actions = [api.StartTimer(again, e.timer) for e in events if isinstance(e, api.TimerFired)]
        self.carry_out(begun, actions)
        self.stepped_at = self.clock()
        self.took = self.stepped_at - begun
        self.took_most = max(self.took_most, self.took)
        if self.door and not self.door.is_ready and self.news_link.has_been_ready:
            self.ready()
        self.wake()
        if self.warming is None:
            self.warming = self.loop.call_later(0.01, self.warm)

    def warm(self) -> None:
        """Marks ahead of need, a few at a time, so that the listener keeps answering."""
        self.warming = None
        if self.turns.precompute_scores(AHEAD):
            self.warming = self.loop.call_later(0.01, self.warm)

    def carry_out(self, now: float, actions: list[api.Action]) -> None:
        orders: list[Order] = []
        for a in actions:
            match a:
                case api.SetWeight() | api.SetAdmission() | api.Cordon() | api.ResetTable() | api.PublishVersion():
                    orders.append(a)
                    if isinstance(a, api.PublishVersion):
                        self.gaps.ordered(a.version, now)
                case api.StartTimer():
                    self.turns.start_timer(now + a.delay_ms, a.timer)
                case api.CheckHealth():
                    self.prober.check(a.host, self.view.addresses.get(a.host, ""))
                case api.WatchHostList():
                    self.agent.watch(a.is_watching)
                case api.FetchHostList():
                    self.agent.fetch()
                case api.LogNote():
                    if self.trace:
                        log.info("module: %s", a.text)
                case api.AssignTable() | api.SendToPeer():
                    self.said(f"the platform has no way to do this: {a}")
        if orders:
            if self.trace:
                log.info("orders: %s", trace.orders(orders))
            self.calls.add(orders)
            self.call_link.send_next()

    def tracing(self) -> None:
        self.loop.call_later(1.0, self.tracing)
        for line in trace.figures(self):
            log.info("trace %s", line)
        self.took_most = 0.0
