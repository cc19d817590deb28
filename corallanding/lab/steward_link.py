"""A stand-in proxy's links to its controllers: connecting, silence timeout, heartbeats and usage reports."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, cast

import msgspec

from ..wire import frames
from .trace import clock

if TYPE_CHECKING:
    from .forwarder import Proxy


class ControllerLink(asyncio.Protocol):
    """The proxy's link to controller `k`."""

    def __init__(self, proxy: Proxy, k: int) -> None:
        self.k = k
        self.proxy, self.reader = proxy, frames.FrameReader(frames.proxy_decoder, 16 << 20)
        self.transport: asyncio.Transport | None = None
        self.last_received = clock()
        self.incoming: deque[tuple[float, Any]] = deque()
        self.next_delivery = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        proxy = self.proxy
        controller = proxy.state.controllers[self.k]
        hello = frames.Hello(
            frames.PROTOCOL_VERSION,
            proxy.number,
            proxy.session,
            proxy.zone,
            proxy.rate,
            not proxy.state.tables,
            controller.incarnation,
            controller.seq,
            proxy.parts,
        )
        self.send(hello)

    def send(self, frame: frames.Frame) -> None:
        proxy = self.proxy
        if (
            self.transport
            and not self.transport.is_closing()
            and proxy.net.delay_ms(proxy.zone, proxy.controller_zone) is not None
        ):
            self.transport.write(frames.encode(frame))

    def data_received(self, data: bytes) -> None:
        proxy = self.proxy
        if proxy.net.delay_ms(proxy.controller_zone, proxy.zone) is None:
            return  # dropped by the partition, after which the stream is unusable
        for frame in self.reader.feed(data):
            self.last_received = clock()
            if isinstance(frame, frames.Orders | frames.Tables):
                proxy.observer.record("frame", msgspec.to_builtins(frame), self.k)
            # Messages are delayed but keep their order; timers alone would reorder those due at the same time.
            delay = float(proxy.delay_random.exponential(proxy.rules.transit)) if proxy.rules.transit else 0.0
            self.next_delivery = max(self.next_delivery, clock() + delay)
            self.incoming.append((self.next_delivery, frame))
        self.deliver()

    def deliver(self) -> None:
        """Handle the frames whose delay has passed."""
        while self.incoming and self.incoming[0][0] <= clock():
            self.proxy.on_message(self, self.incoming.popleft()[1])
        if self.incoming:
            wait = max(0.001, (self.incoming[0][0] - clock()) / 1000.0)
            asyncio.get_running_loop().call_later(wait, self.deliver)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.proxy.links.on_link_lost(self)


class ControllerLinks:
    """One link to each controller of `addresses`, until the proxy stops."""

    def __init__(self, proxy: Proxy, addresses: list[tuple[str, int]]) -> None:
        self.proxy, self.addresses = proxy, addresses
        self.links: list[ControllerLink | None] = [None] * len(addresses)
        self.heartbeat_ms, self.silence_timeout_ms, self.report_interval_ms = 500.0, 2_500.0, 1_000.0

    def send(self, k: int, frame: frames.Frame) -> bool:
        """Send a frame to controller `k`; return False if it is not joined."""
        link = self.links[k] if 0 <= k < len(self.links) else None
        if link is None or link.transport is None or not self.proxy.state.controllers[k].joined:
            return False
        link.send(frame)
        return True

    def cut(self) -> None:
        """Abort all links."""
        for link in self.links:
            if link and link.transport:
                link.transport.abort()

    async def run(self) -> None:
        """Connect to each controller until the proxy stops; abort links without traffic for too long."""
        proxy = self.proxy
        while not proxy.stopped:
            await asyncio.sleep(proxy.rules.redial * float(proxy.chance.uniform(0.7, 1.3)) / 1000.0)
            for k, link in enumerate(self.links):
                if link and link.transport:
                    if clock() - link.last_received > self.silence_timeout_ms:
                        link.transport.abort()
                elif not (proxy.cut_off or proxy.down or proxy.stalled):
                    await self.dial(k)

    async def dial(self, k: int) -> None:
        """Connect to controller `k`, within a second."""
        proxy = self.proxy
        if proxy.net.delay_ms(proxy.zone, proxy.controller_zone) is None:
            return
        loop, link = asyncio.get_running_loop(), ControllerLink(proxy, k)
        self.links[k] = link
        try:
            await asyncio.wait_for(loop.create_connection(lambda: link, *self.addresses[k]), 1.0)
        except (OSError, TimeoutError):
            self.links[k] = None

    async def report(self) -> None:
        """Send heartbeats and usage reports until the proxy stops."""
        proxy, last_heartbeat = self.proxy, 0.0
        while not proxy.stopped:
            await asyncio.sleep(min(self.report_interval_ms, self.heartbeat_ms) / 2000.0)
            if proxy.stalled or not proxy.joined:
                continue
            if clock() - last_heartbeat >= self.heartbeat_ms:
                last_heartbeat = clock()
                for link in self.links:
                    if link and proxy.state.controllers[link.k].joined:
                        link.send(frames.Heartbeat(last_heartbeat))
            if clock() - proxy.sums.window_start >= self.report_interval_ms:
                proxy.sums.send()

    def on_message(self, link: ControllerLink, frame: Any) -> None:
        """Apply a frame, unless its link has been replaced."""
        proxy = self.proxy
        if self.links[link.k] is not link:
            return
        k, controller = link.k, proxy.state.controllers[link.k]
        match frame:
            case frames.Welcome():
                controller.next_incarnation = frame.start_number
                self.heartbeat_ms, self.silence_timeout_ms, self.report_interval_ms = (
                    frame.heartbeat_interval_ms,
                    frame.silence_timeout_ms,
                    frame.report_interval_ms,
                )
                if controller.joined:
                    # A new process took over from the controller: the proxy's state belongs to its incarnation.
                    controller.incarnation = frame.start_number
                    proxy.jobs.on_link_lost(k)  # the new process does not know the queued jobs
            case frames.Tables():
                proxy.state.apply_tables(k, frame)
                if not frame.only_slices:
                    proxy.observer.record("joined", controller.incarnation, k)
                self.on_applied(link, frame.seq, frame.version)
            case frames.Orders():
                proxy.state.apply_orders(k, frame)
                self.on_applied(link, frame.seq, frame.version)
            case frames.HeldTablesRequest():
                tables = [(t, list(lines.items())) for t, lines in proxy.state.tables.items()]
                link.send(frames.HeldTables(controller.incarnation, controller.seq, tables))
            case frames.RunVersions() | frames.RunRoutes():
                proxy.pinned.on_message(k, frame)
            case frames.JobAdmission() | frames.JobRelease():
                proxy.jobs.on_message(k, frame)

    def on_applied(self, link: ControllerLink, seq: int, version: int) -> None:
        """Record and acknowledge an applied message."""
        proxy = self.proxy
        proxy.state.controllers[link.k].seq = seq
        proxy.observer.record("applied", seq, link.k)
        if version >= 0:
            link.send(frames.Ack(version))
        proxy.retry_parked()

    def on_link_lost(self, link: ControllerLink) -> None:
        """Mark the controller as not joined and submit its jobs elsewhere."""
        proxy = self.proxy
        if self.links[link.k] is link:
            self.links[link.k] = None
            if proxy.state.controllers[link.k].joined:
                proxy.state.controllers[link.k].joined = False
                proxy.observer.record("left", link.k)
            proxy.jobs.on_link_lost(link.k)
