"""RESP2 arrays of bulk strings: bytes to messages and back. Pure; limits are arguments."""

from __future__ import annotations

from collections.abc import Iterable

DIGITS_MOST = 10


class BadFrame(Exception):
    """What came is no array of bulk strings, or larger than allowed. Nothing after it can be read."""


class Reader:
    """most: bytes of one message, heads included. words_most: bulk strings in one. Holds at most `most` bytes, and
    what one `feed` brought. Raise `most` any time: it is looked at as bytes come."""

    def __init__(self, most: int, words_most: int = 64) -> None:
        self.most, self.words_most = most, words_most
        self.buffer = bytearray()
        self.fault: BadFrame | None = None

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The messages that are whole by now. `fault` tells of what cannot be read after them: nothing more comes."""
        out: list[list[bytes]] = []
        if self.fault:
            return out
        self.buffer += data
        at = 0
        try:
            while message := self.message(at):
                words, at = message
                out.append(words)
        except BadFrame as fault:
            self.fault, at = fault, len(self.buffer)
        del self.buffer[:at]
        return out

    def message(self, start: int) -> tuple[list[bytes], int] | None:
        """The message that begins at `start` and where it ends; None while it is not whole."""
        if not (head := self.figure(start, b"*")):
            return None
        count, at = head
        if not 1 <= count <= self.words_most:
            raise BadFrame(f"an array of {count}")
        words = []
        for _ in range(count):
            if not (head := self.figure(at, b"$")):
                self.partly(start)
                return None
            length, at = head
            end = at + length
            if end + 2 - start > self.most:
                raise BadFrame(f"a message of over {self.most} bytes")
            if len(self.buffer) < end + 2:
                self.partly(start)
                return None
            if self.buffer[end : end + 2] != b"\r\n":
                raise BadFrame("a bulk string that goes on past its length")
            words.append(bytes(self.buffer[at:end]))
            at = end + 2
        return words, at

    def partly(self, start: int) -> None:
        """A message that is not whole yet."""
        if len(self.buffer) - start > self.most:
            raise BadFrame(f"a message of over {self.most} bytes")

    def figure(self, at: int, sign: bytes) -> tuple[int, int] | None:
        """`sign`, digits, end of line: the figure and where the line ends; None while it is not whole."""
        if len(self.buffer) <= at:
            return None
        if self.buffer[at : at + 1] != sign:
            raise BadFrame(f"{bytes(self.buffer[at : at + 1])!r} where {sign!r} was due")
        end = self.buffer.find(b"\r\n", at + 1, at + DIGITS_MOST + 3)
        digits = bytes(self.buffer[at + 1 : end if end >= 0 else at + DIGITS_MOST + 2])
        if end < 0 and len(digits) <= DIGITS_MOST and (digits.rstrip(b"\r").isdigit() or digits in (b"", b"\r")):
            return None
        if end < 0 or not digits.isdigit():
            raise BadFrame(f"{digits[:DIGITS_MOST]!r} is no length")
        return int(digits), end + 2


def encode(words: Iterable[str]) -> bytes:
    raw = [word.encode() for word in words]
    return b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in raw)
