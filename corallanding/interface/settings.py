"""Settings of the assigner: what one site configures, constant for the life of a controller process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """Whether a request may run again."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "fingerprinted"  # within a window, at hosts that share their idempotency keys
    SIDE_EFFECTING = "side-effecting"


class RetryMode(IntEnum):
    """When a proxy retries a request at another host. The numbers are those of the proxies' protocol."""

    NEVER = 0
    PROVEN_UNRUN = 1  # once, on proof that the first attempt never ran
    ONCE = 2  # once, after any failure
    TWICE = 3


@dataclass(frozen=True)
class RequestClass:
    """A kind of request, with what it is worth and how it may be retried.

    `deduplication_scope` names the hosts that share idempotency keys ("all", "zone" or "cell"), for
    `deduplication_window_ms`. An answer within `latency_objective_ms` counts `priority_weight`, a later one
    `late_priority_weight`; after `timeout_ms` the client gives up.
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
    """One controller's view of its site. Counts are of the whole site; prices are in units of priority weight."""

    request_classes: tuple[RequestClass, ...]

    # The site and this controller's place in it.
    zone: int = 0
    zone_count: int = 1
    controller_count: int = 1
    controller_index: int = 0
    slice_count: int = 0
    proxy_count: int = 1

    # The host list.
    polls_host_list: bool = False  # the list is fetched on request, not watched
    poll_interval_ms: float = 0.0  # a poll is due at least this often
    listed_weights: str = "off"

    # Slices, and what proxies do by themselves.
    has_sole_owner: bool = False  # a table has exactly one host
    lease_ms: float = 0.0
    max_in_flight_ms: float = 0.0  # a write that a proxy took in is concluded within this time
    admission: str = "off"  # what `SetAdmission.amount` means: "off", "fraction" or "per_second"
    default_retry_mode: int = 0
    attempt_timeout_objectives: float = 1.0  # an attempt that may be retried waits so many latency objectives
    balancing_policy: str = "p2c"
    ejection_failures: int = 0  # consecutive failures after which a proxy ejects a host for a while; 0: never

    # The rules that the site judges by.
    max_without_host_ms: float = 5000.0  # a proxy may have no host for so long while a warm one is listed
    drain_grace_ms: float = 3000.0
    only_drains_bind: bool = False  # a host that is merely missing from the list may stay in tables
    warm_up_ms: float = 10000.0  # how long a restarted host has less than its full capacity
    warm_up_initial_share: float = 0.2  # of its capacity, right after the start
    overload_window_ms: float = 3000.0  # a warming host fails after so long above the overload factor
    overload_factor: float = 4.0  # load over present capacity that a warming host does not stand

    # The channel to the proxies, in lines (table entries).
    channel_lines_per_second: float = 10000.0
    message_overhead_lines: float = 8.0  # what a message costs beside its own lines
    max_queued_lines: float = 10000.0
    max_messages: int = 0  # for each proxy within `message_window_ms`; 0: no limit
    message_window_ms: float = 10000.0
    propagation_ms: float = 200.0
    max_propagation_ms: float = 500.0

    # Usage reports and health checks.
    report_interval_ms: float = 1000.0
    reports_per_second: float = 400.0
    may_check_health: bool = False
    caches_keys: bool = False  # hosts answer faster for keys that they met lately
    health_check_price: float = 0.0
    message_price: float = 0.0
    move_price: float = 0.0
    health_check_load_fields: tuple[str, ...] = ()

    decision_interval_ms: float = 1.0
