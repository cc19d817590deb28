"""Calls that fail for a moment while a controller starts: it waits, and is ready once they succeed."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest
from sockets import CONFIG, until

from tests.controller.program import ControllerProgram
from tests.failing_calls import environment

pytestmark = pytest.mark.processes


class FailingProgram(ControllerProgram):
    """A controller whose store is in a folder, and whose calls fail as `settings` say."""

    def __init__(self, folder: Path, **settings: str) -> None:
        self.data = folder / "data"
        self.data.mkdir()
        configuration = CONFIG.replace('level = "error"', 'level = "info"') % (self.data / "s.db")
        super().__init__(folder, configuration)
        self.environment = environment(**settings)

    def fail_writes(self, number: int) -> None:
        """Let writes to the folder of the store fail with an error number; 0 ends that."""
        control = self.data.with_name(self.data.name + ".fail")
        if number:
            control.write_text(str(number))
        else:
            control.unlink()


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_controller_when_its_store_cannot_be_written_at_the_start_then_it_is_ready_once_it_can(
    tmp_path: Path, number: int
) -> None:
    """Guards against a full disk that ends each start."""

    async def scenario() -> None:
        with FailingProgram(tmp_path, FAILING_FOLDER=str(tmp_path / "data")) as program:
            program.fail_writes(number)
            program.spawn()
            await asyncio.sleep(2.0)
            assert program.process
            assert program.process.poll() is None, program.log.read_text()
            program.fail_writes(0)
            await until(lambda: program.entries("ready"), 10.0)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("call", "number"),
    [
        ("socket", errno.ENFILE),
        ("bind", errno.EADDRINUSE),
        ("bind", errno.EADDRNOTAVAIL),
        ("listen", errno.EADDRINUSE),
        ("epoll_create1", errno.EMFILE),
    ],
)
def test_controller_when_a_call_is_refused_at_the_start_then_it_is_ready_once_it_succeeds(
    tmp_path: Path, call: str, number: int
) -> None:
    async def scenario() -> None:
        with FailingProgram(tmp_path, FAILING_CALLS=f"{call}:{number}:3") as program:
            await program.start()

    asyncio.run(scenario())
