"""A recording stops at the last complete item when the disk is full."""

from __future__ import annotations

from pathlib import Path

from corallanding import interface as api
from corallanding.controller import recorder

REQUEST_CLASS = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)


SETTINGS = api.Settings(
    request_classes=(REQUEST_CLASS,), slice_count=12, max_queued_lines=1e6, admission="fraction", may_check_health=True
)


def test_recording_when_the_disk_is_full_then_ends_at_the_last_complete_item(tmp_path: Path) -> None:
    """After a short write, items are not written even if the disk has space again: they would be unreadable."""
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
    read = recorder.read_recording(tmp_path / "r")
    assert [now_ms for now_ms, _, _ in read.steps] == [1.0]
    assert read.is_truncated
    with open("/dev/full", "wb", buffering=0) as full_device:
        recording = recorder.Recorder(tmp_path / "r", SETTINGS, 1, 1e9)
        recording.file = full_device
        recording.write_step(1.0, [], [])
        assert recording.is_stopped
        assert "No space left" in recording.stop_reason
