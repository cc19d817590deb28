"""The close codes of proxy connections, which are sent to proxies and are labels of a metric."""

from __future__ import annotations

import pytest
from prometheus_client import CollectorRegistry, Counter, generate_latest

from corallanding.controller.close_codes import CloseCode
from corallanding.wire import frames
from corallanding.wire.errors import (
    LinkError,
    MalformedFrameError,
    OversizedFrameError,
    UnexpectedFrameError,
    UnsupportedVersionError,
)
from corallanding.wire.link_state import LinkLimits, LinkState


def test_close_codes_when_read_then_their_values_are_those_on_the_wire() -> None:
    assert {code.value for code in CloseCode} == {
        "protocol",
        "malformed",
        "oversized",
        "out-of-place",
        "unknown-version",
        "full",
        "number-in-use",
        "superseded",
        "no-hello",
        "no-acks",
        "overrun",
        "not-reading",
        "silent",
        "bye",
        "stopping",
        "closed",
        "broken",
    }


def test_link_errors_when_listed_then_each_has_a_close_code() -> None:
    errors = [LinkError, *LinkError.__subclasses__()]
    assert {MalformedFrameError, OversizedFrameError, UnexpectedFrameError, UnsupportedVersionError} < set(errors)
    assert {error.code for error in errors} <= set(CloseCode)
    assert not [error for error in LinkError.__subclasses__() if error.__subclasses__()]


def test_overdue_link_when_closed_then_each_reason_has_a_close_code() -> None:
    limits = LinkLimits()
    reasons = [LinkState(limits, 0.0).close_reason(limits.hello_timeout_ms + 1.0)]
    link = LinkState(limits, 0.0)
    link.hello = frames.Hello(1, 1, "x")
    reasons.append(link.close_reason(limits.silence_timeout_ms + 1.0))
    assert link.add_unacked(0.0, 1)
    reasons.append(link.close_reason(limits.ack_timeout_ms + 1.0))
    assert [CloseCode(reason.replace(" ", "-")) for reason in reasons] == [
        CloseCode.NO_HELLO,
        CloseCode.SILENT,
        CloseCode.NO_ACKS,
    ]


@pytest.mark.parametrize("code", list(CloseCode))
def test_close_code_when_sent_and_counted_then_its_value_is_used(code: CloseCode) -> None:
    assert frames.encode(frames.Goodbye(code, "why")) == frames.encode(frames.Goodbye(code.value, "why"))
    registry = CollectorRegistry()
    Counter("closed", "Closed", ["reason"], registry=registry).labels(code).inc()
    assert f'closed_total{{reason="{code.value}"}} 1.0'.encode() in generate_latest(registry)
