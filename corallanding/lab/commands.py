"""`corallanding lab`: run a scenario, compare deciders, convert a bench day to a scenario."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any, Optional

import typer

from ..cli import fail
from ..config import ConfigError
from .fleet.commands import add

lab = typer.Typer(no_args_is_help=True)


def print_rules(result: dict[str, Any]) -> None:
    """Print one line per rule: verdict, worst value, limit and note."""
    for r in result["rules"]:
        verdict = {True: "kept", False: "BROKEN", None: "not judged"}[r["kept"]]
        print(f"  {r['rule']:28} {verdict:10} worst {r['worst']:>10g}  limit {r['limit']:>10g}  {r['note']}")


@lab.command("run")
def run(
    scenario: Path,
    out: Annotated[Path, typer.Option("--out", help="folder for results")],
    seed: Annotated[int, typer.Option("--seed")] = 1,
    publisher: Annotated[Optional[str], typer.Option("--publisher", help="another decider")] = None,  # noqa: UP045
    lift_limits: Annotated[bool, typer.Option("--lift-limits", help="a steward without its channel's limits")] = False,
) -> None:
    """Play a scenario on loopback. Exit 0 if all rules held, 1 if one broke, 2 on bad input."""
    from .publishers import PUBLISHERS
    from .runner import play
    from .scenario import load_scenario

    try:
        found = load_scenario(scenario)
    except ConfigError as error:
        raise fail(error) from None
    name = publisher or found.publisher
    if name not in PUBLISHERS:
        raise fail(f"publisher {name!r} is not one of {', '.join(PUBLISHERS)}")
    try:
        result = play(found.model_copy(update={"publisher": name}), out, seed, lift_limits)
    except (OSError, RuntimeError) as error:
        raise fail(error, 3) from None
    print(
        f"{found.name}, seed {seed}, {name}: service {result['service']:.3f}, worst 10 s {result['worst_10_s']:.3f}, "
        f"{result['succeeded']} of {result['invocations']} succeeded, {result['doubles']} doubled"
    )
    print_rules(result)
    kept = [r["kept"] for r in result["rules"]]
    raise typer.Exit(0 if all(kept) else 1)


@lab.command("scenario")
def scenario(
    day: Annotated[Path, typer.Option("--from", help="a day as the bench draws it, JSON")],
    out: Annotated[Optional[Path], typer.Option("--out", help="the scenario file")] = None,  # noqa: UP045
    scale: Annotated[float, typer.Option("--scale", help="part of the fleet and its traffic")] = 1.0,
) -> None:
    """Convert a day of the bench to a scenario for the real controller."""
    from .scenario_day import from_day
    from .scenario_text import scenario_hcl

    try:
        raw = json.loads(day.read_text())
        found = from_day(raw, day.stem, scale)
    except (OSError, ValueError) as error:
        raise fail(f"{day}: {error}") from None
    except ConfigError as error:
        raise fail(error) from None
    text = scenario_hcl(found)
    if out:
        out.write_text(text)
    else:
        print(text, end="")


@lab.command("audit")
def audit(trace: Path, scenario: Annotated[Path, typer.Option("--scenario")]) -> None:
    """Audit a saved trace again."""
    from .audit import judge
    from .scenario import load_scenario
    from .trace import read
    from .verdict import limits as limits_of

    try:
        limits = limits_of(load_scenario(scenario))
        records = read(trace)
    except (ConfigError, OSError, ValueError, EOFError) as error:
        raise fail(error) from None
    verdicts, _ = judge(records, limits)
    print_rules({"rules": [vars(v) for v in verdicts]})
    raise typer.Exit(0 if all(v.kept for v in verdicts) else 1)


add(lab)


@lab.command("budgets")
def budgets(
    seeds: Annotated[int, typer.Option("--seeds", min=1, max=1000)] = 20,
    stewards: Annotated[str, typer.Option("--stewards", help="sizes of the fleet, joined by commas")] = "3,5,20",
) -> None:
    """Measure budgets of a fleet of controllers in simulated time: their cost and recovery time."""
    from .stewards.figures import compared, table

    try:
        sizes = [int(n) for n in stewards.split(",")]
        if min(sizes) < 2 or max(sizes) > 300:
            raise ValueError(stewards)
    except ValueError:
        raise fail(f"--stewards {stewards!r}: sizes from 2 to 300, joined by commas") from None
    print(table(seeds, sizes) + "\n\n" + compared(seeds, 5))
