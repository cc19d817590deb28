"""Charts of the results of bench.turn and bench.fanout: docs/img/turn.png and docs/img/fanout.png."""

from __future__ import annotations

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from .run import RESULTS

IMAGES_PATH = Path(__file__).parent.parent / "docs" / "img"


def plot_turns() -> None:
    """Draw the median time of a turn and of a drain step over the number of hosts."""
    results = json.loads((RESULTS / "turn.json").read_text())
    fig, axes = plt.subplots(1, 2, figsize=(9, 3.6), sharey=True)
    for ax, key, title in ((axes[0], "turn_p50_ms", "a turn"), (axes[1], "drain_p50_ms", "a drain's step")):
        for side, style in (("before", "s--"), ("now", "o-")):
            rows = results[side]
            ax.loglog([row["hosts"] for row in rows], [row[key] for row in rows], style, label=side)
        ax.set(title=f"{title}, p50", xlabel="hosts (six slices each)")
        ax.grid(True, which="both", alpha=0.3)
        ax.legend()
    axes[0].set_ylabel("ms on one core")
    fig.tight_layout()
    fig.savefig(IMAGES_PATH / "turn.png", dpi=90)


def plot_fanout() -> None:
    """Draw the delay from a drain to the proxies over the number of proxies."""
    results = json.loads((RESULTS / "fanout.json").read_text())
    rows = [results[size] for size in ("24", "78", "300", "1000") if size in results]
    proxy_counts = [row["calm"]["forwarders"] for row in rows]
    fig, ax = plt.subplots(figsize=(6, 3.6))
    ax.loglog(proxy_counts, [row["calm"]["physical_ms"] for row in rows], "k:", label="line pace, to the last")
    for kind, style in (("calm", "o-"), ("hostile", "s--")):
        for quantile in ("p50", "p99"):
            ax.loglog(
                proxy_counts,
                [row[kind]["drain_ms"][quantile] for row in rows],
                style,
                label=f"{kind}, {quantile}",
                alpha=1.0 if quantile == "p99" else 0.5,
            )
    ax.set(xlabel="forwarders", ylabel="ms", title="a drain's way to a forwarder; hostile: one more link for every ten")
    ax.grid(True, which="both", alpha=0.3)
    ax.legend(fontsize=8)
    fig.tight_layout()
    fig.savefig(IMAGES_PATH / "fanout.png", dpi=90)


if __name__ == "__main__":
    plot_turns()
    plot_fanout()
