"""A connection to the relay that splits the received data into lines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..connection import Address, OutboundConnection

MAX_LINE_BYTES = 1 << 20


class LineConnection(OutboundConnection):
    """Calls `on_lines(connection, lines)` with the complete lines of each read."""

    def __init__(
        self, address: Address, on_lines: Callable[[Any, list[bytes]], None], on_lost: Callable[[Any], None]
    ) -> None:
        super().__init__(address, on_lost)
        self.on_lines = on_lines
        self.received = bytearray()  # the incomplete line
        self.last_received_ms = 0.0  # written by the owner of the connection

    def data_received(self, data: bytes) -> None:
        """Report the complete lines; a line over `MAX_LINE_BYTES` closes the connection.

        Only the new data is searched for line ends, so that a long line in small pieces takes no more time than in one.
        """
        if not self.is_open:
            return
        self.received += data
        lines: list[bytes] = []
        if b"\n" in data:
            *lines, incomplete_line = bytes(self.received).split(b"\n")
            self.received = bytearray(incomplete_line)
        if max(map(len, (*lines, self.received))) > MAX_LINE_BYTES:
            self.fail(f"received a line of over {MAX_LINE_BYTES} bytes")
            return
        self.on_lines(self, [line for line in lines if line.strip()])
