"""What the parts of the module share: records of servers and slices, and the fleet's figures. Decides nothing."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from .. import interface as api
from .rendezvous import rendezvous_score

VERSION_MODULUS = 65536  # marks are numbered below this


def upper_median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


@dataclass(eq=False)
class Host:
    """All that is known of one server."""

    id: int
    entry: api.HostEntry
    is_listed: bool = True
    process_started_at_ms: float = -math.inf  # start of the present process, as far as known
    start_learned_at_ms: float = -math.inf  # when this start was heard of
    failed_at_ms: float = -math.inf  # when it was last heard failing
    successes: float = 0.0  # fading counts of tries answered and not
    failures: float = 0.0
    consecutive_failures: int = 0  # tries in a row without an answer
    succeeded_at_ms: float = -math.inf  # when a good answer was last heard of
    alive_at_ms: float = -math.inf  # its last sign of life: a good answer, a passed probe, or the saved list
    latency_ms: float = 0.0  # smoothed mean answer
    base_latency_ms: float = 0.0  # the same when uncrowded: its speed
    load: float = 0.0  # invocations a second of the slices that it owns
    scores: dict[int, float] = field(default_factory=dict)  # those asked for one by one, by slice
    is_being_checked: bool = False
    health_check_latency_ms: float = 0.0  # what its last passed probe took
    is_cordoned: bool = False
    slices_taken: int = 0  # slices given in the present window
    taking_since_ms: float = -math.inf
    shed_at_ms: float = -math.inf  # when a slice last left it for being crowded
    shed_target_load: float = math.inf  # the load that it was to come down to then, among several stewards
    # What a turn asks of it again and again, as the survey at its beginning found it:
    is_eligible: bool = False  # it may own
    is_healthy: bool = False  # it is in the pool and not strained: it may be given more
    is_warming_up: bool = False  # see `Known.cold`
    capacity: float = 0.0  # see `Survey.capacity`
    fair_load: float = 0.0  # the load that is its part
    latency_ratio: float = 0.0  # see `known.strain`

    def score(self, slice: int) -> float:
        if slice not in self.scores:
            self.scores[slice] = rendezvous_score(slice, self.id)
        return self.scores[slice]

    def utilization(self, more: float = 0.0) -> float:
        return (self.load + more) / self.fair_load if self.fair_load else 0.0


@dataclass(eq=False)
class Slice:
    id: int
    weights: dict[Host, float] = field(default_factory=dict)
    owner: Host | None = None
    replicas: list[Host] = field(default_factory=list)  # further servers while it is in demand
    requests_per_second: float = 0.0
    candidate: Host | None = None  # destination whose soundness is awaited
    candidate_since_ms: float = 0.0
    previous_owner: Host | None = None  # the old owner, listed until all have acked the mark or the hold ends
    hold_version: int = 0
    hold_ends_at_ms: float = 0.0
    hosts_considered: int = 0  # servers among which a turn has looked for a better owner
    rate_by_class: dict[int, float] = field(default_factory=dict)

    @property
    def load_per_host(self) -> float:  # what each of its servers gets
        return self.requests_per_second / (1 + len(self.replicas))


@dataclass(eq=False)
class FleetEstimate:
    """Of the fleet, as the last survey found them: only `Survey` writes here."""

    report_window_ms: float  # ms in which each sum comes anew
    feedback_delay_ms: float  # ms until sums tell of a change
    median_latency_ratio: float = 0.0  # strain and speed (as `Host.floor`) of the median server
    typical_latency_ms: float = 0.0
    typical_latency_ms_by_kind: dict[int, float] = field(default_factory=dict)  # speed of each kind's median server
    overload_ratio: float = 0.0  # strain above which a server is crowded, the fleet's own considered
    answerable_share: float = 0.0  # what part of the demand the fleet can answer
    load_per_capacity: float = 0.0  # load by capacity, and the same of all stewards
    site_load_per_capacity: float = 0.0
    max_score_factor: float = 0.0  # a mark times this is above any score times what room is left
    eligible_hosts: list[Host] = field(default_factory=list)  # those that may own
    spare_loads: list[tuple[float, Host]] = field(default_factory=list)  # load that each may still be given, ascending
    hosts_with_changed_load: dict[Host, None] = field(
        default_factory=dict
    )  # those whose load changed since: `Owners` adds


class PendingVersions:
    """Marks that joined proxies have not acked, what their messages cost, and when messages went out to all."""

    def __init__(self) -> None:
        self.unacked_by_proxy: dict[int, deque[tuple[int, float]]] = {}
        self.sent_at_ms: deque[float] = deque()
        self.last_version = 0  # the last that was asked for

    @property
    def next_version(self) -> int:
        return (self.last_version + 1) % VERSION_MODULUS

    def on_proxy_joined(self, e: api.ProxyJoined) -> None:
        self.unacked_by_proxy[e.proxy] = deque()

    def on_proxy_left(self, e: api.ProxyLeft) -> None:
        self.unacked_by_proxy.pop(e.proxy, None)

    def on_version_acked(self, e: api.VersionAcked) -> None:
        out = self.unacked_by_proxy.get(e.proxy)
        while out and is_at_or_before(e.version, out[0][0]):
            out.popleft()

    def publish(self, now: float, cost: float) -> api.PublishVersion:
        """A message to all, of so many lines, closed by a mark."""
        self.last_version = self.next_version
        self.sent_at_ms.append(now)
        for out in self.unacked_by_proxy.values():
            out.append((self.last_version, cost))
        return api.PublishVersion(self.last_version)

    def messages_since(self, then: float) -> int:
        """Messages after `then`; older ones are forgotten."""
        while self.sent_at_ms and self.sent_at_ms[0] <= then:
            self.sent_at_ms.popleft()
        return len(self.sent_at_ms)

    def queued_lines(self) -> float:
        """Lines of messages that were not acked, over all proxies."""
        return sum(cost for out in self.unacked_by_proxy.values() for _, cost in out)

    def unacked_versions(self) -> set[int]:
        """Marks whose ack is awaited of some proxy."""
        return {m for out in self.unacked_by_proxy.values() for m, _ in out}


def is_at_or_before(number: int, rendezvous_score: int) -> bool:
    """Whether `mark` is `number` or was asked for before it."""
    return (number - rendezvous_score) % VERSION_MODULUS < VERSION_MODULUS // 2
