"""The ways between stewards: a relay of datagrams under each pair, that cuts, loses, repeats, delays, one way only.

Steward a sends what is for b to the relay's socket (a, b); it leaves to b from socket (b, a), which b knows as a's
address. So each hears the other at the address that it was configured with, as without a relay.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass

HELD_MOST = 10_000  # datagrams on their way


@dataclass(frozen=True)
class Trouble:
    """loss, repeat: shares. mean: ms of an exponential delay, so that datagrams overtake one another."""

    cut: bool = False
    loss: float = 0.0
    repeat: float = 0.0
    mean: float = 0.0


class Ways:
    """listen: the port at which each steward that may ever be there hears its peers."""

    def __init__(self, seed: int, listen: dict[int, int]) -> None:
        self.listen, self.chance = listen, random.Random(f"ways {seed}")
        self.sockets: dict[tuple[int, int], socket.socket] = {}
        self.troubles: dict[tuple[int, int], list[Trouble]] = {}
        self.held = 0
        for a in listen:
            for b in listen:
                if a != b:
                    s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    s.bind(("127.0.0.1", 0))
                    s.setblocking(False)
                    self.sockets[a, b] = s

    def peers(self, me: int) -> dict[str, str]:
        """Where `me` finds each other."""
        ports = {b: self.sockets[me, b].getsockname()[1] for b in self.listen if b != me}
        return {str(b): f"127.0.0.1:{port}" for b, port in ports.items()}

    def open(self) -> None:
        loop = asyncio.get_running_loop()
        for (a, b), s in self.sockets.items():
            loop.add_reader(s, self.read, a, b, s)

    def close(self) -> None:
        loop = asyncio.get_running_loop()
        for s in self.sockets.values():
            loop.remove_reader(s)
            s.close()
        self.sockets.clear()

    def set(self, pairs: Iterable[tuple[int, int]], trouble: Trouble, on: bool) -> None:
        """Adds a trouble to some ways, or takes it off; several may lie on one way."""
        for pair in pairs:
            there = self.troubles.setdefault(pair, [])
            if on:
                there.append(trouble)
            elif trouble in there:
                there.remove(trouble)

    def across(self, group: Iterable[int], one_way: bool = False) -> list[tuple[int, int]]:
        """Ways from the group to the rest, and back unless one_way."""
        some = set(group)
        return [
            (a, b)
            for a in self.listen
            for b in self.listen
            if a != b and (a in some) != (b in some) and (not one_way or a in some)
        ]

    def every(self) -> list[tuple[int, int]]:
        return [(a, b) for a in self.listen for b in self.listen if a != b]

    def read(self, a: int, b: int, s: socket.socket) -> None:
        """What a sent to b."""
        for _ in range(64):
            try:
                data = s.recv(2048)
            except BlockingIOError:
                return
            except OSError:
                continue  # b is not there: it refused an earlier one
            troubles = self.troubles.get((a, b), ())
            if any(t.cut or self.chance.random() < t.loss for t in troubles):
                continue
            copies = 1 + any(self.chance.random() < t.repeat for t in troubles)
            for _ in range(copies):
                late = sum(t.mean * self.chance.expovariate(1.0) for t in troubles if t.mean)
                if late and self.held < HELD_MOST:
                    self.held += 1
                    asyncio.get_running_loop().call_later(late / 1000.0, self.let_go, a, b, data)
                else:
                    self.forward(a, b, data)

    def let_go(self, a: int, b: int, data: bytes) -> None:
        self.held -= 1
        self.forward(a, b, data)

    def forward(self, a: int, b: int, data: bytes) -> None:
        out = self.sockets.get((b, a))
        if out is None:
            return
        with suppress(OSError):  # b is not there, or its buffer is full: lost, as datagrams may be
            out.sendto(data, ("127.0.0.1", self.listen[b]))
