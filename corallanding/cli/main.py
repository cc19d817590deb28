"""`corallanding`: check, steward, upgrade, replay, and the lab's sub-commands. Exit 2 is always bad input, by name.

The doc comments of the commands are their help texts. Commands import what they need when they run, so that the help
is quick.
"""

from __future__ import annotations

from importlib.metadata import entry_points
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Optional

import typer

from . import fail

if TYPE_CHECKING:
    from ..config import ControllerConfig

UPGRADE_FAILED = 1  # exit code
REPLAY_DIFFERS = 1  # exit code
COMMANDS_GROUP = "corallanding.commands"  # of entry points that add sub-commands

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
File = Annotated[Path, typer.Argument(exists=False)]


@app.command()
def check(file: File) -> None:
    """Read a steward's configuration and say what is wrong with it."""
    from ..config import ConfigError, load_controller

    try:
        config = load_controller(file)
    except ConfigError as error:
        raise fail(error) from None
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

    try:
        found = [(path, load_controller(path)) for path in config]
    except ConfigError as error:
        raise fail(error) from None
    for path, one in found:
        if not one.steward.control:
            raise fail(f"{path}: steward.control is not set: there is no way to the running steward")
    for index, (path, one) in enumerate(found):
        remaining = [str(other) for other, _ in found[index + 1 :]]
        answer = upgrade_one(path, one, command, remaining)
        print(f"{path}: {answer}" if len(found) > 1 else answer)


def upgrade_one(path: Path, config: ControllerConfig, command: str | None, remaining: list[str]) -> str:
    """Hand one controller over and wait until it is healthy; its answer. Raises typer.Exit with code 1 if it fails.

    remaining: the configurations that are not upgraded if this one fails.
    """
    from .running_controller import UpgradeError, hand_over, wait_until_healthy

    try:
        answer = hand_over(config, config.steward.control or "", command)
        wait_until_healthy(config)
    except UpgradeError as error:
        rest = f"; not touched: {', '.join(remaining)}" if remaining else ""
        raise fail(f"{path}: {error}{rest}", UPGRADE_FAILED) from None
    return answer


@app.command()
def replay(file: File) -> None:
    """Run a recording through the module again and compare every action."""
    from ..assignment import Assigner
    from ..controller import recorder

    try:
        recording = recorder.read_recording(file)
    except (recorder.RecordingError, OSError) as error:
        raise fail(error) from None
    difference = recorder.find_difference(recording, Assigner)
    if difference:
        raise fail(f"{file}: {difference}", REPLAY_DIFFERS)
    torn = "; the last item is torn off" if recording.is_truncated else ""
    action_count = sum(len(actions) for _, _, actions in recording.steps)
    print(f"{file}: {len(recording.steps)} steps, {action_count} actions, no difference{torn}")


def main() -> None:
    """Run the command that the arguments name.

    Packages above this one (the lab) add their sub-commands by entry point, so that nothing imports them.
    """
    for entry_point in entry_points(group=COMMANDS_GROUP):
        app.add_typer(entry_point.load(), name=entry_point.name)
    app()


if __name__ == "__main__":
    main()
