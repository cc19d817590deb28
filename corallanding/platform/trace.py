"""What the steward believes, in lines for the trace: to be laid beside what passes on the sockets."""

from __future__ import annotations

import resource
from collections.abc import Iterator, Sequence
from typing import Protocol

from .. import interface as api
from ..assignment import Assigner
from ..collector.reports import ReportIntake
from ..collector.server import CollectorServer
from ..controller.event_inbox import EventInbox
from ..discovery.host_list import HostListView
from ..discovery.long_poll import DiscoveryClient
from ..host_names import name
from ..relay.orders import Order
from ..relay.pending_calls import PendingCalls
from ..relay.subscription import RelayView
from ..relay.subscription_connection import Subscription
from .clock import Clock


class Shown(Protocol):
    """What a steward on the platform shows of itself. took, took_most: ms of the last and of the longest step."""

    view: HostListView
    agent: DiscoveryClient
    news: RelayView
    news_link: Subscription
    calls: PendingCalls
    intake: ReportIntake
    door: CollectorServer | None
    turns: EventInbox
    clock: Clock
    took: float
    took_most: float


def orders(given: Sequence[Order]) -> str:
    """Orders in short."""
    words = []
    for o in given:
        match o:
            case api.SetWeight():
                words.append(f"{o.slice}{'+' if o.weight > 0 else '-'}{name(o.host)}")
            case api.Cordon():
                words.append(f"{'out' if o.is_cordoned else 'in'} {name(o.host)}")
            case _:
                words.append(str(o))
    return " ".join(words)


def module(a: Assigner) -> Iterator[str]:
    """The four most strained hosts, each as name:strain/load/fair part, and what slices the first of them owns."""
    crowd = sorted((h for h in a.hosts.values() if h.is_listed), key=lambda h: -h.latency_ratio)
    pooled = sum(h.is_eligible for h in a.hosts.values())
    said = " ".join(f"{name(h.id)}:{h.latency_ratio:.2f}/{h.load:.1f}/{h.fair_load:.1f}" for h in crowd[:4])
    yield f"pooled={pooled} median={a.fleet.median_latency_ratio:.2f} level={a.admission.level:.2f} worst {said}"
    if crowd:
        rows = sorted((s for s in a.slices.values() if s.owner is crowd[0]), key=lambda s: -s.load_per_host)
        yield f"{name(crowd[0].id)} owns " + " ".join(
            f"{s.id}:{s.load_per_host:.1f}x{1 + len(s.replicas)}" for s in rows[:12]
        )


def figures(s: Shown) -> Iterator[str]:
    """A second's figures: what was told, what was said, what it cost."""
    news, door = s.news_link.current, s.door
    yield (
        f"list={s.view.version} hosts={len(s.view.entries)} proxies={len(s.news.proxies)} slices={len(s.news.tables)} "
        f"news={s.clock() - news.last_received_ms if news else -1.0:.0f} breaks={s.news_link.break_count} "
        f"polls={s.agent.poll_count} "
        f"reports={s.intake.accepted} spoilt={dict(s.intake.rejected)} ended={dict(door.close_reasons) if door else {}}"
    )
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield (
        f"calls={s.calls.counts} waiting={len(s.calls.waiting)} step={s.took:.1f}/{s.took_most:.1f} "
        f"cpu={usage.ru_utime + usage.ru_stime:.2f} rss={usage.ru_maxrss // 1024}"
    )
    if isinstance(s.turns.assigner, Assigner):
        yield from module(s.turns.assigner)
