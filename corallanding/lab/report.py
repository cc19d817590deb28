"""The results of a run: `result.json`, `result.md` and the charts."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import numpy as np

from .audit import Verdict


def service_by_second(records: Sequence[Any], begun: float) -> tuple[np.ndarray, np.ndarray]:
    """Return the requested and the answered priority weight by second of the request."""
    seconds = 1 + int(max((r[2] - begun) / 1000.0 for r in records if r[0] == "clients"))
    requested, answered, second_of_request = np.zeros(seconds), np.zeros(seconds), {}
    for r in records:
        if r[3] == "asked":
            second_of_request[r[4]] = int((r[2] - begun) / 1000.0)
            requested[second_of_request[r[4]]] += r[7]
        elif r[3] == "answered":
            answered[second_of_request[r[4]]] += r[8]
    return requested, answered


def summary(
    records: Sequence[Any],
    begun: float,
    seed: int,
    name: str,
    verdicts: list[Verdict],
    duplicated: int,
    operations: list[str],
) -> dict[str, Any]:
    """Return the content of `result.json` that all scenarios have. duplicated: requests that ran twice."""
    requested, answered = service_by_second(records, begun)
    value_by_class = [[0.0, 0.0] for _ in operations]
    moved_lines, forwarders = 0, set()
    for r in records:
        if r[3] == "asked":
            value_by_class[r[5]][0] += r[7]
        elif r[3] == "answered":
            value_by_class[r[5]][1] += r[8]
        elif r[3] == "frame":
            forwarders.add(r[0])
            if r[2] >= begun and r[4][0] == "orders":
                moved_lines += len(r[4][4])
    by_operation = {o: round(w[1] / w[0], 4) for o, w in zip(operations, value_by_class, strict=True) if w[0]}
    ends: dict[str, dict[str, int]] = {o: defaultdict(int) for o in operations}
    for r in records:
        if r[3] == "answered":
            ends[operations[r[5]]][r[6]] += 1
    total = sum(sum(e.values()) for e in ends.values())
    window = min(10, len(requested))
    spans = [slice(k, k + window) for k in range(len(requested) - window + 1)]
    window_service = [answered[s].sum() / max(requested[s].sum(), 1e-9) for s in spans]
    return {
        "scenario": name,
        "seed": seed,
        "invocations": total,
        "succeeded": sum(e.get("ok", 0) for e in ends.values()),
        "service": round(float(answered.sum() / max(requested.sum(), 1e-9)), 4),
        "worst_10_s": round(float(min(window_service, default=0.0)), 4),
        "by_operation": by_operation,
        "worst_operation": min(by_operation.values(), default=0.0),
        "moves": round(moved_lines / max(len(forwarders), 1), 1),  # mean number of table lines sent to a proxy
        "doubles": duplicated,
        "ends": {o: dict(sorted(e.items())) for o, e in ends.items()},
        "rules": [
            {"rule": v.rule, "kept": v.kept, "worst": round(v.worst, 3), "limit": v.limit, "note": v.note}
            for v in verdicts
        ],
    }


SUMMARY_KEYS = ("invocations", "succeeded", "service", "worst_10_s", "worst_operation", "moves", "doubles")


def markdown(result: dict[str, Any], faults: list[str]) -> str:
    """Return the text of `result.md`."""
    verdict_names, rules = {True: "kept", False: "BROKEN", None: "not judged"}, result["rules"]
    out = [
        f"# {result['scenario']}, seed {result['seed']} (stand-in hosts on loopback)",
        "",
        "| figure | value |",
        "| --- | --- |",
        *(f"| {k.replace('_', ' ')} | {result[k]} |" for k in SUMMARY_KEYS),
        "",
        "| rule | verdict | worst | limit | note |",
        "| --- | --- | --- | --- | --- |",
        *(
            f"| {r['rule']} | {verdict_names[r['kept']]} | {r['worst']:g} | {r['limit']:g} | {r['note']} |"
            for r in rules
        ),
        "",
        "| operation | ends |",
        "| --- | --- |",
        *(f"| {o} | {', '.join(f'{k} {n}' for k, n in ends.items())} |" for o, ends in result["ends"].items()),
        "",
        "Faults: " + (", ".join(faults) or "none") + ".",
        "",
    ]
    return "\n".join(out)


def charts(
    out: Path, records: Sequence[Any], begun: float, polls: list[dict[str, float]], faults: Sequence[Any]
) -> None:
    """Write service.png, load.png, channel.png, publish.png and reports.png, as far as there is data."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    def mark_faults(ax: Any) -> None:
        for k, (kind, at, length) in enumerate(faults):
            ax.axvspan(at, at + length, color=f"C{k % 10}", alpha=0.12)
            ax.text(at, ax.get_ylim()[1] * (0.98 - 0.06 * (k % 5)), kind, fontsize=7, va="top")
        ax.set_xlabel("seconds")

    def save(fig: Any, name: str) -> None:
        fig.tight_layout()
        fig.savefig(out / name, dpi=90)
        plt.close(fig)

    requested, answered = service_by_second(records, begun)
    fig, ax = plt.subplots(figsize=(10, 4))
    ax.plot(np.divide(answered, requested, out=np.ones_like(requested), where=requested > 0), color="C0")
    ax.set_ylim(0, 1.05)
    ax.set_ylabel("billed value answered / asked")
    mark_faults(ax)
    save(fig, "service.png")

    received: dict[str, np.ndarray] = {}
    for r in records:
        if r[3] == "take" and (at := int((r[2] - begun) / 1000.0)) >= 0:
            row = received.setdefault(r[0], np.zeros(len(requested)))
            if at < len(row):
                row[at] += 1
    fig, ax = plt.subplots(figsize=(10, 4))
    if received:
        names = sorted(received, key=lambda n: int(n.split()[1]))
        image = ax.imshow(np.array([received[n] for n in names]), aspect="auto", origin="lower", cmap="viridis")
        fig.colorbar(image, label="invocations a second")
        ax.set_ylabel("host")
    ax.set_xlabel("seconds")
    save(fig, "load.png")

    for key, label, name in (
        ("waiting", "lines waiting, heads included", "channel.png"),
        ("ack_ms", "publish to ack, mean ms", "publish.png"),
        ("load_factors_below_one", "hosts lowered by load reports", "reports.png"),
    ):
        if key.startswith("load") and not any(key in p for p in polls):
            continue
        fig, ax = plt.subplots(figsize=(10, 4))
        rows = [(p["t"], p[key]) for p in polls if key in p]
        ax.plot([t for t, _ in rows], [v for _, v in rows], ".-", color="C3")
        ax.set_ylabel(label)
        ax.set_ylim(bottom=0, top=max([1.0] + [v for _, v in rows]) * 1.1)
        mark_faults(ax)
        save(fig, name)


def write(out: Path, result: dict[str, Any], faults: list[str]) -> None:
    """Write `result.json` and `result.md`."""
    (out / "result.json").write_text(json.dumps(result, indent=1) + "\n")
    (out / "result.md").write_text(markdown(result, faults))
