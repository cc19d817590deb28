"""Health checks that end in another way than by a complete answer, each forced."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from forced_order import FOR_EVER, Side, Stand, clock, nobody, play, until

from corallanding import interface as api
from corallanding.health_check.checker import HealthChecker
from tests.platform.support import text

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nbusy=0.5"


def health_checker(results: list[api.HealthCheckResult], **more: Any) -> HealthChecker:
    return HealthChecker(results.append, clock, "/load", load_in_body=True, **{"timeout_ms": FOR_EVER, **more})


@pytest.mark.parametrize(
    ("said", "end", "wanted"),
    [
        ([GOOD], Side.close, api.HealthCheckOutcome.OK),
        ([GOOD[:-9]], Side.close, api.HealthCheckOutcome.RESET),
        ([], Side.reset, api.HealthCheckOutcome.RESET),
        ([b"+OK\r\n"], Side.close, api.HealthCheckOutcome.OTHER),
        ([GOOD, GOOD], Side.reset, api.HealthCheckOutcome.OK),
        ([b"HTTP/1.1 503 No\r\n\r\n"], Side.close, api.HealthCheckOutcome.FULL),
        ([b"HTTP/1.1 200 OK\r\n\r\nbusy=0.5"], Side.close, api.HealthCheckOutcome.OK),
        ([b"HTTP/1.1 200 OK\r\n\r\nbusy=0.5"], Side.reset, api.HealthCheckOutcome.RESET),
        ([b"HTTP/1.1"], Side.close, api.HealthCheckOutcome.RESET),
    ],
)
def test_check_when_answer_and_end_come_in_any_order_then_it_has_one_result(
    said: list[bytes], end: Any, wanted: api.HealthCheckOutcome
) -> None:
    async def scene() -> None:
        results: list[api.HealthCheckResult] = []
        async with Stand() as stand:
            checker = health_checker(results)
            checker.check(7, text(stand.where))
            side = await stand.next()
            assert await side.question() == "/load"
            for part in said:
                side.now(part)
            end(side)
            await until(lambda: results and not checker.running)
            assert [(e.host, e.outcome) for e in results] == [(7, wanted)]
            assert not results[0].load or results[0].load == {"busy": 0.5}

    play(scene)


def test_check_when_it_raises_then_it_is_reported_and_its_host_can_be_checked_again() -> None:
    async def scene() -> None:
        results: list[api.HealthCheckResult] = []
        faults: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))

        def where(address: str) -> tuple[str, int]:
            raise RuntimeError("a defect")

        checker = health_checker(results, parse_address=where)
        checker.check(7, "here")
        await until(lambda: results)
        assert results == [api.HealthCheckResult(7, api.HealthCheckOutcome.OTHER)]
        assert len(faults) == 1
        assert not checker.running

    play(scene)


def test_check_when_the_address_is_invalid_or_nobody_listens_then_the_host_is_unreachable() -> None:
    async def scene() -> None:
        results: list[api.HealthCheckResult] = []
        checker = health_checker(results)
        empty = await nobody()
        for host, address in enumerate(("", "here", text(empty), "127.0.0.1:99999")):
            checker.check(host, address)
        await until(lambda: len(results) == 4)
        assert {e.outcome for e in results} == {api.HealthCheckOutcome.UNREACHABLE}

    play(scene)


def test_checks_when_stopped_then_none_is_reported() -> None:
    async def scene() -> None:
        results: list[api.HealthCheckResult] = []
        async with Stand() as stand:
            checker = health_checker(results, max_in_flight=1)
            checker.check(1, text(stand.where))
            checker.check(2, text(stand.where))
            side = await stand.next()
            checker.stop()
            await side.gone()
            await until(lambda: not checker.running)
            assert not results
            assert len(stand.sides) == 1

    play(scene)
