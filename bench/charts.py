"""Charts of what bench.turn and bench.fanout kept: docs/img/turn.png and docs/img/fanout.png."""

from __future__ import annotations

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from .run import RESULTS

IMG = Path(__file__).parent.parent / "docs" / "img"


def turn() -> None:
    found = json.loads((RESULTS / "turn.json").read_text())
    fig, axes = plt.subplots(1, 2, figsize=(9, 3.6), sharey=True)
    for ax, key, title in ((axes[0], "turn_p50_ms", "a turn"), (axes[1], "drain_p50_ms", "a drain's step")):
        for side, style in (("before", "s--"), ("now", "o-")):
            rows = found[side]
            ax.loglog([r["hosts"] for r in rows], [r[key] for r in rows], style, label=side)
        ax.set(title=f"{title}, p50", xlabel="hosts (six slices each)")
        ax.grid(True, which="both", alpha=0.3)
        ax.legend()
    axes[0].set_ylabel("ms on one core")
    fig.tight_layout()
    fig.savefig(IMG / "turn.png", dpi=90)


def fanout() -> None:
    found = json.loads((RESULTS / "fanout.json").read_text())
    rows = [found[k] for k in ("24", "78", "300", "1000") if k in found]
    at = [r["calm"]["forwarders"] for r in rows]
    fig, ax = plt.subplots(figsize=(6, 3.6))
    ax.loglog(at, [r["calm"]["physical_ms"] for r in rows], "k:", label="line pace, to the last")
    for kind, style in (("calm", "o-"), ("hostile", "s--")):
        for q in ("p50", "p99"):
            ax.loglog(
                at,
                [r[kind]["drain_ms"][q] for r in rows],
                style,
                label=f"{kind}, {q}",
                alpha=1.0 if q == "p99" else 0.5,
            )
    ax.set(xlabel="forwarders", ylabel="ms", title="a drain's way to a forwarder; hostile: one more link for every ten")
    ax.grid(True, which="both", alpha=0.3)
    ax.legend(fontsize=8)
    fig.tight_layout()
    fig.savefig(IMG / "fanout.png", dpi=90)


if __name__ == "__main__":
    turn()
    fanout()
