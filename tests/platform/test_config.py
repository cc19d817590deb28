"""The platform's configuration file."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from platform_samples import CONFIG_FILE, CONFIG_SETTINGS

from corallanding.platform.config import InvalidConfigError, parse, read
from corallanding.platform.settings_pairs import flatten
from corallanding.simulator_adapter.settings import read_settings

SIMULATOR_SETTINGS = (
    "zones=a,north_b kinds=m2 zone=1 balancers=2 discovery=pushed period=2000 classes.count=2 classes.0.name=lookup "
    "classes.0.idempotency=repeatable classes.0.aim=1200000 classes.0.giveUp=3000000 classes.0.worth=3.0 "
    "classes.1.name=claim classes.1.idempotency=once classes.1.aim=1500000 classes.1.giveUp=5000000 "
    "familyInfo.keyRanges=127 familyInfo.proxies=150 familyInfo.writeClasses=false,true familyInfo.soleOwner=false "
    "familyInfo.reportEvery=500000 familyInfo.channelRate=11500.0 limits.mayProbe=true limits.dialTimeout=300000 "
    "rules.drainGrace=3000000 loadReport.fields="
)


def test_settings_when_in_json_or_in_the_simulators_protocol_then_they_are_the_same() -> None:
    pairs = dict(pair.split("=", 1) for pair in SIMULATOR_SETTINGS.split(" "))
    assert flatten(CONFIG_SETTINGS) == pairs
    settings = parse(msgspec.json.encode(CONFIG_FILE)).settings
    assert settings == read_settings(pairs)
    assert settings.request_classes[1].is_write
    assert settings.slice_count == 127


def test_configuration_when_valid_then_every_field_is_read() -> None:
    config = parse(msgspec.json.encode(CONFIG_FILE))
    assert (config.listen, config.relay, config.seed) == (("127.0.0.4", 8081), ("127.2.0.2", 6400), 0x8C1F30D27A5BE964)
    assert config.names.zones == {"a": 0, "north b": 1}
    assert config.names.request_classes == {"lookup": 0, "claim": 1}
    assert config.max_sockets == 256
    assert config.connect_timeout_ms == 300.0
    assert config.saved_list.version == 41


@pytest.mark.parametrize(
    ("change", "expected_error"),
    [
        ({"listen": None}, "listen: missing"),
        ({"listen": "here:80"}, "listen: "),
        ({"store": {}}, "store.address: missing"),
        ({"discovery": "127.0.0.1:0"}, "discovery: "),
        ({"settings": {}}, "settings: classes.count is missing"),
        ({"settings": {**CONFIG_SETTINGS, "period": "soon"}}, "settings: period="),
        ({"seed": "wet"}, "seed"),
        (
            {"settings": {**CONFIG_SETTINGS, "classes": [{**CONFIG_SETTINGS["classes"][0], "aim": 0}]}},
            "settings: classes.0.aim='0' is",
        ),
        (
            {"settings": {**CONFIG_SETTINGS, "familyInfo": {"channelRate": 0}}},
            "settings: familyInfo.channelRate='0' is not",
        ),
        ({"settings": {**CONFIG_SETTINGS, "familyInfo": {"lease": -1}}}, "settings: familyInfo.lease='-1' is below 0"),
        ({"settings": {**CONFIG_SETTINGS, "limits": {"dialTimeout": 0}}}, "settings: limits.dialTimeout='0' is not"),
        ({"known": {"seq": "x"}}, "known"),
        ({"settings": {**CONFIG_SETTINGS, "zones": "a"}}, "settings.zones: "),
    ],
)
def test_configuration_when_invalid_then_the_error_names_the_key(change: dict[str, Any], expected_error: str) -> None:
    with pytest.raises(
        InvalidConfigError,
        match="^" + expected_error.replace(".", r"\.") if expected_error not in ("seed", "known") else expected_error,
    ):
        parse(msgspec.json.encode({**CONFIG_FILE, **change}))


def test_configuration_when_missing_or_truncated_then_the_error_names_the_file(tmp_path: Any) -> None:
    with pytest.raises(InvalidConfigError, match=r"nowhere\.json: No such file"):
        read(str(tmp_path / "nowhere.json"))
    truncated = tmp_path / "half.json"
    truncated.write_bytes(msgspec.json.encode(CONFIG_FILE)[:200])
    with pytest.raises(InvalidConfigError, match=r"half\.json: invalid JSON"):
        read(str(truncated))
