"""Calls of tests to the relay: made, decoded and answered without a connection."""

from __future__ import annotations

from typing import Any

import msgspec

from corallanding.relay.call import Call
from corallanding.relay.channel import ChannelEstimate
from corallanding.relay.pending_calls import PendingCalls

PROXY_COUNT, MAX_QUEUED_LINES, LINES_PER_MS = 100, 30_000.0, 20.0


def make_pending_calls(**overrides: Any) -> PendingCalls:
    return PendingCalls(["lookup", "claim"], **overrides)


def decode_orders(call: Call | None) -> list[dict[str, Any]]:
    assert call
    decoded = msgspec.json.decode(call.line)
    assert decoded["method"] == "relay.apply"
    assert decoded["id"] == call.id
    assert call.line.endswith(b"\n")
    return list(decoded["params"]["ops"])


def answer_call(pending: PendingCalls, now_ms: float = 0.0, **answer: Any) -> list[Any] | None:
    assert pending.in_flight
    return pending.on_answer(now_ms, msgspec.json.encode({"jsonrpc": "2.0", "id": pending.in_flight.id, **answer}))


def make_channel() -> ChannelEstimate:
    return ChannelEstimate(MAX_QUEUED_LINES, LINES_PER_MS * 1000.0, 8.0, lambda: PROXY_COUNT)
