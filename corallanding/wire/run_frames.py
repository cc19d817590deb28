"""Frames about workflow runs that are pinned to a release set. `docs/protocol.md` specifies the protocol."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .codec import Frame, HostWeights, Number, Text

# ---- from a proxy --------------------------------------------------------------------------------------------


class RunQuery(Frame, tag="enter"):
    """Requests the release set to which a workflow run is pinned. An unknown run is started.

    query: number that the response repeats. client: the one whose rate of new runs is limited. is_ended: the run has
    ended and sends no further requests.
    """

    query: Number
    run: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    client: Text = ""
    is_ended: bool = False


# ---- from the controller -------------------------------------------------------------------------------------


class RunVersions(Frame, tag="pinned"):
    """Response to the `RunQuery` with the same number.

    outcome: "pinned", "not-now" (retry, here or at another controller), "over" or "full". versions: [request class,
    version] of the release set. register_version: version of the release register on which the response is based.
    """

    query: int
    outcome: str
    release_set: int = 0
    versions: list[tuple[int, int]] = msgspec.field(default_factory=list)
    register_version: int = 0


class RunRoutes(Frame, tag="routes"):
    """Routes of runs with this release set that differ from the slice's own table. Replaces all routes of the set.

    rows: [slice, request class, version, [[host, weight], ...], max wait in ms]: the proxy requests that version from
    the host; without a host the request waits for at most that time and is then rejected. live_sets: release sets that
    exist as of `register_version`. That version is a fencing token: once a later register lacks a set, messages about
    the set with an earlier version are rejected.
    """

    release_set: int
    rows: list[tuple[int, int, int, HostWeights, float]] = msgspec.field(default_factory=list)
    addresses: dict[int, str] = msgspec.field(default_factory=dict)
    live_sets: list[int] = msgspec.field(default_factory=list)
    register_version: int = 0
