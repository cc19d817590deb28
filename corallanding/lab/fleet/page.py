"""Reports of experiments: one HTML file that needs nothing beside it, or Markdown with the same tables."""

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
    """title; parts in order: ("text", str), ("table", (head, rows)), ("chart", (caption, png bytes))."""

    title: str
    parts: list[tuple[str, Any]] = field(default_factory=list)

    def text(self, said: str) -> None:
        self.parts.append(("text", said))

    def table(self, head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        self.parts.append(("table", (list(head), [[str(x) for x in r] for r in rows])))

    def chart(self, caption: str, png: bytes) -> None:
        self.parts.append(("chart", (caption, png)))

    def markdown(self) -> str:
        out = [f"# {self.title}", ""]
        for kind, part in self.parts:
            if kind == "text":
                out += [part, ""]
            elif kind == "table":
                head, rows = part
                out += [f"| {' | '.join(head)} |", f"| {' | '.join('---' for _ in head)} |"]
                out += [f"| {' | '.join(c.replace('|', '/') for c in r)} |" for r in rows] + [""]
        return "\n".join(out)

    def html(self) -> str:
        e = html.escape
        out = [f"<!doctype html><meta charset=utf-8><title>{e(self.title)}</title><style>{STYLE}</style>"]
        out.append(f"<h1>{e(self.title)}</h1>")
        for kind, part in self.parts:
            if kind == "text":
                out.append(f"<p>{e(part)}</p>")
            elif kind == "table":
                head, rows = part
                out.append("<table><tr>" + "".join(f"<th>{e(c)}</th>" for c in head) + "</tr>")
                out += ["<tr>" + "".join(f"<td>{e(c)}</td>" for c in r) + "</tr>" for r in rows]
                out.append("</table>")
            else:
                caption, png = part
                data = base64.b64encode(png).decode()
                out.append(f'<p><img alt="{e(caption)}" src="data:image/png;base64,{data}"><br>{e(caption)}</p>')
        return "\n".join(out) + "\n"

    def write(self, path: Path) -> None:
        """By its ending: .md, else HTML."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(self.markdown() if path.suffix == ".md" else self.html())


def figure(draw: Any, height: float = 4.0) -> bytes:
    """draw(ax). The bytes carry no date, so that the same data give the same file."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, ax = plt.subplots(figsize=(10, height))
    draw(ax)
    fig.tight_layout()
    out = io.BytesIO()
    fig.savefig(out, format="png", dpi=90, metadata={"Software": None})
    plt.close(fig)
    return out.getvalue()


def signed(i: Interval) -> str:
    return f"{i.mean:+.4f} ({i.low:+.4f} to {i.high:+.4f})"


def told(parts: Sequence[Outcome]) -> str:
    if len(parts) == 1:
        o = parts[0]
        return f"{o.mean:.4f} ({o.low:.4f} to {o.high:.4f})"
    return "two outcomes: " + "; ".join(f"{o.mean:.4f} in {o.share:.0%} of the runs" for o in parts)


def verdict(c: Comparison) -> str:
    """The answer in a sentence."""
    w = c.judgement
    said = f"{c.b.label} against {c.a.label}, billed service: {w.verdict}, {signed(w.difference)} over "
    said += f"{w.difference.runs} pairs."
    if c.low_outcomes:
        t = c.low_outcomes
        said += (
            f" Days tip: below {t.threshold:.3f} ended {t.count_a} of {len(c.rows_a)} runs under {c.a.label} and {t.count_b} under "
            f"{c.b.label} (chance of such pairs alike: {t.p_value:.3f}); no day looks like the mean."
        )
    return said


def compared(c: Comparison, margin: float, error: float) -> Page:
    page = Page(f"{c.a.label} and {c.b.label} on {c.a.scenario.name}")
    page.text(verdict(c))
    where = "Stand-ins on loopback" if c.rows_a[0].model == LOOPBACK else "Emulated fleet"
    page.text(
        f"{where}, no real one. Pairs share arrivals, work and faults by their seed. {c.looks} looks share an "
        f"error of {error:g}; a difference under {margin:g} does not matter. docs/fleet.md says how far this goes."
    )
    page.table(
        ("figure", c.a.label, c.b.label, "difference, with its interval"),
        [("service", told(c.outcomes_a), told(c.outcomes_b), signed(c.judgement.difference))]
        + [
            (f.replace("_", " "), f"{mean(c.rows_a, f):.4f}", f"{mean(c.rows_b, f):.4f}", signed(i))
            for f, i in c.other_differences.items()
        ]
        + [("runs with a broken rule", c.broken_counts[0], c.broken_counts[1], "")]
        + [("doubled", sum(r.doubles for r in c.rows_a), sum(r.doubles for r in c.rows_b), "")],
    )
    page.chart("billed service by run", figure(lambda ax: scatter(ax, c)))
    page.chart("billed value answered of asked, by second: mean and range", figure(lambda ax: days(ax, c)))
    page.table(
        ("seed", c.a.label, c.b.label, "rules broken"),
        [
            (x.seed, f"{x.service:.4f}", f"{y.service:.4f}", "; ".join([*x.broken, *y.broken]) or "none")
            for x, y in zip(c.rows_a, c.rows_b, strict=True)
        ],
    )
    return page


def mean(rows: Sequence[RunResult], name: str) -> float:
    return float(np.mean([getattr(r, name) for r in rows]))


def scatter(ax: Any, c: Comparison) -> None:
    a, b = [r.service for r in c.rows_a], [r.service for r in c.rows_b]
    ax.plot(a, b, "o", color="C0")
    low, high = min(a + b), max(a + b)
    ax.plot([low, high], [low, high], color="0.6", lw=1)
    ax.set_xlabel(c.a.label)
    ax.set_ylabel(c.b.label)


def days(ax: Any, c: Comparison) -> None:
    for label, rows, color in ((c.a.label, c.rows_a, "C0"), (c.b.label, c.rows_b, "C1")):
        span = min(len(r.asked) for r in rows)
        shares = np.array(
            [
                np.divide(r.answered[:span], r.asked[:span], out=np.ones(span), where=np.array(r.asked[:span]) > 0)
                for r in rows
            ]
        )
        ax.plot(shares.mean(axis=0), color=color, label=label)
        ax.fill_between(range(span), shares.min(axis=0), shares.max(axis=0), color=color, alpha=0.15)
    for f in c.a.scenario.fault:
        ax.axvspan(f.at_s, f.at_s + f.for_s, color="0.5", alpha=0.08)
        ax.text(f.at_s, 0.02, f.kind, fontsize=7, rotation=90, va="bottom")
    ax.set_ylim(0, 1.05)
    ax.set_xlabel("seconds")
    ax.legend(loc="lower right")


def swept(rows: Sequence[SweepPoint], key: str, name: str, error: float) -> Page:
    page = Page(f"{key} on {name}")
    page.text(
        f"Emulated fleet, no real one; {len(rows[0].results)} runs a value, the same seeds. Differences are against the "
        f"first value, all at once at an error of {error:g}."
    )
    page.table(
        (key, "service", "worst 10 s", "worst operation", "moves", "difference of service", "broken rules"),
        [
            (
                r.value,
                told(r.outcomes),
                *(f"{mean(r.results, f):.4f}" for f in ("worst_10_s", "worst_operation")),
                f"{mean(r.results, 'moves'):.1f}",
                signed(r.difference) if r.difference else "",
                sum(bool(x.broken) for x in r.results),
            )
            for r in rows
        ],
    )

    def draw(ax: Any) -> None:
        at = range(len(rows))
        for k in at:
            ax.plot([k] * len(rows[k].results), [x.service for x in rows[k].results], ".", color="0.7")
        means = np.array([r.service.mean for r in rows])
        ends = np.array([(r.service.low, r.service.high) for r in rows])
        ax.errorbar(at, means, yerr=np.abs(ends.T - means), fmt="o-", color="C0", capsize=4)
        ax.set_xticks(list(at), [r.value for r in rows])
        ax.set_xlabel(key)
        ax.set_ylabel("billed service")

    page.chart("billed service by value: every run, mean and interval", figure(draw))
    return page


def predicted(found: Sequence[Prediction]) -> Page:
    page = Page("Predicted by the emulated fleet, met on loopback")
    page.text(
        "Seeds on loopback are others than the emulated ones. `chance`: how likely so few runs inside would be if the "
        "interval held what it says; under 0.05 it does not."
    )
    page.table(
        ("day", "figure", "emulated runs", "predicted", "on loopback", "inside", "chance"),
        [
            (
                p.scenario,
                p.figure.replace("_", " "),
                len(p.emulated),
                f"{p.low:.4f} to {p.high:.4f} ({p.level:.0%})",
                told(find_outcomes(p.loopback)),
                f"{p.hits} of {len(p.loopback)}",
                f"{p.p_value:.3f}",
            )
            for p in found
        ],
    )

    def draw(ax: Any) -> None:
        rows = [p for p in found if p.figure == "service"]
        for k, p in enumerate(rows):
            ax.fill_between([k - 0.3, k + 0.3], p.low, p.high, color="C0", alpha=0.2)
            ax.plot([k - 0.1] * len(p.emulated), p.emulated, ".", color="C0", alpha=0.5)
            ax.plot([k + 0.1] * len(p.loopback), p.loopback, ".", color="C3")
        ax.set_xticks(range(len(rows)), [p.scenario for p in rows])
        ax.set_ylabel("billed service: emulated (blue), on loopback (red)")

    page.chart("predicted interval and runs", figure(draw))
    return page


def buckets(row: RunResult, seconds: float) -> np.ndarray:
    """Billed value asked and answered, a pair for each span of `seconds`."""
    n = -(-len(row.asked) // int(seconds))
    out = np.zeros((n, 2))
    for k, (asked, answered) in enumerate(zip(row.asked, row.answered, strict=True)):
        out[int(k // seconds)] += (asked, answered)
    return out


def replayed(day: RecordedDay, pairs: Sequence[tuple[str, Sequence[RunResult]]], every: float) -> Page:
    """A recorded day under each setting, span by span; the mean over the seeds."""
    page = Page("A recorded day, replayed")
    page.text(
        f"{day.length_ms / 1000.0:.0f} s, {len(day.initial_hosts)} hosts at the beginning, {len(day.proxies)} forwarders, "
        f"{sum(w.count for w in day.windows):.0f} invocations, of which {day.filled_requests:.0f} stand for "
        f"{sum(b - a for a, b in day.gaps) / 1000.0:.1f} s that no sum covers; "
        f"{sum(b - a for a, b in day.late_spans) / 1000.0:.1f} s came late, in one sum. {len(day.host_changes)} changes of hosts."
        + (" The recording's end is torn off." if day.is_truncated else "")
        + f" Forwarders told that {day.unanswered_share:.2%} went unanswered. Emulated; docs/fleet.md has the rules."
    )
    page.table(
        ("from, s", *(f"{label}: billed of asked" for label, _ in pairs), "marks"),
        [
            (f"{k * every:.0f}", *row, marks(day, k * every * 1000.0, (k + 1) * every * 1000.0))
            for k, row in enumerate(spans(pairs, every))
        ],
    )
    page.table(
        ("setting", "billed service", "runs", "broken rules"),
        [
            (label, told(find_outcomes([r.service for r in rows])), len(rows), sum(bool(r.broken) for r in rows))
            for label, rows in pairs
        ],
    )

    def draw(ax: Any) -> None:
        for a, b in day.gaps:
            ax.axvspan(a / 1000.0, b / 1000.0, color="C3", alpha=0.25)
        for a, b in day.late_spans:
            ax.axvspan(a / 1000.0, b / 1000.0, color="C1", alpha=0.15)
        ax.plot(day.answered_shares, color="0.7", lw=1, label="as forwarders told (answered at all)")
        for label, rows in pairs:
            parts = np.mean([buckets(r, 1.0) for r in same_length(rows)], axis=0)
            ax.plot(np.divide(parts[:, 1], parts[:, 0], out=np.ones(len(parts)), where=parts[:, 0] > 0), label=label)
        ax.set_ylim(0, 1.05)
        ax.set_xlabel("seconds (red: no sums; orange: one late sum)")
        ax.legend(loc="lower left")

    page.chart("billed value answered of asked", figure(draw))
    return page


def same_length(rows: Sequence[RunResult]) -> list[RunResult]:
    n = min(len(r.asked) for r in rows)
    return [msgspec.structs.replace(r, asked=r.asked[:n], answered=r.answered[:n]) for r in rows]


def spans(pairs: Sequence[tuple[str, Sequence[RunResult]]], every: float) -> list[list[str]]:
    parts = [np.mean([buckets(r, every) for r in same_length(rows)], axis=0) for _, rows in pairs]
    n = min(len(p) for p in parts)
    return [[f"{p[k, 1]:.1f} of {p[k, 0]:.1f} ({p[k, 1] / max(p[k, 0], 1e-9):.2%})" for p in parts] for k in range(n)]


def marks(day: RecordedDay, begin: float, end: float) -> str:
    said = []
    for name, rows in (("no sums", day.gaps), ("late sum", day.late_spans)):
        part = sum(max(0.0, min(b, end) - max(a, begin)) for a, b in rows)
        if part:
            said.append(f"{name} {part / 1000.0:.1f} s")
    kinds = [x.what for x in day.host_changes if begin <= x.at_ms < end]
    said += [f"{kinds.count(k)} {k}" for k in sorted(set(kinds))]
    return ", ".join(said)


def kept(rows: Sequence[tuple[str, str, str, RunResult]]) -> Page:
    """All that a file of results holds, a line for each scenario, setting, version and model."""
    page = Page("Results")
    groups: dict[tuple[str, str, str, str, str], list[RunResult]] = {}
    for label, code, config, r in rows:
        groups.setdefault((r.scenario, label, config, code, r.model), []).append(r)
    page.text(f"{len(rows)} runs, {len(groups)} groups. `version` is a digest of the program's text.")
    page.table(
        ("scenario", "setting", "version", "model", "runs", "service", "its mean", "worst 10 s", "broken"),
        [
            (
                scenario,
                label,
                code[:8],
                model,
                len(found),
                told(find_outcomes([r.service for r in found])),
                span(interval([r.service for r in found])),
                f"{mean(found, 'worst_10_s'):.4f}",
                sum(bool(r.broken) for r in found),
            )
            for (scenario, label, _, code, model), found in sorted(groups.items())
        ],
    )

    def draw(ax: Any) -> None:
        for k, (_, found) in enumerate(sorted(groups.items())):
            ax.plot([r.service for r in found], [k] * len(found), "|", color="C0", ms=10)
        names = [f"{scenario}: {label}, {model}" for (scenario, label, _, _, model), _ in sorted(groups.items())]
        ax.set_yticks(range(len(names)), names, fontsize=7)
        ax.set_xlabel("billed service")

    page.chart("billed service, a mark a run", figure(draw, min(40.0, 1.5 + 0.3 * len(groups))))
    return page


def span(i: Interval) -> str:
    return f"{i.mean:.4f} ({i.low:.4f} to {i.high:.4f})"
