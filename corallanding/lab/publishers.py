"""Other deciders in place of `Assigner`: a baseline, and a faulty one for each rule that the audit must detect."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence

from .. import interface as api
from ..assignment import Assigner
from ..controller.event_inbox import Decider


class HashingDecider:
    """A baseline that assigns each slice by hashing among the hosts listed as up, without regard to load."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.hosts: dict[int, api.HostEntry] = {}
        self.slices: dict[int, dict[int, float]] = {}
        self.begun = False

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Handle events and return actions."""
        result: list[api.Action] = []
        for e in events:
            match e:
                case api.HostListUpdate(kind=api.HostListKind.FAILED):
                    result.append(api.StartTimer(500.0, 1))
                case api.HostListUpdate():
                    self.hosts = {} if e.kind is not api.HostListKind.CHANGES else self.hosts
                    self.hosts.update({x.host: x for x in e.entries})
                case api.SliceOwnershipChange(is_owned=True):
                    self.slices[e.slice] = {}
                case api.StoredWeight():
                    self.slices[e.slice][e.host] = e.weight
                case api.TimerFired(timer=1):
                    result.append(api.WatchHostList(True))
        if not self.begun:
            self.begun = True
            result.append(api.WatchHostList(True))
        up = [h for h, x in self.hosts.items() if x.state == "up"]
        for s, lines in self.slices.items():
            if up:
                target = max(up, key=lambda h: zlib.crc32(f"{s}:{h}".encode()))
                if set(lines) != {target}:
                    result.append(api.SetWeight(s, target, 1.0))
                    result += [api.SetWeight(s, h, 0.0) for h in lines if h != target]
                    self.slices[s] = {target: 1.0}
        return result


class FaultyDecider:
    """`Assigner` with one kind of wrong action added."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.assigner = settings, Assigner(settings, seed)
        self.begun: float | None = None

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Handle events and return actions."""
        self.begun = now if self.begun is None else self.begun
        return self.change_actions(now, events, self.assigner.step(now, events))

    def change_actions(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        """Return the actions with the wrong ones added."""
        raise NotImplementedError


class EmptiesSlice(FaultyDecider):
    """Breaks rule 1: empties a slice and never fills it again."""

    def change_actions(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        assert self.begun is not None
        if now - self.begun < 3_000.0:
            return actions
        kept = [a for a in actions if not (isinstance(a, api.SetWeight) and a.slice == 0)]
        return [*kept, api.ResetTable(0)]


class RetriesUnsafely(FaultyDecider):
    """Breaks rule 2: allows retries of all requests after any failure, and adds a second host for them."""

    def change_actions(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        result: list[api.Action] = []
        hosts = sorted(self.assigner.hosts)
        for a in actions:
            result.append(
                api.SetAdmission(a.slice, a.request_classes, a.amount, api.RetryMode.TWICE)
                if isinstance(a, api.SetAdmission)
                else a
            )
            if isinstance(a, api.SetWeight) and a.weight > 0:
                result.append(api.SetWeight(a.slice, hosts[(hosts.index(a.host) + 1) % len(hosts)], 1.0))
        return result


class IgnoresDrains(FaultyDecider):
    """Breaks rule 3: ignores that hosts are draining or removed."""

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Handle events and return actions."""
        passed_on: list[api.Event] = []
        for e in events:
            if isinstance(e, api.HostListUpdate):
                entries = tuple(x for x in e.entries if x.state == "up")
                passed_on.append(api.HostListUpdate(api.HostListKind.CHANGES, e.version, entries))
            elif not isinstance(e, api.HostUsageReport):
                passed_on.append(e)
        return self.assigner.step(now, passed_on)


class OverloadsColdHosts(FaultyDecider):
    """Breaks rule 4: assigns every slice to a new host as soon as it is listed."""

    def change_actions(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        assert self.begun is not None
        for e in events:
            if isinstance(e, api.HostListUpdate) and now - self.begun > 500.0:
                for x in e.entries:
                    if x.state == "up" and x.online_since > self.begun:
                        for s in range(self.settings.slice_count):
                            actions.append(api.SetWeight(s, x.host, 1000.0))
        return actions


class FloodsChannel(FaultyDecider):
    """Breaks rule 5: sends a line per slice at every step."""

    def change_actions(self, now: float, events: Sequence[api.Event], actions: list[api.Action]) -> list[api.Action]:
        level = api.SetAdmission(api.ALL_TABLES, 0, 1.0, api.RetryMode.PROVEN_UNRUN)
        return [*actions, *(level for _ in range(self.settings.slice_count))]


PUBLISHERS: dict[str, Callable[[api.Settings, int], Decider]] = {
    "corallanding": Assigner,
    "hashing": HashingDecider,
    "barer": EmptiesSlice,
    "doubler": RetriesUnsafely,
    "clinger": IgnoresDrains,
    "pusher": OverloadsColdHosts,
    "flooder": FloodsChannel,
}
