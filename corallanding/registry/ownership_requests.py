"""The requests of slice ownership as calls of the etcd v3 API, and their keys.

Keys under `base`: who/members/<controller>, who/charge/<slice> (the owner) and tables/<slice> (JSON: host to weight).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec
from aetcd.rpc import rpc_pb2

from .errors import FencedError, RegistryUnavailableError
from .etcd import EtcdConnection
from .ownership_actions import MemberState
from .slice_ownership import SliceOwnership

NO_KEY_REVISION = 0  # the create revision of a key that does not exist
MAX_OPERATIONS_PER_TRANSACTION = 100  # etcd's default limit is 128
MAX_TRANSACTION_BYTES = 1_000_000  # etcd's default limit is 1.5 MiB
ESTIMATED_TABLE_BYTES = 64  # without the entries
ESTIMATED_ENTRY_BYTES = 32

Tables = Mapping[int, Mapping[int, float]]
"""Weights by slice and host."""


@dataclass(frozen=True)
class RegistryKeys:
    """The registry keys under a base."""

    base: bytes

    @property
    def watched_prefix(self) -> bytes:
        """The common prefix of member and ownership keys."""
        return self.base + b"who/"

    def member(self, controller: int) -> bytes:
        """Return the member key of a controller."""
        return self.base + f"who/members/{controller}".encode()

    def owner(self, slice_id: int) -> bytes:
        """Return the ownership key of a slice."""
        return self.base + f"who/charge/{slice_id}".encode()

    def table(self, slice_id: int) -> bytes:
        """Return the key of a slice's table."""
        return self.base + f"tables/{slice_id}".encode()


class ClaimResult(NamedTuple):
    """The fencing token of a claimed slice and its stored table; token 0 if another controller owns the slice."""

    fencing_token: int
    stored_table: bytes = b""


def compare_create_revision(key: bytes, create_revision: int) -> Any:
    """Return the transaction condition that a key has this create revision."""
    return rpc_pb2.Compare(
        result=rpc_pb2.Compare.EQUAL, target=rpc_pb2.Compare.CREATE, key=key, create_revision=create_revision
    )


def split_into_batches(tables: Tables) -> list[list[int]]:
    """Return the slices in order, in batches within the registry's limits on a transaction."""
    result: list[list[int]] = []
    batch: list[int] = []
    batch_bytes = 0
    for slice_id in sorted(tables):
        table_bytes = ESTIMATED_TABLE_BYTES + ESTIMATED_ENTRY_BYTES * len(tables[slice_id])
        if batch and (
            len(batch) >= MAX_OPERATIONS_PER_TRANSACTION or batch_bytes + table_bytes > MAX_TRANSACTION_BYTES
        ):
            result.append(batch)
            batch = []
            batch_bytes = 0
        batch.append(slice_id)
        batch_bytes += table_bytes
    return [*result, batch] if batch else result


class OwnershipRequests:
    """Requests of one controller on one connection. Each raises `RegistryUnavailableError` if it fails."""

    def __init__(self, connection: EtcdConnection, keys: RegistryKeys, controller: int) -> None:
        self._connection = connection
        self._keys = keys
        self._controller = controller

    async def announce(self, lease_id: int, state: MemberState) -> None:
        """Put this controller's member key."""
        key = self._keys.member(self._controller)
        request = rpc_pb2.PutRequest(key=key, value=state.value.encode(), lease=lease_id)
        await self._connection.call(self._connection.kv_stub.Put, request)

    async def claim(self, slice_id: int, lease_id: int) -> ClaimResult:
        """Put the ownership key if it does not exist.

        The table is read in the same transaction, so that it cannot be written between the claim and the read.
        """
        key = self._keys.owner(slice_id)
        put = rpc_pb2.PutRequest(key=key, value=str(self._controller).encode(), lease=lease_id)
        read_table = rpc_pb2.RangeRequest(key=self._keys.table(slice_id))
        response = await self._transact(
            [compare_create_revision(key, NO_KEY_REVISION)],
            [rpc_pb2.RequestOp(request_put=put), rpc_pb2.RequestOp(request_range=read_table)],
        )
        if not response.succeeded:
            return ClaimResult(NO_KEY_REVISION)
        stored_tables = response.responses[1].response_range.kvs
        return ClaimResult(int(response.header.revision), stored_tables[0].value if stored_tables else b"")

    async def release(self, slice_id: int, fencing_token: int) -> None:
        """Delete the ownership key if its create revision is the fencing token."""
        key = self._keys.owner(slice_id)
        delete = rpc_pb2.DeleteRangeRequest(key=key)
        await self._transact(
            [compare_create_revision(key, fencing_token)], [rpc_pb2.RequestOp(request_delete_range=delete)]
        )

    async def write_tables(self, slices: list[int], tables: Tables, fencing_tokens: Mapping[int, int]) -> None:
        """Write the tables of these slices, all or none. Raises `FencedError` if one of them is no longer owned."""
        response = await self._transact(
            [compare_create_revision(self._keys.owner(slice_id), fencing_tokens[slice_id]) for slice_id in slices],
            [rpc_pb2.RequestOp(request_put=self._put_table(slice_id, tables[slice_id])) for slice_id in slices],
        )
        if not response.succeeded:
            raise FencedError(slices)

    def _put_table(self, slice_id: int, weights: Mapping[int, float]) -> Any:
        return rpc_pb2.PutRequest(key=self._keys.table(slice_id), value=msgspec.json.encode(dict(weights)))

    async def _transact(self, conditions: list[Any], operations: list[Any]) -> Any:
        request = rpc_pb2.TxnRequest(compare=conditions, success=operations)
        return await self._connection.call(self._connection.kv_stub.Txn, request)


async def write_batch(
    connection: EtcdConnection | None, keys: RegistryKeys, ownership: SliceOwnership, slices: list[int], tables: Tables
) -> None:
    """Write one batch of tables under the current fencing tokens. Raises the errors of `TableStore.write`."""
    lost = [slice_id for slice_id in slices if slice_id not in ownership.fencing_tokens]
    if lost:
        raise FencedError(lost)
    if connection is None:
        raise RegistryUnavailableError("not connected to the registry")
    requests = OwnershipRequests(connection, keys, ownership.controller)
    await requests.write_tables(slices, tables, ownership.fencing_tokens)
