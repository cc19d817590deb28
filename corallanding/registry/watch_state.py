"""Following one prefix of a registry: read it at a revision, watch from the next, through breaks and compactions.

Sans-I/O: what the registry says goes in, what is to be asked and what changed comes out. Every change is handed
out once, in the order of revisions, and a view is never set back: an answer from the past is refused, and asked
for again. Only a registry of another cluster id (restored from a backup) is started over with, and that is said.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

Key = bytes


@dataclass(frozen=True)
class Header:
    """Every answer's: which cluster, and its revision when it answered."""

    cluster: int
    revision: int


@dataclass(frozen=True)
class Row:
    """One key as of `revision`; value None: deleted."""

    key: Key
    value: bytes | None
    revision: int


# ---- asked of the registry ---------------------------------------------------------------------------------


@dataclass(frozen=True)
class List:
    """Read a page of the prefix: keys from `after` on (exclusive, b"" is the start), at `revision` (0: now)."""

    after: Key = b""
    revision: int = 0


@dataclass(frozen=True)
class Follow:
    """Watch the prefix from `revision` on."""

    revision: int


@dataclass(frozen=True)
class Close:
    """Give up the connection; `wait` ms, then connect again."""

    wait: float
    why: str


# ---- told to the owner -------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Delta:
    """What changed, as one step. whole: by a full read, whose difference this is; else of one revision."""

    rows: tuple[Row, ...]
    revision: int
    whole: bool


@dataclass(frozen=True)
class Say:
    text: str


Action = List | Follow | Close | Delta | Say


@dataclass(frozen=True)
class Limits:
    """wait, wait_most: ms between tries, doubling, jittered. reads_per_min: full reads. page: keys a page."""

    wait: float = 100.0
    wait_most: float = 10_000.0
    reads_per_min: float = 6.0
    page: int = 1_000
    rows_most: int = 1_000_000
    fragment_most: int = 1_000_000


@dataclass
class Sync:
    """chance(): a number in [0, 1), from the owner's seed, to spread those that come back at once."""

    limits: Limits
    chance: Callable[[], float]
    view: dict[Key, Row] = field(default_factory=dict)
    revision: int = 0  # all changes up to here were handed out
    cluster: int = 0
    phase: str = "down"  # "down", "listing" or "watching"
    tries: int = 0
    pages: dict[Key, Row] = field(default_factory=dict)
    page_revision: int = 0
    fragments: list[Row] = field(default_factory=list)
    reads: float = 0.0
    reads_at: float = 0.0

    def __post_init__(self) -> None:
        self.reads = max(1.0, self.limits.reads_per_min / 2)

    # ---- connection ------------------------------------------------------------------------------------

    def connected(self, now: float) -> list[Action]:
        """A way to the registry is there: go on where it broke, or read all."""
        self.fragments = []
        if self.revision:
            self.phase = "watching"
            return [Follow(self.revision + 1)]
        return self.read(now)

    def broken(self, now: float, why: str) -> list[Action]:
        """The way is gone, or was given up. Nothing of a half-read page or fragment is used."""
        self.phase, self.pages, self.fragments = "down", {}, []
        # Full jitter: fifty that lost the same registry must not come back together.
        most = min(self.limits.wait_most, self.limits.wait * 2 ** min(self.tries, 20))
        self.tries += 1
        return [Close(most * (0.1 + 0.9 * self.chance()), why)]

    def read(self, now: float) -> list[Action]:
        """A full read, if the budget allows it now; else later."""
        rate = self.limits.reads_per_min / 60_000.0
        self.reads = min(max(1.0, self.limits.reads_per_min / 2), self.reads + (now - self.reads_at) * rate)
        self.reads_at = now
        if self.reads < 1.0:
            self.phase = "down"
            return [Close((1.0 - self.reads) / rate, "full reads are bounded")]
        self.reads -= 1.0
        self.phase, self.pages, self.page_revision = "listing", {}, 0
        return [List()]

    def met(self, now: float, header: Header) -> list[Action] | None:
        """Checks who answers. None: go on. Else what to do instead of using the answer."""
        if not self.cluster:
            self.cluster = header.cluster
        if header.cluster != self.cluster:
            say = Say(f"another cluster ({header.cluster:x} after {self.cluster:x}): starting over")
            self.cluster, self.revision = header.cluster, 0
            self.phase, self.fragments = "listing", []
            return [say, *self.read(now)]
        return None

    # ---- a full read -----------------------------------------------------------------------------------

    def listed(self, now: float, header: Header, rows: Sequence[Row], more: bool) -> list[Action]:
        """A page of a full read has come."""
        if self.phase != "listing":
            return []
        if instead := self.met(now, header):
            return instead
        if header.revision < max(self.revision, self.page_revision):
            # A member that lags behind: what it says would undo what is known.
            return self.broken(now, f"answer of revision {header.revision}, {self.revision} is known")
        if not self.page_revision:
            self.page_revision = header.revision  # all pages are read at the first one's revision
        for row in rows:
            self.pages[row.key] = row
        if len(self.pages) > self.limits.rows_most:
            return self.broken(now, f"more than {self.limits.rows_most} keys")
        if more and rows:
            return [List(rows[-1].key, self.page_revision)]
        self.tries = 0
        new, self.pages = self.pages, {}
        at = self.page_revision
        changed = [r for r in new.values() if self.view.get(r.key) != r]
        changed += [Row(k, None, at) for k in self.view if k not in new]
        self.view, self.revision, self.phase = new, at, "watching"
        delta = [Delta(tuple(sorted(changed, key=lambda r: (r.revision, r.key))), at, True)] if changed else []
        return [*delta, Follow(at + 1)]

    def list_compacted(self, now: float) -> list[Action]:
        """The revision that a page was asked at is compacted away meanwhile: read again from the start."""
        return self.read(now) if self.phase == "listing" else []

    # ---- a watch ---------------------------------------------------------------------------------------

    def watched(self, now: float, header: Header, rows: Sequence[Row], fragment: bool = False) -> list[Action]:
        """Changes have come, in order; `fragment`: more of the same answer follow."""
        if self.phase != "watching":
            return []
        if instead := self.met(now, header):
            return instead
        self.tries = 0
        self.fragments += rows
        if fragment:
            if len(self.fragments) > self.limits.fragment_most:
                return self.broken(now, f"more than {self.limits.fragment_most} changes in one answer")
            return []
        rows, self.fragments = self.fragments, []
        out: list[Action] = []
        at = 0
        for row in rows:
            if row.revision < at:
                return [*out, *self.broken(now, f"revision {row.revision} after {at}: out of order")]
            at = row.revision
        steps: dict[int, dict[Key, Row]] = {}
        for row in rows:
            if row.revision > self.revision:  # else it was handed out before the way broke
                steps.setdefault(row.revision, {})[row.key] = row
        for revision, changed in steps.items():
            real = []
            for row in changed.values():
                if row.value is not None:
                    self.view[row.key] = row
                    real.append(row)
                elif self.view.pop(row.key, None):
                    real.append(row)
            self.revision = revision
            if len(self.view) > self.limits.rows_most:
                return [*out, *self.broken(now, f"more than {self.limits.rows_most} keys")]
            if real:
                out.append(Delta(tuple(real), revision, False))
        return out

    def progress(self, now: float, header: Header) -> list[Action]:
        """All changes up to the header's revision were sent: a resume may begin after it."""
        if self.phase != "watching":
            return []
        if instead := self.met(now, header):
            return instead
        self.tries = 0
        if not self.fragments and header.revision > self.revision:
            self.revision = header.revision
        return []

    def created(self, now: float, header: Header) -> list[Action]:
        """The watch stands. A member that has not even our revision will send nothing of the past: it may stay."""
        if self.phase != "watching":
            return []
        return self.met(now, header) or []

    def cancelled(self, now: float, header: Header | None, compacted: int, why: str) -> list[Action]:
        """The registry ended the watch. compacted: the oldest revision that it still has, 0 if that is not why."""
        if self.phase != "watching":
            return []
        self.fragments = []
        if header and (instead := self.met(now, header)):
            return instead
        if compacted > self.revision:
            return [Say(f"revision {self.revision} is compacted away ({compacted}): full read"), *self.read(now)]
        return self.broken(now, f"watch cancelled: {why}")
