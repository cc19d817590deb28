"""Frames about workflow runs that are pinned to a release set. `docs/protocol.md` describes the protocol."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .codec import Frame, HostWeights, Number, Text

# ---- from a proxy --------------------------------------------------------------------------------------------


class RunQuery(Frame, tag="enter"):
    """Asks which release set a workflow run is pinned to. A run that is not known begins.

    query: number that the answer repeats. client: for which new runs are limited. is_ended: the run is over, and
    nothing more of it will come.
    """

    query: Number
    run: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    client: Text = ""
    is_ended: bool = False


# ---- from the controller -------------------------------------------------------------------------------------


class RunVersions(Frame, tag="pinned"):
    """Answers the `RunQuery` of that number.

    outcome: "pinned", "not-now" (ask again, here or elsewhere), "over" or "full". versions: [request class, version]
    of the release set. register_version: of the release register, by which this was decided.
    """

    query: int
    outcome: str
    release_set: int = 0
    versions: list[tuple[int, int]] = msgspec.field(default_factory=list)
    register_version: int = 0


class RunRoutes(Frame, tag="routes"):
    """Where requests of runs of that release set go, if not by the slice's own table. Replaces all of that set.

    rows: [slice, request class, version, [[host, weight], ...], max wait in ms]: the host is asked for that version;
    without a host the request waits for up to that time, and is rejected then. live_sets: release sets that exist as
    of `register_version`. That is a fencing token: of a set that a later register lacks, nothing with an earlier one
    is accepted.
    """

    release_set: int
    rows: list[tuple[int, int, int, HostWeights, float]] = msgspec.field(default_factory=list)
    addresses: dict[int, str] = msgspec.field(default_factory=dict)
    live_sets: list[int] = msgspec.field(default_factory=list)
    register_version: int = 0
