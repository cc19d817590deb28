"""The steward's side of one forwarder link: which frame may come when, marks, sessions, silence.

No socket, no clock: bytes and times in, what they mean out. Every breach is a `LinkFault` by name.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from . import frames
from .frames import Ack, Beat, Bye, Enter, Held, Hello, OutOfPlace, Read, Reader, Sums, UnknownVersion, Unwait, Wait


@dataclass(frozen=True)
class Limits:
    """Bounds of a link. Bytes, milliseconds, and frames a second."""

    frame_most: int = 1 << 20
    hello_within: float = 2_000.0
    silence: float = 3_000.0
    frames_per_s: float = 400.0
    marks_most: int = 4_096
    buffer_most: int = 4 << 20
    bytes_per_s: float = 4e6
    ack_within: float = 15_000.0


@dataclass
class Link:
    """One connection. `hello` is None until the forwarder has said who it is."""

    limits: Limits
    now: float
    hello: Hello | None = None
    heard: float = 0.0
    closed: str = ""
    acks: deque[tuple[int, float]] = field(default_factory=deque)  # acked by the last bytes: mark, since when
    reader: Reader = field(init=False)
    marks: deque[tuple[int, float]] = field(default_factory=deque)  # marks sent and not acked, when
    recalled: bool = False  # a recall is out on this link
    allowance: float = field(init=False)
    flow: float = field(init=False)  # that may still come, as `allowance` counts frames
    counted: float = field(init=False)

    def __post_init__(self) -> None:
        self.reader = Reader(frames.to_steward, self.limits.frame_most)
        self.heard, self.allowance, self.counted = self.now, self.limits.frames_per_s * 2, self.now
        self.flow = self.limits.bytes_per_s * 2

    def receive(self, now: float, data: bytes) -> list[frames.Frame]:
        """Frames that stand in their place; raises a `LinkFault` at the first that does not.

        Guards against a forwarder that says nothing, floods, acks what was not sent, or speaks out of turn;
        could harm one that wakes from a long pause with more frames than two seconds allow.
        """
        found: list[frames.Frame] = self.reader.feed(data)
        self.acks.clear()
        rate, flow = self.limits.frames_per_s, self.limits.bytes_per_s
        span = (now - self.counted) / 1000.0
        self.allowance = min(rate * 2, self.allowance + span * rate) - len(found)
        self.flow = min(flow * 2, self.flow + span * flow) - len(data)
        self.counted = now
        if self.allowance < 0:
            raise frames.LinkFault(f"more than {rate:g} frames a second")
        if self.flow < 0:
            raise frames.LinkFault(f"more than {flow:g} bytes a second")
        if found:
            self.heard = now
        for frame in found:
            match frame:
                case Hello():
                    if self.hello:
                        raise OutOfPlace("a second hello on one link")
                    if frame.version != frames.VERSION:
                        raise UnknownVersion(f"version {frame.version}; this side speaks {frames.VERSION}")
                    self.hello = frame
                case Bye():
                    self.closed = frame.code
                case Ack() | Sums() | Held() | Read() | Beat() | Enter() | Wait() | Unwait():
                    if not self.hello:
                        raise OutOfPlace(f"{frame.__struct_config__.tag} before hello")
                    if isinstance(frame, Ack):
                        self.acked(frame.number)
                    if isinstance(frame, Held):
                        if not self.recalled:
                            raise OutOfPlace("held without a recall")
                        self.recalled = False
        return found

    def acked(self, number: int) -> None:
        """Acks name the newest mark applied; those before it on this link count as applied."""
        if not any(number == sent for sent, _ in self.marks):
            raise OutOfPlace(f"ack of mark {number}, which is not out on this link")
        while True:
            sent, at = self.marks.popleft()
            if sent == number:
                self.acks.append((number, at))
                return

    def marked(self, now: float, number: int) -> bool:
        """A mark goes out; false if the forwarder owes too many acks and must be cut off."""
        self.marks.append((number, now))
        return len(self.marks) <= self.limits.marks_most

    def overdue(self, now: float) -> str:
        """Why the link must end by now: no hello, or silence. Empty if it need not."""
        if not self.hello:
            return "no hello" if now - self.now > self.limits.hello_within else ""
        if self.marks and now - self.marks[0][1] > self.limits.ack_within:
            # It lives, and takes nothing in: what waits for its acks holds up moves for everybody.
            return "no acks"
        return "silent" if now - self.heard > self.limits.silence else ""
