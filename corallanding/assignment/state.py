"""What the parts of the module share: records of servers and slices, and the fleet's figures. Decides nothing."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from .. import interface as api
from .rendezvous import mark

WRAP = 65536  # marks are numbered below this


def middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


@dataclass(eq=False)
class Host:
    """All that is known of one server."""

    id: int
    entry: api.HostEntry
    listed: bool = True
    since: float = -math.inf  # start of the present process, as far as known
    told: float = -math.inf  # when this start was heard of
    failed_at: float = -math.inf  # when it was last heard failing
    good: float = 0.0  # fading counts of tries answered and not
    bad: float = 0.0
    run: int = 0  # tries in a row without an answer
    good_at: float = -math.inf  # when a good answer was last heard of
    shown: float = -math.inf  # its last sign of life: a good answer, a passed probe, or the saved list
    latency: float = 0.0  # smoothed mean answer
    floor: float = 0.0  # the same when uncrowded: its speed
    load: float = 0.0  # invocations a second of the slices that it owns
    marks: dict[int, float] = field(default_factory=dict)  # those asked for one by one, by slice
    probing: bool = False
    echo: float = 0.0  # what its last passed probe took
    cordoned: bool = False
    taken: int = 0  # slices given in the present window
    taken_at: float = -math.inf
    shed_at: float = -math.inf  # when a slice last left it for being crowded
    goal: float = math.inf  # the load that it was to come down to then, among several stewards
    # What a turn asks of it again and again, as the survey at its beginning found it:
    pooled: bool = False  # it may own
    sound: bool = False  # it is in the pool and not strained: it may be given more
    chilly: bool = False  # see `Known.cold`
    space: float = 0.0  # see `Survey.capacity`
    fair: float = 0.0  # the load that is its part
    stress: float = 0.0  # see `known.strain`

    def mark(self, slice: int) -> float:
        if slice not in self.marks:
            self.marks[slice] = mark(slice, self.id)
        return self.marks[slice]

    def used(self, more: float = 0.0) -> float:
        return (self.load + more) / self.fair if self.fair else 0.0


@dataclass(eq=False)
class Slice:
    id: int
    lines: dict[Host, float] = field(default_factory=dict)
    owner: Host | None = None
    helpers: list[Host] = field(default_factory=list)  # further servers while it is in demand
    rate: float = 0.0
    want: Host | None = None  # destination whose soundness is awaited
    want_at: float = 0.0
    held: Host | None = None  # the old owner, listed until all have acked the mark or the hold ends
    hold_mark: int = 0
    hold_end: float = 0.0
    looked: int = 0  # servers among which a turn has looked for a better owner
    rates: dict[int, float] = field(default_factory=dict)

    @property
    def part(self) -> float:  # what each of its servers gets
        return self.rate / (1 + len(self.helpers))


@dataclass(eq=False)
class Figures:
    """Of the fleet, as the last survey found them: only `Survey` writes here."""

    window: float  # ms in which each sum comes anew
    wait: float  # ms until sums tell of a change
    median: float = 0.0  # strain and speed (as `Host.floor`) of the median server
    usual: float = 0.0
    typical: dict[int, float] = field(default_factory=dict)  # speed of each kind's median server
    strained: float = 0.0  # strain above which a server is crowded, the fleet's own considered
    fit: float = 0.0  # what part of the demand the fleet can answer
    mean: float = 0.0  # load by capacity, and the same of all stewards
    whole: float = 0.0
    heaviest: float = 0.0  # a mark times this is above any score times what room is left
    pool: list[Host] = field(default_factory=list)  # those that may own
    spare: list[tuple[float, Host]] = field(default_factory=list)  # load that each may still be given, ascending
    shifted: dict[Host, None] = field(default_factory=dict)  # those whose load changed since: `Owners` adds


class Pending:
    """Marks that joined proxies have not acked, what their messages cost, and when messages went out to all."""

    def __init__(self) -> None:
        self.proxies: dict[int, deque[tuple[int, float]]] = {}
        self.sent: deque[float] = deque()
        self.mark = 0  # the last that was asked for

    @property
    def next(self) -> int:
        return (self.mark + 1) % WRAP

    def joined(self, e: api.ProxyJoined) -> None:
        self.proxies[e.proxy] = deque()

    def left(self, e: api.ProxyLeft) -> None:
        self.proxies.pop(e.proxy, None)

    def acked(self, e: api.VersionAcked) -> None:
        out = self.proxies.get(e.proxy)
        while out and upto(e.version, out[0][0]):
            out.popleft()

    def went(self, now: float, cost: float) -> api.PublishVersion:
        """A message to all, of so many lines, closed by a mark."""
        self.mark = self.next
        self.sent.append(now)
        for out in self.proxies.values():
            out.append((self.mark, cost))
        return api.PublishVersion(self.mark)

    def since(self, then: float) -> int:
        """Messages after `then`; older ones are forgotten."""
        while self.sent and self.sent[0] <= then:
            self.sent.popleft()
        return len(self.sent)

    def waiting(self) -> float:
        """Lines of messages that were not acked, over all proxies."""
        return sum(cost for out in self.proxies.values() for _, cost in out)

    def open(self) -> set[int]:
        """Marks whose ack is awaited of some proxy."""
        return {m for out in self.proxies.values() for m, _ in out}


def upto(number: int, mark: int) -> bool:
    """Whether `mark` is `number` or was asked for before it."""
    return (number - mark) % WRAP < WRAP // 2
