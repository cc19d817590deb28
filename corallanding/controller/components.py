"""What the rooms of a steward share: its parts, and what each room asks of the others. No room knows another's inside.

`daemon` puts the rooms together: `turning` (steps), `keeping` (store, snapshots), `joining` (links), `hosts` (lists,
probes, peers), `passing` (handover), `pages` (the door).
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING

from .. import interface as api
from ..assignment import Assigner
from ..channel import Channel
from ..channel import Limits as ChannelLimits
from ..config import ControllerConfig, assigner_settings
from ..endpoints.endpoint_list import View
from ..endpoints.source import Source
from ..health_check.checker import HealthChecker
from ..load_reports.feed import Feed
from ..store import SqliteStore, Store, StoreContents
from ..telemetry import Metrics, RateLimitedLogger
from ..wire import frames
from ..wire.link import Limits
from .acceptor import Listener
from .cluster import Cluster
from .engine import Engine
from .event_inbox import Decider
from .join_admission import JoinAdmission
from .peer_dispatch import PeerDispatcher
from .peer_transport import PeerTransport
from .proxy_protocol import ProxyConnection
from .recorder import Recorder
from .recovery import ControllerState
from .step_outputs import Output, StoreWrites

if TYPE_CHECKING:
    from ..admin.http_server import AdminServer
    from ..registry.table_store import Keeper

ORIGIN = 1e9  # ms: where the clock begins, so that a start "long ago" (0) lies further back than any setting


class Clock:
    """Milliseconds since ORIGIN on the monotonic clock; never goes back, whatever it is read from."""

    def __init__(self, source: Callable[[], float] = time.monotonic) -> None:
        self.source, self.zero, self.last = source, source(), ORIGIN

    def __call__(self) -> float:
        self.last = max(self.last, ORIGIN + (self.source() - self.zero) * 1000.0)
        return self.last


def link_limits(c: ControllerConfig) -> Limits:
    f = c.forwarders
    return Limits(
        f.frame_most_bytes,
        f.hello_within_ms,
        f.silence_ms,
        f.frames_per_s,
        buffer_most=f.buffer_most_bytes,
        bytes_per_s=f.bytes_per_s,
        ack_within=f.ack_within_ms,
    )


class Parts(ABC):
    """One steward's parts. monotonic, wall: s."""

    feed_kind: type[Feed] = Feed
    engine: Engine
    listener: Listener
    roster: Source
    admin_server: AdminServer

    def __init__(
        self,
        config: ControllerConfig,
        decider: Callable[[api.Settings, int], Decider] = Assigner,
        record: str | None = None,
        path: str | None = None,
        store: Store | None = None,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """monotonic, wall: s."""
        self.config, self.path, self.decider, self.wall = config, path, decider, wall
        self.clock, self.metrics = Clock(monotonic), Metrics()
        self.rate_limited_log = RateLimitedLogger(self.clock)
        self.limits = link_limits(config)
        self.settings = assigner_settings(config)
        self.store: Store = store or SqliteStore(config.store.path, config.store.sync)
        self.recorder: Recorder | None = None
        self.record = record
        self.links: dict[ProxyConnection, None] = {}
        self.forwarders: dict[int, ProxyConnection] = {}
        self.strangers: dict[ProxyConnection, None] = {}  # links that have not said hello, the oldest first
        f = config.forwarders
        self.joins = JoinAdmission(f.reads_per_s, f.again_ms, f.again_most_ms, self.clock())
        self.admitting: asyncio.TimerHandle | None = None
        c = config.channel
        self.channel = Channel(
            ChannelLimits(c.rate_lines_per_s, c.head_lines, c.queue_most_lines, c.messages_most, c.messages_span_ms)
        )
        self.view = View(config.roster.hosts_most)
        self.prober = HealthChecker(
            self.probed,
            self.clock,
            config.probe.path,
            config.probe.timeout_ms,
            config.probe.most_in_flight,
            config.probe.most_waiting,
        )
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float("inf")
        self.pump_timer: asyncio.TimerHandle | None = None
        self.stepped_at = self.clock()
        self.store_faults = 0
        self.store_fault = ""
        self.store_again = 0.0
        self.roster_dirty = False
        self.servers: list[asyncio.Server | Listener] = []
        self.peers: PeerTransport | None = None
        self.stopped: asyncio.Future[int] | None = None
        self.ready = False
        self.feed: Feed | None = None
        self.factors: dict[int, float] = {}
        self.keeper: Keeper | None = None
        self.writing: asyncio.Task[None] | None = None
        self.working_ahead = self.strained = self.paused = self.giving = self.handed_over = False
        self.control: asyncio.Server | None = None
        self.paused_at = 0.0
        self.trust_snapshot = True
        self.store_shut = False  # let go for a handover
        self.loaded: Assigner | None = None  # the module of a handover, while it is checked
        self.successor = 0  # the process that took over
        self.steps_log: Recorder | None = None
        self.log_number = 0
        self.state_task: asyncio.Task[None] | None = None
        self.watched_at = self.spent = 0.0
        self.peer_dispatcher: PeerDispatcher | None = None
        self.cluster: Cluster | None = None  # only where budgets or tasks are configured
        self.listed = False  # a list newer than the saved one has come in this life

    # ---- what rooms ask of one another -------------------------------------------------------------------

    @abstractmethod
    def wake(self) -> None: ...

    @abstractmethod
    def carry_out(self, now: float, output: Output) -> None: ...

    @abstractmethod
    def finish(self, begun: float, stored: bool) -> None: ...

    @abstractmethod
    def seed(self, life: int) -> int: ...

    @abstractmethod
    def state(self, log: int) -> ControllerState | None: ...

    @abstractmethod
    def keep(self, now: float, writes: StoreWrites) -> bool: ...

    @abstractmethod
    async def keep_shared(self, begun: float) -> None: ...

    @abstractmethod
    def store_failed(self, now: float, why: str, tries: int) -> None: ...

    @abstractmethod
    def reopened(self, life: StoreContents) -> bool: ...

    @abstractmethod
    def pump(self) -> None: ...

    @abstractmethod
    def frame(self, link: ProxyConnection, frame: frames.Frame) -> None: ...

    @abstractmethod
    def takes(self, link: ProxyConnection, takes: bool) -> None: ...

    @abstractmethod
    def admit(self) -> None: ...

    @abstractmethod
    def greet_all(self) -> None: ...

    @abstractmethod
    def join(self, link: ProxyConnection) -> None: ...

    @abstractmethod
    def gone(self, link: ProxyConnection) -> None: ...

    @abstractmethod
    def keep_roster(self) -> None: ...

    @abstractmethod
    def probed(self, e: api.HealthCheckResult) -> None: ...

    @abstractmethod
    def stop(self, code: int = 0) -> None: ...
