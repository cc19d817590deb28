"""What the HTTP door shows."""

from __future__ import annotations

import json

from ..admin.http_server import Answer, problem
from .components import Parts


class Pages(Parts):
    """Health, metrics, tables."""

    def healthz(self) -> Answer:
        wrong = [f"store: {self.store_fault}"] if self.store_faults else []
        if not self.ready:
            wrong.append("starting")
        return problem(503, "; ".join(wrong)) if wrong else Answer(200, b"ok\n", "text/plain")

    def metrics_page(self) -> Answer:
        if self.shared:
            self.shared.figures()
        if self.feed:
            for end, count in {**self.feed.counts, **self.feed.worth.counts.by_name()}.items():
                if end not in ("senders", "waiting"):
                    self.metrics.reports.labels(end).set(count)
            self.metrics.report_senders.set(self.feed.counts.get("senders", 0))
        return Answer(200, self.metrics.text(), "text/plain; version=0.0.4")

    def stewards_page(self) -> Answer:
        """What this one believes of the fleet of stewards, and what it holds."""
        page = self.shared.page() if self.shared else {}
        return Answer(200, json.dumps(page).encode() + b"\n")

    def tables_page(self) -> Answer:
        state = self.engine.state
        page = {
            "life": self.engine.life.number,
            "seq": self.engine.seq,
            "cordons": sorted(state.cordons),
            "levels": [[t, bits, a, r] for (t, bits), (a, r) in state.levels.items()],
            "tables": {str(t): {str(h): w for h, w in sorted(row.items())} for t, row in state.tables.items()},
        }
        return Answer(200, json.dumps(page).encode() + b"\n")
