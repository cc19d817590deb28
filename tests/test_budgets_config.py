"""Budgets in a configuration: what is refused by name, what a reload takes, and that all is off without them."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import msgspec
import pytest
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.config import ConfigError, load_controller
from corallanding.controller.quota_service import configured_quotas

PEERS = 'peer_listen = "127.0.0.1:7000"\n  peers = { "1" = "127.0.0.1:7001", "2" = "127.0.0.1:7002" }\n  stewards = 3\n'
GOOD = 'budget "probes" {\n whole = 7\n per = "host"\n unit = "per_s"\n floor = 1\n}\n'


def config(tmp_path: Path, more: str, peers: str = PEERS) -> Path:
    text = CONFIG % (tmp_path / "s.db") + more
    path = tmp_path / "steward.hcl"
    path.write_text(text.replace("steward {\n", "steward {\n  " + peers, 1))
    return path


def test_a_budget_becomes_what_the_core_knows(tmp_path: Path) -> None:
    c = load_controller(
        config(tmp_path, GOOD + 'budget "cold_slices" {\n whole = 4\n per = "host"\n unit = "count"\n}\n')
    )
    b = configured_quotas(c)
    assert (b["probes"].whole, b["probes"].floor, b["probes"].most, b["probes"].span) == (7, 1, 3, 1_000.0)
    assert b["cold_slices"].span == c.rules.cold_ms
    assert b["cold_slices"].pool == 4
    assert b["probes"].id != b["cold_slices"].id


@pytest.mark.parametrize(
    ("more", "peers", "named"),
    [
        (GOOD.replace("probes", "prbes"), PEERS, "budget.prbes: no such budget; there are cold_slices, emptied, moves"),
        (GOOD.replace('"host"', '"fleet"'), PEERS, "budget.probes.per must be 'host'"),
        (GOOD.replace("per_s", "count"), PEERS, "budget.probes.unit must be 'per_s'"),
        (GOOD.replace("floor = 1", "floor = 3"), PEERS, "floor for each of 3 stewards is more than whole"),
        (GOOD.replace("whole = 7", "whole = -1"), PEERS, "budget.probes.whole"),
        (GOOD.replace("floor = 1", "flor = 1"), PEERS, "budget.probes.flor"),
        (GOOD, "stewards = 3\n", "needs steward.peer_listen and steward.peers"),
        (GOOD, PEERS.replace('"1" =', '"0" ='), "keys must be numbers of other stewards"),
        (GOOD, PEERS.replace('"2" =', '"9" ='), "all numbers must be below"),
        (GOOD + "budgets {\n voters = [0, 5]\n}\n", PEERS, "[5] are neither this steward nor peers"),
        (GOOD.replace("floor = 1", "span_ms = 5"), PEERS, "span_ms is for a count"),
        ('budget "emptied" {\n whole = 2\n per = "fleet"\n unit = "count"\n}\n', PEERS, "span_ms must say"),
    ],
)
def test_what_is_wrong_is_named(tmp_path: Path, more: str, peers: str, named: str) -> None:
    with pytest.raises(ConfigError) as fault:
        load_controller(config(tmp_path, more, peers))
    assert named in str(fault.value)
    assert "steward.hcl" in str(fault.value)


def test_a_lone_steward_has_its_whole_a_reload_changes_it_and_strangers_are_refused(tmp_path: Path) -> None:
    """One steward of one: it elects itself. Probes at one host end as FULL beyond the whole, and cost nothing else."""
    alone = 'budget "probes" {\n whole = 1\n per = "host"\n unit = "per_s"\n floor = 1\n}\n'
    alone += f'budgets {{\n office_ms = 100\n lease_ms = 100\n witness = "{tmp_path}/uses"\n}}\n'
    peers = 'steward {\n  peer_listen = "127.0.0.1:0"'

    async def scene() -> None:
        async with Running(tmp_path, alone, config=CONFIG.replace("steward {", peers)) as r:
            s = r.steward
            assert s.cluster
            assert s.cluster.quota
            assert s.peers
            room, q = s.cluster.quota, s.cluster.quota.core
            r.do(api.CheckHealth(7), api.CheckHealth(7))
            await until(lambda: sum(isinstance(e, api.HealthCheckResult) for e in r.module.told) == 2)
            ends = [e.outcome for e in r.module.told if isinstance(e, api.HealthCheckResult)]
            assert ends == [api.HealthCheckOutcome.FULL] * 2, "the floor is waited for: a former life may have used it"
            await until(lambda: room.may_begin("probes", 7, True))
            assert not room.may_begin("probes", 7, True)
            assert room.may_begin("probes", 8, True)
            assert room.may_begin("moves", 0, True)
            r.path.write_text(r.path.read_text().replace("whole = 1", "whole = 3"))
            s.reload()
            account = q.holder.account(s.clock(), q.budgets["probes"], 9)
            assert account
            await until(lambda: room.may_begin("probes", 9, True) and account.count(s.clock(), account.uses) == 3)
            assert not room.may_begin("probes", 9, True)
            before = s.metrics.dropped_peer_datagrams._value.get()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                for said in (b"", b"\x92\x01\xc4\x01\xc1", msgspec.msgpack.encode([0, b"\xc1\x95"])):
                    stranger.sendto(said, s.peers.socket.getsockname())
                await until(lambda: s.metrics.dropped_peer_datagrams._value.get() == before + 3)
            _, page = await r.get("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b'corallanding_budget_in_use{budget="probes"}' in page
            assert b"corallanding_budget_divider 0.0" in page
        assert len((tmp_path / "uses").read_text().splitlines()) >= 5

    asyncio.run(scene())
