"""Two holders of one record group: the earlier one is refused."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from corallanding.quorum_records.limits import RecordLimits
from corallanding.quorum_records.messages import Accept
from corallanding.quorum_records.proposer import Proposer
from corallanding.quorum_records.replica import Replica
from tests.version_pinning.support import accept_without_fencing, forget_promises


def test_former_holder_when_a_later_one_has_read_then_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first of two holders has written to one replica; the second reads from the two others, and writes; then the
    messages of the first arrive there."""

    def scene() -> list[bool]:
        replicas = {number: Replica(RecordLimits()) for number in range(3)}
        rounds = itertools.count(1)
        first, second = (Proposer(life, 7, (0, 1, 2), RecordLimits(), life, rounds.__next__) for life in (1, 2))

        def deliver(messages: list[Any], receivers: set[int]) -> list[Any]:
            late = []
            for message in messages:
                proposer = first if message.message.incarnation == 1 else second
                if message.to not in receivers:
                    late.append(message)
                elif isinstance(message.message, Accept):
                    reply = replicas[message.to].on_accept(0.0, message.message)
                    proposer.on_accept_reply(0.0, message.to, reply)
                else:
                    reply = replicas[message.to].on_prepare(0.0, message.message)
                    assert not proposer.on_prepare_reply(0.0, message.to, reply)
            return late

        deliver(first.tick(0.0), {0, 1, 2})
        first.write(0.0, 99, 1, 0.0)
        late = deliver(first.tick(0.0), {0})
        deliver(second.tick(0.0), {1, 2})
        assert second.is_ready
        assert second.get(99) is None
        second.write(0.0, 99, 2, 0.0)
        copies = second.tick(0.0)
        deliver(late, {1, 2})
        deliver(copies, {1, 2})
        return [world.records[99].is_decided for world in (first, second)]

    assert scene() == [False, True]
    for plant in (accept_without_fencing, forget_promises):
        with monkeypatch.context() as patch:
            plant(patch)
            assert scene() == [True, True], "both told: the mistake shows"
