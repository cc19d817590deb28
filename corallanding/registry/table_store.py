"""The ownership of slices and their tables in an etcd v3 registry: performs the actions of `slice_ownership`.

One watch observes members and owners. A table is written in a transaction that compares the fencing token of its slice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from .controller_lease import OwnershipTimings
from .errors import FencedError, RegistryUnavailableError
from .etcd import EtcdConnection
from .ownership_actions import (
    AnnounceMember,
    ClaimSlice,
    GrantLease,
    KeepAlive,
    MemberState,
    OwnershipAction,
    OwnershipChange,
    ReleaseSlice,
)
from .ownership_requests import OwnershipRequests, RegistryKeys, Tables, split_into_batches, write_batch
from .slice_ownership import SliceOwnership
from .watch_messages import KeyValue, ViewChange, WatchLimits
from .watch_state import WatchState
from .watcher import Watcher

TICKS_PER_LEASE = 20
MS_PER_SECOND = 1000.0

RegistryRequest = GrantLease | KeepAlive | AnnounceMember | ClaimSlice | ReleaseSlice

REQUEST_NAMES: dict[type, str] = {  # names in failure messages
    GrantLease: "grantlease",
    KeepAlive: "keepalive",
    AnnounceMember: "announce",
    ClaimSlice: "claim",
    ReleaseSlice: "release",
}


class SliceListener(Protocol):
    """Receives the changes of owned slices; implemented by the controller."""

    def on_slice_granted(self, slice_id: int, weights: dict[int, float]) -> None:
        """Handle a slice that is now owned; `weights` is its stored table, weight by host."""

    def on_slice_revoked(self, slice_id: int) -> None:
        """Handle a slice that is no longer owned."""

    def on_failure(self, text: str) -> None:
        """Handle a failure that operators should know of."""


@dataclass(frozen=True)
class TableStoreConfig:
    """The key base, this controller's number, the shared slices, and the times and limits."""

    base: str
    controller: int
    slices: range
    timings: OwnershipTimings
    watch_limits: WatchLimits


class TableStore:
    """Leases slices and writes their tables.

    connect: opens a new connection. clock: returns ms. random: as in `WatchState`.
    """

    def __init__(
        self,
        config: TableStoreConfig,
        connect: Callable[[], EtcdConnection],
        listener: SliceListener,
        clock: Callable[[], float],
        random: Callable[[], float],
    ) -> None:
        self.listener = listener
        self.clock = clock
        self.keys = RegistryKeys(config.base.encode())
        self.ownership = SliceOwnership(config.controller, config.slices, config.timings)
        state = WatchState(config.watch_limits, random)
        self.watcher = Watcher(connect, self.keys.watched_prefix, state, clock, self)
        self.claimed_tables: dict[int, bytes] = {}  # stored tables read by claims, until the slice is granted
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def connection(self) -> EtcdConnection | None:
        """The current connection, None while disconnected."""
        return self.watcher.connection

    @property
    def is_drained(self) -> bool:
        """Whether no slice is owned here, nor shown by the watch as owned by this controller."""
        return self.ownership.is_drained

    def start(self) -> None:
        """Start the watch and the claims of slices."""
        self._spawn(self.watcher.run())
        self._spawn(self._run_ticks())

    def start_leaving(self) -> None:
        """Start a planned shutdown; `is_drained` becomes true once the slices are handed over."""
        self._perform(self.ownership.start_leaving(self.clock()))

    async def stop(self) -> None:
        """Stop at once; leases expire by themselves. For a planned shutdown call `start_leaving` first."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def write(self, tables: Tables) -> None:
        """Write complete tables in atomic batches; a batch may be written again.

        Raises `FencedError` with the slices that are not owned, and `RegistryUnavailableError` if it is unknown whether
        the last batch was written.
        """
        if not self.ownership.has_valid_lease(self.clock()):
            raise FencedError(sorted(tables))
        for batch in split_into_batches(tables):
            await write_batch(self.connection, self.keys, self.ownership, batch, tables)

    # ---- events of the watcher (`watcher.ViewListener`) --------------------------------------------------------------

    def on_watching(self) -> None:
        """Allow claims."""
        self.ownership.on_connection_change(is_connected=True)

    def on_disconnected(self) -> None:
        """Stop claims until reconnected."""
        self.ownership.on_connection_change(is_connected=False)

    def on_watch_failure(self, text: str) -> None:
        """Forward the failure to the listener."""
        self.listener.on_failure(text)

    def on_view_change(self, change: ViewChange) -> None:
        """Apply the changed member and ownership keys."""
        now_ms = self.clock()
        for key_value in change.changes:
            name = key_value.key[len(self.keys.watched_prefix) :].decode("ascii", "replace")
            kind, _, number = name.partition("/")
            if not number.isdigit():
                continue
            if kind == "members":
                self._on_member(now_ms, int(number), key_value.value)
            elif kind == "charge":
                self._on_owner(int(number), key_value)

    def _on_member(self, now_ms: float, controller: int, value: bytes | None) -> None:
        state = None
        if value is not None:
            state = MemberState.LEAVING if value == MemberState.LEAVING.encode() else MemberState.ACTIVE
        self.ownership.on_member_observed(now_ms, controller, state)

    def _on_owner(self, slice_id: int, key_value: KeyValue) -> None:
        text = key_value.value.decode("ascii", "replace") if key_value.value is not None else ""
        owner = int(text) if text.isdigit() else None
        # An ownership key is put once and then deleted, never updated: its revision is its create revision.
        self._perform(self.ownership.on_owner_observed(slice_id, owner, key_value.revision))

    # ---- actions of slice ownership ----------------------------------------------------------------------------------

    async def _run_ticks(self) -> None:
        interval_seconds = self.ownership.timings.lease_ttl_ms / TICKS_PER_LEASE / MS_PER_SECOND
        while True:
            self._perform(self.ownership.tick(self.clock()))
            await asyncio.sleep(interval_seconds)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _perform(self, actions: list[OwnershipAction]) -> None:
        for action in actions:
            if not isinstance(action, OwnershipChange):
                self._spawn(self._send(action))
            elif action.is_owned:
                self._grant(action.slice, action.fencing_token)
            else:
                self.listener.on_slice_revoked(action.slice)

    def _grant(self, slice_id: int, fencing_token: int) -> None:
        """Notify the controller of an owned slice, with the table that the claim read."""
        stored = self.claimed_tables.pop(slice_id, b"")
        try:
            weights = msgspec.json.decode(stored, type=dict[int, float]) if stored else {}
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.listener.on_failure(f"stored table of slice {slice_id} is invalid, treated as empty: {error}")
            weights = {}
        if self.ownership.fencing_tokens.get(slice_id) == fencing_token:
            self.listener.on_slice_granted(slice_id, weights)

    async def _send(self, request: RegistryRequest) -> None:
        """Send one request, and apply its result or its failure."""
        connection = self.connection
        if connection is None:
            return
        try:
            await self._execute(connection, request)
        except RegistryUnavailableError as error:
            self.listener.on_failure(f"{REQUEST_NAMES[type(request)]}: {error}")
            self._on_request_failed(request)

    async def _execute(self, connection: EtcdConnection, request: RegistryRequest) -> None:
        ownership = self.ownership
        requests = OwnershipRequests(connection, self.keys, ownership.controller)
        match request:
            case GrantLease(ttl_ms):
                granted_id = await connection.grant_lease(ttl_ms)
                self._perform(ownership.on_lease_granted(self.clock(), granted_id))
            case KeepAlive(lease_id):
                renewed_ttl_ms = await connection.keep_lease_alive(lease_id)
                self._perform(ownership.on_lease_renewed(renewed_ttl_ms))
            case AnnounceMember(lease_id, state):
                await requests.announce(lease_id, state)
            case ClaimSlice(slice_id, lease_id):
                claim = await requests.claim(slice_id, lease_id)
                if claim.fencing_token:
                    self.claimed_tables[slice_id] = claim.stored_table
                self._perform(ownership.on_claim_result(self.clock(), slice_id, lease_id, claim.fencing_token))
            case ReleaseSlice(slice_id, fencing_token):
                await requests.release(slice_id, fencing_token)
                ownership.on_release_finished(slice_id)

    def _on_request_failed(self, request: RegistryRequest) -> None:
        match request:
            case ClaimSlice(slice_id):
                self.ownership.on_claim_failed(slice_id)
            case ReleaseSlice(slice_id):
                self.ownership.on_release_finished(slice_id)
            case GrantLease() | KeepAlive():
                self.ownership.lease.on_request_lost()
            case AnnounceMember():
                pass  # repeated until the watch shows it
