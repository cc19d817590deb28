"""Which slices move: at once off an owner that is dead, draining or tips over; else gated, paced, held."""

from .. import interface as api
from .host_health import OVERLOAD_RATIO, HostHealth
from .load_estimate import OUTLIER_FACTOR
from .placement import MAX_SLICES_PER_WINDOW, MAX_UTILIZATION, Placement
from .state import FleetEstimate, Host, Slice, is_at_or_before

INCUMBENT_FACTOR = 8.0  # times the number of slices: what a sitting owner's score counts more than a stranger's
WARM_UP_OVERLOAD_SHARE = (
    0.5  # of the stated fall multiple: load over its fair part at which a cold server sheds at once
)
SHED_UTILIZATION = 1.5  # times its fair part: a server with more passes slices on before it is strained
SMALL_SAMPLE_ATTEMPTS = (
    4.0  # tries: each of several stewards hears but some, and in a calm fleet few of them are chance
)
HOT_SLICE_SHARE = 0.5  # of a server's fair part: a slice with more is shared, not moved, when its server is crowded
MAX_SCORES_PER_TURN = (
    300_000  # worked out in one ordinary turn; in larger fleets slices beyond them wait for a later one
)


class Migration:
    """Reads servers and figures. Writes owners and helpers by `owners`, who is shut out."""

    def __init__(self, known: HostHealth, slices: dict[int, Slice], owners: Placement, figures: FleetEstimate) -> None:
        self.settings, self.host_health, self.placement, self.rendezvous = (
            known.settings,
            known,
            owners,
            owners.rendezvous,
        )
        self.publication, self.slices, self.fleet = known.publication, slices, figures

    def evacuate_unavailable_hosts(self) -> None:
        """Slices without an owner, or whose owner is dead or draining, go at once, the busiest first."""
        self.update_cordons()
        # What could not be written before goes first.
        for s in self.slices.values():
            s.replicas = s.replicas and [h for h in s.replicas if h.is_eligible]
            s.previous_owner = s.previous_owner if s.previous_owner and s.previous_owner.is_eligible else None
            if s.owner and s.owner.is_eligible:
                self.publication.write_table(s)
        unsure = (h for h in self.host_health.hosts.values() if not (h.is_listed or self.host_health.has_fresh_list))
        stay = {*self.fleet.eligible_hosts, *unsure}
        lost = [s for s in self.slices.values() if s.owner not in stay] + self.shed_overloaded_warming_hosts()
        for s in sorted(
            lost, key=lambda s: (not s.owner or not self.host_health.is_leaving(s.owner), -s.requests_per_second, s.id)
        ):
            if s.replicas:
                self.placement.assign_owner(s, max(s.replicas, key=lambda h: self.placement.score(s, h)), hold=False)
            elif to := self.placement.best_host(s, s.load_per_host, must=True):
                self.placement.assign_owner(s, to, hold=False)
            elif s.owner and self.host_health.is_leaving(s.owner):  # nowhere to go: the drain is kept
                s.owner = None
                self.publication.write_table(s)

    def update_cordons(self) -> None:
        """Servers that must go, with more lines than a reply holds (a wave of drains, a hundred proxies), are
        shut out by one line each, not one a slice; old lines go in ordinary turns, a return lifts it."""
        o, leaving = self.publication, self.host_health.is_leaving
        going = {h for h in self.host_health.hosts.values() if leaving(h) and not h.is_cordoned}
        if going:
            going = {h for s in self.slices.values() for h in s.weights if h in going}
        lines = 2 * sum(not going.isdisjoint(s.weights) for s in self.slices.values()) if going else 0
        much = lines > o.line_budget
        for h in self.host_health.hosts.values():
            shut = leaving(h) and (h.is_cordoned or (much and h in going))
            if h.is_cordoned != shut:
                h.is_cordoned, o.lines_published, o.line_budget = shut, o.lines_published + 1, o.line_budget - 1
                o.actions.append(api.Cordon(h.id, shut))

    def shed_overloaded_warming_hosts(self) -> list[Slice]:
        """A cold server that holds too much (it died with its slices and came back, or they grew), or whose
        answers are late, tips over: what is too much leaves without waiting for gate or hold."""
        lost, pool = list[Slice](), self.fleet.eligible_hosts
        warm = any(not h.is_warming_up for h in pool)
        cold: dict[Host, list[Slice]] = {h: [] for h in pool if warm and h.is_warming_up}
        for s in self.slices.values() if cold else ():
            if s.owner in cold:
                cold[s.owner].append(s)
        for h, own in cold.items():
            most = WARM_UP_OVERLOAD_SHARE * self.settings.overload_factor
            if (
                h.latency_ratio > SHED_UTILIZATION * OVERLOAD_RATIO
                and self.publication.now_ms - h.shed_at_ms > self.fleet.report_window_ms
            ):
                most, h.shed_at_ms = min(most, h.utilization() / 2), self.publication.now_ms
            for s in sorted(own, key=lambda s: (-s.requests_per_second, s.id)):
                if h.utilization() > most:
                    self.placement.shift_load(h, -s.load_per_host)
                    lost.append(s)
                    s.owner = None
        return lost

    def release_previous_owners(self) -> None:
        """Old owners go once every proxy has acked, or the hold ends."""
        out = self.publication.pending_versions.unacked_versions()
        for s in self.slices.values():
            waits = s.previous_owner and any(is_at_or_before(s.hold_version, m) for m in out)
            s.previous_owner = s.previous_owner if waits and self.publication.now_ms < s.hold_ends_at_ms else None
            self.publication.write_table(s, all=True)

    def share_hot_slices(self) -> None:
        """Where several stewards share the work, sums come seldom: a slice that asks for more than a whole
        server, and jams its own, is shared at once with as many as it takes."""
        for s in self.slices.values() if self.settings.controller_count > 1 else ():
            h, wide = s.owner, len(s.replicas)
            while (
                h
                and h.latency_ratio > self.fleet.overload_ratio
                and s.load_per_host > h.capacity * self.fleet.site_load_per_capacity
            ):
                less = s.requests_per_second / (2 + len(s.replicas))
                to = self.placement.best_host(s, less, must=True)
                heard = to and self.publication.now_ms - to.succeeded_at_ms <= 2 * self.fleet.report_window_ms
                sound = to and to.consecutive_failures == 0 and to.slices_taken < MAX_SLICES_PER_WINDOW and heard
                if not to or to.is_warming_up or not sound or to.latency_ratio * OUTLIER_FACTOR >= h.latency_ratio:
                    break
                self.placement.add_replica(s, to, (h, *s.replicas), less)
            if len(s.replicas) > wide:
                self.publication.write_table(s)

    def shed_overloaded_hosts(self) -> None:
        """Off crowded servers, down to their part."""
        f, serves = self.fleet, dict[Host, dict[Slice, None]]()  # the slices of each, once one is to shed
        few = (
            SMALL_SAMPLE_ATTEMPTS
            if self.settings.controller_count > 1 and f.median_latency_ratio < OVERLOAD_RATIO / 2
            else 0.0
        )
        for h in f.eligible_hosts:
            tries, used, fresh = (
                h.successes + h.failures,
                h.utilization(),
                self.publication.now_ms - h.shed_at_ms > f.feedback_delay_ms,
            )
            latency_ratio = h.latency_ratio * tries / (tries + few) if tries else 0.0
            over = used if used > SHED_UTILIZATION and latency_ratio > OVERLOAD_RATIO / 2 else 1.0
            goal = h.load * min(1.0, 1.0 / over, f.overload_ratio / max(latency_ratio, 0.01))
            if not fresh:  # far over its part it goes on to the goal that it had: the gate held slices up
                goal, latency_ratio = (
                    h.shed_target_load if used > SHED_UTILIZATION and self.settings.controller_count > 1 else h.load,
                    f.overload_ratio,
                )
            if goal >= h.load:
                continue
            for s in () if serves else self.slices.values():
                for server in (s.owner, *s.replicas):
                    if server:
                        serves.setdefault(server, {})[s] = None
            mine = [s for s in serves.get(h, ()) if not s.previous_owner and (s.owner is h or h in s.replicas)]
            for s in sorted(mine, key=lambda s: (-s.load_per_host, s.id)):
                if h.load - s.load_per_host * 0.5 <= goal:
                    continue
                # A slice that alone fills much of a server is shared: moved, it would crowd the next one.
                share = s.load_per_host > HOT_SLICE_SHARE * h.capacity * f.load_per_capacity
                less = s.requests_per_second / (2 + len(s.replicas))
                to = self.placement.best_host(s, less if share else s.load_per_host, must=share)
                if not to or to.latency_ratio * OUTLIER_FACTOR >= latency_ratio:
                    continue
                fits = not share or (not to.is_warming_up and to.utilization(less) * MAX_UTILIZATION <= h.utilization())
                if fits and self.placement.passes_gate(s, to):
                    if fresh and not h.is_warming_up:  # a cold one's is for what tips it
                        h.shed_at_ms, h.shed_target_load = self.publication.now_ms, goal
                    if share:
                        self.placement.add_replica(s, to, (h,), less)
                        serves.setdefault(to, {})[s] = None
                    elif s.owner is h:
                        self.placement.assign_owner(s, to, hold=True)
                    else:
                        self.placement.shift_load(h, -s.load_per_host)
                        s.replicas.remove(h)
                    self.publication.write_table(s)

    def move_to_better_hosts(self) -> None:
        """Won by a better score; helpers that are no longer needed go."""
        left = MAX_SCORES_PER_TURN
        for s, owner in [(s, s.owner) for s in self.slices.values() if s.owner]:
            if (
                s.replicas
                and s.rate_by_class
                and s.requests_per_second / len(s.replicas)
                < HOT_SLICE_SHARE / 2 * owner.capacity * self.fleet.load_per_capacity
            ):
                s.replicas.remove(min(s.replicas, key=lambda h: self.placement.score(s, h)))
                self.publication.write_table(s)
            # Counted, not seen in the lists: what was worked out ahead must not change what is decided.
            new = len(self.rendezvous.hosts) - s.hosts_considered
            if s.previous_owner or new > left:
                continue
            left, s.hosts_considered = left - new, s.hosts_considered + new
            # Most owners sit so well that nobody could take their place: none is looked for.
            sits, sitting, over = (
                self.placement.score(s, owner),
                INCUMBENT_FACTOR * self.settings.slice_count,
                owner.utilization() > SHED_UTILIZATION,
            )
            least, marks = sits * (min(sitting, 1.0) if over else sitting), self.rendezvous.ranking(s.id)[0]
            if not marks or marks[0] * self.fleet.max_score_factor <= least:
                continue
            if to := self.placement.best_host(s, s.load_per_host, False, least):
                # A sitting owner is preferred, but not to a new server once it holds far over its part: what
                # a fleet grew by would stand idle until the old ones drown. Costs a release a few moves more.
                fresh = (to.is_warming_up or not to.load) and over
                wins = self.placement.score(s, to) > sits * (1.0 if fresh else sitting)
                if wins and self.placement.passes_gate(s, to):
                    self.placement.assign_owner(s, to, hold=True)
