"""The etcd v3 API as a connection for `sync`: Range by pages, Watch with fragments and progress, tokens, TLS.

grpcio carries it, the messages are aetcd's. This module is imported only where such a registry is configured.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import grpc
import grpc.aio
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from .connection import Compacted, Lost, Stream
from .watch_state import Header, Row


@dataclass(frozen=True)
class Tls:
    """PEM files: the registry's CA, and a client certificate with its key where it asks for one."""

    ca: bytes
    certificate: bytes | None = None
    key: bytes | None = None
    name: str | None = None  # the name to expect in the registry's certificate, if not its address


def end_of(prefix: bytes) -> bytes:
    """The first key after all keys with this prefix."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 255:
            return prefix[:at] + bytes([prefix[at] + 1])
    return b"\0"


def lost(fault: grpc.aio.AioRpcError) -> Lost:
    return Lost(f"{fault.code().name}: {fault.details()}"[:200])


def header_of(h: Any) -> Header:
    return Header(h.cluster_id, h.revision)


class Etcd:
    """One connection. timeout: ms for a call; token: sent as the registry's auth token if given."""

    def __init__(self, address: str, timeout: float, tls: Tls | None = None, token: str = "") -> None:
        # Pings more often than every 5 s are an offence to etcd as it comes: it would end the connection.
        options: list[tuple[str, Any]] = [
            ("grpc.keepalive_time_ms", 10_000),
            ("grpc.keepalive_timeout_ms", 3_000),
            ("grpc.http2.max_pings_without_data", 0),
            ("grpc.max_receive_message_length", 64 << 20),
            ("grpc.initial_reconnect_backoff_ms", 100),
            ("grpc.max_reconnect_backoff_ms", 1_000),
        ]
        if tls:
            credentials = grpc.ssl_channel_credentials(tls.ca, tls.key, tls.certificate)
            options += [("grpc.ssl_target_name_override", tls.name)] if tls.name else []
            self.channel = grpc.aio.secure_channel(address, credentials, options)
        else:
            self.channel = grpc.aio.insecure_channel(address, options)
        self.timeout, self.closed = timeout / 1000.0, False
        self.meta = (("token", token),) if token else ()
        # A member that has lost its leader would keep a watch open and silent for ever: asked so, it ends it.
        self.watch_meta = (*self.meta, ("hasleader", "true"))
        self.kv = rpc_pb2_grpc.KVStub(self.channel)
        self.watches = rpc_pb2_grpc.WatchStub(self.channel)
        self.leases = rpc_pb2_grpc.LeaseStub(self.channel)

    async def call(self, method: Any, request: Any) -> Any:
        try:
            return await method(request, timeout=self.timeout, metadata=self.meta)
        except grpc.aio.AioRpcError as fault:
            if fault.code() is grpc.StatusCode.OUT_OF_RANGE:
                raise Compacted(fault.details() or "") from None
            raise lost(fault) from None
        except asyncio.CancelledError:
            # A watch that broke closes the channel under calls of others: gRPC tells them as if they were cancelled,
            # and a writer would end as a task that somebody stopped.
            task = asyncio.current_task()
            if self.closed and task and not task.cancelling():
                raise Lost("the connection was given up in the middle") from None
            raise

    async def page(self, prefix: bytes, after: bytes, revision: int, most: int) -> tuple[Header, list[Row], bool]:
        """Up to `most` rows of the prefix after a key, at a revision (0: now). Raises `Lost`, `Compacted`."""
        first = after + b"\0" if after else prefix
        request = rpc_pb2.RangeRequest(key=first, range_end=end_of(prefix), limit=most, revision=revision)
        r = await self.call(self.kv.Range, request)
        return header_of(r.header), [Row(x.key, x.value, x.mod_revision) for x in r.kvs], r.more

    async def watch(self, prefix: bytes, revision: int, told: Stream) -> None:
        """Watches until the registry ends it. Raises `Lost` when the way breaks."""
        create = rpc_pb2.WatchCreateRequest(
            key=prefix, range_end=end_of(prefix), start_revision=revision, progress_notify=True, fragment=True
        )
        stop = asyncio.Event()

        async def asks() -> AsyncIterator[Any]:
            yield rpc_pb2.WatchRequest(create_request=create)
            await stop.wait()  # an open request side keeps the watch

        stream = self.watches.Watch(asks(), metadata=self.watch_meta)
        try:
            async for r in stream:
                header = header_of(r.header)
                if r.canceled:
                    told.cancelled(header, r.compact_revision, r.cancel_reason)
                    return
                if r.created:
                    told.created(header)
                elif r.events or r.fragment:
                    rows = [
                        Row(e.kv.key, None if e.type == kv_pb2.Event.DELETE else e.kv.value, e.kv.mod_revision)
                        for e in r.events
                    ]
                    told.changes(header, rows, r.fragment)
                else:
                    told.progress(header)
            raise Lost("the watch ended")
        except grpc.aio.AioRpcError as fault:
            raise lost(fault) from None
        finally:
            stop.set()
            stream.cancel()

    async def close(self) -> None:
        self.closed = True
        await self.channel.close()
