"""What every service of the cluster is, and what it is handed: the part that `cluster` drives the same way for all."""

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
    """What the services of one controller have in common.

    election: the leader election that grants of quota and of shards rest on. send: sends messages to other controllers.
    clock: the controller's own clock, ms.
    """

    election: LeaderElection
    send: Callable[[Iterable[OutgoingMessage]], None]
    clock: Callable[[], float]
    metrics: Metrics
    rate_limited_log: RateLimitedLogger


@dataclass(frozen=True)
class Tick:
    """One regular call of all services.

    now: ms. alive: the controllers that the membership counts on, this one among them. wall_ms: the wall clock.
    """

    now: float
    alive: list[int]
    wall_ms: float


class ClusterService(ABC):
    """One of the things that controllers do together: a core that decides, connected to the other controllers.

    message_types: the messages of other controllers that this service takes.
    """

    message_types: ClassVar[tuple[type, ...]]

    @staticmethod
    @abstractmethod
    def is_valid(message: Any) -> bool:
        """Whether the fields of a decoded message lie within what a correct controller sends."""

    @abstractmethod
    def on_message(self, sender: int, message: Any) -> None:
        """Take a valid message of the controller `sender`."""

    @abstractmethod
    def on_tick(self, tick: Tick) -> None:
        """Do what is due."""

    def on_election_change(self) -> None:  # noqa: B027 - most services do not depend on the leader
        """A message of the leader election was taken; the leader may have changed."""

    @property
    @abstractmethod
    def rejected(self) -> int:
        """How many messages of other controllers were rejected."""

    @abstractmethod
    def update_metrics(self) -> None:
        """Set the gauges of this service; called before each exposition."""

    def leave(self) -> list[OutgoingMessage]:
        """Give back what is granted and not in use, before a planned end. Returns the messages that say so."""
        return []

    def close(self) -> None:  # noqa: B027 - not all services have files
        """Close the files of this service."""
