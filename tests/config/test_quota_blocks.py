"""Budgets in a configuration: the quotas that are passed to the core, and errors that name the key."""

from __future__ import annotations

from pathlib import Path

import pytest
from sockets import CONFIG

from corallanding.config import ConfigError, load_controller
from corallanding.controller.quota_service import configured_quotas

PEERS = 'peer_listen = "127.0.0.1:7000"\n  peers = { "1" = "127.0.0.1:7001", "2" = "127.0.0.1:7002" }\n  stewards = 3\n'
GOOD = 'budget "probes" {\n whole = 7\n per = "host"\n unit = "per_s"\n floor = 1\n}\n'


def write_config(tmp_path: Path, more: str, peers: str = PEERS) -> Path:
    """Write a configuration file with the blocks `more`, and with the keys `peers` in the block `steward`."""
    text = CONFIG % (tmp_path / "s.db") + more
    path = tmp_path / "steward.hcl"
    path.write_text(text.replace("steward {\n", "steward {\n  " + peers, 1))
    return path


def test_configured_quotas_when_read_then_they_have_capacities_hold_times_and_ids(tmp_path: Path) -> None:
    cold_slices = 'budget "cold_slices" {\n whole = 4\n per = "host"\n unit = "count"\n}\n'
    loaded = load_controller(write_config(tmp_path, GOOD + cold_slices))
    quotas = configured_quotas(loaded)
    probes = quotas["probes"]
    assert (probes.capacity, probes.floor, probes.max_controllers, probes.hold_ms) == (7, 1, 3, 1_000.0)
    assert quotas["cold_slices"].hold_ms == loaded.rules.cold_ms
    assert quotas["cold_slices"].shared_capacity == 4
    assert quotas["probes"].id != quotas["cold_slices"].id


@pytest.mark.parametrize(
    ("more", "peers", "expected"),
    [
        (GOOD.replace("probes", "prbes"), PEERS, "budget.prbes: no such budget; there are cold_slices, emptied, moves"),
        (GOOD.replace('"host"', '"fleet"'), PEERS, "budget.probes.per must be 'host'"),
        (GOOD.replace("per_s", "count"), PEERS, "budget.probes.unit must be 'per_s'"),
        (GOOD.replace("floor = 1", "floor = 3"), PEERS, "floor for each of 3 stewards is more than whole"),
        (GOOD.replace("whole = 7", "whole = -1"), PEERS, "budget.probes.whole"),
        (GOOD.replace("floor = 1", "flor = 1"), PEERS, "budget.probes.flor"),
        (GOOD, "stewards = 3\n", "needs steward.peer_listen and steward.peers"),
        (GOOD, PEERS.replace('"1" =', '"0" ='), "keys must be numbers of other stewards"),
        (GOOD, PEERS.replace('"2" =', '"9" ='), "all steward numbers must be below"),
        (GOOD + "budgets {\n voters = [0, 5]\n}\n", PEERS, "[5] are neither this steward nor peers"),
        (GOOD.replace("floor = 1", "span_ms = 5"), PEERS, "span_ms requires unit count"),
        (
            'budget "emptied" {\n whole = 2\n per = "fleet"\n unit = "count"\n}\n',
            PEERS,
            "span_ms must be set to the time",
        ),
    ],
)
def test_budget_when_wrong_then_the_error_names_file_and_key(
    tmp_path: Path, more: str, peers: str, expected: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        load_controller(write_config(tmp_path, more, peers))
    assert expected in str(caught.value)
    assert "steward.hcl" in str(caught.value)
