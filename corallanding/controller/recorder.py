"""Records every decision step with its events and actions, to be run through an assigner again.

A file is a sequence of MessagePack items, each behind its length in four bytes: a header (version, settings, seed),
then one item a step. A process that is killed in the middle of a write leaves a truncated last item; a reader stops
before it and says so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from io import FileIO
from pathlib import Path
from typing import Any

import msgspec

from .. import interface as api
from ..errors import StorageError
from ..interface import stored_names
from ..snapshot.stored_values import from_stored, to_stored
from .event_inbox import Decider, DecisionStep

VERSION = 1
LENGTH_BYTES = 4
MAX_QUOTED_CHARACTERS = 200  # of what an error quotes
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder()


class RecordingError(StorageError):
    """A file is no recording, or one of another version."""


def to_stored_item(item: api.Event | api.Action) -> list[Any]:
    """An event or action as it is stored: its stored name and its fields."""
    return [stored_names.NAMES[type(item)], to_stored(item)]


def from_stored_item(raw: Any) -> Any:
    """The event or action that was stored. Raises `RecordingError` if it is neither."""
    if not isinstance(raw, list) or len(raw) != 2 or raw[0] not in stored_names.TYPES:
        raise RecordingError(f"no event or action: {str(raw)[:80]}")
    return from_stored(raw[1], stored_names.TYPES[raw[0]])


class Recorder:
    """Writes one recording of at most `max_bytes`.

    Past that, or once its disk takes no more, it stops for good and `stop_reason` says why. `starts_after_snapshot`
    marks a recording that begins in the middle of a run. `resume_at` is how many bytes the predecessor of this process
    wrote; the recording goes on there. Raises `OSError` if the file cannot be opened.
    """

    def __init__(
        self,
        path: str | Path,
        settings: api.Settings,
        seed: int,
        max_bytes: float,
        *,
        starts_after_snapshot: bool = False,
        resume_at: int = 0,
    ) -> None:
        self.path = Path(path).resolve()
        self.file = FileIO(path, "r+" if resume_at else "w")
        self.max_bytes = max_bytes
        self.written_bytes = resume_at
        self.stop_reason = ""
        if resume_at:
            self.file.seek(resume_at)
            self.file.truncate()
            return
        header = {
            "corallanding": VERSION,
            "seed": seed,
            "settings": to_stored(settings),
            "middle": starts_after_snapshot,
        }
        self._write_item(header)

    @property
    def is_stopped(self) -> bool:
        """Whether nothing more is written."""
        return bool(self.stop_reason)

    def _write_item(self, value: Any) -> None:
        body = _encoder.encode(value)
        data = len(body).to_bytes(LENGTH_BYTES, "big") + body
        if self.written_bytes + len(data) > self.max_bytes:
            self.stop_reason = f"{self.max_bytes / 1e6:g} MB are written"
        if self.is_stopped:
            return
        try:
            written = self.file.write(data)
        except OSError as error:
            self.stop_reason = str(error)
            return
        self.written_bytes += written
        if written < len(data):
            self.stop_reason = "the disk took a part of an item"  # which readers see as truncated

    def write_step(self, now: float, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        """Append one decision step."""
        stored_events = [to_stored_item(event) for event in events]
        self._write_item([now, stored_events, [to_stored_item(action) for action in actions]])

    def close(self) -> None:
        """Close the file."""
        self.file.close()


@dataclass
class Recording:
    """A recording as read. `is_truncated`: the last item was cut off."""

    settings: api.Settings
    seed: int
    steps: list[DecisionStep] = field(default_factory=list)
    is_truncated: bool = False
    starts_after_snapshot: bool = False


def split_items(data: bytes) -> Iterator[bytes]:
    """The items of a recording; an empty one stands for the rest if the last was cut off."""
    at = 0
    while len(data) - at >= LENGTH_BYTES:
        length = int.from_bytes(data[at : at + LENGTH_BYTES], "big")
        if len(data) - at - LENGTH_BYTES < length:
            break
        yield data[at + LENGTH_BYTES : at + LENGTH_BYTES + length]
        at += LENGTH_BYTES + length
    if at != len(data):
        yield b""


def read_recording(path: str | Path) -> Recording:
    """Read a recording. Raises `RecordingError` with what is wrong, `OSError` if the file cannot be read."""
    items = split_items(Path(path).read_bytes())
    try:
        recording = _read_header(path, next(items, b""))
        for item in items:
            if not item:
                recording.is_truncated = True
                break
            recording.steps.append(_read_step(item))
    except (msgspec.DecodeError, msgspec.ValidationError, KeyError, TypeError, ValueError) as error:
        raise RecordingError(f"{path}: not a recording: {str(error)[:MAX_QUOTED_CHARACTERS]}") from None
    return recording


def _read_header(path: str | Path, item: bytes) -> Recording:
    header = _decoder.decode(item)
    if not isinstance(header, dict) or header.get("corallanding") != VERSION:
        raise RecordingError(f"{path}: no recording of version {VERSION}")
    settings = from_stored(header["settings"], api.Settings)
    return Recording(settings, int(header["seed"]), starts_after_snapshot=bool(header.get("middle")))


def _read_step(item: bytes) -> DecisionStep:
    now, events, actions = _decoder.decode(item)
    return DecisionStep(float(now), [from_stored_item(e) for e in events], [from_stored_item(a) for a in actions])


def describe(item: Any) -> str:
    """An event or action as one line of text."""
    values = {name: getattr(item, attribute) for name, attribute in stored_names.FIELDS[type(item)].items()}
    pairs = ", ".join(f"{name}={value.name if isinstance(value, Enum) else value}" for name, value in values.items())
    return f"{stored_names.NAMES[type(item)]}({pairs})"


def find_difference(recording: Recording, decider: Callable[[api.Settings, int], Decider]) -> str:
    """Run a recording through a new assigner; the first difference as text, or "" if there is none."""
    if recording.starts_after_snapshot:
        return "begins in the middle of a life, after a snapshot: it cannot be run through by itself"
    assigner = decider(recording.settings, recording.seed)
    for number, (now, events, recorded) in enumerate(recording.steps, 1):
        actual = assigner.step(now, events)
        for at in range(max(len(recorded), len(actual))):
            then = describe(recorded[at]) if at < len(recorded) else "nothing"
            today = describe(actual[at]) if at < len(actual) else "nothing"
            if then != today:
                return f"step {number} at {now:.3f} ms, action {at + 1}: recorded {then}, now {today}"
    return ""
