"""Logs (structlog) and metrics (prometheus-client) of a steward."""

from .logs import Gate, configure, log
from .metrics import Metrics

__all__ = ["Gate", "Metrics", "configure", "log"]
