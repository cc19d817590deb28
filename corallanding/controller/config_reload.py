"""Reloads the configuration while the controller runs."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from ..config import ConfigError, ControllerConfig, load_controller
from ..telemetry import configure, log
from .context import Context

# Prefixes of keys that a reload can change; changes of all others are logged and need a restart.
RELOADABLE = (
    "log.",
    "door.connections_most",
    "door.header_most_bytes",
    "door.request_within_ms",
    "probe.timeout_ms",
    "probe.most_in_flight",
    "probe.most_waiting",
    "forwarders.frame_most_bytes",
    "forwarders.hello_within_ms",
    "forwarders.frames_per_s",
    "forwarders.buffer_most_bytes",
    "forwarders.bytes_per_s",
    "forwarders.ack_within_ms",
    "forwarders.reads_per_s",
    "forwarders.accepts_per_s",
    "forwarders.strangers_most",
    "store.retry",
)


class Reloadable(Protocol):
    """A component that applies the limits of a new configuration."""

    def reload(self, config: ControllerConfig) -> None:
        """Apply the new configuration."""
        ...


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Return a nested map as a flat map with dotted keys."""
    if not isinstance(value, dict):
        return {path: value}
    flat: dict[str, Any] = {}
    for key, inner in value.items():
        flat.update(flatten(inner, f"{path}.{key}" if path else str(key)))
    return flat


def may_reload(key: str) -> bool:
    """Return whether a key can change while the controller runs.

    Of a quota only the size may change: its other settings must be equal at all controllers at all times.
    """
    is_quota_size = key.startswith("budget.") and key.endswith(".whole")
    return key.startswith(RELOADABLE) or key == "pins.current" or is_quota_size


def set_key(tree: dict[str, Any], key: str, value: Any) -> None:
    """Set the value of an existing dotted key in a nested map."""
    *path, last = key.split(".")
    for part in path:
        tree = tree[part]
    tree[last] = value


class ConfigReloader:
    """Reloads the configuration file and notifies the components. path: of the file; None if there is none."""

    def __init__(self, context: Context, path: str | None, components: Sequence[Reloadable]) -> None:
        self._context = context
        self._path = path
        self._components = components

    def reload(self) -> None:
        """Apply the reloadable changes, and log those that need a restart. A file with an error changes nothing."""
        if not self._path:
            return
        try:
            new = load_controller(self._path)
        except ConfigError as error:
            log.error("reload rejected; the old configuration stays in effect", why=str(error))
            return
        changed, applied = self._merge(new)
        configure(self._context.config.log.format, self._context.config.log.level)
        for component in self._components:
            component.reload(self._context.config)
        log.info("reloaded", taken=applied, needs_restart=[key for key in changed if key not in applied])

    def _merge(self, new: ControllerConfig) -> tuple[list[str], list[str]]:
        """Merge reloadable keys into the context's configuration; return the changed keys and the applied ones."""
        merged = self._context.config.model_dump()
        old_keys = flatten(merged)
        new_keys = flatten(new.model_dump())
        changed = [key for key in sorted(old_keys | new_keys) if old_keys.get(key) != new_keys.get(key)]
        # Adding or removing a block needs a restart, even if its keys are reloadable.
        applied = [key for key in changed if may_reload(key) and key in old_keys and key in new_keys]
        for key in applied:
            set_key(merged, key, new_keys[key])
        self._context.config = ControllerConfig.model_validate(merged)
        return changed, applied
