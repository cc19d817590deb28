"""What a stand-in forwarder holds of its stewards: tables, levels, cordons. Does what it is told."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..wire import frames

ALL = 65535  # a level for every table


@dataclass
class Said:
    """What the forwarder holds of one steward, beside tables."""

    life: int = 0
    next_life: int = 0
    seq: int = 0
    joined: bool = False
    levels: dict[tuple[int, int], tuple[float, int]] = field(default_factory=dict)
    cordons: set[int] = field(default_factory=set)


class Holdings:
    """stewards: how many. usual_retry: the level of repeats where nothing says another."""

    def __init__(self, stewards: int, usual_retry: int) -> None:
        self.usual_retry = usual_retry
        self.tables: dict[int, dict[int, float]] = {}
        self.owner: dict[int, int] = {}  # slice: the steward whose table it is
        self.said = [Said() for _ in range(stewards)]
        self.addresses: dict[int, str] = {}

    def whole(self, k: int, frame: frames.Tables) -> None:
        """Tables as they stand. True for `joined` comes from a frame that replaces all."""
        said = self.said[k]
        rows = {t: dict(lines) for t, lines in frame.tables}
        if not frame.only_slices:
            for t in [t for t, at in self.owner.items() if at == k and t not in rows]:
                del self.owner[t]  # not its any more: the lines stand until another's come
            said.cordons = set(frame.cordons)
            said.levels = {(t, bits): (a, r) for t, bits, a, r in frame.levels}
            said.joined, said.life = True, said.next_life
        self.tables.update(rows)
        self.owner.update(dict.fromkeys(rows, k))
        self.addresses.update(frame.addresses)

    def orders(self, k: int, frame: frames.Orders) -> None:
        """In the order of the fields."""
        said = self.said[k]
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
            said.levels[table, bits] = (amount, retry)
        for host, on in frame.cordons:
            (said.cordons.add if on else said.cordons.discard)(host)

    def level(self, slice: int, operation: int) -> tuple[float, int]:
        amount, retry = 1.0, self.usual_retry
        for table in (ALL, slice):
            for (t, bits), (a, r) in self.said[self.owner.get(slice, 0)].levels.items():
                if t == table and (bits == 0 or bits >> operation & 1):
                    amount, retry = min(amount, a), r
        return amount, retry

    def lines(self, slice: int) -> list[tuple[int, float]]:
        shut = self.said[self.owner.get(slice, 0)].cordons
        return [(h, w) for h, w in self.tables.get(slice, {}).items() if h not in shut]
