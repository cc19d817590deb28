"""Every way in which a health check can end."""

from __future__ import annotations

import asyncio
from pathlib import Path

from sockets import until

from corallanding import interface as api
from corallanding.controller.clock import Clock
from corallanding.health_check.checker import HealthChecker
from tests.controller.support import play


def test_health_check_when_hosts_answer_in_every_way_then_each_outcome_is_told(tmp_path: Path) -> None:
    answers = {
        api.HealthCheckOutcome.OK: b"HTTP/1.1 200 OK\r\nX-Load: rif=3 q=1.5 x=?\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.FULL: b"HTTP/1.1 503 Draining\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.ERROR: b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.OTHER: b"SSH-2.0-something else\r\n",
        api.HealthCheckOutcome.RESET: b"",
        api.HealthCheckOutcome.TIMEOUT: None,
    }

    async def scene() -> None:
        ends: dict[int, api.HealthCheckResult] = {}
        prober = HealthChecker(
            lambda e: ends.update({e.host: e}), Clock(), timeout_ms=2_000.0, max_in_flight=3, max_waiting=5
        )
        wanted, servers = {}, []
        for number, (end, answer) in enumerate(answers.items()):

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
            wanted[number] = end
            prober.check(number, f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        prober.check(90, "127.0.0.1:1")
        wanted[90] = api.HealthCheckOutcome.UNREACHABLE
        await until(lambda: len(ends) == len(wanted) and not prober.running)
        assert {h: e.outcome for h, e in ends.items()} == wanted
        assert ends[0].load == {"rif": 3.0, "q": 1.5}
        assert prober.most_in_flight_seen == 3
        for k in range(20):
            prober.check(100 + k, "127.0.0.1:1")
        assert sum(e.outcome is api.HealthCheckOutcome.OTHER for h, e in ends.items() if h >= 100) == 12, (
            "beyond the bound"
        )
        await until(lambda: len(ends) == len(wanted) + 20)

    play(scene())
