"""Protocol violations by a peer. The code of the error is sent to the peer when its link is closed."""

from __future__ import annotations

from typing import ClassVar

from ..errors import ProtocolError


class LinkError(ProtocolError):
    """A peer violated the protocol. Its link is closed with `code` and this error's text; other links stay open."""

    code: ClassVar[str] = "protocol"


class MalformedFrameError(LinkError):
    """Bytes that are not a frame, or a frame with a field outside the bounds of the protocol."""

    code: ClassVar[str] = "malformed"


class OversizedFrameError(LinkError):
    """A frame longer than the configured limit."""

    code: ClassVar[str] = "oversized"


class UnexpectedFrameError(LinkError):
    """A frame of a known kind that is not allowed in the current state of the link, or not from this side."""

    code: ClassVar[str] = "out-of-place"


class UnsupportedVersionError(LinkError):
    """A hello with a protocol version that this side does not support."""

    code: ClassVar[str] = "unknown-version"
