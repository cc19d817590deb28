"""The memory of incomplete frames is bounded over all connections."""

from __future__ import annotations

from corallanding.controller.partial_frames import MIN_TOTAL_BYTES, PartialFrames


def test_frames_when_they_exceed_the_limit_then_the_one_that_began_first_is_given_up() -> None:
    frames: PartialFrames[str] = PartialFrames(1 << 20)
    frames.update("first", 10, is_new=True)
    frames.update("second", MIN_TOTAL_BYTES // 2, is_new=True)
    frames.update("third", MIN_TOTAL_BYTES // 2, is_new=True)
    assert frames.excess() == "first"
    frames.remove("first")
    assert frames.excess() is None
    frames.update("second", MIN_TOTAL_BYTES // 2 + 1, is_new=True)  # another frame, which has begun after the third one
    assert frames.excess() == "third"
    frames.update("third", 0, is_new=False)
    assert frames.excess() is None
    assert frames.total_bytes == MIN_TOTAL_BYTES // 2 + 1


def test_frames_when_one_of_the_largest_arrives_then_it_fits_beside_another() -> None:
    frames: PartialFrames[int] = PartialFrames(MIN_TOTAL_BYTES)
    for connection in (1, 2):
        frames.update(connection, MIN_TOTAL_BYTES, is_new=True)
    assert frames.excess() is None
