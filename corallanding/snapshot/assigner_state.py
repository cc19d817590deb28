"""Conversion of the state of an assigner to and from values that a file can hold.

A loaded assigner behaves exactly like one that was never stopped. The order of hosts, slices, table entries and rates
is part of the state, since sums and tie-breaks depend on it. Rankings are not stored, only the order of their hosts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from operator import attrgetter
from typing import Any

import msgspec

from .. import interface as api
from ..assignment import Assigner
from ..assignment.pending_versions import UnackedVersion
from ..assignment.state import Host, Slice
from ..errors import StorageError
from .stored_fields import HOST_ATTRIBUTES, OPTIONAL_VALUE_PATHS, SLICE_ATTRIBUTES, VALUE_PATHS

HOST_FIELDS = list(HOST_ATTRIBUTES)
SLICE_FIELDS = list(SLICE_ATTRIBUTES)
RATES_INDEX = SLICE_FIELDS.index("rates")
_host_values = attrgetter(*HOST_ATTRIBUTES.values())
_slice_values = attrgetter(*SLICE_ATTRIBUTES.values())
_assigner_values = attrgetter(*VALUE_PATHS.values())


class AssignerStateError(StorageError, ValueError):
    """A stored state does not match this version's assigner. `names` are the mismatched fields, values or hosts."""

    def __init__(self, message: str, names: Iterable[str | int]) -> None:
        super().__init__(message)
        self.names = list(names)


class StoredHostEntry(msgspec.Struct):
    """An entry of the host list, under its stored names."""

    host: int = msgspec.field(name="host")
    zone: int = msgspec.field(name="zone", default=0)
    kind: int = msgspec.field(name="kind", default=0)
    cell: int = msgspec.field(name="cell", default=0)
    state: str = msgspec.field(name="state", default="up")
    weight: float = msgspec.field(name="weight", default=1.0)
    online_since: float = msgspec.field(name="online_since", default=0.0)

    @classmethod
    def of(cls, entry: api.HostEntry) -> StoredHostEntry:
        """Return the stored form of an entry."""
        return cls(entry.host, entry.zone, entry.kind, entry.cell, entry.state, entry.weight, entry.online_since)

    def entry(self) -> api.HostEntry:
        """Return the entry that was stored. Raises ValueError for an unknown state."""
        state = api.HostState(self.state)
        return api.HostEntry(self.host, self.zone, self.kind, self.cell, state, self.weight, self.online_since)


class StoredHost(msgspec.Struct, array_like=True):
    """A stored host; the order of the fields is the stored format."""

    entry: StoredHostEntry
    fields: list[Any]  # values in the order of `HOST_ATTRIBUTES`


class StoredSlice(msgspec.Struct, array_like=True):
    """A stored slice, with hosts by id; the order of the fields is the stored format."""

    weights: list[tuple[int, float]]
    owner: int | None
    replicas: list[int]
    candidate: int | None
    previous_owner: int | None
    fields: list[Any]  # values in the order of `SLICE_ATTRIBUTES`


class AssignerState(msgspec.Struct):
    """Complete state of an assigner, under its stored names."""

    seed: int = msgspec.field(name="seed")
    values: dict[str, Any] = msgspec.field(name="values")  # keys of the value paths
    proxies: list[tuple[int, list[tuple[int, float]]]] = msgspec.field(name="proxies")  # unacked versions
    sent: list[float] = msgspec.field(name="sent")  # times of sent messages in ms
    typical: list[tuple[int, float]] = msgspec.field(name="typical")  # typical latency in ms by kind of host
    host_fields: list[str] = msgspec.field(name="host_fields")
    slice_fields: list[str] = msgspec.field(name="slice_fields")
    hosts: list[StoredHost] = msgspec.field(name="hosts")
    slices: list[StoredSlice] = msgspec.field(name="slices")
    ranked: list[int] = msgspec.field(name="ranked")  # host ids in the order in which rankings add them


def dump(assigner: Assigner) -> AssignerState:
    """Return the state of an assigner between two steps.

    Raises `AssignerStateError` if its proxies keep orders: a stored state does not contain which orders they lack.
    """
    if assigner.proxies_keep_orders:
        raise AssignerStateError("an assigner whose proxies keep orders cannot be stored", ["proxies_keep_orders"])
    pending = assigner.pending_versions
    return AssignerState(
        seed=assigner.seed,
        values=_stored_values(assigner),
        proxies=[(proxy, list(unacked)) for proxy, unacked in pending.unacked_by_proxy.items()],
        sent=list(pending.sent_at_ms),
        typical=list(assigner.fleet.typical_latency_ms_by_kind.items()),
        host_fields=HOST_FIELDS,
        slice_fields=SLICE_FIELDS,
        hosts=[
            StoredHost(StoredHostEntry.of(host.entry), list(_host_values(host))) for host in assigner.hosts.values()
        ],
        slices=[dump_slice(slice_) for slice_ in assigner.slices.values()],
        ranked=[host.id for host in assigner.rendezvous.hosts],
    )


def _stored_values(assigner: Assigner) -> dict[str, Any]:
    values = dict(zip(VALUE_PATHS, _assigner_values(assigner), strict=True))
    for name, path in OPTIONAL_VALUE_PATHS.items():
        if value := attrgetter(path)(assigner):
            values[name] = value
    return values


def dump_slice(slice_: Slice) -> StoredSlice:
    """Return the stored form of a slice; rates become pairs, since their order is part of the state."""
    fields = list(_slice_values(slice_))
    fields[RATES_INDEX] = list(fields[RATES_INDEX].items())
    return StoredSlice(
        [(host.id, weight) for host, weight in slice_.weights.items()],
        slice_.owner.id if slice_.owner else None,
        [host.id for host in slice_.replicas],
        slice_.candidate.id if slice_.candidate else None,
        slice_.previous_owner.id if slice_.previous_owner else None,
        fields,
    )


def load(settings: api.Settings, state: AssignerState) -> Assigner:
    """Return an assigner that continues from `state`.

    Raises `AssignerStateError` for unknown fields, values or hosts, ValueError for any other mismatch.
    """
    check_fields(state)
    assigner = Assigner(settings, state.seed)
    for stored_host in state.hosts:
        host = load_host(stored_host)
        assigner.hosts[host.entry.host] = host
    for stored_slice in state.slices:
        slice_ = load_slice(stored_slice, assigner.hosts)
        assigner.slices[slice_.id] = slice_
    assigner.rendezvous.add(named_host(assigner.hosts, host_id) for host_id in state.ranked)
    pending = assigner.pending_versions
    pending.unacked_by_proxy = {
        proxy: deque(UnackedVersion(version, cost) for version, cost in unacked) for proxy, unacked in state.proxies
    }
    pending.sent_at_ms = deque(state.sent)
    assigner.fleet.typical_latency_ms_by_kind = dict(state.typical)
    load_values(assigner, state.values)
    return assigner


def check_fields(state: AssignerState) -> None:
    """Raise `AssignerStateError` if hosts or slices were stored with different fields than this version has."""
    if state.host_fields != HOST_FIELDS or state.slice_fields != SLICE_FIELDS:
        mismatched = sorted(set(state.host_fields) ^ set(HOST_FIELDS) | set(state.slice_fields) ^ set(SLICE_FIELDS))
        raise AssignerStateError(f"stored fields of hosts or slices differ: {mismatched}", mismatched)


def load_host(stored: StoredHost) -> Host:
    """Return the host of a stored host."""
    entry = stored.entry.entry()
    host = Host(entry.host, entry)
    for attribute, value in zip(HOST_ATTRIBUTES.values(), stored.fields, strict=True):
        setattr(host, attribute, value)
    return host


def load_slice(stored: StoredSlice, hosts: dict[int, Host]) -> Slice:
    """Return the slice of a stored slice. Raises `AssignerStateError` if it refers to a host that is not stored."""
    slice_ = Slice(-1)
    for (name, attribute), value in zip(SLICE_ATTRIBUTES.items(), stored.fields, strict=True):
        setattr(slice_, attribute, dict(value) if name == "rates" else value)
    slice_.weights = {named_host(hosts, host_id): weight for host_id, weight in stored.weights}
    slice_.owner = optional_host(hosts, stored.owner)
    slice_.candidate = optional_host(hosts, stored.candidate)
    slice_.previous_owner = optional_host(hosts, stored.previous_owner)
    slice_.replicas = [named_host(hosts, host_id) for host_id in stored.replicas]
    return slice_


def named_host(hosts: dict[int, Host], host_id: int) -> Host:
    """Return the host with this id. Raises `AssignerStateError` if there is none."""
    if host_id not in hosts:
        raise AssignerStateError(f"state refers to host {host_id}, which is not stored", [host_id])
    return hosts[host_id]


def optional_host(hosts: dict[int, Host], host_id: int | None) -> Host | None:
    """Return the host with this id, None for no id. Raises `AssignerStateError` if there is no such host."""
    return None if host_id is None else named_host(hosts, host_id)


def load_values(assigner: Assigner, values: dict[str, Any]) -> None:
    """Set the attributes at the paths of these values. Raises `AssignerStateError` for an unknown name."""
    paths = VALUE_PATHS | OPTIONAL_VALUE_PATHS
    for name, value in values.items():
        if name not in paths:
            raise AssignerStateError(f"unknown stored value {name}", [name])
        part, _, attribute = paths[name].rpartition(".")
        setattr(attrgetter(part)(assigner) if part else assigner, attribute, value)
