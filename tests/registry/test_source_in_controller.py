"""The registry as the source of a controller's host list, and its configuration."""

from __future__ import annotations

from pathlib import Path

import pytest
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.config import ConfigError, load_controller
from corallanding.lab.registry import Registry
from tests.registry.support import PREFIX, SourceOwner, host_value, run_scenario


def test_controller_when_hosts_change_in_the_registry_then_the_assigner_is_notified(tmp_path: Path) -> None:
    async def scenario(registry: Registry, owner: SourceOwner) -> None:
        for number in range(3):
            await registry.put(f"{PREFIX}{number}", host_value(number))
        block = f'registry {{\n  address = "127.0.0.1:{registry.port}"\n  wait_ms = 20\n}}\n'
        config = CONFIG.replace('roster {\n  address = "127.0.0.1:1"\n}\n', block)
        async with Running(tmp_path, config=config) as run:
            lists = [event for event in run.module.told if isinstance(event, api.HostListUpdate)]
            await until(
                lambda: any(
                    isinstance(event, api.HostListUpdate) and event.kind is api.HostListKind.FULL
                    for event in run.module.told
                )
            )
            await registry.put(f"{PREFIX}1", host_value(1, state="draining"))
            await until(
                lambda: (
                    run.module.told[-1] != lists[-1:]
                    and any(
                        isinstance(event, api.HostListUpdate)
                        and any(entry.host == 1 and entry.state == "draining" for entry in event.entries)
                        for event in run.module.told
                    )
                )
            )
            await registry.put(f"{PREFIX}1", None)
            await until(lambda: 1 not in run.steward.view.entries)

    run_scenario(scenario)


def test_configuration_when_a_registry_block_is_unusable_then_the_error_names_it(tmp_path: Path) -> None:
    path = tmp_path / "s.hcl"
    good = (CONFIG % "x.db").replace('roster {\n  address = "127.0.0.1:1"\n}\n', "")
    for block, message in (
        ("", "roster.address or a registry block must be set"),
        ('registry {\n  address = "1.2.3.4:2379"\n}\n', "registry.address: 1.2.3.4 is not a loopback address"),
        ('registry {\n  address = "127.0.0.1:1"\n  kind = "zk"\n}\n', "registry.kind: input should be 'etcd' or"),
        (
            'registry {\n  address = "127.0.0.1:1"\n  key_file = "k"\n}\n',
            "certificate_file and key_file must be set together",
        ),
    ):
        path.write_text(good + block)
        with pytest.raises(ConfigError, match=message.replace("(", "[(]")):
            load_controller(path)
