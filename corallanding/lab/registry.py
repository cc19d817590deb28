"""A stand-in registry on loopback with the etcd v3 API: MVCC revisions, watches, leases, compaction and faults.

Written from the published API, as far as its clients here need it. The same store serves Consul's blocking reads.
Faults: drop all connections, reject calls, compact, return stale reads, cancel watches, split responses into fragments,
restore an older state under a new cluster id, expire tokens, respond slowly.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
from dataclasses import dataclass, field
from typing import Any

# The fork handlers of gRPC run in the child between fork and exec and sometimes abort it while calls are open, which
# would kill controllers started by this process. Its children use no gRPC before their exec.
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")

import grpc
import grpc.aio
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc
from aiohttp import web


@dataclass
class KeyVersion:
    """The value of a key at one revision, with its create and modification revisions."""

    value: bytes
    create: int
    mod: int
    version: int
    lease: int


@dataclass
class RegistryFaults:
    """The present faults of the registry."""

    down: bool = False
    lag: int = 0  # number of revisions by which reads are stale
    fragment: int = 0  # largest number of events in a watch response; 0: no limit
    token: str = ""  # token that calls must carry; empty: none
    leaderless: bool = False  # this member has no leader: it rejects all calls but watches
    unanswered: int = 0  # transactions to apply without a response, as when a leader fails
    delay: float = 0.0  # seconds before each response


@dataclass
class Mvcc:
    """The store: all revisions of all keys, and leases."""

    cluster: int = 0xC0FFEE
    revision: int = 1
    compacted: int = 0
    keys: dict[bytes, KeyVersion] = field(default_factory=dict)
    # Revision, key and new value; None: deleted.
    log: list[tuple[int, bytes, KeyVersion | None]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # lease: TTL and end in seconds
    next_lease: int = 1000
    calls: dict[str, int] = field(default_factory=dict)
    faults: RegistryFaults = field(default_factory=RegistryFaults)
    waiters: dict[asyncio.Future[None], None] = field(default_factory=dict)

    def poke(self) -> None:
        """Wake all that wait for a change."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, seconds: float) -> bool:
        """Wait until something changes; return False after a timeout."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[waiter] = None
        try:
            done, _ = await asyncio.wait({waiter}, timeout=seconds)
            return bool(done)
        finally:
            self.waiters.pop(waiter, None)

    def count(self, call: str) -> None:
        """Count a call."""
        self.calls[call] = self.calls.get(call, 0) + 1

    def at(self, revision: int) -> dict[bytes, KeyVersion]:
        """Return all keys as of a revision."""
        view: dict[bytes, KeyVersion] = {}
        for r, key, v in self.log:
            if r > revision:
                break
            if v is None:
                view.pop(key, None)
            else:
                view[key] = v
        return view

    def write(self, changes: list[tuple[bytes, bytes | None, int]]) -> int:
        """Write all changes (key, value or None, lease) as one revision and return it; no-ops create none."""
        effective = [c for c in changes if c[1] is not None or c[0] in self.keys]
        if not effective:
            return self.revision
        self.revision += 1
        for key, value, lease in effective:
            old = self.keys.get(key)
            if value is None:
                self.keys.pop(key, None)
                self.log.append((self.revision, key, None))
                continue
            create, version = (old.create, old.version + 1) if old else (self.revision, 1)
            new = KeyVersion(value, create, self.revision, version, lease)
            self.keys[key] = new
            self.log.append((self.revision, key, new))
        return self.revision

    def put(self, key: bytes, value: bytes | None, lease: int = 0) -> int:
        """Write one key, or delete it; return the revision."""
        return self.write([(key, value, lease)])

    def compact(self, revision: int) -> None:
        """Discard revisions before `revision`; the state at it stays readable."""
        self.compacted = max(self.compacted, revision)
        base = self.at(self.compacted)
        kept = sorted(((v.mod, k, v) for k, v in base.items()), key=lambda x: (x[0], x[1]))
        self.log = [*kept, *(x for x in self.log if x[0] > self.compacted)]

    def restore(self, revision: int) -> None:
        """Restore the state of an older revision under a new cluster id, as from a backup."""
        view = self.at(revision)
        self.log = [x for x in self.log if x[0] <= revision]
        self.keys, self.revision, self.cluster = view, revision, self.cluster + 1

    def expire_leases(self, now: float) -> None:
        """Revoke leases that have ended."""
        over = [n for n, (_, ends) in self.leases.items() if now >= ends]
        for n in over:
            self.revoke(n)

    def elect(self, now: float) -> None:
        """Elect a new leader, which does not know the age of leases and therefore renews all of them."""
        self.leases = {n: (ttl, now + ttl) for n, (ttl, _) in self.leases.items()}

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        self.write([(k, None, 0) for k, v in self.keys.items() if v.lease == lease])


def kv(key: bytes, v: KeyVersion) -> Any:
    """Return the etcd message of a key."""
    return kv_pb2.KeyValue(
        key=key, value=v.value, create_revision=v.create, mod_revision=v.mod, version=v.version, lease=v.lease
    )


class Etcd(rpc_pb2_grpc.KVServicer, rpc_pb2_grpc.WatchServicer, rpc_pb2_grpc.LeaseServicer):  # type: ignore[misc]
    """The handlers of the etcd API for one member."""

    def __init__(self, store: Mvcc, faults: RegistryFaults) -> None:
        self.store, self.faults = store, faults

    def header(self, revision: int | None = None) -> Any:
        """Return the header of a response."""
        s = self.store
        return rpc_pb2.ResponseHeader(cluster_id=s.cluster, revision=s.revision if revision is None else revision)

    async def begin_call(self, call: str, context: Any) -> None:
        """Count a call; delay it or abort it if a fault says so."""
        s = self.store
        s.count(call)
        if s.faults.delay:
            await asyncio.sleep(s.faults.delay)
        if s.faults.down:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the registry is down")
        if self.faults.leaderless and call != "Watch":
            await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
        if s.faults.token:
            meta = dict(context.invocation_metadata() or ())
            if meta.get("token") != s.faults.token:
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, "etcdserver: invalid auth token")

    def rows(self, r: Any, view: dict[bytes, KeyVersion]) -> list[bytes]:
        """Return the keys of a range request in order."""
        if not r.range_end:
            return [r.key] if r.key in view else []
        open_end = r.range_end == b"\0"
        return sorted(k for k in view if k >= r.key and (open_end or k < r.range_end))

    async def Range(self, request: Any, context: Any) -> Any:
        """Serve a read."""
        await self.begin_call("Range", context)
        s = self.store
        now = max(1, s.revision - s.faults.lag) if request.serializable or s.faults.lag else s.revision
        at = request.revision or now
        if request.revision and at < s.compacted:  # a member that lags does not know of the compaction yet
            await context.abort(grpc.StatusCode.OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted")
        view = s.keys if at == s.revision else s.at(at)
        keys = self.rows(request, view)
        limit = request.limit or len(keys)
        return rpc_pb2.RangeResponse(
            header=self.header(now), kvs=[kv(k, view[k]) for k in keys[:limit]], more=len(keys) > limit, count=len(keys)
        )

    async def Put(self, request: Any, context: Any) -> Any:
        """Serve a write."""
        await self.begin_call("Put", context)
        if request.lease and request.lease not in self.store.leases:
            await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
        self.store.put(request.key, request.value, request.lease)
        self.store.poke()
        return rpc_pb2.PutResponse(header=self.header())

    def compare_holds(self, c: Any) -> bool:
        """Return whether a condition of a transaction holds."""
        v = self.store.keys.get(c.key)
        operands = {
            rpc_pb2.Compare.VERSION: (v.version if v else 0, c.version),
            rpc_pb2.Compare.CREATE: (v.create if v else 0, c.create_revision),
            rpc_pb2.Compare.MOD: (v.mod if v else 0, c.mod_revision),
            rpc_pb2.Compare.VALUE: (v.value if v else b"", c.value),
        }
        actual, expected = operands[c.target]
        return bool(
            {
                rpc_pb2.Compare.EQUAL: actual == expected,
                rpc_pb2.Compare.GREATER: actual > expected,
                rpc_pb2.Compare.LESS: actual < expected,
                rpc_pb2.Compare.NOT_EQUAL: actual != expected,
            }[c.result]
        )

    async def Txn(self, request: Any, context: Any) -> Any:
        """Serve a transaction."""
        await self.begin_call("Txn", context)
        if len(request.success) > 128 or request.ByteSize() > 1_500_000:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "etcdserver: too many operations in txn request")
        ok = all(self.compare_holds(c) for c in request.compare)
        changes: list[tuple[bytes, bytes | None, int]] = []
        responses = []
        for op in request.success if ok else request.failure:
            if op.HasField("request_put"):
                p = op.request_put
                if p.lease and p.lease not in self.store.leases:
                    await context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
                changes.append((p.key, p.value, p.lease))
            elif op.HasField("request_delete_range"):
                changes += [(k, None, 0) for k in self.rows(op.request_delete_range, self.store.keys)]
        self.store.write(changes)
        self.store.poke()
        for op in request.success if ok else request.failure:
            if op.HasField("request_range"):
                keys = self.rows(op.request_range, self.store.keys)
                found = rpc_pb2.RangeResponse(header=self.header(), kvs=[kv(k, self.store.keys[k]) for k in keys])
                responses.append(rpc_pb2.ResponseOp(response_range=found))
            elif op.HasField("request_put"):
                responses.append(rpc_pb2.ResponseOp(response_put=rpc_pb2.PutResponse(header=self.header())))
            else:
                deleted = rpc_pb2.DeleteRangeResponse(header=self.header())
                responses.append(rpc_pb2.ResponseOp(response_delete_range=deleted))
        if self.faults.unanswered:
            # The old leader applied the transaction and failed before it could respond.
            self.faults.unanswered -= 1
            await context.abort(
                grpc.StatusCode.UNAVAILABLE, "etcdserver: request timed out, possibly due to previous leader failure"
            )
        return rpc_pb2.TxnResponse(header=self.header(), succeeded=ok, responses=responses)

    async def Compact(self, request: Any, context: Any) -> Any:
        """Serve a compaction."""
        await self.begin_call("Compact", context)
        self.store.compact(request.revision)
        return rpc_pb2.CompactionResponse(header=self.header())

    async def Watch(self, request_iterator: Any, context: Any) -> None:
        """Serve one watch until its client ends it."""
        await self.begin_call("Watch", context)
        s = self.store
        create = None
        async for request in request_iterator:
            if request.HasField("create_request"):
                create = request.create_request
                break
        if create is None:
            return
        at = create.start_revision or s.revision + 1
        await context.write(rpc_pb2.WatchResponse(header=self.header(), created=True))
        if at < s.compacted:
            await context.write(
                rpc_pb2.WatchResponse(
                    header=self.header(),
                    canceled=True,
                    compact_revision=s.compacted,
                    cancel_reason="etcdserver: mvcc: required revision has been compacted",
                )
            )
            return
        request_reader = asyncio.create_task(self.read_requests(request_iterator, context))
        try:
            wants_leader = dict(context.invocation_metadata() or ()).get("hasleader") == "true"
            while not request_reader.done():
                if self.faults.leaderless:
                    if wants_leader:
                        await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
                    await asyncio.sleep(0.05)  # without `hasleader`, the watch stays open but silent
                    continue
                rows = [x for x in s.log if x[0] >= at and create.key <= x[1] < create.range_end]
                if rows:
                    at = s.revision + 1
                    await self.send(rows, context)
                changed = await s.wait(0.5)
                if not changed and create.progress_notify and not [x for x in s.log if x[0] >= at]:
                    await context.write(rpc_pb2.WatchResponse(header=self.header()))
        finally:
            request_reader.cancel()

    async def read_requests(self, requests: Any, context: Any) -> None:
        """Read further requests of a watch until the client ends it."""
        async for _ in requests:
            pass

    async def send(self, rows: list[tuple[int, bytes, KeyVersion | None]], context: Any) -> None:
        """Send changes as watch events, in fragments if set."""
        events = [
            kv_pb2.Event(type=kv_pb2.Event.PUT, kv=kv(k, v))
            if v
            else kv_pb2.Event(type=kv_pb2.Event.DELETE, kv=kv_pb2.KeyValue(key=k, mod_revision=r))
            for r, k, v in rows
        ]
        max_events = self.store.faults.fragment or len(events)
        for k in range(0, len(events), max_events):
            last = k + max_events >= len(events)
            await context.write(
                rpc_pb2.WatchResponse(header=self.header(), events=events[k : k + max_events], fragment=not last)
            )

    async def LeaseGrant(self, request: Any, context: Any) -> Any:
        """Grant a lease."""
        await self.begin_call("LeaseGrant", context)
        s = self.store
        s.next_lease += 1
        s.leases[s.next_lease] = (float(request.TTL), asyncio.get_running_loop().time() + request.TTL)
        return rpc_pb2.LeaseGrantResponse(header=self.header(), ID=s.next_lease, TTL=request.TTL)

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:
        """Revoke a lease."""
        await self.begin_call("LeaseRevoke", context)
        self.store.revoke(request.ID)
        self.store.poke()
        return rpc_pb2.LeaseRevokeResponse(header=self.header())

    async def LeaseKeepAlive(self, request_iterator: Any, context: Any) -> None:
        """Renew leases; a response with TTL 0 means that the lease has ended."""
        await self.begin_call("LeaseKeepAlive", context)
        s = self.store
        async for request in request_iterator:
            if self.faults.leaderless:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
            ttl = 0.0
            if request.ID in s.leases:
                ttl = s.leases[request.ID][0]
                s.leases[request.ID] = (ttl, asyncio.get_running_loop().time() + ttl)
            await context.write(rpc_pb2.LeaseKeepAliveResponse(header=self.header(), ID=request.ID, TTL=int(ttl)))


class Registry:
    """The stand-in as a running server. After a change of `store`, call `store.poke`.

    of: another member of the cluster, whose store this one shares; each member has its own `faults`.
    """

    def __init__(self, port: int = 0, credentials: Any = None, of: Registry | None = None) -> None:
        self.store: Mvcc = of.store if of else Mvcc()
        self.port, self.credentials = port, credentials
        self.faults = RegistryFaults() if of else self.store.faults
        self.server: Any = None
        self.consul: asyncio.Server | None = None
        self.consul_port = 0

    async def start(self) -> None:
        """Listen for etcd and Consul clients."""
        limits = [
            ("grpc.so_reuseport", 0),
            ("grpc.http2.min_recv_ping_interval_without_data_ms", 5_000),
            ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
        ]
        self.server = grpc.aio.server(options=limits)
        etcd = Etcd(self.store, self.faults)
        rpc_pb2_grpc.add_KVServicer_to_server(etcd, self.server)
        rpc_pb2_grpc.add_WatchServicer_to_server(etcd, self.server)
        rpc_pb2_grpc.add_LeaseServicer_to_server(etcd, self.server)
        where = f"127.0.0.1:{self.port}"
        if self.credentials:
            self.port = self.server.add_secure_port(where, self.credentials)
        else:
            self.port = self.server.add_insecure_port(where)
        await self.server.start()
        self.reads = web.Server(self.blocking_read)
        self.consul = await asyncio.get_running_loop().create_server(self.reads, "127.0.0.1", self.consul_port)
        self.consul_port = self.consul.sockets[0].getsockname()[1]
        self.clock = asyncio.create_task(self.run_leases())

    async def run_leases(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            before = self.store.revision
            if not self.store.faults.leaderless:  # without a leader no lease expires
                self.store.expire_leases(asyncio.get_running_loop().time())
            if self.store.revision != before:
                self.store.poke()

    async def put(self, key: str, value: Any) -> int:
        """Write a key and return the revision. value: raw bytes, an object to encode as JSON, or None to delete."""
        raw = value if isinstance(value, bytes) or value is None else json.dumps(value).encode()
        revision = self.store.put(key.encode(), raw)
        self.store.poke()
        return revision

    async def stop(self) -> None:
        """Drop all connections; the store is kept for the next start."""
        self.clock.cancel()
        if self.consul:
            self.consul.close()
            for handler in self.reads.connections:
                if handler.transport:
                    handler.transport.abort()
        await self.server.stop(0)

    # ---- Consul ----------------------------------------------------------------------------------------

    async def blocking_read(self, request: web.BaseRequest) -> web.Response:
        """Serve GET /v1/kv/PREFIX?recurse&index=N&wait=Ns: respond when the index exceeds N or the wait is over."""
        query, s, loop = request.query, self.store, asyncio.get_running_loop()
        index, wait = int(query.get("index", 0) or 0), float(query.get("wait", "0s").rstrip("s") or 0)
        s.count("consul")
        end = loop.time() + wait
        while index and s.revision <= index and (left := end - loop.time()) > 0:
            if not await s.wait(left):
                break
        status, body = (500, b"") if s.faults.down else self.consul_response(request.path)
        index = max(1, s.revision - s.faults.lag)
        return web.Response(status=status, body=body, headers={"X-Consul-Index": str(index)})

    def consul_response(self, path: str) -> tuple[int, bytes]:
        """Return the status and the body of a Consul read."""
        prefix = path.removeprefix("/v1/kv/").encode()
        s = self.store
        view = s.at(max(1, s.revision - s.faults.lag)) if s.faults.lag else s.keys
        rows = [
            {
                "Key": k.decode(),
                "Value": base64.b64encode(v.value).decode(),
                "ModifyIndex": v.mod,
                "CreateIndex": v.create,
            }
            for k, v in sorted(view.items())
            if k.startswith(prefix)
        ]
        return (200, json.dumps(rows).encode()) if rows else (404, b"")
