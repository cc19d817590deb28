"""The stand-in registry without sockets: the calls of the etcd client, answered by the stand-in's own handlers.

What gRPC does between them is emulated here: latency, deadlines, aborts with their status code, and streams that end.
Messages are passed as objects; their encoding is tested on sockets (`tests/registry/test_source.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
import grpc.aio

from ...registry.etcd import EtcdConnection
from ..registry import Etcd as EtcdHandlers
from ..registry import Mvcc, Registry
from ..roster import RegistryRoster
from ..trace import Trace
from .loop import SimLoop


class AbortedError(Exception):
    """A handler aborted its call."""

    def __init__(self, code: grpc.StatusCode, details: str) -> None:
        self.code, self.details = code, details


def rpc_error(code: grpc.StatusCode, details: str) -> grpc.aio.AioRpcError:
    """Return the error that a gRPC client raises for a status code."""
    return grpc.aio.AioRpcError(code, grpc.aio.Metadata(), grpc.aio.Metadata(), details=details)


class HandlerContext:
    """The call context that a handler gets."""

    def __init__(self, metadata: Any, on_message: Callable[[Any], None]) -> None:
        self.metadata, self.on_message = tuple(metadata or ()), on_message

    def invocation_metadata(self) -> Any:
        """Return the client's metadata."""
        return self.metadata

    async def abort(self, code: grpc.StatusCode, details: str) -> None:
        """Raise `AbortedError`."""
        raise AbortedError(code, details)

    async def write(self, message: Any) -> None:
        """Send a message of a streamed response."""
        self.on_message(message)


class LocalRegistry(Registry):
    """The registry in this process; `up` is whether it is reachable. Open streams break when it stops."""

    def __init__(self, loop: SimLoop) -> None:
        self.loop, self.up, self.port = loop, False, 1
        self.store = Mvcc()
        self.faults = self.store.faults
        self.handlers = EtcdHandlers(self.store, self.faults)
        self.streams: dict[StreamCall, None] = {}

    async def start(self) -> None:
        """Make the registry reachable and let its leases expire."""
        self.up = True
        self.clock = asyncio.get_running_loop().create_task(self.run_leases())

    async def stop(self) -> None:
        """Make the registry unreachable and break all streams."""
        self.up = False
        self.clock.cancel()
        for call in list(self.streams):
            call.on_connection_lost(rpc_error(grpc.StatusCode.UNAVAILABLE, "connection lost"))

    def check(self) -> None:
        """Raise `AioRpcError` (UNAVAILABLE) if the registry is not reachable."""
        if not self.up:
            raise rpc_error(grpc.StatusCode.UNAVAILABLE, "connection refused")


class StreamCall:
    """A call with streamed responses, which can be iterated and cancelled as in grpc.aio."""

    def __init__(self, registry: LocalRegistry, handler: Any, requests: Any, metadata: Any) -> None:
        self.registry, self.loop = registry, registry.loop
        self.queue: asyncio.Queue[Any] = asyncio.Queue()
        self.context = HandlerContext(metadata, lambda message: self.deliver_later(message))
        registry.streams[self] = None
        self.task = asyncio.get_running_loop().create_task(self.serve(handler, requests))

    def deliver_later(self, item: Any) -> None:
        """Deliver a response, an error or the end (None) after the latency."""
        self.loop.call_later(self.loop.latency_s, self.queue.put_nowait, item)

    async def serve(self, handler: Any, requests: Any) -> None:
        """Run the handler, then deliver its error or the end of the stream."""
        final_item: Any = None
        try:
            await asyncio.sleep(self.loop.latency_s)
            self.registry.check()
            await handler(requests, self.context)
        except AbortedError as abort:
            final_item = rpc_error(abort.code, abort.details)
        except grpc.aio.AioRpcError as error:
            final_item = error
        finally:
            self.registry.streams.pop(self, None)
        self.deliver_later(final_item)

    def on_connection_lost(self, error: Exception) -> None:
        """Cancel the call and deliver the error."""
        self.task.cancel()
        self.registry.streams.pop(self, None)
        self.deliver_later(error)

    def cancel(self) -> None:
        """Cancel the call; no more responses are sent."""
        self.task.cancel()
        self.registry.streams.pop(self, None)

    async def __aiter__(self) -> AsyncIterator[Any]:
        while (item := await self.queue.get()) is not None:
            if isinstance(item, Exception):
                raise item
            yield item


class LocalStub:
    """Replaces the generated stubs: calls the handlers' methods with the simulated latency."""

    def __init__(self, registry: LocalRegistry) -> None:
        self.registry = registry

    def __getattr__(self, name: str) -> Any:
        handler = getattr(self.registry.handlers, name)
        if name in ("Watch", "LeaseKeepAlive"):
            return lambda requests, timeout=None, metadata=None: StreamCall(self.registry, handler, requests, metadata)
        return lambda request, timeout=None, metadata=None: self.call_unary(handler, request, timeout, metadata)

    async def call_unary(self, handler: Any, request: Any, timeout: float | None, metadata: Any) -> Any:
        """Call a handler that returns one response. Raises `AioRpcError`."""
        registry = self.registry
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(registry.loop.latency_s)
                registry.check()
                response = await handler(request, HandlerContext(metadata, lambda _: None))
                await asyncio.sleep(registry.loop.latency_s)
                registry.check()  # a response is lost if the connection broke before it arrived
                return response
        except AbortedError as abort:
            raise rpc_error(abort.code, abort.details) from None
        except TimeoutError:
            raise rpc_error(grpc.StatusCode.DEADLINE_EXCEEDED, "Deadline Exceeded") from None


class LocalEtcdConnection(EtcdConnection):
    """An etcd client whose stubs call the local registry; `timeout_ms` is the deadline of a call."""

    def __init__(self, registry: LocalRegistry, timeout_ms: float) -> None:
        self.timeout_seconds, self.is_closed, self.metadata = timeout_ms / 1000.0, False, ()
        self.watch_metadata = (("hasleader", "true"),)
        self.kv_stub = self.watch_stub = self.lease_stub = LocalStub(registry)

    async def close(self) -> None:
        """Close the client."""
        self.is_closed = True


class LocalRoster(RegistryRoster):
    """The lab's host list that is stored in the local registry."""

    def __init__(self, trace: Trace, loop: SimLoop) -> None:
        super().__init__(trace)
        self.registry = self.local = LocalRegistry(loop)
        self.port = 1

    async def start(self) -> None:
        """Start the registry and write the host list to it."""
        await self.registry.start()
        self.up = True
        self.changed()
