"""Health checks that end without a complete answer, with every order of events forced by the test."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest
from forced_order import LONG_TIMEOUT_MS, PeerConnection, StandInServer, clock, run_async, until, unused_address

from corallanding import interface as api
from corallanding.health_check.checker import HealthChecker
from tests.platform.support import address_text

OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nbusy=0.5"


def health_checker(results: list[api.HealthCheckResult], **options: Any) -> HealthChecker:
    return HealthChecker(
        results.append, clock, "/load", load_in_body=True, **{"timeout_ms": LONG_TIMEOUT_MS, **options}
    )


@pytest.mark.parametrize(
    ("parts", "end", "expected"),
    [
        ([OK_ANSWER], PeerConnection.close, api.HealthCheckOutcome.OK),
        ([OK_ANSWER[:-9]], PeerConnection.close, api.HealthCheckOutcome.RESET),
        ([], PeerConnection.reset, api.HealthCheckOutcome.RESET),
        ([b"+OK\r\n"], PeerConnection.close, api.HealthCheckOutcome.OTHER),
        ([OK_ANSWER, OK_ANSWER], PeerConnection.reset, api.HealthCheckOutcome.OK),
        ([b"HTTP/1.1 503 No\r\n\r\n"], PeerConnection.close, api.HealthCheckOutcome.FULL),
        ([b"HTTP/1.1 200 OK\r\n\r\nbusy=0.5"], PeerConnection.close, api.HealthCheckOutcome.OK),
        ([b"HTTP/1.1 200 OK\r\n\r\nbusy=0.5"], PeerConnection.reset, api.HealthCheckOutcome.RESET),
        ([b"HTTP/1.1"], PeerConnection.close, api.HealthCheckOutcome.RESET),
    ],
)
def test_check_when_the_connection_ends_during_or_after_the_answer_then_it_has_one_result(
    parts: list[bytes], end: Any, expected: api.HealthCheckOutcome
) -> None:
    async def scenario() -> None:
        results: list[api.HealthCheckResult] = []
        async with StandInServer() as server:
            checker = health_checker(results)
            checker.check(7, address_text(server.address))
            peer = await server.next_connection()
            assert await peer.read_request_path() == "/load"
            for part in parts:
                peer.send_at_once(part)
            end(peer)
            await until(lambda: results and not checker.running)
            assert [(result.host, result.outcome) for result in results] == [(7, expected)]
            assert not results[0].load or results[0].load == {"busy": 0.5}

    run_async(scenario)


@pytest.mark.parametrize("number", [errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH])
@pytest.mark.parametrize(
    ("failures", "expected"), [(2, api.HealthCheckOutcome.OK), (1_000, api.HealthCheckOutcome.FULL)]
)
def test_check_when_this_machine_cannot_open_a_connection_then_it_says_nothing_of_the_host(
    monkeypatch: pytest.MonkeyPatch, number: int, failures: int, expected: api.HealthCheckOutcome
) -> None:
    """Guards against a host that is evacuated because the controller has no descriptor or no route for a moment."""

    async def scenario() -> None:
        results: list[api.HealthCheckResult] = []
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        left = [failures]

        async def failing(*arguments: Any) -> Any:
            if left[0]:
                left[0] -= 1
                raise OSError(number, "planted")
            return await create_connection(*arguments)

        monkeypatch.setattr(loop, "create_connection", failing)
        async with StandInServer() as server:
            checker = health_checker(results, timeout_ms=LONG_TIMEOUT_MS if failures == 2 else 200.0)
            checker.check(7, address_text(server.address))
            if failures == 2:
                peer = await server.next_connection()
                await peer.read_request_path()
                peer.send_at_once(OK_ANSWER)
            await until(lambda: results)
            assert [result.outcome for result in results] == [expected]

    run_async(scenario)


def test_check_when_it_raises_then_it_is_reported_and_its_host_can_be_checked_again() -> None:
    async def scenario() -> None:
        results: list[api.HealthCheckResult] = []
        errors: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))

        def parse_address(address: str) -> tuple[str, int]:
            raise RuntimeError("a defect")

        checker = health_checker(results, parse_address=parse_address)
        checker.check(7, "here")
        await until(lambda: results)
        assert results == [api.HealthCheckResult(7, api.HealthCheckOutcome.OTHER)]
        assert len(errors) == 1
        assert not checker.running

    run_async(scenario)


def test_check_when_the_address_is_invalid_or_nobody_listens_then_the_host_is_unreachable() -> None:
    async def scenario() -> None:
        results: list[api.HealthCheckResult] = []
        checker = health_checker(results)
        unused = await unused_address()
        for host, address in enumerate(("", "here", address_text(unused), "127.0.0.1:99999")):
            checker.check(host, address)
        await until(lambda: len(results) == 4)
        assert {result.outcome for result in results} == {api.HealthCheckOutcome.UNREACHABLE}

    run_async(scenario)


def test_checks_when_stopped_then_none_is_reported() -> None:
    async def scenario() -> None:
        results: list[api.HealthCheckResult] = []
        async with StandInServer() as server:
            checker = health_checker(results, max_in_flight=1)
            checker.check(1, address_text(server.address))
            checker.check(2, address_text(server.address))
            peer = await server.next_connection()
            checker.stop()
            await peer.wait_closed()
            await until(lambda: not checker.running)
            assert not results
            assert len(server.connections) == 1

    run_async(scenario)
