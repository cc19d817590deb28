"""What an experiment is about: scenario files, stewards' configurations on a day, single keys set otherwise."""

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
from .emulate import NotEmulated, refuse
from .recorded import Day, NoDay
from .runs import Setting, recorded_day

Model = TypeVar("Model", bound=BaseModel)


def is_steward(path: Path) -> bool:
    try:
        return re.search(r"^\s*steward\s*\{", path.read_text(encoding="utf-8"), re.M) is not None
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigError(f"{path}: cannot be read: {fault}") from None


def setting(path: Path, day: Path | None, module: Path | None = None) -> Setting:
    """A scenario, or a steward's configuration with the day that it is to meet. Raises `ConfigError`."""
    if module and not module.is_file():
        checkout, module = module, module / "corallanding" / "assignment" / "__init__.py"
        if not module.is_file():
            raise ConfigError(f"{module.parent}: there is no module in the checkout {checkout}")
    where = str(module.resolve()) if module else ""
    if not is_steward(path):
        if day:
            raise ConfigError(f"{path}: is a scenario itself; --day goes with stewards' configurations")
        found = Setting(path.stem, load_scenario(path), None, where)
    else:
        if day is None:
            raise ConfigError(f"{path}: a steward's configuration needs a --day to meet")
        config, scenario = load_controller(path), load_scenario(day)
        fits(path, config, scenario)
        found = Setting(path.stem, scenario, config, where)
    try:
        refuse(found.scenario)
    except NotEmulated as fault:
        raise ConfigError(f"{day or path}: {fault}") from None
    return found


def fits(path: Path, c: ControllerConfig, s: Scenario) -> None:
    """A steward that other slices or operations are told of than it has would decide something else than it does."""
    if c.slices.count != s.fleet.slices:
        raise ConfigError(f"{path}: slices.count: {c.slices.count}; the day has {s.fleet.slices}")
    if list(c.operation) != list(s.operation):
        raise ConfigError(f"{path}: operation: {', '.join(c.operation)}; the day has {', '.join(s.operation)}")
    if c.forwarders.most < s.fleet.forwarders:
        raise ConfigError(f"{path}: forwarders.most: {c.forwarders.most}; the day has {s.fleet.forwarders}")
    if c.registry:
        raise ConfigError(f"{path}: registry: hosts from a registry are not emulated")


def on_recording(s: Setting, path: Path, exact: Path | None = None) -> tuple[Setting, Day]:
    """The setting on a recorded day: what the recording tells takes the scenario's place. exact: a trace of the same
    day, for its arrivals. Raises `ConfigError`."""
    try:
        day = recorded_day(str(path), str(exact or ""), s.scenario.roster.notice_ms)
    except NoDay as fault:
        raise ConfigError(f"{path}: {fault}") from None
    except (recorder.RecordingError, OSError) as fault:
        raise ConfigError(str(fault)) from None
    except (EOFError, msgspec.DecodeError) as fault:
        raise ConfigError(f"{exact}: no trace: {fault}") from None
    c = s.scenario
    if day.slices != c.fleet.slices or day.operations != len(c.operation):
        has = f"{day.slices} slices and {day.operations} operations"
        raise ConfigError(f"{path}: recorded with {has}; {s.label} has {c.fleet.slices} and {len(c.operation)}")
    fleet = c.fleet.model_copy(update={"hosts": len(day.first), "forwarders": len(day.forwarders)})
    traffic = c.traffic.model_copy(update={"per_s": max(1e-3, sum(w.count for w in day.windows) / day.length * 1000.0)})
    seconds = min(3600.0, day.length / 1000.0)
    scenario = c.model_copy(update={"fleet": fleet, "traffic": traffic, "seconds": seconds, "fault": []})
    where = str(exact.resolve()) if exact else ""
    return Setting(s.label, scenario, s.config, s.module, str(path.resolve()), where), day


def value_of(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def put(model: Model, key: str, text: str) -> Model:
    """With one key set. Raises `ConfigError`, which names it."""
    raw: Any = model.model_dump()
    at, (*path, last) = raw, key.split(".")
    for name in path:
        if not isinstance(at, dict) or name not in at:
            raise ConfigError(f"{key}: there is no {name!r}")
        if at[name] is None:
            at[name] = {}
        at = at[name]
    if not isinstance(at, dict) or last not in at:
        raise ConfigError(f"{key}: there is no {last!r}")
    at[last] = value_of(text)
    try:
        return type(model).model_validate(raw)
    except ValidationError as fault:
        raise ConfigError(f"{key} = {text}: {fault.errors()[0]['msg']}") from None


def changed(s: Setting, key: str, text: str, label: str = "") -> Setting:
    """The same with one key of the steward's configuration, if it has one, or of the scenario set otherwise."""
    label = label or f"{s.label} with {key} = {text}"
    if s.config is not None:
        return replace(s, label=label, config=put(s.config, key, text))
    return replace(s, label=label, scenario=put(s.scenario, key, text))


def with_pairs(s: Setting, pairs: list[str] | None) -> Setting:
    """The same with each KEY=VALUE set."""
    for pair in pairs or ():
        key, _, value = pair.partition("=")
        s = changed(s, key.strip(), value.strip())
    return s
