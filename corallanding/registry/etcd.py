"""A connection over the etcd v3 API: paged Range, Watch with fragments and progress notifications, leases, tokens, TLS.

Calls go through grpcio with the message classes of aetcd. This module is imported only where an etcd registry is
configured.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import grpc
import grpc.aio
from aetcd.rpc import kv_pb2, rpc_pb2, rpc_pb2_grpc

from .connection import ListedPage, WatchListener
from .errors import CompactedError, RegistryUnavailableError
from .watch_messages import KeyValue, ResponseHeader

MAX_ERROR_CHARACTERS = 200
MAX_BYTE = 255
MS_PER_SECOND = 1000.0
MAX_MESSAGE_BYTES = 64 << 20
CHANNEL_OPTIONS: tuple[tuple[str, Any], ...] = (
    ("grpc.keepalive_time_ms", 10_000),  # etcd closes a connection that pings more often than every 5 s by default
    ("grpc.keepalive_timeout_ms", 3_000),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)


@dataclass(frozen=True)
class TlsConfig:
    """PEM data: the registry's CA, and a client certificate with its key where the registry requires one.

    server_name: the name expected in the registry's certificate, if it is not the address.
    """

    ca: bytes
    certificate: bytes | None = None
    key: bytes | None = None
    server_name: str | None = None


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with this prefix."""
    for position in range(len(prefix) - 1, -1, -1):
        if prefix[position] < MAX_BYTE:
            return prefix[:position] + bytes([prefix[position] + 1])
    return b"\0"


def unavailable_error(error: grpc.aio.AioRpcError) -> RegistryUnavailableError:
    """Return the error of a failed call, with the gRPC status code and the registry's text."""
    return RegistryUnavailableError(f"{error.code().name}: {error.details()}"[:MAX_ERROR_CHARACTERS])


def response_header(header: Any) -> ResponseHeader:
    """Return the header of an etcd response as a `ResponseHeader`."""
    return ResponseHeader(header.cluster_id, header.revision)


def key_value_of_event(event: Any) -> KeyValue:
    """Return the key of a watch event, as of the event's revision."""
    is_deletion = event.type == kv_pb2.Event.DELETE
    return KeyValue(event.kv.key, None if is_deletion else event.kv.value, event.kv.mod_revision)


def report_watch_response(response: Any, listener: WatchListener) -> bool:
    """Report one watch response to the listener, and return false if it was the last one."""
    header = response_header(response.header)
    if response.canceled:
        listener.on_cancelled(header, response.compact_revision, response.cancel_reason)
        return False
    if response.created:
        listener.on_created(header)
    elif response.events or response.fragment:
        changes = [key_value_of_event(event) for event in response.events]
        listener.on_changes(header, changes, is_fragment=response.fragment)
    else:
        listener.on_progress(header)
    return True


class EtcdConnection:
    """One connection. timeout_ms: time limit of a call. token: the etcd authentication token, "" for none."""

    def __init__(self, address: str, timeout_ms: float, tls: TlsConfig | None = None, token: str = "") -> None:
        options = list(CHANNEL_OPTIONS)
        if tls:
            credentials = grpc.ssl_channel_credentials(tls.ca, tls.key, tls.certificate)
            if tls.server_name:
                options.append(("grpc.ssl_target_name_override", tls.server_name))
            self.channel = grpc.aio.secure_channel(address, credentials, options)
        else:
            self.channel = grpc.aio.insecure_channel(address, options)
        self.timeout_seconds = timeout_ms / MS_PER_SECOND
        self.is_closed = False
        self.metadata = (("token", token),) if token else ()
        # Without this header a member that has lost its leader keeps the watch open but sends nothing; with it the
        # member cancels the watch.
        self.watch_metadata = (*self.metadata, ("hasleader", "true"))
        self.kv_stub = rpc_pb2_grpc.KVStub(self.channel)
        self.watch_stub = rpc_pb2_grpc.WatchStub(self.channel)
        self.lease_stub = rpc_pb2_grpc.LeaseStub(self.channel)

    async def call(self, method: Any, request: Any) -> Any:
        """Send one request and return the response. Raises `RegistryUnavailableError` and `CompactedError`."""
        try:
            return await method(request, timeout=self.timeout_seconds, metadata=self.metadata)
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.OUT_OF_RANGE:
                raise CompactedError(error.details() or "") from None
            raise unavailable_error(error) from None
        except asyncio.CancelledError:
            # Closing the channel during a call (after its watch was lost) raises CancelledError in the caller although
            # its task was not cancelled.
            task = asyncio.current_task()
            if self.is_closed and task and not task.cancelling():
                raise RegistryUnavailableError("the connection was closed during the call") from None
            raise

    async def list_page(self, prefix: bytes, after_key: bytes, revision: int, max_keys: int) -> ListedPage:
        """Read up to `max_keys` keys of the prefix after a key, at a revision (0: the latest).

        Raises `RegistryUnavailableError`, and `CompactedError` if the revision has been compacted.
        """
        first_key = after_key + b"\0" if after_key else prefix
        request = rpc_pb2.RangeRequest(key=first_key, range_end=prefix_end(prefix), limit=max_keys, revision=revision)
        response = await self.call(self.kv_stub.Range, request)
        key_values = [KeyValue(key_value.key, key_value.value, key_value.mod_revision) for key_value in response.kvs]
        return ListedPage(response_header(response.header), key_values, response.more)

    async def watch(self, prefix: bytes, revision: int, listener: WatchListener) -> None:
        """Report changes under the prefix to the listener, starting at `revision`, until the registry ends the watch.

        Raises `RegistryUnavailableError` if the connection is lost.
        """
        create_request = rpc_pb2.WatchCreateRequest(
            key=prefix, range_end=prefix_end(prefix), start_revision=revision, progress_notify=True, fragment=True
        )
        finished = asyncio.Event()

        async def requests() -> AsyncIterator[Any]:
            yield rpc_pb2.WatchRequest(create_request=create_request)
            await finished.wait()  # the watch lasts as long as its request stream is open

        stream = self.watch_stub.Watch(requests(), metadata=self.watch_metadata)
        try:
            async for response in stream:
                if not report_watch_response(response, listener):
                    return
            raise RegistryUnavailableError("the watch stream ended")
        except grpc.aio.AioRpcError as error:
            raise unavailable_error(error) from None
        finally:
            finished.set()
            stream.cancel()

    async def grant_lease(self, ttl_ms: float) -> int:
        """Request a lease, in whole seconds (at least 1), and return its id. Raises `RegistryUnavailableError`."""
        request = rpc_pb2.LeaseGrantRequest(TTL=max(1, round(ttl_ms / MS_PER_SECOND)))
        response = await self.call(self.lease_stub.LeaseGrant, request)
        return int(response.ID)

    async def keep_lease_alive(self, lease_id: int) -> float:
        """Renew a lease and return its time to live in ms, 0 if it expired. Raises `RegistryUnavailableError`."""

        async def requests() -> AsyncIterator[Any]:
            yield rpc_pb2.LeaseKeepAliveRequest(ID=lease_id)

        stream = self.lease_stub.LeaseKeepAlive(requests(), timeout=self.timeout_seconds, metadata=self.metadata)
        try:
            async for response in stream:
                return float(response.TTL) * MS_PER_SECOND
            raise RegistryUnavailableError("no response to a lease keep-alive")
        except grpc.aio.AioRpcError as error:
            raise unavailable_error(error) from None
        finally:
            stream.cancel()

    async def close(self) -> None:
        """Close the channel. Calls in flight fail with `RegistryUnavailableError`."""
        self.is_closed = True
        await self.channel.close()
