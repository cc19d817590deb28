"""The state that a stand-in proxy has received from its controllers: tables, admission levels and cordons."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..wire import frames

ALL_SLICES = 65535  # slice number of an admission level that applies to all slices


@dataclass
class ControllerState:
    """State received from one controller, apart from tables."""

    incarnation: int = 0
    next_incarnation: int = 0
    seq: int = 0
    joined: bool = False
    levels: dict[tuple[int, int], tuple[float, int]] = field(default_factory=dict)
    cordons: set[int] = field(default_factory=set)


class ProxyState:
    """The state of a proxy. controllers: number of controllers. usual_retry: retry mode where no level sets one."""

    def __init__(self, controllers: int, usual_retry: int) -> None:
        self.usual_retry = usual_retry
        self.tables: dict[int, dict[int, float]] = {}
        self.owner: dict[int, int] = {}  # slice: number of the controller that owns it
        self.controllers = [ControllerState() for _ in range(controllers)]
        self.addresses: dict[int, str] = {}

    def apply_tables(self, k: int, frame: frames.Tables) -> None:
        """Apply complete tables of controller `k`; a frame that replaces all its state also marks it as joined."""
        controller = self.controllers[k]
        rows = {t: dict(lines) for t, lines in frame.tables}
        if not frame.only_slices:
            for t in [t for t, at in self.owner.items() if at == k and t not in rows]:
                del self.owner[t]  # no longer owned: the lines stay until the new owner sends its own
            controller.cordons = set(frame.cordons)
            controller.levels = {(t, bits): (a, r) for t, bits, a, r in frame.levels}
            controller.joined, controller.incarnation = True, controller.next_incarnation
        self.tables.update(rows)
        self.owner.update(dict.fromkeys(rows, k))
        self.addresses.update(frame.addresses)

    def apply_orders(self, k: int, frame: frames.Orders) -> None:
        """Apply changes of controller `k`, in the order of the fields."""
        controller = self.controllers[k]
        for table in frame.reset_tables:
            self.tables[table] = {}
        for table in frame.withdrawn_slices:
            if self.owner.get(table) == k:
                del self.owner[table]
        self.addresses.update(frame.addresses)
        for table, host, weight in frame.lines:
            lines = self.tables.setdefault(table, {})
            self.owner[table] = k
            if weight > 0:
                lines[host] = weight
            else:
                lines.pop(host, None)
        for table, bits, amount, retry in frame.levels:
            controller.levels[table, bits] = (amount, retry)
        for host, on in frame.cordons:
            (controller.cordons.add if on else controller.cordons.discard)(host)

    def level(self, slice: int, operation: int) -> tuple[float, int]:
        """Return the admitted share of the requests and the retry mode."""
        amount, retry = 1.0, self.usual_retry
        for table in (ALL_SLICES, slice):
            for (t, bits), (a, r) in self.controllers[self.owner.get(slice, 0)].levels.items():
                if t == table and (bits == 0 or bits >> operation & 1):
                    amount, retry = min(amount, a), r
        return amount, retry

    def lines(self, slice: int) -> list[tuple[int, float]]:
        """Return hosts and weights of a slice without cordoned hosts."""
        cordoned = self.controllers[self.owner.get(slice, 0)].cordons
        return [(h, w) for h, w in self.tables.get(slice, {}).items() if h not in cordoned]
