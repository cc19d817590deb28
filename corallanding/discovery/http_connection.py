"""A connection to the platform's discovery service: HTTP/1.1, one request at a time."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import httptools

from ..connection import Address, OutboundConnection

MAX_ANSWER_BYTES = 8 << 20


class HttpConnection(OutboundConnection):
    """Sends requests and reports their answers.

    `on_answer(connection, body, error)` is called with the answer to the open request; `error` is empty on success. An
    unrequested answer closes the connection, since it would be mistaken for the answer to the next request.
    `on_message_begin`, `on_header`, `on_body` and `on_message_complete` are callbacks of the HTTP parser.
    """

    def __init__(
        self, address: Address, on_answer: Callable[[Any, bytes, str], None], on_lost: Callable[[Any], None]
    ) -> None:
        super().__init__(address, on_lost)
        self.on_answer = on_answer
        host, port = address
        self.host_header = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.has_open_request = False
        self.has_complete_answer = False
        self.keeps_alive = True
        self.ends_with_connection = False  # the answer has no length and ends when the connection closes
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.received_bytes = 0  # of the answer to the open request, headers included

    def request(self, path: str) -> None:
        """Send a GET request for `path`."""
        self.has_open_request = True
        self.body.clear()
        self.received_bytes = 0
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {self.host_header}\r\n\r\n".encode())

    def on_message_begin(self) -> None:
        """Close the connection on an unrequested answer."""
        if not self.has_open_request or self.has_complete_answer:
            self.fail("unrequested answer")
        self.ends_with_connection = True

    def on_header(self, name: bytes, _: bytes) -> None:
        """Record whether the header gives the length of the body."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.ends_with_connection = False

    def on_body(self, body: bytes) -> None:
        """Collect the body; `data_received` limits its size."""
        if not self.has_complete_answer:  # else it is the body of an unrequested answer
            self.body += body

    def on_message_complete(self) -> None:
        """Record the end of an answer; it is delivered once all received data is parsed."""
        self.has_complete_answer = True
        self.keeps_alive = self.parser.should_keep_alive()

    def data_received(self, data: bytes) -> None:
        """Parse received data, up to `MAX_ANSWER_BYTES`, and deliver a complete answer."""
        self.received_bytes += len(data)
        if self.received_bytes > MAX_ANSWER_BYTES:
            self.fail(f"answer of over {MAX_ANSWER_BYTES} bytes")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"invalid HTTP: {error}")
        if self.has_complete_answer and self.has_open_request and self.is_open:
            self.deliver_answer()

    def deliver_answer(self) -> None:
        """Report the answer, after discarding a connection that is not kept alive."""
        status = self.parser.get_status_code()
        body = bytes(self.body)
        self.has_open_request = False
        self.has_complete_answer = False
        if not self.keeps_alive:
            self.discard()
        self.on_answer(self, body, "" if status == HTTPStatus.OK else f"status {status}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Deliver a body without a length, which in HTTP/1.1 ends with its connection, then report the loss."""
        is_clean_end = exc is None and not self.close_reason
        if self.is_open and self.has_open_request and self.ends_with_connection and is_clean_end:
            self.keeps_alive = False
            self.deliver_answer()
        super().connection_lost(exc)
