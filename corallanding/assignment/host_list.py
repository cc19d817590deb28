"""The known hosts, maintained from the host list updates of the site."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from .. import interface as api
from .publication import HOST_LIST_TIMER, DecisionReason, Publication
from .state import Host

MIN_POLL_DELAY = 0.05
POLL_DELAY_SPREAD = 0.1
"""Minimum and random spread of the delay after a failed poll of the host list, as shares of the poll interval."""


MAX_CLOCK_STEP_MS = 2 * 3_600_000.0
"""The age beyond which a host is old by any wall clock: clocks are set by up to an hour."""


@dataclass(frozen=True)
class ReceivedList:
    """The list or changes that an entry is part of.

    `is_first`: no host was listed before. `is_outdated`: its version is below that of the list before. `last_start_ms`:
    the last process start in it that is not ahead of this controller's clock.
    """

    kind: api.HostListKind
    is_first: bool
    is_outdated: bool
    last_start_ms: float


def _is_new_process(host: Host, entry: api.HostEntry, received: ReceivedList) -> bool:
    """Return whether an entry tells of another process than the last one; its start may seem earlier.

    Entries without a start time tell of none, and an outdated list may repeat a former process.
    """
    if entry.online_since == 0.0:
        return False
    if received.is_outdated:
        return entry.online_since > host.entry.online_since
    return entry.online_since != host.entry.online_since


def _last_start_ms(entries: Iterable[api.HostEntry], now_ms: float) -> float:
    """Return the last process start that is stated and not ahead of the clock; minus infinity if there is none."""
    starts = (entry.online_since for entry in entries if entry.online_since != 0.0)
    return max((start for start in starts if start <= now_ms), default=-math.inf)


class HostList:
    """All hosts that were ever mentioned and not removed from memory, whether they are listed or not.

    Invariant: `has_fresh_list` is false until a host list newer than the saved one has arrived. Until then, a host that
    is missing from the list may simply be newer than that list.
    """

    def __init__(self, settings: api.Settings, seed: int, hosts: dict[int, Host], publication: Publication) -> None:
        self.settings = settings
        self.seed = seed
        self.publication = publication
        self.hosts = hosts
        self.has_fresh_list = False
        self.random_draws = 0  # random numbers derived from `seed` so far
        self.version = 0  # the version of the last list

    def get_or_create(self, host_id: int) -> Host:
        """Return the host with that id; an unknown host is added as not listed."""
        if host_id not in self.hosts:
            self.hosts[host_id] = Host(host_id, api.HostEntry(host_id), is_listed=False)
        return self.hosts[host_id]

    def on_host_list_update(self, event: api.HostListUpdate) -> None:
        """Apply a full host list or changes of it; schedule another poll after a failed one."""
        if event.kind is api.HostListKind.FAILED:
            self._retry_poll()
            return
        if event.kind is not api.HostListKind.CHANGES:
            self._unlist_missing(event.entries)
        received = ReceivedList(
            kind=event.kind,
            is_first=all(host.process_started_at_ms == -math.inf for host in self.hosts.values()),
            is_outdated=event.version < self.version,
            last_start_ms=_last_start_ms(event.entries, self.publication.now_ms),
        )
        self.version = event.version
        for entry in event.entries:
            self._apply_entry(entry, received)
        self.has_fresh_list = self.has_fresh_list or event.kind is not api.HostListKind.SAVED

    def _retry_poll(self) -> None:
        """Schedule a poll after a random share of the interval, so that controllers do not all poll at once."""
        self.publication.actions.append(api.LogNote("list call failed"))
        self.random_draws += 1
        random_fraction = zlib.crc32(f"{self.seed}:{self.random_draws}".encode()) / 2**32
        delay_ms = self.settings.poll_interval_ms * (MIN_POLL_DELAY + POLL_DELAY_SPREAD * random_fraction)
        self.publication.actions.append(api.StartTimer(delay_ms, HOST_LIST_TIMER))

    def _unlist_missing(self, entries: Iterable[api.HostEntry]) -> None:
        listed_ids = {entry.host for entry in entries}
        for host in self.hosts.values():
            if host.is_listed and host.id not in listed_ids:
                host.is_listed = False
                self.publication.require_decision(DecisionReason.LEAVING_HOST)

    def _apply_entry(self, entry: api.HostEntry, received: ReceivedList) -> None:
        host = self.get_or_create(entry.host)
        if entry.state == api.HostState.REMOVED:
            # The last listed entry is kept, as the host may be draining.
            if host.is_listed:
                self.publication.require_decision(DecisionReason.LEAVING_HOST)
            host.is_listed = False
            return
        if not self.has_fresh_list and received.kind is not api.HostListKind.CHANGES:
            host.alive_at_ms = self.publication.now_ms
        if host.process_started_at_ms == -math.inf:
            self._on_first_entry(host, entry, received)
        elif _is_new_process(host, entry, received):
            self._on_process_start(host)
        else:
            entry = replace(entry, online_since=host.entry.online_since)
        if entry.state != api.HostState.UP:
            self.publication.require_decision(DecisionReason.LEAVING_HOST)
        host.entry = entry
        host.is_listed = True

    def _on_first_entry(self, host: Host, entry: api.HostEntry, received: ReceivedList) -> None:
        """Record the process of a host that is listed for the first time.

        Its age is known only from the first list, and only if that list proves it: a host that is added later may have
        just started, and the wall clocks of two machines need not agree.
        """
        is_old = entry.online_since == 0.0 or (received.is_first and self._is_proven_warm(entry, received))
        if is_old:
            host.process_started_at_ms = entry.online_since
        else:
            self._on_process_start(host)

    def _is_proven_warm(self, entry: api.HostEntry, received: ReceivedList) -> bool:
        """Return whether a host of the first list must be warm, although this machine's wall clock may be set forward.

        It is if another host started a warm-up time later, or if it is older than a clock may be wrong.
        """
        age_ms = self.publication.now_ms - entry.online_since
        if age_ms > MAX_CLOCK_STEP_MS:
            return True
        return (
            age_ms >= self.settings.warm_up_ms
            and entry.online_since <= received.last_start_ms - self.settings.warm_up_ms
        )

    def _on_process_start(self, host: Host) -> None:
        """Record a new process of a host, and discard the observations of the previous one.

        The process counts from the time at which its start was learned, on this controller's own clock.
        """
        now_ms = self.publication.now_ms
        if host.load:
            self.publication.require_decision(DecisionReason.RESTARTED_HOST)
        host.process_started_at_ms = now_ms
        host.start_learned_at_ms = now_ms
        host.failed_at_ms = -math.inf
        host.successes = 0.0
        host.failures = 0.0
        host.consecutive_failures = 0
        host.alive_at_ms = -math.inf
        host.slices_taken = 0
