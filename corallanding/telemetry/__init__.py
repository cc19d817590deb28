"""Logs (structlog) and metrics (prometheus-client) of a controller."""

from .logs import RateLimitedLogger, configure, log
from .metrics import Metrics

__all__ = ["Metrics", "RateLimitedLogger", "configure", "log"]
