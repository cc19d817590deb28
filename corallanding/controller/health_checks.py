"""Runs the health checks that the assigner requests."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from ..config import ControllerConfig
from ..health_check.checker import HealthChecker
from .context import Context
from .engine import Engine
from .peer_services import PeerServices


class HealthChecks:
    """Runs health checks and passes their results to the engine. request_step: requests a decision step."""

    def __init__(self, context: Context, engine: Engine, peers: PeerServices, request_step: Callable[[], None]) -> None:
        self._context = context
        self._engine = engine
        self._peers = peers
        self._request_step = request_step
        config = context.config.probe
        self._checker = HealthChecker(
            self._on_result,
            context.clock,
            config.path,
            config.timeout_ms,
            config.most_in_flight,
            config.most_waiting,
        )

    def check(self, host: int, address: str) -> None:
        """Check one host. address: "ip:port", or empty if the host list has none."""
        if not self._peers.may_check_health(host):
            # Other controllers already check this host. FULL tells the assigner neither that it is healthy nor failed.
            self._on_result(api.HealthCheckResult(host, api.HealthCheckOutcome.FULL))
        elif address:
            self._checker.check(host, address)
        else:
            self._on_result(api.HealthCheckResult(host, api.HealthCheckOutcome.UNREACHABLE))

    def reload(self, config: ControllerConfig) -> None:
        """Apply the limits of a new configuration."""
        self._checker.timeout_ms = config.probe.timeout_ms
        self._checker.max_in_flight = config.probe.most_in_flight
        self._checker.max_waiting = config.probe.most_waiting

    def stop(self) -> None:
        """Cancel the running checks."""
        self._checker.stop()

    def _on_result(self, result: api.HealthCheckResult) -> None:
        self._context.metrics.health_checks.labels(result.outcome.value).inc()
        self._engine.add_event(self._context.clock(), result)
        self._request_step()
