"""Datagrams between stewards, on a socket of our own: reading can stop, and the socket can go to another process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping

import msgspec

from ..endpoints.endpoint_list import loopback

AT_ONCE = 64  # datagrams read in one turn of the loop
PAYLOAD = 256  # bytes
SHARED = b"\xc1"  # before words on members and budgets; no msgpack begins so, and modules pass over it


class PeerTransport:
    """peers: number to "ip:port". `heard(peer, payload)` for each word of a known one; `dropped()` for the rest.

    What comes while reading is held stays in the kernel's buffer, for whoever reads next. Raises OSError if the
    address cannot be had.
    """

    def __init__(
        self,
        me: int,
        listen: str,
        peers: Mapping[str, str],
        heard: Callable[[int, bytes], None],
        dropped: Callable[[], None],
        given: socket.socket | None = None,
    ) -> None:
        self.controller_number, self.on_message, self.on_drop = me, heard, dropped
        self.addresses = {number: loopback(address) for number, address in peers.items()}
        host, port = loopback(listen)
        if given is None:
            given = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
            try:
                given.bind((host, port))
            except OSError:
                given.close()
                raise
        given.setblocking(False)
        self.socket = given
        self.resume()

    def suspend(self) -> None:
        """Stop reading: what comes stays in the kernel's buffer."""
        asyncio.get_running_loop().remove_reader(self.socket)

    def resume(self) -> None:
        """Read again."""
        asyncio.get_running_loop().add_reader(self.socket, self.read)

    def read(self) -> None:
        for _ in range(AT_ONCE):
            try:
                data, origin = self.socket.recvfrom(2048)
            except BlockingIOError:
                return
            except OSError:
                continue  # a peer that is gone refused an earlier word
            try:
                sender, payload = msgspec.msgpack.decode(data, type=tuple[int, bytes])
            except msgspec.DecodeError:
                self.on_drop()
                continue
            # Its number alone would let any process of this machine speak as a steward.
            if origin[:2] != self.addresses.get(str(sender)) or len(payload) > PAYLOAD:
                self.on_drop()
                continue
            self.on_message(sender, payload)

    def send(self, peer: int | None, payload: bytes) -> None:
        """To one, or to all. What the socket does not take is lost, as datagrams may be."""
        data = msgspec.msgpack.encode([self.controller_number, payload])
        for number in self.addresses if peer is None else [str(peer)]:
            if to := self.addresses.get(number):
                try:
                    self.socket.sendto(data, to)
                except OSError:
                    self.on_drop()

    def close(self) -> None:
        self.suspend()
        self.socket.close()
