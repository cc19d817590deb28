"""A hello frame for the tests of the protocol."""

from __future__ import annotations

from corallanding.wire import frames
from corallanding.wire.frames import Hello

HELLO = Hello(frames.PROTOCOL_VERSION, 3, "3-1", 1, 12.5, is_fresh=True)
