"""Transport of messages and file descriptors between the two processes of a handover, over a private Unix socket pair.

All calls block; run them in a thread. A message is its length in four bytes, followed by MessagePack [name, detail].
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from typing import NamedTuple

import msgspec

from ..errors import ConnectionLostError

LENGTH_BYTES = 4
MAX_MESSAGE_BYTES = 1 << 30
MAX_READ_BYTES = 1 << 20
MAX_DESCRIPTORS_PER_MESSAGE = 200  # the kernel accepts up to 253
DESCRIPTORS_PAYLOAD = b"F"  # descriptors need at least one byte of ordinary data
CREDENTIALS_FORMAT = "3i"  # struct ucred: process id, user id, group id


class PipeClosedError(ConnectionLostError):
    """The other process closed the pipe, or the data received is not a valid message."""


class PeerCredentials(NamedTuple):
    """Process id and user id of the peer of a Unix socket, as reported by the kernel."""

    process_id: int
    user_id: int


class PipeMessage(NamedTuple):
    """One message; the encoding of `detail` depends on `name`."""

    name: str
    detail: bytes


def peer_credentials(sock: socket.socket) -> PeerCredentials:
    """Return the credentials of the peer of a Unix socket."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize(CREDENTIALS_FORMAT))
    process_id, user_id, _ = struct.unpack(CREDENTIALS_FORMAT, raw)
    return PeerCredentials(process_id, user_id)


class HandoverPipe:
    """One end of the pipe. Every method except `close` can raise `PipeClosedError`."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(True)
        self.socket = sock

    def send_message(self, name: str, detail: bytes = b"") -> None:
        """Send one message."""
        body = msgspec.msgpack.encode((name, detail))
        try:
            self.socket.sendall(len(body).to_bytes(LENGTH_BYTES, "big") + body)
        except OSError as error:
            raise PipeClosedError(str(error)) from None

    def receive_message(self) -> PipeMessage:
        """Wait for one message."""
        length = int.from_bytes(self._read_exactly(LENGTH_BYTES), "big")
        if length > MAX_MESSAGE_BYTES:
            raise PipeClosedError(f"message of {length} bytes is too long")
        try:
            name, detail = msgspec.msgpack.decode(self._read_exactly(length), type=tuple[str, bytes])
        except msgspec.DecodeError as error:
            raise PipeClosedError(str(error)) from None
        return PipeMessage(name, detail)

    def _read_exactly(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            try:
                chunk = self.socket.recv(min(size - len(data), MAX_READ_BYTES))
            except OSError as error:
                raise PipeClosedError(str(error)) from None
            if not chunk:
                raise PipeClosedError("the other process closed the pipe")
            data += chunk
        return bytes(data)

    def send_descriptors(self, descriptors: list[int]) -> None:
        """Send file descriptors, in order."""
        for start in range(0, len(descriptors), MAX_DESCRIPTORS_PER_MESSAGE):
            try:
                socket.send_fds(
                    self.socket, [DESCRIPTORS_PAYLOAD], descriptors[start : start + MAX_DESCRIPTORS_PER_MESSAGE]
                )
            except OSError as error:
                raise PipeClosedError(str(error)) from None

    def receive_descriptors(self, count: int) -> list[int]:
        """Wait for `count` file descriptors; on failure, close those already received."""
        received: list[int] = []
        try:
            while len(received) < count:
                self._receive_some(received, count)
        except (OSError, PipeClosedError) as error:
            for descriptor in received:
                os.close(descriptor)
            raise PipeClosedError(str(error)) from None
        return received

    def _receive_some(self, received: list[int], count: int) -> None:
        """Append the descriptors of one message to `received`."""
        data, descriptors, flags, _ = socket.recv_fds(self.socket, 1, MAX_DESCRIPTORS_PER_MESSAGE)
        received += descriptors
        if not data or not descriptors or flags & socket.MSG_CTRUNC:
            raise PipeClosedError(f"received {len(received)} of {count} file descriptors")

    def close(self) -> None:
        """Close this end and unblock a thread that is reading from it."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
