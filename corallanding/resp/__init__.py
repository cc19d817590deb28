"""Parsing and encoding of RESP2 arrays of bulk strings. Pure; limits are arguments.

hiredis parses complete messages, four times faster than Python code does. It accepts more types than are allowed here
and sets no limit on a message that is still incomplete. So every parsed message is compared with the array of bulk
strings that `encode` would have written, and the incomplete rest is checked here, which rejects an invalid length at
once.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import hiredis

from ..errors import ProtocolError

MAX_LENGTH_DIGITS = 10  # digits in the length of an array or a bulk string
DEFAULT_MAX_STRINGS = 64


class FrameError(ProtocolError):
    """The bytes are not an array of bulk strings, or exceed a limit. Nothing after them can be parsed."""


class _Header(NamedTuple):
    """A length line such as `$12`: its value, and the offset after its line end."""

    length: int
    end: int


class Reader:
    """Splits a byte stream into messages.

    `max_bytes` limits one message, headers included; `max_strings` the bulk strings in it. The reader buffers at most
    `max_bytes` plus the data of one `feed`. `max_bytes` may be raised at any time. `error` is set once the stream can
    no longer be parsed.
    """

    def __init__(self, max_bytes: int, max_strings: int = DEFAULT_MAX_STRINGS) -> None:
        self.max_bytes = max_bytes
        self.max_strings = max_strings
        self.buffer = bytearray()
        self.parser = hiredis.Reader()
        self.error: FrameError | None = None

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Add bytes and return the messages they complete; none after an error."""
        messages: list[list[bytes]] = []
        if self.error:
            return messages
        self.buffer += data
        offset = 0
        try:
            self.parser.feed(data)
            while (strings := self.parser.gets()) is not False:
                offset += self._message_bytes(strings, offset)
                messages.append(strings)
            self._check_incomplete(offset)
        except (FrameError, hiredis.ProtocolError, MemoryError) as error:
            self.error = (
                error if isinstance(error, FrameError) else FrameError(str(error) or "message does not fit into memory")
            )
            self.parser = hiredis.Reader()
            offset = len(self.buffer)
        del self.buffer[:offset]
        return messages

    def _message_bytes(self, strings: object, offset: int) -> int:
        """Return the size of the message at `offset`. Raises FrameError if it is not allowed."""
        if not isinstance(strings, list) or not 1 <= len(strings) <= self.max_strings:
            raise FrameError(f"{str(strings)[:40]!r} instead of an array")
        if not all(type(string) is bytes for string in strings):
            raise FrameError("array contains a value that is not a bulk string")
        raw = _encode_strings(strings)
        if len(raw) > self.max_bytes:
            raise FrameError(f"message exceeds {self.max_bytes} bytes")
        if not self.buffer.startswith(raw, offset):
            raise FrameError("array contains a value that is not a bulk string")
        return len(raw)

    def _check_incomplete(self, start: int) -> None:
        """Raise FrameError if the bytes from `start` cannot become an allowed message."""
        if len(self.buffer) - start > self.max_bytes:
            raise FrameError(f"message exceeds {self.max_bytes} bytes")
        array = self._parse_header(start, b"*")
        if array is None:
            return
        if not 1 <= array.length <= self.max_strings:
            raise FrameError(f"array length {array.length} is not allowed")
        offset = array.end
        while bulk_string := self._parse_header(offset, b"$"):
            offset = bulk_string.end + bulk_string.length + len(b"\r\n")
            if offset - start > self.max_bytes:
                raise FrameError(f"message exceeds {self.max_bytes} bytes")

    def _parse_header(self, offset: int, prefix: bytes) -> _Header | None:
        """Parse a length line that begins with `prefix`; return None while it is incomplete. Raises FrameError."""
        if len(self.buffer) <= offset:
            return None
        if self.buffer[offset : offset + 1] != prefix:
            raise FrameError(f"{bytes(self.buffer[offset : offset + 1])!r} instead of {prefix!r}")
        end = self.buffer.find(b"\r\n", offset + 1, offset + MAX_LENGTH_DIGITS + 3)
        if end < 0:
            digits = bytes(self.buffer[offset + 1 : offset + MAX_LENGTH_DIGITS + 2])
            if len(digits) <= MAX_LENGTH_DIGITS and (digits.rstrip(b"\r").isdigit() or digits in (b"", b"\r")):
                return None
        else:
            digits = bytes(self.buffer[offset + 1 : end])
        if end < 0 or not digits.isdigit():
            raise FrameError(f"invalid length {digits[:MAX_LENGTH_DIGITS]!r}")
        return _Header(int(digits), end + len(b"\r\n"))


def encode(strings: Iterable[str]) -> bytes:
    """Return the array of bulk strings as bytes."""
    return _encode_strings([string.encode() for string in strings])


def _encode_strings(strings: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(strings) + b"".join([b"$%d\r\n%s\r\n" % (len(string), string) for string in strings])
