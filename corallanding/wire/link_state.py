"""The controller's side of a link to one proxy: valid order of frames, acknowledgements, limits and timeouts.

Uses no socket and no clock. Times are in milliseconds. A protocol violation by the proxy raises a `LinkError`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from . import frames
from .codec import FrameReader
from .errors import LinkError, UnexpectedFrameError, UnsupportedVersionError
from .frames import Ack, Goodbye, HeldTables, Hello

MAX_HELLO_BYTES = 4_096
"""Size of a frame before the hello: a connection that has not identified its proxy gets little memory."""

BURST_SECONDS = 2.0
"""Size of a permitted burst of frames or bytes, in seconds of the permitted rate."""


@dataclass(frozen=True)
class LinkLimits:
    """Bounds of a link."""

    max_frame_bytes: int = 1 << 20
    hello_timeout_ms: float = 2_000.0
    silence_timeout_ms: float = 3_000.0
    frames_per_second: float = 400.0
    max_unacked_versions: int = 4_096
    max_buffer_bytes: int = 4 << 20
    bytes_per_second: float = 4e6
    ack_timeout_ms: float = 15_000.0


@dataclass
class LinkState:
    """The state of one connection.

    hello: None until the proxy sends it. acked: versions that the last received bytes acknowledged, each with the time
    at which it was sent. unacked_versions: the same for sent versions without an ack. is_recalled: a
    `HeldTablesRequest` has no response yet.
    """

    limits: LinkLimits
    opened_at_ms: float
    hello: Hello | None = None
    last_received_at_ms: float = 0.0
    acked: deque[tuple[int, float]] = field(default_factory=deque)
    reader: FrameReader = field(init=False)
    unacked_versions: deque[tuple[int, float]] = field(default_factory=deque)
    is_recalled: bool = False
    frame_allowance: float = field(init=False)
    byte_allowance: float = field(init=False)
    replenished_at_ms: float = field(init=False)

    def __post_init__(self) -> None:
        max_hello_bytes = min(MAX_HELLO_BYTES, self.limits.max_frame_bytes)
        self.reader = FrameReader(frames.controller_decoder, max_hello_bytes)
        self.last_received_at_ms = self.opened_at_ms
        self.replenished_at_ms = self.opened_at_ms
        self.frame_allowance = self.limits.frames_per_second * BURST_SECONDS
        self.byte_allowance = self.limits.bytes_per_second * BURST_SECONDS

    def set_limits(self, limits: LinkLimits) -> None:
        """Apply the limits of a new configuration."""
        self.limits = limits
        self._allow_larger_frames()

    def identify(self, hello: Hello) -> None:
        """Set the proxy of this link, which may then send frames of any permitted size."""
        self.hello = hello
        self._allow_larger_frames()

    def _allow_larger_frames(self) -> None:
        max_frame_bytes = self.limits.max_frame_bytes
        self.reader.max_frame_bytes = max_frame_bytes if self.hello else min(MAX_HELLO_BYTES, max_frame_bytes)

    def receive(self, now: float, data: bytes) -> list[frames.Frame]:
        """Return the frames that `data` completes. Raises a `LinkError` at the first that the protocol does not allow.

        Guards against a proxy that sends nothing, floods, acknowledges versions that were not sent, or sends a frame
        out of order. A proxy that resumes after a long pause with more frames than the burst is disconnected too.
        """
        self.acked.clear()
        self._spend_bytes(now, len(data))
        received: list[frames.Frame] = []
        for frame in self.reader.frames(data):
            self._spend_frame()
            self.last_received_at_ms = now
            self._on_frame(frame)
            received.append(frame)
        return received

    def _spend_bytes(self, now: float, byte_count: int) -> None:
        """Refill the allowances at the permitted rates, and deduct received bytes."""
        frame_rate = self.limits.frames_per_second
        byte_rate = self.limits.bytes_per_second
        elapsed_s = (now - self.replenished_at_ms) / 1000.0
        frame_allowance = min(frame_rate * BURST_SECONDS, self.frame_allowance + elapsed_s * frame_rate)
        byte_allowance = min(byte_rate * BURST_SECONDS, self.byte_allowance + elapsed_s * byte_rate)
        self.frame_allowance = frame_allowance
        self.byte_allowance = byte_allowance - byte_count
        self.replenished_at_ms = now
        if self.byte_allowance < 0:
            raise LinkError(f"more than {byte_rate:g} bytes a second")

    def _spend_frame(self) -> None:
        self.frame_allowance -= 1
        if self.frame_allowance < 0:
            raise LinkError(f"more than {self.limits.frames_per_second:g} frames a second")

    def _on_frame(self, frame: frames.Frame) -> None:
        match frame:
            case Hello():
                self._on_hello(frame)
            case Goodbye():
                pass  # the proxy closes the connection itself
            case _ if not self.hello:
                raise UnexpectedFrameError(f"{frame.__struct_config__.tag} before hello")
            case Ack():
                self._on_ack(frame.version)
            case HeldTables():
                if not self.is_recalled:
                    raise UnexpectedFrameError("held without a recall")
                self.is_recalled = False

    def _on_hello(self, hello: Hello) -> None:
        if self.hello:
            raise UnexpectedFrameError("a second hello on one link")
        if hello.version != frames.PROTOCOL_VERSION:
            raise UnsupportedVersionError(f"version {hello.version}; this side speaks {frames.PROTOCOL_VERSION}")
        self.identify(hello)

    def _on_ack(self, version: int) -> None:
        """Record an ack of the newest applied version, which covers all earlier ones on this link."""
        if not any(version == sent for sent, _ in self.unacked_versions):
            raise UnexpectedFrameError(f"ack of mark {version}, which is not out on this link")
        while True:
            sent, sent_at_ms = self.unacked_versions.popleft()
            if sent == version:
                self.acked.append((version, sent_at_ms))
                return

    def add_unacked(self, now: float, version: int) -> bool:
        """Record that a version is sent. Return False if too many are unacknowledged: the link must then be closed."""
        self.unacked_versions.append((version, now))
        return len(self.unacked_versions) <= self.limits.max_unacked_versions

    def close_reason(self, now: float) -> str:
        """Return why the link must be closed at `now`: no hello, no ack, or silence. Empty if it may stay open."""
        if not self.hello:
            return "no hello" if now - self.opened_at_ms > self.limits.hello_timeout_ms else ""
        if self.unacked_versions and now - self.unacked_versions[0][1] > self.limits.ack_timeout_ms:
            # The proxy sends heartbeats but applies nothing: migrations that need its acks are delayed at all proxies.
            return "no acks"
        return "silent" if now - self.last_received_at_ms > self.limits.silence_timeout_ms else ""
