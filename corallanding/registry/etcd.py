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

from .connection import WatchListener
from .errors import CompactedError, RegistryUnavailableError
from .watch_messages import KeyValue, ResponseHeader


@dataclass(frozen=True)
class TlsConfig:
    """PEM files: the registry's CA, and a client certificate with its key where it asks for one."""

    ca: bytes
    certificate: bytes | None = None
    key: bytes | None = None
    name: str | None = None  # the name to expect in the registry's certificate, if not its address


def prefix_end(prefix: bytes) -> bytes:
    """The first key after all keys with this prefix."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 255:
            return prefix[:at] + bytes([prefix[at] + 1])
    return b"\0"


def unavailable_error(fault: grpc.aio.AioRpcError) -> RegistryUnavailableError:
    return RegistryUnavailableError(f"{fault.code().name}: {fault.details()}"[:200])


def response_header(h: Any) -> ResponseHeader:
    return ResponseHeader(h.cluster_id, h.revision)


class EtcdConnection:
    """One connection. timeout: ms for a call; token: sent as the registry's auth token if given."""

    def __init__(self, address: str, timeout: float, tls: TlsConfig | None = None, token: str = "") -> None:
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
        self.timeout_seconds, self.is_closed = timeout / 1000.0, False
        self.metadata = (("token", token),) if token else ()
        # A member that has lost its leader would keep a watch open and silent for ever: asked so, it ends it.
        self.watch_metadata = (*self.metadata, ("hasleader", "true"))
        self.kv_stub = rpc_pb2_grpc.KVStub(self.channel)
        self.watch_stub = rpc_pb2_grpc.WatchStub(self.channel)
        self.lease_stub = rpc_pb2_grpc.LeaseStub(self.channel)

    async def call(self, method: Any, request: Any) -> Any:
        try:
            return await method(request, timeout=self.timeout_seconds, metadata=self.metadata)
        except grpc.aio.AioRpcError as fault:
            if fault.code() is grpc.StatusCode.OUT_OF_RANGE:
                raise CompactedError(fault.details() or "") from None
            raise unavailable_error(fault) from None
        except asyncio.CancelledError:
            # A watch that broke closes the channel under calls of others: gRPC tells them as if they were cancelled,
            # and a writer would end as a task that somebody stopped.
            task = asyncio.current_task()
            if self.is_closed and task and not task.cancelling():
                raise RegistryUnavailableError("the connection was given up in the middle") from None
            raise

    async def list_page(
        self, prefix: bytes, after: bytes, revision: int, most: int
    ) -> tuple[ResponseHeader, list[KeyValue], bool]:
        """Up to `most` rows of the prefix after a key, at a revision (0: now)."""
        first = after + b"\0" if after else prefix
        request = rpc_pb2.RangeRequest(key=first, range_end=prefix_end(prefix), limit=most, revision=revision)
        r = await self.call(self.kv_stub.Range, request)
        return response_header(r.header), [KeyValue(x.key, x.value, x.mod_revision) for x in r.kvs], r.more

    async def watch(self, prefix: bytes, revision: int, told: WatchListener) -> None:
        """Watches until the registry ends it. Raises `RegistryUnavailableError` when the way breaks."""
        create = rpc_pb2.WatchCreateRequest(
            key=prefix, range_end=prefix_end(prefix), start_revision=revision, progress_notify=True, fragment=True
        )
        stop = asyncio.Event()

        async def asks() -> AsyncIterator[Any]:
            yield rpc_pb2.WatchRequest(create_request=create)
            await stop.wait()  # an open request side keeps the watch

        stream = self.watch_stub.Watch(asks(), metadata=self.watch_metadata)
        try:
            async for r in stream:
                header = response_header(r.header)
                if r.canceled:
                    told.on_cancelled(header, r.compact_revision, r.cancel_reason)
                    return
                if r.created:
                    told.on_created(header)
                elif r.events or r.fragment:
                    rows = [
                        KeyValue(e.kv.key, None if e.type == kv_pb2.Event.DELETE else e.kv.value, e.kv.mod_revision)
                        for e in r.events
                    ]
                    told.on_changes(header, rows, r.fragment)
                else:
                    told.on_progress(header)
            raise RegistryUnavailableError("the watch ended")
        except grpc.aio.AioRpcError as fault:
            raise unavailable_error(fault) from None
        finally:
            stop.set()
            stream.cancel()

    async def close(self) -> None:
        self.is_closed = True
        await self.channel.close()
