"""Pages of experiment results: a self-contained HTML file, or Markdown with the same tables."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from .compare import Comparison, Prediction, SweepPoint
from .recorded import RecordedDay
from .runs import LOOPBACK, RunResult
from .statistics import Interval, Outcome, find_outcomes, interval

STYLE = (
    "body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.25em .6em;text-align:left}img{max-width:100%}"
)


@dataclass
class Page:
    """A title and parts in order: ("text", str), ("table", (head, rows)) or ("chart", (caption, PNG bytes))."""

    title: str
    parts: list[tuple[str, Any]] = field(default_factory=list)

    def text(self, text: str) -> None:
        """Add a paragraph."""
        self.parts.append(("text", text))

    def table(self, head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Add a table."""
        self.parts.append(("table", (list(head), [[str(cell) for cell in row] for row in rows])))

    def chart(self, caption: str, png: bytes) -> None:
        """Add a chart; Markdown leaves it out."""
        self.parts.append(("chart", (caption, png)))

    def markdown(self) -> str:
        """Return the page as Markdown."""
        lines = [f"# {self.title}", ""]
        for kind, part in self.parts:
            if kind == "text":
                lines += [part, ""]
            elif kind == "table":
                head, rows = part
                lines += [f"| {' | '.join(head)} |", f"| {' | '.join('---' for _ in head)} |"]
                lines += [f"| {' | '.join(cell.replace('|', '/') for cell in row)} |" for row in rows] + [""]
        return "\n".join(lines)

    def html(self) -> str:
        """Return the page as HTML with embedded images."""
        escape = html.escape
        lines = [f"<!doctype html><meta charset=utf-8><title>{escape(self.title)}</title><style>{STYLE}</style>"]
        lines.append(f"<h1>{escape(self.title)}</h1>")
        for kind, part in self.parts:
            if kind == "text":
                lines.append(f"<p>{escape(part)}</p>")
            elif kind == "table":
                head, rows = part
                lines.append("<table><tr>" + "".join(f"<th>{escape(cell)}</th>" for cell in head) + "</tr>")
                lines += ["<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in row) + "</tr>" for row in rows]
                lines.append("</table>")
            else:
                caption, png = part
                data = base64.b64encode(png).decode()
                lines.append(
                    f'<p><img alt="{escape(caption)}" src="data:image/png;base64,{data}"><br>{escape(caption)}</p>'
                )
        return "\n".join(lines) + "\n"

    def write(self, path: Path) -> None:
        """Write Markdown if the file name ends in .md, else HTML."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(self.markdown() if path.suffix == ".md" else self.html())


def render_chart(draw: Any, height: float = 4.0) -> bytes:
    """Return the PNG of what `draw(ax)` draws, `height` in inches, without a date: equal data give equal bytes."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    chart, ax = plt.subplots(figsize=(10, height))
    draw(ax)
    chart.tight_layout()
    buffer = io.BytesIO()
    chart.savefig(buffer, format="png", dpi=90, metadata={"Software": None})
    plt.close(chart)
    return buffer.getvalue()


def signed(difference: Interval) -> str:
    """Return a difference with its interval, signed."""
    return f"{difference.mean:+.4f} ({difference.low:+.4f} to {difference.high:+.4f})"


def outcomes_text(outcomes: Sequence[Outcome]) -> str:
    """Return the mean and range of one outcome, or the means and shares of two."""
    if len(outcomes) == 1:
        only = outcomes[0]
        return f"{only.mean:.4f} ({only.low:.4f} to {only.high:.4f})"
    return "two outcomes: " + "; ".join(f"{o.mean:.4f} in {o.share:.0%} of the runs" for o in outcomes)


def format_verdict(found: Comparison) -> str:
    """Return the verdict of a comparison in a sentence or two."""
    judgement = found.judgement
    text = (
        f"{found.b.label} against {found.a.label}, billed service: {judgement.verdict}, "
        f"{signed(judgement.difference)} over "
    )
    text += f"{judgement.difference.runs} pairs."
    if found.low_outcomes:
        low = found.low_outcomes
        text += (
            f" Runs have two outcomes: below {low.threshold:.3f} ended {low.count_a} of {len(found.results_a)} runs "
            f"under {found.a.label} and {low.count_b} under {found.b.label} "
            f"(probability of such pairs without a difference: {low.p_value:.3f}); no run is near the mean."
        )
    return text


def comparison_page(found: Comparison, margin: float, error: float) -> Page:
    """Return the page of a comparison."""
    page = Page(f"{found.a.label} and {found.b.label} on {found.a.scenario.name}")
    page.text(format_verdict(found))
    model_name = "Stand-ins on loopback" if found.results_a[0].model == LOOPBACK else "Emulated fleet"
    page.text(
        f"{model_name}, not a real fleet. Pairs share arrivals, work and faults by their seed. "
        f"{found.looks} looks share an error of {error:g}; a difference under {margin:g} does not matter. "
        "docs/fleet.md describes the limits."
    )
    page.table(
        ("figure", found.a.label, found.b.label, "difference, with its interval"),
        [
            (
                "service",
                outcomes_text(found.outcomes_a),
                outcomes_text(found.outcomes_b),
                signed(found.judgement.difference),
            )
        ]
        + [
            (
                name.replace("_", " "),
                f"{mean(found.results_a, name):.4f}",
                f"{mean(found.results_b, name):.4f}",
                signed(difference),
            )
            for name, difference in found.other_differences.items()
        ]
        + [("runs with a broken rule", found.broken_counts[0], found.broken_counts[1], "")]
        + [("doubled", sum(r.doubles for r in found.results_a), sum(r.doubles for r in found.results_b), "")],
    )
    page.chart("billed service by run", render_chart(lambda ax: draw_service_pairs(ax, found)))
    page.chart(
        "billed value answered of asked, by second: mean and range",
        render_chart(lambda ax: draw_answered_shares(ax, found)),
    )
    page.table(
        ("seed", found.a.label, found.b.label, "rules broken"),
        [
            (x.seed, f"{x.service:.4f}", f"{y.service:.4f}", "; ".join([*x.broken, *y.broken]) or "none")
            for x, y in zip(found.results_a, found.results_b, strict=True)
        ],
    )
    return page


def mean(results: Sequence[RunResult], name: str) -> float:
    """Return the mean of one figure over the runs."""
    return float(np.mean([getattr(r, name) for r in results]))


def draw_service_pairs(ax: Any, found: Comparison) -> None:
    """Draw the service of each pair of runs, with the line of equality."""
    service_a, service_b = [r.service for r in found.results_a], [r.service for r in found.results_b]
    ax.plot(service_a, service_b, "o", color="C0")
    low, high = min(service_a + service_b), max(service_a + service_b)
    ax.plot([low, high], [low, high], color="0.6", lw=1)
    ax.set_xlabel(found.a.label)
    ax.set_ylabel(found.b.label)


def draw_answered_shares(ax: Any, found: Comparison) -> None:
    """Draw the answered share by second under each setting, with the faults of A."""
    for label, results, color in ((found.a.label, found.results_a, "C0"), (found.b.label, found.results_b, "C1")):
        seconds = min(len(r.asked) for r in results)
        shares = np.array(
            [
                np.divide(
                    r.answered[:seconds], r.asked[:seconds], out=np.ones(seconds), where=np.array(r.asked[:seconds]) > 0
                )
                for r in results
            ]
        )
        ax.plot(shares.mean(axis=0), color=color, label=label)
        ax.fill_between(range(seconds), shares.min(axis=0), shares.max(axis=0), color=color, alpha=0.15)
    for fault in found.a.scenario.fault:
        ax.axvspan(fault.at_s, fault.at_s + fault.for_s, color="0.5", alpha=0.08)
        ax.text(fault.at_s, 0.02, fault.kind, fontsize=7, rotation=90, va="bottom")
    ax.set_ylim(0, 1.05)
    ax.set_xlabel("seconds")
    ax.legend(loc="lower right")


def sweep_page(points: Sequence[SweepPoint], key: str, name: str, error: float) -> Page:
    """Return the page of a sweep of `key` on the setting `name`."""
    page = Page(f"{key} on {name}")
    page.text(
        f"Emulated fleet, not a real one; {len(points[0].results)} runs of each value with the same seeds. "
        f"Differences are against the first value and share an error of {error:g}."
    )
    page.table(
        (key, "service", "worst 10 s", "worst operation", "moves", "difference of service", "broken rules"),
        [
            (
                point.value,
                outcomes_text(point.outcomes),
                *(f"{mean(point.results, figure):.4f}" for figure in ("worst_10_s", "worst_operation")),
                f"{mean(point.results, 'moves'):.1f}",
                signed(point.difference) if point.difference else "",
                sum(bool(run.broken) for run in point.results),
            )
            for point in points
        ],
    )

    def draw(ax: Any) -> None:
        positions = range(len(points))
        for index in positions:
            ax.plot(
                [index] * len(points[index].results), [run.service for run in points[index].results], ".", color="0.7"
            )
        means = np.array([point.service.mean for point in points])
        bounds = np.array([(point.service.low, point.service.high) for point in points])
        ax.errorbar(positions, means, yerr=np.abs(bounds.T - means), fmt="o-", color="C0", capsize=4)
        ax.set_xticks(list(positions), [point.value for point in points])
        ax.set_xlabel(key)
        ax.set_ylabel("billed service")

    page.chart("billed service by value: every run, mean and interval", render_chart(draw))
    return page


def prediction_page(predictions: Sequence[Prediction]) -> Page:
    """Return the page of predictions and the runs on loopback."""
    page = Page("Predicted by the emulated fleet, observed on loopback")
    page.text(
        "The seeds on loopback differ from the emulated ones. `chance`: probability of so few runs inside if the "
        "interval covers its level; below 0.05 it does not."
    )
    page.table(
        ("scenario", "figure", "emulated runs", "predicted", "on loopback", "inside", "chance"),
        [
            (
                prediction.scenario,
                prediction.figure.replace("_", " "),
                len(prediction.emulated),
                f"{prediction.low:.4f} to {prediction.high:.4f} ({prediction.level:.0%})",
                outcomes_text(find_outcomes(prediction.loopback)),
                f"{prediction.hits} of {len(prediction.loopback)}",
                f"{prediction.p_value:.3f}",
            )
            for prediction in predictions
        ],
    )

    def draw(ax: Any) -> None:
        service_predictions = [prediction for prediction in predictions if prediction.figure == "service"]
        for index, prediction in enumerate(service_predictions):
            ax.fill_between([index - 0.3, index + 0.3], prediction.low, prediction.high, color="C0", alpha=0.2)
            ax.plot([index - 0.1] * len(prediction.emulated), prediction.emulated, ".", color="C0", alpha=0.5)
            ax.plot([index + 0.1] * len(prediction.loopback), prediction.loopback, ".", color="C3")
        ax.set_xticks(range(len(service_predictions)), [prediction.scenario for prediction in service_predictions])
        ax.set_ylabel("billed service: emulated (blue), on loopback (red)")

    page.chart("predicted interval and runs", render_chart(draw))
    return page


def sum_by_span(result: RunResult, seconds: float) -> np.ndarray:
    """Return the priority weight of all and of answered requests, a pair for each span of `seconds`."""
    span_count = -(-len(result.asked) // int(seconds))
    sums = np.zeros((span_count, 2))
    for second, (asked, answered) in enumerate(zip(result.asked, result.answered, strict=True)):
        sums[int(second // seconds)] += (asked, answered)
    return sums


def replay_page(day: RecordedDay, results_by_label: Sequence[tuple[str, Sequence[RunResult]]], span_s: float) -> Page:
    """Return the page of a recording replayed under each setting, in spans of `span_s` seconds, as means over seeds."""
    page = Page("A recorded day, replayed")
    page.text(
        f"{day.length_ms / 1000.0:.0f} s, {len(day.initial_hosts)} hosts at the beginning, {len(day.proxies)} proxies, "
        f"{sum(w.count for w in day.windows):.0f} requests, of which {day.filled_requests:.0f} fill "
        f"{sum(b - a for a, b in day.gaps) / 1000.0:.1f} s without usage reports; "
        f"{sum(b - a for a, b in day.late_spans) / 1000.0:.1f} s were reported late, in one report. "
        f"{len(day.host_changes)} changes of hosts."
        + (" The recording is truncated." if day.is_truncated else "")
        + f" Proxies reported {day.unanswered_share:.2%} as unanswered. Emulated; docs/fleet.md has the rules."
    )
    page.table(
        ("from, s", *(f"{label}: billed of asked" for label, _ in results_by_label), "marks"),
        [
            (f"{index * span_s:.0f}", *row, describe_span(day, index * span_s * 1000.0, (index + 1) * span_s * 1000.0))
            for index, row in enumerate(billed_by_span(results_by_label, span_s))
        ],
    )
    page.table(
        ("setting", "billed service", "runs", "broken rules"),
        [
            (
                label,
                outcomes_text(find_outcomes([r.service for r in results])),
                len(results),
                sum(bool(r.broken) for r in results),
            )
            for label, results in results_by_label
        ],
    )

    def draw(ax: Any) -> None:
        for begin_ms, end_ms in day.gaps:
            ax.axvspan(begin_ms / 1000.0, end_ms / 1000.0, color="C3", alpha=0.25)
        for begin_ms, end_ms in day.late_spans:
            ax.axvspan(begin_ms / 1000.0, end_ms / 1000.0, color="C1", alpha=0.15)
        ax.plot(day.answered_shares, color="0.7", lw=1, label="as proxies reported (any answer)")
        for label, results in results_by_label:
            sums = np.mean([sum_by_span(r, 1.0) for r in truncate_to_shortest(results)], axis=0)
            ax.plot(np.divide(sums[:, 1], sums[:, 0], out=np.ones(len(sums)), where=sums[:, 0] > 0), label=label)
        ax.set_ylim(0, 1.05)
        ax.set_xlabel("seconds (red: no reports; orange: one late report)")
        ax.legend(loc="lower left")

    page.chart("billed value answered of asked", render_chart(draw))
    return page


def truncate_to_shortest(results: Sequence[RunResult]) -> list[RunResult]:
    """Return the results with their series cut to the shortest one."""
    seconds = min(len(r.asked) for r in results)
    return [msgspec.structs.replace(r, asked=r.asked[:seconds], answered=r.answered[:seconds]) for r in results]


def billed_by_span(results_by_label: Sequence[tuple[str, Sequence[RunResult]]], span_s: float) -> list[list[str]]:
    """Return the weight of answered of all requests as text, by span and label."""
    all_sums = [
        np.mean([sum_by_span(r, span_s) for r in truncate_to_shortest(results)], axis=0)
        for _, results in results_by_label
    ]
    span_count = min(len(s) for s in all_sums)
    return [
        [f"{s[k, 1]:.1f} of {s[k, 0]:.1f} ({s[k, 1] / max(s[k, 0], 1e-9):.2%})" for s in all_sums]
        for k in range(span_count)
    ]


def describe_span(day: RecordedDay, begin_ms: float, end_ms: float) -> str:
    """Return the gaps, late reports and changes of hosts between two times of a recording."""
    parts = []
    for name, spans in (("no reports", day.gaps), ("late report", day.late_spans)):
        overlap_ms = sum(max(0.0, min(to_ms, end_ms) - max(from_ms, begin_ms)) for from_ms, to_ms in spans)
        if overlap_ms:
            parts.append(f"{name} {overlap_ms / 1000.0:.1f} s")
    kinds = [change.what for change in day.host_changes if begin_ms <= change.at_ms < end_ms]
    parts += [f"{kinds.count(kind)} {kind}" for kind in sorted(set(kinds))]
    return ", ".join(parts)


def results_page(rows: Sequence[tuple[str, str, str, RunResult]]) -> Page:
    """Return the page of a file of results, with a row for each scenario, setting, version and model."""
    page = Page("Results")
    groups: dict[tuple[str, str, str, str, str], list[RunResult]] = {}
    for label, code, config, result in rows:
        groups.setdefault((result.scenario, label, config, code, result.model), []).append(result)
    page.text(f"{len(rows)} runs, {len(groups)} groups. `version` is a digest of the source.")
    page.table(
        ("scenario", "setting", "version", "model", "runs", "service", "its mean", "worst 10 s", "broken"),
        [
            (
                scenario,
                label,
                code[:8],
                model,
                len(results),
                outcomes_text(find_outcomes([result.service for result in results])),
                format_interval(interval([result.service for result in results])),
                f"{mean(results, 'worst_10_s'):.4f}",
                sum(bool(result.broken) for result in results),
            )
            for (scenario, label, _, code, model), results in sorted(groups.items())
        ],
    )

    def draw(ax: Any) -> None:
        for index, (_, results) in enumerate(sorted(groups.items())):
            ax.plot([result.service for result in results], [index] * len(results), "|", color="C0", ms=10)
        names = [f"{scenario}: {label}, {model}" for (scenario, label, _, _, model), _ in sorted(groups.items())]
        ax.set_yticks(range(len(names)), names, fontsize=7)
        ax.set_xlabel("billed service")

    page.chart("billed service, one mark per run", render_chart(draw, min(40.0, 1.5 + 0.3 * len(groups))))
    return page


def format_interval(value: Interval) -> str:
    """Return a mean with its interval."""
    return f"{value.mean:.4f} ({value.low:.4f} to {value.high:.4f})"
