"""Frames of runs and of waiting work. `docs/protocol.md` is the page for strangers."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .codec import Amount, Frame, Lines, Number, Text

# ---- from a forwarder --------------------------------------------------------------------------------


class Wait(Frame, tag="wait"):
    """Hands in a job that may wait; its body stays at the forwarder, which says the same again to another steward when
    the link is over. waited: ms so far. fingerprint: by which a client may bring it again elsewhere, empty: it does
    not. set: to which its run is pinned, 0: none."""

    ticket: Number
    operation: Number
    waited: Amount = 0.0
    fingerprint: Text = ""
    set: Number = 0


class Unwait(Frame, tag="unwait"):
    """The job of that ticket waits here no more. ended: its client gave up, and no other steward has it or will get it:
    its fingerprint is free again."""

    ticket: Number
    ended: bool = False


class Enter(Frame, tag="enter"):
    """Which set of versions does a run have? A run that nobody knows begins. ask: given back in the answer. client: by
    which new runs are limited. ended: the run is over, nothing more of it will come."""

    ask: Number
    run: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    client: Text = ""
    ended: bool = False


# ---- from the steward --------------------------------------------------------------------------------


class Pinned(Frame, tag="pinned"):
    """The answer to the `enter` of that number. what: "pinned", "not-now" (ask again, here or elsewhere), "over" or
    "full". versions: [operation, version] of the set. register: by which it was said."""

    ask: int
    what: str
    set: int = 0
    versions: list[tuple[int, int]] = []
    register: int = 0


class Routes(Frame, tag="routes"):
    """Where invocations of runs of that set go, where it is not by the slice's own lines. Replaces all of that set.

    rows: [slice, operation, version, [[host, weight], ...], wait]: that version is what the host is asked for; without
    a host it waits for up to so many ms, and is refused then. alive: sets that there are, by that version of the
    register. It is a fence: of a set that a later one lacks, nothing is taken by an earlier one.
    """

    set: int
    rows: list[tuple[int, int, int, Lines, float]] = []
    addresses: dict[int, str] = {}
    alive: list[int] = []
    register: int = 0


class Waits(Frame, tag="waits"):
    """The answer to `wait`. what: "waiting", with the longest that it will wait from now on; else it is not taken in:
    "full", "too-long" (longest: what it would come to), "does-not-wait", "not-now"."""

    ticket: int
    what: str
    longest: float = 0.0


class Go(Frame, tag="go"):
    """The job of that ticket may be sent ("go"), or has been let go elsewhere ("twin")."""

    ticket: int
    what: str
