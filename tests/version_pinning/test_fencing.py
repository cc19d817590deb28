"""Two holders of one record group: writes of the earlier one are rejected."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from corallanding.quorum_records.limits import RecordLimits
from corallanding.quorum_records.messages import Accept
from corallanding.quorum_records.proposer import Proposer
from corallanding.quorum_records.replica import Replica
from tests.version_pinning.support import accept_without_fencing, forget_promises


def test_previous_holder_when_a_later_one_has_read_then_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first holder writes to one replica only. The second one reads from the two others and writes there. Then the
    delayed writes of the first holder arrive at these."""

    def run_scenario() -> list[bool]:
        replicas = {number: Replica(RecordLimits()) for number in range(3)}
        rounds = itertools.count(1)
        first, second = (
            Proposer(incarnation, 7, (0, 1, 2), RecordLimits(), incarnation, rounds.__next__) for incarnation in (1, 2)
        )

        def deliver(messages: list[Any], receivers: set[int]) -> list[Any]:
            delayed = []
            for message in messages:
                proposer = first if message.message.incarnation == 1 else second
                if message.to not in receivers:
                    delayed.append(message)
                elif isinstance(message.message, Accept):
                    reply = replicas[message.to].on_accept(0.0, message.message)
                    proposer.on_accept_reply(0.0, message.to, reply)
                else:
                    reply = replicas[message.to].on_prepare(0.0, message.message)
                    assert not proposer.on_prepare_reply(0.0, message.to, reply)
            return delayed

        deliver(first.tick(0.0), {0, 1, 2})
        first.write(0.0, 99, 1, 0.0)
        delayed = deliver(first.tick(0.0), {0})
        deliver(second.tick(0.0), {1, 2})
        assert second.is_ready
        assert second.get(99) is None
        second.write(0.0, 99, 2, 0.0)
        accept_requests = second.tick(0.0)
        deliver(delayed, {1, 2})
        deliver(accept_requests, {1, 2})
        return [proposer.records[99].is_decided for proposer in (first, second)]

    assert run_scenario() == [False, True]
    for inject_mistake in (accept_without_fencing, forget_promises):
        with monkeypatch.context() as patch:
            inject_mistake(patch)
            assert run_scenario() == [True, True], "both writes are decided with the mistake"
