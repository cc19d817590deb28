"""The daemon in simulated time: its listener and its store are objects; everything else is as it runs on sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any, cast

from ... import interface as api
from ...config import ControllerConfig
from ...config.sources import RegistryBlock
from ...controller.daemon import Controller
from ...controller.event_inbox import Decider
from ...controller.factories import Factories
from ...endpoints.endpoint_list import parse_loopback_address
from ...load_reports.feed import LoadReportFeed
from ...load_reports.intake import LoadReportIntake, serve
from ...load_reports.receivers import DatagramReceiver
from ...load_reports.state import FeedState
from ...store import StoreContents, StoreError, StoreLockedError, TableEntry
from .loop import Machine, Server, SimLoop, Stream

if TYPE_CHECKING:
    from .registry import LocalRegistry


class InMemoryStore:
    """What the store's file is to a daemon: it outlives the process. `down`: writes fail meanwhile."""

    def __init__(self) -> None:
        self.life, self.seq, self.down = 0, 0, False
        self.tables: dict[int, dict[int, float]] = {}
        self.roster: tuple[int, tuple[api.HostEntry, ...], dict[int, str], dict[int, float]] = (0, (), {}, {})


class Handle:
    """One process's hold on a `MemoryStore`, fenced by its life."""

    def __init__(self, store: InMemoryStore) -> None:
        self.store, self.life = store, -1

    def open(self) -> StoreContents:
        s = self.store
        s.life += 1
        self.life = s.life
        seq, s.seq = s.seq, 0
        version, entries, addresses, starts = s.roster
        tables = {t: dict(row) for t, row in sorted(s.tables.items()) if row}
        return StoreContents(s.life, seq, tables, entries, version, dict(addresses), dict(starts))

    def check(self) -> InMemoryStore:
        if self.life != self.store.life:
            raise StoreLockedError(f"taken by a later steward (life {self.store.life}, this is {self.life})")
        if self.store.down:
            raise StoreError("the store does not write")
        return self.store

    def write(self, message_number: int, entries: Sequence[TableEntry], resets: Sequence[int] = ()) -> None:
        s = self.check()
        for t in resets:
            s.tables.pop(t, None)
        for t, host, weight in entries:
            row = s.tables.setdefault(t, {})
            if weight > 0:
                row[host] = weight
            else:
                row.pop(host, None)
        s.seq = message_number

    def save_host_list(
        self,
        version: int,
        entries: Sequence[api.HostEntry],
        addresses: Mapping[int, str],
        started_at_ms: Mapping[int, float],
    ) -> None:
        self.check().roster = (version, tuple(entries), dict(addresses), dict(started_at_ms))

    def close(self) -> None:
        """The next one may open it."""


class SimListener:
    """Stands for `steward.listen.Listener`; the pace of accepting is not emulated."""

    def __init__(self, server: Server) -> None:
        self.server, self.sockets = server, server.sockets

    def hold(self, on: bool) -> None:
        raise NotImplementedError("handovers are not emulated")

    def close(self) -> None:
        self.server.close()


class SimIntake(LoadReportIntake):
    def kernel_drops(self) -> int:
        return 0


class SimFeed(LoadReportFeed):
    """The steward's end of an intake that is a machine of its own."""

    @property
    def loop(self) -> SimLoop:
        return cast(SimLoop, asyncio.get_running_loop())

    async def keep_intake(self, state: FeedState | None, intake_socket: Any) -> None:
        while not self.is_stopped:
            machine = Machine()
            near, far = self.loop.pair(machine.inside())
            near.begin(self)
            machine.start(self.loop, self.intake(far, machine))
            self.send(["hosts", self.hosts])
            await self.wait_disconnected()
            if not self.is_stopped:
                await asyncio.sleep(0.2)

    async def intake(self, far: Stream, machine: Machine) -> None:
        intake = SimIntake(self.settings, lambda: self.loop.now * 1000.0)
        host, port = parse_loopback_address(self.settings["listen"])
        far.begin(intake)
        udp, _ = await self.loop.create_datagram_endpoint(lambda: DatagramReceiver(intake), (host, port))
        await serve(intake, host, port)
        udp.close()
        machine.kill()


class SimController(Controller):
    """A controller on the simulated loop. registry: reached without a network, where the configuration asks for one."""

    def __init__(
        self,
        loop: SimLoop,
        config: ControllerConfig,
        decider: Callable[[api.Settings, int], Decider],
        store: InMemoryStore,
        record: str | None = None,
        registry: LocalRegistry | None = None,
    ) -> None:
        self.loop = loop
        self.registry = registry
        factories = Factories(listener=self.make_listener, dial_registry=self.dial_registry, feed=SimFeed)
        super().__init__(config, decider, record, None, Handle(store), loop.time, loop.time, factories)

    def make_listener(
        self,
        host: str,
        port: int,
        backlog: int,
        rate: float,
        factory: Callable[[], asyncio.Protocol],
        on_warning: Callable[[str], None],
        inherited: socket.socket | None = None,
    ) -> Any:
        """A listener on the simulated network."""
        return SimListener(self.loop.listen(factory, host, port))

    def dial_registry(self, g: RegistryBlock, said: Callable[[str], None]) -> Callable[[], Any]:
        """A function that makes clients of the simulated registry."""
        from .registry import LocalClient

        assert self.registry
        registry = self.registry
        return lambda: LocalClient(registry, g.timeout_ms)

    async def live(self) -> None:
        """Run until the controller stops."""
        await self.start()
        await self.wait_stopped()
