"""Encoding of frames: a length prefix of four bytes (big-endian, not counting itself), then one MessagePack array.

The first item of the array is the tag of the frame's kind. All limits are parameters.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Any

import msgspec

from .errors import MalformedFrameError, OversizedFrameError

PROTOCOL_VERSION = 1

LENGTH_BYTES = 4
"""Size of the length prefix of a frame."""

MAX_ERROR_TEXT_CHARS = 180


class Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=False, gc=False):
    """Base of all frames. New fields may be added at the end; older peers ignore them."""


Number = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
SequenceNumber = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
ShortNumber = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
Text = Annotated[str, msgspec.Meta(max_length=200)]
HostWeights = list[tuple[int, float]]
"""The lines of one table: (host, weight)."""

_encoder = msgspec.msgpack.Encoder()


def encode(frame: Frame) -> bytes:
    """Return the encoded frame with its length prefix."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameReader:
    """Decodes a stream of bytes into frames.

    Buffers at most one frame of `max_frame_bytes` and the rest of the last read.
    """

    def __init__(self, decoder: msgspec.msgpack.Decoder[Any], max_frame_bytes: int) -> None:
        self.decoder = decoder
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()
        self.consumed_bytes = 0  # of the buffer, while frames are read

    def feed(self, data: bytes) -> list[Any]:
        """Return the frames that `data` completes, in order.

        Raises `OversizedFrameError` or `MalformedFrameError`; the reader must not be used after that.
        """
        return list(self.frames(data))

    def frames(self, data: bytes) -> Iterator[Any]:
        """Yield the frames that `data` completes, each decoded when it is requested.

        Raises as `feed`. `max_frame_bytes` may be changed between two frames; the iterator must be used up.
        """
        self.buffer += data
        try:
            while (body := self._take_body()) is not None:
                yield self._decode(body)
        finally:
            del self.buffer[: self.consumed_bytes]
            self.consumed_bytes = 0

    def _take_body(self) -> bytes | None:
        """Return the body of the next frame; None while it is incomplete. Raises `OversizedFrameError`."""
        start = self.consumed_bytes + LENGTH_BYTES
        if len(self.buffer) < start:
            return None
        length = int.from_bytes(self.buffer[self.consumed_bytes : start], "big")
        if length > self.max_frame_bytes:
            # Checked before the body arrives: a length prefix alone must not make this side buffer a gigabyte.
            raise OversizedFrameError(f"a frame of {length} bytes; {self.max_frame_bytes} are allowed")
        if len(self.buffer) < start + length:
            return None
        self.consumed_bytes = start + length
        return bytes(self.buffer[start : self.consumed_bytes])

    def _decode(self, body: bytes) -> Any:
        try:
            return self.decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedFrameError(str(error)[:MAX_ERROR_TEXT_CHARS]) from None
