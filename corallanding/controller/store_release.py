"""Releases the store and other files to another process, and reopens them if a handover fails."""

from __future__ import annotations

from ..store import StoreError, StoreLockedError
from ..telemetry import log
from .active_recording import ActiveRecording
from .context import Context
from .engine import Engine
from .host_sources import HostSources
from .pause_control import PauseControl
from .peer_services import PeerServices
from .persistence import TablePersistence
from .proxy_admission import ProxyAdmission


class StoreRelease:
    """Ensures that only one process at a time has the store open; this process is paused while its store is closed."""

    def __init__(
        self,
        context: Context,
        engine: Engine,
        pause_control: PauseControl,
        persistence: TablePersistence,
        host_sources: HostSources,
        proxy_admission: ProxyAdmission,
        peers: PeerServices,
        recording: ActiveRecording,
    ) -> None:
        self._context = context
        self._engine = engine
        self._pause_control = pause_control
        self._persistence = persistence
        self._host_sources = host_sources
        self._proxy_admission = proxy_admission
        self._peers = peers
        self._recording = recording

    def release(self) -> None:
        """Save unsaved changes and close all files."""
        self._host_sources.save()
        self._persistence.release()
        if self._peers.cluster:
            self._peers.cluster.release_files()

    def reopen_and_resume(self) -> None:
        """Reopen the files after a failed handover, and resume.

        Opening the store is retried later if it fails, for instance on a full disk; tables are published unsaved until
        then. Raises StoreLockedError if another controller holds the store.
        """
        if not self._persistence.is_released:
            self._pause_control.resume()
            return
        if self._peers.cluster:
            self._peers.cluster.reopen_files()
        try:
            contents = self._persistence.store.open()
        except StoreLockedError:
            raise
        except StoreError as error:
            log.error("the store cannot be reopened; tables are published unsaved", why=str(error))
            self._persistence.on_failure(self._context.clock(), str(error), 1)
            self._pause_control.resume(is_stale=True)  # what the new process did is unknown
            return
        was_opened_elsewhere = self._persistence.on_store_reopened(contents)
        if was_opened_elsewhere:
            # The new process opened the store, and may have sent and saved orders before it was killed.
            log.warning(
                "the new process was active before it failed; tables are reloaded", start_number=contents.start_number
            )
            self._recording.end("the new process may have written to the recording")
            self._engine.reconcile(self._context.clock(), contents)
        self._pause_control.resume(is_stale=was_opened_elsewhere)
        self._proxy_admission.send_welcome_to_joined()
