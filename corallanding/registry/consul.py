"""Blocking reads by index over HTTP, as Consul publishes them, on the same interface as `etcd`.

The registry gives whole answers with an index and no history: each answer is a full read at its index, and the
view's difference to it is the change. An index that goes back (a restore) begins anew, as Consul's pages ask.
"""

from __future__ import annotations

import base64

import aiohttp
import msgspec

from ..endpoints.endpoint_list import parse_loopback_address
from .connection import WatchListener
from .errors import RegistryUnavailableError
from .watch_messages import KeyValue, ResponseHeader

MAX_RESPONSE_BYTES = 64 << 20


class ConsulEntry(msgspec.Struct, rename="pascal"):
    key: str
    value: str | None
    modify_index: int


class ConsulConnection:
    """One source. timeout, wait: ms for an answer, and how long a read may block on the registry's side."""

    def __init__(self, address: str, timeout: float, wait: float = 10_000.0, token: str = "") -> None:
        host, port = parse_loopback_address(address)
        self.where = f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
        self.timeout, self.wait, self.token = timeout, wait, token
        self.epoch, self.index = 1, 0
        self.kept: tuple[int, list[KeyValue]] | None = None  # what a blocking read brought

    async def read(self, prefix: bytes, index: int) -> tuple[int, list[KeyValue]]:
        """One answer on a connection of its own: a registry that is gone shows at once, and no pool outlives it."""
        asked = {"recurse": "true", "index": str(index), "wait": f"{max(1, int(self.wait / 1000))}s"}
        limit = aiohttp.ClientTimeout((self.timeout + (self.wait if index else 0.0)) / 1000.0)
        head = {"X-Consul-Token": self.token} if self.token else {}
        try:
            async with (
                aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True), timeout=limit) as session,
                session.get(f"{self.where}/v1/kv/{prefix.decode()}", params=asked, headers=head) as answer,
            ):
                status, told, body = answer.status, answer.headers.get("X-Consul-Index", ""), bytearray()
                async for piece in answer.content.iter_chunked(1 << 16):
                    body += piece
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise RegistryUnavailableError(f"an answer of over {MAX_RESPONSE_BYTES} bytes")
        except (aiohttp.ClientError, OSError, TimeoutError) as fault:
            raise RegistryUnavailableError(str(fault) or "timed out") from None
        if status not in (200, 404):
            raise RegistryUnavailableError(f"the registry answered {status}")
        try:
            found = msgspec.json.decode(bytes(body), type=list[ConsulEntry]) if status == 200 else []
            rows = [KeyValue(e.key.encode(), base64.b64decode(e.value or ""), e.modify_index) for e in found]
        except (msgspec.DecodeError, ValueError) as fault:
            raise RegistryUnavailableError(f"not an answer: {fault}"[:200]) from None
        return max(1, int(told) if told.isdigit() else 0), rows

    def header(self, index: int) -> ResponseHeader:
        return ResponseHeader(self.epoch, index)

    async def list_page(
        self, prefix: bytes, after: bytes, revision: int, most: int
    ) -> tuple[ResponseHeader, list[KeyValue], bool]:
        kept, self.kept = self.kept, None
        index, rows = kept or await self.read(prefix, 0)
        if index < self.index:
            self.epoch += 1  # the published rule: an index that goes back means starting over
        self.index = index
        return self.header(index), rows, False

    async def watch(self, prefix: bytes, revision: int, told: WatchListener) -> None:
        """Blocks until the index moves; then asks the owner for a full read, which is all that there is here."""
        told.on_created(self.header(self.index))
        while True:
            index, rows = await self.read(prefix, self.index)
            if index != self.index:
                self.kept = (index, rows)
                told.on_cancelled(None, index + revision, "the index moved")
                return

    async def close(self) -> None:
        return None
