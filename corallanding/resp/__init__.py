"""Parsing and encoding of RESP2 arrays of bulk strings. Pure; limits are arguments.

Each length is checked as soon as its line is complete, before anything is allocated or read for it. A general parser of
the protocol is not used: it allocates an array for the length that a peer states before that length can be checked.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..errors import ProtocolError

MAX_SPLIT_BYTES = 1 << 15  # a larger buffer holds a long message, which is not split into lines each time
MAX_LENGTH_DIGITS = 10  # digits in the length of an array or a bulk string
DEFAULT_MAX_STRINGS = 64
LINE_END = b"\r\n"
MAX_LENGTH_LINE_BYTES = len(b"$") + MAX_LENGTH_DIGITS + len(LINE_END)
ARRAY_LINES = {b"*%d" % length: length for length in range(1, DEFAULT_MAX_STRINGS + 1)}
LENGTH_DIGITS = re.compile(rb"0|[1-9][0-9]*")
INCOMPLETE_LENGTH_LINE = re.compile(rb"((0|[1-9][0-9]{0,%d})\r?)?" % (MAX_LENGTH_DIGITS - 1))


class FrameError(ProtocolError):
    """The bytes are not an array of bulk strings, or exceed a limit. Nothing after them can be parsed."""


class _Length(NamedTuple):
    """A length line such as `$12`: its value, and the offset after its line end."""

    value: int
    end: int


class _Message(NamedTuple):
    """A complete message, and the offset after it."""

    strings: list[bytes]
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
        self.needed_bytes = 0  # the buffer completes nothing before it has this size
        self.error: FrameError | None = None

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Add bytes and return the messages they complete; none after an error."""
        return list(self.messages(data))

    def messages(self, data: bytes) -> Iterator[list[bytes]]:
        """Add bytes and yield the messages they complete; none after an error.

        A message is parsed only when it is requested, so that nothing is spent on what follows an unwanted one. The
        iterator must be used up or closed before more bytes are added.
        """
        if self.error:
            return
        self.buffer += data
        if len(self.buffer) < self.needed_bytes:
            return
        received = bytes(self.buffer)
        lines = received.split(LINE_END) if len(received) <= MAX_SPLIT_BYTES else []
        line_number = 0
        offset = 0
        try:
            while message := self._read_lines(lines, line_number, offset) or self._parse_message(received, offset):
                line_number += received.count(LINE_END, offset, message.end) if lines else 0
                offset = message.end
                yield message.strings
        except FrameError as error:
            self.error = error
            offset = len(received)
        finally:
            del self.buffer[:offset]
            self.needed_bytes -= offset

    def _read_lines(self, lines: list[bytes], first: int, start: int) -> _Message | None:
        """Return the message that begins with line `first` at offset `start`; None if `_parse_message` has to decide.

        This is the usual case, and several times faster: the message is complete, and no string contains a line end.
        """
        if first >= len(lines):
            return None
        length = ARRAY_LINES.get(lines[first], 0)
        end = first + 1 + 2 * length
        if not 1 <= length <= self.max_strings or end >= len(lines):
            return None
        strings = lines[first + 2 : end : 2]
        if lines[first + 1 : end : 2] != [b"$%d" % len(string) for string in strings]:
            return None
        size_bytes = sum(map(len, lines[first:end])) + len(LINE_END) * (end - first)
        return _Message(strings, start + size_bytes) if size_bytes <= self.max_bytes else None

    def _parse_message(self, received: bytes, start: int) -> _Message | None:
        """Parse the message at `start`; return None while it is incomplete. Raises FrameError."""
        array = self._parse_length(received, start, b"*")
        if array is None:
            return None
        if not 1 <= array.value <= self.max_strings:
            raise FrameError(f"array length {array.value} is not allowed")
        strings: list[bytes] = []
        offset = array.end
        while len(strings) < array.value:
            length = self._parse_length(received, offset, b"$")
            if length is None:
                return None
            end = length.end + length.value
            offset = end + len(LINE_END)
            if offset - start > self.max_bytes:
                raise FrameError(f"message exceeds {self.max_bytes} bytes")
            if not LINE_END.startswith(received[end:offset]):
                raise FrameError("bulk string is longer than its length")
            if len(received) < offset:
                self.needed_bytes = offset
                return None
            strings.append(received[length.end : end])
        return _Message(strings, offset)

    def _parse_length(self, received: bytes, offset: int, prefix: bytes) -> _Length | None:
        """Parse a length line that begins with `prefix`; return None while it is incomplete. Raises FrameError."""
        end = received.find(LINE_END, offset, offset + MAX_LENGTH_LINE_BYTES)
        digits = received[offset + len(prefix) : end] if end >= 0 else b""
        if received.startswith(prefix, offset) and LENGTH_DIGITS.fullmatch(digits):
            return _Length(int(digits), end + len(LINE_END))
        line = received[offset : offset + MAX_LENGTH_LINE_BYTES]
        is_incomplete = end < 0 and line.startswith(prefix) and INCOMPLETE_LENGTH_LINE.fullmatch(line, len(prefix))
        if line and not is_incomplete:
            raise FrameError(f"{line!r} instead of a length line that begins with {prefix!r}")
        self.needed_bytes = len(received) + 1
        return None


def encode(strings: Iterable[str]) -> bytes:
    """Return the array of bulk strings as bytes."""
    return _encode_strings([string.encode() for string in strings])


def _encode_strings(strings: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(strings) + b"".join([b"$%d\r\n%s\r\n" % (len(string), string) for string in strings])
