"""The listening address on sockets: thin protocol objects over `core`, on the project's paced listener."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import cast

from .. import interface as api
from ..connection import ReadTimeout
from ..controller.acceptor import Listener
from .core import REJECT, SIGN_OF_LIFE, Intake, Peer

UNREAD_MOST = 4_096  # bytes of answers that a peer may leave unread
JOIN_WITHIN = 1_000.0  # ms


class Link(asyncio.Protocol):
    def __init__(self, door: Door) -> None:
        self.door = door
        self.peer = Peer(door.intake)
        self.owed = 0
        self.timer: ReadTimeout | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=UNREAD_MOST)
        self.timer = self.limit()
        self.door.came(self)

    def limit(self) -> ReadTimeout:
        return ReadTimeout(asyncio.get_running_loop(), JOIN_WITHIN, self.late)

    def data_received(self, data: bytes) -> None:
        heard = self.peer.feed(data)
        if self.peer.zone is not None and self.timer:
            self.timer.cancel()
            self.timer = None
            self.door.joined(self, self.peer.zone)
        if heard.events:
            self.door.heard(heard.events)
        if heard.asked:
            self.owed = min(self.owed + heard.asked, 16)
            self.door.answer(self)
        if heard.over:
            self.end(heard.over, heard.answer)

    def late(self) -> None:
        """Not joined in time. One who asked for a sign of life and was not answered yet stays until it is."""
        self.timer = None
        if not self.owed:
            self.end("not joined in time", REJECT)

    def alive(self) -> None:
        if self.owed and not self.transport.is_closing():
            self.transport.write(SIGN_OF_LIFE * self.owed)
            self.owed = 0
            if self.timer is None and self.peer.zone is None:  # it had its second: no longer
                self.timer = self.limit()

    def pause_writing(self) -> None:
        self.end("leaves answers unread")

    def end(self, why: str, answer: bytes = b"") -> None:
        if not self.transport.is_closing():
            self.door.ended[why] += 1
            if answer:
                self.transport.write(answer)
            # Those that send without end never read what would let an orderly close finish.
            self.transport.abort() if not answer else self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer:
            self.timer.cancel()
        self.door.left(self)


class Door:
    """strangers_most: connections that have not joined, the oldest go first. heard: takes what reports say.

    A zone's collector that comes back is taken while its old connection still seems to stand: that one goes then, past
    `zone_most` of them. Guards against half-open connections that would hold a descriptor for good.
    """

    def __init__(
        self,
        where: tuple[str, int],
        intake: Intake,
        strangers_most: int,
        heard: Callable[[list[api.HostUsageReport | api.SliceUsageReport]], None],
        said: Callable[[str], None],
        zone_most: int = 4,
    ) -> None:
        self.intake, self.heard, self.strangers_most, self.zone_most = intake, heard, strangers_most, zone_most
        self.strangers: dict[Link, None] = {}
        self.collectors: dict[int, list[Link]] = {}
        self.ended: Counter[str] = Counter()
        self.ready = False  # signs of life are given
        # Hundreds that say nothing must be taken to be told to go: none is left waiting in the kernel's queue.
        self.listener = Listener(*where, 1024, 2_000.0, lambda: Link(self), said)

    def came(self, link: Link) -> None:
        self.strangers[link] = None
        while len(self.strangers) > self.strangers_most:
            # One that asked for a sign of life before there is one may be who waits for this steward: it goes last.
            oldest = next((link for link in self.strangers if not link.owed), next(iter(self.strangers)))
            del self.strangers[oldest]
            oldest.end("more strangers than there is room for", REJECT)

    def joined(self, link: Link, zone: int) -> None:
        self.strangers.pop(link, None)
        links = self.collectors.setdefault(zone, [])
        links.append(link)
        while len(links) > self.zone_most:
            links.pop(0).end("a newer collector of its zone")

    def left(self, link: Link) -> None:
        self.strangers.pop(link, None)
        for links in self.collectors.values():
            if link in links:
                links.remove(link)

    def answer(self, link: Link) -> None:
        if self.ready:
            link.alive()

    def open(self) -> None:
        """The steward is fit to be used: answer those that have asked meanwhile."""
        self.ready = True
        for link in [*self.strangers, *(x for links in self.collectors.values() for x in links)]:
            link.alive()

    def close(self) -> None:
        self.listener.close()
