"""A connection to the relay that carries lines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..connection import Address, OutboundConnection

MAX_LINE_BYTES = 1 << 20


class LineConnection(OutboundConnection):
    """Splits what comes into lines; `on_lines(connection, lines)` is called for each read."""

    def __init__(
        self, address: Address, on_lines: Callable[[Any, list[bytes]], None], on_lost: Callable[[Any], None]
    ) -> None:
        super().__init__(address, on_lost)
        self.on_lines = on_lines
        self.incomplete_line = b""
        self.last_received_ms = 0.0  # set by the owner

    def data_received(self, data: bytes) -> None:
        """Report the lines that are complete; one that is too long ends the connection."""
        if not self.is_open:
            return
        *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\n")
        if len(self.incomplete_line) > MAX_LINE_BYTES:
            self.fail(f"a line of over {MAX_LINE_BYTES} bytes")
            return
        self.on_lines(self, [line for line in lines if line.strip()])
