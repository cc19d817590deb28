"""A connection to the relay: lines come and go."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..connection import Address, OutboundConnection

LINE_MOST = 1 << 20


class Lines(OutboundConnection):
    """A connection that brings lines: `heard(self, lines)` for each read."""

    def __init__(self, where: Address, heard: Callable[[Any, list[bytes]], None], lost: Callable[[Any], None]) -> None:
        super().__init__(where, lost)
        self.heard = heard
        self.rest = b""
        self.at = 0.0  # when bytes last came, as the owner notes it

    def data_received(self, data: bytes) -> None:
        if not self.is_open:
            return
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > LINE_MOST:
            self.fail(f"a line of over {LINE_MOST} bytes")
            return
        self.heard(self, [line for line in lines if line.strip()])
