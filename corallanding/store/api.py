"""What a store does for a controller: it keeps tables and the host list through a restart."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import StorageError
from ..interface import HostEntry

TableEntry = tuple[int, int, float]  # table, host, weight


class StoreError(StorageError):
    """The store could not be read or written: it is full, read-only, locked or damaged. Nothing was half written."""


class StoreLockedError(StoreError):
    """Another controller holds this store, or has taken it since."""


@dataclass
class StoreContents:
    """What a controller finds in its store at a start.

    `start_number` grows by one at each start; what a former start writes after that is refused. `message_number` is the
    last message of the former start whose table entries are stored. `tables` maps a table to the weights of its hosts,
    `started_at_ms` a host to the wall-clock time at which its process started.
    """

    start_number: int
    message_number: int = 0
    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    host_entries: tuple[HostEntry, ...] = ()
    host_list_version: int = 0
    addresses: dict[int, str] = field(default_factory=dict)
    started_at_ms: dict[int, float] = field(default_factory=dict)


class Store(Protocol):
    """A durable store of one controller. Every call but `close` raises `StoreError` if it fails."""

    def open(self) -> StoreContents:
        """Take the store for this controller; raises `StoreLockedError` while another one holds it."""

    def write(self, message_number: int, entries: Sequence[TableEntry], resets: Sequence[int] = ()) -> None:
        """Empty the tables `resets`, then set `entries`, all or nothing; weight 0 removes a host.

        `message_number` is that of the message which will carry the entries to proxies. Raises `StoreLockedError` if
        another controller has taken the store.
        """

    def save_host_list(
        self,
        version: int,
        entries: Sequence[HostEntry],
        addresses: Mapping[int, str],
        started_at_ms: Mapping[int, float],
    ) -> None:
        """Replace the stored host list, which the next `open` gives back."""

    def close(self) -> None:
        """Release the store."""
