"""Interface of a store, which keeps the tables and the host list of a controller across restarts."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import StorageError
from ..interface import HostEntry

TableEntry = tuple[int, int, float]  # table number, host id, weight


class StoreError(StorageError):
    """The store could not be read or written: it is full, read-only, locked or damaged. No write is applied in part.

    `is_transient`: the cause may pass, as that of a full disk.
    """

    def __init__(self, text: str, *, is_transient: bool = False) -> None:
        super().__init__(text)
        self.is_transient = is_transient


class StoreLockedError(StoreError):
    """The store is locked by another controller, or was taken over by one."""


@dataclass
class StoreContents:
    """Contents of a store when a controller opens it.

    `start_number` increases by one at each start and is a fencing token: writes of an earlier start are rejected.
    `message_number` is the last message of the previous start whose table entries are stored. `tables` maps a table to
    the weights of its hosts, `started_at_ms` a host to the wall-clock time at which its process started.
    """

    start_number: int
    message_number: int = 0
    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    host_entries: tuple[HostEntry, ...] = ()
    host_list_version: int = 0
    addresses: dict[int, str] = field(default_factory=dict)
    started_at_ms: dict[int, float] = field(default_factory=dict)


class Store(Protocol):
    """A durable store of one controller. Every method except `close` raises `StoreError` on failure."""

    def open(self) -> StoreContents:
        """Lock the store for this controller and read it. Raises `StoreLockedError` while another one has locked it."""

    def write(self, message_number: int, entries: Sequence[TableEntry], resets: Sequence[int] = ()) -> None:
        """Atomically clear the tables `resets`, then set `entries`; weight 0 removes a host.

        `message_number` is the number of the message that will publish the entries to proxies. Raises
        `StoreLockedError` if another controller has taken over the store.
        """

    def save_host_list(
        self,
        version: int,
        entries: Sequence[HostEntry],
        addresses: Mapping[int, str],
        started_at_ms: Mapping[int, float],
    ) -> None:
        """Replace the stored host list, which the next `open` returns."""

    def close(self) -> None:
        """Release the store."""
