"""Actions: what is to be done, as the assigner gives it out.

Proxies receive the table actions of one step as one message, closed by `PublishVersion`.
"""

from __future__ import annotations

from dataclasses import dataclass

from .settings import RetryMode

ALL_TABLES = 65535  # in place of a slice: the action holds for every table


@dataclass(frozen=True)
class SetWeight:
    """Set the weight of a host in the table of a slice; 0 takes the host out."""

    slice: int
    host: int
    weight: float


@dataclass(frozen=True)
class SetAdmission:
    """Set how many requests proxies admit, and when they retry.

    `slice` may be `ALL_TABLES`. `request_classes` has bit k set for class k; 0 stands for all. `amount` is a fraction
    of requests, or requests per second at each proxy, by `Settings.admission`.
    """

    slice: int
    request_classes: int
    amount: float
    retry: RetryMode


@dataclass(frozen=True)
class Cordon:
    """Stop proxies from sending anything to a host, whatever the tables say, or allow it again."""

    host: int
    is_cordoned: bool


@dataclass(frozen=True)
class ResetTable:
    """Take every host out of the table of a slice."""

    slice: int


@dataclass(frozen=True)
class AssignTable:
    """Let a proxy use a table for some request classes (a bit each; 0 stands for all), at sites without slices."""

    proxy: int
    table: int
    request_classes: int


@dataclass(frozen=True)
class PublishVersion:
    """Close the message of this step by a version, which each proxy acknowledges once it has applied the message.

    Versions count up and wrap at 65536. With `to_all_proxies` the message goes to proxies that have nothing to change
    as well.
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
    """Fetch the whole host list once."""


@dataclass(frozen=True)
class SendToPeer:
    """Send a payload to another controller, or with `None` to all of them."""

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
