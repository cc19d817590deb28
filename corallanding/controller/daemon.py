"""The running steward: owns the loop, the clock and the sockets, and wires the cores together.

What comes in becomes an event of the engine; what the engine hands out is kept, then sent. No decision here. The rooms
that it is made of are listed in `parts`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence

from ..admin.http_server import AdminServer
from ..assignment import Assigner
from ..endpoints.endpoint_list import loopback
from ..snapshot.rankings import StoredRanking
from ..telemetry import log
from .acceptor import raise_descriptor_limit
from .cluster import Cluster
from .components import ORIGIN, Clock
from .config_reload import reload
from .decision_loop import Turning
from .engine import Engine
from .fleet_view import FleetView
from .handover import Passing
from .handover_state import HandoverState
from .host_sources import Hosts
from .inherited_sockets import InheritedSockets
from .overload import OverloadLimits
from .peer_dispatch import PeerDispatcher
from .peer_transport import PeerTransport
from .persistence import Keeping
from .proxy_connections import Joining
from .proxy_protocol import ProxyConnection
from .recorder import Recorder
from .status_views import Pages

__all__ = ["ORIGIN", "Clock", "Controller"]

SPARE_DESCRIPTORS = 200  # for the store, probes, the door, the registry, and links that are being closed


class Controller(Turning, Keeping, Joining, Hosts, Passing, Pages):
    """One steward. `start` raises `StoreFault` or `OSError` if it cannot run; `stopped` ends when it is over."""

    async def start(
        self, handed: HandoverState | None = None, fds: Sequence[int] = (), ranked: Sequence[StoredRanking] = ()
    ) -> None:
        """handed, fds, ranked: what the process before this one hands over (`upgrade`)."""
        loop = asyncio.get_running_loop()
        self.stopped = loop.create_future()
        life = self.store.open()
        s, c = self.config.slices, self.config
        charge = range(s.first, s.count if s.last is None else s.last + 1)
        has_slice_leases = c.registry is not None and c.registry.charge
        if handed:
            state, self.clock.zero, self.log_number = None, handed.controller.clock_zero_s, handed.controller.log_number
            self.stepped_at = self.clock()
        else:
            state = self.last_state(life.start_number)
        now, wall = self.clock(), self.wall() * 1000.0
        self.engine = Engine(
            self.settings,
            self.seed(life.start_number),
            life,
            () if has_slice_leases else charge,
            self.view.addresses,
            self.decider,
            OverloadLimits(c.steward.late_ms, c.steward.busy_share, c.steward.put_off_most_ms),
        )
        self.engine.recall_until = now + c.forwarders.silence_ms * 2 if not has_slice_leases else now - 1.0
        self.engine.usage.max_keys = c.reports.keys_most
        saved = self.view.restore(
            now, wall, life.host_list_version, life.host_entries, life.addresses, life.started_at_ms
        )
        self.engine.publisher.addresses = self.view.addresses
        revived = handed is not None or (state is not None and self.take_up(state, now))
        if handed:
            self.take_over(handed, now, ranked)
        elif not revived:
            self.engine.start(now, saved)
        given = InheritedSockets(fds)
        if self.record:
            # The seed of a life is its own: a restart must not draw the same chances again.
            seed, most = self.seed(life.start_number), c.record.most_mb * 1e6
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
        self.metrics.store_writable.set(1)
        # What the channel holds is for links that do not stand yet: nothing is said before all of them do.
        self.paused = handed is not None
        self.roster = self.make_source()
        host, port = loopback(c.steward.listen)
        needed = c.forwarders.most + c.forwarders.strangers_most + SPARE_DESCRIPTORS
        if (have := raise_descriptor_limit(needed)) < needed:
            log.warning("few descriptors: not all forwarders can be joined", have=have, needed=needed)
        self.listener = self.make_listener(host, port, given.take_listener(host, port))
        self.servers.append(self.listener)
        if c.door:
            routes = {
                "/healthz": self.healthz,
                "/metrics": self.metrics_page,
                "/tables": self.tables_page,
                "/stewards": self.stewards_page,
            }
            self.admin_server = AdminServer(
                routes, c.door.connections_most, c.door.header_most_bytes, c.door.request_within_ms
            )
            host, port = loopback(c.door.listen)
            if sock := given.take_listener(host, port):
                self.servers.append(await loop.create_server(self.admin_server, sock=sock))
            else:
                self.servers.append(await loop.create_server(self.admin_server, host, port))
        if c.steward.peer_listen:
            where = given.take_listener(*loopback(c.steward.peer_listen), socket.SOCK_DGRAM)
            me, dropped = c.steward.number, self.metrics.dropped_peer_datagrams.inc
            self.peers = PeerTransport(me, c.steward.peer_listen, c.steward.peers, self.peer_said, dropped, where)
        self.open_shared()
        if c.load_reports:
            self.feed = self.make_feed(c.load_reports)
            self.feed.start(handed.load_reports if handed else None, given.take_intake())
        self.roster.start()
        if revived and self.settings.polls_host_list:
            self.roster.follow(True)
        if c.registry and has_slice_leases:
            self.keeper = self.make_keeper(c.registry, charge)
            self.keeper.start()
        if c.steward.control:
            await self.open_control(c.steward.control)
        if handed:
            for link, sock in zip(handed.connections, given.take_connections(len(handed.connections)), strict=True):
                if sock:
                    await loop.connect_accepted_socket(lambda link=link: ProxyConnection(self, link), sock)  # type: ignore[misc]
            self.greet_all()  # should this process die too, its forwarders must know whose messages they hold
            for f in [f for f in self.engine.proxy_zones if f not in self.forwarders]:
                self.channel.leave(f)
                self.engine.on_proxy_left(now, f)
            for f in self.forwarders:
                self.channel.block(f, False)  # nothing of ours waits in their sockets
                if self.cluster:
                    self.cluster.on_proxy_joined(f)
            self.paused = False
            self.admit()
            self.pump()
        given.close()
        self.watched_at = self.clock() - c.forwarders.beat_ms / 4.0
        self.watch_links()
        self.wake()
        self.ready = True
        log.info(
            "ready",
            life=life.start_number,
            listen=[s.sockets[0].getsockname()[:2] for s in self.servers],
            slices=len(self.engine.owned_slices),
            tables=len(life.tables),
            hosts=len(life.host_entries),
        )

    def open_shared(self) -> None:
        """Members, budgets and tasks of the fleet, where any is configured. Raises OSError."""
        c = self.config
        if not (c.budget or c.task or c.task_group):
            return
        say = lambda to, data: self.peers.send(to, data) if self.peers else None  # noqa: E731
        self.peer_dispatcher = PeerDispatcher(say, self.metrics.dropped_peer_datagrams.inc)
        keeper = self.office_keeper(c.registry) if c.registry and c.budgets.office == "registry" else None
        self.cluster = Cluster(
            c,
            self.peer_dispatcher,
            self.clock,
            lambda: self.paused,
            self.metrics,
            self.rate_limited_log,
            FleetView(self),
            keeper,
        )
        if self.cluster.quota and isinstance(self.engine.assigner, Assigner):
            self.engine.assigner.publication.may_begin = self.cluster.quota.may_begin
        self.cluster.start()

    async def retire(self) -> None:
        """A planned end: slices go to the other stewards first, as long as the settings wait for it."""
        if self.keeper and self.config.registry:
            self.keeper.leave()
            end = self.clock() + self.config.registry.retire_within_ms
            while not self.keeper.empty and self.clock() < end:
                await asyncio.sleep(0.02)
        self.stop()

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
            link.close("stopping")
        if self.config.door:
            self.admin_server.close()
        self.roster.stop()
        self.prober.stop()
        if self.feed:
            self.feed.stop()
        if self.keeper:
            self.ending = asyncio.get_running_loop().create_task(self.keeper.stop())
        if self.writing:
            self.writing.cancel()
        if self.cluster:
            self.cluster.close(self.handed_over)
            self.cluster = None
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
        """Read the configuration again."""
        reload(self)
