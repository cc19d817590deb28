"""A `RegistryConnection` to Consul by its blocking queries over HTTP.

Consul responds with all keys under a prefix and an index, and has no history: each response is a full read at its
index, and the changes are its difference from the previous one. An index that decreases (after a restore) starts a new
epoch, as Consul's documentation requires; the epoch takes the place of etcd's cluster id.
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
    """One key in a response of Consul; the value is in base64."""

    key: str
    value: str | None
    modify_index: int


@dataclass(frozen=True)
class IndexedRead:
    """All keys under the prefix at an index."""

    index: int
    key_values: list[KeyValue]


class HttpResponse(NamedTuple):
    """The parts of an HTTP response that are used."""

    status: int
    index_text: str
    body: bytes


class ConsulConnection:
    """Requests to one address, each on a separate HTTP connection.

    timeout_ms: time limit of a request. max_block_ms: how long the registry may hold a blocking query in addition.
    """

    def __init__(self, address: str, timeout_ms: float, max_block_ms: float = 10_000.0, token: str = "") -> None:
        host, port = parse_loopback_address(address)
        self.base_url = f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
        self.timeout_ms = timeout_ms
        self.max_block_ms = max_block_ms
        self.token = token
        self.epoch = 1
        self.index = 0
        self._prefetched: IndexedRead | None = None  # result of the last blocking query, for the next listing

    async def list_page(
        self,
        prefix: bytes,
        _after_key: bytes,
        _revision: int,
        _max_keys: int,
    ) -> ListedPage:
        """Read all keys under the prefix as one page: Consul has neither pages nor history.

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
        """Wait until the index changes; then cancel the watch, so that its owner does a full read."""
        listener.on_created(self._header())
        while True:
            read = await self._read(prefix, self.index)
            if read.index != self.index:
                self._prefetched = read
                listener.on_cancelled(None, read.index + revision, "the index changed")
                return

    async def close(self) -> None:
        """Do nothing: each HTTP connection is closed after its request."""

    def _header(self) -> ResponseHeader:
        return ResponseHeader(self.epoch, self.index)

    async def _read(self, prefix: bytes, index: int) -> IndexedRead:
        """Read all keys; with an index, wait until the registry's index differs from it or the blocking query ends."""
        try:
            response = await self._get(prefix, index)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise RegistryUnavailableError(str(error) or "timed out") from None
        if response.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise RegistryUnavailableError(f"the registry responded with HTTP status {response.status}")
        key_values = decode_entries(response.body) if response.status == HTTP_OK else []
        index_text = response.index_text
        return IndexedRead(max(1, int(index_text) if index_text.isdigit() else 0), key_values)

    async def _get(self, prefix: bytes, index: int) -> HttpResponse:
        """Send one request on a new connection, so that an unreachable registry is detected at once."""
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
                    raise RegistryUnavailableError(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
            return HttpResponse(response.status, response.headers.get("X-Consul-Index", ""), bytes(body))


def decode_entries(body: bytes) -> list[KeyValue]:
    """Decode the JSON body of a Consul response. Raises `RegistryUnavailableError`."""
    try:
        entries = msgspec.json.decode(body, type=list[ConsulEntry])
        return [
            KeyValue(entry.key.encode(), base64.b64decode(entry.value or ""), entry.modify_index) for entry in entries
        ]
    except (msgspec.DecodeError, ValueError) as error:
        raise RegistryUnavailableError(f"invalid response from Consul: {error}"[:MAX_ERROR_CHARACTERS]) from None
