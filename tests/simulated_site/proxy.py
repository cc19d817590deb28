"""A proxy of a simulated site: its tables, the hosts that it excludes, and the slices for which it has no host."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from corallanding import interface as api


@dataclass
class Connection:
    """A proxy's stream from one controller, and the cordons that it has received on this and earlier ones."""

    is_joined: bool = False
    joined_at_ms: float = 0.0
    epoch: int = 0  # number of the stream; messages of earlier ones are lost
    last_arrival_ms: float = 0.0
    excluded: set[int] = field(default_factory=set)
    message_times_ms: deque[float] = field(default_factory=deque)
    has_ever_joined: bool = False


class Proxy:
    """Holds tables as it received them. `owners` is the controller of each slice."""

    def __init__(self, number: int, controllers: int, owners: dict[int, int]) -> None:
        self.number = number
        self.owners = owners
        self.tables: dict[int, set[int]] = {}
        self.connections = [Connection() for _ in range(controllers)]
        self.references: Counter[int] = Counter()  # tables that name a host, by host
        self.without_host_since_ms: dict[int, float] = {}

    def usable_hosts(self, slice_id: int) -> set[int]:
        """Return the hosts to which it may send the requests of a slice."""
        return self.tables[slice_id] - self.connections[self.owners[slice_id]].excluded

    def set_table(self, slice_id: int, hosts: set[int]) -> None:
        """Replace a table by what the store holds."""
        self.references.subtract(self.tables.get(slice_id, ()))
        self.tables[slice_id] = set(hosts)
        self.references.update(hosts)

    def is_concerned(self, action: api.Action) -> bool:
        """Return whether an order is a line of a message to this proxy."""
        return not isinstance(action, api.Cordon) or self.references[action.host] > 0

    def apply(self, controller: int, orders: Sequence[api.Action]) -> set[int]:
        """Apply the orders of a message, and return the slices that may have gained or lost hosts."""
        changed: set[int] = set()
        excluded = self.connections[controller].excluded
        for order in orders:
            match order:
                case api.SetWeight() if self.owners[order.slice] == controller:
                    self._set_entry(order)
                    changed.add(order.slice)
                case api.Cordon():
                    (excluded.add if order.is_cordoned else excluded.discard)(order.host)
                    changed.update(slice_id for slice_id, table in self.tables.items() if order.host in table)
        return changed

    def _set_entry(self, order: api.SetWeight) -> None:
        table = self.tables[order.slice]
        if order.weight > 0 and order.host not in table:
            table.add(order.host)
            self.references[order.host] += 1
        elif order.weight <= 0 and order.host in table:
            table.discard(order.host)
            self.references[order.host] -= 1
