"""What the HTTP door shows."""

from __future__ import annotations

import json

from ..admin.http_server import HttpResponse, error_response
from .components import Parts


class Pages(Parts):
    """Health, metrics, tables."""

    def healthz(self) -> HttpResponse:
        wrong = [f"store: {self.store_fault}"] if self.store_faults else []
        if not self.ready:
            wrong.append("starting")
        return error_response(503, "; ".join(wrong)) if wrong else HttpResponse(200, b"ok\n", "text/plain")

    def metrics_page(self) -> HttpResponse:
        if self.cluster:
            self.cluster.update_metrics()
        if self.feed:
            for end, count in {**self.feed.counts, **self.feed.worth.counts.by_name()}.items():
                if end not in ("senders", "waiting"):
                    self.metrics.load_reports.labels(end).set(count)
            self.metrics.load_report_senders.set(self.feed.counts.get("senders", 0))
        return HttpResponse(200, self.metrics.exposition(), "text/plain; version=0.0.4")

    def stewards_page(self) -> HttpResponse:
        """What this one believes of the fleet of stewards, and what it holds."""
        page = self.cluster.status() if self.cluster else {}
        return HttpResponse(200, json.dumps(page).encode() + b"\n")

    def tables_page(self) -> HttpResponse:
        state = self.engine.published
        page = {
            "life": self.engine.start_number,
            "seq": self.engine.publisher.message_number,
            "cordons": sorted(state.cordoned_hosts),
            "levels": [[t, bits, a, r] for (t, bits), (a, r) in state.admissions.items()],
            "tables": {str(t): {str(h): w for h, w in sorted(row.items())} for t, row in state.tables.items()},
        }
        return HttpResponse(200, json.dumps(page).encode() + b"\n")
