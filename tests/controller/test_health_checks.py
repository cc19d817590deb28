"""Every outcome of a health check."""

from __future__ import annotations

import asyncio
from pathlib import Path

from sockets import until

from corallanding import interface as api
from corallanding.controller.clock import Clock
from corallanding.health_check.checker import HealthChecker
from tests.controller.support import run_scenario


def test_health_check_when_hosts_answer_in_every_way_then_each_outcome_is_reported(tmp_path: Path) -> None:
    answers = {
        api.HealthCheckOutcome.OK: b"HTTP/1.1 200 OK\r\nX-Load: rif=3 q=1.5 x=?\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.FULL: b"HTTP/1.1 503 Draining\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.ERROR: b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.OTHER: b"SSH-2.0-something else\r\n",
        api.HealthCheckOutcome.RESET: b"",
        api.HealthCheckOutcome.TIMEOUT: None,
    }

    async def scenario() -> None:
        results: dict[int, api.HealthCheckResult] = {}
        checker = HealthChecker(
            lambda e: results.update({e.host: e}), Clock(), timeout_ms=2_000.0, max_in_flight=3, max_waiting=5
        )
        expected, servers = {}, []
        for number, (outcome, answer) in enumerate(answers.items()):

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: bytes | None = answer
            ) -> None:
                await reader.readline()
                if answer is not None:
                    writer.write(answer)
                    await writer.drain()
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            servers.append(server)
            expected[number] = outcome
            checker.check(number, f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        checker.check(90, "127.0.0.1:1")
        expected[90] = api.HealthCheckOutcome.UNREACHABLE
        await until(lambda: len(results) == len(expected) and not checker.running)
        assert {h: e.outcome for h, e in results.items()} == expected
        assert results[0].load == {"rif": 3.0, "q": 1.5}
        assert checker.max_in_flight_seen == 3
        for index in range(20):
            checker.check(100 + index, "127.0.0.1:1")
        assert sum(e.outcome is api.HealthCheckOutcome.OTHER for h, e in results.items() if h >= 100) == 12, (
            "over the limits of running and waiting checks"
        )
        await until(lambda: len(results) == len(expected) + 20)

    run_scenario(scenario())
