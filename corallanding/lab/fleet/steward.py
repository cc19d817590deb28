"""The controller daemon in simulated time, with simulated listener, store and load report intake; the rest is real."""

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
from .loop import SimLoop
from .machine import Machine, Server, Stream

if TYPE_CHECKING:
    from .registry import LocalRegistry


class InMemoryStore:
    """The content of a controller's store file, which outlives its process. While `is_down`, writes fail."""

    def __init__(self) -> None:
        self.incarnation, self.message_number, self.is_down = 0, 0, False
        self.tables: dict[int, dict[int, float]] = {}
        self.host_list: tuple[int, tuple[api.HostEntry, ...], dict[int, str], dict[int, float]] = (0, (), {}, {})


class StoreHandle:
    """One process's access to an `InMemoryStore`, fenced by its incarnation."""

    def __init__(self, store: InMemoryStore) -> None:
        self.store, self.incarnation = store, -1

    def open(self) -> StoreContents:
        """Begin a new incarnation, which fences all earlier handles; return the stored contents."""
        store = self.store
        store.incarnation += 1
        self.incarnation = store.incarnation
        message_number, store.message_number = store.message_number, 0
        version, entries, addresses, starts = store.host_list
        tables = {slice_id: dict(row) for slice_id, row in sorted(store.tables.items()) if row}
        return StoreContents(store.incarnation, message_number, tables, entries, version, dict(addresses), dict(starts))

    def check(self) -> InMemoryStore:
        """Return the store. Raises `StoreLockedError` after a later incarnation, `StoreError` while it is down."""
        if self.incarnation != self.store.incarnation:
            raise StoreLockedError(
                f"locked by incarnation {self.store.incarnation}; this is incarnation {self.incarnation}"
            )
        if self.store.is_down:
            raise StoreError("writes to the store fail")
        return self.store

    def write(self, message_number: int, entries: Sequence[TableEntry], resets: Sequence[int] = ()) -> None:
        """Store table entries, after clearing the tables in `resets`; a weight of zero removes an entry."""
        store = self.check()
        for slice_id in resets:
            store.tables.pop(slice_id, None)
        for slice_id, host, weight in entries:
            row = store.tables.setdefault(slice_id, {})
            if weight > 0:
                row[host] = weight
            else:
                row.pop(host, None)
        store.message_number = message_number

    def save_host_list(
        self,
        version: int,
        entries: Sequence[api.HostEntry],
        addresses: Mapping[int, str],
        started_at_ms: Mapping[int, float],
    ) -> None:
        """Store the host list."""
        self.check().host_list = (version, tuple(entries), dict(addresses), dict(started_at_ms))

    def close(self) -> None:
        """Do nothing: the store needs no closing."""


class SimListener:
    """Replaces the controller's listener; the rate limit of accepted connections is not emulated."""

    def __init__(self, server: Server) -> None:
        self.server, self.sockets = server, server.sockets

    def hold(self, on: bool) -> None:
        """Raise `NotImplementedError`."""
        raise NotImplementedError("handovers are not emulated")

    def close(self) -> None:
        """Stop listening."""
        self.server.close()


class SimIntake(LoadReportIntake):
    """A load report intake on simulated datagrams."""

    def kernel_drops(self) -> int:
        """Return 0: simulated datagrams have no kernel queue."""
        return 0


class SimFeed(LoadReportFeed):
    """The controller's end of an intake that runs as a separate simulated machine."""

    @property
    def loop(self) -> SimLoop:
        """The running loop."""
        return cast(SimLoop, asyncio.get_running_loop())

    async def keep_intake(self, state: FeedState | None, intake_socket: Any) -> None:
        """Run the intake's machine and restart it after it exits, until the feed is stopped."""
        while not self.is_stopped:
            machine = Machine()
            near, far = self.loop.pair(machine.new_context())
            near.attach(self)
            machine.start(self.loop, self.intake(far, machine))
            self.send(["hosts", self.hosts])
            await self.wait_disconnected()
            if not self.is_stopped:
                await asyncio.sleep(0.2)

    async def intake(self, far: Stream, machine: Machine) -> None:
        """Run the intake until it ends; `far` is its end of the stream to the controller."""
        intake = SimIntake(self.settings, lambda: self.loop.now * 1000.0)
        host, port = parse_loopback_address(self.settings["listen"])
        far.attach(intake)
        udp, _ = await self.loop.create_datagram_endpoint(lambda: DatagramReceiver(intake), (host, port))
        await serve(intake, host, port)
        udp.close()
        machine.kill()


class SimController(Controller):
    """A controller on the simulated loop; `registry` replaces the one that the configuration names."""

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
        factories = Factories(listener=self.make_listener, connect_registry=self.connect_registry, feed=SimFeed)
        super().__init__(config, decider, record, None, StoreHandle(store), loop.time, loop.time, factories)

    def make_listener(
        self,
        host: str,
        port: int,
        backlog: int,
        rate: float,
        factory: Callable[[], asyncio.BaseProtocol],
        on_warning: Callable[[str], None],
        inherited: socket.socket | None = None,
    ) -> Any:
        """A listener on the simulated network."""
        return SimListener(self.loop.listen(factory, host, port))

    def connect_registry(self, settings: RegistryBlock, on_warning: Callable[[str], None]) -> Callable[[], Any]:
        """A function that makes clients of the simulated registry."""
        from .registry import LocalEtcdConnection

        assert self.registry
        registry = self.registry
        return lambda: LocalEtcdConnection(registry, settings.timeout_ms)

    async def run_until_stopped(self) -> None:
        """Run until the controller stops."""
        await self.start()
        await self.wait_stopped()
