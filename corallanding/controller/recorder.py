"""The flight recorder: every step's time, events and actions, to be run through the module again.

A file is a row of length-prefixed MessagePack items: a header (version, settings, seed), then a step each. A
steward killed in the middle of a write leaves a torn last item; a reader stops before it and says so.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Sequence
from enum import Enum
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from .. import interface as api
from ..interface import stored_names
from ..snapshot.stored_values import from_stored, to_stored

VERSION = 1
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder()


class RecordingError(Exception):
    """A file that is no recording, or one of another version."""


def pack(item: Any) -> list[Any]:
    return [stored_names.NAMES[type(item)], to_stored(item)]


def unpack(raw: Any) -> Any:
    if not isinstance(raw, list) or len(raw) != 2 or raw[0] not in stored_names.TYPES:
        raise RecordingError(f"no event or action: {str(raw)[:80]}")
    return from_stored(raw[1], stored_names.TYPES[raw[0]])


class Recorder:
    """Writes one recording, up to `most` bytes; past that, or once its disk takes no more, it stops for good (`full`,
    and `why`)."""

    def __init__(
        self, path: str | Path, settings: api.Settings, seed: int, most: float, middle: bool = False, after: int = 0
    ) -> None:
        """after: bytes that the process before this one wrote, which goes on where that ended."""
        self.path = Path(path).resolve()
        self.file: BinaryIO = open(path, "r+b" if after else "wb", buffering=0)
        self.max_bytes, self.written_bytes, self.is_stopped, self.stop_reason = most, after, False, ""
        if after:
            self.file.seek(after)
            self.file.truncate()
            return
        head = {"corallanding": VERSION, "seed": seed, "settings": to_stored(settings), "middle": middle}
        self.item(head)

    def item(self, value: Any) -> None:
        body = _encoder.encode(value)
        data = len(body).to_bytes(4, "big") + body
        if self.written_bytes + len(data) > self.max_bytes:
            self.is_stopped, self.stop_reason = True, f"{self.max_bytes / 1e6:g} MB are written"
        if self.is_stopped:
            return
        try:
            took = self.file.write(data)
        except OSError as fault:
            self.is_stopped, self.stop_reason = True, str(fault)
            return
        self.written_bytes += took
        if took < len(data):
            self.is_stopped, self.stop_reason = True, "the disk took a part of an item"  # which readers see as torn off

    def write_step(self, now: float, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        self.item([now, [pack(e) for e in events], [pack(a) for a in actions]])

    def close(self) -> None:
        self.file.close()


@dataclasses.dataclass
class Recording:
    settings: api.Settings
    seed: int
    steps: list[tuple[float, list[Any], list[Any]]]
    is_truncated: bool  # the last item was cut off
    starts_after_snapshot: bool = False  # it begins in the middle of a life, after a snapshot


def items(data: bytes) -> Iterator[bytes]:
    at = 0
    while len(data) - at >= 4:
        length = int.from_bytes(data[at : at + 4], "big")
        if len(data) - at - 4 < length:
            break
        yield data[at + 4 : at + 4 + length]
        at += 4 + length
    if at != len(data):
        yield b""


def read(path: str | Path) -> Recording:
    """Raises `RecordFault` with what is wrong, `OSError` if the file cannot be read."""
    data = Path(path).read_bytes()
    parts = items(data)
    try:
        head = _decoder.decode(next(parts, b""))
        if not isinstance(head, dict) or head.get("corallanding") != VERSION:
            raise RecordingError(f"{path}: no recording of version {VERSION}")
        settings = from_stored(head["settings"], api.Settings)
        found = Recording(settings, int(head["seed"]), [], False, bool(head.get("middle")))
        for part in parts:
            if not part:
                found.is_truncated = True
                break
            now, events, actions = _decoder.decode(part)
            found.steps.append((float(now), [unpack(e) for e in events], [unpack(a) for a in actions]))
    except (msgspec.DecodeError, msgspec.ValidationError, KeyError, TypeError, ValueError) as fault:
        raise RecordingError(f"{path}: not a recording: {str(fault)[:200]}") from None
    return found


def shown(item: Any) -> str:
    """An event or action as one line of text."""
    values = {name: getattr(item, attribute) for name, attribute in stored_names.FIELDS[type(item)].items()}
    pairs = ", ".join(f"{name}={v.name if isinstance(v, Enum) else v}" for name, v in values.items())
    return f"{stored_names.NAMES[type(item)]}({pairs})"


def compare(found: Recording, decider: Any) -> str:
    """Runs the recording through `decider(settings, seed)`; the first difference as text, or ''."""
    if found.starts_after_snapshot:
        return "begins in the middle of a life, after a snapshot: it cannot be run through by itself"
    module = decider(found.settings, found.seed)
    for number, (now, events, want) in enumerate(found.steps, 1):
        got = module.step(now, events)
        for at in range(max(len(want), len(got))):
            a = shown(want[at]) if at < len(want) else "nothing"
            b = shown(got[at]) if at < len(got) else "nothing"
            if a != b:
                return f"step {number} at {now:.3f} ms, action {at + 1}: recorded {a}, now {b}"
    return ""
