"""The running steward: owns the loop, the clock and the sockets, and wires the cores together.

What comes in becomes an event of the engine; what the engine hands out is kept, then sent. No decision here.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from importlib.util import find_spec
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop

from .. import interface as api
from ..admin.door import Answer, Door, problem
from ..balance import Assigner
from ..channel import Channel, Overrun
from ..channel import Limits as ChannelLimits
from ..config import ConfigFault, StewardConfig, load_steward
from ..config import settings as settings_of
from ..config.models import LoadReportsBlock, RegistryBlock
from ..probe.prober import Prober
from ..reports.feed import Feed
from ..reports.weigh import changes, weigh
from ..reports.worth import Policy
from ..roster.source import LineRoster, Source
from ..roster.view import View, loopback
from ..snapshot import file as snapshots
from ..snapshot import marks
from ..snapshot.module import load as load_module
from ..store import Life, SqliteStore, Store, StoreFault, StoreHeld
from ..telemetry import Gate, Metrics, configure, log
from ..upgrade.pipe import Pipe, peer_of
from ..wire import frames
from ..wire.link import Limits
from . import engine as core
from . import record
from .handed import Handed, take
from .handover import Given, Giver, Taker, command_of, why_not
from .joins import Joins
from .links import LinkProtocol
from .listen import Listener, descriptors
from .overload import Limits as OverloadLimits
from .peers import Peers
from .record import Recorder, RecordFault
from .revive import Step, StewardState, Unfit, boot_id, capture, check, revive
from .starts import CALM, Starts, advise
from .turns import Decider

if TYPE_CHECKING:
    from ..registry.keeper import Keeper

SPARE_DESCRIPTORS = 200  # for the store, probes, the door, the registry, and links that are being closed
FLUSH = 300.0  # ms that a link may take to send what was written before a handover
RANKED = 300  # lists of marks made ready for a handover at a time: a few milliseconds
AHEAD = 2_000  # marks of the module worked out at a time between steps: a millisecond or two
ORIGIN = 1e9  # ms: where the clock begins, so that a start "long ago" (0) lies further back than any setting


class Clock:
    """Milliseconds since ORIGIN on the monotonic clock; never goes back, whatever it is read from."""

    def __init__(self, source: Callable[[], float] = time.monotonic) -> None:
        self.source, self.zero, self.last = source, source(), ORIGIN

    def __call__(self) -> float:
        self.last = max(self.last, ORIGIN + (self.source() - self.zero) * 1000.0)
        return self.last


def link_limits(c: StewardConfig) -> Limits:
    f = c.forwarders
    return Limits(
        f.frame_most_bytes, f.hello_within_ms, f.silence_ms, f.frames_per_s,
        buffer_most=f.buffer_most_bytes, bytes_per_s=f.bytes_per_s, ack_within=f.ack_within_ms,
    )  # fmt: skip


# What a reload can change while the steward runs; all else needs a restart, and is said to.
RELOADABLE = (
    "log.", "door.connections_most", "door.header_most_bytes", "door.request_within_ms", "probe.timeout_ms",
    "probe.most_in_flight", "probe.most_waiting", "forwarders.frame_most_bytes", "forwarders.hello_within_ms",
    "forwarders.frames_per_s", "forwarders.buffer_most_bytes", "forwarders.bytes_per_s", "forwarders.ack_within_ms",
    "forwarders.reads_per_s", "forwarders.accepts_per_s", "forwarders.strangers_most", "store.retry",
)  # fmt: skip


def flat(value: Any, path: str = "") -> dict[str, Any]:
    if isinstance(value, dict):
        out: dict[str, Any] = {}
        for key, inner in value.items():
            out.update(flat(inner, f"{path}.{key}" if path else str(key)))
        return out
    return {path: value}


class Steward:
    """One steward. `start` raises `StoreFault` or `OSError` if it cannot run; `stopped` ends when it is over."""

    feed_kind: type[Feed] = Feed

    def __init__(
        self, config: StewardConfig, decider: Callable[[api.Settings, int], Decider] = Assigner,
        record: str | None = None, path: str | None = None, store: Store | None = None,
        monotonic: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time,
    ) -> None:  # fmt: skip
        """monotonic, wall: s."""
        self.config, self.path, self.decider, self.wall = config, path, decider, wall
        self.clock, self.metrics = Clock(monotonic), Metrics()
        self.gate = Gate(self.clock)
        self.limits = link_limits(config)
        self.settings = settings_of(config)
        self.store: Store = store or SqliteStore(config.store.path, config.store.sync)
        self.recorder: Recorder | None = None
        self.record = record
        self.links: dict[LinkProtocol, None] = {}
        self.forwarders: dict[int, LinkProtocol] = {}
        self.strangers: dict[LinkProtocol, None] = {}  # links that have not said hello, the oldest first
        f = config.forwarders
        self.joins = Joins(f.reads_per_s, f.again_ms, f.again_most_ms, self.clock())
        self.admitting: asyncio.TimerHandle | None = None
        c = config.channel
        self.channel = Channel(
            ChannelLimits(
                c.rate_lines_per_s, c.head_lines, c.queue_most_lines, c.messages_most, c.messages_span_ms
            )
        )
        self.view = View(config.roster.hosts_most)
        self.prober = Prober(
            self.probed, self.clock, config.probe.path, config.probe.timeout_ms, config.probe.most_in_flight,
            config.probe.most_waiting,
        )  # fmt: skip
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float("inf")
        self.pump_timer: asyncio.TimerHandle | None = None
        self.stepped_at = self.clock()
        self.store_faults = 0
        self.store_fault = ""
        self.store_again = 0.0
        self.roster_dirty = False
        self.servers: list[asyncio.Server | Listener] = []
        self.peers: Peers | None = None
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
        self.listed = False  # a list newer than the saved one has come in this life

    # ---- life ------------------------------------------------------------------------------------------

    async def start(
        self, handed: Handed | None = None, fds: Sequence[int] = (), ranked: Sequence[marks.Row] = ()
    ) -> None:
        """handed, fds, ranked: what the process before this one hands over (`upgrade`)."""
        loop = asyncio.get_running_loop()
        self.stopped = loop.create_future()
        life = self.store.open()
        s, c = self.config.slices, self.config
        charge = range(s.first, s.count if s.last is None else s.last + 1)
        shared = c.registry is not None and c.registry.charge
        if handed:
            state, self.clock.zero, self.log_number = None, handed.state.zero, handed.state.log
            self.stepped_at = self.clock()
        else:
            state = self.last_state(life.number)
        now, wall = self.clock(), self.wall() * 1000.0
        self.engine = core.Engine(
            self.settings, self.seed(life.number), life, () if shared else charge, self.view.addresses, self.decider,
            OverloadLimits(c.steward.late_ms, c.steward.busy_share, c.steward.put_off_most_ms),
        )  # fmt: skip
        self.engine.recall_until = now + c.forwarders.silence_ms * 2 if not shared else now - 1.0
        self.engine.gather.keys_most = c.reports.keys_most
        saved = self.view.restore(now, wall, life.roster_version, life.roster, life.addresses, life.starts)
        self.engine.addresses = self.view.addresses
        revived = handed is not None or (state is not None and self.take_up(state, now))
        if handed:
            self.take_over(handed, now, ranked)
        elif not revived:
            self.engine.begin(now, saved)
        given = Given(fds)
        if self.record:
            # The seed of a life is its own: a restart must not draw the same chances again.
            seed, most = self.seed(life.number), c.record.most_mb * 1e6
            self.recorder = Recorder(self.record, self.settings, seed, most, revived)
        elif handed and handed.recording:
            try:
                self.recorder = Recorder(
                    handed.recording[0], self.settings, 0, c.record.most_mb * 1e6, after=handed.recording[1]
                )
            except OSError as fault:
                log.error("the recording ends here", why=str(fault))
        if c.store.snapshot_path:
            if not revived:
                self.drop_logs(2**63)  # of a life that nothing is left of
            self.keep_state()
        self.metrics.store_well.set(1)
        # What the channel holds is for links that do not stand yet: nothing is said before all of them do.
        self.paused = handed is not None
        self.roster = self.make_source()
        host, port = loopback(c.steward.listen)
        needed = c.forwarders.most + c.forwarders.strangers_most + SPARE_DESCRIPTORS
        if (have := descriptors(needed)) < needed:
            log.warning("few descriptors: not all forwarders can be joined", have=have, needed=needed)
        self.listener = self.make_listener(host, port, given.listening(host, port))
        self.servers.append(self.listener)
        if c.door:
            routes = {"/healthz": self.healthz, "/metrics": self.metrics_page, "/tables": self.tables_page}
            self.door = Door(routes, c.door.connections_most, c.door.header_most_bytes, c.door.request_within_ms)
            host, port = loopback(c.door.listen)
            if sock := given.listening(host, port):
                self.servers.append(await loop.create_server(self.door.protocol, sock=sock))
            else:
                self.servers.append(await loop.create_server(self.door.protocol, host, port))
        if c.steward.peer_listen:
            where = given.listening(*loopback(c.steward.peer_listen), socket.SOCK_DGRAM)
            me, dropped = c.steward.number, self.metrics.peer_drops.inc
            self.peers = Peers(me, c.steward.peer_listen, c.steward.peers, self.peer_said, dropped, where)
        if c.load_reports:
            self.feed = self.make_feed(c.load_reports)
            self.feed.start(handed.feed if handed else None, given.pair())
        self.roster.start()
        if revived and self.settings.list_on_request:
            self.roster.follow(True)
        if c.registry and shared:
            self.keeper = self.make_keeper(c.registry, charge)
            self.keeper.start()
        if c.steward.control:
            await self.open_control(c.steward.control)
        if handed:
            for link, sock in zip(handed.links, given.rest(len(handed.links)), strict=True):
                if sock:
                    await loop.connect_accepted_socket(lambda link=link: LinkProtocol(self, link), sock)  # type: ignore[misc]
            self.greet_all()  # should this process die too, its forwarders must know whose messages they hold
            for f in [f for f in self.engine.joined if f not in self.forwarders]:
                self.channel.leave(f)
                self.engine.leave(now, f)
            for f in self.forwarders:
                self.channel.block(f, False)  # nothing of ours waits in their sockets
            self.paused = False
            self.admit()
            self.pump()
        given.close()
        self.watched_at = self.clock() - c.forwarders.beat_ms / 4.0
        self.watch_links()
        self.wake()
        self.ready = True
        log.info(
            "ready", life=life.number, listen=[s.sockets[0].getsockname()[:2] for s in self.servers],
            slices=len(self.engine.charge), tables=len(life.tables), hosts=len(life.roster),
        )  # fmt: skip

    # ---- handover --------------------------------------------------------------------------------------

    def can_take(self, h: Handed) -> None:
        """Whether this process can go on from there. Raises `Unfit`."""
        check(h.state, self.config.steward.number, self.settings, boot_id(), h.state.life + 1)
        try:
            self.loaded = load_module(self.settings, h.state.module)
        except (ValueError, TypeError) as fault:
            raise Unfit(str(fault)) from None

    def take_over(self, h: Handed, now: float, ranked: Sequence[marks.Row]) -> None:
        v = self.view
        v.version, v.entries = h.version, {e.host: e for e in h.entries}
        v.addresses, v.starts, v.known = dict(h.addresses), dict(h.starts), set(h.known)
        v.origins = {(host, started): since for host, started, since in h.state.origins}
        self.engine.addresses = v.addresses
        take(self.engine, h, self.channel, self.joins, now, self.loaded)
        if self.loaded:
            marks.put(self.loaded.ranks, ranked)
        self.loaded = None
        self.listed, self.factors = True, dict(h.factors)
        self.metrics.factors.set(len(self.factors))

    async def pause(self) -> None:
        """Say nothing and hear nothing from here on; what was written has left, or its link ends."""
        self.paused, self.paused_at = True, self.clock()
        for handle in (self.timer, self.pump_timer, self.admitting):
            if handle:
                handle.cancel()
        self.timer, self.timer_at = None, float("inf")
        self.listener.hold(True)
        if self.feed:
            self.feed.hold()
        if self.peers:
            self.peers.hold(True)
        for output in self.engine.publish(False):
            self.carry_out(self.clock(), output)
        for link in self.links:
            if link.transport:
                link.transport.pause_reading()
        end = self.clock() + FLUSH
        while (full := [x for x in self.links if x.unsent]) and self.clock() < end:
            await asyncio.sleep(0.001)
        for link in full:
            link.end("not-reading", "")

    async def ranked(self) -> list[marks.Row]:
        """The module's lists of marks, a few slices at a time: this process is at work."""
        module = self.engine.module
        if not isinstance(module, Assigner):
            return []
        found, slices = list[marks.Row](), list(module.ranks.rows)
        for k in range(0, len(slices), RANKED):
            found += marks.out(module.ranks, slices[k : k + RANKED])
            await asyncio.sleep(0.001)
        return found

    def let_go(self) -> None:
        """The store is for another process now."""
        self.keep_roster()
        self.store.close()
        self.store_shut = True

    def take_back(self) -> None:
        """Nothing came of the handover. Raises `StoreHeld` if the store is another's; one that cannot be opened, as on
        a full disk, is tried again later, and tables go out unsaved until then."""
        if not self.store_shut:
            self.resume()
            return
        try:
            life = self.store.open()
        except StoreHeld:
            raise
        except StoreFault as fault:
            log.error("the store cannot be opened again; tables go out unsaved", why=str(fault))
            self.store_failed(self.clock(), str(fault), 1)
            self.resume(True)  # nobody can say what the new process did
            return
        spoke = self.reopened(life)
        if spoke:
            # The new one had the store, and may have sent and kept orders before it was ended.
            log.warning("the new process had begun to speak; tables are read again", life=life.number)
            if self.recorder:
                log.error("the recording ends here", why="the new process may have written to it")
                self.recorder.close()
                self.recorder = None
            self.engine.reconcile(self.clock(), life)
        self.resume(spoke)
        self.greet_all()

    def reopened(self, life: Life) -> bool:
        """True if another process had the store since it was let go."""
        self.store_shut = False
        spoke = life.number != self.engine.life.number + 1
        self.engine.life.number = life.number
        return spoke

    def resume(self, anew: bool = False) -> None:
        """Nothing came of the handover: all goes on. anew: forwarders may have heard another; all read again."""
        self.paused = False
        if self.feed:
            self.feed.resume(anew)
        if self.peers:
            self.peers.hold(False)
        if anew:
            for link in [x for x in self.links if x.joined and not x.over]:
                link.joined = False
                self.join(link)
        self.listener.hold(False)
        for link in list(self.links):
            if link.transport and not link.over:
                link.transport.resume_reading()
        self.admit()
        self.pump()
        self.wake()

    async def upgrade(self, command: list[str] | None = None) -> str:
        """Hand over to a new process; why nothing came of it, or "" once it speaks."""
        if self.giving:
            return "a handover is under way"
        if why := why_not(self):
            return why
        self.giving = True
        begun = self.clock()
        try:
            command = command or command_of(str(self.path))
            log.info("handing over", command=" ".join(command))
            giver = Giver(self, command, self.config.steward.upgrade_within_ms)
            why = await giver.run()
            self.successor = giver.process.pid if giver.process else 0
        finally:
            self.giving = False
        if why:
            log.error("handover came to nothing; this process carries on", why=why)
        else:
            now = self.clock()
            log.info("handed over", ms=round(now - begun), silent_ms=round(now - self.paused_at, 1))
        return why

    async def open_control(self, path: str) -> None:
        """The socket that `corallanding upgrade` speaks to: this user's only. Raises OSError."""
        if Path(path).is_socket():
            Path(path).unlink()  # of the process before this one
        elif Path(path).exists():
            raise OSError(f"steward.control: {path} is there, and is no socket")
        self.control = await asyncio.start_unix_server(self.controlled, path)
        os.chmod(path, 0o600)

    async def controlled(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            _, uid = peer_of(writer.get_extra_info("socket"))
            words = (await asyncio.wait_for(reader.readline(), 2.0)).decode("utf-8", "replace").split("\0")
            if uid != os.getuid():
                answer = "failed: another user"
            elif words[0].strip() != "upgrade":
                answer = f"failed: {words[0].strip()[:40]!r} is not known here"
            else:
                why = await self.upgrade([w.strip() for w in words[1:]] or None)
                answer = f"failed: {why}" if why else f"ok: handed over to process {self.successor}"
            writer.write(answer.encode() + b"\n")
            await writer.drain()
        except (OSError, TimeoutError):
            pass
        finally:
            writer.close()

    def last_state(self, life: int) -> StewardState | None:
        """What the last life left; its clock goes on. None if there is nothing that can be used; the log says why."""
        path = self.config.store.snapshot_path
        if not path:
            return None
        if not self.trust_snapshot:
            log.warning("snapshot not used; the tables alone are", why="the last starts ended in deaths soon after")
            return None
        try:
            state = snapshots.read(path, StewardState)
            check(state, self.config.steward.number, self.settings, boot_id(), life)
        except snapshots.Missing:
            return None
        except (snapshots.SnapshotFault, Unfit, OSError) as fault:
            log.warning("snapshot not used; the tables alone are", why=str(fault))
            return None
        self.clock.zero, self.log_number = state.zero, state.log
        self.stepped_at = self.clock()
        return state

    def take_up(self, state: StewardState, now: float) -> bool:
        """Begin where the last life was; false if that cannot be, and the log says why."""
        origins = self.view.origins
        try:
            steps: list[Step] = []
            while (path := Path(self.log_path(self.log_number))).exists():
                steps += record.read(path).steps
                self.log_number += 1
            self.view.origins = {(h, started): since for h, started, since in state.origins}
            count, anew = revive(self.engine, state, steps, now)
        except (Unfit, RecordFault, OSError) as fault:
            log.warning("snapshot not used; the tables alone are", why=str(fault))
            self.view.origins = origins
            return False
        log.info("revived", life=state.life, steps=count, anew=len(anew), age_ms=round(now - state.now))
        return True

    def make_listener(self, host: str, port: int, given: socket.socket | None) -> Listener:
        rate = self.config.forwarders.accepts_per_s
        said = lambda why: self.gate.warn("link not taken", why=why)  # noqa: E731
        return Listener(host, port, 1024, rate, lambda: LinkProtocol(self), said, given)

    def log_path(self, number: int) -> str:
        return f"{self.config.store.snapshot_path}.log.{number}"

    def drop_logs(self, below: int) -> None:
        path = Path(str(self.config.store.snapshot_path))
        for old in path.parent.glob(path.name + ".log.*"):
            if old.suffix[1:].isdigit() and int(old.suffix[1:]) < below:
                old.unlink(missing_ok=True)

    def keep_state(self) -> None:
        """Take a snapshot, and begin the log of what comes after it. Written beside the loop."""
        if self.stopped is None or self.stopped.done():
            return
        loop, c = asyncio.get_running_loop(), self.config.store
        loop.call_later(c.snapshot_every_ms / 1000.0, self.keep_state)
        if self.paused or self.engine.overload.strained or self.state_task and not self.state_task.done():
            return  # the log goes on meanwhile
        begun = self.clock()
        number = self.log_number + 1
        state = self.state(number)
        if state is None or c.snapshot_path is None:
            return
        try:
            fresh = Recorder(self.log_path(number), self.settings, state.module.seed, c.log_most_mb * 1e6, True)
        except OSError as fault:
            self.gate.warn("snapshot not kept", why=str(fault))
            return
        if self.steps_log:
            self.steps_log.close()
        self.steps_log, self.log_number = fresh, number
        data = snapshots.pack(state)
        self.metrics.snapshot_bytes.set(len(data))
        self.metrics.snapshot.observe((self.clock() - begun) / 1000.0)
        self.state_task = loop.create_task(self.write_state(c.snapshot_path, data, number))

    def state(self, log: int) -> StewardState | None:
        """As it stands between two steps; None if the module is not one that can be kept."""
        me = self.config.steward.number
        return capture(self.engine, me, boot_id(), self.clock.zero, self.view.origins, log)

    async def write_state(self, path: str, data: bytes, number: int) -> None:
        def work() -> None:
            snapshots.place(path, data)
            self.drop_logs(number)

        try:
            await asyncio.get_running_loop().run_in_executor(None, work)
        except OSError as fault:
            self.gate.warn("snapshot not kept", why=str(fault))

    def seed(self, life: int) -> int:
        return self.config.steward.seed * 1_000_003 + life

    def make_source(self) -> Source:
        """Where the list of hosts comes from. Raises OSError if a file of it cannot be read."""
        r, g, seed = self.config.roster, self.config.registry, self.config.steward.seed
        if g:
            from ..registry.source import make  # gRPC is imported only where it is asked for

            chance = random.Random(f"{seed}:{self.engine.life.number}").random
            return make(g, self, self.clock, chance, self.dial_registry)
        assert r.address is not None
        return LineRoster(
            r.address, self, lambda: self.view.version, r.mode == "on_request", r.line_most_bytes, r.wait_ms,
            r.wait_most_ms, r.timeout_ms, seed,
        )  # fmt: skip

    def make_keeper(self, g: RegistryBlock, slices: range) -> Keeper:
        """Charge and tables of slices in the registry, shared with other stewards."""
        from ..registry.charge import Terms
        from ..registry.keeper import Keeper
        from ..registry.sync import Limits as SyncLimits

        me, limits = self.config.steward.number, SyncLimits(g.wait_ms, g.wait_most_ms, g.reads_per_min, g.page)
        chance = random.Random(f"{self.config.steward.seed}:{me}:{self.engine.life.number}").random
        dial = self.dial_registry(g, self.said)
        return Keeper(dial, g.base, me, slices, self, self.clock, chance, Terms(g.lease_ms), limits)

    def dial_registry(self, g: RegistryBlock, said: Callable[[str], None]) -> Callable[[], Any]:
        from ..registry.source import etcd

        return etcd(g, said)

    def given(self, slice: int, lines: dict[int, float]) -> None:
        """The registry gave a slice into our charge, with its table as kept there."""
        self.engine.charged(self.clock(), slice, True, lines)
        self.wake()

    def taken(self, slice: int) -> None:
        self.engine.charged(self.clock(), slice, False)
        self.wake()

    def said(self, text: str) -> None:
        self.gate.warn("registry", why=text)

    async def retire(self) -> None:
        """A planned end: slices go to the other stewards first, as long as the settings wait for it."""
        if self.keeper and self.config.registry:
            self.keeper.leave()
            end = self.clock() + self.config.registry.retire_within_ms
            while not self.keeper.empty and self.clock() < end:
                await asyncio.sleep(0.02)
        self.stop()

    def make_feed(self, c: LoadReportsBlock) -> Feed:
        """Raises OSError if the key cannot be read, or the libraries are not there."""
        if not find_spec("xds"):
            raise OSError("load_reports needs the extra: pip install 'corallanding[reports]'")
        key = Path(c.key_file).read_bytes().strip().hex() if c.key_file else ""
        names = ("listen", "sender_rate", "sender_burst", "processes_most", "reports_per_s", "tick_ms")
        conf = {n: getattr(c, n) for n in (*names, "streams_most", "buffer_bytes")}
        policy = Policy(
            c.half_life_ms, c.expiry_ms, c.window_ms, c.step, c.floor, c.busy_from, c.tolerance, c.gain,
            c.reporting_least, c.changes_most, c.stuck_after_ms, processes_most=c.processes_most,
        )  # fmt: skip
        zero = ORIGIN - self.clock.zero * 1000.0
        conf["key"] = key
        return self.feed_kind(conf, policy, self.clock, lambda: self.wall() * 1000.0, zero, self.reweigh, log)

    def reweigh(self) -> None:
        """Factors changed: the module hears of the hosts concerned, by the list that it reads."""
        if self.feed is None or not self.listed:
            return  # before the first list of this life the module would take the change for that list
        before, self.factors = self.factors, self.feed.worth.factors()
        event = changes(self.view.entries, self.view.version, before, self.factors)
        self.metrics.factors.set(len(self.factors))
        if event:
            log.info("load factors", factors={str(h): round(f, 3) for h, f in self.factors.items()})
            self.engine.event(self.clock(), event)
            self.wake()

    def stop(self, code: int = 0) -> None:
        """End cleanly: no new link, a last word to each forwarder, the store closed."""
        if self.stopped is None or self.stopped.done():
            return
        log.info("stopping", code=code)
        for server in self.servers:
            server.close()
        if self.control:
            self.control.close()
        for link in list(self.links):
            link.end("stopping")
        if self.config.door:
            self.door.close()
        self.roster.stop()
        self.prober.stop()
        if self.feed:
            self.feed.stop()
        if self.keeper:
            self.ending = asyncio.get_running_loop().create_task(self.keeper.stop())
        if self.writing:
            self.writing.cancel()
        if self.peers:
            self.peers.close()
        for handle in (self.timer, self.pump_timer, self.admitting):
            if handle:
                handle.cancel()
        self.timer_at = float("-inf")
        self.keep_roster()
        self.store.close()
        for recorder in (self.recorder, self.steps_log):
            if recorder:
                recorder.close()
        self.stopped.set_result(code)

    def reload(self) -> None:
        """Read the configuration again: take what can be taken, and name what cannot."""
        if not self.path:
            return
        try:
            new = load_steward(self.path)
        except ConfigFault as fault:
            log.error("reload refused; the old configuration stands", why=str(fault))
            return
        old_keys, new_keys = flat(self.config.model_dump()), flat(new.model_dump())
        changed = [k for k in sorted(old_keys | new_keys) if old_keys.get(k) != new_keys.get(k)]
        # A block that comes or goes whole needs a restart, whatever its keys.
        taken = [k for k in changed if k.startswith(RELOADABLE) and k in old_keys and k in new_keys]
        merged = self.config.model_dump()
        for key in taken:
            at, (*path, last) = merged, key.split(".")
            for part in path:
                at = at[part]
            at[last] = new_keys[key]
        self.config = StewardConfig.model_validate(merged)
        configure(self.config.log.format, self.config.log.level)
        self.limits = link_limits(self.config)
        f = self.config.forwarders
        self.joins.rate, self.listener.rate = f.reads_per_s, f.accepts_per_s
        for link in self.links:
            link.link.limits = self.limits
            link.link.reader.most = self.limits.frame_most
        p = self.config.probe
        self.prober.timeout, self.prober.most_in_flight = p.timeout_ms, p.most_in_flight
        self.prober.most_waiting = p.most_waiting
        if d := self.config.door:
            self.door.connections, self.door.header_most = d.connections_most, d.header_most_bytes
            self.door.within = d.request_within_ms
        log.info("reloaded", taken=taken, needs_restart=[k for k in changed if k not in taken])

    # ---- turns -----------------------------------------------------------------------------------------

    def wake(self) -> None:
        """A step comes at the engine's next due time, and never sooner than a turn after the last."""
        due = self.engine.next_at(self.clock())
        if due is None or self.stopped is None or self.stopped.done() or self.writing or self.paused:
            return
        at = max(due, self.clock(), self.stepped_at + self.config.steward.turn_ms)
        if at >= self.timer_at:
            return
        if self.timer:
            self.timer.cancel()
        self.timer_at = at
        self.timer = asyncio.get_running_loop().call_later(max(0.0, at - self.clock()) / 1000.0, self.step)

    def step(self) -> None:
        begun = self.clock()
        self.spent = 0.0
        self.metrics.late.observe(max(0.0, begun - self.timer_at) / 1000.0)
        self.timer, self.timer_at, self.stepped_at = None, float("inf"), begun
        self.engine.store_waits = begun < self.store_again
        try:
            writes = self.engine.decide(begun)
        except Exception:
            # A module that fails has no state to go on from: a new life starts from the store.
            log.exception("the module failed")
            self.stop(3)
            return
        assert self.engine.last is not None
        now, events, actions = self.engine.last
        if self.steps_log and (events or actions):
            self.steps_log.step(now, events, actions)
            if self.steps_log.full:
                # A log with a gap must not be taken up: without its snapshot it is nothing.
                log.error("the log of steps ends here; the next snapshot begins another", why=self.steps_log.why)
                Path(str(self.config.store.snapshot_path)).unlink(missing_ok=True)
                self.steps_log.close()
                self.steps_log = None
        if self.recorder and (events or actions):
            self.recorder.step(now, events, actions)
            if self.recorder.full:
                log.error("the recording ends here", why=self.recorder.why)
                self.recorder.close()
                self.recorder = None
        if self.feed:
            for e in events:
                if isinstance(e, api.HostSums):
                    self.feed.worth.seen(e.host, e.tries, e.errored, e.latency)
        if not self.engine.overload.strained:  # detail that can wait
            for kind, count in Counter(type(e).__name__ for e in events).items():
                self.metrics.events.labels(kind).inc(count)
            for kind, count in Counter(type(a).__name__ for a in actions).items():
                self.metrics.actions.labels(kind).inc(count)
        if self.keeper and begun >= self.store_again and (writes.lines or writes.resets):
            # The next step waits for this one's write: what is sent is kept first, there too.
            self.spent = self.clock() - begun
            self.writing = asyncio.get_running_loop().create_task(self.keep_shared(begun))
            return
        stored = not self.store_faults if self.keeper else self.keep(begun, writes)
        self.spent = self.clock() - begun
        self.finish(begun, stored)

    async def keep_shared(self, begun: float) -> None:
        """Write the step's tables to the registry, fenced. What is refused is not sent; what cannot be reached in
        time is sent all the same while the lease surely stands, and written later."""
        assert self.keeper and self.config.registry
        engine, stored = self.engine, False
        tables = {t: dict(engine.state.tables.get(t, {})) for t in engine.unsaved if t in engine.charge}
        try:
            async with asyncio.timeout(self.config.registry.write_within_ms / 1000.0):
                await self.keeper.write(tables)
            stored = True
        except TimeoutError:
            self.shared_fault("no answer in time")
        except Exception as fault:
            if type(fault).__name__ == "Fenced":
                engine.fenced(self.clock())
                log.warning("fenced", why=str(fault))
            self.shared_fault(str(fault))
        if not stored and not self.keeper.charge.may_speak(self.clock()):
            engine.fenced(self.clock())
        if stored:
            self.store_mended()
        self.writing = None
        if self.stopped and not self.stopped.done():
            self.finish(begun, stored)

    def shared_fault(self, why: str) -> None:
        self.store_failed(self.clock(), why, self.store_faults + 1)
        self.gate.warn("registry does not write; tables go out unsaved", why=why)

    def store_failed(self, now: float, why: str, tries: int) -> None:
        """Tries again with a growing, capped wait."""
        s = self.config.store
        wait = min(s.retry_most_ms, s.retry_ms * 2 ** min(tries, 20))
        self.store_faults, self.store_again, self.store_fault = self.store_faults + 1, now + wait, why
        self.metrics.store_faults.inc()
        self.metrics.store_well.set(0)
        asyncio.get_running_loop().call_later(wait / 1000.0 + 0.002, self.retry_store)

    def store_mended(self) -> None:
        self.store_faults, self.store_fault = 0, ""
        self.metrics.store_well.set(1)

    def finish(self, begun: float, stored: bool) -> None:
        """The second half of a step."""
        resumed = self.clock()
        for output in self.engine.publish(stored):
            self.carry_out(begun, output)
        ended = self.clock()
        self.engine.overload.stepped(ended, self.spent + ended - resumed)
        self.metrics.step.observe((ended - begun) / 1000.0)
        self.metrics.unsaved.set(len(self.engine.unsaved))
        self.metrics.dropped_sums.set(self.engine.gather.dropped)
        self.metrics.discarded.set(self.engine.discarded)
        self.pump()
        self.wake()
        if not self.working_ahead:
            self.working_ahead = True
            asyncio.get_running_loop().call_soon(self.ahead)

    def ahead(self) -> None:
        """Between steps, a millisecond or two at a time."""
        going = self.stopped is not None and not self.stopped.done()
        self.working_ahead = going and self.engine.ahead(AHEAD)
        if self.working_ahead:
            asyncio.get_running_loop().call_later(0.001, self.ahead)

    def keep(self, now: float, writes: core.Writes) -> bool:
        """Write to the store; false while it does not take it."""
        if not writes.lines and not writes.resets:
            return not self.store_faults
        if now < self.store_again or self.store_shut:
            return False
        try:
            self.store.write(writes.seq, writes.lines, writes.resets)
        except StoreHeld as fault:
            # Another steward has the slices: what this one says from now on would be a second voice.
            log.error("store taken by another steward", why=str(fault))
            self.stop(4)
            return False
        except StoreFault as fault:
            self.store_failed(now, str(fault), self.store_faults)
            log.error(
                "store does not write; tables go out unsaved", why=str(fault), faults=self.store_faults,
                unsaved=len(self.engine.unsaved),
            )  # fmt: skip
            return False
        if self.store_faults:
            log.info("store writes again", faults=self.store_faults)
            self.store_mended()
        return True

    def retry_store(self) -> None:
        if self.store_shut and not self.paused and not self.open_again():
            return
        self.engine.store_waits = False
        if self.stopped and not self.stopped.done():
            self.wake()

    def open_again(self) -> bool:
        """A store that could not be opened when a handover came to nothing. What forwarders hold is what counts by
        now: it is written whole."""
        try:
            life = self.store.open()
        except StoreHeld as fault:
            log.error("store taken by another steward", why=str(fault))
            self.stop(4)
            return False
        except StoreFault as fault:
            self.store_failed(self.clock(), str(fault), self.store_faults)
            return False
        self.reopened(life)
        tables = self.engine.state.tables
        self.engine.unsaved_resets |= set(life.tables) | set(tables)
        self.engine.unsaved = {t: dict(rows) for t, rows in tables.items()}
        log.info("the store is open again", life=life.number, faults=self.store_faults)
        self.store_mended()
        self.greet_all()
        return True

    def carry_out(self, now: float, output: core.Output) -> None:
        match output:
            case core.Send():
                try:
                    self.channel.submit(
                        now, output.frame, output.lines, output.mark, output.to, output.orders, output.urgent
                    )
                except Overrun as over:
                    for forwarder in over.forwarders:
                        if link := self.forwarders.get(forwarder):
                            self.gate.warn("link cut off", forwarder=forwarder, why="the channel is full")
                            link.end("overrun", "the channel is full: read the store")
            case core.ProbeHost():
                if output.address:
                    self.prober.ask(output.host, output.address)
                else:
                    self.probed(api.ProbeDone(output.host, api.ProbeEnd.UNREACHABLE))
            case core.FollowRoster():
                self.roster.follow(output.on)
            case core.FetchRoster():
                self.roster.fetch()
            case core.ToPeer():
                if self.peers:
                    self.peers.say(output.peer, output.payload)
            case core.Say():
                log.info("note", text=output.text)

    def pump(self) -> None:
        """Send what the channel lets go by now, and come again when it lets go more."""
        if self.paused:
            return
        now = self.clock()
        for forwarder, message in self.channel.due(now):
            link = self.forwarders.get(forwarder)
            if link is None:
                continue
            if message.mark >= 0 and not link.link.marked(message.at, message.mark):
                link.end("no-acks", "too many marks are not acked")
                continue
            link.send(message.frame)
        m = self.metrics
        m.waiting.set(self.channel.waiting)
        m.most_waiting.set(self.channel.most)
        m.lines.inc(self.channel.lines_sent)
        m.messages.inc(self.channel.messages_sent)
        m.overtaken.inc(self.channel.overtaken)
        self.channel.lines_sent = self.channel.messages_sent = self.channel.overtaken = 0
        if self.pump_timer:
            self.pump_timer.cancel()
            self.pump_timer = None
        at = self.channel.next_at(now)
        if at is not None and self.stopped and not self.stopped.done():
            loop = asyncio.get_running_loop()
            self.pump_timer = loop.call_later(max(0.0005, (at - now) / 1000.0), self.pump)

    # ---- forwarders ------------------------------------------------------------------------------------

    def frame(self, link: LinkProtocol, frame: frames.Frame) -> None:
        now = self.clock()
        match frame:
            case frames.Hello():
                self.hello(link, frame)
            case frames.Ack() if link.joined:
                # The link has checked it and knows since when the mark was out.
                number, at = link.link.acks.popleft()
                self.engine.event(now, api.Acked(link.forwarder, number, now - at))
                self.metrics.ack.observe((now - at) / 1000.0)
            case frames.Sums() if link.joined:
                self.engine.sums(now, link.forwarder, frame)
            case frames.Read():
                link.joined = False
                self.joins.ask(now, link.forwarder)
                self.admit()
            case frames.Held():
                if changed := self.engine.held(now, frame):
                    log.warning("tables recalled", forwarder=link.forwarder, seq=frame.seq, slices=len(changed))
                self.join(link)
            case frames.Bye():
                link.end("bye")
        self.wake()

    def takes(self, link: LinkProtocol, takes: bool) -> None:
        """A forwarder's socket takes no more for now, or takes more again."""
        if link.joined and self.forwarders.get(link.forwarder) is link:
            self.channel.block(link.forwarder, not takes)
            if takes:
                self.pump()

    def hello(self, link: LinkProtocol, hello: frames.Hello) -> None:
        if hello.zone >= len(self.config.zones):
            link.end("malformed", f"zone {hello.zone}: there are {len(self.config.zones)}")
            return
        if hello.forwarder >= self.config.forwarders.most:
            link.end("full", f"forwarder {hello.forwarder}: numbers end at {self.config.forwarders.most - 1}")
            return
        former = self.forwarders.get(hello.forwarder)
        if former and former.link.hello and former.link.hello.session != hello.session:
            # Two processes under one number: the one at work stays; silence takes it away soon enough.
            self.gate.warn("forwarder number in use", forwarder=hello.forwarder)
            link.end("number-in-use", "another process holds this number")
            return
        if former:
            former.end("superseded", "the same forwarder joined again")
        self.forwarders[hello.forwarder] = link
        self.strangers.pop(link, None)
        self.joins.ask(self.clock(), hello.forwarder)
        self.admit()

    def admit(self) -> None:
        """Joins are let in at the pace of the settings: each reads all tables."""
        if self.paused:
            return
        now = self.clock()
        for forwarder in self.joins.due(now):
            if (link := self.forwarders.get(forwarder)) and link.link.hello and not link.joined:
                self.welcome(link, link.link.hello)
        if self.admitting:
            self.admitting.cancel()
            self.admitting = None
        if (at := self.joins.next_at(now)) is not None and self.stopped and not self.stopped.done():
            wait = max(0.001, (at - now) / 1000.0)
            self.admitting = asyncio.get_running_loop().call_later(wait, self.admit)

    def greet(self, link: LinkProtocol) -> None:
        c = self.config
        welcome = frames.Welcome(
            frames.VERSION, c.steward.number, self.engine.life.number, c.forwarders.beat_ms,
            c.forwarders.silence_ms, c.reports.every_ms, self.settings.slices,
        )  # fmt: skip
        link.send(frames.encode(welcome))

    def greet_all(self) -> None:
        """The store's life has changed under links that stand."""
        for link in [x for x in self.links if x.joined and not x.over]:
            self.greet(link)

    def welcome(self, link: LinkProtocol, hello: frames.Hello) -> None:
        self.greet(link)
        if self.engine.wants_recall(self.clock(), hello):
            link.link.recalled = True
            link.send(frames.encode(frames.Recall()))
            wait = self.config.forwarders.beat_ms / 1000.0
            asyncio.get_running_loop().call_later(wait, self.join, link)
        else:
            self.join(link)

    def join(self, link: LinkProtocol) -> None:
        """The forwarder gets its tables, and counts as joined from here on."""
        hello = link.link.hello
        if link.over or link.joined or hello is None or self.forwarders.get(link.forwarder) is not link:
            return
        now = self.clock()
        link.joined = True
        link.link.marks.clear()
        self.channel.join(link.forwarder)
        self.channel.block(link.forwarder, link.paused)
        link.send(self.engine.join(now, hello))
        self.metrics.reads.inc()
        self.metrics.links.set(len(self.engine.joined))
        log.info("forwarder joined", forwarder=link.forwarder, zone=hello.zone, fresh=hello.fresh)
        self.wake()

    def gone(self, link: LinkProtocol) -> None:
        """A link is over: its forwarder has left, unless a later link of its has taken the place."""
        self.links.pop(link, None)
        self.strangers.pop(link, None)
        f = link.forwarder
        if self.forwarders.get(f) is link:
            del self.forwarders[f]
            self.joins.forget(f)
            self.channel.leave(f)
            self.engine.leave(self.clock(), f)
            self.metrics.links.set(len(self.engine.joined))
            log.info("forwarder left", forwarder=f)
            self.wake()

    def watch_links(self) -> None:
        """Beats out, silence noticed; a quarter of the beat at a time."""
        if self.stopped is None or self.stopped.done():
            return
        now, beat = self.clock(), self.config.forwarders.beat_ms
        late = max(0.0, now - self.watched_at - beat / 4.0)
        self.engine.overload.lagged(late)
        self.metrics.lag.observe(late / 1000.0)
        self.metrics.put_off.set(self.engine.overload.put_off)
        self.watched_at = now
        if self.engine.overload.strained != self.strained:
            self.strained = not self.strained
            o = self.engine.overload
            log.warning("late: ordinary moves wait" if self.strained else "in time again",
                        lag_ms=round(o.lag, 1), busy=round(o.busy, 2))  # fmt: skip
        data = frames.encode(frames.Beat(now))
        for link in () if self.paused else list(self.links):
            if why := link.link.overdue(now):
                self.gate.warn("link closed", forwarder=link.forwarder, why=why)
                link.end(why.replace(" ", "-"), why)
            elif link.joined and now - link.beat_at >= beat:
                link.beat_at = now
                link.send(data)
        if self.roster_dirty and not self.paused:
            self.keep_roster()
        asyncio.get_running_loop().call_later(beat / 4000.0, self.watch_links)

    # ---- roster, probes, peers -------------------------------------------------------------------------

    def roster_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        now = self.clock()
        before = dict(self.view.addresses)
        event = self.view.take(now, self.wall() * 1000.0, full, version, rows)
        for text in self.view.bad:
            self.metrics.bad_rows.inc()
            self.gate.warn("roster entry left out", why=text)
        self.metrics.roster_version.set(version)
        self.metrics.hosts.set(len(self.view.entries))
        moved = [h for h, a in self.view.addresses.items() if before.get(h, a) != a]
        if moved:
            self.engine.readdress(moved)
        self.listed = True
        if self.feed:
            self.feed.listed(self.view.entries, self.view.starts, self.settings.cold)
            self.factors = self.feed.worth.factors()
            event = weigh(event, self.factors)
        self.engine.event(now, event)
        self.roster_dirty = True
        self.wake()

    def roster_failed(self, why: str) -> None:
        self.metrics.roster_faults.inc()
        self.gate.warn("roster failed", why=why)
        if self.settings.list_on_request:
            self.engine.event(self.clock(), api.Membership(api.ListForm.FAILED, self.view.version))
            self.wake()

    def keep_roster(self) -> None:
        """Keep the list now and then, beside the steps: a crash may lose the last changes of it, no more."""
        if self.clock() < self.store_again:
            return
        entries: Sequence[api.HostEntry] = tuple(self.view.entries.values())
        try:
            self.store.keep_roster(self.view.version, entries, self.view.addresses, self.view.starts)
            self.roster_dirty = False
        except StoreFault as fault:
            self.gate.warn("list not kept", why=str(fault))

    def probed(self, e: api.ProbeDone) -> None:
        self.metrics.probes.labels(e.end.value).inc()
        self.engine.event(self.clock(), e)
        self.wake()

    def peer_said(self, sender: int, payload: bytes) -> None:
        self.engine.event(self.clock(), api.PeerMessage(sender, payload))
        self.wake()

    # ---- door ------------------------------------------------------------------------------------------

    def healthz(self) -> Answer:
        wrong = [f"store: {self.store_fault}"] if self.store_faults else []
        if not self.ready:
            wrong.append("starting")
        return problem(503, "; ".join(wrong)) if wrong else Answer(200, b"ok\n", "text/plain")

    def metrics_page(self) -> Answer:
        if self.feed:
            for end, count in {**self.feed.counts, **vars(self.feed.worth.counts)}.items():
                if end not in ("senders", "waiting"):
                    self.metrics.reports.labels(end).set(count)
            self.metrics.report_senders.set(self.feed.counts.get("senders", 0))
        return Answer(200, self.metrics.text(), "text/plain; version=0.0.4")

    def tables_page(self) -> Answer:
        state = self.engine.state
        page = {
            "life": self.engine.life.number, "seq": self.engine.seq, "cordons": sorted(state.cordons),
            "levels": [[t, bits, a, r] for (t, bits), (a, r) in state.levels.items()],
            "tables": {str(t): {str(h): w for h, w in sorted(row.items())} for t, row in state.tables.items()},
        }  # fmt: skip
        return Answer(200, json.dumps(page).encode() + b"\n")


async def serve(
    path: str, record: str | None, decider: Callable[[api.Settings, int], Decider] = Assigner,
    take_over: int | None = None,
) -> int:  # fmt: skip
    config = load_steward(path)
    configure(config.log.format, config.log.level)
    steward = Steward(config, decider, record, path)
    starts, loop = Starts(f"{config.store.path}.starts"), asyncio.get_running_loop()
    try:
        if take_over is None:
            wall, before = time.time() * 1000.0, starts.read()
            advice = advise(before, wall)
            starts.keep([*before[-advice.count :], wall] if advice.count else [wall])
            steward.trust_snapshot = advice.trust
            if advice.wait:
                log.error("crash loop: waiting before the next try", deaths=advice.count, wait_ms=advice.wait)
                await asyncio.sleep(advice.wait / 1000.0)
            await steward.start()
        else:
            pipe = Pipe(socket.socket(fileno=take_over))
            within = config.steward.upgrade_within_ms
            if not await Taker(pipe, within, config.store.path, steward.can_take, steward.start).run():
                return 6
    except StoreFault as fault:
        log.error("cannot start", why=str(fault))
        return 4
    except OSError as fault:
        log.error("cannot start", why=str(fault))
        return 5
    calm = loop.call_later(CALM / 1000.0, starts.keep, [])
    retiring = list[asyncio.Task[None]]()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: retiring.append(loop.create_task(steward.retire())))
    loop.add_signal_handler(signal.SIGHUP, steward.reload)
    loop.add_signal_handler(signal.SIGUSR2, lambda: retiring.append(loop.create_task(steward.upgrade())))  # type: ignore[arg-type]
    assert steward.stopped is not None
    code = await steward.stopped
    calm.cancel()
    if code == 0:
        starts.keep([])
    await asyncio.sleep(0.05)  # last words of the links
    if steward.handed_over:
        # The sockets are another process's now: nothing here may say goodbye on them.
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)
    return code


def run(
    path: str, record: str | None = None, decider: Callable[[api.Settings, int], Decider] = Assigner,
    take_over: int | None = None,
) -> int:  # fmt: skip
    """The daemon until it ends; its exit code: 0 clean, 2 configuration, 3 module, 4 store, 5 address, 6 nothing came
    of a handover. take_over: the descriptor of a pipe to the process that hands over."""
    try:
        return uvloop.run(serve(path, record, decider, take_over))
    except ConfigFault as fault:
        print(fault, file=sys.stderr)
        return 2
