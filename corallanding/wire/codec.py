"""What all frames are made of: their base, their fields' bounds, and the ways in which a peer can break the
protocol."""

from __future__ import annotations

from typing import Annotated

import msgspec

VERSION = 1
HEAD = 4  # bytes of length before each frame


class LinkFault(Exception):
    """A peer broke the protocol: its link is closed with `code` and `text`, nothing else is disturbed."""

    code = "protocol"


class Malformed(LinkFault):
    """Bytes that are no frame, or a frame with a field that the protocol does not allow."""

    code = "malformed"


class Oversized(LinkFault):
    """A length above the limit that the settings allow for one frame."""

    code = "oversized"


class OutOfPlace(LinkFault):
    """A frame of a known kind at a moment, or from a side, that does not send it."""

    code = "out-of-place"


class UnknownVersion(LinkFault):
    """A hello of a version that this side does not speak."""

    code = "unknown-version"


class Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=False, gc=False):
    """Base of all frames. Fields may be added at the end of a kind; older peers pass over them."""


Natural = msgspec.Meta(ge=0, le=2**32 - 1)
Positive = msgspec.Meta(ge=0.0, le=1e12)


Number = Annotated[int, Natural]
Amount = Annotated[float, Positive]
Text = Annotated[str, msgspec.Meta(max_length=200)]
Lines = list[tuple[int, float]]
