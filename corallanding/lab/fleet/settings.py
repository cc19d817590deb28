"""Settings of experiments: scenario files, controller configurations with their scenario, overrides of single keys."""

from __future__ import annotations

import json
import re
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from pydantic import BaseModel, ValidationError

from ...config import ConfigError, ControllerConfig, load_controller
from ...controller import recorder
from ..scenario import Scenario, load_scenario
from .emulate import NotEmulatedError, check_emulated
from .recorded import RecordedDay, UnusableRecordingError
from .runs import Setting, recorded_day

Model = TypeVar("Model", bound=BaseModel)


def is_controller_config(path: Path) -> bool:
    """Return whether a file is a controller's configuration. Raises `ConfigError` if it cannot be read."""
    try:
        return re.search(r"^\s*steward\s*\{", path.read_text(encoding="utf-8"), re.M) is not None
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: cannot be read: {error}") from None


def load_setting(path: Path, day: Path | None, module: Path | None = None) -> Setting:
    """Load a scenario, or a controller's configuration with the scenario `day`; `module` is a file or a checkout with
    another version of the assigner. Raises `ConfigError`.
    """
    if module and not module.is_file():
        checkout, module = module, module / "corallanding" / "assignment" / "__init__.py"
        if not module.is_file():
            raise ConfigError(f"{module.parent}: there is no module in the checkout {checkout}")
    module_path = str(module.resolve()) if module else ""
    if not is_controller_config(path):
        if day:
            raise ConfigError(f"{path}: is a scenario itself; --day is only for controller configurations")
        setting = Setting(path.stem, load_scenario(path), None, module_path)
    else:
        if day is None:
            raise ConfigError(f"{path}: a controller configuration needs a --day (its scenario)")
        config, scenario = load_controller(path), load_scenario(day)
        check_fits(path, config, scenario)
        setting = Setting(path.stem, scenario, config, module_path)
    try:
        check_emulated(setting.scenario)
    except NotEmulatedError as error:
        raise ConfigError(f"{day or path}: {error}") from None
    return setting


def check_fits(path: Path, config: ControllerConfig, scenario: Scenario) -> None:
    """Raise `ConfigError` if the controller's slices, request classes or proxies differ from the scenario's: its
    decisions in the emulation would then differ from those in operation.
    """
    if config.slices.count != scenario.fleet.slices:
        raise ConfigError(f"{path}: slices.count: {config.slices.count}; the scenario has {scenario.fleet.slices}")
    if list(config.operation) != list(scenario.operation):
        names = ", ".join(scenario.operation)
        raise ConfigError(f"{path}: operation: {', '.join(config.operation)}; the scenario has {names}")
    if config.forwarders.most < scenario.fleet.forwarders:
        raise ConfigError(
            f"{path}: forwarders.most: {config.forwarders.most}; the scenario has {scenario.fleet.forwarders}"
        )
    if config.registry:
        raise ConfigError(f"{path}: registry: hosts from a registry are not emulated")


def with_recording(setting: Setting, path: Path, trace: Path | None = None) -> tuple[Setting, RecordedDay]:
    """Return the setting with hosts, traffic and length of a recording in place of the scenario's.

    `trace` is a trace of the same time span, whose arrivals are used exactly. Raises `ConfigError`.
    """
    try:
        day = recorded_day(str(path), str(trace or ""), setting.scenario.roster.notice_ms)
    except UnusableRecordingError as error:
        raise ConfigError(f"{path}: {error}") from None
    except (recorder.RecordingError, OSError) as error:
        raise ConfigError(str(error)) from None
    except (EOFError, msgspec.DecodeError) as error:
        raise ConfigError(f"{trace}: not a trace: {error}") from None
    base = setting.scenario
    if day.slice_count != base.fleet.slices or day.request_class_count != len(base.operation):
        found = f"{day.slice_count} slices and {day.request_class_count} operations"
        expected = f"{base.fleet.slices} and {len(base.operation)}"
        raise ConfigError(f"{path}: recorded with {found}; {setting.label} has {expected}")
    fleet = base.fleet.model_copy(update={"hosts": len(day.initial_hosts), "forwarders": len(day.proxies)})
    per_s = max(1e-3, sum(w.count for w in day.windows) / day.length_ms * 1000.0)
    traffic = base.traffic.model_copy(update={"per_s": per_s})
    seconds = min(3600.0, day.length_ms / 1000.0)
    scenario = base.model_copy(update={"fleet": fleet, "traffic": traffic, "seconds": seconds, "fault": []})
    trace_path = str(trace.resolve()) if trace else ""
    return Setting(setting.label, scenario, setting.config, setting.module, str(path.resolve()), trace_path), day


def parse_value(text: str) -> Any:
    """Return the JSON value of a text, or the text itself if it is not JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def with_key(model: Model, key: str, text: str) -> Model:
    """Return the model with one key (a dotted path) set. Raises `ConfigError` with the key in its text."""
    raw: Any = model.model_dump()
    node, (*path, last) = raw, key.split(".")
    for name in path:
        if not isinstance(node, dict) or name not in node:
            raise ConfigError(f"{key}: there is no {name!r}")
        if node[name] is None:
            node[name] = {}
        node = node[name]
    if not isinstance(node, dict) or last not in node:
        raise ConfigError(f"{key}: there is no {last!r}")
    node[last] = parse_value(text)
    try:
        return type(model).model_validate(raw)
    except ValidationError as error:
        raise ConfigError(f"{key} = {text}: {error.errors()[0]['msg']}") from None


def with_override(setting: Setting, key: str, text: str, label: str = "") -> Setting:
    """Return the setting with one key changed: of the controller's configuration if it has one, else of the scenario.
    Raises `ConfigError`.
    """
    label = label or f"{setting.label} with {key} = {text}"
    if setting.config is not None:
        return replace(setting, label=label, config=with_key(setting.config, key, text))
    return replace(setting, label=label, scenario=with_key(setting.scenario, key, text))


def with_overrides(setting: Setting, pairs: list[str] | None) -> Setting:
    """Return the setting with each KEY=VALUE set. Raises `ConfigError`."""
    for pair in pairs or ():
        key, _, value = pair.partition("=")
        setting = with_override(setting, key.strip(), value.strip())
    return setting
