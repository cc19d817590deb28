"""Settings for how often members are probed, and how soon an unresponsive one is declared dead."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipConfig:
    """Settings of the membership protocol.

    A controller whose own probes fail may probe and suspect up to `max_local_health` times slower. A suspect is
    declared dead after `suspicion_multiplier` probe intervals times log10 of the number of members (at least 1). Each
    update is sent `retransmit_multiplier` times log2 of the number of members.
    """

    probe_interval_ms: float = 500.0
    probe_timeout_ms: float = 200.0  # time until other members are requested to probe
    indirect_probe_count: int = 3  # members that are requested to probe
    suspicion_multiplier: float = 4.0
    max_local_health: int = 8
    retransmit_multiplier: float = 3.0
    max_messages_per_second: float = 50.0  # limit for one peer; further messages are rejected and counted
