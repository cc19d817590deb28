"""Random draws by key: the same key always gives the same draw, independent of how many draws came before."""

from __future__ import annotations

MASK = (1 << 64) - 1


def uniform(*key: int) -> float:
    """Return a number in [0, 1): the finalizer of splitmix64 (Steele, Lea and Flood, 2014) over the key's numbers."""
    x = 0
    for part in key:
        x = (x + part + 0x9E3779B97F4A7C15) & MASK
        x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 & MASK
        x = (x ^ x >> 27) * 0x94D049BB133111EB & MASK
        x ^= x >> 31
    return (x >> 11) / (1 << 53)


def at(lines: list[tuple[int, float]], share: float) -> int:
    """Return the host at `share`, in [0, 1), of the cumulative weight of the lines (host, weight)."""
    left = share * sum(weight for _, weight in lines)
    for host, weight in lines:
        left -= weight
        if left < 0.0:
            return host
    return lines[-1][0]
