"""A recording ends where its disk does."""

from __future__ import annotations

from pathlib import Path

from corallanding import interface as api
from corallanding.controller import recorder

REQUEST_CLASS = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)


SETTINGS = api.Settings(
    request_classes=(REQUEST_CLASS,), slice_count=12, max_queued_lines=1e6, admission="fraction", may_check_health=True
)


def test_recording_when_the_disk_is_full_then_ends_at_the_last_complete_item(tmp_path: Path) -> None:
    """A part of an item, then room again: what follows a torn item could not be read, and is not written."""
    recording = recorder.Recorder(tmp_path / "r", SETTINGS, 1, 1e9)
    recording.write_step(1.0, [], [])
    real_file = recording.file

    class ShortFile:
        def write(self, data: bytes) -> int:
            return real_file.write(data[:7])

    recording.file = ShortFile()  # type: ignore[assignment]
    recording.write_step(2.0, [], [])
    recording.file = real_file
    recording.write_step(3.0, [], [])
    assert recording.is_stopped
    assert "a part" in recording.stop_reason
    recording.close()
    found = recorder.read_recording(tmp_path / "r")
    assert [now for now, _, _ in found.steps] == [1.0]
    assert found.is_truncated
    with open("/dev/full", "wb", buffering=0) as full:
        recording = recorder.Recorder(tmp_path / "r", SETTINGS, 1, 1e9)
        recording.file = full
        recording.write_step(1.0, [], [])
        assert recording.is_stopped
        assert "No space left" in recording.stop_reason
