"""A relay of the datagrams between controllers that can drop, duplicate and delay them in each direction.

Controller a sends datagrams for b to the relay's socket (a, b); they leave from socket (b, a), which b knows as a's
address. So each controller receives from the address in its configuration, as without a relay.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass

MAX_DELAYED = 10_000  # datagrams; more are forwarded without delay


@dataclass(frozen=True)
class LinkFault:
    """A fault of a link. loss, repeat: shares. mean: mean ms of an exponential delay, which also reorders datagrams."""

    cut: bool = False
    loss: float = 0.0
    repeat: float = 0.0
    mean: float = 0.0


class PeerRelay:
    """The relay. listen_ports: port on which each controller of the run receives from its peers, by number."""

    def __init__(self, seed: int, listen_ports: dict[int, int]) -> None:
        self.listen_ports, self.chance = listen_ports, random.Random(f"ways {seed}")
        self.sockets: dict[tuple[int, int], socket.socket] = {}
        self.faults: dict[tuple[int, int], list[LinkFault]] = {}
        self.delayed = 0
        for a in listen_ports:
            for b in listen_ports:
                if a != b:
                    s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    s.bind(("127.0.0.1", 0))
                    s.setblocking(False)
                    self.sockets[a, b] = s

    def peers(self, me: int) -> dict[str, str]:
        """Return the addresses under which controller `me` reaches the others, by number."""
        ports = {b: self.sockets[me, b].getsockname()[1] for b in self.listen_ports if b != me}
        return {str(b): f"127.0.0.1:{port}" for b, port in ports.items()}

    def open(self) -> None:
        """Start forwarding."""
        loop = asyncio.get_running_loop()
        for (a, b), s in self.sockets.items():
            loop.add_reader(s, self.read, a, b, s)

    def close(self) -> None:
        """Stop forwarding and close the sockets."""
        loop = asyncio.get_running_loop()
        for s in self.sockets.values():
            loop.remove_reader(s)
            s.close()
        self.sockets.clear()

    def set(self, pairs: Iterable[tuple[int, int]], fault: LinkFault, on: bool) -> None:
        """Add a fault to links or remove it; a link may have several faults."""
        for pair in pairs:
            active = self.faults.setdefault(pair, [])
            if on:
                active.append(fault)
            elif fault in active:
                active.remove(fault)

    def links_across(self, group: Iterable[int], one_way: bool = False) -> list[tuple[int, int]]:
        """Return the links from the group to the rest, and back unless `one_way`."""
        members = set(group)
        return [
            (a, b)
            for a in self.listen_ports
            for b in self.listen_ports
            if a != b and (a in members) != (b in members) and (not one_way or a in members)
        ]

    def all_links(self) -> list[tuple[int, int]]:
        """Return all links as (sender, receiver)."""
        return [(a, b) for a in self.listen_ports for b in self.listen_ports if a != b]

    def read(self, a: int, b: int, s: socket.socket) -> None:
        """Read datagrams that a sent to b, and apply the faults of the link."""
        for _ in range(64):
            try:
                data = s.recv(2048)
            except BlockingIOError:
                return
            except OSError:
                continue  # b is down: an earlier datagram was rejected
            faults = self.faults.get((a, b), ())
            if any(t.cut or self.chance.random() < t.loss for t in faults):
                continue
            copies = 1 + any(self.chance.random() < t.repeat for t in faults)
            for _ in range(copies):
                delay_ms = sum(t.mean * self.chance.expovariate(1.0) for t in faults if t.mean)
                if delay_ms and self.delayed < MAX_DELAYED:
                    self.delayed += 1
                    asyncio.get_running_loop().call_later(delay_ms / 1000.0, self.forward_delayed, a, b, data)
                else:
                    self.forward(a, b, data)

    def forward_delayed(self, a: int, b: int, data: bytes) -> None:
        """Forward a datagram whose delay has passed."""
        self.delayed -= 1
        self.forward(a, b, data)

    def forward(self, a: int, b: int, data: bytes) -> None:
        """Send a datagram to b from the address that b knows as a's."""
        sender = self.sockets.get((b, a))
        if sender is None:
            return
        with suppress(OSError):  # b is down or its buffer is full: the datagram is lost
            sender.sendto(data, ("127.0.0.1", self.listen_ports[b]))
