"""The requests of slice ownership in the etcd v3 API, and the keys that they concern.

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
MAX_OPERATIONS = 100  # of one transaction; the registry's usual limit is 128
MAX_TRANSACTION_BYTES = 1_000_000  # the registry's usual limit is 1.5 MiB
TABLE_BYTES = 64  # estimated, beside its entries
TABLE_ENTRY_BYTES = 32  # estimated

Tables = Mapping[int, Mapping[int, float]]
"""Slice to host to weight."""


@dataclass(frozen=True)
class RegistryKeys:
    """The names of the keys under a base."""

    base: bytes

    @property
    def watched_prefix(self) -> bytes:
        """The prefix of members and owners."""
        return self.base + b"who/"

    def member(self, controller: int) -> bytes:
        """The key by which a controller announces itself."""
        return self.base + f"who/members/{controller}".encode()

    def owner(self, slice_id: int) -> bytes:
        """The key that holds the owner of a slice."""
        return self.base + f"who/charge/{slice_id}".encode()

    def table(self, slice_id: int) -> bytes:
        """The key that holds the table of a slice."""
        return self.base + f"tables/{slice_id}".encode()


class ClaimResult(NamedTuple):
    """The fencing token of a slice that is ours now, and its table as stored; 0 if another owns the slice."""

    fencing_token: int
    stored_table: bytes = b""


def compare_create_revision(key: bytes, create_revision: int) -> Any:
    """The condition that a key has this create revision."""
    return rpc_pb2.Compare(
        result=rpc_pb2.Compare.EQUAL, target=rpc_pb2.Compare.CREATE, key=key, create_revision=create_revision
    )


def batches(tables: Tables) -> list[list[int]]:
    """The slices, in order and divided by the registry's limits on a transaction."""
    found: list[list[int]] = []
    batch: list[int] = []
    batch_bytes = 0
    for slice_id in sorted(tables):
        table_bytes = TABLE_BYTES + TABLE_ENTRY_BYTES * len(tables[slice_id])
        if batch and (len(batch) >= MAX_OPERATIONS or batch_bytes + table_bytes > MAX_TRANSACTION_BYTES):
            found.append(batch)
            batch = []
            batch_bytes = 0
        batch.append(slice_id)
        batch_bytes += table_bytes
    return [*found, batch] if batch else found


class OwnershipRequests:
    """Requests of one controller on one connection. Each raises `RegistryUnavailableError` if it has no answer."""

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

        The table is read in the same transaction: nobody writes it between the claim and the reading.
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
        found = response.responses[1].response_range.kvs
        return ClaimResult(int(response.header.revision), found[0].value if found else b"")

    async def release(self, slice_id: int, fencing_token: int) -> None:
        """Delete the ownership key if its create revision is the fencing token."""
        key = self._keys.owner(slice_id)
        delete = rpc_pb2.DeleteRangeRequest(key=key)
        await self._transact(
            [compare_create_revision(key, fencing_token)], [rpc_pb2.RequestOp(request_delete_range=delete)]
        )

    async def write_tables(self, slices: list[int], tables: Tables, fencing_tokens: Mapping[int, int]) -> None:
        """Write the tables of these slices, all or none. Raises `FencedError` if one of them is not ours any more."""
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
    """Write one batch of tables under the fencing tokens that are held now. Raises as `TableStore.write` does."""
    lost = [slice_id for slice_id in slices if slice_id not in ownership.fencing_tokens]
    if lost:
        raise FencedError(lost)
    if connection is None:
        raise RegistryUnavailableError("the registry is not reached")
    requests = OwnershipRequests(connection, keys, ownership.controller)
    await requests.write_tables(slices, tables, ownership.fencing_tokens)
