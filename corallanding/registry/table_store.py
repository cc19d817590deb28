"""The charge of slices and their tables in an etcd v3 registry: carries out what `charge` decides.

Keys under `base`: who/members/<steward>, who/charge/<slice>, tables/<slice> (JSON: host to weight). One watch, on
`who/`; a table is written in a transaction that compares the fence of its slice, many slices a transaction up to the
registry's limits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec
from aetcd.rpc import rpc_pb2

from .errors import FencedError, RegistryUnavailableError
from .etcd import EtcdConnection, unavailable_error
from .ownership_actions import (
    AnnounceMember,
    ClaimSlice,
    GrantLease,
    KeepAlive,
    OwnershipAction,
    OwnershipChange,
    ReleaseSlice,
)
from .slice_ownership import OwnershipTimings, SliceOwnership
from .watch_messages import ViewChange, WatchLimits
from .watch_state import WatchState
from .watcher import Watcher

OPERATIONS_MOST = 100  # of one transaction; the registry's usual limit is 128
BYTES_MOST = 1_000_000  # of one transaction; the registry's usual limit is 1.5 MiB


REQUEST_NAMES: dict[type, str] = {  # as texts of failures name them
    GrantLease: "grantlease",
    KeepAlive: "keepalive",
    AnnounceMember: "announce",
    ClaimSlice: "claim",
    ReleaseSlice: "release",
}


class SliceListener(Protocol):
    """The steward's side: told what it holds."""

    def on_slice_granted(self, slice: int, lines: dict[int, float]) -> None: ...

    def on_slice_revoked(self, slice: int) -> None: ...

    def on_failure(self, read_optional: str) -> None: ...


class TableStore:
    """dial: a new connection; clock: ms. Nothing is written without a lease."""

    def __init__(
        self,
        dial: Callable[[], EtcdConnection],
        base: str,
        me: int,
        slices: range,
        holder: SliceListener,
        clock: Callable[[], float],
        chance: Callable[[], float],
        terms: OwnershipTimings,
        limits: WatchLimits,
    ) -> None:
        self.base, self.listener, self.clock = base.encode(), holder, clock
        self.watched_prefix = self.base + b"who/"
        self.ownership = SliceOwnership(me, slices, terms)
        self.watcher = Watcher(
            dial,
            self.watched_prefix,
            WatchState(limits, chance),
            clock,
            self.on_view_change,
            holder.on_failure,
            lambda: self.ownership.on_connection_change(True),
            lambda: self.ownership.on_connection_change(False),
        )
        self.claimed_tables: dict[int, bytes] = {}  # tables that came with claims, until the slice is given
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def connection(self) -> EtcdConnection | None:
        return self.watcher.connection

    def start(self) -> None:
        self.spawn(self.watcher.run())
        self.spawn(self.run())

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stop(self) -> None:
        """At once: leases run out by themselves. Call `leave` first, and wait for `empty`, for a planned end."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start_leaving(self) -> None:
        self.perform(self.ownership.start_leaving(self.clock()))

    @property
    def is_drained(self) -> bool:
        return self.ownership.is_drained

    # ---- what charge decides ---------------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            self.perform(self.ownership.tick(self.clock()))
            await asyncio.sleep(self.ownership.timings.lease_ttl_ms / 20_000.0)

    def perform(self, actions: list[OwnershipAction]) -> None:
        for a in actions:
            if isinstance(a, OwnershipChange):
                if a.is_owned:
                    self.give(a.slice, a.fencing_token)
                else:
                    self.listener.on_slice_revoked(a.slice)
            else:
                self.spawn(self.send(a))

    def give(self, slice: int, fence: int) -> None:
        """A slice is ours: its table came with the answer to the claim."""
        value = self.claimed_tables.pop(slice, b"")
        try:
            rows = msgspec.json.decode(value, type=dict[int, float]) if value else {}
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            self.listener.on_failure(f"table of slice {slice} cannot be read, taken as empty: {fault}")
            rows = {}
        if self.ownership.fencing_tokens.get(slice) == fence:
            self.listener.on_slice_granted(slice, rows)

    def key(self, kind: str, number: int) -> bytes:
        return self.base + f"{kind}/{number}".encode()

    async def send(self, a: OwnershipAction) -> None:
        conn, c = self.connection, self.ownership
        if conn is None:
            return
        try:
            match a:
                case GrantLease(ttl):
                    ask = rpc_pb2.LeaseGrantRequest(TTL=max(1, round(ttl / 1000.0)))
                    granted = await conn.call(conn.lease_stub.LeaseGrant, ask)
                    self.perform(c.on_lease_granted(self.clock(), granted.ID))
                case KeepAlive(lease):
                    self.perform(c.on_lease_renewed(self.clock(), await self.keep_alive(conn, lease)))
                case AnnounceMember(lease, leaving):
                    value = b"leaving" if leaving else b"here"
                    put = rpc_pb2.PutRequest(key=self.key("who/members", c.controller), value=value, lease=lease)
                    await conn.call(conn.kv_stub.Put, put)
                case ClaimSlice(slice, lease):
                    self.perform(c.on_claim_result(self.clock(), slice, lease, await self.claim(conn, slice, lease)))
                case ReleaseSlice(slice, fence):
                    key = self.key("who/charge", slice)
                    await conn.call(
                        conn.kv_stub.Txn,
                        rpc_pb2.TxnRequest(
                            compare=[self.same(key, fence)],
                            success=[rpc_pb2.RequestOp(request_delete_range=rpc_pb2.DeleteRangeRequest(key=key))],
                        ),
                    )
                    self.perform(c.on_released(slice))
        except RegistryUnavailableError as fault:
            self.listener.on_failure(f"{REQUEST_NAMES[type(a)]}: {fault}")
            if isinstance(a, ClaimSlice):
                c.pending_claims.discard(a.slice)
            elif isinstance(a, ReleaseSlice):
                c.pending_releases.discard(a.slice)
            elif isinstance(a, GrantLease | KeepAlive):
                c.lease_requested_at_ms = -1.0

    async def keep_alive(self, conn: EtcdConnection, lease: int) -> float:
        """The lease's time as the registry answers, ms; 0 if it is over."""
        import grpc.aio

        async def one() -> Any:
            yield rpc_pb2.LeaseKeepAliveRequest(ID=lease)

        stream = conn.lease_stub.LeaseKeepAlive(one(), timeout=conn.timeout_seconds, metadata=conn.metadata)
        try:
            async for answer in stream:
                return float(answer.TTL) * 1000.0
            raise RegistryUnavailableError("no answer to a keep-alive")
        except grpc.aio.AioRpcError as fault:
            raise unavailable_error(fault) from None
        finally:
            stream.cancel()

    async def claim(self, conn: EtcdConnection, slice: int, lease: int) -> int:
        """The create revision of the charge key that is ours now; 0 if another has it.

        The table is read in the same transaction: nobody writes it between the claim and the reading.
        """
        key = self.key("who/charge", slice)
        put = rpc_pb2.PutRequest(key=key, value=str(self.ownership.controller).encode(), lease=lease)
        table = rpc_pb2.RangeRequest(key=self.key("tables", slice))
        answer = await conn.call(
            conn.kv_stub.Txn,
            rpc_pb2.TxnRequest(
                compare=[self.same(key, 0)],
                success=[rpc_pb2.RequestOp(request_put=put), rpc_pb2.RequestOp(request_range=table)],
            ),
        )
        if not answer.succeeded:
            return 0
        kvs = answer.responses[1].response_range.kvs
        self.claimed_tables[slice] = kvs[0].value if kvs else b""
        return int(answer.header.revision)

    def same(self, key: bytes, create: int) -> Any:
        return rpc_pb2.Compare(
            result=rpc_pb2.Compare.EQUAL, target=rpc_pb2.Compare.CREATE, key=key, create_revision=create
        )

    # ---- tables ----------------------------------------------------------------------------------------

    async def write(self, tables: Mapping[int, Mapping[int, float]]) -> None:
        """Keep whole tables (slice: {host: weight}), in batches, each all or nothing; resumable: a batch that was
        written may be written again. Raises `FencedError`, and `RegistryUnavailableError` if it is not known
        whether the last batch was written."""
        if not self.ownership.has_valid_lease(self.clock()):
            raise FencedError(sorted(tables))
        batch: list[int] = []
        size = 0
        for slice in sorted(tables):
            cost = 64 + 32 * len(tables[slice])
            if batch and (len(batch) >= OPERATIONS_MOST or size + cost > BYTES_MOST):
                await self.write_batch(batch, tables)
                batch, size = [], 0
            batch.append(slice)
            size += cost
        if batch:
            await self.write_batch(batch, tables)

    async def write_batch(self, slices: list[int], tables: Mapping[int, Mapping[int, float]]) -> None:
        conn, held = self.connection, self.ownership.fencing_tokens
        if gone := [s for s in slices if s not in held]:
            raise FencedError(gone)
        if conn is None:
            raise RegistryUnavailableError("the registry is not reached")
        answer = await conn.call(
            conn.kv_stub.Txn,
            rpc_pb2.TxnRequest(
                compare=[self.same(self.key("who/charge", s), held[s]) for s in slices],
                success=[
                    rpc_pb2.RequestOp(
                        request_put=rpc_pb2.PutRequest(
                            key=self.key("tables", s),
                            value=msgspec.json.encode(dict(tables[s])),
                        )
                    )
                    for s in slices
                ],
            ),
        )
        if not answer.succeeded:
            raise FencedError(slices)

    # ---- the watch -------------------------------------------------------------------------------------

    def on_view_change(self, d: ViewChange) -> None:
        now = self.clock()
        for row in d.changes:
            kind, _, name = row.key[len(self.watched_prefix) :].decode("ascii", "replace").partition("/")
            if not name.isdigit():
                continue
            if kind == "members":
                self.ownership.on_member_observed(now, int(name), row.value is not None, row.value == b"leaving")
            elif kind == "charge":
                value = row.value.decode("ascii", "replace") if row.value is not None else ""
                holder = int(value) if value.isdigit() else None
                # A charge key is put once and deleted: its revision is its create revision.
                self.perform(self.ownership.on_owner_observed(now, int(name), holder, row.revision))
