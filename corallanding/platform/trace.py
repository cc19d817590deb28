"""Trace lines on the state and actions of a controller, for comparison with the traffic on its sockets."""

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
from ..host_names import host_name
from ..relay.orders import Order
from ..relay.pending_calls import PendingCalls
from ..relay.subscription import RelayView
from ..relay.subscription_connection import Subscription
from .clock import Clock
from .decision_loop import DecisionLoop
from .logs import log

MAX_SHOWN_HOSTS = 4
MAX_SHOWN_SLICES = 12


class TracedController(Protocol):
    """The components of a controller that trace lines report on."""

    host_list: HostListView
    discovery: DiscoveryClient
    relay_view: RelayView
    subscription: Subscription
    calls: PendingCalls
    intake: ReportIntake
    server: CollectorServer | None
    inbox: EventInbox
    decisions: DecisionLoop
    clock: Clock


def log_event(event: api.Event) -> None:
    """Log usage reports, and changes of proxies and of slice ownership."""
    if isinstance(event, api.HostUsageReport | api.SliceUsageReport):
        log.info("usage report: %s", event)
    elif isinstance(event, api.SliceOwnershipChange | api.ProxyLeft | api.ProxyJoined | api.AcksLost):
        log.info("watch event: %s", event)


def describe_orders(orders: Sequence[Order]) -> str:
    """Return orders in short form: `7+host` adds a host to slice 7, `7-host` removes it."""
    return " ".join(_describe_order(order) for order in orders)


def _describe_order(order: Order) -> str:
    match order:
        case api.SetWeight():
            return f"{order.slice}{'+' if order.weight > 0 else '-'}{host_name(order.host)}"
        case api.Cordon():
            return f"{'cordon' if order.is_cordoned else 'uncordon'} {host_name(order.host)}"
        case _:
            return str(order)


def summary_lines(controller: TracedController) -> Iterator[str]:
    """Yield the lines of one second: messages received and sent, and resources used."""
    yield _connection_summary(controller)
    yield _resource_summary(controller)
    if isinstance(controller.inbox.assigner, Assigner):
        yield from _assigner_summary(controller.inbox.assigner)


def _connection_summary(controller: TracedController) -> str:
    view = controller.relay_view
    watch = controller.subscription.current
    watch_age_ms = controller.clock() - watch.last_received_ms if watch else -1.0
    closed = dict(controller.server.close_reasons) if controller.server else {}
    return (
        f"list={controller.host_list.version} hosts={len(controller.host_list.entries)} proxies={len(view.proxies)} "
        f"slices={len(view.tables)} watch={watch_age_ms:.0f} breaks={controller.subscription.break_count} "
        f"polls={controller.discovery.poll_count} reports={controller.intake.accepted} "
        f"rejected={dict(controller.intake.rejected)} closed={closed}"
    )


def _resource_summary(controller: TracedController) -> str:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    decisions = controller.decisions
    return (
        f"calls={controller.calls.counts} waiting={len(controller.calls.waiting)} "
        f"step={decisions.last_duration_ms:.1f}/{decisions.max_duration_ms:.1f} "
        f"cpu={usage.ru_utime + usage.ru_stime:.2f} rss={usage.ru_maxrss // 1024}"
    )


def _message_summary(assigner: Assigner) -> str:
    """Return the messages in the current window, and those since the start by what made their decisions due."""
    counts = {reason.value: count for reason, count in assigner.publication.message_counts.items()}
    return f"{len(assigner.pending_versions.sent_at_ms)}/{assigner.pending_versions.last_message} {counts}"


def _assigner_summary(assigner: Assigner) -> Iterator[str]:
    """Yield the slowest hosts, each as name:latency ratio/load/fair load, and the slices that the slowest one owns."""
    listed = [host for host in assigner.hosts.values() if host.is_listed]
    slowest = sorted(listed, key=lambda host: -host.latency_ratio)
    eligible = sum(host.is_eligible for host in assigner.hosts.values())
    cordoned = sum(host.is_cordoned for host in assigner.hosts.values())
    worst = " ".join(
        f"{host_name(host.id)}:{host.latency_ratio:.2f}/{host.load:.1f}/{host.fair_load:.1f}"
        for host in slowest[:MAX_SHOWN_HOSTS]
    )
    yield (
        f"eligible={eligible} median={assigner.fleet.median_latency_ratio:.2f} "
        f"admission={assigner.admission.level:.2f} cordoned={cordoned} "
        f"cordons_due={len(assigner.cordon_delivery.due_hosts)} messages={_message_summary(assigner)} worst {worst}"
    )
    if slowest:
        owned = sorted(
            (candidate for candidate in assigner.slices.values() if candidate.owner is slowest[0]),
            key=lambda candidate: -candidate.load_per_host,
        )
        slices = " ".join(
            f"{item.id}:{item.load_per_host:.1f}x{1 + len(item.replicas)}" for item in owned[:MAX_SHOWN_SLICES]
        )
        yield f"{host_name(slowest[0].id)} owns {slices}"
