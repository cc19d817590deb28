"""What a controller has before its store is opened, and how it is configured."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .. import interface as api
from ..channel import Channel, ChannelLimits
from ..config import ControllerConfig
from ..endpoints.endpoint_list import EndpointList
from ..store import Store
from .context import Context
from .event_inbox import Decider
from .factories import Factories
from .join_admission import JoinAdmission


def has_slice_leases(config: ControllerConfig) -> bool:
    """Whether slices are shared with other controllers by leases in the registry."""
    return config.registry is not None and config.registry.charge


def configured_slices(config: ControllerConfig) -> range:
    """The slices that this controller may own."""
    slices = config.slices
    return range(slices.first, slices.count if slices.last is None else slices.last + 1)


def channel_limits(config: ControllerConfig) -> ChannelLimits:
    """The limits of the channel to proxies, as configured."""
    channel = config.channel
    return ChannelLimits(
        channel.rate_lines_per_s,
        channel.head_lines,
        channel.queue_most_lines,
        channel.messages_most,
        channel.messages_span_ms,
    )


def join_admission(config: ControllerConfig, now: float) -> JoinAdmission:
    """What paces the proxies that join, as configured."""
    proxies = config.forwarders
    return JoinAdmission(proxies.reads_per_s, proxies.again_ms, proxies.again_most_ms, now)


@dataclass(frozen=True)
class Resources:
    """What is there before the store is opened.

    decider: makes the assigner. config_path: what a reload and a successor read.
    """

    context: Context
    store: Store
    channel: Channel
    view: EndpointList
    admission: JoinAdmission
    decider: Callable[[api.Settings, int], Decider]
    factories: Factories
    config_path: str | None
