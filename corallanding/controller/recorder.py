"""Records every decision step with its events and actions, for replay through an assigner.

A file is a sequence of MessagePack items, each prefixed by its length in four bytes: a header (version, settings,
seed), then one item per step. A process that is killed during a write leaves a truncated last item; readers stop before
it and report the truncation.
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
MAX_QUOTED_CHARACTERS = 200  # of a decoding error in an error message
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder()


class RecordingError(StorageError):
    """A file is not a recording, or has another version."""


def to_stored_item(item: api.Event | api.Action) -> list[Any]:
    """Return the stored form of an event or action: its stored name and its fields."""
    return [stored_names.NAMES[type(item)], to_stored(item)]


def from_stored_item(raw: Any) -> Any:
    """Return the event or action of a stored form. Raises `RecordingError` if it is neither."""
    if not isinstance(raw, list) or len(raw) != 2 or raw[0] not in stored_names.TYPES:
        raise RecordingError(f"not a stored event or action: {str(raw)[:80]}")
    return from_stored(raw[1], stored_names.TYPES[raw[0]])


class Recorder:
    """Writes one recording of at most `max_bytes`.

    Beyond that, or after a failed write, it stops permanently and `stop_reason` holds the reason.
    `starts_after_snapshot` marks a recording that does not begin with the first step of a run. `resume_at` is the
    number of bytes that the predecessor process wrote; the recording continues there. Raises `OSError` if the file
    cannot be opened.
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
        """Return whether the recording has stopped."""
        return bool(self.stop_reason)

    def _write_item(self, value: Any) -> None:
        body = _encoder.encode(value)
        data = len(body).to_bytes(LENGTH_BYTES, "big") + body
        if self.written_bytes + len(data) > self.max_bytes:
            self.stop_reason = f"the size limit of {self.max_bytes / 1e6:g} MB is reached"
        if self.is_stopped:
            return
        try:
            written = self.file.write(data)
        except OSError as error:
            self.stop_reason = str(error)
            return
        self.written_bytes += written
        if written < len(data):
            self.stop_reason = "only a part of an item was written"  # readers report it as truncated

    def write_step(self, now_ms: float, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        """Append one decision step."""
        stored_events = [to_stored_item(event) for event in events]
        self._write_item([now_ms, stored_events, [to_stored_item(action) for action in actions]])

    def close(self) -> None:
        """Close the file."""
        self.file.close()


@dataclass
class Recording:
    """A recording read from a file. `is_truncated`: the last item is incomplete."""

    settings: api.Settings
    seed: int
    steps: list[DecisionStep] = field(default_factory=list)
    is_truncated: bool = False
    starts_after_snapshot: bool = False


def split_items(data: bytes) -> Iterator[bytes]:
    """Yield the items of a recording; a final empty item marks a truncated last item."""
    offset = 0
    while len(data) - offset >= LENGTH_BYTES:
        length = int.from_bytes(data[offset : offset + LENGTH_BYTES], "big")
        if len(data) - offset - LENGTH_BYTES < length:
            break
        yield data[offset + LENGTH_BYTES : offset + LENGTH_BYTES + length]
        offset += LENGTH_BYTES + length
    if offset != len(data):
        yield b""


def read_recording(path: str | Path) -> Recording:
    """Read a recording. Raises `RecordingError` if it is invalid, `OSError` if the file cannot be read."""
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
        raise RecordingError(f"{path}: not a recording of version {VERSION}")
    settings = from_stored(header["settings"], api.Settings)
    return Recording(settings, int(header["seed"]), starts_after_snapshot=bool(header.get("middle")))


def _read_step(item: bytes) -> DecisionStep:
    now_ms, events, actions = _decoder.decode(item)
    return DecisionStep(float(now_ms), [from_stored_item(e) for e in events], [from_stored_item(a) for a in actions])


def describe(item: Any) -> str:
    """Return an event or action as one line of text."""
    values = {name: getattr(item, attribute) for name, attribute in stored_names.FIELDS[type(item)].items()}
    pairs = ", ".join(f"{name}={value.name if isinstance(value, Enum) else value}" for name, value in values.items())
    return f"{stored_names.NAMES[type(item)]}({pairs})"


def find_difference(recording: Recording, decider: Callable[[api.Settings, int], Decider]) -> str:
    """Replay a recording through a new assigner; return the first difference as text, or "" if there is none."""
    if recording.starts_after_snapshot:
        return "starts after a snapshot: it cannot be replayed without it"
    assigner = decider(recording.settings, recording.seed)
    for number, (now_ms, events, recorded) in enumerate(recording.steps, 1):
        actual = assigner.step(now_ms, events)
        for index in range(max(len(recorded), len(actual))):
            expected_text = describe(recorded[index]) if index < len(recorded) else "nothing"
            actual_text = describe(actual[index]) if index < len(actual) else "nothing"
            if expected_text != actual_text:
                return (
                    f"step {number} at {now_ms:.3f} ms, action {index + 1}: recorded {expected_text}, now {actual_text}"
                )
    return ""
