"""Settings of the assigner, configured per site and constant while a controller process runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "fingerprinted"  # within a window, at hosts that share their idempotency keys
    SIDE_EFFECTING = "side-effecting"


class RetryMode(IntEnum):
    """When a proxy retries a request at another host. The values are those of the proxy protocol."""

    NEVER = 0
    PROVEN_UNRUN = 1  # once, if the first attempt provably never ran
    ONCE = 2  # once, after any failure
    TWICE = 3


@dataclass(frozen=True)
class RequestClass:
    """A kind of request, with its priority weight and retry rules.

    `deduplication_scope` states which hosts share idempotency keys ("all", "zone" or "cell") for
    `deduplication_window_ms`. An answer within `latency_objective_ms` has the value `priority_weight`, a later one
    `late_priority_weight`. The client gives up after `timeout_ms`.
    """

    name: str
    idempotency: Idempotency
    deduplication_scope: str
    deduplication_window_ms: float
    priority_weight: float
    late_priority_weight: float
    latency_objective_ms: float
    timeout_ms: float
    is_write: bool = False
    is_zone_bound: bool = False


@dataclass(frozen=True)
class Settings:
    """The settings of one controller. Counts are for the whole site; prices are in units of priority weight."""

    request_classes: tuple[RequestClass, ...]

    # The site, and this controller's zone and index.
    zone: int = 0
    zone_count: int = 1
    controller_count: int = 1
    controller_index: int = 0
    slice_count: int = 0
    proxy_count: int = 1

    # The host list.
    polls_host_list: bool = False  # the list is polled instead of watched
    poll_interval_ms: float = 0.0  # maximum time between polls
    listed_weights: str = "off"

    # Slices, and the behavior of proxies.
    has_sole_owner: bool = False  # a table has exactly one host
    lease_ms: float = 0.0
    max_in_flight_ms: float = 0.0  # maximum time in which a write accepted by a proxy completes
    admission: str = "off"  # meaning of `SetAdmission.amount`: "off", "fraction" or "per_second"
    default_retry_mode: int = 0
    attempt_timeout_objectives: float = 1.0  # timeout of an attempt that may be retried, in latency objectives
    balancing_policy: str = "p2c"
    ejection_failures: int = 0  # consecutive failures after which a proxy ejects a host for some time; 0: never

    # The service-level rules of the site.
    max_without_host_ms: float = 5000.0  # maximum time a proxy may be without a host while a warm one is listed
    drain_grace_ms: float = 3000.0
    only_drains_bind: bool = False  # a host that is missing from the list, but not draining, may stay in tables
    warm_up_ms: float = 10000.0  # time after a restart in which a host has less than its full capacity
    warm_up_initial_share: float = 0.2  # share of its capacity that a host has immediately after the start
    overload_window_ms: float = 3000.0  # a warming host fails after this time above the overload factor
    overload_factor: float = 4.0  # load divided by current capacity above which a warming host eventually fails

    # The channel to the proxies, in lines (table entries).
    channel_lines_per_second: float = 10000.0
    message_overhead_lines: float = 8.0  # cost of a message in addition to its own lines
    max_queued_lines: float = 10000.0
    max_messages: int = 0  # maximum messages to each proxy within `message_window_ms`; 0: no limit
    message_window_ms: float = 10000.0
    propagation_ms: float = 200.0
    max_propagation_ms: float = 500.0

    # Usage reports and health checks.
    report_interval_ms: float = 1000.0
    reports_per_second: float = 400.0
    may_check_health: bool = False
    caches_keys: bool = False  # hosts answer faster for recently requested keys
    health_check_price: float = 0.0
    message_price: float = 0.0
    move_price: float = 0.0
    health_check_load_fields: tuple[str, ...] = ()

    decision_interval_ms: float = 1.0
