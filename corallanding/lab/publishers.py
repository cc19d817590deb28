"""Other deciders in place of the module: a baseline, and one saboteur for each rule that the audit must catch."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence

from .. import interface as api
from ..assignment import Assigner
from ..controller.event_inbox import Decider


class Hashing:
    """The baseline: each slice on the host that plain hashing picks among those listed as up. No load, no gate."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.hosts: dict[int, api.HostEntry] = {}
        self.slices: dict[int, dict[int, float]] = {}
        self.begun = False

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        out: list[api.Action] = []
        for e in events:
            match e:
                case api.HostListUpdate(kind=api.HostListKind.FAILED):
                    out.append(api.StartTimer(500.0, 1))
                case api.HostListUpdate():
                    self.hosts = {} if e.kind is not api.HostListKind.CHANGES else self.hosts
                    self.hosts.update({x.host: x for x in e.entries})
                case api.SliceOwnershipChange(is_owned=True):
                    self.slices[e.slice] = {}
                case api.StoredWeight():
                    self.slices[e.slice][e.host] = e.weight
                case api.TimerFired(timer=1):
                    out.append(api.WatchHostList(True))
        if not self.begun:
            self.begun = True
            out.append(api.WatchHostList(True))
        up = [h for h, x in self.hosts.items() if x.state == "up"]
        for s, lines in self.slices.items():
            if up:
                to = max(up, key=lambda h: zlib.crc32(f"{s}:{h}".encode()))
                if set(lines) != {to}:
                    out.append(api.SetWeight(s, to, 1.0))
                    out += [api.SetWeight(s, h, 0.0) for h in lines if h != to]
                    self.slices[s] = {to: 1.0}
        return out


class Saboteur:
    """The module, with one kind of wrong order mixed in."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.inner = settings, Assigner(settings, seed)
        self.begun: float | None = None

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        self.begun = now if self.begun is None else self.begun
        return self.spoil(now, events, self.inner.step(now, events))

    def spoil(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        raise NotImplementedError


class Barer(Saboteur):
    """Rule 1: empties a slice and never fills it again."""

    def spoil(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        assert self.begun is not None
        if now - self.begun < 3_000.0:
            return actions
        kept = [a for a in actions if not (isinstance(a, api.SetWeight) and a.slice == 0)]
        return [*kept, api.ResetTable(0)]


class Doubler(Saboteur):
    """Rule 2: has every operation tried again after any failure, and a second host to try it at."""

    def spoil(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        out: list[api.Action] = []
        hosts = sorted(self.inner.hosts)
        for a in actions:
            out.append(
                api.SetAdmission(a.slice, a.request_classes, a.amount, api.RetryMode.TWICE)
                if isinstance(a, api.SetAdmission)
                else a
            )
            if isinstance(a, api.SetWeight) and a.weight > 0:
                out.append(api.SetWeight(a.slice, hosts[(hosts.index(a.host) + 1) % len(hosts)], 1.0))
        return out


class Clinger(Saboteur):
    """Rule 3: never hears that a host drains or is gone."""

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        heard: list[api.Event] = []
        for e in events:
            if isinstance(e, api.HostListUpdate):
                entries = tuple(x for x in e.entries if x.state == "up")
                heard.append(api.HostListUpdate(api.HostListKind.CHANGES, e.version, entries))
            elif not isinstance(e, api.HostUsageReport):
                heard.append(e)
        return self.inner.step(now, heard)


class Pusher(Saboteur):
    """Rule 4: puts every slice on the newest host as soon as it is listed."""

    def spoil(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        assert self.begun is not None
        for e in events:
            if isinstance(e, api.HostListUpdate) and now - self.begun > 500.0:
                for x in e.entries:
                    if x.state == "up" and x.online_since > self.begun:
                        for s in range(self.set.slice_count):
                            actions.append(api.SetWeight(s, x.host, 1000.0))
        return actions


class Flooder(Saboteur):
    """Rule 5: writes every table anew at every step."""

    def spoil(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        level = api.SetAdmission(api.ALL_TABLES, 0, 1.0, api.RetryMode.PROVEN_UNRUN)
        return [*actions, *(level for _ in range(self.set.slice_count))]


PUBLISHERS: dict[str, Callable[[api.Settings, int], Decider]] = {
    "corallanding": Assigner,
    "hashing": Hashing,
    "barer": Barer,
    "doubler": Doubler,
    "clinger": Clinger,
    "pusher": Pusher,
    "flooder": Flooder,
}
