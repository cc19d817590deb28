"""Actions: the changes and requests that the assigner returns for its caller to perform.

Proxies receive the table actions of one step as one message, closed by `PublishVersion`.
"""

from __future__ import annotations

from dataclasses import dataclass

from .settings import RetryMode

ALL_TABLES = 65535  # used in place of a slice if an action applies to every table


@dataclass(frozen=True)
class SetWeight:
    """Set the weight of a host in the table of a slice; 0 removes the host."""

    slice: int
    host: int
    weight: float


@dataclass(frozen=True)
class SetAdmission:
    """Set how many requests proxies admit, and when they retry.

    `slice` may be `ALL_TABLES`. Bit k of `request_classes` stands for class k; 0 stands for all classes. `amount` is a
    fraction of requests or a number of requests per second at each proxy, depending on `Settings.admission`.
    """

    slice: int
    request_classes: int
    amount: float
    retry: RetryMode


@dataclass(frozen=True)
class Cordon:
    """Stop proxies from sending requests to a host, even if tables contain it, or allow them again."""

    host: int
    is_cordoned: bool


@dataclass(frozen=True)
class ResetTable:
    """Remove all hosts from the table of a slice."""

    slice: int


@dataclass(frozen=True)
class AssignTable:
    """Make a proxy use a table for some request classes (one bit each; 0 stands for all), at sites without slices."""

    proxy: int
    table: int
    request_classes: int


@dataclass(frozen=True)
class PublishVersion:
    """Close the message of this step with a version, which each proxy acknowledges once it has applied the message.

    Versions increase and wrap at 65536. With `to_all_proxies`, the message is also sent to proxies that have nothing to
    change.
    """

    version: int
    to_all_proxies: bool = False


@dataclass(frozen=True)
class StartTimer:
    """Deliver `TimerFired(timer)` after `delay_ms`."""

    delay_ms: float
    timer: int


@dataclass(frozen=True)
class CheckHealth:
    """Send a health check to a host; `HealthCheckResult` follows."""

    host: int


@dataclass(frozen=True)
class WatchHostList:
    """Start or stop receiving changes of the host list."""

    is_watching: bool = True


@dataclass(frozen=True)
class FetchHostList:
    """Fetch the full host list once."""


@dataclass(frozen=True)
class SendToPeer:
    """Send a payload to another controller, or to all of them if `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True)
class LogNote:
    """Write a line of text to the log."""

    text: str


Action = (
    SetWeight
    | SetAdmission
    | Cordon
    | ResetTable
    | AssignTable
    | PublishVersion
    | StartTimer
    | CheckHealth
    | WatchHostList
    | FetchHostList
    | SendToPeer
    | LogNote
)
