"""The interface of the cluster services, which `cluster` drives in the same way, and their shared context."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, ClassVar

from ..lease.election import LeaderElection
from ..telemetry import Metrics, RateLimitedLogger
from ..wire.peer_messages import OutgoingMessage


@dataclass(frozen=True)
class ServiceContext:
    """Objects shared by the services of one controller.

    election: the leader election for allocating quota and shards. send: sends messages to other controllers.
    clock: the controller's own clock, ms.
    """

    election: LeaderElection
    send: Callable[[Iterable[OutgoingMessage]], None]
    clock: Callable[[], float]
    metrics: Metrics
    rate_limited_log: RateLimitedLogger


@dataclass(frozen=True)
class Tick:
    """The time and the members, passed to all services at regular intervals.

    now_ms: controller's clock. alive: numbers of the alive controllers, including this one. wall_ms: wall clock.
    """

    now_ms: float
    alive: list[int]
    wall_ms: float


class ClusterService(ABC):
    """A service that controllers provide together: connects a core, which decides, to the other controllers.

    message_types: the messages of other controllers that this service handles.
    """

    message_types: ClassVar[tuple[type, ...]]

    @staticmethod
    @abstractmethod
    def is_valid(message: Any) -> bool:
        """Return whether the fields of a decoded message are within the ranges that a correct controller sends."""

    @abstractmethod
    def on_message(self, sender: int, message: Any) -> None:
        """Handle a valid message of the controller `sender`."""

    @abstractmethod
    def on_tick(self, tick: Tick) -> None:
        """Execute due work."""

    def on_election_change(self) -> None:  # noqa: B027 - most services do not depend on the leader
        """Handle a possible change of the leader, after a message of the leader election."""

    @property
    @abstractmethod
    def rejected(self) -> int:
        """Return the number of rejected messages of other controllers."""

    @abstractmethod
    def update_metrics(self) -> None:
        """Set the gauges of this service; called before metrics are exported."""

    def leave(self) -> list[OutgoingMessage]:
        """Give back unused grants before a planned stop. Returns the messages to send."""
        return []

    def close(self) -> None:  # noqa: B027 - not all services have files
        """Close the files of this service."""
