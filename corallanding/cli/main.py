"""`corallanding`: check, steward, replay, and the lab's sub-commands. Exit 2 is always bad input, by name."""

from __future__ import annotations

from importlib.metadata import entry_points
from pathlib import Path
from typing import Annotated, Optional

import typer

from . import fail

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
File = Annotated[Path, typer.Argument(exists=False)]


@app.command()
def check(file: File) -> None:
    """Read a steward's configuration and say what is wrong with it."""
    from ..config import ConfigError, load_controller

    try:
        config = load_controller(file)
    except ConfigError as fault:
        raise fail(fault) from None
    print(f"{file}: ok: {config.slices.count} slices, {len(config.operation)} operations")


@app.command()
def steward(
    config: Annotated[Path, typer.Option("--config", help="the steward's configuration")],
    record: Annotated[Optional[Path], typer.Option("--record", help="keep a recording here")] = None,  # noqa: UP045
    take_over: Annotated[Optional[int], typer.Option("--take-over", hidden=True)] = None,  # noqa: UP045
) -> None:
    """Run a steward until SIGTERM. SIGHUP reloads what can be reloaded, SIGUSR2 hands over to a new process."""
    from ..controller.main import run

    raise typer.Exit(run(str(config), str(record) if record else None, take_over=take_over))


@app.command()
def upgrade(
    config: Annotated[
        list[Path], typer.Option("--config", help="the running steward's configuration; several, one after the other")
    ],
    command: Annotated[
        Optional[str],  # noqa: UP045
        typer.Option("--command", help="the new program and its arguments; without it, the program that runs now"),
    ] = None,
) -> None:
    """Hand running stewards over to new processes: listeners, links and state, with no invocation lost.

    Goes on to the next only once the last answers that it is well.
    """
    from ..config import ConfigError, load_controller
    from .ask import Refused, hand_over, well

    try:
        found = [(path, load_controller(path)) for path in config]
    except ConfigError as fault:
        raise fail(fault) from None
    for path, one in found:
        if not one.steward.control:
            raise fail(f"{path}: steward.control is not set: there is no way to the running steward")
    for k, (path, one) in enumerate(found):
        try:
            answer = hand_over(one, command)
            well(one)
        except Refused as fault:
            left = [str(p) for p, _ in found[k + 1 :]]
            rest = f"; not touched: {', '.join(left)}" if left else ""
            raise fail(f"{path}: {fault}{rest}", 1) from None
        print(f"{path}: {answer}" if len(found) > 1 else answer)


@app.command()
def replay(file: File) -> None:
    """Run a recording through the module again and compare every action."""
    from ..assignment import Assigner
    from ..controller import recorder as record

    try:
        found = record.read(file)
    except (record.RecordingError, OSError) as fault:
        raise fail(fault) from None
    difference = record.compare(found, Assigner)
    if difference:
        raise fail(f"{file}: {difference}", 1)
    torn = "; the last item is torn off" if found.is_truncated else ""
    actions = sum(len(a) for _, _, a in found.steps)
    print(f"{file}: {len(found.steps)} steps, {actions} actions, no difference{torn}")


def main() -> None:
    # What stands on top of the steward (the lab) adds its sub-commands by entry point: nothing imports it.
    for found in entry_points(group="corallanding.commands"):
        app.add_typer(found.load(), name=found.name)
    app()


if __name__ == "__main__":
    main()
