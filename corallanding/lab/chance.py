"""Chance by what it is for: the same key gives the same draw, however many others were made before."""

from __future__ import annotations

MASK = (1 << 64) - 1


def uniform(*key: int) -> float:
    """In [0, 1). The finalizer of splitmix64 (Steele, Lea and Flood, 2014) over the numbers of the key in turn."""
    x = 0
    for k in key:
        x = (x + k + 0x9E3779B97F4A7C15) & MASK
        x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 & MASK
        x = (x ^ x >> 27) * 0x94D049BB133111EB & MASK
        x ^= x >> 31
    return (x >> 11) / (1 << 53)


def at(lines: list[tuple[int, float]], share: float) -> int:
    """The host at a share of the lines' weight."""
    left = share * sum(w for _, w in lines)
    for host, weight in lines:
        left -= weight
        if left < 0.0:
            return host
    return lines[-1][0]
