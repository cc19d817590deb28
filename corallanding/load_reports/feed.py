"""The controller's side of load reports: runs the intake process, and passes its reports to the estimator."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

from .. import interface as api
from .envelope import ReportHeader
from .framing import decode_messages, encode_message
from .host_load import EstimatorPolicy
from .intake_process import spawn_intake
from .load_estimator import ListedStart, LoadEstimator
from .orca import ReportedLoad
from .state import FeedState, capture_state, restore_state, settings_digest

MIN_RESTART_DELAY_MS = 100.0
MAX_RESTART_DELAY_MS = 10_000.0
UPDATES_PER_WINDOW = 4
NONCES_PER_HALF_LIFE = 8
NONCE_BYTES = 8


class LoadReportFeed(asyncio.Protocol):
    """Supervises an intake process, and passes its reports to an estimator.

    clock: the controller's clock in ms; wall_ms: the wall clock in ms; monotonic_zero_ms: the reading of `clock` at
    zero of the monotonic clock. on_factors_changed: called when `estimator.factors()` has changed. intake_counts: the
    newest counts of the intake. process_id: id of the intake process, 0 while there is none.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        policy: EstimatorPolicy,
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        monotonic_zero_ms: float,
        on_factors_changed: Callable[[], None],
        log: Any,
    ) -> None:
        self.settings = settings
        self.estimator = LoadEstimator(policy)
        self.intake_counts: dict[str, int] = {}
        self.hosts: list[int] = []
        self.process_id = 0
        self.port = 0
        self.transport: asyncio.Transport | None = None
        self.is_stopped = False
        self._clock = clock
        self._wall_ms = wall_ms
        self._monotonic_zero_ms = monotonic_zero_ms
        self._on_factors_changed = on_factors_changed
        self._log = log
        self._restart_count = 0
        self._buffer = bytearray()
        self._inherited_bytes = b""  # partial message read by the predecessor process
        self._connection_ended: asyncio.Future[None] | None = None  # awaited for an intake that is no child process
        self._task: asyncio.Task[None] | None = None
        self._update_timer: asyncio.TimerHandle | None = None
        self._nonce_timer: asyncio.TimerHandle | None = None

    def start(self, state: FeedState | None = None, intake_socket: socket.socket | None = None) -> None:
        """Start, with the state and the intake's socket that the predecessor process handed over, if any.

        The intake is kept if its settings are the same; otherwise closing the socket ends it, and a new one is started.
        """
        if state:
            restore_state(self.estimator, state)
        has_same_settings = state is not None and state.intake_digest == settings_digest(self.settings)
        if not has_same_settings:
            state = None
            if intake_socket:
                intake_socket.close()
                intake_socket = None
        self._task = asyncio.get_running_loop().create_task(self.keep_intake(state, intake_socket))
        self._update()
        self._send_nonce()

    async def keep_intake(self, state: FeedState | None, intake_socket: socket.socket | None) -> None:
        """Run the intake, and restart it with backoff when it ends. Until then the known reports only age."""
        while not self.is_stopped:
            started_at_ms = self._clock()
            if state and intake_socket:
                await self._run_inherited(state, intake_socket)
                state = None
                intake_socket = None
                code: int | None = None
            else:
                code = await self._run_new()
            self.process_id = 0
            if self.is_stopped:
                return
            ran_long = self._clock() - started_at_ms > MAX_RESTART_DELAY_MS
            self._restart_count = 0 if ran_long else self._restart_count + 1
            delay_ms = min(MAX_RESTART_DELAY_MS, MIN_RESTART_DELAY_MS * 2 ** min(self._restart_count, 10))
            self._log.error("load report intake ended", code=code, retry_after_ms=delay_ms)
            await asyncio.sleep(delay_ms / 1000.0)

    async def _run_inherited(self, state: FeedState, intake_socket: socket.socket) -> None:
        """Use the intake of the predecessor process until it ends."""
        self.process_id = state.process_id
        self.port = state.port
        self._inherited_bytes = state.partial_message
        self.intake_counts = dict(state.intake_counts)
        intake_socket.setblocking(False)
        await asyncio.get_running_loop().create_connection(lambda: self, sock=intake_socket)
        await self.wait_disconnected()

    async def _run_new(self) -> int:
        """Start an intake and wait until it ends; return its exit code."""
        process, intake_socket = await spawn_intake(self.settings)
        await asyncio.get_running_loop().create_connection(lambda: self, sock=intake_socket)
        self.process_id = process.pid
        self.send(["hosts", self.hosts])
        return await process.wait()

    async def wait_disconnected(self) -> None:
        """Wait until the intake closes its socket, the sign that an intake has ended that is not a child process."""
        self._connection_ended = asyncio.get_running_loop().create_future()
        if self.transport:
            await self._connection_ended

    # ---- messages --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with the partial message that was handed over."""
        self.transport = cast(asyncio.Transport, transport)
        self._buffer = bytearray(self._inherited_bytes)
        self._inherited_bytes = b""

    def connection_lost(self, _exc: Exception | None) -> None:
        """Record that the connection to the intake is lost."""
        self.transport = None
        if self._connection_ended and not self._connection_ended.done():
            self._connection_ended.set_result(None)

    def send(self, message: list[Any]) -> None:
        """Send a message to the intake, if it is connected."""
        if self.transport and not self.transport.is_closing():
            self.transport.write(encode_message(message))

    def data_received(self, data: bytes) -> None:
        """Handle the messages of the intake."""
        self._buffer += data
        for kind, value in decode_messages(self._buffer):
            if kind == "reports":
                self._on_reports(value)
            elif kind == "counts":
                self.intake_counts = value
            elif kind == "ready":
                self.port = value
                self._log.info("load reports ready", port=value)

    def _on_reports(self, rows: list[Any]) -> None:
        """Pass reports to the estimator; `intake.report_row` defines the rows."""
        wall_ms = self._wall_ms()
        for arrived_ms, host, process, started, seq, uptime, sent_at, nonce, utilization, rps, eps in rows:
            header = ReportHeader(host, process, started, seq, uptime, sent_at, nonce)
            load = ReportedLoad(utilization, rps, eps)
            self.estimator.on_report(self._monotonic_zero_ms + arrived_ms, wall_ms, header, load)

    def set_hosts(self, entries: dict[int, api.HostEntry], starts_ms: dict[int, float], warm_up_ms: float) -> None:
        """Set the host list. starts_ms: when each host's process started, on the wall clock."""
        starts = {
            host: ListedStart(
                entry.online_since,
                round(starts_ms.get(host, 0.0)),
                entry.online_since + warm_up_ms if entry.online_since else 0.0,
            )
            for host, entry in entries.items()
        }
        self.estimator.set_hosts(starts)
        hosts = sorted(starts)
        if hosts != self.hosts:
            self.hosts = hosts
            self.send(["hosts", hosts])

    def _update(self) -> None:
        if self.estimator.update(self._clock()):
            self._on_factors_changed()
        delay_ms = self.estimator.policy.window_ms / UPDATES_PER_WINDOW
        self._update_timer = asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._update)

    def _send_nonce(self) -> None:
        """Issue a random nonce, which cannot be echoed in advance: its echo proves the age of a report."""
        nonce = os.urandom(NONCE_BYTES)
        self.estimator.add_nonce(self._clock(), nonce)
        self.send(["tick", nonce])
        delay_ms = self.estimator.policy.half_life_ms / NONCES_PER_HALF_LIFE
        self._nonce_timer = asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._send_nonce)

    # ---- handover --------------------------------------------------------------------------------------

    def pause(self) -> None:
        """Stop reading and sending: another process may use the socket."""
        self._cancel_timers()
        if self.transport:
            self.transport.pause_reading()

    def capture(self) -> tuple[FeedState, socket.socket | None]:
        """Return the state and the socket to the intake. Called between `pause` and `resume`."""
        intake_socket = self.transport.get_extra_info("socket") if self.transport else None
        state = capture_state(
            self.estimator,
            settings_digest(self.settings),
            self.process_id,
            self.port,
            bytes(self._buffer),
            self.intake_counts,
        )
        return state, intake_socket

    def resume(self, *, is_stale: bool) -> None:
        """Continue after `pause`.

        is_stale: another process may have read from the intake, so that the next bytes may begin within a message. The
        intake is then terminated, and a new one started.
        """
        if self.transport and is_stale:
            self._terminate_intake()
        elif self.transport:
            self.transport.resume_reading()
        self._update()
        self._send_nonce()

    def stop(self) -> None:
        """Terminate the intake; it is not started again."""
        self.is_stopped = True
        self._cancel_timers()
        self._terminate_intake()

    def _cancel_timers(self) -> None:
        for timer in (self._update_timer, self._nonce_timer):
            if timer:
                timer.cancel()

    def _terminate_intake(self) -> None:
        """Terminate the intake process. It exists while its socket is open, so that its id cannot be reused."""
        if self.transport and self.process_id:
            with suppress(ProcessLookupError):
                os.kill(self.process_id, signal.SIGTERM)
        if self.transport:
            self.transport.abort()
