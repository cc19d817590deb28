"""Components are stopped in the reverse order of their starts: after a stop, and after a start that fails."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from sockets import Running, until

from corallanding.controller.active_recording import ActiveRecording
from corallanding.controller.control_socket import ControlSocket
from corallanding.controller.decision_loop import DecisionLoop
from corallanding.controller.health_checks import HealthChecks
from corallanding.controller.host_sources import HostSources
from corallanding.controller.load_weights import LoadWeights
from corallanding.controller.network import Network
from corallanding.controller.peer_services import PeerServices
from corallanding.controller.proxy_connections import ProxyConnections
from corallanding.controller.registry_slices import RegistrySlices
from corallanding.controller.snapshot_keeper import SnapshotKeeper
from corallanding.controller.step_timer import StepTimer
from corallanding.store import SqliteStore
from tests.controller.support import run_scenario

# The stop method of each component, in the order of the starts.
STOPS: list[tuple[type, str]] = [
    (SqliteStore, "close"),
    (ActiveRecording, "stop"),
    (SnapshotKeeper, "stop"),
    (StepTimer, "stop"),
    (HealthChecks, "stop"),
    (Network, "stop"),
    (PeerServices, "close_transport"),
    (PeerServices, "stop_cluster"),
    (ProxyConnections, "stop"),
    (LoadWeights, "stop"),
    (HostSources, "stop"),
    (RegistrySlices, "stop"),
    (ControlSocket, "stop"),
    (DecisionLoop, "stop"),
]


class InjectedError(OSError):
    """Raised by a component that a test makes fail."""


@pytest.fixture
def stopped(monkeypatch: pytest.MonkeyPatch) -> list[tuple[type, str]]:
    """Record the calls of stop methods, in order."""
    calls: list[tuple[type, str]] = []

    def record(component: type, name: str) -> Callable[[Any], None]:
        original = getattr(component, name)

        def stop(self: Any) -> None:
            calls.append((component, name))
            original(self)

        return stop

    for component, name in STOPS:
        monkeypatch.setattr(component, name, record(component, name))
    return calls


def fail_in(monkeypatch: pytest.MonkeyPatch, component: type, name: str) -> None:
    """Make one method of a component fail."""

    def fail(self: Any, *arguments: Any, **named: Any) -> None:
        raise InjectedError

    monkeypatch.setattr(component, name, fail)


def test_stop_when_all_components_run_then_they_are_stopped_in_reverse(
    tmp_path: Path, stopped: list[tuple[type, str]]
) -> None:
    async def scenario() -> None:
        async with Running(tmp_path) as running:
            running.steward.stop()
            assert stopped == STOPS[::-1]
            assert await running.steward.wait_stopped() == 0
            running.steward.stop(5)
            assert stopped == STOPS[::-1], "a second stop does nothing"
            assert await running.steward.wait_stopped() == 0

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("component", "method", "started"),
    [
        (ControlSocket, "start", STOPS[: STOPS.index((ControlSocket, "stop")) + 1]),
        (RegistrySlices, "start", STOPS[: STOPS.index((RegistrySlices, "stop")) + 1]),
        (LoadWeights, "start", STOPS[: STOPS.index((LoadWeights, "stop")) + 1]),
        (PeerServices, "open_transport", STOPS[: STOPS.index((Network, "stop")) + 1]),
        (Network, "start", STOPS[: STOPS.index((Network, "stop")) + 1]),
        (HostSources, "open", STOPS[: STOPS.index((HealthChecks, "stop")) + 1]),
        (SnapshotKeeper, "start", STOPS[: STOPS.index((SnapshotKeeper, "stop")) + 1]),
    ],
)
def test_start_when_a_component_fails_then_started_ones_are_stopped_in_reverse(
    component: type,
    method: str,
    started: list[tuple[type, str]],
    tmp_path: Path,
    stopped: list[tuple[type, str]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        running = Running(tmp_path)
        with monkeypatch.context() as patch:
            fail_in(patch, component, method)
            with pytest.raises(InjectedError):
                await running.steward.start()
        assert stopped == started[::-1]
        lifecycle = running.steward.context.lifecycle
        assert not lifecycle.is_running
        assert not lifecycle.is_ready
        # The store has been released: another controller can start on it.
        async with Running(tmp_path) as other:
            await until(lambda: other.steward.context.lifecycle.is_ready)

    run_scenario(scenario())


def test_start_when_a_handover_fails_then_shared_resources_of_the_old_process_are_not_closed(
    tmp_path: Path, stopped: list[tuple[type, str]], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        running = Running(tmp_path)
        fail_in(monkeypatch, ControlSocket, "start")
        inherited = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with pytest.raises(InjectedError):
            await running.steward.start(None, [inherited.detach()])
        assert stopped == []
        running.steward.stop()

    run_scenario(scenario())
