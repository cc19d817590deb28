"""A stand-in forwarder's links to its stewards: dialled, given up when silent, and what goes out on them by time."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, cast

import msgspec

from ..wire import frames
from .trace import clock

if TYPE_CHECKING:
    from .forwarder import Forwarder


class Steward(asyncio.Protocol):
    """The forwarder's link to its steward number `k`."""

    def __init__(self, forwarder: Forwarder, k: int) -> None:
        self.k = k
        self.forwarder, self.reader = forwarder, frames.FrameReader(frames.proxy_decoder, 16 << 20)
        self.transport: asyncio.Transport | None = None
        self.heard = clock()
        self.coming: deque[tuple[float, Any]] = deque()
        self.next_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        f = self.forwarder
        said = f.held.said[self.k]
        hello = frames.Hello(
            frames.PROTOCOL_VERSION,
            f.number,
            f.session,
            f.zone,
            f.rate,
            not f.held.tables,
            said.life,
            said.seq,
            f.parts,
        )
        self.send(hello)

    def send(self, frame: frames.Frame) -> None:
        f = self.forwarder
        if self.transport and not self.transport.is_closing() and f.net.delay_ms(f.zone, f.steward_zone) is not None:
            self.transport.write(frames.encode(frame))

    def data_received(self, data: bytes) -> None:
        f = self.forwarder
        if f.net.delay_ms(f.steward_zone, f.zone) is None:
            return  # the bytes never came; the stream is of no use after the cut
        for frame in self.reader.feed(data):
            self.heard = clock()
            if isinstance(frame, frames.Orders | frames.Tables):
                f.observer.record("frame", msgspec.to_builtins(frame), self.k)
            # The way of a message takes its time, in order (timers alone would swap what falls due together).
            delay = float(f.ways.exponential(f.rules.transit)) if f.rules.transit else 0.0
            self.next_at = max(self.next_at, clock() + delay)
            self.coming.append((self.next_at, frame))
        self.arrive()

    def arrive(self) -> None:
        while self.coming and self.coming[0][0] <= clock():
            self.forwarder.told(self, self.coming.popleft()[1])
        if self.coming:
            wait = max(0.001, (self.coming[0][0] - clock()) / 1000.0)
            asyncio.get_running_loop().call_later(wait, self.arrive)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.forwarder.links.lost(self)


class Links:
    """One link to each steward of `where`, while the forwarder lives."""

    def __init__(self, forwarder: Forwarder, where: list[tuple[str, int]]) -> None:
        self.forwarder, self.where = forwarder, where
        self.to: list[Steward | None] = [None] * len(where)
        self.beat, self.silence, self.report_every = 500.0, 2_500.0, 1_000.0

    def send(self, k: int, frame: frames.Frame) -> bool:
        """False if there is no link on which it could go."""
        link = self.to[k] if 0 <= k < len(self.to) else None
        if link is None or link.transport is None or not self.forwarder.held.said[k].joined:
            return False
        link.send(frame)
        return True

    def cut(self) -> None:
        for link in self.to:
            if link and link.transport:
                link.transport.abort()

    async def run(self) -> None:
        """Dials each steward while it lives, and gives up links that fell silent."""
        f = self.forwarder
        while not f.stopped:
            await asyncio.sleep(f.rules.redial * float(f.chance.uniform(0.7, 1.3)) / 1000.0)
            for k, link in enumerate(self.to):
                if link and link.transport:
                    if clock() - link.heard > self.silence:
                        link.transport.abort()
                elif not (f.cut_off or f.down or f.stalled):
                    await self.dial(k)

    async def dial(self, k: int) -> None:
        f = self.forwarder
        if f.net.delay_ms(f.zone, f.steward_zone) is None:
            return
        loop, link = asyncio.get_running_loop(), Steward(f, k)
        self.to[k] = link
        try:
            await asyncio.wait_for(loop.create_connection(lambda: link, *self.where[k]), 1.0)
        except (OSError, TimeoutError):
            self.to[k] = None

    async def report(self) -> None:
        f, beat = self.forwarder, 0.0
        while not f.stopped:
            await asyncio.sleep(min(self.report_every, self.beat) / 2000.0)
            if f.stalled or not f.joined:
                continue
            if clock() - beat >= self.beat:
                beat = clock()
                for link in self.to:
                    if link and f.held.said[link.k].joined:
                        link.send(frames.Heartbeat(beat))
            if clock() - f.sums.counted >= self.report_every:
                f.sums.send()

    def told(self, link: Steward, frame: Any) -> None:
        f = self.forwarder
        if self.to[link.k] is not link:
            return
        k, said = link.k, f.held.said[link.k]
        match frame:
            case frames.Welcome():
                said.next_life = frame.start_number
                self.beat, self.silence, self.report_every = (
                    frame.heartbeat_interval_ms,
                    frame.silence_timeout_ms,
                    frame.report_interval_ms,
                )
                if said.joined:
                    # Another process of the steward goes on: what we hold is of its life.
                    said.life = frame.start_number
                    f.waits.lost(k)  # and it knows nothing of what waits
            case frames.Tables():
                f.held.whole(k, frame)
                if not frame.only_slices:
                    f.observer.record("joined", said.life, k)
                self.applied(link, frame.seq, frame.version)
            case frames.Orders():
                f.held.orders(k, frame)
                self.applied(link, frame.seq, frame.version)
            case frames.HeldTablesRequest():
                held = [(t, list(lines.items())) for t, lines in f.held.tables.items()]
                link.send(frames.HeldTables(said.life, said.seq, held))
            case frames.RunVersions() | frames.RunRoutes():
                f.pinned.told(k, frame)
            case frames.JobAdmission() | frames.JobRelease():
                f.waits.told(k, frame)

    def applied(self, link: Steward, seq: int, mark: int) -> None:
        f = self.forwarder
        f.held.said[link.k].seq = seq
        f.observer.record("applied", seq, link.k)
        if mark >= 0:
            link.send(frames.Ack(mark))
        f.unpark()

    def lost(self, link: Steward) -> None:
        f = self.forwarder
        if self.to[link.k] is link:
            self.to[link.k] = None
            if f.held.said[link.k].joined:
                f.held.said[link.k].joined = False
                f.observer.record("left", link.k)
            f.waits.lost(link.k)
