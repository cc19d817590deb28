"""Frames of the forwarder link: length-prefixed MessagePack. `docs/protocol.md` is the page for strangers.

A frame is four bytes of length (big-endian, of what follows) and one MessagePack array whose first item
names the kind. Times are milliseconds, hosts and slices the steward's numbers. All limits are arguments.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from .codec import (
    HEAD,
    VERSION,
    Amount,
    Frame,
    Lines,
    LinkFault,
    Malformed,
    Number,
    OutOfPlace,
    Oversized,
    Text,
    UnknownVersion,
)
from .peer_frames import Enter, Go, Pinned, Routes, Unwait, Wait, Waits

__all__ = [
    "HEAD",
    "VERSION",
    "Ack",
    "Beat",
    "Bye",
    "Enter",
    "Frame",
    "Go",
    "Held",
    "Hello",
    "LinkFault",
    "Malformed",
    "Orders",
    "OutOfPlace",
    "Oversized",
    "Pinned",
    "Read",
    "Reader",
    "Recall",
    "Routes",
    "Sums",
    "Tables",
    "UnknownVersion",
    "Unwait",
    "Wait",
    "Waits",
    "Welcome",
    "encode",
]

# ---- from a forwarder --------------------------------------------------------------------------------


class Hello(Frame, tag="hello"):
    """First frame of a link. `session` names the forwarder's process; `fresh`: it holds no table of ours.
    `life` and `seq`: the newest of this steward's messages that it applied, as they stood in it."""

    version: int
    forwarder: Annotated[int, msgspec.Meta(ge=0, le=65535)]
    session: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    zone: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    rate: Amount = 0.0
    fresh: bool = True
    life: Number = 0
    seq: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = 0
    parts: Number = 0  # what else it speaks: 1 runs, 2 work that may wait


class Ack(Frame, tag="ack"):
    """The message that carried mark `number`, and all before it, are applied."""

    number: Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Sums(Frame, tag="sums"):
    """What the forwarder met over the last `span` ms.

    hosts: [host, tries, errored, mean latency of the good ones]; slices: [slice, operation, invocations,
    unanswered]; own (sites without slices): [operation, invocations, unanswered].
    """

    span: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
    hosts: list[tuple[Number, Number, Number, Amount]] = []
    slices: list[tuple[Number, Number, Number, Number]] = []
    own: list[tuple[Number, Number, Number]] = []


class Held(Frame, tag="held"):
    """Answers a recall: the tables as the forwarder holds them, of message `seq` of life `life`."""

    life: Number
    seq: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    tables: list[tuple[Number, list[tuple[Number, Amount]]]]


class Read(Frame, tag="read"):
    """Asks for the tables anew, as at joining."""


class Beat(Frame, tag="beat"):
    """Sign of life, from either side. `at` is given back as it came in the answer of the forwarder."""

    at: float = 0.0


# ---- from the steward --------------------------------------------------------------------------------


class Welcome(Frame, tag="welcome"):
    """Answers a hello: the steward's number, its life, and the pace that the forwarder keeps."""

    version: int
    steward: int
    life: int
    beat: float
    silence: float
    report_every: float
    slices: int


LevelRow = tuple[int, int, float, int]  # table (65535: all), operations' bits (0: all), amount, retry


class Tables(Frame, tag="tables"):
    """The store as it stands: replaces all that the forwarder holds from this steward, cordons included.

    tables: [table, [[host, weight], ...]] for each table in the steward's charge; a table not named is not in
    its charge. addresses: host to "ip:port" for every host named. given: if not empty, only these slices are
    replaced, and the rest of what the forwarder holds stands.
    """

    seq: int
    tables: list[tuple[int, Lines]]
    levels: list[LevelRow] = []
    cordons: list[int] = []
    addresses: dict[int, str] = {}
    points: list[tuple[int, int]] = []  # sites without slices: table, operations' bits
    given: list[int] = []
    mark: int = -1


class Orders(Frame, tag="orders"):
    """What one step ordered: one message a forwarder. Applied in the order of the fields.

    lines: [table, host, weight], weight 0 takes the line away. resets: tables emptied first. mark: -1 or the
    number to be acked. addresses: "ip:port" of every host that a line names with a weight above 0.
    """

    seq: int
    mark: int = -1
    resets: list[int] = []
    lines: list[tuple[int, int, float]] = []
    levels: list[LevelRow] = []
    cordons: list[tuple[int, bool]] = []
    points: list[tuple[int, int]] = []
    addresses: dict[int, str] = {}
    withdrawn: list[int] = []  # slices that left this steward's charge


class Recall(Frame, tag="recall"):
    """Comes between welcome and tables: asks a forwarder for the tables that it holds, which are newer than what
    the store gave back. Answered by `Held` at once."""


class Bye(Frame, tag="bye"):
    """The last frame of a link, from either side: why it is closed."""

    code: Text
    text: Text = ""


FromForwarder = Hello | Ack | Sums | Held | Read | Beat | Bye | Enter | Wait | Unwait
FromSteward = Welcome | Tables | Orders | Recall | Beat | Bye | Pinned | Routes | Waits | Go

_encoder = msgspec.msgpack.Encoder()
to_steward: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(FromForwarder)
to_forwarder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(FromSteward)


def encode(frame: Frame) -> bytes:
    """One frame with its length before it."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(HEAD, "big") + body


class Reader:
    """Bytes in, frames out. Holds at most one frame of `most` bytes and what one read brought beyond it."""

    def __init__(self, decoder: msgspec.msgpack.Decoder[Any], most: int) -> None:
        self.decoder, self.most, self.held = decoder, most, bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Frames completed by `data`, in order. Raises `Oversized` or `Malformed`; the link is then over."""
        self.held += data
        frames, at, size = [], 0, len(self.held)
        while size - at >= HEAD:
            length = int.from_bytes(self.held[at : at + HEAD], "big")
            if length > self.most:
                # Before the body is there: a length alone must not make the steward hold a gigabyte.
                raise Oversized(f"a frame of {length} bytes; {self.most} are allowed")
            if size - at - HEAD < length:
                break
            body = bytes(self.held[at + HEAD : at + HEAD + length])
            try:
                frames.append(self.decoder.decode(body))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
                raise Malformed(str(fault)[:180]) from None
            at += HEAD + length
        del self.held[:at]
        return frames
