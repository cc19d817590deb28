"""Errors in configuration files."""

from __future__ import annotations

from ..errors import ConfigurationError


class ConfigError(ConfigurationError):
    """An invalid configuration file. The text has one line per fault: `FILE:LINE: KEY: what is expected`."""
