"""Pages of the HTTP server: health, metrics, tables, and the other controllers."""

from __future__ import annotations

import json
from typing import Any

from ..admin.http_server import HttpResponse, Route, error_response
from ..assignment import Assigner
from ..assignment.warming_load import warming_loads
from .context import Context
from .engine import Engine
from .load_weights import LoadWeights
from .peer_services import PeerServices
from .persistence import TablePersistence


class StatusViews:
    """Renders the pages, with one method per page."""

    def __init__(
        self,
        context: Context,
        engine: Engine,
        persistence: TablePersistence,
        load_weights: LoadWeights,
        peers: PeerServices,
    ) -> None:
        self._context = context
        self._engine = engine
        self._persistence = persistence
        self._load_weights = load_weights
        self._peers = peers

    def routes(self) -> dict[str, Route]:
        """Return the handlers of the pages by path."""
        return {
            "/healthz": self.health,
            "/metrics": self.metrics,
            "/tables": self.tables,
            "/stewards": self.controllers,
        }

    def health(self) -> HttpResponse:
        """Return 200 if the controller is ready and its store writable; otherwise 503 with the reasons."""
        reasons = [f"store: {self._persistence.error_text}"] if self._persistence.error_count else []
        if not self._context.lifecycle.is_ready:
            reasons.append("starting")
        return error_response(503, "; ".join(reasons)) if reasons else HttpResponse(200, b"ok\n", "text/plain")

    def metrics(self) -> HttpResponse:
        """Return all metrics in the Prometheus text format."""
        if self._peers.cluster:
            self._peers.cluster.update_metrics()
        self._load_weights.publish_metrics()
        self._update_assignment_metrics()
        return HttpResponse(200, self._context.metrics.exposition(), "text/plain; version=0.0.4")

    def _update_assignment_metrics(self) -> None:
        assigner = self._engine.assigner
        if not isinstance(assigner, Assigner):
            return
        metrics = self._context.metrics
        loads = warming_loads(assigner.hosts.values(), assigner.slices.values())
        metrics.hosts_warming_up.set(len(loads))
        metrics.max_warming_utilization.set(max((load.utilization for load in loads), default=0.0))
        metrics.unreported_slices.set(sum(not slice_.rate_by_class for slice_ in assigner.slices.values()))

    def controllers(self) -> HttpResponse:
        """Return the states of the other controllers, and this controller's share of quotas and tasks."""
        return _json(self._peers.cluster.status() if self._peers.cluster else {})

    def tables(self) -> HttpResponse:
        """Return tables, admission levels and cordons as published."""
        state = self._engine.published
        return _json(
            {
                "life": self._engine.start_number,
                "seq": self._engine.publisher.message_number,
                "cordons": sorted(state.cordoned_hosts),
                "levels": [[table, bits, amount, retry] for (table, bits), (amount, retry) in state.admissions.items()],
                "tables": {
                    str(table): {str(host): weight for host, weight in sorted(row.items())}
                    for table, row in state.tables.items()
                },
            }
        )


def _json(page: dict[str, Any]) -> HttpResponse:
    return HttpResponse(200, json.dumps(page).encode() + b"\n")
