"""Words and descriptors between the two processes of a handover, over a private pair of unix sockets.

Calls block, and belong into a thread. Each word is a length, then MessagePack [word, detail].
"""

from __future__ import annotations

import os
import socket
import struct

import msgspec

MOST = 1 << 30
AT_ONCE = 200  # descriptors a message; the kernel takes 253


class PipeClosedError(Exception):
    """The other side has ended, or what came is no word."""


def peer_credentials(sock: socket.socket) -> tuple[int, int]:
    """(process, user) of the other side, as the kernel says."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    pid, uid, _ = struct.unpack("3i", raw)
    return pid, uid


class HandoverPipe:
    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(True)
        self.sock = sock

    def send_message(self, word: str, detail: bytes = b"") -> None:
        """Raises `Gone`."""
        body = msgspec.msgpack.encode((word, detail))
        try:
            self.sock.sendall(len(body).to_bytes(4, "big") + body)
        except OSError as fault:
            raise PipeClosedError(str(fault)) from None

    def receive_message(self) -> tuple[str, bytes]:
        """Raises `Gone`."""
        length = int.from_bytes(self.take(4), "big")
        if length > MOST:
            raise PipeClosedError(f"a word of {length} bytes")
        try:
            word, detail = msgspec.msgpack.decode(self.take(length), type=tuple[str, bytes])
        except msgspec.DecodeError as fault:
            raise PipeClosedError(str(fault)) from None
        return word, detail

    def take(self, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            try:
                got = self.sock.recv(min(size - len(data), 1 << 20))
            except OSError as fault:
                raise PipeClosedError(str(fault)) from None
            if not got:
                raise PipeClosedError("the other side has ended")
            data += got
        return bytes(data)

    def send_descriptors(self, fds: list[int]) -> None:
        """Descriptors, in order. Raises `Gone`."""
        for at in range(0, len(fds), AT_ONCE):
            try:
                socket.send_fds(self.sock, [b"F"], fds[at : at + AT_ONCE])
            except OSError as fault:
                raise PipeClosedError(str(fault)) from None

    def receive_descriptors(self, count: int) -> list[int]:
        """As many as were given; all are closed if they do not come whole. Raises `Gone`."""
        found: list[int] = []
        try:
            while len(found) < count:
                data, fds, flags, _ = socket.recv_fds(self.sock, 1, AT_ONCE)
                found += fds
                if not data or not fds or flags & socket.MSG_CTRUNC:
                    raise PipeClosedError(f"{len(found)} of {count} descriptors came")
        except (OSError, PipeClosedError) as fault:
            for fd in found:
                os.close(fd)
            raise PipeClosedError(str(fault)) from None
        return found

    def close(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread that reads
        except OSError:
            pass
        self.sock.close()
