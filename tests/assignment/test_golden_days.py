"""The assigner decides as it did: generated days and the days of a lab, action for action."""

from __future__ import annotations

import gzip
from pathlib import Path

import pytest

from corallanding.assignment import Assigner
from corallanding.assignment.state import Host
from corallanding.controller.recorder import find_difference, read_recording
from tests.assignment.generated_days import CHECKSUM_STEPS, DAYS, GOLDEN, golden_checksums, play

GOLDEN_CHECKSUMS = golden_checksums()


@pytest.mark.parametrize("seed", range(len(DAYS)))
def test_a_generated_day_when_lived_again_then_every_action_is_as_before(seed: int) -> None:
    found = play(Assigner, seed)
    golden = GOLDEN_CHECKSUMS[str(seed)]
    first = next((n for n, pair in enumerate(zip(found, golden, strict=True)) if pair[0] != pair[1]), None)
    assert first is None, f"differs within steps {first * CHECKSUM_STEPS} to {(first + 1) * CHECKSUM_STEPS - 1}"


@pytest.mark.parametrize("start", [1, 2])
def test_a_day_of_the_lab_when_replayed_then_every_action_is_as_before(start: int, tmp_path: Path) -> None:
    path = tmp_path / "day.rec"
    path.write_bytes(gzip.decompress((GOLDEN / f"bad-day-{start}.rec.gz").read_bytes()))
    recording = read_recording(path)
    assert len(recording.steps) > 400
    assert find_difference(recording, Assigner) == ""


def test_generated_days_when_one_host_bears_a_little_more_then_they_differ(monkeypatch: pytest.MonkeyPatch) -> None:
    """A mistake of the kind that they must find: one host too many counts as having headroom."""
    utilization = Host.utilization

    def mistaken(host: Host, added_load: float = 0.0) -> float:
        return utilization(host, added_load) * (0.98 if host.id == 3 else 1.0)

    monkeypatch.setattr(Host, "utilization", mistaken)
    assert [seed for seed in (1, 6) if play(Assigner, seed) != GOLDEN_CHECKSUMS[str(seed)]] == [1, 6]
