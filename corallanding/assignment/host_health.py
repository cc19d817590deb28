"""What is known of servers: from lists, from sums of what proxies met at them, from probes."""

import math
import zlib

from .. import interface as api
from .publication import Orders
from .state import Figures, Host, middle

CLEAR = 6_000.0  # ms without word of failing after which a server may own again (design)
CROWDED = 0.5  # strain above which a server is crowded
RUN = 4  # tries in a row without an answer that make a server suspect
JAMMED = 1.5  # strain above which a server answers next to nothing
SLOW = 8.0  # times the fleet's median probe: a jammed server whose probe takes longer is slow by itself
SILENT = 2.0  # windows of sums without any answer after which a suspect is failing


def strain(h: Host, objective: float) -> float:
    """Mean answer over the latency objective; a try without an answer counts as two objectives."""
    tries = h.good + h.bad
    return (h.good * h.latency / objective + h.bad * 2.0) / tries if tries >= 1.0 else 0.0


class Known:
    """Reads the figures of the last survey. Writes its servers; asks for probes and turns by `orders`."""

    def __init__(self, settings: api.Settings, seed: int, orders: Orders, figures: Figures) -> None:
        self.set, self.seed, self.orders, self.figures = settings, seed, orders, figures
        self.hosts: dict[int, Host] = {}
        self.fresh = False  # a list newer than the saved one has come
        self.draws, self.done = 0, 0.0  # chances drawn; answers, fading
        self.tight = min((o.latency_objective_ms for o in settings.request_classes), default=1000.0)

    def host(self, id: int) -> Host:
        if id not in self.hosts:
            self.hosts[id] = Host(id, api.HostEntry(id), listed=False)
        return self.hosts[id]

    def listed(self, e: api.HostListUpdate) -> None:
        now, o = self.orders.now, self.orders
        if e.kind is api.HostListKind.FAILED:
            # Ask again soon, spread by chance: the ask rule counts silence as knowledge.
            o.out.append(api.LogNote("list call failed"))
            self.draws += 1
            chance = zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32
            o.out.append(api.StartTimer(self.set.poll_interval_ms * (0.05 + 0.1 * chance), 1))
            return
        if e.kind is not api.HostListKind.CHANGES:
            here = {entry.host for entry in e.entries}
            for h in [h for h in self.hosts.values() if h.listed and h.id not in here]:
                h.listed, o.urgent = False, True
        for entry in e.entries:
            h = self.host(entry.host)
            if entry.state == "removed":  # what was last listed of it stands: it may be draining
                o.urgent, h.listed = o.urgent or h.listed, False
                continue
            if not self.fresh and e.kind is not api.HostListKind.CHANGES:
                h.shown = now
            if entry.online_since > h.since:
                # A new process: what was heard of the old one says nothing of it.
                if h.since > -math.inf or entry.online_since > now - self.set.warm_up_ms:
                    h.told = now
                    h.failed_at, h.good, h.bad, h.run, h.shown = -math.inf, 0.0, 0.0, 0, -math.inf
                h.since = entry.online_since
            o.urgent = o.urgent or entry.state != "up"
            h.entry, h.listed = entry, True
        self.fresh = self.fresh or e.kind is not api.HostListKind.SAVED

    def heard(self, e: api.HostUsageReport) -> None:
        h, now = self.host(e.host), self.orders.now
        if now - h.told < self.set.report_interval_ms + self.set.propagation_ms:
            return  # sums from before a restart
        good = e.attempts - e.failed
        h.good, h.bad = h.good + good, h.bad + e.failed
        if good > 0 and e.latency_ms > 0:
            # Speed shows only while answers don't wait: a crowd says nothing of it (nor after a restart), a
            # few answers little, a cold server only ill. A strained one is slow if the fleet is calm.
            prior = self.figures.typical.get(h.entry.kind) or self.figures.usual or e.latency_ms
            h.latency = h.latency or prior
            h.latency += (e.latency_ms - h.latency) * good / (good + 6.0)
            calm = strain(h, self.tight) < CROWDED / 2
            h.floor = h.floor or prior
            if h.latency < h.floor:
                h.floor += (h.latency - h.floor) * (0.0 if self.cold(h) else 0.3)
            elif calm or self.figures.median < CROWDED / 2:
                h.floor += (h.latency - h.floor) * (0.05 if calm else 0.02)
        self.done += good
        h.run = 0 if good else h.run + e.failed
        if good:
            h.good_at = h.shown = now
        # A run of failures is a crash (a probe fails), a hang (no good answer for windows) or a crowd, which
        # answers some: emptied it would crowd the next. What an emptied one still fails says nothing.
        if h.run >= RUN and h.load:
            hung = now - h.good_at > SILENT * self.figures.window
            (self.failing if hung else self.probe)(h)

    def probe(self, h: Host) -> None:
        if self.set.may_check_health and not h.probing:
            h.probing = True
            self.orders.out.append(api.CheckHealth(h.id))

    def probed(self, e: api.HealthCheckResult) -> None:
        h = self.host(e.host)
        h.probing = False
        if e.outcome is api.HealthCheckOutcome.OK:
            # A server that is slow by itself answers too much to hang and too little to be of use. In a crowd
            # that all share, probes take long everywhere, and nobody could bear what it has.
            h.echo = e.latency_ms
            slow = e.latency_ms > SLOW * middle([x.echo for x in self.hosts.values() if x.listed and x.echo])
            ill = strain(h, self.tight) > JAMMED if h.load else h.failed_at > -math.inf
            if slow and ill and self.figures.median < CROWDED / 2 and not self.cold(h):
                self.failing(h)
                return
        if e.outcome is api.HealthCheckOutcome.OK or (
            e.outcome is api.HealthCheckOutcome.TIMEOUT and h.run < RUN and h.listed
        ):
            # A time-out may be but a long or lossy way.
            h.shown, h.run = self.orders.now, h.run if h.load else 0
        elif e.outcome is not api.HealthCheckOutcome.FULL and (h.run >= RUN or not h.listed):
            self.failing(h)

    def failing(self, h: Host) -> None:
        if self.orders.now - h.failed_at > CLEAR:
            if not self.orders.may("emptied", 0, True):
                return
            self.orders.out.append(api.LogNote(f"failing {h.id} good={h.good:.1f} bad={h.bad:.1f}"))
            self.orders.urgent = True
        h.failed_at = self.orders.now

    def leaving(self, h: Host) -> bool:
        """Told to be gone or draining: nothing may go there."""
        return h.entry.state != "up" or (not h.listed and self.fresh and not self.dropped(h))

    def dropped(self, h: Host) -> bool:
        """Gone from the list, but showing life, where only a drain binds: the list is wrong, not the server.
        Covers lists that blink, empty or go back in time; a dying server keeps work for a probe longer."""
        late = max(CLEAR, SILENT * self.figures.window)
        alive = h.shown > h.failed_at and self.orders.now - h.shown < late
        return self.set.only_drains_bind and not h.listed and alive

    def cold(self, h: Host) -> bool:
        return self.orders.now - h.since < self.set.warm_up_ms
