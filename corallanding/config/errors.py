"""The error of this package."""

from __future__ import annotations

from ..errors import ConfigurationError


class ConfigError(ConfigurationError):
    """`FILE:LINE: KEY: what is expected`, one line for each thing that is wrong."""
