"""The command line: check, steward, upgrade, replay, and the lab's sub-commands.

Exit code 2 always means bad input, which the error names. The doc comments of the commands are their help texts.
Commands import what they need when they run, so that the help is fast.
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
COMMANDS_GROUP = "corallanding.commands"  # group of the entry points that add sub-commands

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
File = Annotated[Path, typer.Argument(exists=False)]


@app.command()
def check(file: File) -> None:
    """Check a steward's configuration and report every error in it."""
    from ..config import ConfigError, load_controller

    try:
        config = load_controller(file)
    except ConfigError as error:
        raise fail(error) from None
    print(f"{file}: ok: {config.slices.count} slices, {len(config.operation)} operations")


@app.command()
def steward(
    config: Annotated[Path, typer.Option("--config", help="the steward's configuration")],
    record: Annotated[Optional[Path], typer.Option("--record", help="file to record the decisions to")] = None,  # noqa: UP045
    take_over: Annotated[Optional[int], typer.Option("--take-over", hidden=True)] = None,  # noqa: UP045
) -> None:
    """Run a steward until SIGTERM. SIGHUP reloads the reloadable settings, SIGUSR2 hands over to a new process."""
    from ..controller.main import run

    raise typer.Exit(run(str(config), str(record) if record else None, take_over=take_over))


@app.command()
def upgrade(
    config: Annotated[
        list[Path],
        typer.Option("--config", help="configuration of a running steward; several are upgraded one at a time"),
    ],
    command: Annotated[
        Optional[str],  # noqa: UP045
        typer.Option("--command", help="new program and its arguments; default: the program that is running"),
    ] = None,
) -> None:
    """Hand running stewards over to new processes: listeners, links and state, without losing an invocation.

    Continues with the next steward only after the previous one reports that it is healthy.
    """
    from ..config import ConfigError, load_controller

    try:
        loaded = [(path, load_controller(path)) for path in config]
    except ConfigError as error:
        raise fail(error) from None
    for path, controller_config in loaded:
        if not controller_config.steward.control:
            raise fail(f"{path}: steward.control is not set: the running steward cannot be reached")
    for index, (path, controller_config) in enumerate(loaded):
        remaining = [str(other) for other, _ in loaded[index + 1 :]]
        answer = upgrade_one(path, controller_config, command, remaining)
        print(f"{path}: {answer}" if len(loaded) > 1 else answer)


def upgrade_one(path: Path, config: ControllerConfig, command: str | None, remaining: list[str]) -> str:
    """Hand over one controller, wait until it is healthy, return its answer. Raises typer.Exit with code 1 on failure.

    remaining: configurations of the controllers that are not upgraded if this one fails.
    """
    from .running_controller import UpgradeError, hand_over, wait_until_healthy

    try:
        answer = hand_over(config, config.steward.control or "", command)
        wait_until_healthy(config)
    except UpgradeError as error:
        skipped = f"; not upgraded: {', '.join(remaining)}" if remaining else ""
        raise fail(f"{path}: {error}{skipped}", UPGRADE_FAILED) from None
    return answer


@app.command()
def replay(file: File) -> None:
    """Replay a recording through the assigner and compare every action."""
    from ..assignment import Assigner
    from ..controller import recorder

    try:
        recording = recorder.read_recording(file)
    except (recorder.RecordingError, OSError) as error:
        raise fail(error) from None
    difference = recorder.find_difference(recording, Assigner)
    if difference:
        raise fail(f"{file}: {difference}", REPLAY_DIFFERS)
    truncation_note = "; the last item is torn off" if recording.is_truncated else ""
    action_count = sum(len(actions) for _, _, actions in recording.steps)
    print(f"{file}: {len(recording.steps)} steps, {action_count} actions, no difference{truncation_note}")


def main() -> None:
    """Run the command of the arguments.

    Packages of higher layers (the lab) register their sub-commands as entry points, so that nothing imports them.
    """
    for entry_point in entry_points(group=COMMANDS_GROUP):
        app.add_typer(entry_point.load(), name=entry_point.name)
    app()


if __name__ == "__main__":
    main()
