"""RESP2 arrays of bulk strings: bytes to messages and back. Pure; limits are arguments.

hiredis parses complete messages, four times faster than Python code does. It accepts more types than are allowed here
and sets no limit on a message that is still incomplete. So every parsed message is compared with the array of bulk
strings that `encode` would have written, and the incomplete rest is checked here, which rejects an impossible length at
once.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import hiredis

from ..errors import ProtocolError

MAX_LENGTH_DIGITS = 10  # of the length of an array or a bulk string
DEFAULT_MAX_STRINGS = 64


class FrameError(ProtocolError):
    """The bytes are no array of bulk strings, or exceed a limit. Nothing after them can be parsed."""


class _Header(NamedTuple):
    """A length line such as `$12`: its value, and the offset behind its end of line."""

    length: int
    end: int


class Reader:
    """Splits a byte stream into messages.

    `max_bytes` limits one message, headers included; `max_strings` the bulk strings in it. The reader buffers at most
    `max_bytes` and what one `feed` brought. `max_bytes` may be raised at any time. `error` is set once the stream can
    no longer be parsed.
    """

    def __init__(self, max_bytes: int, max_strings: int = DEFAULT_MAX_STRINGS) -> None:
        self.max_bytes = max_bytes
        self.max_strings = max_strings
        self.buffer = bytearray()
        self.parser = hiredis.Reader()
        self.error: FrameError | None = None

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Add bytes and return the messages that are complete by now; none after an error."""
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
            self.error = error if isinstance(error, FrameError) else FrameError(str(error) or "a message of any length")
            self.parser = hiredis.Reader()
            offset = len(self.buffer)
        del self.buffer[:offset]
        return messages

    def _message_bytes(self, strings: object, offset: int) -> int:
        """Return the size of the message at `offset`. Raises FrameError if it is not allowed."""
        if not isinstance(strings, list) or not 1 <= len(strings) <= self.max_strings:
            raise FrameError(f"{str(strings)[:40]!r} where an array was due")
        if not all(type(string) is bytes for string in strings):
            raise FrameError("an array of other things than bulk strings")
        raw = _encode_strings(strings)
        if len(raw) > self.max_bytes:
            raise FrameError(f"a message of over {self.max_bytes} bytes")
        if not self.buffer.startswith(raw, offset):
            raise FrameError("an array of other things than bulk strings")
        return len(raw)

    def _check_incomplete(self, start: int) -> None:
        """Raise FrameError if the bytes from `start` cannot become an allowed message."""
        if len(self.buffer) - start > self.max_bytes:
            raise FrameError(f"a message of over {self.max_bytes} bytes")
        array = self._header(start, b"*")
        if array is None:
            return
        if not 1 <= array.length <= self.max_strings:
            raise FrameError(f"an array of {array.length}")
        offset = array.end
        while string := self._header(offset, b"$"):
            offset = string.end + string.length + len(b"\r\n")
            if offset - start > self.max_bytes:
                raise FrameError(f"a message of over {self.max_bytes} bytes")

    def _header(self, offset: int, sign: bytes) -> _Header | None:
        """Parse a length line that begins with `sign`; None while it is incomplete. Raises FrameError."""
        if len(self.buffer) <= offset:
            return None
        if self.buffer[offset : offset + 1] != sign:
            raise FrameError(f"{bytes(self.buffer[offset : offset + 1])!r} where {sign!r} was due")
        end = self.buffer.find(b"\r\n", offset + 1, offset + MAX_LENGTH_DIGITS + 3)
        if end < 0:
            digits = bytes(self.buffer[offset + 1 : offset + MAX_LENGTH_DIGITS + 2])
            if len(digits) <= MAX_LENGTH_DIGITS and (digits.rstrip(b"\r").isdigit() or digits in (b"", b"\r")):
                return None
        else:
            digits = bytes(self.buffer[offset + 1 : end])
        if end < 0 or not digits.isdigit():
            raise FrameError(f"{digits[:MAX_LENGTH_DIGITS]!r} is no length")
        return _Header(int(digits), end + len(b"\r\n"))


def encode(strings: Iterable[str]) -> bytes:
    """Return the array of bulk strings as bytes."""
    return _encode_strings([string.encode() for string in strings])


def _encode_strings(strings: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(strings) + b"".join([b"$%d\r\n%s\r\n" % (len(string), string) for string in strings])
