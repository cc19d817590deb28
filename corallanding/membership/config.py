"""How often members are probed, and how fast an unanswered probe makes one dead."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipConfig:
    """Settings of the membership protocol.

    A controller whose own probes fail may probe and suspect up to `max_local_health` times slower. A suspect is dead
    after `suspicion_multiplier` probe intervals times log10 of the number of members, from 10 on. Each update is sent
    `retransmit_multiplier` times log2 of the number of members.
    """

    probe_interval_ms: float = 500.0
    probe_timeout_ms: float = 200.0  # before others are asked to probe
    indirect_probe_count: int = 3  # of members that are asked to probe
    suspicion_multiplier: float = 4.0
    max_local_health: int = 8
    retransmit_multiplier: float = 3.0
    max_messages_per_second: float = 50.0  # of one peer; more are rejected and counted
