"""Version pinning of workflow runs: answers queries of proxies and publishes routes. The core is `version_pinning`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar, NamedTuple

from ..config import ControllerConfig
from ..config.version_pinning import PinsBlock
from ..quorum_records.core import Action
from ..rate_limit import PeerRateLimiter
from ..telemetry import log
from ..version_pinning import messages
from ..version_pinning.core import build_version_pinning
from ..version_pinning.limits import PinningLimits
from ..version_pinning.messages import RegisterAnnouncement, RunCountQuery, RunCountReport, RunStatus
from ..version_pinning.routes import NoHostPolicy, Route, RoutePlanner
from ..version_pinning.version_selection import PinningHost, ReleaseSet, serving_capacity
from ..wire import frames
from .action_journal import ActionJournal, JournalEvent
from .cluster_service import ClusterService, ServiceContext, Tick
from .fleet_view import ChangeStamp, FleetView
from .record_service import RecordService, record_key_of

PROTOCOL_FEATURE = 1  # bit in a proxy's hello: it supports pinned runs
RUN_ANSWERS = ("not-now", "pinned", "over", "full")  # indexed by the core's `RunStatus`


class PendingRun(NamedTuple):
    """A query of a proxy on a run. query: its number, assigned by the proxy. has_ended: it reports the run's end."""

    proxy: int
    query: int
    run: str
    has_ended: bool


class PlanStamp(NamedTuple):
    """The inputs of the last route plan."""

    view: ChangeStamp
    register: object
    proxies: tuple[int, ...]


def pinning_limits(pins: PinsBlock, drift: float) -> PinningLimits:
    """Return the limits for the core, from the block `pins`."""
    return PinningLimits(pins.run_most_ms, drift, pins.settle_ms, pins.begins_per_s)


def no_host_policies(config: ControllerConfig) -> dict[str, NoHostPolicy]:
    """Return, by request class, how requests of pinned runs are handled whose version no host serves."""
    policies = {}
    for name, operation in config.operation.items():
        wait_ms = operation.no_host_wait_ms if operation.no_host != "refuse" else 0.0
        policies[name] = NoHostPolicy(wait_ms, operation.no_host == "carry_over")
    return policies


class PinningService(ClusterService):
    """Answers queries of proxies on runs, and publishes the routes of all live release sets.

    may_use_cold_host: returns whether a host that warms up may take one more slice.
    """

    message_types: ClassVar[tuple[type, ...]] = (RegisterAnnouncement, RunCountQuery, RunCountReport)

    def __init__(
        self,
        config: ControllerConfig,
        pins: PinsBlock,
        context: ServiceContext,
        records: RecordService,
        fleet_view: FleetView,
        may_use_cold_host: Callable[[int], bool],
    ) -> None:
        self.context = context
        self.records = records
        self.fleet_view = fleet_view
        self.publish_ms = pins.publish_ms
        self.request_classes = tuple(config.operation)
        self.set_capacities: dict[int, float] = {}
        self.hosts: dict[int, PinningHost] = {}
        sets = {release.number: dict(release.versions) for release in config.release.values()}
        limits = pinning_limits(pins, config.budgets.drift)
        self.core = build_version_pinning(
            records.fleet, limits, sets, pins.current, self._capacity_of, self._on_release_change
        )
        carries = {release.number: release.carries for release in config.release.values()}
        self.routes = RoutePlanner(self.request_classes, sets, carries, no_host_policies(config), may_use_cold_host)
        self.rows: dict[int, list[Route]] = {}
        self.live_sets: tuple[int, ...] = ()
        self.planned_at_ms = float("-inf")
        self.plan_stamp: PlanStamp | None = None
        self.is_any_host_warming = False
        self.pending: dict[int, PendingRun] = {}  # by number of the core's query
        peers = records.fleet.queries.peer_ids
        self.rate_limiter = PeerRateLimiter(peers, config.budgets.words_per_s, context.clock())
        self.rejected_messages = 0
        records.listeners.append(self.on_answers)

    @staticmethod
    def is_valid(message: Any) -> bool:
        """Return whether the fields of a message are within the ranges that a correct controller sends."""
        return messages.is_valid(message)

    def _capacity_of(self, number: int) -> float:
        return self.set_capacities.get(number, 0.0)

    def _on_release_change(self, text: str) -> None:
        log.info("release", change=text)

    # ---- queries of proxies --------------------------------------------------------------------------------

    def on_proxy_frame(self, proxy: int, frame: frames.RunQuery) -> None:
        """Handle a proxy's query for the release set of a run, or its notice that the run has ended."""
        client = frame.client or str(proxy)
        now_ms = self.context.clock()
        number = self.core.request_run(now_ms, record_key_of(frame.run), client, has_ended=frame.is_ended)
        self.pending[number] = PendingRun(proxy, frame.query, frame.run, frame.is_ended)
        self.records.schedule_queries()

    def on_proxy_left(self, proxy: int) -> None:
        """Give up the queries of a proxy that has left: another process may have its number when they are answered.

        Ends of runs are still reported.
        """
        for number in [number for number, pending in self.pending.items() if pending.proxy == proxy]:
            if not self.pending.pop(number).has_ended:
                self.core.queries.cancel(number)

    def on_answers(self) -> None:
        """Forward answers of the core to the proxies that sent the queries."""
        for result in self.core.take_answers():
            if pending := self.pending.pop(result.number, None):
                self._reply(pending, result.result, result.value)

    def _reply(self, pending: PendingRun, status: int, number: int) -> None:
        versions = self.core.release_sets.get(number) if status == RunStatus.PINNED else None
        if status == RunStatus.PINNED and versions is None:
            status = RunStatus.UNAVAILABLE  # the set is not configured here; it may be on other controllers
        answer = RUN_ANSWERS[status]
        self.context.metrics.run_answers.labels(answer).inc()
        queries = self.core.queries
        event, now_ms = JournalEvent.RUN_ANSWERED, ActionJournal.now_ms()
        self.records.journal.write(
            event, now_ms, queries.controller_id, queries.incarnation, pending.run, answer, number
        )
        rows = self._version_rows(versions) if versions else []
        frame = frames.RunVersions(pending.query, answer, number, rows, self.register_version)
        self.fleet_view.reply(pending.proxy, frame)

    def _version_rows(self, versions: ReleaseSet) -> list[tuple[int, int]]:
        return [(index, versions[name]) for index, name in enumerate(self.request_classes)]

    # ---- messages of controllers ---------------------------------------------------------------------------

    def on_message(self, sender: int, message: RegisterAnnouncement | RunCountQuery | RunCountReport) -> None:
        """Handle a message on releases, within the rate limit of its sender."""
        now_ms = self.context.clock()
        if self.rate_limiter.try_take(sender, now_ms):
            answers: list[Action] = [*self.core.on_message(sender, message)]
            self.records.persist_and_send(self.records.fleet.in_send_order(now_ms, answers))
        else:
            self.rejected_messages += 1

    @property
    def rejected(self) -> int:
        """Return the number of rejected messages of other controllers."""
        return self.rejected_messages

    # ---- ticks ---------------------------------------------------------------------------------------------

    def on_tick(self, tick: Tick) -> None:
        """Plan routes and execute due work; call it before the tick of the records."""
        if tick.now_ms - self.planned_at_ms >= self.publish_ms:
            self.planned_at_ms = tick.now_ms
            self.plan_routes()
        self.records.due_actions += self.core.tick(tick.now_ms)

    def plan_routes(self) -> None:
        """Compute the routes of all live release sets, and publish those that changed."""
        register = self.core.releases.register
        proxies = self.fleet_view.proxies_supporting(PROTOCOL_FEATURE)
        stamp = PlanStamp(self.fleet_view.change_stamp(), register, tuple(proxies))
        if stamp == self.plan_stamp and not self.is_any_host_warming:
            return
        self.plan_stamp = stamp
        self.hosts = self.fleet_view.hosts()
        self.is_any_host_warming = any(host.capacity_share < 1.0 for host in self.hosts.values())
        self.set_capacities = {
            number: serving_capacity(versions, self.hosts.values())
            for number, versions in self.core.release_sets.items()
        }
        if register is None:
            return
        rows = self.routes.plan(register.live_sets, self.fleet_view.tables(), self.hosts)
        self._publish_changes(rows, register.live_sets, proxies)
        self.rows = rows
        self.live_sets = register.live_sets

    def _publish_changes(self, rows: dict[int, list[Route]], live_sets: tuple[int, ...], proxies: list[int]) -> None:
        if not proxies:
            return
        for number in sorted({*rows, *self.rows}):
            new = rows.get(number, [])
            if self.rows.get(number) != new or live_sets != self.live_sets:
                self.fleet_view.publish(self._routes_frame(number, new, live_sets), max(1, len(new)), proxies)

    def _routes_frame(self, number: int, rows: list[Route], live_sets: tuple[int, ...]) -> frames.RunRoutes:
        hosts = {host for row in rows for host, _ in row[3]}
        addresses = self.fleet_view.addresses(hosts)
        return frames.RunRoutes(number, list(rows), addresses, list(live_sets), self.register_version)

    @property
    def register_version(self) -> int:
        """Return the latest known version of the release register: a fencing token against what it has ended."""
        register = self.core.releases.register
        return register.version if register else 0

    def on_proxy_joined(self, proxy: int) -> None:
        """Send the routes of runs to a proxy that has just received its tables."""
        if proxy in self.fleet_view.proxies_supporting(PROTOCOL_FEATURE):
            for number, rows in self.rows.items():
                self.fleet_view.reply(proxy, self._routes_frame(number, rows, self.live_sets))

    def is_served(self, number: int, request_class: str) -> bool:
        """Return whether an eligible host serves the release set's version of the request class."""
        version = self.core.release_sets.get(number, {}).get(request_class, 0)
        return any(host.is_eligible and host.serves(request_class, version) for host in self.hosts.values())

    # ---- metrics and status --------------------------------------------------------------------------------

    def update_metrics(self) -> None:
        """Set the number of routes without a host."""
        self.context.metrics.routes_without_host.set(self.routes.unserved_count)

    def status(self) -> dict[str, Any]:
        """Return the section `pins` of the status page."""
        return {
            **self.core.status(),
            "stranded_rows": self.routes.unserved_count,
            "carried_rows": self.routes.carried_over_count,
        }

    def reload(self, config: ControllerConfig) -> None:
        """Apply a change of the wanted release set; the sets themselves cannot change."""
        if config.pins and config.pins.current != self.core.wanted_set:
            log.info("release", change=f"set {config.pins.current} wanted")
            self.core.wanted_set = config.pins.current
