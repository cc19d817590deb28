"""Objects that a controller creates before its store is opened, from the configuration."""

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
    """Return whether slices are distributed over the controllers by leases in the registry."""
    return config.registry is not None and config.registry.charge


def configured_slices(config: ControllerConfig) -> range:
    """Return the slices that this controller may own."""
    slices = config.slices
    return range(slices.first, slices.count if slices.last is None else slices.last + 1)


def channel_limits(config: ControllerConfig) -> ChannelLimits:
    """Return the configured limits of the channel to proxies."""
    channel = config.channel
    return ChannelLimits(
        channel.rate_lines_per_s,
        channel.head_lines,
        channel.queue_most_lines,
        channel.messages_most,
        channel.messages_span_ms,
    )


def join_admission(config: ControllerConfig, now_ms: float) -> JoinAdmission:
    """Return the configured rate limiter for joining proxies."""
    proxies = config.forwarders
    return JoinAdmission(proxies.reads_per_s, proxies.again_ms, proxies.again_most_ms, now_ms)


@dataclass(frozen=True)
class Resources:
    """Objects that exist before the store is opened.

    decider: creates the assigner. config_path: read by a reload and by a successor process.
    """

    context: Context
    store: Store
    channel: Channel
    view: EndpointList
    admission: JoinAdmission
    decider: Callable[[api.Settings, int], Decider]
    factories: Factories
    config_path: str | None
