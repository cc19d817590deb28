"""What an urgent order takes along when it overtakes orders that still wait. Pure.

Orders of one forwarder are changes on changes: a later one that is applied first must leave every table as if it had
come in its turn, and no table may be without a host in between. So it takes along what the waiting ones say of the
tables that it touches, and they lose it.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..wire.frames import Orders


def plain(o: Orders | None) -> bool:
    """Whether an order may be overtaken, or overtake: lines, levels, cordons and addresses only. Tables read anew,
    slices withdrawn, emptied tables and forwarders put on other tables keep their place."""
    return o is not None and not (o.resets or o.points or o.withdrawn)


def cost(o: Orders) -> int:
    """Lines of an order, its mark included."""
    emptied, changed = len(o.resets) + len(o.withdrawn), len(o.lines) + len(o.levels) + len(o.cordons) + len(o.points)
    return emptied + changed + (o.mark >= 0)


def empty(o: Orders) -> bool:
    return not (o.lines or o.levels or o.cordons or o.addresses)


def overtake(urgent: Orders, waiting: Sequence[Orders], base: int) -> tuple[Orders, list[Orders | None]]:
    """(the urgent order with what it takes along, what is left of each waiting one, oldest first; None: nothing).

    The last of those that are left carries the urgent one's mark: its ack says that all are applied. If none is left
    the urgent one keeps it. Sequence numbers never fall at any forwarder: from `base` on, the highest that is the next
    of one of them (a forwarder that joined lately waits for the newer ones only).
    """
    cordons = {h: on for o in waiting for h, on in o.cordons}
    cordons.update(urgent.cordons)
    # A cordon shuts a host out of every table at once, and a table's next host may stand in any waiting line.
    all_tables = any(cordons.values())
    tables = {t for t, _, _ in urgent.lines}
    levels = {(t, bits) for t, bits, _, _ in urgent.levels}
    lines = {(t, h): w for o in waiting for t, h, w in o.lines if all_tables or t in tables}
    # An address goes along with its lines, the newest that waits, and leaves all that wait: not even a forwarder that
    # joined after some of them may be given an older one than it has.
    along = {h for _, h in lines}
    addresses = {h: a for o in waiting for h, a in o.addresses.items() if h in along}
    lines.update({(t, h): w for t, h, w in urgent.lines})
    addresses.update(urgent.addresses)
    left: list[Orders | None] = []
    for o in waiting:
        rest = msgspec.structs.replace(
            o,
            lines=[row for row in o.lines if row[:2] not in lines],
            cordons=[],
            levels=[row for row in o.levels if row[:2] not in levels],
            addresses={h: a for h, a in o.addresses.items() if h not in addresses},
        )
        left.append(None if empty(rest) else rest)
    last = None
    if any(left):
        # The newest stands wherever any does: it carries the mark, and stays for that even if nothing is left of it.
        newest = waiting[-1]
        bare = msgspec.structs.replace(newest, lines=[], levels=[], cordons=[], addresses={})
        last = left[-1] = left[-1] or bare
    rows = sorted(((t, h, w) for (t, h), w in lines.items()), key=lambda row: row[2] <= 0)  # the new ones first
    numbers = [base, *(max(base, o.seq) for o in waiting[1:]), urgent.seq]
    ahead = msgspec.structs.replace(
        urgent,
        seq=numbers[0] if last else urgent.seq,
        mark=-1 if last else urgent.mark,
        lines=rows,
        cordons=list(cordons.items()),
        addresses=addresses,
    )
    out: list[Orders | None] = []
    for part, number in zip(left, numbers[1:], strict=True):
        if part is None:
            out.append(None)
        elif part is last:
            mark = urgent.mark if urgent.mark >= 0 else part.mark
            out.append(msgspec.structs.replace(part, seq=urgent.seq, mark=mark))
        else:
            out.append(msgspec.structs.replace(part, seq=number))
    return ahead, out
