"""Errors for a peer that breaks the protocol. Their codes are sent to the peer when its link is closed."""

from __future__ import annotations

from typing import ClassVar

from ..errors import ProtocolError


class LinkError(ProtocolError):
    """A peer broke the protocol: its link is closed with `code` and the text of this error. Other links go on."""

    code: ClassVar[str] = "protocol"


class MalformedFrameError(LinkError):
    """Bytes that are no frame, or a frame with a field outside the bounds of the protocol."""

    code: ClassVar[str] = "malformed"


class OversizedFrameError(LinkError):
    """A frame longer than the configured limit."""

    code: ClassVar[str] = "oversized"


class UnexpectedFrameError(LinkError):
    """A frame of a known kind that must not come now, or not from this side."""

    code: ClassVar[str] = "out-of-place"


class UnsupportedVersionError(LinkError):
    """A hello of a protocol version that this side does not support."""

    code: ClassVar[str] = "unknown-version"
