"""Which server takes a slice, and whether it may yet: rendezvous among those with room, and the gate."""

from bisect import bisect_left as bisect

from .host_health import SUSPECT_FAILURES, HostHealth
from .rendezvous import RendezvousTable, rendezvous_score
from .state import FleetEstimate, Host, Slice

MAX_UTILIZATION = 1.1  # a server may be given slices up to this multiple of the fleet's mean load
MAX_HOLD_MS = 5_000.0  # ms that the old owner stays listed at most while acks are out (design)
MAX_SLICES_PER_WINDOW = 3  # slices that a server is given in a window: at most for a cold one, else off live owners


class Placement:
    """Reads figures and servers. Writes who owns and helps, and through `orders` the slice's lines."""

    def __init__(self, known: HostHealth, ranks: RendezvousTable[Host], figures: FleetEstimate) -> None:
        self.settings, self.host_health, self.rendezvous, self.fleet = known.settings, known, ranks, figures
        self.publication = known.publication

    def shift_load(self, h: Host, part: float) -> None:
        h.load += part
        self.fleet.hosts_with_changed_load[h] = None

    def score(self, s: Slice, h: Host) -> float:
        return h.entry.weight * h.score(s.id)

    def best_host(self, s: Slice, more: float, must: bool, least: float = 0.0) -> Host | None:
        """The top scorer among servers with room; the least used warm one where none has any.

        The caller does nothing with one whose own score is not above `least`.
        """
        taken, few = (
            (s.owner, *s.replicas),
            MAX_SLICES_PER_WINDOW if s.rate_by_class or not s.replicas else 0,
        )  # unheard of, in demand
        f, top, most = self.fleet, None, 0.0
        marks, servers = self.rendezvous.ranking(s.id)
        for mark_, h in zip(marks, servers, strict=True):
            if mark_ * f.max_score_factor <= most:
                return top  # nobody further down can score more
            if h.is_healthy and h not in taken and (used := h.utilization(more)) <= MAX_UTILIZATION:
                value = h.entry.weight * mark_ * (MAX_UTILIZATION * 1.05 - used)
                if value > most and self.may_take_slice(h, few):
                    top, most = h, value
        beyond = marks[-1] * f.max_score_factor if marks and not self.rendezvous.is_complete else 0.0
        if beyond > least or (beyond and top and self.score(s, top) > least):
            # Those that had the room at the survey, and those whose load changed since.
            first = bisect(f.spare_loads, more * (1.0 - 1e-9), key=lambda row: row[0])
            for h in (*(h for _, h in f.spare_loads[first:]), *f.hosts_with_changed_load):
                if (
                    h.is_healthy
                    and h not in taken
                    and (used := h.utilization(more)) <= MAX_UTILIZATION
                    and self.may_take_slice(h, few)
                ):
                    value = h.entry.weight * rendezvous_score(s.id, h.id) * (MAX_UTILIZATION * 1.05 - used)
                    top, most = (h, value) if value > most else (top, most)
        if top:
            return top
        rest = [h for h in f.eligible_hosts if must and h not in taken]
        rest = [h for h in rest if not h.is_warming_up] or rest
        return min(rest, key=lambda h: h.utilization(more)) if rest else None

    def may_take_slice(self, h: Host, few: int) -> bool:
        """A cold server takes its few slices in a window, of all stewards together what they agreed on."""
        return not h.is_warming_up or (
            h.slices_taken < few and self.publication.acquire_quota("cold_slices", h.id, False)
        )

    def count_assignment(self, h: Host) -> None:
        """A slice is given to it."""
        h.slices_taken += 1
        if h.is_warming_up:
            self.publication.acquire_quota("cold_slices", h.id, True)

    def assign_owner(self, s: Slice, h: Host, hold: bool) -> None:
        """Make `h` the owner; the old one goes, or stays until acks."""
        if s.owner:
            self.shift_load(s.owner, -s.load_per_host)
        self.shift_load(h, s.load_per_host)
        self.count_assignment(h)
        s.previous_owner, s.owner, s.candidate = s.owner if hold else None, h, None
        s.replicas = [x for x in s.replicas if x is not h]
        s.hold_version, s.hold_ends_at_ms = (
            self.publication.pending_versions.next_version,
            self.publication.now_ms + MAX_HOLD_MS,
        )
        self.publication.write_table(s)

    def add_replica(self, s: Slice, to: Host, among: tuple[Host | None, ...], less: float) -> None:
        """`to` is one more of the slice's servers; those `among` whom it was shared get `less` each."""
        for x in among:
            if x:
                self.shift_load(x, less - s.load_per_host)
        self.shift_load(to, less)
        self.count_assignment(to)
        s.replicas.append(to)

    def passes_gate(self, s: Slice, to: Host) -> bool:
        """The gate: the destination was heard sound, or a window has passed without a run of failures."""
        now = self.publication.now_ms
        if s.candidate is not to:
            s.candidate, s.candidate_since_ms = to, now
            if now - to.alive_at_ms > self.settings.report_interval_ms:
                self.host_health.request_health_check(to)
        known = to.consecutive_failures == 0 and now - to.succeeded_at_ms <= 2 * self.fleet.report_window_ms
        ready = to.consecutive_failures < SUSPECT_FAILURES and (
            known or now - s.candidate_since_ms >= self.settings.report_interval_ms
        )
        return ready and to.slices_taken < MAX_SLICES_PER_WINDOW and self.publication.acquire_quota("moves", 0, True)
