"""Blocks of releases and of runs pinned to their versions: `release "NAME"`, `pins`, `records`. See docs/pins.md."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Annotated

from pydantic import Field

from ..version_pinning.release_register import SET_NUMBER_LIMIT
from .blocks import Block, PositiveMs

Number = Annotated[int, Field(ge=1, lt=SET_NUMBER_LIMIT)]
RELEASE = "release"  # task whose holder writes the release register
RUNS = "runs"  # task group over which runs are spread
MIN_RUN_LEASES = 4.0  # lower bound of pins.run_most_ms, in leases of tasks


class ReleaseBlock(Block):
    """A release set: one version per operation, under a number that is never reused.

    carries: sets whose runs may move to this one, for operations with `no_host = "carry_over"`.
    """

    number: Number
    versions: Annotated[dict[str, Annotated[int, Field(ge=1, le=1 << 20)]], Field(min_length=1, max_length=30)]
    carries: Annotated[list[Number], Field(max_length=8)] = Field(default_factory=list)

    def check_versions(self, name: str, operations: Collection[str]) -> None:
        """Check that the set has a version of each operation. Raises ValueError with the key."""
        if unknown := sorted(set(self.versions) - set(operations)):
            raise ValueError(f"release.{name}.versions: no operation {unknown[0]!r}")
        if missing := sorted(set(operations) - set(self.versions)):
            raise ValueError(f"release.{name}.versions has no version of operation {missing[0]!r}")


class RecordsBlock(Block):
    """Quorum records: written once, stored by a majority of the voters. path: this controller's file; times in ms."""

    path: str
    most: Annotated[int, Field(ge=16, le=10_000_000)] = 200_000
    answer_within_ms: PositiveMs = 1_500.0
    again_ms: PositiveMs = 150.0
    questions_most: Annotated[int, Field(ge=16, le=1_000_000)] = 10_000  # queries without a response yet
    words_per_s: Annotated[float, Field(ge=1, le=1e6)] = 2_000.0  # messages accepted from one peer
    witness: str | None = None  # file to which each response is written, for the lab's audit


class PinsBlock(Block):
    """Pinning of runs to release sets. current: number of the set to make current; a reload may change it."""

    current: Number
    run_most_ms: PositiveMs = 1_800_000.0
    settle_ms: PositiveMs = 500.0
    publish_ms: PositiveMs = 200.0
    begins_per_s: Annotated[float, Field(gt=0, le=1e6)] = 50.0  # new runs of one client at one controller


def check_pinning(
    pins: PinsBlock | None,
    releases: Mapping[str, ReleaseBlock],
    operations: Collection[str],
    tasks: Collection[str],
    groups: Collection[str],
    lease_ms: float,
    records: RecordsBlock | None,
) -> None:
    """Check the settings that pinned runs need. lease_ms: lease of tasks. Raises ValueError with the key."""
    if pins is None:
        if releases:
            raise ValueError("release: it needs a pins block")
        return
    if RELEASE not in tasks or RUNS not in groups:
        raise ValueError(f'pins: it needs task "{RELEASE}" and task_group "{RUNS}"')
    if records is None:
        raise ValueError("pins: it needs a records block")
    numbers = _check_releases(releases, operations)
    if pins.current not in numbers:
        raise ValueError(f"pins.current: no release has number {pins.current}")
    if pins.run_most_ms < MIN_RUN_LEASES * lease_ms:
        raise ValueError(f"pins.run_most_ms must be at least four times tasks.lease_ms ({lease_ms:g})")


def _check_releases(releases: Mapping[str, ReleaseBlock], operations: Collection[str]) -> set[int]:
    """Check all release sets, and return their numbers."""
    names_by_number: dict[int, str] = {}
    for name, release in releases.items():
        if release.number in names_by_number:
            raise ValueError(f"release.{name}.number is also used by release.{names_by_number[release.number]}")
        names_by_number[release.number] = name
        release.check_versions(name, operations)
    for name, release in releases.items():
        if unknown := sorted(set(release.carries) - set(names_by_number)):
            raise ValueError(f"release.{name}.carries: no release has number {unknown[0]}")
    return set(names_by_number)
