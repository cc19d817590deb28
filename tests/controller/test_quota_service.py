"""The quota service of a controller on real sockets: grants, resizing by a reload, dropped datagrams."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import msgspec
from sockets import CONFIG, Running, until

from corallanding import interface as api


def test_quota_when_alone_then_it_is_granted_resized_by_reload_and_unknown_senders_are_dropped(tmp_path: Path) -> None:
    """A single controller elects itself. Health checks beyond the quota of a host end as FULL and use no quota."""
    blocks = 'budget "probes" {\n whole = 1\n per = "host"\n unit = "per_s"\n floor = 1\n}\n'
    blocks += f'budgets {{\n office_ms = 100\n lease_ms = 100\n witness = "{tmp_path}/uses"\n}}\n'
    steward_block = 'steward {\n  peer_listen = "127.0.0.1:0"'

    async def scenario() -> None:
        async with Running(tmp_path, blocks, config=CONFIG.replace("steward {", steward_block)) as running:
            controller = running.steward
            cluster = controller.peers.cluster
            transport = controller.peers.transport
            assert cluster
            assert cluster.quota
            assert transport
            quota = cluster.quota
            running.apply_actions(api.CheckHealth(7), api.CheckHealth(7))
            await until(lambda: sum(isinstance(event, api.HealthCheckResult) for event in running.module.told) == 2)
            outcomes = [event.outcome for event in running.module.told if isinstance(event, api.HealthCheckResult)]
            assert outcomes == [api.HealthCheckOutcome.FULL] * 2, (
                "the floor is not available at first, because an earlier process may have used it"
            )
            await until(lambda: quota.may_begin("probes", 7, True))
            assert not quota.may_begin("probes", 7, True)
            assert quota.may_begin("probes", 8, True)
            assert quota.may_begin("moves", 0, True)
            running.path.write_text(running.path.read_text().replace("whole = 1", "whole = 3"))
            controller.reload()
            account = quota.core.client.account(controller.clock(), quota.core.budgets["probes"], 9)
            assert account
            await until(lambda: quota.may_begin("probes", 9, True) and account.uses.count(controller.clock()) == 3)
            assert not quota.may_begin("probes", 9, True)
            before = controller.metrics.dropped_peer_datagrams._value.get()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown:
                for data in (b"", b"\x92\x01\xc4\x01\xc1", msgspec.msgpack.encode([0, b"\xc1\x95"])):
                    unknown.sendto(data, transport.socket.getsockname())
                await until(lambda: controller.metrics.dropped_peer_datagrams._value.get() == before + 3)
            _, page = await running.send_http_request("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b'corallanding_budget_in_use{budget="probes"}' in page
            assert b"corallanding_budget_divider 0.0" in page
        assert len((tmp_path / "uses").read_text().splitlines()) >= 5

    asyncio.run(scenario())
