"""The stand-in registry without its sockets: the etcd client's own calls, answered by the stand-in's own handlers.

What gRPC does between them is here: the way there and back, deadlines, aborts by their code, streams that end. A
message is handed over as it is; its bytes are tested on sockets (`tests/registry/test_source.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
import grpc.aio

from ...registry.etcd import EtcdConnection as Client
from ..registry import Etcd as Handlers
from ..registry import Mvcc, Registry
from ..roster import RegistryRoster
from ..trace import Trace
from .loop import SimLoop


class Aborted(Exception):
    def __init__(self, code: grpc.StatusCode, why: str) -> None:
        self.code, self.why = code, why


def fault(code: grpc.StatusCode, why: str) -> grpc.aio.AioRpcError:
    return grpc.aio.AioRpcError(code, grpc.aio.Metadata(), grpc.aio.Metadata(), details=why)


class Context:
    """What a handler sees of its call."""

    def __init__(self, meta: Any, write: Callable[[Any], None]) -> None:
        self.meta, self.put = tuple(meta or ()), write

    def invocation_metadata(self) -> Any:
        return self.meta

    async def abort(self, code: grpc.StatusCode, why: str) -> None:
        raise Aborted(code, why)

    async def write(self, message: Any) -> None:
        self.put(message)


class LocalRegistry(Registry):
    """`up`: whether it can be reached. Streams that are open break when it stops."""

    def __init__(self, loop: SimLoop) -> None:
        self.loop, self.up, self.port = loop, False, 1
        self.store = Mvcc()
        self.faults = self.store.faults
        self.handlers = Handlers(self.store, self.faults)
        self.streams: dict[Call, None] = {}

    async def start(self) -> None:
        self.up = True
        self.clock = asyncio.get_running_loop().create_task(self.run_leases())

    async def stop(self) -> None:
        self.up = False
        self.clock.cancel()
        for call in list(self.streams):
            call.broken(fault(grpc.StatusCode.UNAVAILABLE, "the connection broke"))

    def check(self) -> None:
        if not self.up:
            raise fault(grpc.StatusCode.UNAVAILABLE, "nothing listens there")


class Call:
    """A stream of answers, as grpc.aio gives it: iterated, and cancelled."""

    def __init__(self, registry: LocalRegistry, handler: Any, asks: Any, meta: Any) -> None:
        self.registry, self.loop = registry, registry.loop
        self.queue: asyncio.Queue[Any] = asyncio.Queue()
        self.context = Context(meta, lambda message: self.later(message))
        registry.streams[self] = None
        self.task = asyncio.get_running_loop().create_task(self.serve(handler, asks))

    def later(self, item: Any) -> None:
        self.loop.call_later(self.loop.latency, self.queue.put_nowait, item)

    async def serve(self, handler: Any, asks: Any) -> None:
        end: Any = None
        try:
            await asyncio.sleep(self.loop.latency)
            self.registry.check()
            await handler(asks, self.context)
        except Aborted as abort:
            end = fault(abort.code, abort.why)
        except grpc.aio.AioRpcError as refused:
            end = refused
        finally:
            self.registry.streams.pop(self, None)
        self.later(end)

    def broken(self, why: Exception) -> None:
        self.task.cancel()
        self.registry.streams.pop(self, None)
        self.later(why)

    def cancel(self) -> None:
        self.task.cancel()
        self.registry.streams.pop(self, None)

    async def __aiter__(self) -> AsyncIterator[Any]:
        while (item := await self.queue.get()) is not None:
            if isinstance(item, Exception):
                raise item
            yield item


class Stub:
    """Stands for the generated stubs: a method of the handlers, called over the simulated way."""

    def __init__(self, registry: LocalRegistry) -> None:
        self.registry = registry

    def __getattr__(self, name: str) -> Any:
        handler = getattr(self.registry.handlers, name)
        if name in ("Watch", "LeaseKeepAlive"):
            return lambda asks, timeout=None, metadata=None: Call(self.registry, handler, asks, metadata)
        return lambda request, timeout=None, metadata=None: self.ask(handler, request, timeout, metadata)

    async def ask(self, handler: Any, request: Any, timeout: float | None, metadata: Any) -> Any:
        r = self.registry
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(r.loop.latency)
                r.check()
                answer = await handler(request, Context(metadata, lambda _: None))
                await asyncio.sleep(r.loop.latency)
                r.check()  # an answer on a connection that broke meanwhile never comes
                return answer
        except Aborted as abort:
            raise fault(abort.code, abort.why) from None
        except TimeoutError:
            raise fault(grpc.StatusCode.DEADLINE_EXCEEDED, "Deadline Exceeded") from None


class LocalClient(Client):
    def __init__(self, registry: LocalRegistry, timeout: float) -> None:
        self.timeout_seconds, self.is_closed, self.metadata = timeout / 1000.0, False, ()
        self.watch_metadata = (("hasleader", "true"),)
        self.kv_stub = self.watch_stub = self.lease_stub = Stub(registry)

    async def close(self) -> None:
        self.is_closed = True


class LocalRoster(RegistryRoster):
    """The roster that is kept in it."""

    def __init__(self, trace: Trace, loop: SimLoop) -> None:
        super().__init__(trace)
        self.registry = self.local = LocalRegistry(loop)
        self.port = 1

    async def start(self) -> None:
        await self.registry.start()
        self.up = True
        self.changed()
