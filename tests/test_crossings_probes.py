"""Probes whose end comes in another way than by an answer, each forced."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from crossings import FOR_EVER, Side, Stand, clock, nobody, play, until
from crossings_life import text

from corallanding import interface as api
from corallanding.health_check.prober import Prober

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nbusy=0.5"


def prober(ends: list[api.HealthCheckResult], **more: Any) -> Prober:
    return Prober(ends.append, clock, "/load", load_in_body=True, **{"timeout": FOR_EVER, **more})


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
def test_a_probe_ends_once_whatever_comes_first(said: list[bytes], end: Any, wanted: api.HealthCheckOutcome) -> None:
    async def scene() -> None:
        ends: list[api.HealthCheckResult] = []
        async with Stand() as stand:
            probes = prober(ends)
            probes.ask(7, text(stand.where))
            side = await stand.next()
            assert await side.question() == "/load"
            for part in said:
                side.now(part)
            end(side)
            await until(lambda: ends and not probes.running)
            assert [(e.host, e.outcome) for e in ends] == [(7, wanted)]
            assert not ends[0].load or ends[0].load == {"busy": 0.5}

    play(scene)


def test_a_probe_that_fails_in_our_own_hands_is_told_and_its_host_can_be_probed_again() -> None:
    async def scene() -> None:
        ends: list[api.HealthCheckResult] = []
        faults: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))

        def where(address: str) -> tuple[str, int]:
            raise RuntimeError("a defect")

        probes = prober(ends, where=where)
        probes.ask(7, "here")
        await until(lambda: ends)
        assert ends == [api.HealthCheckResult(7, api.HealthCheckOutcome.OTHER)]
        assert len(faults) == 1
        assert not probes.running

    play(scene)


def test_a_host_whose_address_is_none_or_where_nobody_listens_cannot_be_reached() -> None:
    async def scene() -> None:
        ends: list[api.HealthCheckResult] = []
        probes, empty = prober(ends), await nobody()
        for host, address in enumerate(("", "here", text(empty), "127.0.0.1:99999")):
            probes.ask(host, address)
        await until(lambda: len(ends) == 4)
        assert {e.outcome for e in ends} == {api.HealthCheckOutcome.UNREACHABLE}

    play(scene)


def test_probes_that_are_out_when_the_steward_ends_tell_nobody() -> None:
    async def scene() -> None:
        ends: list[api.HealthCheckResult] = []
        async with Stand() as stand:
            probes = prober(ends, most_in_flight=1)
            probes.ask(1, text(stand.where))
            probes.ask(2, text(stand.where))
            side = await stand.next()
            probes.stop()
            await side.gone()
            await until(lambda: not probes.running)
            assert not ends
            assert len(stand.sides) == 1

    play(scene)
