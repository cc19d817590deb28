"""Datagrams between controllers, on a plain socket: reading can be suspended and the socket handed over."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping

import msgspec

from ..endpoints.endpoint_list import parse_loopback_address
from .step_outputs import MAX_PEER_PAYLOAD_BYTES

MAX_DATAGRAMS_PER_READ = 64  # per turn of the event loop
MAX_DATAGRAM_BYTES = 2048
# First byte of payloads for the cluster services. No MessagePack value starts with it; the assigner ignores it.
CLUSTER_PREFIX = b"\xc1"


class PeerTransport:
    """Sends and receives payloads of other controllers.

    `peers` maps the number of a controller to "ip:port". `on_message` is called with sender and payload for each
    datagram of a known peer, `on_drop` for every other one. Datagrams that arrive while reading is suspended remain in
    the kernel's buffer for the next reader. Raises `OSError` if the address cannot be bound.
    """

    def __init__(
        self,
        controller_number: int,
        listen: str,
        peers: Mapping[str, str],
        on_message: Callable[[int, bytes], None],
        on_drop: Callable[[], None],
        inherited: socket.socket | None = None,
    ) -> None:
        self.controller_number = controller_number
        self.on_message = on_message
        self.on_drop = on_drop
        self.addresses = {number: parse_loopback_address(address) for number, address in peers.items()}
        self.socket = inherited or _bind(listen)
        self.socket.setblocking(False)
        self.resume()

    def suspend(self) -> None:
        """Stop reading; datagrams remain in the kernel's buffer."""
        asyncio.get_running_loop().remove_reader(self.socket)

    def resume(self) -> None:
        """Resume reading."""
        asyncio.get_running_loop().add_reader(self.socket, self._on_readable)

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, origin = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # reports that a peer's closed port refused an earlier datagram
            self._on_datagram(data, origin)

    def _on_datagram(self, data: bytes, origin: tuple[str, int]) -> None:
        try:
            sender, payload = msgspec.msgpack.decode(data, type=tuple[int, bytes])
        except msgspec.DecodeError:
            self.on_drop()
            return
        # The number alone could be forged by any process of this machine, so the address must match it.
        if origin[:2] != self.addresses.get(str(sender)) or len(payload) > MAX_PEER_PAYLOAD_BYTES:
            self.on_drop()
            return
        self.on_message(sender, payload)

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send to one peer, or with `None` to all. Datagrams that the socket does not accept are dropped."""
        data = msgspec.msgpack.encode([self.controller_number, payload])
        for number in self.addresses if peer is None else [str(peer)]:
            address = self.addresses.get(number)
            if address is None:
                continue
            try:
                self.socket.sendto(data, address)
            except OSError:
                self.on_drop()

    def close(self) -> None:
        """Close the socket."""
        self.suspend()
        self.socket.close()


def _bind(listen: str) -> socket.socket:
    """Return a new socket bound to "ip:port"."""
    host, port = parse_loopback_address(listen)
    bound = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound
