"""Hosts for tests of pinned requests."""

from __future__ import annotations

from corallanding.version_pinning.version_selection import PinningHost


def make_host(
    number: int, version: int, capacity_share: float = 1.0, is_eligible: bool = True, is_in_tables: bool = True
) -> PinningHost:
    return PinningHost(number, 1.0, capacity_share, is_eligible, {"quote": [version], "claim": [version]}, is_in_tables)
