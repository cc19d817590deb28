"""Blocks of releases and of runs that keep their versions: `release "NAME"`, `pins`. See docs/pins.md."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated

from pydantic import Field

from ..version_pinning.release_register import SET_NUMBER_LIMIT
from .blocks import Block, Ms

Number = Annotated[int, Field(ge=1, lt=SET_NUMBER_LIMIT)]
RELEASE, RUNS = "release", "runs"  # the task and the group of tasks that pins rest on


class ReleaseBlock(Block):
    """A set of versions, by number for ever. carries: sets whose runs may go over to this one, where an operation says
    `no_host = "carry_over"`."""

    number: Number
    versions: Annotated[dict[str, Annotated[int, Field(ge=1, le=1 << 20)]], Field(min_length=1, max_length=30)]
    carries: Annotated[list[Number], Field(max_length=8)] = []


class RecordsBlock(Block):
    """Records that are written once, copied to a majority of the fleet's voters. path: this steward's file. Times in
    ms."""

    path: str
    most: Annotated[int, Field(ge=16, le=10_000_000)] = 200_000
    answer_within_ms: Ms = 1_500.0
    again_ms: Ms = 150.0
    questions_most: Annotated[int, Field(ge=16, le=1_000_000)] = 10_000  # that wait for an answer
    words_per_s: Annotated[float, Field(ge=1, le=1e6)] = 2_000.0  # taken from one peer
    witness: str | None = None  # a file that each answer is written to, for the lab's audit


class PinsBlock(Block):
    """current: the set that is to be current; may be changed by a reload. Times in ms."""

    current: Number
    run_most_ms: Ms = 1_800_000.0
    settle_ms: Ms = 500.0
    publish_ms: Ms = 200.0
    begins_per_s: Annotated[float, Field(gt=0, le=1e6)] = 50.0  # new runs of one client, at one holder


def fault(
    pins: PinsBlock | None,
    releases: dict[str, ReleaseBlock],
    operations: Collection[str],
    tasks: Collection[str],
    groups: Collection[str],
    lease: float,
    records: RecordsBlock | None,
) -> str | None:
    """What is wrong with them, as a sentence that names the key."""
    if pins is None:
        return "release: it needs a pins block" if releases else None
    if RELEASE not in tasks or RUNS not in groups:
        return f'pins: it needs task "{RELEASE}" and task_group "{RUNS}"'
    if records is None:
        return "pins: it needs a records block"
    by: dict[int, str] = {}
    for name, one in releases.items():
        if one.number in by:
            return f"release.{name}.number is that of release.{by[one.number]}"
        by[one.number] = name
        if strange := sorted(set(one.versions) - set(operations)):
            return f"release.{name}.versions: no operation {strange[0]!r}"
        if missing := sorted(set(operations) - set(one.versions)):
            return f"release.{name}.versions says nothing of operation {missing[0]!r}"
    for name, one in releases.items():
        if strangers := sorted(set(one.carries) - set(by)):
            return f"release.{name}.carries: no release has number {strangers[0]}"
    if pins.current not in by:
        return f"pins.current: no release has number {pins.current}"
    if pins.run_most_ms < 4.0 * lease:
        return f"pins.run_most_ms must be at least four times tasks.lease_ms ({lease:g})"
    return None
