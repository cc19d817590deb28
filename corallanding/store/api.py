"""What a store does for a steward. `write` is the only call that changes tables, all or nothing."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from .. import interface as api


class StoreError(Exception):
    """The store could not read or write: full, read-only, locked or damaged. Nothing was half-written."""


class StoreLockedError(StoreError):
    """Another steward holds this store, or has taken it since."""


@dataclass
class StoreContents:
    """What a steward finds at its start. `number` grows by one at each, and fences off the one before."""

    start_number: int
    message_number: int = 0  # the last message of the former life whose lines are kept here
    tables: dict[int, dict[int, float]] = field(default_factory=dict)  # table, host, weight
    host_entries: tuple[api.HostEntry, ...] = ()
    host_list_version: int = 0
    addresses: dict[int, str] = field(default_factory=dict)
    started_at_ms: dict[int, float] = field(default_factory=dict)  # host: wall-clock start of its process, ms


class Store(Protocol):
    def open(self) -> StoreContents:
        """Take the store for this steward; raises `StoreLockedError` while another lives."""

    def write(self, seq: int, lines: Sequence[tuple[int, int, float]], resets: Sequence[int] = ()) -> None:
        """Empty `resets`, then set `lines` (table, host, weight; 0 removes), in one transaction. `seq`: the
        message of this life that will carry them."""

    def save_host_list(
        self, version: int, entries: Sequence[api.HostEntry], addresses: dict[int, str], starts: dict[int, float]
    ) -> None:
        """Keep the list as last held, to be given back as `Life.roster`."""

    def close(self) -> None: ...
