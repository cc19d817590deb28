"""Consul's blocking queries by index over HTTP, as a connection like that of `etcd`.

Consul answers with everything under a prefix and with an index, and keeps no history: each answer is a full read at its
index, and its difference to the last one is the change. An index that goes back (after a restore) starts a new epoch,
as Consul's documentation asks; the epoch takes the place of etcd's cluster id.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import NamedTuple

import aiohttp
import msgspec

from ..endpoints.endpoint_list import parse_loopback_address
from .connection import ListedPage, WatchListener
from .errors import RegistryUnavailableError
from .watch_messages import KeyValue, ResponseHeader

MAX_RESPONSE_BYTES = 64 << 20
READ_CHUNK_BYTES = 1 << 16
MAX_ERROR_CHARACTERS = 200
HTTP_OK = 200
HTTP_NOT_FOUND = 404  # no key has the prefix


class ConsulEntry(msgspec.Struct, rename="pascal"):
    """One key of Consul's answer; the value is in base64."""

    key: str
    value: str | None
    modify_index: int


@dataclass(frozen=True)
class IndexedRead:
    """Everything under the prefix, as of the index."""

    index: int
    key_values: list[KeyValue]


class HttpAnswer(NamedTuple):
    """What of an HTTP response is used."""

    status: int
    index_text: str
    body: bytes


class ConsulConnection:
    """Requests to one address, each on an HTTP connection of its own.

    timeout_ms: for an answer. max_block_ms: how long the registry may hold a blocking query.
    """

    def __init__(self, address: str, timeout_ms: float, max_block_ms: float = 10_000.0, token: str = "") -> None:
        host, port = parse_loopback_address(address)
        self.base_url = f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
        self.timeout_ms = timeout_ms
        self.max_block_ms = max_block_ms
        self.token = token
        self.epoch = 1
        self.index = 0
        self._prefetched: IndexedRead | None = None  # what the last blocking query brought

    async def list_page(
        self,
        prefix: bytes,
        _after_key: bytes,
        _revision: int,
        _max_keys: int,
    ) -> ListedPage:
        """Read everything under the prefix, as one page: Consul has neither pages nor history.

        Raises `RegistryUnavailableError`.
        """
        prefetched = self._prefetched
        self._prefetched = None
        read = prefetched or await self._read(prefix, 0)
        if read.index < self.index:
            self.epoch += 1
        self.index = read.index
        return ListedPage(self._header(), read.key_values, has_more=False)

    async def watch(self, prefix: bytes, revision: int, listener: WatchListener) -> None:
        """Block until the index moves; then cancel the watch, so that its owner reads everything again."""
        listener.on_created(self._header())
        while True:
            read = await self._read(prefix, self.index)
            if read.index != self.index:
                self._prefetched = read
                listener.on_cancelled(None, read.index + revision, "the index moved")
                return

    async def close(self) -> None:
        """Do nothing: no connection outlives its request."""

    def _header(self) -> ResponseHeader:
        return ResponseHeader(self.epoch, self.index)

    async def _read(self, prefix: bytes, index: int) -> IndexedRead:
        """Read everything; with an index, as soon as the registry has moved on from it, or when it ends the query."""
        try:
            answer = await self._get(prefix, index)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise RegistryUnavailableError(str(error) or "timed out") from None
        if answer.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise RegistryUnavailableError(f"the registry answered {answer.status}")
        key_values = decode_entries(answer.body) if answer.status == HTTP_OK else []
        index_text = answer.index_text
        return IndexedRead(max(1, int(index_text) if index_text.isdigit() else 0), key_values)

    async def _get(self, prefix: bytes, index: int) -> HttpAnswer:
        """Send one request on a connection of its own: a registry that is gone shows at once."""
        query = {"recurse": "true", "index": str(index), "wait": f"{max(1, int(self.max_block_ms / 1000))}s"}
        timeout = aiohttp.ClientTimeout((self.timeout_ms + (self.max_block_ms if index else 0.0)) / 1000.0)
        headers = {"X-Consul-Token": self.token} if self.token else {}
        body = bytearray()
        async with (
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True), timeout=timeout) as session,
            session.get(f"{self.base_url}/v1/kv/{prefix.decode()}", params=query, headers=headers) as response,
        ):
            async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
                body += chunk
                if len(body) > MAX_RESPONSE_BYTES:
                    raise RegistryUnavailableError(f"an answer of over {MAX_RESPONSE_BYTES} bytes")
            return HttpAnswer(response.status, response.headers.get("X-Consul-Index", ""), bytes(body))


def decode_entries(body: bytes) -> list[KeyValue]:
    """Decode Consul's JSON. Raises `RegistryUnavailableError`."""
    try:
        entries = msgspec.json.decode(body, type=list[ConsulEntry])
        return [
            KeyValue(entry.key.encode(), base64.b64decode(entry.value or ""), entry.modify_index) for entry in entries
        ]
    except (msgspec.DecodeError, ValueError) as error:
        raise RegistryUnavailableError(f"not an answer: {error}"[:MAX_ERROR_CHARACTERS]) from None
