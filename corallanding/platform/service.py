"""The controller on the platform: connects discovery, relay, reports and health checks to the assigner."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Sequence

from .. import interface as api
from ..assignment import Assigner
from ..assignment.message_limit import MessageLimit
from ..collector.reports import ReportIntake
from ..collector.server import CollectorServer
from ..controller.event_inbox import EventInbox
from ..health_check.checker import HealthChecker
from ..host_names import host_name
from ..relay.call_connection import CallConnection
from ..relay.channel import ChannelEstimate
from ..relay.orders import Order, TableOrder
from ..relay.pending_calls import PendingCalls
from ..relay.subscription import RelayView
from ..relay.subscription_connection import Subscription
from ..transient_errors import retry_transient
from . import trace
from .activity_log import ActivityLog
from .clock import Clock
from .config import Config, parse_address
from .config_reload import ConfigReloader
from .decision_loop import DecisionLoop
from .descriptors import max_unidentified
from .endpoint_updates import HostListSource
from .logs import RateLimitedLogger, log
from .lost_acks import LostAckReporter

MAX_LISTEN_SECONDS = 10.0  # for which a refused listening socket is requested again
MAX_START_SECONDS = 3.0  # heartbeats are answered after this time even without the initial state of the relay
MAX_HEALTH_CHECKS = 16
HEALTH_CHECK_TIMEOUT_FACTOR = 2.0  # multiple of the proxies' connect timeout
MAX_KIND_CHARACTERS = 60  # characters before the colon of a warning that identify its kind


class PlatformController:
    """One controller. `path` is the configuration file, which `reload` reads again."""

    def __init__(self, config: Config, path: str, is_traced: bool = False) -> None:
        self.config = config
        self.is_traced = is_traced
        self.clock = Clock()
        self.started_at_ms = self.clock()
        self.is_stopping = False
        self.logger = RateLimitedLogger()
        settings = config.settings
        self.inbox = EventInbox(Assigner(settings, config.seed, proxies_keep_orders=True))
        intervals_ms = settings.decision_interval_ms, settings.report_interval_ms
        self.decisions = DecisionLoop(self.inbox, self.clock, *intervals_ms, self.carry_out, self.on_step)
        self._create_host_list()
        self._create_relay()
        self.intake = ReportIntake(settings, config.names, self.host_list.addresses, self.relay_view.tables)
        if is_traced:
            self.intake.on_rejected = log.info
        self.server: CollectorServer | None = None
        self.activity_log = ActivityLog(self, is_traced)
        self.config_reloader = ConfigReloader(path, self.set_addresses)

    def _create_host_list(self) -> None:
        self.host_list_source = HostListSource(self.config, self.logger, self.on_events, self.is_traced)
        self.host_list = self.host_list_source.view
        self.discovery = self.host_list_source.client
        self.health_checker = HealthChecker(
            self.on_health_check,
            self.clock,
            "/load" if self.config.settings.health_check_load_fields else "/healthz",
            HEALTH_CHECK_TIMEOUT_FACTOR * self.config.connect_timeout_ms,
            MAX_HEALTH_CHECKS,
            parse_address=parse_address,
            load_in_body=True,
        )

    def _create_relay(self) -> None:
        config = self.config
        settings = config.settings
        self.relay_view = RelayView(settings, config.names.zones)
        channel = ChannelEstimate(
            settings.max_queued_lines,
            settings.channel_lines_per_second,
            settings.message_overhead_lines,
            lambda: len(self.relay_view.proxies),
        )
        self.calls = PendingCalls(
            list(config.names.request_classes),
            MessageLimit.for_drains(settings.max_messages, settings.message_window_ms, settings.drain_grace_ms),
            channel,
        )
        self.call_connection = CallConnection(config.relay, self.calls, self.clock, self.on_orders_confirmed)
        self.subscription = Subscription(
            config.relay, self.relay_view, self.clock, self.on_events, self.calls.unconfirmed_table_orders, self.warn
        )
        self.lost_acks = LostAckReporter(self.clock, self.on_events)
        self.subscription.on_watch_resumed = self.lost_acks.on_watch_resumed

    # ---- start and stop ------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Run until `stop`. Raises OSError if the listening address cannot be used for `MAX_LISTEN_SECONDS`."""
        self.server = await retry_transient(
            self.listen, MAX_LISTEN_SECONDS, lambda error: self.warn(f"listening is refused for now: {error}")
        )
        if self.server:
            self.start()
        await self.call_connection.finished.wait()  # takes at most the answer timeout of a call
        self.call_connection.close()

    def listen(self) -> CollectorServer | None:
        """Return a server at the listening address, None after `stop`. Raises OSError."""
        if self.is_stopping:
            return None
        config = self.config
        return CollectorServer(config.listen, self.intake, max_unidentified(config), self.on_events, self.warn)

    def start(self) -> None:
        """Run the first step, and connect."""
        if saved := self.host_list_source.apply_saved(self.config.saved_list):
            self.inbox.add_event(self.clock(), saved)
        self.decisions.step()
        self.subscription.start()
        self.discovery.start()
        asyncio.get_running_loop().call_later(MAX_START_SECONDS, self.set_ready)
        self.activity_log.start()

    def set_ready(self) -> None:
        """Start to answer heartbeats."""
        if not self.server or self.server.is_ready or self.is_stopping:
            return
        self.server.set_ready()
        gc.collect()
        gc.freeze()
        log.info(
            "ready after %.0f ms: %d hosts, %d proxies, %d slices",
            self.clock() - self.started_at_ms,
            len(self.host_list.entries),
            len(self.relay_view.proxies),
            len(self.relay_view.tables),
        )

    def reload(self) -> None:
        """Apply the addresses of a changed configuration (SIGHUP); other changes take effect at the next start."""
        if not self.is_stopping:
            self.config_reloader.reload()

    def set_addresses(self, config: Config) -> None:
        """Move the connections to the addresses of a configuration."""
        self.subscription.set_address(config.relay)
        self.call_connection.set_address(config.relay)
        self.discovery.set_address(config.discovery)

    def stop(self) -> None:
        """Start no further connection, step or call (SIGTERM, SIGINT). A call in flight is not interrupted halfway."""
        if self.is_stopping:
            return
        self.is_stopping = True
        self.activity_log.log_stop()
        self.decisions.stop()
        if self.server:
            self.server.close()
        self.subscription.close()
        self.discovery.stop()
        self.config_reloader.stop()
        self.health_checker.stop()
        self.call_connection.finish()

    # ---- incoming events -----------------------------------------------------------------------------------

    def on_events(self, events: Sequence[api.Event]) -> None:
        """Add events for the next step and schedule it."""
        now_ms = self.clock()
        for event in events:
            if isinstance(event, api.SliceOwnershipChange) and not event.is_owned:
                self.calls.forget_slice(event.slice)
            if isinstance(event, api.VersionAcked) and self.calls.unconfirmed:
                self.on_orders_confirmed(self.calls.on_version_applied(event.version))
            if self.is_traced:
                trace.log_event(event)
            self.inbox.add_event(now_ms, event)
        self.decisions.schedule()

    def on_health_check(self, result: api.HealthCheckResult) -> None:
        """Add the result of a health check for the next step."""
        if self.is_traced:
            log.info(
                "health check of %s: %s after %.0f ms", host_name(result.host), result.outcome.value, result.latency_ms
            )
        self.on_events([result])

    def on_orders_confirmed(self, orders: list[Order]) -> None:
        """Record orders that the relay has applied to its tables, and log the warnings about calls."""
        for order in orders:
            if isinstance(order, TableOrder):
                self.relay_view.on_order_confirmed(order)
            elif isinstance(order, api.PublishVersion):
                self.lost_acks.on_version_confirmed(order.version)
        for text in self.calls.warnings:
            self.warn(text)
        self.calls.warnings.clear()

    def on_step(self) -> None:
        """Become ready after the first step that knows the relay's initial state."""
        if self.server and not self.server.is_ready and self.subscription.has_been_ready:
            self.set_ready()

    # ---- outgoing actions ----------------------------------------------------------------------------------

    def carry_out(self, now_ms: float, actions: list[api.Action]) -> None:
        """Carry out the actions of one step; orders to the relay are sent together."""
        orders: list[Order] = []
        for action in actions:
            if isinstance(action, Order):
                orders.append(action)
            else:
                self._carry_out_locally(now_ms, action)
        if orders:
            if self.is_traced:
                log.info("orders: %s", trace.describe_orders(orders))
            self.calls.add(orders)
            self.call_connection.send_next()

    def _carry_out_locally(self, now_ms: float, action: api.Action) -> None:
        match action:
            case api.StartTimer():
                self.inbox.start_timer(now_ms + action.delay_ms, action.timer)
            case api.CheckHealth():
                self.health_checker.check(action.host, self.host_list.addresses.get(action.host, ""))
            case api.WatchHostList():
                self.discovery.watch(action.is_watching)
            case api.FetchHostList():
                self.discovery.fetch()
            case api.LogNote():
                if self.is_traced:
                    log.info("assigner: %s", action.text)
            case _:
                self.warn(f"the platform cannot carry out this action: {action}")

    # ---- log -----------------------------------------------------------------------------------------------

    def warn(self, text: str) -> None:
        """Log a warning, rate-limited by its text before the colon."""
        self.logger.warn(text.split(":")[0][:MAX_KIND_CHARACTERS], text)
