"""The ownership of slices and their tables in an etcd v3 registry: carries out what `slice_ownership` decides.

One watch shows members and owners. A table is written in a transaction that compares the fencing token of its slice.
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
from .ownership_requests import OwnershipRequests, RegistryKeys, Tables, batches, write_batch
from .slice_ownership import SliceOwnership
from .watch_messages import KeyValue, ViewChange, WatchLimits
from .watch_state import WatchState
from .watcher import Watcher

TICKS_PER_LEASE = 20
MS_PER_SECOND = 1000.0

RegistryRequest = GrantLease | KeepAlive | AnnounceMember | ClaimSlice | ReleaseSlice

REQUEST_NAMES: dict[type, str] = {  # in the texts of failures
    GrantLease: "grantlease",
    KeepAlive: "keepalive",
    AnnounceMember: "announce",
    ClaimSlice: "claim",
    ReleaseSlice: "release",
}


class SliceListener(Protocol):
    """The controller, which is notified of the slices that it owns."""

    def on_slice_granted(self, slice_id: int, weights: dict[int, float]) -> None:
        """A slice is owned from now on; `weights` is its table as stored, host to weight."""

    def on_slice_revoked(self, slice_id: int) -> None:
        """A slice is not owned any more."""

    def on_failure(self, text: str) -> None:
        """Something that operators should know."""


@dataclass(frozen=True)
class TableStoreConfig:
    """Which slices are shared under which keys, as which controller, and the bounds of it."""

    base: str
    controller: int
    slices: range
    timings: OwnershipTimings
    watch_limits: WatchLimits


class TableStore:
    """Leases slices and writes their tables. connect: opens a new connection. clock: ms. random: as of `WatchState`."""

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
        self.claimed_tables: dict[int, bytes] = {}  # tables that came with claims, until the slice is granted
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def connection(self) -> EtcdConnection | None:
        """The present connection, if there is one."""
        return self.watcher.connection

    @property
    def is_drained(self) -> bool:
        """Whether no slice is owned, nor shown as ours by the watch."""
        return self.ownership.is_drained

    def start(self) -> None:
        """Begin to watch, and to claim slices."""
        self._spawn(self.watcher.run())
        self._spawn(self._run_ticks())

    def start_leaving(self) -> None:
        """Begin a planned end; `is_drained` says when the slices are handed over."""
        self._perform(self.ownership.start_leaving(self.clock()))

    async def stop(self) -> None:
        """End at once; leases expire by themselves. For a planned end call `start_leaving` before."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def write(self, tables: Tables) -> None:
        """Write whole tables, in batches that are each written all or not at all; a batch may be written again.

        Raises `FencedError` with the slices that are not ours, and `RegistryUnavailableError` if it is not known
        whether the last batch was written.
        """
        if not self.ownership.has_valid_lease(self.clock()):
            raise FencedError(sorted(tables))
        for batch in batches(tables):
            await write_batch(self.connection, self.keys, self.ownership, batch, tables)

    # ---- what the watcher reports (`watcher.ViewListener`) -----------------------------------------------------------

    def on_watching(self) -> None:
        """Claims may be made."""
        self.ownership.on_connection_change(is_connected=True)

    def on_disconnected(self) -> None:
        """No claims are made."""
        self.ownership.on_connection_change(is_connected=False)

    def on_watch_failure(self, text: str) -> None:
        """Pass the text on."""
        self.listener.on_failure(text)

    def on_view_change(self, change: ViewChange) -> None:
        """Take the member and ownership keys that changed."""
        now = self.clock()
        for key_value in change.changes:
            name = key_value.key[len(self.keys.watched_prefix) :].decode("ascii", "replace")
            kind, _, number = name.partition("/")
            if not number.isdigit():
                continue
            if kind == "members":
                self._on_member(now, int(number), key_value.value)
            elif kind == "charge":
                self._on_owner(int(number), key_value)

    def _on_member(self, now: float, controller: int, value: bytes | None) -> None:
        state = None
        if value is not None:
            state = MemberState.LEAVING if value == MemberState.LEAVING.encode() else MemberState.ACTIVE
        self.ownership.on_member_observed(now, controller, state)

    def _on_owner(self, slice_id: int, key_value: KeyValue) -> None:
        text = key_value.value.decode("ascii", "replace") if key_value.value is not None else ""
        owner = int(text) if text.isdigit() else None
        # An ownership key is put once and deleted: its revision is its create revision.
        self._perform(self.ownership.on_owner_observed(slice_id, owner, key_value.revision))

    # ---- what slice ownership decides --------------------------------------------------------------------------------

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
        """Notify the controller of a slice, with the table that came with the answer to the claim."""
        stored = self.claimed_tables.pop(slice_id, b"")
        try:
            weights = msgspec.json.decode(stored, type=dict[int, float]) if stored else {}
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.listener.on_failure(f"table of slice {slice_id} cannot be read, taken as empty: {error}")
            weights = {}
        if self.ownership.fencing_tokens.get(slice_id) == fencing_token:
            self.listener.on_slice_granted(slice_id, weights)

    async def _send(self, request: RegistryRequest) -> None:
        """Send one request, and take its answer or note that there is none."""
        connection = self.connection
        if connection is None:
            return
        try:
            await self._send_on(connection, request)
        except RegistryUnavailableError as error:
            self.listener.on_failure(f"{REQUEST_NAMES[type(request)]}: {error}")
            self._on_request_failed(request)

    async def _send_on(self, connection: EtcdConnection, request: RegistryRequest) -> None:
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
                pass  # announced again while the watch does not show it
