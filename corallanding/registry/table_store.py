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

from .connection import Lost
from .etcd import Etcd, lost
from .slice_ownership import Action, Announce, Charge, Claim, Fenced, Given, GrantLease, KeepAlive, Release, Terms
from .watch_state import Delta, Limits, Sync
from .watcher import Follower

OPERATIONS_MOST = 100  # of one transaction; the registry's usual limit is 128
BYTES_MOST = 1_000_000  # of one transaction; the registry's usual limit is 1.5 MiB


REQUESTS: dict[type, str] = {  # as texts of failures name them
    GrantLease: "grantlease",
    KeepAlive: "keepalive",
    Announce: "announce",
    Claim: "claim",
    Release: "release",
}


class Holder(Protocol):
    """The steward's side: told what it holds."""

    def given(self, slice: int, lines: dict[int, float]) -> None: ...

    def taken(self, slice: int) -> None: ...

    def said(self, text: str) -> None: ...


class Keeper:
    """dial: a new connection; clock: ms. `write` raises `Fenced` or `Lost`; nothing is written without a charge."""

    def __init__(
        self,
        dial: Callable[[], Etcd],
        base: str,
        me: int,
        slices: range,
        holder: Holder,
        clock: Callable[[], float],
        chance: Callable[[], float],
        terms: Terms,
        limits: Limits,
    ) -> None:
        self.base, self.holder, self.clock = base.encode(), holder, clock
        self.watched = self.base + b"who/"
        self.charge = Charge(me, slices, terms)
        self.follower = Follower(
            dial,
            self.watched,
            Sync(limits, chance),
            clock,
            self.took,
            holder.said,
            lambda: self.charge.connection(True),
            lambda: self.charge.connection(False),
        )
        self.found: dict[int, bytes] = {}  # tables that came with claims, until the slice is given
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def conn(self) -> Etcd | None:
        return self.follower.conn

    def start(self) -> None:
        self.spawn(self.follower.run())
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

    def leave(self) -> None:
        self.carry(self.charge.leave(self.clock()))

    @property
    def empty(self) -> bool:
        return self.charge.empty

    # ---- what charge decides ---------------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            self.carry(self.charge.tick(self.clock()))
            await asyncio.sleep(self.charge.terms.ttl / 20_000.0)

    def carry(self, actions: list[Action]) -> None:
        for a in actions:
            if isinstance(a, Given):
                if a.on:
                    self.give(a.slice, a.fence)
                else:
                    self.holder.taken(a.slice)
            else:
                self.spawn(self.ask(a))

    def give(self, slice: int, fence: int) -> None:
        """A slice is ours: its table came with the answer to the claim."""
        value = self.found.pop(slice, b"")
        try:
            rows = msgspec.json.decode(value, type=dict[int, float]) if value else {}
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            self.holder.said(f"table of slice {slice} cannot be read, taken as empty: {fault}")
            rows = {}
        if self.charge.held.get(slice) == fence:
            self.holder.given(slice, rows)

    def key(self, kind: str, number: int) -> bytes:
        return self.base + f"{kind}/{number}".encode()

    async def ask(self, a: Action) -> None:
        conn, c = self.conn, self.charge
        if conn is None:
            return
        try:
            match a:
                case GrantLease(ttl):
                    ask = rpc_pb2.LeaseGrantRequest(TTL=max(1, round(ttl / 1000.0)))
                    granted = await conn.call(conn.leases.LeaseGrant, ask)
                    self.carry(c.granted(self.clock(), granted.ID))
                case KeepAlive(lease):
                    self.carry(c.kept(self.clock(), await self.keep_alive(conn, lease)))
                case Announce(lease, leaving):
                    value = b"leaving" if leaving else b"here"
                    put = rpc_pb2.PutRequest(key=self.key("who/members", c.me), value=value, lease=lease)
                    await conn.call(conn.kv.Put, put)
                case Claim(slice, lease):
                    self.carry(c.claimed(self.clock(), slice, lease, await self.claim(conn, slice, lease)))
                case Release(slice, fence):
                    key = self.key("who/charge", slice)
                    await conn.call(
                        conn.kv.Txn,
                        rpc_pb2.TxnRequest(
                            compare=[self.same(key, fence)],
                            success=[rpc_pb2.RequestOp(request_delete_range=rpc_pb2.DeleteRangeRequest(key=key))],
                        ),
                    )
                    self.carry(c.released(slice))
        except Lost as fault:
            self.holder.said(f"{REQUESTS[type(a)]}: {fault}")
            if isinstance(a, Claim):
                c.claiming.discard(a.slice)
            elif isinstance(a, Release):
                c.releasing.discard(a.slice)
            elif isinstance(a, GrantLease | KeepAlive):
                c.asked = -1.0

    async def keep_alive(self, conn: Etcd, lease: int) -> float:
        """The lease's time as the registry answers, ms; 0 if it is over."""
        import grpc.aio

        async def one() -> Any:
            yield rpc_pb2.LeaseKeepAliveRequest(ID=lease)

        stream = conn.leases.LeaseKeepAlive(one(), timeout=conn.timeout, metadata=conn.meta)
        try:
            async for answer in stream:
                return float(answer.TTL) * 1000.0
            raise Lost("no answer to a keep-alive")
        except grpc.aio.AioRpcError as fault:
            raise lost(fault) from None
        finally:
            stream.cancel()

    async def claim(self, conn: Etcd, slice: int, lease: int) -> int:
        """The create revision of the charge key that is ours now; 0 if another has it.

        The table is read in the same transaction: nobody writes it between the claim and the reading.
        """
        key = self.key("who/charge", slice)
        put = rpc_pb2.PutRequest(key=key, value=str(self.charge.me).encode(), lease=lease)
        table = rpc_pb2.RangeRequest(key=self.key("tables", slice))
        answer = await conn.call(
            conn.kv.Txn,
            rpc_pb2.TxnRequest(
                compare=[self.same(key, 0)],
                success=[rpc_pb2.RequestOp(request_put=put), rpc_pb2.RequestOp(request_range=table)],
            ),
        )
        if not answer.succeeded:
            return 0
        kvs = answer.responses[1].response_range.kvs
        self.found[slice] = kvs[0].value if kvs else b""
        return int(answer.header.revision)

    def same(self, key: bytes, create: int) -> Any:
        return rpc_pb2.Compare(
            result=rpc_pb2.Compare.EQUAL, target=rpc_pb2.Compare.CREATE, key=key, create_revision=create
        )

    # ---- tables ----------------------------------------------------------------------------------------

    async def write(self, tables: Mapping[int, Mapping[int, float]]) -> None:
        """Keep whole tables (slice: {host: weight}), in batches, each all or nothing; resumable: a batch that was
        written may be written again. Raises `Fenced` naming the slices that are not ours, `Lost` if it is not known
        whether the last batch was written."""
        if not self.charge.may_speak(self.clock()):
            raise Fenced(sorted(tables))
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
        conn, held = self.conn, self.charge.held
        if gone := [s for s in slices if s not in held]:
            raise Fenced(gone)
        if conn is None:
            raise Lost("the registry is not reached")
        answer = await conn.call(
            conn.kv.Txn,
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
            raise Fenced(slices)

    # ---- the watch -------------------------------------------------------------------------------------

    def took(self, d: Delta) -> None:
        now = self.clock()
        for row in d.rows:
            kind, _, name = row.key[len(self.watched) :].decode("ascii", "replace").partition("/")
            if not name.isdigit():
                continue
            if kind == "members":
                self.charge.member(now, int(name), row.value is not None, row.value == b"leaving")
            elif kind == "charge":
                value = row.value.decode("ascii", "replace") if row.value is not None else ""
                holder = int(value) if value.isdigit() else None
                # A charge key is put once and deleted: its revision is its create revision.
                self.carry(self.charge.holder(now, int(name), holder, row.revision))
