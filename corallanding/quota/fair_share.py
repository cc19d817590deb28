"""Max-min fair division of indivisible units among clients."""

from __future__ import annotations

from collections.abc import Mapping


def share(pool: int, wants: Mapping[int, int], rotation: int = 0) -> dict[int, int]:
    """Divide `pool` units max-min fairly; nobody gets more than it wants.

    wants: units by client. rotation: offset of the clients that get one more where units cannot be divided evenly. The
    shares add up to the pool or, if that is less, to the sum of the wants.
    """
    shares = dict.fromkeys(wants, 0)
    remaining = max(0, pool)
    unsatisfied = sorted(client for client, wanted in wants.items() if wanted > 0)
    while remaining and unsatisfied:
        even_part = remaining // len(unsatisfied)
        if not even_part:
            first = rotation % len(unsatisfied)
            for client in (unsatisfied[first:] + unsatisfied[:first])[:remaining]:
                shares[client] += 1
            break
        for client in unsatisfied:
            part = min(even_part, wants[client] - shares[client])
            shares[client] += part
            remaining -= part
        unsatisfied = [client for client in unsatisfied if shares[client] < wants[client]]
    return shares
