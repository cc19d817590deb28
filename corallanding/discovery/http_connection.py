"""A connection to the platform's discovery agent: HTTP/1.1, one question at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools

from ..connection import Address, OutboundConnection

MOST = 8 << 20  # bytes of an answer


class Conversation(OutboundConnection):
    """answered(self, body, fault): the answer to the question that is open, or what is wrong with it. An answer that no
    question is open for ends the connection: what comes after it would be taken for the next one's."""

    def __init__(
        self, where: Address, answered: Callable[[Any, bytes, str], None], lost: Callable[[Any], None]
    ) -> None:
        super().__init__(where, lost)
        self.answered = answered
        host, port = where
        self.host = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.asking = self.whole = False  # a question is open; its answer is there to the end
        self.keep = True
        self.until_close = False
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()

    def ask(self, path: str) -> None:
        self.asking = True
        self.body.clear()
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {self.host}\r\n\r\n".encode())

    def on_message_begin(self) -> None:
        if not self.asking or self.whole:
            self.fail("an answer to no question")
        self.until_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.until_close = False

    def on_body(self, body: bytes) -> None:
        if self.whole:
            return  # of an answer that nobody asked for
        self.body += body
        if len(self.body) > MOST:
            self.fail(f"an answer of over {MOST} bytes")

    def on_message_complete(self) -> None:
        self.whole, self.keep = True, self.parser.should_keep_alive()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as fault:
            self.fail(f"no HTTP: {fault}")
        if self.whole and self.asking and self.is_open:
            self.conclude()

    def conclude(self) -> None:
        status, body = self.parser.get_status_code(), bytes(self.body)
        self.asking = self.whole = False
        if not self.keep:
            self.discard()
        self.answered(self, body, "" if status == 200 else f"status {status}")

    def connection_lost(self, exc: Exception | None) -> None:
        # Without a length the end of the connection is the end of the body, as HTTP/1.1 has it.
        if self.is_open and self.asking and exc is None and self.until_close and not self.close_reason:
            self.keep = False
            self.conclude()
        super().connection_lost(exc)
